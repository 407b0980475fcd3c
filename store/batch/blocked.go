package batch

import (
	"context"
	"errors"

	"github.com/walnutcove/walnutcove/store"
)

// releaseRows releases the rows of a completed transaction. The groups that waited
// for one of them most likely conflict now, so their rows are read before a
// transaction is spent on them.
func (t *Table) releaseRows(batch []*group) {
	unblocked := t.takeUnblocked(batch)
	<-t.inFlightSlots
	t.notifyCollector()
	conflicting, others := t.partition(unblocked, t.newConflictCheck())
	t.failConflicting(conflicting)
	t.requeue(others, len(unblocked))
}

// takeUnblocked releases the rows of a transaction, and removes and returns the
// groups that are no longer blocked.
func (t *Table) takeUnblocked(batch []*group) []*group {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, g := range batch {
		t.rowsInFlight.remove(g)
	}
	wanted := make(rowUsage)
	var unblocked, stillBlocked []*group
	for _, g := range t.blocked {
		if t.rowsInFlight.conflictsWith(g) || wanted.conflictsWith(g) {
			stillBlocked = append(stillBlocked, g)
			wanted.add(g)
		} else {
			unblocked = append(unblocked, g)
		}
	}
	t.blocked = stillBlocked
	t.checkingGroups += len(unblocked)
	return unblocked
}

// requeue puts groups back at the front of the queue. checked is the number of
// groups that were checked.
func (t *Table) requeue(groups []*group, checked int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.checkingGroups -= checked
	t.queue = append(groups, t.queue...)
	t.queuedOps += countOps(groups)
	t.notifyCollector()
}

// newConflictCheck returns a function that reports whether a row of a group was
// read and violates its condition. The function reads each row once.
func (t *Table) newConflictCheck() func(*group) bool {
	revisions := make(map[rowName]uint64)
	return func(g *group) bool {
		for _, op := range g.ops {
			name := rowName{op.Table, op.Key}
			revision, ok := revisions[name]
			if !ok {
				var err error
				if revision, err = t.readRevision(name); err != nil {
					return false
				}
				revisions[name] = revision
			}
			if !conditionHolds(op, revision) {
				return true
			}
		}
		return false
	}
}

// readRevision returns the revision of a row, or zero if it does not exist.
func (t *Table) readRevision(name rowName) (uint64, error) {
	t.counters.reads.Inc()
	ctx, cancel := context.WithTimeout(context.Background(), t.options.Timeout)
	defer cancel()
	row, err := t.Get(ctx, name.table, name.key)
	if errors.Is(err, store.ErrNotFound) {
		return 0, nil
	}
	return row.Revision, err
}

// conditionHolds reports whether a row of this revision meets the condition of op.
func conditionHolds(op store.Op, revision uint64) bool {
	if op.Kind == store.OpInsert {
		return revision == 0
	}
	return revision == op.Revision
}
