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
	// plainReplicas and engineReplicas is how many replicas of each service serve.
	plainReplicas  = 3
	engineReplicas = 3
	// plainSlots and engineSlots is how much each runs at once: enough for the callers
	// of the soak when one of three is away.
	plainSlots  = 8
	engineSlots = 16
	// work is a plain request's time, eventPause the time between events of a stream,
	// and events how many a stream has.
	work       = 10 * time.Millisecond
	eventPause = 10 * time.Millisecond
	events     = 12
	// drainLimit bounds the end of a router that is asked to end.
	drainLimit = 8 * time.Second
)

// router is one walnutd, with the ways by which it reaches others.
type router struct {
	*processes.Router
	store *processes.Proxy
	peers map[string]*processes.Proxy
	// isDown says that a fault has ended it.
	isDown bool
	// starts counts its processes.
	starts int
}

// replica is one replica and its way, which all routers share.
type replica struct {
	*managed.Replica
	options managed.ReplicaOptions
	way     *processes.Proxy
}

// fleet is routers as processes, and the platform within the test's own.
type fleet struct {
	t        *testing.T
	store    *managed.Store
	journal  *managed.Journal
	ip       string
	routers  []*router
	replicas []*replica
	// zones are assigned to new replicas in rotation.
	zones []string
	// made counts replicas, for their names.
	made int

	mu      sync.Mutex
	version uint64
	notes   []string
}

// startFleet starts a fleet and waits until every router is ready.
func startFleet(t *testing.T, routers int, options soakOptions) *fleet {
	f := &fleet{t: t, store: managed.StartStore(), journal: &managed.Journal{}, zones: []string{managed.DefaultZone}}
	if options.evacuates {
		f.zones = append(f.zones, secondZone)
	}
	t.Cleanup(f.close)
	var routerIP string
	routerIP, f.ip = processes.NewLoopbackIPs()
	f.configure()
	for range plainReplicas {
		f.addReplica(managed.ReplicaOptions{Service: managed.DemoService, Slots: plainSlots, Pause: work})
	}
	for range engineReplicas {
		f.addReplica(managed.ReplicaOptions{Service: managed.DemoEngine, Slots: engineSlots, Pause: eventPause, Events: events})
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
		r.store.Close()
		for _, way := range r.peers {
			way.Close()
		}
	}
	for _, r := range f.replicas {
		r.Close()
		r.way.Close()
	}
	f.store.Close()
	if f.t.Failed() {
		f.report()
	}
}

// report shows what was done, and where the routers' output is kept.
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
	f.t.Logf("output of the routers' last processes: %s", dir)
}

// noteTime is the format of times in notes and logs.
const noteTime = "15:04:05.000"

// note adds a line to what was done.
func (f *fleet) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.notes = append(f.notes, time.Now().Format(noteTime)+" "+fmt.Sprintf(format, args...))
}

// versionKey is the key that a version alone accepts.
func versionKey(version uint64) string { return fmt.Sprintf("key-of-%d", version) }

// newest returns the newest version.
func (f *fleet) newest() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version
}

// configure publishes the next version.
func (f *fleet) configure() {
	f.mu.Lock()
	f.version += 2 // versions rise in steps
	f.mu.Unlock()
	f.publish()
}

// publish writes the newest version, also again.
func (f *fleet) publish() {
	version := f.newest()
	content := managed.DemoConfig(version)
	content.Tenants[0].Keys = append(content.Tenants[0].Keys, versionKey(version))
	f.store.Put(wire.TableOperator, wire.KeyConfig, content)
	f.note("version %d", version)
}

func (f *fleet) addReplica(options managed.ReplicaOptions) {
	f.made++
	options.ID = fmt.Sprintf("%s-%d", options.Service, f.made)
	options.Zone = f.zones[f.made%len(f.zones)]
	added := &replica{options: options}
	options.Advertise = func(listens string) (string, error) {
		var err error
		added.way, err = processes.NewProxy(options.ID, f.ip, listens)
		if err != nil {
			return "", err
		}
		return added.way.Address(), nil
	}
	var err error
	added.Replica, err = managed.StartReplica(f.store, f.journal, options)
	f.must(err)
	f.replicas = append(f.replicas, added)
}

// dropReplica ends a replica: its connections break and its entry goes.
func (f *fleet) dropReplica(r *replica) {
	f.replicas = slices.DeleteFunc(f.replicas, func(other *replica) bool { return other == r })
	r.way.Close()
	r.Close()
}

func (f *fleet) startRouters(count int, ip string) {
	const each = 4
	addresses, err := processes.FreeAddresses(ip, each*count)
	f.must(err)
	name := func(n int) string { return fmt.Sprintf("vm-%d", n+1) }
	peerAddress := func(n int) string { return addresses[each*n+2] }
	dir := f.t.TempDir()
	for n := range count {
		r := &router{peers: make(map[string]*processes.Proxy)}
		f.routers = append(f.routers, r)
		for other := range count {
			if other != n {
				r.peers[name(other)] = f.way(name(n)+" to "+name(other), peerAddress(other))
			}
		}
		address, err := f.store.Listen()
		f.must(err)
		f.store.SetView(address, r.seesPeers)
		r.store = f.way(name(n)+" to the store", address)
		s := devfleet.ManagedSettings(name(n), r.store.Address())
		s.Listen = settings.Listen{Callers: addresses[each*n], Operators: addresses[each*n+1], Peers: peerAddress(n), Health: addresses[each*n+3]}
		s.Limits.DrainTimeout = settings.Duration(drainLimit)
		r.Router, err = processes.StartRouter(binaries, dir, s)
		f.must(err)
		r.starts++
	}
	for _, r := range f.routers {
		f.must(r.WaitReady())
	}
}

func (f *fleet) way(name, upstream string) *processes.Proxy {
	way, err := processes.NewProxy(name, f.ip, upstream)
	f.must(err)
	return way
}

// seesPeers puts the router's own ways in place of the others' addresses.
func (r *router) seesPeers(row wire.Row) wire.Row {
	way, listed := r.peers[row.Key]
	if row.Table != platform.TableRouters || !listed || row.Removed {
		return row
	}
	var content map[string]any
	if err := json.Unmarshal(row.Data, &content); err != nil {
		panic(err) // routers write valid rows
	}
	content["peer_address"] = way.Address()
	data, err := json.Marshal(content)
	if err != nil {
		panic(err) // it was just decoded
	}
	row.Data = data
	return row
}

// restart starts a router whose process has ended.
func (f *fleet) restart(r *router) {
	f.must(r.Restart())
	f.mu.Lock()
	defer f.mu.Unlock()
	r.starts++
}

func (f *fleet) must(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}
