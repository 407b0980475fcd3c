package proctest

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/operator"
	"github.com/walnutcove/walnutcove/processes"
	"github.com/walnutcove/walnutcove/settings"
	"github.com/walnutcove/walnutcove/store"
)

// The pools, the model and the path that the fleet declares, and the waits of the tests.
const (
	enginePool  = "drafting"
	servicePool = "deploy"
	model       = "walnut-small"
	servicePath = "/svc/deploy"

	// testTimeout limits every wait for an event that must come.
	testTimeout = 30 * time.Second
	// pollPause is the pause between two checks of a condition.
	pollPause = 10 * time.Millisecond
)

// options describe the processes of a fleet. Zero values take the stated
// defaults.
type options struct {
	// engines and services are the numbers of targets. Default 2 and 1.
	engines  int
	services int
	// engineSlots and serviceSlots default to 8 and 4.
	engineSlots  int
	serviceSlots int
	// tokenTime is how long an engine takes for a token. Default 2 ms.
	tokenTime time.Duration
	// notResuming declares that the engines cannot resume a stream.
	notResuming bool
	// workspaces holds the share of each workspace. Default bakery 2, school 1.
	workspaces map[string]float64
	// maxQueued limits each workspace's queue at a router. Default 256.
	maxQueued int
	// dataCentres holds the data centre of each router; engine n is in that of
	// router n. Default: all in one.
	dataCentres [routerCount]string
	// edit, if not nil, changes the settings of each router.
	edit func(*settings.Settings)
}

const routerCount = 3

// maxParallelFleets limits the fleets that run at the same time, so that
// parallel tests do not starve one another of processor time.
const maxParallelFleets = 3

var fleetSlots = make(chan struct{}, maxParallelFleets)

// fleet is three routers, the platform and targets, each a process. There is a
// proxy on the connections from each router to each other router, from each
// router to the platform, and to each target.
type fleet struct {
	t        testing.TB
	options  options
	routerIP string
	proxyIP  string
	platform *processes.StandIn
	routers  []*processes.Router
	targets  map[string]*processes.StandIn
	declared map[string]config.Target

	// peerProxies[a][b] is the proxy through which router a reaches router b.
	peerProxies [routerCount][routerCount]*proxy
	// platformProxies[a] is the proxy through which router a reaches the
	// platform.
	platformProxies [routerCount]*proxy
	// targetProxies holds the proxy through which all routers reach a target.
	targetProxies map[string]*proxy

	mu sync.Mutex
	// version is the newest version that the test was told of.
	version config.Version
	// notes is the log of the test's actions.
	notes []string
}

// startFleet starts a fleet and waits until every router is on version 1 and
// one router schedules each shard. If the test fails, it shows the routers'
// output.
func startFleet(t testing.TB, o options) *fleet {
	t.Helper()
	fleetSlots <- struct{}{}
	t.Cleanup(func() { <-fleetSlots })
	f := &fleet{
		t:             t,
		options:       withDefaults(o),
		targets:       make(map[string]*processes.StandIn),
		declared:      make(map[string]config.Target),
		targetProxies: make(map[string]*proxy),
	}
	f.routerIP, f.proxyIP = processes.NewLoopbackIPs()
	t.Cleanup(f.close)
	views := f.startPlatform()
	f.startTargets()
	f.startRouters(views)
	f.declare()
	f.awaitSettled()
	return f
}

func withDefaults(o options) options {
	setDefault(&o.engines, 2)
	setDefault(&o.services, 1)
	setDefault(&o.engineSlots, 8)
	setDefault(&o.serviceSlots, 4)
	setDefault(&o.tokenTime, 2*time.Millisecond)
	if o.dataCentres[0] == "" {
		o.dataCentres = [routerCount]string{"ikeja", "ikeja", "ikeja"}
	}
	if o.workspaces == nil {
		o.workspaces = map[string]float64{"bakery": 2, "school": 1}
	}
	return o
}

func setDefault[T ~int | ~int64](value *T, defaultValue T) {
	if *value == 0 {
		*value = defaultValue
	}
}

