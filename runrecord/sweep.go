package runrecord

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/store"
)

const (
	// sweepRows is how many rows one sweep reads.
	sweepRows = 256
	// maxSweeps bounds the sweeps in a row while many rows are found expired.
	maxSweeps = 10
)

// sweeper advances the retention epoch and deletes expired records. Every
// router runs one; they need not agree, since every write is conditional.
type sweeper struct {
	keeper *Keeper
	// cursor is where the next sweep begins.
	cursor string
	// seen is the epoch as last read, first seen at seenAt.
	seen   epoch
	seenAt control.Instant
}

// newSweeper returns a sweeper that begins anywhere, so that the routers of a
// fleet are spread over the table.
func newSweeper(k *Keeper) *sweeper {
	return &sweeper{keeper: k, cursor: fmt.Sprintf("%08x", rand.Uint32())}
}

// run sweeps until ctx is done.
func (s *sweeper) run(ctx context.Context) {
	every := s.keeper.options.SweepEvery
	for {
		select {
		case <-time.After(every/2 + rand.N(every)):
		case <-ctx.Done():
			return
		}
		if err := s.step(ctx); err != nil {
			s.keeper.options.Logger.Warn("runrecord: Sweep failed.", "error", err)
		}
	}
}

// step follows and advances the epoch, and sweeps a part of the table.
func (s *sweeper) step(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, maxSweeps*s.keeper.options.Timeout)
	defer cancel()
	if err := s.followEpoch(ctx); err != nil {
		return err
	}
	for range maxSweeps {
		read, expired, err := s.sweep(ctx)
		if err != nil {
			return err
		}
		if read < sweepRows || 2*expired < read {
			return nil
		}
	}
	return nil
}

// followEpoch reads the epoch, and advances it once this process has seen it
// stand still for a whole period.
func (s *sweeper) followEpoch(ctx context.Context) error {
	known, err := s.keeper.epoch.refresh(ctx, s.keeper.options.Table)
	if err != nil {
		return err
	}
	now := s.keeper.options.Now()
	if known != s.seen {
		s.seen = known
		s.seenAt = now
		return nil
	}
	if now-s.seenAt < s.keeper.options.EpochLength {
		return nil
	}
	next := strconv.FormatUint(known.number+1, 10)
	op := store.Op{
		Kind:     store.OpUpdate,
		Table:    epochTable,
		Key:      epochKey,
		Value:    []byte(next),
		Revision: known.revision,
	}
	s.keeper.epoch.forget()
	err = s.keeper.options.Table.Commit(ctx, []store.Op{op})
	if errors.Is(err, store.ErrConflict) {
		return nil // another router advanced it
	}
	return err
}

// sweep reads one page of records and deletes the expired ones.
func (s *sweeper) sweep(ctx context.Context) (read, expired int, err error) {
	rows, err := s.keeper.options.Table.Scan(ctx, Table, s.cursor, sweepRows)
	if err != nil {
		return 0, 0, fmt.Errorf("runrecord: records cannot be scanned: %w", err)
	}
	s.cursor = ""
	if len(rows) == sweepRows {
		s.cursor = rows[len(rows)-1].Key + "\x00"
	}
	var deletes []store.Op
	for _, row := range rows {
		if s.expired(row) {
			deletes = append(deletes, deleteOp(row))
		}
	}
	return len(rows), len(deletes), s.delete(ctx, deletes)
}

// expired says whether a record has outlived its retention. A record that is
// still claimed is kept longer: only its owner knows whether it was dispatched.
func (s *sweeper) expired(row store.Row) bool {
	record, err := decode(row.Value)
	if err != nil {
		s.keeper.options.Logger.Error("runrecord: Record cannot be read.", "key", row.Key, "error", err)
		return false
	}
	retention := s.keeper.options.Retention
	if record.State == StateClaimed {
		retention = s.keeper.options.ClaimedRetention
	}
	return s.seen.number > record.Epoch+uint64(retention)
}

// delete deletes rows in as few commits as allowed. Where a condition fails,
// a row of the commit has changed; the next sweep meets it again.
func (s *sweeper) delete(ctx context.Context, deletes []store.Op) error {
	for len(deletes) > 0 {
		n := min(len(deletes), maxBatch)
		err := s.keeper.options.Table.Commit(ctx, deletes[:n])
		if err != nil && !errors.Is(err, store.ErrConflict) {
			return fmt.Errorf("runrecord: expired records cannot be deleted: %w", err)
		}
		if err == nil {
			s.keeper.metrics.deleted.Add(n)
		}
		deletes = deletes[n:]
	}
	return nil
}

func deleteOp(row store.Row) store.Op {
	return store.Op{Kind: store.OpDelete, Table: Table, Key: row.Key, Revision: row.Revision}
}
