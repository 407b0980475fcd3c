package runrecord

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
)

// Keeper claims run records and writes how the runs ended. It is safe for
// concurrent use.
type Keeper struct {
	options Options
	nonces  atomic.Uint64
	epoch   epochCache
	breaker breaker
	metrics counters

	mu sync.Mutex
	// entries are the records that this process claims, holds or still has to
	// end in the table, by row key.
	entries map[string]*entry
	// queue are the entries whose end is to be written, oldest first.
	queue        []*entry
	pendingBytes int

	wake    chan struct{} // holds a token when the queue has grown
	hurry   chan struct{} // holds a token when somebody waits for the writer
	stop    context.CancelFunc
	workers sync.WaitGroup
}

// entry is one record that this process has claimed. Fields other than done
// are guarded by Keeper.mu once the claim has ended.
type entry struct {
	key    string
	record Record
	// revision is the row's revision as this process wrote it; zero if unknown.
	revision uint64
	// unresolved says that the claim's insert may or may not have taken effect.
	unresolved bool
	// ended says that record holds the end and waits to be written.
	ended bool
	// done is closed once the entry has left the keeper.
	done chan struct{}
}

// won notes that the claim stands in the table at a revision.
func (e *entry) won(revision uint64) {
	e.revision = revision
	e.unresolved = false
}

// Request is what a claim is made for.
type Request struct {
	Workspace      string
	IdempotencyKey string
	// Fingerprint is the hash that tells whether a resend is the same request.
	Fingerprint uint64
}

// Decision is what to do with a request. Exactly one field is set.
type Decision struct {
	// Claim: the request may be dispatched under the claim, which must be ended.
	Claim *Claim
	// Replay: the request ran before and this is its stored answer.
	Replay *Outcome
}

// New returns a keeper that writes ends and sweeps until Close.
func New(options Options) *Keeper {
	k := newKeeper(options)
	ctx, stop := context.WithCancel(context.Background())
	k.stop = stop
	sweeper := newSweeper(k)
	k.workers.Go(func() { k.writeEnds(ctx) })
	k.workers.Go(func() { sweeper.run(ctx) })
	return k
}

// newKeeper returns a keeper without its workers.
func newKeeper(options Options) *Keeper {
	options = options.withDefaults()
	return &Keeper{
		options: options,
		metrics: newCounters(options.Metrics),
		entries: make(map[string]*entry),
		wake:    make(chan struct{}, 1),
		hurry:   make(chan struct{}, 1),
	}
}

// Close waits until every ended record is written or ctx is done, and stops
// the keeper. Unwritten records stay claimed in the table: their requests are
// told "may have run".
func (k *Keeper) Close(ctx context.Context) error {
	err := k.flush(ctx)
	k.stop()
	k.workers.Wait()
	return err
}

// flush waits until the queue is empty or ctx is done.
func (k *Keeper) flush(ctx context.Context) error {
	for {
		oldest := k.oldest()
		if oldest == nil {
			return nil
		}
		signal(k.hurry)
		select {
		case <-oldest.done:
		case <-ctx.Done():
			return fmt.Errorf("runrecord: ended records are not written: %w", ctx.Err())
		}
	}
}

func (k *Keeper) oldest() *entry {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.queue) == 0 {
		return nil
	}
	return k.queue[0]
}

// end queues the end of a claim for the writer.
func (k *Keeper) end(e *entry, state State, outcome Outcome) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.queue) >= k.options.MaxPending {
		k.metrics.droppedEnds.Inc()
		k.forget(e)
		return
	}
	if k.pendingBytes+outcome.bytes() > k.options.MaxPendingBytes {
		k.metrics.droppedAnswers.Inc()
		outcome = outcome.bounded(0)
	}
	e.record.State = state
	e.record.EndedAt = k.options.WallClock().UnixMilli()
	e.record.Outcome = &outcome
	e.ended = true
	k.pendingBytes += outcome.bytes()
	k.queue = append(k.queue, e)
	signal(k.wake)
}

// signal leaves a token in a channel unless it holds one.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// forget removes an entry. The caller holds mu.
func (k *Keeper) forget(e *entry) {
	if k.entries[e.key] == e {
		delete(k.entries, e.key)
	}
	close(e.done)
}

// MaxStoredBytes is the largest answer that is kept; see Options.
func (k *Keeper) MaxStoredBytes() int { return k.options.MaxStoredBytes }
