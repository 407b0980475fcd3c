// Package batch puts independent commits of concurrent callers into few
// transactions of the table service, which takes only several hundred a second.
//
// A commit waits a few milliseconds for others to join it. If a condition of a
// joint transaction fails, the rows are read back to find whose it was: only
// that caller gets ErrConflict, and the others are committed again without it.
// ErrUnavailable and ErrUnknown go to every caller of the transaction.
package batch

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/alitto/pond/v2"
	"golang.org/x/time/rate"

	"github.com/walnutcove/walnutcove/store"
)

// Defaults of Options.
const (
	DefaultMaxWait     = 3 * time.Millisecond
	DefaultMaxOps      = 128
	DefaultMaxBytes    = 1 << 20
	DefaultMaxInFlight = 4
	DefaultMaxQueued   = 4096
	DefaultTimeout     = 2 * time.Second
	// readers bounds the rows read back at once.
	readers = 16
)

// Options configure a Table. Zero values take the stated defaults.
type Options struct {
	// MaxWait bounds how long a commit waits for others while a transaction
	// may be sent. Default 3 ms.
	MaxWait time.Duration
	// MaxOps and MaxBytes bound the operations and values of a transaction. A
	// commit beyond them goes alone. Defaults 128 and 1 MiB.
	MaxOps   int
	MaxBytes int
	// MaxInFlight bounds the transactions in flight. Default 4.
	MaxInFlight int
	// MaxQueued bounds the commits that wait; one more fails at once with
	// ErrUnavailable. Default 4096.
	MaxQueued int
	// PerSecond bounds the transactions sent a second, so that they grow while
	// they wait instead of waiting in the client's write budget. Set it to what
	// the client may send. Default: no bound.
	PerSecond float64
	// Timeout bounds each call to the table service. Default 2 s.
	Timeout time.Duration
	// Metrics receives the counters. Default: the process's own set.
	Metrics *metrics.Set
}

func (o Options) withDefaults() Options {
	setDefault(&o.MaxWait, DefaultMaxWait)
	setDefault(&o.MaxOps, DefaultMaxOps)
	setDefault(&o.MaxBytes, DefaultMaxBytes)
	setDefault(&o.MaxInFlight, DefaultMaxInFlight)
	setDefault(&o.MaxQueued, DefaultMaxQueued)
	setDefault(&o.Timeout, DefaultTimeout)
	o.MaxOps = min(o.MaxOps, store.MaxCommitOps)
	o.MaxBytes = min(o.MaxBytes, store.MaxCommitBytes)
	if o.Metrics == nil {
		o.Metrics = metrics.GetDefaultSet()
	}
	return o
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// Table is a table whose commits are batched. Its reads pass through. All
// methods are safe for concurrent use.
type Table struct {
	store.RevisionTable // for reads

	options  Options
	counters counters
	senders  pond.Pool
	readers  pond.Pool
	pace     *rate.Limiter
	slots    chan struct{} // one for each transaction in flight
	done     chan struct{} // closed when the collector has ended

	mu       sync.Mutex
	queue    []*group // waiting, oldest first
	queued   int      // operations of the queue
	blocked  []*group // waiting for a transaction in flight that has their row
	checking int      // groups that waited for a row and are being checked
	inFlight rowUses
	closed   bool
	closing  context.Context // ended by stop when Close begins
	stop     context.CancelFunc
	wake     chan struct{} // tells the collector of a change; capacity 1
}

var _ store.RevisionTable = (*Table)(nil)

// The states of a group.
const (
	groupWaiting int32 = iota
	groupSending
	groupAbandoned
)

// group is the commit of one caller: its operations stay together.
type group struct {
	ops     []store.Op
	bytes   int
	arrived time.Time
	state   atomic.Int32
	done    chan outcome // capacity 1
}

type outcome struct {
	revision uint64
	err      error
}

// New returns a table that batches the commits to table.
func New(table store.RevisionTable, options Options) *Table {
	options = options.withDefaults()
	closing, stop := context.WithCancel(context.Background())
	t := &Table{
		closing:       closing,
		stop:          stop,
		RevisionTable: table,
		options:       options,
		counters:      newCounters(options.Metrics),
		senders:       pond.NewPool(options.MaxInFlight),
		readers:       pond.NewPool(readers),
		pace:          newPace(options.PerSecond),
		slots:         make(chan struct{}, options.MaxInFlight),
		done:          make(chan struct{}),
		inFlight:      make(rowUses),
		wake:          make(chan struct{}, 1),
	}
	go t.collect()
	return t
}

// newPace returns the limit of transactions a second. It allows no burst: one
// that the client's write budget does not allow would wait there from then on.
func newPace(perSecond float64) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 1)
	}
	return rate.NewLimiter(rate.Limit(perSecond), 1)
}

