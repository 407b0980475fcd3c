package managed

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/walnutcove/walnutcove/targets/connstate"
)

// Run is one request that a replica began to work on.
type Run struct {
	// ID is the request's id, and Replica the incarnation that ran it.
	ID, Replica string
	// Workspace and AfterEvent are what the replica was told.
	Workspace, AfterEvent string
	// Leaving says that the replica had told that it leaves, Left ago.
	Left time.Duration
	// StartedAt is when the replica began the run.
	StartedAt time.Time
	// Cancelled is set if the connection closed before the answer was whole.
	Cancelled bool
}

// Arrival is one request that reached the replica that it named, whether it ran or not.
type Arrival struct {
	// ID is the request's id, and Replica the incarnation that it reached.
	ID, Replica string
	At          time.Time
	// Refused says that the replica did not run it, and RetryAfter what it asked for then.
	Refused    bool
	RetryAfter time.Duration
}

// Journal notes the arrivals and runs of all replicas. It is safe for concurrent use.
type Journal struct {
	mu       sync.Mutex
	runs     []*Run
	arrivals []Arrival
}

func (j *Journal) arrived(arrival Arrival) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.arrivals = append(j.arrivals, arrival)
}

// Arrivals returns what reached a replica, in order.
func (j *Journal) Arrivals(replica string) []Arrival {
	j.mu.Lock()
	defer j.mu.Unlock()
	var found []Arrival
	for _, arrival := range j.arrivals {
		if arrival.Replica == replica {
			found = append(found, arrival)
		}
	}
	return found
}

func (j *Journal) add(run *Run) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs = append(j.runs, run)
}

// noteEnd notes whether the connection of a run that ends was closed meanwhile.
func (j *Journal) noteEnd(run *Run, conn net.Conn) {
	closed := errors.Is(connstate.NewChecker(conn).Check(), connstate.ErrClosed)
	j.mu.Lock()
	defer j.mu.Unlock()
	run.Cancelled = closed
}

// Runs returns the runs of a request; of all, if id is empty.
func (j *Journal) Runs(id string) []Run {
	j.mu.Lock()
	defer j.mu.Unlock()
	var found []Run
	for _, run := range j.runs {
		if id == "" || run.ID == id {
			found = append(found, *run)
		}
	}
	return found
}
