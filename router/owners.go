package router

import (
	"sync"
	"time"

	"github.com/walnutcove/walnutcove/control"
)

// ownerGrace is how long another router may be unreachable before its requests
// are no longer called "in progress".
const ownerGrace = 10 * time.Second

// owners tells which processes may still run what they claimed. It decides
// only whether a resend is told "in progress" or "may have run", never whether
// a request runs.
type owners struct {
	self        control.NodeID
	incarnation control.Incarnation
	now         func() time.Time

	mu    sync.Mutex
	known map[control.NodeID]owner
}

// owner is what is known of another router.
type owner struct {
	// incarnation is that of its latest message; zero if none came.
	incarnation control.Incarnation
	// lostAt is when the session to it was lost; zero if it was not.
	lostAt time.Time
}

func newOwners(self control.NodeID, incarnation control.Incarnation, now func() time.Time) *owners {
	return &owners{self: self, incarnation: incarnation, now: now, known: make(map[control.NodeID]owner)}
}

// heard takes in that a message came from a process.
func (o *owners) heard(node control.NodeID, incarnation control.Incarnation) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.known[node] = owner{incarnation: incarnation}
}

// connected takes in that the session to a router came up or was lost.
func (o *owners) connected(node control.NodeID, connected bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	state := o.known[node]
	switch {
	case connected:
		state.lostAt = time.Time{}
	case state.lostAt.IsZero():
		state.lostAt = o.now()
	}
	o.known[node] = state
}

// alive says whether a process may still run what it claimed.
func (o *owners) alive(node control.NodeID, incarnation control.Incarnation) bool {
	if node == o.self {
		return incarnation == o.incarnation
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	state := o.known[node]
	if !state.lostAt.IsZero() {
		return o.now().Sub(state.lostAt) < ownerGrace
	}
	return state.incarnation == 0 || state.incarnation == incarnation
}
