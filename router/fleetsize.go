package router

import (
	"sync"
	"time"

	"github.com/walnutcove/walnutcove/control"
)

const (
	// routerRetention is how long a router that is out of sight counts as one that serves.
	routerRetention = 15 * time.Minute
	// forgetInterval is the period of looking for routers to forget.
	forgetInterval = time.Second
)

// fleetSize counts the routers that may be serving, for limits that the fleet shares. Unlike the
// live routers, it includes those that are leaving, those that are cut off from this one, and
// those that this one has not met yet. It is safe for concurrent use.
type fleetSize struct {
	now func() time.Time

	mu      sync.Mutex
	hasList bool
	listed  map[control.NodeID]bool
	alive   map[control.NodeID]bool
	// lastSeen holds when a router was last alive, or was first listed.
	lastSeen map[control.NodeID]time.Time
	forgotAt time.Time
}

func newFleetSize(now func() time.Time) *fleetSize {
	return &fleetSize{now: now, lastSeen: make(map[control.NodeID]time.Time)}
}

// setListed records the platform's list.
func (f *fleetSize) setListed(names []control.NodeID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hasList = true
	before := f.listed
	f.listed = make(map[control.NodeID]bool, len(names))
	for _, name := range names {
		f.listed[name] = true
		// The rows of routers that were lost stay in the list.
		if _, known := f.lastSeen[name]; !known && !before[name] {
			f.lastSeen[name] = f.now()
		}
	}
}

// setAlive records which routers are alive, and for those that no longer are that they were alive
// until now.
func (f *fleetSize) setAlive(names []control.NodeID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name := range f.alive {
		f.lastSeen[name] = f.now()
	}
	f.alive = make(map[control.NodeID]bool, len(names))
	for _, name := range names {
		f.alive[name] = true
		f.lastSeen[name] = f.now()
	}
}

// count returns the number of routers that may be serving, including this one; zero before the
// first list.
func (f *fleetSize) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.hasList {
		return 0
	}
	if f.now().Sub(f.forgotAt) >= forgetInterval {
		f.forgotAt = f.now()
		f.forget()
	}
	return max(1, len(f.lastSeen))
}

// forget drops the routers that have been out of sight for routerRetention. A router that sees
// only a minority may itself be cut off, and drops only those that are not listed any more.
func (f *fleetSize) forget() {
	seesMajority := 2*len(f.alive) > len(f.lastSeen)
	for name, seen := range f.lastSeen {
		if !f.alive[name] && f.now().Sub(seen) >= routerRetention && (seesMajority || !f.listed[name]) {
			delete(f.lastSeen, name)
		}
	}
}
