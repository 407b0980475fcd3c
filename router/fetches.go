package router

import (
	"sync"
	"time"

	"github.com/walnutcove/walnutcove/control"
)

// fetchOverdueAfter is how long a peer may take to send its directory before another peer
// is asked as well. Peers answer within some milliseconds; a peer that is stopped would
// otherwise delay the update of this router's directory by peerFetchTimeout.
const fetchOverdueAfter = 200 * time.Millisecond

// directoryFetches tracks which peers are being asked for their directory. The zero value is
// ready to use. It is safe for concurrent use.
type directoryFetches struct {
	mu        sync.Mutex
	startedAt map[control.NodeID]time.Time
}

// tryBegin reports whether a peer may be asked now, and records the fetch if so: one peer at
// a time, unless all fetches in progress are overdue.
func (f *directoryFetches) tryBegin(node control.NodeID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, asked := f.startedAt[node]; asked {
		return false
	}
	for _, started := range f.startedAt {
		if time.Since(started) < fetchOverdueAfter {
			return false
		}
	}
	if f.startedAt == nil {
		f.startedAt = make(map[control.NodeID]time.Time)
	}
	f.startedAt[node] = time.Now()
	return true
}

// end records that a fetch has ended.
func (f *directoryFetches) end(node control.NodeID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.startedAt, node)
}

// count returns the number of fetches in progress.
func (f *directoryFetches) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.startedAt)
}
