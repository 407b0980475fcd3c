package runrecord

import (
	"context"
	"errors"
	"sync"
	"testing"

	"github.com/walnutcove/walnutcove/store"
	"github.com/walnutcove/walnutcove/store/memory"
)

// commitFault is a fault injected into one commit of a run record.
type commitFault int

const (
	faultNone        commitFault = iota
	faultUnavailable             // refused without effect
	faultReplyLost               // took effect, the reply was lost
	faultLate                    // the reply was lost; takes effect when applyLate is called
)

// faultyTable forwards calls to a memory store and injects faults.
type faultyTable struct {
	*memory.Store
	mu               sync.Mutex
	faults           []commitFault // for the next commits
	readsUnavailable bool
	lateCommits      [][]store.Op
}

func newFaultyTable() *faultyTable {
	return &faultyTable{Store: memory.New(memory.Options{})}
}

func (t *faultyTable) injectFaults(faults ...commitFault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = append(t.faults, faults...)
}

func (t *faultyTable) setReadsUnavailable(unavailable bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.readsUnavailable = unavailable
}

// applyLate applies the late commits and returns how many took effect.
func (t *faultyTable) applyLate() int {
	t.mu.Lock()
	late := t.lateCommits
	t.lateCommits = nil
	t.mu.Unlock()
	applied := 0
	for _, ops := range late {
		if t.Store.Commit(context.Background(), ops) == nil {
			applied++
		}
	}
	return applied
}

func (t *faultyTable) Get(ctx context.Context, table, key string) (store.Row, error) {
	t.mu.Lock()
	unavailable := t.readsUnavailable
	t.mu.Unlock()
	if unavailable && table == Table {
		return store.Row{}, store.ErrUnavailable
	}
	return t.Store.Get(ctx, table, key)
}

func (t *faultyTable) Commit(ctx context.Context, ops []store.Op) error {
	_, err := t.CommitRevision(ctx, ops)
	return err
}

func (t *faultyTable) CommitRevision(ctx context.Context, ops []store.Op) (uint64, error) {
	switch t.nextFault(ops) {
	case faultUnavailable:
		return 0, store.ErrUnavailable
	case faultReplyLost:
		if _, err := t.Store.CommitRevision(ctx, ops); errors.Is(err, store.ErrConflict) {
			return 0, err
		}
		return 0, store.ErrUnknown
	case faultLate:
		t.mu.Lock()
		t.lateCommits = append(t.lateCommits, ops)
		t.mu.Unlock()
		return 0, store.ErrUnknown
	default:
		return t.Store.CommitRevision(ctx, ops)
	}
}

func (t *faultyTable) nextFault(ops []store.Op) commitFault {
	t.mu.Lock()
	defer t.mu.Unlock()
	if ops[0].Table != Table || len(t.faults) == 0 {
		return faultNone
	}
	f := t.faults[0]
	t.faults = t.faults[1:]
	return f
}

// storedRecord returns the record of a request in the table.
func (t *faultyTable) storedRecord(test *testing.T, request Request) Record {
	test.Helper()
	row, err := t.Store.Get(context.Background(), Table, RowKey(request.Workspace, request.IdempotencyKey))
	if err != nil {
		test.Fatalf("no record: %v", err)
	}
	record, err := decode(row.Value)
	if err != nil {
		test.Fatal(err)
	}
	return record
}
