// Package batch combines independent commits of concurrent callers into few
// transactions of the table service, which accepts only several hundred a second.
//
// A commit waits a few milliseconds for others to join it. If a condition of a
// combined transaction fails, the rows are read back to find the commit that it
// belongs to: only its caller gets ErrConflict, and the other commits are sent
// again without it. ErrUnavailable and ErrUnknown are returned to all callers of
// the transaction.
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
	// maxConcurrentReads limits the rows read back concurrently.
	maxConcurrentReads = 16
)

// Options configures a Table. Zero fields take the stated defaults.
type Options struct {
	// MaxWait limits how long a commit waits for others when a transaction could
	// be sent. Default 3 ms.
	MaxWait time.Duration
	// MaxOps and MaxBytes limit the operations and values of a transaction. A
	// commit that exceeds them is sent alone. Defaults 128 and 1 MiB.
	MaxOps   int
	MaxBytes int
	// MaxInFlight limits the transactions in flight. Default 4.
	MaxInFlight int
	// MaxQueued limits the waiting commits; further commits fail immediately with
	// ErrUnavailable. Default 4096.
	MaxQueued int
	// PerSecond limits the transactions sent per second, so that commits wait here,
	// where others can join them, and not for the client's write budget. Set it to
	// the client's budget. Default: no limit.
	PerSecond float64
	// Timeout limits each call to the table service. Default 2 s.
	Timeout time.Duration
	// Metrics is the set in which the counters are registered. Default: the global
	// set.
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

// Table is a table that batches commits. Reads are passed through. All methods
// are safe for concurrent use.
type Table struct {
	store.RevisionTable // for reads

	options       Options
	counters      counters
	senders       pond.Pool
	readers       pond.Pool
	limiter       *rate.Limiter
	inFlightSlots chan struct{} // holds one element per transaction in flight
	collectorDone chan struct{} // closed when the collector has returned

	mu             sync.Mutex
	queue          []*group // waiting groups, oldest first
	queuedOps      int      // operations in the queue
	blocked        []*group // waiting for a transaction in flight that uses one of their rows
	checkingGroups int      // number of groups that waited for a row and are being checked
	rowsInFlight   rowUsage
	closed         bool
	closeCtx       context.Context // cancelled by cancelCloseCtx when Close begins
	cancelCloseCtx context.CancelFunc
	changed        chan struct{} // notifies the collector of a change; capacity 1
}

var _ store.RevisionTable = (*Table)(nil)

// The states of a group.
const (
	groupWaiting int32 = iota
	groupSending
	groupAbandoned
)

// group is the commit of one caller. Its operations always stay in one
// transaction.
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

// New returns a table that batches commits to table.
func New(table store.RevisionTable, options Options) *Table {
	options = options.withDefaults()
	closeCtx, cancelCloseCtx := context.WithCancel(context.Background())
	t := &Table{
		closeCtx:       closeCtx,
		cancelCloseCtx: cancelCloseCtx,
		RevisionTable:  table,
		options:        options,
		counters:       newCounters(options.Metrics),
		senders:        pond.NewPool(options.MaxInFlight),
		readers:        pond.NewPool(maxConcurrentReads),
		limiter:        newLimiter(options.PerSecond),
		inFlightSlots:  make(chan struct{}, options.MaxInFlight),
		collectorDone:  make(chan struct{}),
		rowsInFlight:   make(rowUsage),
		changed:        make(chan struct{}, 1),
	}
	go t.collect()
	return t
}

// newLimiter returns the limiter of transactions per second. It allows no burst: a
// burst beyond the client's write budget would build up a queue there that does
// not drain.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 1)
	}
	return rate.NewLimiter(rate.Limit(perSecond), 1)
}

// SetRate changes the limit of transactions per second; zero means no limit.
func (t *Table) SetRate(perSecond float64) {
	limit := rate.Limit(perSecond)
	if perSecond == 0 {
		limit = rate.Inf
	}
	t.limiter.SetLimit(limit)
}

// Close sends the waiting commits and waits for their results. Later commits fail
// with ErrUnavailable.
func (t *Table) Close() {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.cancelCloseCtx()
	t.notifyCollector()
	<-t.collectorDone
	t.senders.StopAndWait()
	t.readers.StopAndWait()
}

// Commit implements store.Table.
func (t *Table) Commit(ctx context.Context, ops []store.Op) error {
	_, err := t.CommitRevision(ctx, ops)
	return err
}

// CommitRevision implements store.RevisionTable. As without batching, the
// operations of one call are applied together or not at all.
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
	if len(t.queue)+len(t.blocked)+t.checkingGroups >= t.options.MaxQueued {
		return t.refuse("queue_full", nil)
	}
	t.queue = append(t.queue, g)
	t.queuedOps += len(g.ops)
	t.counters.commits.Inc()
	t.notifyCollector()
	return nil
}

// abandon ends the wait of a caller whose context ended. A group that has not
// been sent yet is never sent.
func (t *Table) abandon(ctx context.Context, g *group) (uint64, error) {
	if g.state.CompareAndSwap(groupWaiting, groupAbandoned) {
		t.removeGroup(g)
		return 0, t.refuse("cancelled", ctx.Err())
	}
	t.counters.refusals("cancelled_sent").Inc()
	return 0, fmt.Errorf("%w (batch: cancelled): %w", store.ErrUnknown, ctx.Err())
}

// removeGroup removes an abandoned group from the queue.
func (t *Table) removeGroup(g *group) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if i := slices.Index(t.queue, g); i >= 0 {
		t.queue = slices.Delete(t.queue, i, i+1)
		t.queuedOps -= len(g.ops)
	}
	if i := slices.Index(t.blocked, g); i >= 0 {
		t.blocked = slices.Delete(t.blocked, i, i+1)
	}
	t.notifyCollector() // the collector may be waiting only for this group
}

// refuse counts a commit that was certainly not sent and returns its error.
func (t *Table) refuse(reason string, cause error) error {
	t.counters.refusals(reason).Inc()
	if cause != nil {
		return fmt.Errorf("%w (batch: %s): %w", store.ErrUnavailable, reason, cause)
	}
	return fmt.Errorf("%w (batch: %s)", store.ErrUnavailable, reason)
}

// notifyCollector notifies the collector that the state of the table has changed.
func (t *Table) notifyCollector() {
	select {
	case t.changed <- struct{}{}:
	default:
	}
}

// finish passes the outcome of a commit to its caller.
func (g *group) finish(revision uint64, err error) {
	g.done <- outcome{revision: revision, err: err}
}
