package router

import (
	"sync"
	"time"

	"github.com/walnutcove/walnutcove/control"
)

// fetchOverdue is how long a peer may take to give its directory before another one is
// asked beside it. Peers answer in some milliseconds; one that stands still would keep a
// router's news from it for peerFetchTimeout.
const fetchOverdue = 200 * time.Millisecond

// fetches keeps which peers are asked for their directory. The zero value is ready. It is
// safe for concurrent use.
type fetches struct {
	mu    sync.Mutex
	begun map[control.NodeID]time.Time
}

// begin reports whether a peer may be asked now: one at a time, unless all that are asked
// already are overdue.
func (f *fetches) begin(node control.NodeID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, asked := f.begun[node]; asked {
		return false
	}
	for _, begun := range f.begun {
		if time.Since(begun) < fetchOverdue {
			return false
		}
	}
	if f.begun == nil {
		f.begun = make(map[control.NodeID]time.Time)
	}
	f.begun[node] = time.Now()
	return true
}

func (f *fetches) end(node control.NodeID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.begun, node)
}
