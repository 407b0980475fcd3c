package runrecord

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
)

// Manager claims run records and writes the outcomes of the runs. It is safe for
// concurrent use.
type Manager struct {
	options Options
	nonces  atomic.Uint64
	epoch   epochCache
	breaker breaker
	metrics counters

	mu sync.Mutex
	// entries holds, by row key, the records that this process is claiming, has
	// claimed, or still has to end in the table.
	entries map[string]*entry
	// queue holds the entries whose ends are to be written, oldest first.
	queue        []*entry
	pendingBytes int

	queueGrew      chan struct{} // holds a token after the queue has grown
	flushRequested chan struct{} // holds a token if a goroutine waits for the writer
	stop           context.CancelFunc
	workers        sync.WaitGroup
}

// entry is one record that this process has claimed. Fields other than done
// are guarded by Manager.mu once the claim has ended.
type entry struct {
	key    string
	record Record
	// revision is the row's revision after this process wrote it; zero if unknown.
	revision uint64
	// unresolved means that a write of the claim may or may not have taken effect.
	unresolved bool
	// ended means that record holds the outcome, which the writer still has to write.
	ended bool
	// done is closed once the entry has been removed from the manager.
	done chan struct{}
}

// claimWritten records that the table holds the claim at a revision.
func (e *entry) claimWritten(revision uint64) {
	e.revision = revision
	e.unresolved = false
}

// Request identifies the request that a claim is made for.
type Request struct {
	Workspace      string
	IdempotencyKey string
	// Fingerprint is a hash of the request, used to check that a resend is the
	// same request.
	Fingerprint uint64
}

// Decision determines how a request is handled. Exactly one field is set.
type Decision struct {
	// Claim is the claim under which the request may be dispatched. The caller
	// must end it.
	Claim *Claim
	// Replay is the stored answer of a request that ran before.
	Replay *Outcome
}

// New returns a manager whose workers write the ends of claims and sweep expired
// records until Close.
func New(options Options) *Manager {
	m := newManager(options)
	ctx, stop := context.WithCancel(context.Background())
	m.stop = stop
	sweeper := newSweeper(m)
	m.workers.Go(func() { m.writeEnds(ctx) })
	m.workers.Go(func() { sweeper.run(ctx) })
	return m
}

// newManager returns a manager without running workers.
func newManager(options Options) *Manager {
	options = options.withDefaults()
	return &Manager{
		options:        options,
		metrics:        newCounters(options.Metrics),
		entries:        make(map[string]*entry),
		queueGrew:      make(chan struct{}, 1),
		flushRequested: make(chan struct{}, 1),
	}
}

// Close waits until every ended record is written or ctx is done, and stops
// the manager. Records that were not written stay claimed in the table: resends
// of their requests are answered "may have run".
func (m *Manager) Close(ctx context.Context) error {
	err := m.flush(ctx)
	m.stop()
	m.workers.Wait()
	return err
}

// flush waits until the queue is empty or ctx is done.
func (m *Manager) flush(ctx context.Context) error {
	for {
		oldest := m.oldestQueued()
		if oldest == nil {
			return nil
		}
		notify(m.flushRequested)
		select {
		case <-oldest.done:
		case <-ctx.Done():
			return fmt.Errorf("runrecord: wait for ended records to be written: %w", ctx.Err())
		}
	}
}

func (m *Manager) oldestQueued() *entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.queue) == 0 {
		return nil
	}
	return m.queue[0]
}

// queueEnd queues the end of a claim for the writer.
func (m *Manager) queueEnd(e *entry, state State, outcome Outcome) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.queue) >= m.options.MaxPending {
		m.metrics.droppedEnds.Inc()
		m.removeEntry(e)
		return
	}
	if m.pendingBytes+outcome.size() > m.options.MaxPendingBytes {
		m.metrics.droppedAnswers.Inc()
		outcome = outcome.limitedTo(0)
	}
	e.record.State = state
	e.record.EndedAt = m.options.WallClock().UnixMilli()
	e.record.Outcome = &outcome
	e.ended = true
	m.pendingBytes += outcome.size()
	m.queue = append(m.queue, e)
	notify(m.queueGrew)
}

// notify puts a token into a channel unless it already holds one.
func notify(ch chan<- struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// removeEntry removes an entry. The caller holds mu.
func (m *Manager) removeEntry(e *entry) {
	if m.entries[e.key] == e {
		delete(m.entries, e.key)
	}
	close(e.done)
}

// MaxStoredBytes returns the size of the largest answer that is stored; see
// Options.
func (m *Manager) MaxStoredBytes() int { return m.options.MaxStoredBytes }
