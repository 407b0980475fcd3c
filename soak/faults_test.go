package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/walnutcove/walnutcove/processes"
	"github.com/walnutcove/walnutcove/standin/managed"
)

const (
	// mostFaults is how many faults stand at once.
	mostFaults = 4
	// longestFault bounds how long one stands, longestGap the pause to the next one.
	longestFault = 1500 * time.Millisecond
	longestGap   = 300 * time.Millisecond
	// longestDelay bounds the delay of a slow way.
	longestDelay = 300 * time.Millisecond
	// longestSlowness bounds what a slow replica adds to each pause.
	longestSlowness = 60 * time.Millisecond
	// seriesSignals bounds the signals of a series, seriesGap the pause between two.
	seriesSignals = 5
	seriesGap     = 100 * time.Millisecond
	// step is the pause between two looks at what is due.
	step = 10 * time.Millisecond
)

// fault is one that stands.
type fault struct {
	name  string
	until time.Time
	// end ends it; false: it must be asked again.
	end func() bool
}

// faults brings faults about and ends them, on one goroutine.
type faults struct {
	*fleet
	random *rand.Rand
	stands []fault
	// busy holds what a standing fault is about, by name.
	busy map[string]bool
	next time.Time
	soakOptions
	// begun counts them by kind.
	begun map[string]int
}

func newFaults(f *fleet, seed uint64) *faults {
	return &faults{fleet: f, random: rand.New(rand.NewPCG(seed, 0)), busy: make(map[string]bool), begun: make(map[string]int)}
}

// run brings faults about for a while and ends them all.
func (f *faults) run(length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end) && !f.t.Failed(); time.Sleep(step) {
		f.endDue(time.Now())
		f.judgeProcesses()
		if len(f.stands) < mostFaults && time.Now().After(f.next) {
			f.begin()
			f.next = time.Now().Add(f.upTo(longestGap))
		}
	}
	f.note("end everything")
	for len(f.stands) > 0 && !f.t.Failed() {
		f.endDue(time.Now().Add(longestFault))
		time.Sleep(step)
	}
}

func (f *faults) upTo(most time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(most)))
}

// endDue ends the faults whose time is over.
func (f *faults) endDue(now time.Time) {
	var standing []fault
	for _, one := range f.stands {
		if now.Before(one.until) || !one.end() {
			standing = append(standing, one)
			continue
		}
		f.note("end: %s", one.name)
	}
	f.stands = standing
}

// judgeProcesses fails for a router that ended by itself.
func (f *faults) judgeProcesses() {
	for _, r := range f.routers {
		select {
		case <-r.Exited():
			if !r.isDown {
				f.t.Errorf("%s ended by itself", r.Name)
			}
		default:
		}
	}
}

// faultKind is one kind of fault. What begin returns is nil if what it is about is not free.
type faultKind struct {
	name  string
	begin func() (about string, end func() bool)
}

// begin brings one fault about, if what it is about is free.
func (f *faults) begin() {
	kinds := []faultKind{
		{"kill", f.kill},
		{"terminate", f.terminate},
		{"freeze", f.freeze},
		{"series of signals", f.series},
		{"way between routers", f.disturbPeers},
		{"isolate", f.isolate},
		{"way to the store", f.disturbStore},
		{"store", f.storeFault},
		{"way to a replica", f.disturbReplica},
		{"replica", f.replicaFault},
		{"replace a replica", f.replace},
		{"version", f.newVersion},
	}
	if f.restores {
		kinds = append(kinds, faultKind{"store comes back", f.restore})
	}
	if f.evacuates {
		kinds = append(kinds, faultKind{"evacuate a zone", f.evacuateZone})
	}
	if f.notices {
		kinds = append(kinds, faultKind{"replica says that it leaves", f.sayLeaving}, faultKind{"replica turns away", f.turnAway})
	}
	kind := kinds[f.random.IntN(len(kinds))]
	about, end := kind.begin()
	if end == nil {
		return
	}
	f.begun[kind.name]++
	name := kind.name + ": " + about
	f.note("fault: %s", name)
	f.busy[about] = true
	f.stands = append(f.stands, fault{name: name, until: time.Now().Add(f.upTo(longestFault)), end: func() bool {
		if !end() {
			return false
		}
		delete(f.busy, about)
		return true
	}})
}

// freeRouter returns a router that no fault is about; nil if the one that was drawn is not free.
func (f *faults) freeRouter() *router {
	r := f.routers[f.random.IntN(len(f.routers))]
	if f.busy[r.Name] {
		return nil
	}
	return r
}

func (f *faults) kill() (string, func() bool) {
	r := f.freeRouter()
	if r == nil {
		return "", nil
	}
	r.isDown = true
	r.Kill()
	return r.Name, func() bool { return f.startAgain(r) }
}

// startAgain starts a router that is down.
func (f *faults) startAgain(r *router) bool {
	f.restart(r)
	r.isDown = false
	return true
}

// terminate asks a router to end; its callers go on using their connections. It is
// started again once its process is gone.
func (f *faults) terminate() (string, func() bool) {
	r := f.freeRouter()
	if r == nil {
		return "", nil
	}
	r.isDown = true
	f.must(r.Terminate())
	return r.Name, f.startAfterEnd(r)
}

// exitMargin is added to drainLimit for the end of a process.
const exitMargin = 2 * time.Second

