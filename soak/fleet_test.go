package soak

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/devfleet"
	"github.com/walnutcove/walnutcove/platform"
	"github.com/walnutcove/walnutcove/platform/wire"
	"github.com/walnutcove/walnutcove/processes"
	"github.com/walnutcove/walnutcove/settings"
	"github.com/walnutcove/walnutcove/standin/managed"
)

const (
	// plainReplicas and engineReplicas are the numbers of replicas of the two services.
	plainReplicas  = 3
	engineReplicas = 3
	// plainSlots and engineSlots are the slots of each replica: enough for all callers
	// when one of three replicas is unavailable.
	plainSlots  = 8
	engineSlots = 16
	// plainRunTime is how long a plain request runs, eventPause the time between events of
	// a stream, and events the number of events in a stream.
	plainRunTime = 10 * time.Millisecond
	eventPause   = 10 * time.Millisecond
	events       = 12
	// drainLimit limits how long a router that is asked to shut down drains.
	drainLimit = 8 * time.Second
)

// router is one walnutd, with the proxies through which it reaches the store and its peers.
type router struct {
	*processes.Router
	storeProxy  *processes.Proxy
	peerProxies map[string]*processes.Proxy
	// isDown is set while a fault keeps it killed or shutting down.
	isDown bool
	// startCount is the number of processes that were started for it.
	startCount int
}

// replica is one replica and the proxy through which all routers reach it.
type replica struct {
	*managed.Replica
	options managed.ReplicaOptions
	proxy   *processes.Proxy
}

// fleet is a set of routers as processes, with the platform and the replicas in the test's
// own process.
type fleet struct {
	t        *testing.T
	store    *managed.Store
	journal  *managed.Journal
	proxyIP  string
	routers  []*router
	replicas []*replica
	// answersUnframed is soakOptions.unframed.
	answersUnframed bool
	// callersReconnect is soakOptions.software.
	callersReconnect bool
	// enginesCrash is soakOptions.crashingParts.
	enginesCrash bool
	// plan is set if soakOptions.planned is.
	plan *plan
	// zones are assigned to new replicas in rotation.
	zones []string
	// replicasMade counts all replicas ever started, for their names.
	replicasMade int

	mu sync.Mutex
	// version is the newest published version.
	version uint64
	// published holds what each version that was written says.
	published []published
	// notes is the log of the test's actions.
	notes []string
}

// startFleet starts a fleet and waits until every router is ready.
func startFleet(t *testing.T, routers int, options soakOptions) *fleet {
	f := &fleet{t: t, store: managed.StartStore(), journal: &managed.Journal{}, zones: []string{managed.DefaultZone}}
	f.answersUnframed, f.callersReconnect, f.enginesCrash = options.unframed, options.software, options.crashingParts
	if options.evacuates {
		f.zones = append(f.zones, secondZone)
	}
	t.Cleanup(f.close)
	var routerIP string
	routerIP, f.proxyIP = processes.NewLoopbackIPs()
	pause, plainFaults := eventPause, managed.ReplicaFaults{}
	if options.planned {
		f.plan, pause = newPlan(), plannedEventPause
		plainFaults.MidAnswerPause = plainRunTime
	}
	f.publishNextVersion()
	for range plainReplicas {
		f.addReplica(managed.ReplicaOptions{Service: managed.DemoService, Slots: plainSlots, Pause: plainRunTime, ReplicaFaults: plainFaults})
	}
	engines := engineReplicas
	if options.software {
		engines = enginesOfTwoVersions
	}
	if options.crashingParts {
		engines = enginesThatCrash
	}
	for range engines {
		f.addReplica(managed.ReplicaOptions{Service: managed.DemoEngine, Slots: engineSlots, Pause: pause, Events: events})
	}
	if options.planned {
		for range secondReplicas {
			f.addReplica(managed.ReplicaOptions{Service: secondPlain, Slots: plainSlots, Pause: plainRunTime, ReplicaFaults: plainFaults})
			f.addReplica(managed.ReplicaOptions{Service: secondEngine, Slots: engineSlots, Pause: pause, Events: events})
		}
	}
	f.startRouters(routers, routerIP)
	return f
}

func (f *fleet) close() {
	for _, r := range f.routers {
		if r.Router != nil && r.Process != nil {
			_ = r.Thaw()
			r.Kill()
		}
		r.storeProxy.Close()
		for _, proxy := range r.peerProxies {
			proxy.Close()
		}
	}
	for _, r := range f.replicas {
		r.Close()
		r.proxy.Close()
	}
	f.store.Close()
	if f.t.Failed() {
		f.report()
	}
}

// report logs the notes, writes the routers' output to files and logs their folder.
func (f *fleet) report() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, line := range f.notes {
		f.t.Log(line)
	}
	dir, err := os.MkdirTemp("", "walnutcove-soak-logs-")
	if err != nil {
		f.t.Log(err)
		return
	}
	for _, r := range f.routers {
		path := fmt.Sprintf("%s/%s.log", dir, r.Name)
		if err := os.WriteFile(path, []byte(r.Output()), 0o600); err != nil {
			f.t.Log(err)
		}
	}
	f.t.Logf("output of the last process of each router: %s", dir)
}

// noteTimeFormat is the format of times in notes and failure messages.
const noteTimeFormat = "15:04:05.000"

