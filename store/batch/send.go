package batch

import (
	"context"
	"errors"

	"github.com/walnutcove/walnutcove/store"
)

// maxGroupsReadBack limits the groups whose rows are read back to find a conflict.
// Larger transactions are halved first. The platform accepts about seven reads for
// each write, and at 32 groups reading and halving cost about the same; see
// docs/design/0009-batched-commits.md.
const maxGroupsReadBack = 32

// send commits a batch and passes the outcomes to the callers.
func (t *Table) send(batch []*group) {
	defer t.releaseRows(batch)
	t.commitGroups(batch)
}

// commitGroups commits the groups together. If a condition fails, it finds the
// group that it belongs to and commits the others again.
func (t *Table) commitGroups(groups []*group) {
	if len(groups) == 0 {
		return
	}
	revision, err := t.commitTransaction(groups)
	if len(groups) > 1 && errors.Is(err, store.ErrConflict) {
		t.isolateConflicts(groups)
		return
	}
	if len(groups) > 1 && errors.Is(err, store.ErrInvalid) {
		t.commitHalves(groups)
		return
	}
	if errors.Is(err, store.ErrConflict) {
		t.counters.conflicts.Inc()
	}
	for _, g := range groups {
		g.finish(revision, err)
	}
}

func (t *Table) commitTransaction(groups []*group) (uint64, error) {
	ops := joinOps(groups)
	t.counters.transactions.Inc()
	t.counters.rows.Update(float64(len(ops)))
	ctx, cancel := context.WithTimeout(context.Background(), t.options.Timeout)
	defer cancel()
	return t.RevisionTable.CommitRevision(ctx, ops)
}

// joinOps returns the operations of the groups. A check that several groups share
// is included once, since a transaction may name a row only once.
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

// isolateConflicts finds the groups whose conditions made a combined transaction
// fail. It halves large transactions, and reads back the rows of smaller ones.
// Groups whose conditions do not hold fail with ErrConflict; the others are
// committed again. If reading finds no conflict, because a row changed in between
// or could not be read, the groups are halved.
func (t *Table) isolateConflicts(groups []*group) {
	if len(groups) > maxGroupsReadBack {
		t.commitHalves(groups)
		return
	}
	t.counters.isolations.Inc()
	conflicting, others := t.partition(groups, t.findConflicts(groups))
	if len(conflicting) == 0 {
		t.commitHalves(groups)
		return
	}
	t.failConflicting(conflicting)
	t.commitGroups(others)
}

func (t *Table) failConflicting(groups []*group) {
	for _, g := range groups {
		t.counters.conflicts.Inc()
		g.finish(0, store.ErrConflict)
	}
}

func (t *Table) commitHalves(groups []*group) {
	half := len(groups) / 2
	t.commitGroups(groups[:half])
	t.commitGroups(groups[half:])
}

// findConflicts reads the rows of the groups concurrently and returns a function
// that reports whether a group was found to violate a condition.
func (t *Table) findConflicts(groups []*group) func(*group) bool {
	hasConflict := make([]bool, len(groups))
	tasks := t.readers.NewGroup()
	for i, g := range groups {
		tasks.Submit(func() { hasConflict[i] = t.newConflictCheck()(g) })
	}
	_ = tasks.Wait() // the tasks return no error
	failed := make(map[*group]bool, len(groups))
	for i, g := range groups {
		failed[g] = hasConflict[i]
	}
	return func(g *group) bool { return failed[g] }
}

// partition separates conflicting groups from the others, keeping their order.
func (t *Table) partition(groups []*group, isConflicting func(*group) bool) (conflicting, others []*group) {
	for _, g := range groups {
		if isConflicting(g) {
			conflicting = append(conflicting, g)
		} else {
			others = append(others, g)
		}
	}
	return conflicting, others
}
