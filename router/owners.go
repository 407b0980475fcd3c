package router

import (
	"sync"
	"time"

	"github.com/walnutcove/walnutcove/control"
)

// ownerGrace is how long another router may be unreachable before its requests
// are no longer reported as "in progress".
const ownerGrace = 10 * time.Second

// claimOwners tracks which processes may still be running the requests that they
// claimed. It decides only whether a repeated request is answered "in progress" or
// "may have run", never whether a request runs.
type claimOwners struct {
	self        control.NodeID
	incarnation control.Incarnation
	now         func() time.Time

	mu     sync.Mutex
	states map[control.NodeID]ownerState
}

// ownerState is what is known about another router.
type ownerState struct {
	// incarnation is that of its latest message; zero if there was none.
	incarnation control.Incarnation
	// lostAt is when the session to it was lost; zero if it is not lost.
	lostAt time.Time
}

func newClaimOwners(self control.NodeID, incarnation control.Incarnation, now func() time.Time) *claimOwners {
	return &claimOwners{self: self, incarnation: incarnation, now: now, states: make(map[control.NodeID]ownerState)}
}

// messageReceived records that a message came from a process.
func (o *claimOwners) messageReceived(node control.NodeID, incarnation control.Incarnation) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.states[node] = ownerState{incarnation: incarnation}
}

// sessionChanged records that the session to a router was established or lost.
func (o *claimOwners) sessionChanged(node control.NodeID, connected bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	state := o.states[node]
	switch {
	case connected:
		state.lostAt = time.Time{}
	case state.lostAt.IsZero():
		state.lostAt = o.now()
	}
	o.states[node] = state
}

// mayBeRunning reports whether a process may still be running the requests it claimed.
func (o *claimOwners) mayBeRunning(node control.NodeID, incarnation control.Incarnation) bool {
	if node == o.self {
		return incarnation == o.incarnation
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	state := o.states[node]
	if !state.lostAt.IsZero() {
		return o.now().Sub(state.lostAt) < ownerGrace
	}
	return state.incarnation == 0 || state.incarnation == incarnation
}
