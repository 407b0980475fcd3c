package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/walnutcove/walnutcove/processes"
	"github.com/walnutcove/walnutcove/standin/managed"
)

const (
	// maxActiveFaults limits how many faults are active at the same time.
	maxActiveFaults = 4
	// maxFaultTime limits how long a fault is active before it is ended, maxFaultGap the
	// pause before the next one begins.
	maxFaultTime = 1500 * time.Millisecond
	maxFaultGap  = 300 * time.Millisecond
	// maxProxyDelay limits the delay that a proxy adds.
	maxProxyDelay = 300 * time.Millisecond
	// maxReplicaSlowdown limits what a slow replica adds to each pause.
	maxReplicaSlowdown = 60 * time.Millisecond
	// maxSeriesSignals limits the signals of a series, maxSignalGap the pause between two.
	maxSeriesSignals = 5
	maxSignalGap     = 100 * time.Millisecond
	// pollPause is the pause between two polls of a condition or of the faults to end.
	pollPause = 10 * time.Millisecond
)

// fault is an active fault.
type fault struct {
	name  string
	until time.Time
	// end ends the fault. It returns false if it must be called again later.
	end func() bool
}

// faultInjector begins and ends faults, on one goroutine.
type faultInjector struct {
	*fleet
	random *rand.Rand
	active []fault
	// busy holds the names of the subjects of active faults, such as a router, a replica,
	// a proxy, a zone or the store.
	busy map[string]bool
	// nextAt is when the next fault may begin.
	nextAt time.Time
	soakOptions
	silencer silencer
	// begunByKind counts the faults that were begun by kind.
	begunByKind map[string]int
}

func newFaultInjector(f *fleet, seed uint64) *faultInjector {
	return &faultInjector{
		fleet: f, random: rand.New(rand.NewPCG(seed, 0)), busy: make(map[string]bool), begunByKind: make(map[string]int),
		silencer: silencer{random: rand.New(rand.NewPCG(seed, 1)), soundFrom: make(map[*replica]time.Time)},
	}
}

// run begins and ends faults for a while, and ends all of them.
func (f *faultInjector) run(length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end) && !f.t.Failed(); time.Sleep(pollPause) {
		f.endDue(time.Now())
		f.checkProcesses()
		if f.silences {
			f.beginSilences(time.Now())
		}
		if len(f.active) < maxActiveFaults && time.Now().After(f.nextAt) {
			f.begin()
			f.nextAt = time.Now().Add(f.randomUpTo(maxFaultGap))
		}
	}
	f.note("end all faults")
	for len(f.active) > 0 && !f.t.Failed() {
		f.endDue(time.Now().Add(maxFaultTime))
		time.Sleep(pollPause)
	}
	f.silencer.awaitSpeech()
}

func (f *faultInjector) randomUpTo(limit time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(limit)))
}

// endDue ends the faults whose time is over at now.
func (f *faultInjector) endDue(now time.Time) {
	var remaining []fault
	for _, current := range f.active {
		if now.Before(current.until) || !current.end() {
			remaining = append(remaining, current)
			continue
		}
		f.note("end: %s", current.name)
	}
	f.active = remaining
}

// checkProcesses fails for a router whose process exited without a fault that ends it.
func (f *faultInjector) checkProcesses() {
	for _, r := range f.routers {
		select {
		case <-r.Exited():
			if !r.isDown {
				f.t.Errorf("%s exited unexpectedly", r.Name)
			}
		default:
		}
	}
}

// faultKind is one kind of fault. Its begin function returns the subject of the fault and a
// function that ends it, which is nil if no fault was begun because the subject is not free.
type faultKind struct {
	name  string
	begin func() (subject string, end func() bool)
}

