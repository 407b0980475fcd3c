package runrecord

import (
	"context"
	"errors"
	"time"

	"github.com/walnutcove/walnutcove/store"
)

// maxBatchEnds and maxBatchBytes limit the ends written in one commit.
const (
	maxBatchEnds  = 64
	maxBatchBytes = 512 << 10
)

// writeEnds writes the ends of claims until ctx is done. Ends that arrive
// during a commit are written together in the next one, so that the number of
// commits does not grow with the load.
func (m *Manager) writeEnds(ctx context.Context) {
	for ctx.Err() == nil {
		m.waitForEnds(ctx)
		batch := m.nextBatch()
		if len(batch) == 0 || m.writeBatch(ctx, batch) {
			continue
		}
		m.metrics.endRetries.Inc()
		m.sleepUnlessFlushing(ctx, m.options.RetryEvery)
	}
}

// waitForEnds waits for an end, and then for up to Options.EndDelay for others.
func (m *Manager) waitForEnds(ctx context.Context) {
	if m.queueLength() == 0 {
		select {
		case <-m.queueGrew:
		case <-ctx.Done():
			return
		}
	}
	if m.queueLength() < maxBatchEnds {
		m.sleepUnlessFlushing(ctx, m.options.EndDelay)
	}
}

func (m *Manager) queueLength() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.queue)
}

// sleepUnlessFlushing waits for d, or until a goroutine waits for the writer.
func (m *Manager) sleepUnlessFlushing(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-m.flushRequested:
	case <-ctx.Done():
	}
}

// nextBatch returns the oldest ends that fit into one commit.
func (m *Manager) nextBatch() []*entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	var batch []*entry
	size := 0
	for _, e := range m.queue {
		size += e.record.Outcome.size()
		if len(batch) == maxBatchEnds || (len(batch) > 0 && size > maxBatchBytes) {
			break
		}
		batch = append(batch, e)
	}
	return batch
}

// writeBatch writes the ends in one commit, or one by one if a revision is
// unknown or the commit conflicts. It reports whether the whole batch was written.
func (m *Manager) writeBatch(ctx context.Context, batch []*entry) bool {
	callCtx, cancel := context.WithTimeout(ctx, m.options.Timeout)
	defer cancel()
	var ops []store.Op
	for _, e := range batch {
		if e.revision == 0 {
			return m.writeOneByOne(ctx, batch)
		}
		ops = append(ops, endOp(e, store.OpUpdate, e.revision))
	}
	err := m.options.Table.Commit(callCtx, ops)
	if err == nil {
		m.removeWritten(batch...)
		return true
	}
	if errors.Is(err, store.ErrConflict) {
		return m.writeOneByOne(ctx, batch)
	}
	return false
}

// writeOneByOne writes each end in a commit of its own, up to the first failure.
// It reports whether all were written.
func (m *Manager) writeOneByOne(ctx context.Context, batch []*entry) bool {
	for _, e := range batch {
		if err := m.writeEnd(ctx, e); err != nil {
			m.options.Logger.Warn("runrecord: Writing the end of a record failed.", "error", err)
			return false
		}
		m.removeWritten(e)
	}
	return true
}

// writeEnd reads the row and writes the end if the row still holds the claim.
func (m *Manager) writeEnd(ctx context.Context, e *entry) error {
	ctx, cancel := context.WithTimeout(ctx, m.options.Timeout)
	defer cancel()
	row, record, err := m.readBack(ctx, e.key)
	if err != nil {
		return err
	}
	op := endOp(e, store.OpUpdate, row.Revision)
	switch {
	case record == nil && !e.unresolved:
		return nil // deleted after its retention
	case record == nil:
		// The claim's insert may still be in flight: inserting the row here makes
		// it fail on arrival.
		op = endOp(e, store.OpInsert, 0)
	case record.Owner != e.record.Owner && record.State == StateNotRun && e.unresolved:
		// The claim's update may still be in flight: rewriting the row makes it fail.
	case record.Owner != e.record.Owner || record.State != StateClaimed:
		return nil // another owner's, or written by a commit whose reply was lost
	}
	return m.options.Table.Commit(ctx, []store.Op{op})
}

func endOp(e *entry, kind store.OpKind, revision uint64) store.Op {
	return store.Op{Kind: kind, Table: Table, Key: e.key, Value: e.record.encode(), Revision: revision}
}

// removeWritten removes the entries of a batch, whose ends are in the table.
func (m *Manager) removeWritten(batch ...*entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range batch {
		m.pendingBytes -= e.record.Outcome.size()
		m.removeEntry(e)
	}
	m.queue = m.queue[len(batch):]
}