func (f *fleet) close() {
	for _, r := range f.routers {
		_ = r.Thaw()
		r.Kill()
	}
	for _, target := range f.targets {
		target.Kill()
	}
	if f.platform != nil {
		f.platform.Kill()
	}
	if f.t.Failed() {
		f.report()
	}
}

// note adds a line to the log of the test's actions, shown if the test fails.
func (f *fleet) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	line := time.Now().Format("15:04:05.000 ") + fmt.Sprintf(format, args...)
	f.notes = append(f.notes, line)
}

// report shows the log of the test's actions and the end of each router's
// output.
func (f *fleet) report() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, line := range f.notes {
		f.t.Log(line)
	}
	for _, r := range f.routers {
		output := r.Output()
		const maxBytes = 6000
		if len(output) > maxBytes {
			output = "..." + output[len(output)-maxBytes:]
		}
		f.t.Logf("%s printed:\n%s", r.Name, output)
	}
}

// startPlatform starts the platform. It returns the addresses of its views, one
// for each router.
func (f *fleet) startPlatform() []string {
	f.t.Helper()
	var views []string
	var err error
	f.platform, views, err = processes.StartPlatformViews(binaries, routerCount)
	f.must(err)
	return views
}

func (f *fleet) startTargets() {
	f.t.Helper()
	for n := range f.options.engines {
		name := fmt.Sprintf("engine-%d", n+1)
		e, err := processes.StartEngine(binaries, name, processes.EngineOptions{
			Listen: f.proxyIP + ":0", Slots: f.options.engineSlots, Step: f.options.tokenTime, Resumes: !f.options.notResuming,
		})
		f.must(err)
		f.addTarget(name, e, config.Target{DataCentre: f.options.dataCentres[n%routerCount], Pool: enginePool, Slots: f.options.engineSlots, Resumes: !f.options.notResuming})
	}
	for n := range f.options.services {
		name := fmt.Sprintf("service-%d", n+1)
		s, err := processes.StartService(binaries, name, f.options.serviceSlots, f.proxyIP+":0")
		f.must(err)
		f.addTarget(name, s, config.Target{DataCentre: f.options.dataCentres[n%routerCount], Pool: servicePool, Slots: f.options.serviceSlots})
	}
}

func (f *fleet) addTarget(name string, started *processes.StandIn, declared config.Target) {
	f.targets[name] = started
	f.targetProxies[name] = newProxy(f.t, name, f.proxyIP, started.Address)
	declared.Address = f.targetProxies[name].Address()
	f.declared[name] = declared
}

// routerName returns the name of router n, counted from 0.
func routerName(n int) string { return fmt.Sprintf("vm-%d", n+1) }

// startRouters starts the routers. The list of VMs that the platform gives to
// router a holds, for every other router, the address of the proxy between a
// and it.
func (f *fleet) startRouters(views []string) {
	f.t.Helper()
	dir := f.t.TempDir()
	listen, err := freeListenAddresses(f.routerIP)
	f.must(err)
	var vms []store.VM
	for n := range routerCount {
		vms = append(vms, store.VM{Name: routerName(n), DataCentre: f.options.dataCentres[n], PeerAddress: listen[n].Peers, State: store.VMLive})
	}
	f.post("http://"+f.platform.Address+"/_vms", store.VMsReply{VMs: vms}, nil)
	for a := range routerCount {
		addresses := make(map[string]string)
		for b := range routerCount {
			if a != b {
				f.peerProxies[a][b] = newProxy(f.t, routerName(a)+" to "+routerName(b), f.proxyIP, listen[b].Peers)
				addresses[routerName(b)] = f.peerProxies[a][b].Address()
			}
		}
		f.post("http://"+views[a]+"/_view", addresses, nil)
		f.platformProxies[a] = newProxy(f.t, routerName(a)+" to platform", f.proxyIP, views[a])
		r, err := processes.StartRouter(binaries, dir, f.settings(a, listen[a]))
		f.must(err)
		f.routers = append(f.routers, r)
	}
}