// SetRate changes the transactions sent a second; zero means no bound.
func (t *Table) SetRate(perSecond float64) {
	limit := rate.Limit(perSecond)
	if perSecond == 0 {
		limit = rate.Inf
	}
	t.pace.SetLimit(limit)
}

// Close sends what waits and waits for the answers. Later commits fail with
// ErrUnavailable.
func (t *Table) Close() {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.stop()
	t.signal()
	<-t.done
	t.senders.StopAndWait()
	t.readers.StopAndWait()
}

// Commit implements store.Table.
func (t *Table) Commit(ctx context.Context, ops []store.Op) error {
	_, err := t.CommitRevision(ctx, ops)
	return err
}

// CommitRevision implements store.RevisionTable. The operations of one call
// are applied together or not at all, as ever.
func (t *Table) CommitRevision(ctx context.Context, ops []store.Op) (uint64, error) {
	if err := store.CheckOps(ops); err != nil {
		return 0, err
	}
	g := newGroup(ops)
	if len(g.ops) > t.options.MaxOps || g.bytes > t.options.MaxBytes {
		return t.RevisionTable.CommitRevision(ctx, ops)
	}
	if err := t.enqueue(ctx, g); err != nil {
		return 0, err
	}
	select {
	case result := <-g.done:
		return result.revision, result.err
	case <-ctx.Done():
		return t.abandon(ctx, g)
	}
}

func newGroup(ops []store.Op) *group {
	g := &group{ops: ops, arrived: time.Now(), done: make(chan outcome, 1)}
	for _, op := range ops {
		g.bytes += len(op.Value)
	}
	return g
}

func (t *Table) enqueue(ctx context.Context, g *group) error {
	if ctx.Err() != nil {
		return t.refuse("cancelled", ctx.Err())
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return t.refuse("closed", nil)
	}
	if len(t.queue)+len(t.blocked)+t.checking >= t.options.MaxQueued {
		return t.refuse("queue_full", nil)
	}
	t.queue = append(t.queue, g)
	t.queued += len(g.ops)
	t.counters.commits.Inc()
	t.signal()
	return nil
}

// abandon ends the wait of a caller whose context ended. A group that was not
// sent yet never will be.
func (t *Table) abandon(ctx context.Context, g *group) (uint64, error) {
	if g.state.CompareAndSwap(groupWaiting, groupAbandoned) {
		t.remove(g)
		return 0, t.refuse("cancelled", ctx.Err())
	}
	t.counters.refusal("cancelled_sent").Inc()
	return 0, fmt.Errorf("%w (batch: cancelled): %w", store.ErrUnknown, ctx.Err())
}

// remove frees the place of an abandoned group.
func (t *Table) remove(g *group) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if i := slices.Index(t.queue, g); i >= 0 {
		t.queue = slices.Delete(t.queue, i, i+1)
		t.queued -= len(g.ops)
	}
	if i := slices.Index(t.blocked, g); i >= 0 {
		t.blocked = slices.Delete(t.blocked, i, i+1)
	}
	t.signal() // the collector may wait for this group alone
}

// refuse counts a commit that was surely not sent and returns its error.
func (t *Table) refuse(reason string, cause error) error {
	t.counters.refusal(reason).Inc()
	if cause != nil {
		return fmt.Errorf("%w (batch: %s): %w", store.ErrUnavailable, reason, cause)
	}
	return fmt.Errorf("%w (batch: %s)", store.ErrUnavailable, reason)
}

// signal tells the collector that something changed.
func (t *Table) signal() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// finish tells a caller the outcome of its commit.
func (g *group) finish(revision uint64, err error) {
	g.done <- outcome{revision: revision, err: err}
}