// begin begins a random fault, if its randomly chosen subject is free.
func (f *faultInjector) begin() {
	kinds := []faultKind{
		{"kill", f.kill},
		{"terminate", f.terminate},
		{"freeze", f.freeze},
		{"series of signals", f.signalSeries},
		{"proxy between routers", f.disturbPeerProxy},
		{"isolate", f.isolate},
		{"proxy to the store", f.disturbStoreProxy},
		{"store", f.storeFault},
		{"proxy to a replica", f.disturbReplicaProxy},
		{"replica", f.replicaFault},
		{"replace a replica", f.replaceReplica},
		{"version", f.publishVersions},
	}
	if f.planned {
		kinds = []faultKind{{"terminate", f.terminateInPlan}, {"series of reloads", f.reloadSeries}, {"versions", f.changePlan}}
	}
	if f.restores {
		kinds = append(kinds, faultKind{"restore the store", f.restore})
	}
	if f.evacuates {
		kinds = append(kinds, faultKind{"evacuate a zone", f.evacuateZone})
	}
	if f.notices {
		kinds = append(kinds, faultKind{"replica announces that it leaves", f.announceLeaving}, faultKind{"replica refuses some requests", f.refuseSome})
	}
	kind := kinds[f.random.IntN(len(kinds))]
	subject, end := kind.begin()
	if end == nil {
		return
	}
	f.begunByKind[kind.name]++
	name := kind.name + ": " + subject
	f.note("fault: %s", name)
	f.busy[subject] = true
	f.active = append(f.active, fault{name: name, until: time.Now().Add(f.randomUpTo(maxFaultTime)), end: func() bool {
		if !end() {
			return false
		}
		delete(f.busy, subject)
		return true
	}})
}

// randomFreeRouter returns a random router, or nil if it is the subject of an active fault.
func (f *faultInjector) randomFreeRouter() *router {
	r := f.routers[f.random.IntN(len(f.routers))]
	if f.busy[r.Name] {
		return nil
	}
	return r
}

// kill kills a router and starts it again when the fault ends.
func (f *faultInjector) kill() (string, func() bool) {
	r := f.randomFreeRouter()
	if r == nil {
		return "", nil
	}
	r.isDown = true
	r.Kill()
	return r.Name, func() bool { return f.startDownRouter(r) }
}

// startDownRouter starts a router that a fault has ended.
func (f *faultInjector) startDownRouter(r *router) bool {
	f.restart(r)
	r.isDown = false
	return true
}

// terminate asks a router to shut down; its callers keep using their connections. It is
// started again once its process has exited.
func (f *faultInjector) terminate() (string, func() bool) {
	r := f.randomFreeRouter()
	if r == nil {
		return "", nil
	}
	r.isDown = true
	f.must(r.Terminate())
	return r.Name, f.startAfterEnd(r)
}

// exitMargin is how long after drainLimit the process of a router may take to exit.
const exitMargin = 2 * time.Second

// startAfterEnd returns a function that checks the exit of a router that was asked to shut
// down and starts it again. Exit code 0 means that the router has drained completely, 1 that
// its drain was cut short. The function returns false while the process still runs.
func (f *faultInjector) startAfterEnd(r *router) func() bool {
	asked := time.Now()
	return func() bool {
		select {
		case <-r.Exited():
		default:
			if time.Since(asked) > drainLimit+exitMargin {
				f.t.Errorf("%s did not exit within %s", r.Name, time.Since(asked))
			}
			return false
		}
		if code, err := r.Wait(exitMargin); err != nil || code != 0 && code != 1 {
			f.t.Errorf("%s exited with code %d, %v", r.Name, code, err)
		}
		return f.startDownRouter(r)
	}
}

func (f *faultInjector) freeze() (string, func() bool) {
	r := f.randomFreeRouter()
	if r == nil {
		return "", nil
	}
	f.must(r.Freeze())
	thaw := sync.OnceFunc(func() {
		if err := r.Thaw(); err != nil {
			f.t.Error(err)
		}
	})
	// The end of another fault may take long, and answerMargin allows for a freeze of maxFaultTime.
	limit := time.AfterFunc(maxFaultTime, thaw)
	return r.Name, func() bool { limit.Stop(); thaw(); return true }
}

// signalSeries sends several signals in quick succession: reloads, short freezes, and
// possibly requests to shut down.
func (f *faultInjector) signalSeries() (string, func() bool) {
	r := f.randomFreeRouter()
	if r == nil {
		return "", nil
	}
	for range 1 + f.random.IntN(maxSeriesSignals) {
		f.sendRandomSignal(r)
		time.Sleep(f.randomUpTo(maxSignalGap))
	}
	if r.isDown {
		return r.Name, f.startAfterEnd(r)
	}
	return r.Name, func() bool { return true }
}

func (f *faultInjector) sendRandomSignal(r *router) {
	switch f.random.IntN(3) {
	case 0:
		f.must(r.Signal(syscall.SIGHUP))
	case 1:
		f.must(r.Freeze())
		time.Sleep(f.randomUpTo(maxSignalGap))
		f.must(r.Thaw())
	case 2:
		r.isDown = true
		f.must(r.Terminate())
	}
}