// freeListenAddresses picks the listen addresses of the routers.
func freeListenAddresses(ip string) ([routerCount]settings.Listen, error) {
	var listens [routerCount]settings.Listen
	const portsPerRouter = 3
	addresses, err := processes.FreeAddresses(ip, portsPerRouter*routerCount)
	if err != nil {
		return listens, err
	}
	for n := range routerCount {
		routerAddresses := addresses[portsPerRouter*n:]
		listens[n] = settings.Listen{Callers: routerAddresses[0], Operators: routerAddresses[1], Peers: routerAddresses[2]}
	}
	return listens, nil
}

func (f *fleet) settings(n int, listen settings.Listen) settings.Settings {
	s := settings.Defaults()
	s.Node.Name = routerName(n)
	s.Node.DataCentre = f.options.dataCentres[n]
	s.Listen = listen
	s.Platform.Address = f.platformProxies[n].Address()
	s.Platform.Timeout = settings.Duration(time.Second)
	s.Platform.PollEvery = settings.Duration(300 * time.Millisecond)
	s.Platform.VMListEvery = settings.Duration(300 * time.Millisecond)
	s.Limits.DrainTimeout = settings.Duration(time.Minute)
	if f.options.edit != nil {
		f.options.edit(&s)
	}
	return s
}

// key returns the key of a workspace.
func key(workspace string) string { return workspace + "-key" }

// declare submits the first version, with all workspaces, pools and targets.
func (f *fleet) declare() {
	f.t.Helper()
	workspaces := make(map[string]config.Workspace)
	for name, share := range f.options.workspaces {
		hash := config.HashKey([]byte(key(name)))
		workspaces[name] = config.Workspace{
			Share:     share,
			KeyHashes: []string{hex.EncodeToString(hash[:])},
			Pools:     []string{enginePool, servicePool},
			MaxQueued: f.options.maxQueued,
		}
	}
	f.mustPatch(0, config.Declarations{
		Workspaces: workspaces,
		Pools: map[string]config.Pool{
			enginePool:  {Kind: config.KindEngine, Models: []string{model}, TypicalMillis: 50},
			servicePool: {Kind: config.KindService, PathPrefix: servicePath, NonIdempotent: true, TypicalMillis: 20},
		},
		Targets: f.declared,
	})
	f.awaitVersion(0, 1, 2)
}

// mustPatch submits changes at a router, based on the newest version known to
// the test, and records the accepted version.
func (f *fleet) mustPatch(router int, changes any) config.Version {
	f.t.Helper()
	encoded, err := json.Marshal(changes)
	f.must(err)
	f.mu.Lock()
	base := f.version
	f.mu.Unlock()
	patch := config.Patch{ID: config.NewPatchID(), Base: base, Author: "proctest", Changes: encoded}
	var accepted operator.PatchAccepted
	f.post(f.operatorsAddress(router)+operator.PathPatches, patch, &accepted)
	f.mu.Lock()
	f.version = accepted.Version
	f.mu.Unlock()
	f.note("version %d accepted at %s: %s", accepted.Version, routerName(router), encoded)
	return accepted.Version
}

// operatorsAddress returns the URL of a router's operator API.
func (f *fleet) operatorsAddress(n int) string {
	return "http://" + f.routers[n].Settings.Listen.Operators
}

// callersAddresses returns the addresses at which the given routers serve
// callers; those of all routers if none is given.
func (f *fleet) callersAddresses(routers ...int) []string {
	if len(routers) == 0 {
		routers = []int{0, 1, 2}
	}
	var addresses []string
	for _, n := range routers {
		addresses = append(addresses, f.routers[n].Settings.Listen.Callers)
	}
	return addresses
}

// eventually waits until a condition holds.
func (f *fleet) eventually(what string, condition func() bool) {
	f.t.Helper()
	if !waitFor(testTimeout, condition) {
		f.t.Fatalf("timed out waiting until %s", what)
	}
}

// waitFor waits until a condition holds, and reports whether it did in time.
func waitFor(timeout time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(pollPause) {
		if condition() {
			return true
		}
	}
	return condition()
}

func (f *fleet) must(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) post(url string, document, reply any) {
	f.t.Helper()
	f.must(post(url, document, reply))
}
