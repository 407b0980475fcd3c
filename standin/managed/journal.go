package managed

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/walnutcove/walnutcove/targets/connstate"
	"github.com/walnutcove/walnutcove/wait"
)

// Run is one request that a replica ran.
type Run struct {
	// ID is the request's id, Replica the id of the replica that ran it.
	ID, Replica string
	// Software is the version of the replica's software.
	Software string
	// Workspace, AfterEvent, Resumes and Parts are the values of the headers
	// wire.HeaderWorkspace, wire.HeaderAfterEvent, wire.HeaderResumes and wire.HeaderParts.
	Workspace, AfterEvent, Resumes, Parts string
	// LeavingFor is how long before the run the replica announced that it is
	// leaving; zero if it did not.
	LeavingFor time.Duration
	// StartedAt is when the replica began the run.
	StartedAt time.Time
	// FirstEventAt is when the replica sent the first event of a stream; zero if it did not.
	FirstEventAt time.Time
	// EndedAt is when the run ended or its connection was closed, whichever came first; zero
	// while it goes on.
	EndedAt time.Time
	// Cancelled is set if the connection closed before the answer was complete.
	Cancelled bool
}

// Arrival is one request that reached the replica that it was addressed to, whether
// it ran or not.
type Arrival struct {
	// ID is the request's id, Replica the id of the replica that it reached.
	ID, Replica string
	At          time.Time
	// Refused is set if the replica did not run the request. RetryAfter is the delay
	// that the refusal asked for.
	Refused    bool
	RetryAfter time.Duration
}

// Journal records the arrivals and runs at all replicas. It is safe for concurrent
// use.
type Journal struct {
	mu       sync.Mutex
	runs     []*Run
	arrivals []Arrival
}

func (j *Journal) addArrival(arrival Arrival) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.arrivals = append(j.arrivals, arrival)
}

// Arrivals returns the requests that reached a replica, in order.
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

func (j *Journal) addRun(run *Run) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs = append(j.runs, run)
}

// closePollPause is the pause between two checks whether the connection of a run was closed.
const closePollPause = 10 * time.Millisecond

// watch records in EndedAt that the connection of a run was closed, until end is called, which
// records the end of the run.
func (j *Journal) watch(run *Run, conn net.Conn) (end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for checker := connstate.NewChecker(conn); wait.For(ctx, closePollPause); {
			if err := checker.Check(); err != nil && !errors.Is(err, connstate.ErrData) {
				j.recordEndedAt(run)
				return
			}
		}
	}()
	return func() {
		cancel()
		j.recordEndedAt(run)
	}
}

// recordEndedAt sets EndedAt, unless it is set.
func (j *Journal) recordEndedAt(run *Run) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if run.EndedAt.IsZero() {
		run.EndedAt = time.Now()
	}
}

// recordEvent records that an event was sent.
func (j *Journal) recordEvent(run *Run) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if run.FirstEventAt.IsZero() {
		run.FirstEventAt = time.Now()
	}
}

// recordEnd records, at the end of a run, whether the caller has closed the
// connection.
func (j *Journal) recordEnd(run *Run, conn net.Conn) {
	cancelled := errors.Is(connstate.NewChecker(conn).Check(), connstate.ErrClosed)
	j.mu.Lock()
	defer j.mu.Unlock()
	run.Cancelled = cancelled
}

// Runs returns the runs of a request, or of all requests if id is empty.
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