// disturbProxy begins a random fault of a proxy, unless the proxy is busy.
func (f *faultInjector) disturbProxy(proxy *processes.Proxy) (string, func() bool) {
	if f.busy[proxy.Name()] {
		return "", nil
	}
	direction := processes.Direction(f.random.IntN(2))
	switch f.random.IntN(4) {
	case 0:
		proxy.Cut()
	case 1:
		proxy.Reset()
	case 2:
		proxy.Hold(direction)
	case 3:
		proxy.Delay(direction, f.randomUpTo(maxProxyDelay))
	}
	return proxy.Name(), func() bool { f.must(proxy.Heal()); return true }
}

func (f *faultInjector) disturbPeerProxy() (string, func() bool) {
	from := f.routers[f.random.IntN(len(f.routers))]
	to := f.routers[f.random.IntN(len(f.routers))]
	proxy := from.peerProxies[to.Name]
	if proxy == nil {
		return "", nil
	}
	return f.disturbProxy(proxy)
}

// isolate cuts a router off from all others, in both directions.
func (f *faultInjector) isolate() (string, func() bool) {
	r := f.routers[f.random.IntN(len(f.routers))]
	var proxies []*processes.Proxy
	for _, other := range f.routers {
		if other == r {
			continue
		}
		proxies = append(proxies, r.peerProxies[other.Name], other.peerProxies[r.Name])
	}
	for _, proxy := range proxies {
		if f.busy[proxy.Name()] {
			return "", nil
		}
	}
	for _, proxy := range proxies {
		f.busy[proxy.Name()] = true
		proxy.Cut()
	}
	return "peer proxies of " + r.Name, func() bool {
		for _, proxy := range proxies {
			delete(f.busy, proxy.Name())
			f.must(proxy.Heal())
		}
		return true
	}
}

func (f *faultInjector) disturbStoreProxy() (string, func() bool) {
	return f.disturbProxy(f.routers[f.random.IntN(len(f.routers))].storeProxy)
}

func (f *faultInjector) storeFault() (string, func() bool) {
	if f.busy["store"] {
		return "", nil
	}
	kind := []managed.Fault{managed.Refusing, managed.Unresponsive, managed.HistoryLost}[f.random.IntN(3)]
	f.store.SetFault(kind)
	return "store", func() bool { f.store.SetFault(managed.Healthy); return true }
}

// randomFreeReplica returns a random replica, or nil if it or its proxy is the subject of an
// active fault.
func (f *faultInjector) randomFreeReplica() *replica {
	r := f.replicas[f.random.IntN(len(f.replicas))]
	if f.busy[r.options.ID] || f.busy[r.proxy.Name()] {
		return nil
	}
	return r
}

func (f *faultInjector) disturbReplicaProxy() (string, func() bool) {
	r := f.randomFreeReplica()
	if r == nil {
		return "", nil
	}
	return f.disturbProxy(r.proxy)
}

func (f *faultInjector) replicaFault() (string, func() bool) {
	r := f.randomFreeReplica()
	if r == nil {
		return "", nil
	}
	chosen := []managed.ReplicaFaults{
		{LoseAnswers: true},
		{BreakAfterEvents: 1 + f.random.IntN(events-1)},
		{Refuse: true},
		{ExtraPause: f.randomUpTo(maxReplicaSlowdown)},
		{Unsealed: true},
	}[f.random.IntN(5)]
	chosen.Unframed = f.answersUnframed
	r.SetFaults(chosen)
	return r.options.ID, func() bool { r.SetFaults(managed.ReplicaFaults{Unframed: f.answersUnframed}); return true }
}

// replaceReplica has a replica leave, or end without announcing it, and starts another one.
func (f *faultInjector) replaceReplica() (string, func() bool) {
	r := f.randomFreeReplica()
	if r == nil {
		return "", nil
	}
	subject := r.options.ID
	if f.random.IntN(2) == 0 {
		r.StartLeaving()
		f.addReplica(managed.ReplicaOptions{Service: r.options.Service, Slots: r.options.Slots, Pause: r.options.Pause, Events: r.options.Events})
		return subject, func() bool { f.dropReplica(r); return true }
	}
	f.dropReplica(r)
	return fmt.Sprintf("%s, gone", subject), func() bool {
		f.addReplica(managed.ReplicaOptions{Service: r.options.Service, Slots: r.options.Slots, Pause: r.options.Pause, Events: r.options.Events})
		return true
	}
}

// publishVersions publishes up to three versions in quick succession.
func (f *faultInjector) publishVersions() (string, func() bool) {
	for range 1 + f.random.IntN(3) {
		f.publishNextVersion()
	}
	return "version", func() bool { return true }
}
