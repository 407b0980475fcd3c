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
func (k *Keeper) writeEnds(ctx context.Context) {
	for ctx.Err() == nil {
		k.waitForEnds(ctx)
		batch := k.nextBatch()
		if len(batch) == 0 || k.writeBatch(ctx, batch) {
			continue
		}
		k.metrics.endRetries.Inc()
		k.sleepUnlessFlushing(ctx, k.options.RetryEvery)
	}
}

// waitForEnds waits for an end, and then for up to Options.EndDelay for others.
func (k *Keeper) waitForEnds(ctx context.Context) {
	if k.queueLength() == 0 {
		select {
		case <-k.queueGrew:
		case <-ctx.Done():
			return
		}
	}
	if k.queueLength() < maxBatchEnds {
		k.sleepUnlessFlushing(ctx, k.options.EndDelay)
	}
}

func (k *Keeper) queueLength() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.queue)
}

// sleepUnlessFlushing waits for d, or until a goroutine waits for the writer.
func (k *Keeper) sleepUnlessFlushing(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-k.flushRequested:
	case <-ctx.Done():
	}
}

// nextBatch returns the oldest ends that fit into one commit.
func (k *Keeper) nextBatch() []*entry {
	k.mu.Lock()
	defer k.mu.Unlock()
	var batch []*entry
	size := 0
	for _, e := range k.queue {
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
func (k *Keeper) writeBatch(ctx context.Context, batch []*entry) bool {
	callCtx, cancel := context.WithTimeout(ctx, k.options.Timeout)
	defer cancel()
	var ops []store.Op
	for _, e := range batch {
		if e.revision == 0 {
			return k.writeOneByOne(ctx, batch)
		}
		ops = append(ops, endOp(e, store.OpUpdate, e.revision))
	}
	err := k.options.Table.Commit(callCtx, ops)
	if err == nil {
		k.removeWritten(batch...)
		return true
	}
	if errors.Is(err, store.ErrConflict) {
		return k.writeOneByOne(ctx, batch)
	}
	return false
}

// writeOneByOne writes each end in a commit of its own, up to the first failure.
// It reports whether all were written.
func (k *Keeper) writeOneByOne(ctx context.Context, batch []*entry) bool {
	for _, e := range batch {
		if err := k.writeEnd(ctx, e); err != nil {
			k.options.Logger.Warn("runrecord: Writing the end of a record failed.", "error", err)
			return false
		}
		k.removeWritten(e)
	}
	return true
}

// writeEnd reads the row and writes the end if the row still holds the claim.
func (k *Keeper) writeEnd(ctx context.Context, e *entry) error {
	ctx, cancel := context.WithTimeout(ctx, k.options.Timeout)
	defer cancel()
	row, record, err := k.readBack(ctx, e.key)
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
	return k.options.Table.Commit(ctx, []store.Op{op})
}

func endOp(e *entry, kind store.OpKind, revision uint64) store.Op {
	return store.Op{Kind: kind, Table: Table, Key: e.key, Value: e.record.encode(), Revision: revision}
}

// removeWritten removes the entries of a batch, whose ends are in the table.
func (k *Keeper) removeWritten(batch ...*entry) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, e := range batch {
		k.pendingBytes -= e.record.Outcome.size()
		k.removeEntry(e)
	}
	k.queue = k.queue[len(batch):]
}