// startAfterEnd returns what starts a router again after it ended as it was asked to.
func (f *faults) startAfterEnd(r *router) func() bool {
	asked := time.Now()
	return func() bool {
		select {
		case <-r.Exited():
		default:
			if time.Since(asked) > drainLimit+exitMargin {
				f.t.Errorf("%s did not end within %s", r.Name, time.Since(asked))
			}
			return false
		}
		if code, err := r.Wait(exitMargin); err != nil || code != 0 && code != 1 {
			f.t.Errorf("%s ended with code %d, %v", r.Name, code, err)
		}
		return f.startAgain(r)
	}
}

func (f *faults) freeze() (string, func() bool) {
	r := f.freeRouter()
	if r == nil {
		return "", nil
	}
	f.must(r.Freeze())
	return r.Name, func() bool { f.must(r.Thaw()); return true }
}

// series sends signals shortly one after the other: reloads, short freezes, and
// perhaps orders to end.
func (f *faults) series() (string, func() bool) {
	r := f.freeRouter()
	if r == nil {
		return "", nil
	}
	for range 1 + f.random.IntN(seriesSignals) {
		f.signal(r)
		time.Sleep(f.upTo(seriesGap))
	}
	if r.isDown {
		return r.Name, f.startAfterEnd(r)
	}
	return r.Name, func() bool { return true }
}

func (f *faults) signal(r *router) {
	switch f.random.IntN(3) {
	case 0:
		f.must(r.Signal(syscall.SIGHUP))
	case 1:
		f.must(r.Freeze())
		time.Sleep(f.upTo(seriesGap))
		f.must(r.Thaw())
	case 2:
		r.isDown = true
		f.must(r.Terminate())
	}
}

// disturb brings one fault of a way about.
func (f *faults) disturb(way *processes.Proxy) (string, func() bool) {
	if f.busy[way.Name()] {
		return "", nil
	}
	direction := processes.Direction(f.random.IntN(2))
	switch f.random.IntN(4) {
	case 0:
		way.Cut()
	case 1:
		way.Reset()
	case 2:
		way.Hold(direction)
	case 3:
		way.Delay(direction, f.upTo(longestDelay))
	}
	return way.Name(), func() bool { f.must(way.Heal()); return true }
}

func (f *faults) disturbPeers() (string, func() bool) {
	from := f.routers[f.random.IntN(len(f.routers))]
	to := f.routers[f.random.IntN(len(f.routers))]
	way := from.peers[to.Name]
	if way == nil {
		return "", nil
	}
	return f.disturb(way)
}

// isolate cuts a router from all others, both ways.
func (f *faults) isolate() (string, func() bool) {
	r := f.routers[f.random.IntN(len(f.routers))]
	var ways []*processes.Proxy
	for _, other := range f.routers {
		if other == r {
			continue
		}
		ways = append(ways, r.peers[other.Name], other.peers[r.Name])
	}
	for _, way := range ways {
		if f.busy[way.Name()] {
			return "", nil
		}
	}
	for _, way := range ways {
		f.busy[way.Name()] = true
		way.Cut()
	}
	return "ways of " + r.Name, func() bool {
		for _, way := range ways {
			delete(f.busy, way.Name())
			f.must(way.Heal())
		}
		return true
	}
}

func (f *faults) disturbStore() (string, func() bool) {
	return f.disturb(f.routers[f.random.IntN(len(f.routers))].store)
}

func (f *faults) storeFault() (string, func() bool) {
	if f.busy["store"] {
		return "", nil
	}
	kind := []managed.Fault{managed.Refusing, managed.Unresponsive, managed.HistoryLost}[f.random.IntN(3)]
	f.store.SetFault(kind)
	return "store", func() bool { f.store.SetFault(managed.Healthy); return true }
}

// anyReplica returns a replica that no fault is about; nil if the one drawn is not free.
func (f *faults) anyReplica() *replica {
	r := f.replicas[f.random.IntN(len(f.replicas))]
	if f.busy[r.options.ID] || f.busy[r.way.Name()] {
		return nil
	}
	return r
}

func (f *faults) disturbReplica() (string, func() bool) {
	r := f.anyReplica()
	if r == nil {
		return "", nil
	}
	return f.disturb(r.way)
}

func (f *faults) replicaFault() (string, func() bool) {
	r := f.anyReplica()
	if r == nil {
		return "", nil
	}
	wrong := []managed.ReplicaFaults{
		{LoseAnswers: true},
		{BreakAfterEvents: 1 + f.random.IntN(events-1)},
		{Refuse: true},
		{ExtraPause: f.upTo(longestSlowness)},
		{Unsealed: true},
	}[f.random.IntN(5)]
	r.SetFaults(wrong)
	return r.options.ID, func() bool { r.SetFaults(managed.ReplicaFaults{}); return true }
}

// replace lets a replica leave, or end without notice, and starts another one.
func (f *faults) replace() (string, func() bool) {
	r := f.anyReplica()
	if r == nil {
		return "", nil
	}
	about := r.options.ID
	if f.random.IntN(2) == 0 {
		r.StartLeaving()
		f.addReplica(managed.ReplicaOptions{Service: r.options.Service, Slots: r.options.Slots, Pause: r.options.Pause, Events: r.options.Events})
		return about, func() bool { f.dropReplica(r); return true }
	}
	f.dropReplica(r)
	return fmt.Sprintf("%s, gone", about), func() bool {
		f.addReplica(managed.ReplicaOptions{Service: r.options.Service, Slots: r.options.Slots, Pause: r.options.Pause, Events: r.options.Events})
		return true
	}
}

// newVersion publishes some versions, shortly one after the other.
func (f *faults) newVersion() (string, func() bool) {
	for range 1 + f.random.IntN(3) {
		f.configure()
	}
	return "version", func() bool { return true }
}
