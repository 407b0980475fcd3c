// Package forward sends commits of a large fleet's routers to a few of them,
// the writers, which batch them. With hundreds of routers each has too few
// commits for batches of its own, and a table service takes only several
// hundred transactions a second from all of them.
//
// A row's commits go to the writer that rendezvous hashing picks among the live
// routers in view. Views may differ: a writer applies whatever it is asked for,
// and the conditions of the operations alone decide. A commit that surely did
// not reach a writer goes to the next one, and then is made here. One that may
// have reached it fails with store.ErrUnknown.
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

// Method is the method of the calls between routers, answered by Table.Serve.
const Method = "table.commit"

const (
	// DefaultTimeout is the default of Options.Timeout.
	DefaultTimeout = time.Second
	// maxWriters bounds the writers that one commit tries.
	maxWriters = 2
	// avoidFor is how long a writer that failed is passed over.
	avoidFor = time.Second
)

// Caller makes calls to other routers. peer.Transport is one.
type Caller interface {
	// Call sends a request and waits for the answer. ErrUnreachable, ErrBusy
	// and ErrCallFailed of package peer say that the request had no effect.
	Call(ctx context.Context, to control.NodeID, method string, payload []byte) ([]byte, error)
}

// Options configure a Table. Zero values take the stated defaults.
type Options struct {
	// Self is this router. Required.
	Self control.NodeID
	// Table makes the commits of this router, and those that others send it.
	// Required.
	Table store.RevisionTable
	// Caller reaches the writers. Required.
	Caller Caller
	// Timeout bounds the wait for a writer. It should be well below the time
	// that callers of Commit have, so that they can read back. Default 1 s.
	Timeout time.Duration
	// Now tells the time. Default time.Now.
	Now func() time.Time
	// Metrics receives the counters. Default: the process's own set.
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

// Table is a table whose commits are made by the fleet's writers. Its reads
// pass through. All methods are safe for concurrent use.
type Table struct {
	store.RevisionTable // for reads, and for commits made here

	options  Options
	counters counters
	writers  atomic.Pointer[[]writer]

	mu sync.Mutex
	// avoided holds writers that failed, and until when they are passed over.
	avoided map[control.NodeID]time.Time
}

var _ store.RevisionTable = (*Table)(nil)

// New returns a table that makes every commit here, until SetMembers.
func New(options Options) *Table {
	options = options.withDefaults()
	t := &Table{
		RevisionTable: options.Table,
		options:       options,
		counters:      newCounters(options.Metrics),
		avoided:       make(map[control.NodeID]time.Time),
	}
	t.writers.Store(new([]writer))
	return t
}

// SetMembers replaces the live routers in view, with this one unless it is
// leaving. It returns whether this router is now a writer.
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

// CommitRevision implements store.RevisionTable. The operations of one call
// are applied together or not at all; the first one's row picks the writer.
func (t *Table) CommitRevision(ctx context.Context, ops []store.Op) (uint64, error) {
	if err := store.CheckOps(ops); err != nil {
		return 0, err
	}
	for _, to := range t.candidates(ops[0].Key) {
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

// candidates returns the writers that a row's commit tries, best first.
func (t *Table) candidates(key string) []control.NodeID {
	writers := *t.writers.Load()
	if len(writers) == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.options.Now()
	var nodes []control.NodeID
	for _, w := range inOrder(writers, key) {
		if len(nodes) < maxWriters && !now.Before(t.avoided[w.node]) {
			nodes = append(nodes, w.node)
		}
	}
	return nodes
}

// avoid passes a writer over for a while.
func (t *Table) avoid(node control.NodeID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.options.Now()
	for other, until := range t.avoided {
		if !now.Before(until) {
			delete(t.avoided, other)
		}
	}
	t.avoided[node] = now.Add(avoidFor)
}

// errNotApplied marks a commit that a writer surely did not apply, and never will.
var errNotApplied = errors.New("forward: not applied by the writer")

// forward asks a writer to make a commit.
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
		return 0, t.callFailed(ctx, to, err)
	}
	revision, err := decodeOutcome(answer)
	if errors.Is(err, store.ErrUnavailable) {
		t.counters.failure(reasonUnavailable)
		t.avoid(to)
		return 0, fmt.Errorf("%w: %w", errNotApplied, err)
	}
	return revision, err
}

// callFailed tells a commit that surely was not made from one that may have
// been. When in doubt it may have been.
func (t *Table) callFailed(ctx context.Context, to control.NodeID, err error) error {
	switch {
	case errors.Is(err, peer.ErrBusy):
		t.counters.failure(reasonBusy)
		return fmt.Errorf("%w: %w", errNotApplied, err)
	case errors.Is(err, peer.ErrUnreachable), errors.Is(err, peer.ErrCallFailed):
		t.counters.failure(reasonUnreachable)
		t.avoid(to)
		return fmt.Errorf("%w: %w", errNotApplied, err)
	}
	t.counters.failure(reasonLost)
	if ctx.Err() == nil {
		t.avoid(to)
	}
	return fmt.Errorf("%w (forward: call to %s): %w", store.ErrUnknown, to, err)
}

// Serve makes a commit that another router sent. An error means that it was not
// made and never will be; how a commit ended that was tried is in the answer.
func (t *Table) Serve(ctx context.Context, payload []byte) ([]byte, error) {
	ops, err := decodeCommit(payload)
	if err != nil {
		return nil, err
	}
	t.counters.served.Inc()
	return encodeOutcome(t.RevisionTable.CommitRevision(ctx, ops)), nil
}
