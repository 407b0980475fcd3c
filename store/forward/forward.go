// Package forward sends the commits of a large fleet's routers to a few of them,
// the writers, which batch them. Of hundreds of routers each has too few commits
// for batches of its own, and the table service accepts only several hundred
// transactions a second from all of them.
//
// The commits of a row go to the writer that rendezvous hashing selects among the
// live routers in the sending router's view. Views may differ: a writer applies
// every commit that it receives, and correctness depends only on the conditions of
// the operations. A commit that certainly did not reach a writer is sent to the
// next one, and in the end made locally. One that may have reached a writer fails
// with store.ErrUnknown.
package forward

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/peer"
	"github.com/walnutcove/walnutcove/store"
)

// Method is the name of the peer method that Table.Serve implements.
const Method = "table.commit"

const (
	// DefaultTimeout is the default of Options.Timeout.
	DefaultTimeout = time.Second
	// maxWritersTried limits the writers that one commit tries.
	maxWritersTried = 2
	// avoidDuration is how long a writer is skipped after a failure.
	avoidDuration = time.Second
)

// Caller makes calls to other routers. peer.Transport implements it.
type Caller interface {
	// Call sends a request and waits for the answer. The errors ErrUnreachable,
	// ErrBusy and ErrCallFailed of package peer mean that the request had no
	// effect.
	Call(ctx context.Context, to control.NodeID, method string, payload []byte) ([]byte, error)
}

// Options configures a Table. Zero fields take the stated defaults.
type Options struct {
	// Self is this router. Required.
	Self control.NodeID
	// Table makes the local commits of this router, and those that other routers
	// send to it. Required.
	Table store.RevisionTable
	// Caller makes the calls to the writers. Required.
	Caller Caller
	// Timeout limits the wait for a writer. It should be well below the timeout of
	// the callers of Commit, so that they have time to read back. Default 1 s.
	Timeout time.Duration
	// Now is the clock. Default time.Now.
	Now func() time.Time
	// Metrics is the set in which the counters are registered. Default: the global
	// set.
	Metrics *metrics.Set
}

func (o Options) withDefaults() Options {
	if o.Timeout == 0 {
		o.Timeout = DefaultTimeout
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Metrics == nil {
		o.Metrics = metrics.GetDefaultSet()
	}
	return o
}

// Table is a table that forwards commits to the fleet's writers. Reads are passed
// through. All methods are safe for concurrent use.
type Table struct {
	store.RevisionTable // for reads and local commits

	options  Options
	counters counters
	writers  atomic.Pointer[[]writer]

	mu sync.Mutex
	// avoidedUntil holds the time until which a failed writer is skipped.
	avoidedUntil map[control.NodeID]time.Time
}

var _ store.RevisionTable = (*Table)(nil)

// New returns a table that makes all commits locally until SetMembers is called.
func New(options Options) *Table {
	options = options.withDefaults()
	t := &Table{
		RevisionTable: options.Table,
		options:       options,
		counters:      newCounters(options.Metrics),
		avoidedUntil:  make(map[control.NodeID]time.Time),
	}
	t.writers.Store(new([]writer))
	return t
}

// SetMembers replaces the set of live routers in this router's view, which
// includes the router itself unless it is leaving. It reports whether this router is now a writer.
func (t *Table) SetMembers(alive []control.NodeID) (isWriter bool) {
	writers := pickWriters(alive)
	t.writers.Store(&writers)
	for _, w := range writers {
		isWriter = isWriter || w.node == t.options.Self
	}
	return isWriter
}

// Commit implements store.Table.
func (t *Table) Commit(ctx context.Context, ops []store.Op) error {
	_, err := t.CommitRevision(ctx, ops)
	return err
}

// CommitRevision implements store.RevisionTable. The operations of one call are
// applied together or not at all; the row of the first one determines the writer.
func (t *Table) CommitRevision(ctx context.Context, ops []store.Op) (uint64, error) {
	if err := store.CheckOps(ops); err != nil {
		return 0, err
	}
	for _, to := range t.candidateWriters(ops[0].Key) {
		if to == t.options.Self {
			break
		}
		revision, err := t.forward(ctx, to, ops)
		if !errors.Is(err, errNotApplied) {
			return revision, err
		}
	}
	t.counters.local.Inc()
	return t.RevisionTable.CommitRevision(ctx, ops)
}

// candidateWriters returns the writers that a row's commit tries, in order.
func (t *Table) candidateWriters(key string) []control.NodeID {
	writers := *t.writers.Load()
	if len(writers) == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.options.Now()
	var nodes []control.NodeID
	for _, w := range writersByScore(writers, key) {
		if len(nodes) < maxWritersTried && !now.Before(t.avoidedUntil[w.node]) {
			nodes = append(nodes, w.node)
		}
	}
	return nodes
}

// avoid makes commits skip a writer for avoidDuration.
func (t *Table) avoid(node control.NodeID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.options.Now()
	for other, until := range t.avoidedUntil {
		if !now.Before(until) {
			delete(t.avoidedUntil, other)
		}
	}
	t.avoidedUntil[node] = now.Add(avoidDuration)
}

// errNotApplied means that a writer certainly did not apply a commit, and never will.
var errNotApplied = errors.New("forward: not applied by the writer")

// forward sends a commit to a writer and returns its outcome.
func (t *Table) forward(ctx context.Context, to control.NodeID, ops []store.Op) (uint64, error) {
	payload, err := encodeCommit(ops)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", store.ErrInvalid, err)
	}
	t.counters.forwarded.Inc()
	callCtx, cancel := context.WithTimeout(ctx, t.options.Timeout)
	defer cancel()
	answer, err := t.options.Caller.Call(callCtx, to, Method, payload)
	if err != nil {
		return 0, t.callError(ctx, to, err)
	}
	revision, err := decodeOutcome(answer)
	if errors.Is(err, store.ErrUnavailable) {
		t.counters.incFailure(reasonUnavailable)
		t.avoid(to)
		return 0, fmt.Errorf("%w: %w", errNotApplied, err)
	}
	return revision, err
}

// callError returns the error of a commit whose call failed: errNotApplied if the
// commit was certainly not made, and otherwise store.ErrUnknown.
func (t *Table) callError(ctx context.Context, to control.NodeID, err error) error {
	switch {
	case errors.Is(err, peer.ErrBusy):
		t.counters.incFailure(reasonBusy)
		return fmt.Errorf("%w: %w", errNotApplied, err)
	case errors.Is(err, peer.ErrUnreachable), errors.Is(err, peer.ErrCallFailed):
		t.counters.incFailure(reasonUnreachable)
		t.avoid(to)
		return fmt.Errorf("%w: %w", errNotApplied, err)
	}
	t.counters.incFailure(reasonReplyLost)
	if ctx.Err() == nil {
		t.avoid(to)
	}
	return fmt.Errorf("%w (forward: call to %s): %w", store.ErrUnknown, to, err)
}

// Serve makes a commit that another router sent, and returns the encoded outcome.
// An error means that the commit was not made and never will be.
func (t *Table) Serve(ctx context.Context, payload []byte) ([]byte, error) {
	ops, err := decodeCommit(payload)
	if err != nil {
		return nil, err
	}
	t.counters.served.Inc()
	return encodeOutcome(t.RevisionTable.CommitRevision(ctx, ops)), nil
}