// note adds a line to the log of the test's actions, shown if the test fails.
func (f *fleet) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.notes = append(f.notes, time.Now().Format(noteTimeFormat)+" "+fmt.Sprintf(format, args...))
}

// versionKey returns the key that only the given version accepts.
func versionKey(version uint64) string { return fmt.Sprintf("key-of-%d", version) }

// newestVersion returns the newest published version.
func (f *fleet) newestVersion() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version
}

// publishNextVersion publishes the next version.
func (f *fleet) publishNextVersion() {
	f.mu.Lock()
	f.version += 2 // versions need not be consecutive: these are 2, 4, 6 and so on
	f.mu.Unlock()
	f.writeNewestVersion()
}

// writeNewestVersion writes the newest version to the store, possibly again.
func (f *fleet) writeNewestVersion() {
	version := f.newestVersion()
	content := managed.DemoConfig(version)
	content.Tenants[0].Keys = append(content.Tenants[0].Keys, versionKey(version))
	if f.plan == nil {
		f.recordPublished(content)
		f.store.Put(wire.TableOperator, wire.KeyConfig, content)
	} else {
		planned := f.plan.apply(content)
		f.recordPublished(planned.Config)
		f.store.Put(wire.TableOperator, wire.KeyConfig, planned)
	}
	f.note("version %d", version)
}

// addReplica starts a replica behind a proxy of its own, with the next ID and zone.
func (f *fleet) addReplica(options managed.ReplicaOptions) {
	f.replicasMade++
	options.ID = fmt.Sprintf("%s-%d", options.Service, f.replicasMade)
	options.Zone = f.zones[f.replicasMade%len(f.zones)]
	options.Unframed = f.answersUnframed
	if f.callersReconnect {
		options.Software = softwareVersions[f.replicasMade%len(softwareVersions)]
	}
	if f.enginesCrash && options.Service == managed.DemoEngine {
		options = f.crashEngineOptions(options)
	}
	added := &replica{options: options}
	options.Advertise = func(listens string) (string, error) {
		var err error
		added.proxy, err = processes.NewProxy(options.ID, f.proxyIP, listens)
		if err != nil {
			return "", err
		}
		added.proxy.SetResets(f.answersUnframed)
		return added.proxy.Address(), nil
	}
	var err error
	added.Replica, err = managed.StartReplica(f.store, f.journal, options)
	f.must(err)
	f.replicas = append(f.replicas, added)
}

// dropReplica ends a replica: its connections break and its entry is deleted.
func (f *fleet) dropReplica(r *replica) {
	f.replicas = slices.DeleteFunc(f.replicas, func(other *replica) bool { return other == r })
	r.proxy.Close()
	r.Close()
}

func (f *fleet) startRouters(count int, ip string) {
	const portsPerRouter = 4
	addresses, err := processes.FreeAddresses(ip, portsPerRouter*count)
	f.must(err)
	name := func(n int) string { return fmt.Sprintf("vm-%d", n+1) }
	peerAddress := func(n int) string { return addresses[portsPerRouter*n+2] }
	dir := f.t.TempDir()
	for n := range count {
		r := &router{peerProxies: make(map[string]*processes.Proxy)}
		f.routers = append(f.routers, r)
		for other := range count {
			if other != n {
				r.peerProxies[name(other)] = f.newProxy(name(n)+" to "+name(other), peerAddress(other))
			}
		}
		address, err := f.store.Listen()
		f.must(err)
		f.store.SetView(address, r.withProxiedPeerAddress)
		r.storeProxy = f.newProxy(name(n)+" to the store", address)
		s := devfleet.ManagedSettings(name(n), r.storeProxy.Address())
		s.Listen = settings.Listen{Callers: addresses[portsPerRouter*n], Operators: addresses[portsPerRouter*n+1], Peers: peerAddress(n), Health: addresses[portsPerRouter*n+3]}
		s.Limits.DrainTimeout = settings.Duration(drainLimit)
		if f.plan != nil && n%2 == 0 {
			s.Retries.Window, s.Retries.Ratio = settings.Duration(plannedRetryWindow), plannedRetryRatio
		}
		r.Router, err = processes.StartRouter(binaries, dir, s)
		f.must(err)
		r.startCount++
	}
	for _, r := range f.routers {
		f.must(r.WaitReady())
	}
}

func (f *fleet) newProxy(name, upstream string) *processes.Proxy {
	proxy, err := processes.NewProxy(name, f.proxyIP, upstream)
	f.must(err)
	return proxy
}

// withProxiedPeerAddress returns a row of the store as the router is to see it: in the entry
// of another router, the address of the proxy to that router replaces the router's own.
func (r *router) withProxiedPeerAddress(row wire.Row) wire.Row {
	proxy, listed := r.peerProxies[row.Key]
	if row.Table != platform.TableRouters || !listed || row.Removed {
		return row
	}
	var content map[string]any
	if err := json.Unmarshal(row.Data, &content); err != nil {
		panic(err) // routers write valid rows
	}
	content["peer_address"] = proxy.Address()
	data, err := json.Marshal(content)
	if err != nil {
		panic(err) // the content was just decoded
	}
	row.Data = data
	return row
}

// restart starts a router whose process has ended.
func (f *fleet) restart(r *router) {
	f.must(r.Restart())
	f.mu.Lock()
	defer f.mu.Unlock()
	r.startCount++
}

func (f *fleet) must(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}
