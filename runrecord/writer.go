package runrecord

import (
	"context"
	"errors"
	"time"

	"github.com/walnutcove/walnutcove/store"
)

// maxBatch and maxBatchBytes bound the ends that one commit writes.
const (
	maxBatch      = 64
	maxBatchBytes = 512 << 10
)

// writeEnds writes the ends of claims until ctx is done. Ends that arrive
// while one commit is under way go into the next, so that the number of
// commits does not grow with the load.
func (k *Keeper) writeEnds(ctx context.Context) {
	for ctx.Err() == nil {
		k.awaitEnds(ctx)
		batch := k.nextBatch()
		if len(batch) == 0 || k.writeBatch(ctx, batch) {
			continue
		}
		k.metrics.endRetries.Inc()
		k.pause(ctx, k.options.RetryEvery)
	}
}

// awaitEnds waits for an end, and then a little for others.
func (k *Keeper) awaitEnds(ctx context.Context) {
	if k.queued() == 0 {
		select {
		case <-k.wake:
		case <-ctx.Done():
			return
		}
	}
	if k.queued() < maxBatch {
		k.pause(ctx, k.options.EndDelay)
	}
}

func (k *Keeper) queued() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.queue)
}

// pause waits, unless somebody waits for the writer.
func (k *Keeper) pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-k.hurry:
	case <-ctx.Done():
	}
}

// nextBatch returns the oldest ends that fit one commit.
func (k *Keeper) nextBatch() []*entry {
	k.mu.Lock()
	defer k.mu.Unlock()
	var batch []*entry
	size := 0
	for _, e := range k.queue {
		size += e.record.Outcome.bytes()
		if len(batch) == maxBatch || (len(batch) > 0 && size > maxBatchBytes) {
			break
		}
		batch = append(batch, e)
	}
	return batch
}

// writeBatch writes the ends in one commit, and one by one if that fails for a
// condition. It says whether the whole batch was written.
func (k *Keeper) writeBatch(ctx context.Context, batch []*entry) bool {
	callCtx, cancel := context.WithTimeout(ctx, k.options.Timeout)
	defer cancel()
	var ops []store.Op
	for _, e := range batch {
		if e.revision == 0 {
			return k.writeEach(ctx, batch)
		}
		ops = append(ops, endOp(e, store.OpUpdate, e.revision))
	}
	err := k.options.Table.Commit(callCtx, ops)
	if err == nil {
		k.written(batch...)
		return true
	}
	if errors.Is(err, store.ErrConflict) {
		return k.writeEach(ctx, batch)
	}
	return false
}

// writeEach writes the ends one by one.
func (k *Keeper) writeEach(ctx context.Context, batch []*entry) bool {
	for _, e := range batch {
		if err := k.writeEnd(ctx, e); err != nil {
			k.options.Logger.Warn("runrecord: End not written.", "error", err)
			return false
		}
		k.written(e)
	}
	return true
}

// writeEnd reads the row and writes the end if the row is still the claim's.
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
		// The insert may still be under way: the row that is written here
		// makes it fail when it arrives.
		op = endOp(e, store.OpInsert, 0)
	case record.Owner != e.record.Owner && record.State == StateNotRun && e.unresolved:
		// The update may still be under way: rewriting the row makes it fail.
	case record.Owner != e.record.Owner || record.State != StateClaimed:
		return nil // another's, or written by a commit whose reply was lost
	}
	return k.options.Table.Commit(ctx, []store.Op{op})
}

func endOp(e *entry, kind store.OpKind, revision uint64) store.Op {
	return store.Op{Kind: kind, Table: Table, Key: e.key, Value: e.record.encode(), Revision: revision}
}

// written removes entries whose ends are in the table.
func (k *Keeper) written(batch ...*entry) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, e := range batch {
		k.pendingBytes -= e.record.Outcome.bytes()
		k.forget(e)
	}
	k.queue = k.queue[len(batch):]
}
