package batch

import (
	"context"
	"errors"

	"github.com/walnutcove/walnutcove/store"
)

// maxReadBack bounds the groups whose rows are read back to find a conflict.
// Larger transactions are halved first. A platform takes about seven reads for
// each write, and at 32 the two cost about the same; see
// docs/design/0009-batched-commits.md.
const maxReadBack = 32

// send commits a batch and tells every caller its outcome.
func (t *Table) send(batch []*group) {
	defer t.release(batch)
	t.resolve(batch)
}

// resolve commits the groups together. If a condition fails it finds whose, and
// commits the others again.
func (t *Table) resolve(groups []*group) {
	if len(groups) == 0 {
		return
	}
	revision, err := t.commit(groups)
	if len(groups) > 1 && errors.Is(err, store.ErrConflict) {
		t.isolate(groups)
		return
	}
	if len(groups) > 1 && errors.Is(err, store.ErrInvalid) {
		t.resolveHalves(groups)
		return
	}
	if errors.Is(err, store.ErrConflict) {
		t.counters.conflicts.Inc()
	}
	for _, g := range groups {
		g.finish(revision, err)
	}
}

func (t *Table) commit(groups []*group) (uint64, error) {
	ops := joinOps(groups)
	t.counters.transactions.Inc()
	t.counters.rows.Update(float64(len(ops)))
	ctx, cancel := context.WithTimeout(context.Background(), t.options.Timeout)
	defer cancel()
	return t.RevisionTable.CommitRevision(ctx, ops)
}

// joinOps returns the operations of the groups. A check that several groups
// share stands once, since a transaction may name a row only once.
func joinOps(groups []*group) []store.Op {
	var ops []store.Op
	checked := make(map[rowName]bool)
	for _, g := range groups {
		for _, op := range g.ops {
			name := rowName{op.Table, op.Key}
			if op.Kind == store.OpCheck && checked[name] {
				continue
			}
			checked[name] = op.Kind == store.OpCheck
			ops = append(ops, op)
		}
	}
	return ops
}

// isolate finds whose condition made a joint transaction fail. It halves large
// transactions, then reads back the rows of what is left. Callers whose condition does not hold get ErrConflict; the others
// are committed again. Where reading finds no culprit, because a row changed
// in between or could not be read, the groups are halved.
func (t *Table) isolate(groups []*group) {
	if len(groups) > maxReadBack {
		t.resolveHalves(groups)
		return
	}
	t.counters.isolations.Inc()
	conflicting, others := t.divide(groups, t.readBack(groups))
	if len(conflicting) == 0 {
		t.resolveHalves(groups)
		return
	}
	t.failConflicting(conflicting)
	t.resolve(others)
}

func (t *Table) failConflicting(groups []*group) {
	for _, g := range groups {
		t.counters.conflicts.Inc()
		g.finish(0, store.ErrConflict)
	}
}

func (t *Table) resolveHalves(groups []*group) {
	half := len(groups) / 2
	t.resolve(groups[:half])
	t.resolve(groups[half:])
}

// readBack reads the rows of the groups at once and returns a check that says
// whether a condition of a group was seen to fail.
func (t *Table) readBack(groups []*group) func(*group) bool {
	fails := make([]bool, len(groups))
	tasks := t.readers.NewGroup()
	for i, g := range groups {
		tasks.Submit(func() { fails[i] = t.conflictSeen()(g) })
	}
	_ = tasks.Wait() // the tasks return no error
	failed := make(map[*group]bool, len(groups))
	for i, g := range groups {
		failed[g] = fails[i]
	}
	return func(g *group) bool { return failed[g] }
}

// divide parts the groups by whether they conflict, in order.
func (t *Table) divide(groups []*group, conflicts func(*group) bool) (conflicting, others []*group) {
	for _, g := range groups {
		if conflicts(g) {
			conflicting = append(conflicting, g)
		} else {
			others = append(others, g)
		}
	}
	return conflicting, others
}
