package batch

import (
	"context"
	"errors"

	"github.com/walnutcove/walnutcove/store"
)

// release frees the rows of a transaction that has ended. The groups that waited
// for one of them most likely conflict with it now, so their rows are read
// before a transaction is spent on them.
func (t *Table) release(batch []*group) {
	freed := t.takeBlocked(batch)
	<-t.slots
	t.signal()
	conflicting, others := t.divide(freed, t.conflictSeen())
	t.failConflicting(conflicting)
	t.requeue(others, len(freed))
}

// takeBlocked frees the rows of a transaction and returns the groups that waited
// for them.
func (t *Table) takeBlocked(batch []*group) []*group {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, g := range batch {
		t.inFlight.remove(g)
	}
	wanted := make(rowUses)
	var freed, left []*group
	for _, g := range t.blocked {
		if t.inFlight.exclude(g) || wanted.exclude(g) {
			left = append(left, g)
			wanted.add(g)
		} else {
			freed = append(freed, g)
		}
	}
	t.blocked = left
	t.checking += len(freed)
	return freed
}

// requeue puts groups that were checked back at the front of the queue.
func (t *Table) requeue(groups []*group, checked int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.checking -= checked
	t.queue = append(groups, t.queue...)
	t.queued += countOps(groups)
	t.signal()
}

// conflictSeen returns a check that says whether a row of a group was read and
// broke its condition. It reads each row once.
func (t *Table) conflictSeen() func(*group) bool {
	seen := make(map[rowName]uint64)
	return func(g *group) bool {
		for _, op := range g.ops {
			name := rowName{op.Table, op.Key}
			revision, ok := seen[name]
			if !ok {
				var err error
				if revision, err = t.readRevision(name); err != nil {
					return false
				}
				seen[name] = revision
			}
			if !holds(op, revision) {
				return true
			}
		}
		return false
	}
}

// readRevision returns the revision of a row; zero if it does not exist.
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

// holds says whether the condition of op is met by a row of this revision.
func holds(op store.Op, revision uint64) bool {
	if op.Kind == store.OpInsert {
		return revision == 0
	}
	return revision == op.Revision
}
