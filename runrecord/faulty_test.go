package runrecord

import (
	"context"
	"errors"
	"sync"
	"testing"

	"github.com/walnutcove/walnutcove/store"
	"github.com/walnutcove/walnutcove/store/memory"
)

// fault is what happens to one commit that touches a run record.
type fault int

const (
	faultNone      fault = iota
	faultDown            // refused, without effect
	faultReplyLost       // took effect, the reply was lost
	faultLate            // the reply was lost; takes effect when land is called
)

// faultyTable passes calls to a memory store and injects faults.
type faultyTable struct {
	*memory.Store
	mu        sync.Mutex
	faults    []fault // of the next commits
	readsDown bool
	late      [][]store.Op
}

func newTable() *faultyTable {
	return &faultyTable{Store: memory.New(memory.Options{})}
}

func (t *faultyTable) inject(faults ...fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = append(t.faults, faults...)
}

func (t *faultyTable) setReadsDown(down bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.readsDown = down
}

// land lets the late commits arrive, and returns how many took effect.
func (t *faultyTable) land() int {
	t.mu.Lock()
	late := t.late
	t.late = nil
	t.mu.Unlock()
	landed := 0
	for _, ops := range late {
		if t.Store.Commit(context.Background(), ops) == nil {
			landed++
		}
	}
	return landed
}

func (t *faultyTable) Get(ctx context.Context, table, key string) (store.Row, error) {
	t.mu.Lock()
	down := t.readsDown
	t.mu.Unlock()
	if down && table == Table {
		return store.Row{}, store.ErrUnavailable
	}
	return t.Store.Get(ctx, table, key)
}

func (t *faultyTable) Commit(ctx context.Context, ops []store.Op) error {
	_, err := t.CommitRevision(ctx, ops)
	return err
}

func (t *faultyTable) CommitRevision(ctx context.Context, ops []store.Op) (uint64, error) {
	switch t.next(ops) {
	case faultDown:
		return 0, store.ErrUnavailable
	case faultReplyLost:
		if _, err := t.Store.CommitRevision(ctx, ops); errors.Is(err, store.ErrConflict) {
			return 0, err
		}
		return 0, store.ErrUnknown
	case faultLate:
		t.mu.Lock()
		t.late = append(t.late, ops)
		t.mu.Unlock()
		return 0, store.ErrUnknown
	default:
		return t.Store.CommitRevision(ctx, ops)
	}
}

func (t *faultyTable) next(ops []store.Op) fault {
	t.mu.Lock()
	defer t.mu.Unlock()
	if ops[0].Table != Table || len(t.faults) == 0 {
		return faultNone
	}
	f := t.faults[0]
	t.faults = t.faults[1:]
	return f
}

// stored returns the record of a request in the table.
func (t *faultyTable) stored(test *testing.T, request Request) Record {
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
