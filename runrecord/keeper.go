package runrecord

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
)

// Keeper claims run records and writes the outcomes of the runs. It is safe for
// concurrent use.
type Keeper struct {
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
// are guarded by Keeper.mu once the claim has ended.
type entry struct {
	key    string
	record Record
	// revision is the row's revision after this process wrote it; zero if unknown.
	revision uint64
	// unresolved means that a write of the claim may or may not have taken effect.
	unresolved bool
	// ended means that record holds the outcome, which the writer still has to write.
	ended bool
	// done is closed once the entry has been removed from the keeper.
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

// New returns a keeper whose workers write the ends of claims and sweep expired
// records until Close.
func New(options Options) *Keeper {
	k := newKeeper(options)
	ctx, stop := context.WithCancel(context.Background())
	k.stop = stop
	sweeper := newSweeper(k)
	k.workers.Go(func() { k.writeEnds(ctx) })
	k.workers.Go(func() { sweeper.run(ctx) })
	return k
}

// newKeeper returns a keeper without running workers.
func newKeeper(options Options) *Keeper {
	options = options.withDefaults()
	return &Keeper{
		options:        options,
		metrics:        newCounters(options.Metrics),
		entries:        make(map[string]*entry),
		queueGrew:      make(chan struct{}, 1),
		flushRequested: make(chan struct{}, 1),
	}
}

// Close waits until every ended record is written or ctx is done, and stops
// the keeper. Records that were not written stay claimed in the table: resends
// of their requests are answered "may have run".
func (k *Keeper) Close(ctx context.Context) error {
	err := k.flush(ctx)
	k.stop()
	k.workers.Wait()
	return err
}

// flush waits until the queue is empty or ctx is done.
func (k *Keeper) flush(ctx context.Context) error {
	for {
		oldest := k.oldestQueued()
		if oldest == nil {
			return nil
		}
		notify(k.flushRequested)
		select {
		case <-oldest.done:
		case <-ctx.Done():
			return fmt.Errorf("runrecord: wait for ended records to be written: %w", ctx.Err())
		}
	}
}

func (k *Keeper) oldestQueued() *entry {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.queue) == 0 {
		return nil
	}
	return k.queue[0]
}

// queueEnd queues the end of a claim for the writer.
func (k *Keeper) queueEnd(e *entry, state State, outcome Outcome) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.queue) >= k.options.MaxPending {
		k.metrics.droppedEnds.Inc()
		k.removeEntry(e)
		return
	}
	if k.pendingBytes+outcome.size() > k.options.MaxPendingBytes {
		k.metrics.droppedAnswers.Inc()
		outcome = outcome.limitedTo(0)
	}
	e.record.State = state
	e.record.EndedAt = k.options.WallClock().UnixMilli()
	e.record.Outcome = &outcome
	e.ended = true
	k.pendingBytes += outcome.size()
	k.queue = append(k.queue, e)
	notify(k.queueGrew)
}

// notify puts a token into a channel unless it already holds one.
func notify(ch chan<- struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// removeEntry removes an entry. The caller holds mu.
func (k *Keeper) removeEntry(e *entry) {
	if k.entries[e.key] == e {
		delete(k.entries, e.key)
	}
	close(e.done)
}

// MaxStoredBytes returns the size of the largest answer that is stored; see
// Options.
func (k *Keeper) MaxStoredBytes() int { return k.options.MaxStoredBytes }
