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
	// sweepPageRows is the number of rows that a sweep reads at once.
	sweepPageRows = 256
	// maxPagesPerSweep limits the pages of one sweep while many rows are expired.
	maxPagesPerSweep = 10
)

// sweeper advances the retention epoch and deletes expired records. Every
// router runs one; they need no coordination, since every write is conditional.
type sweeper struct {
	manager *Manager
	// cursor is the key at which the next page begins.
	cursor string
	// lastEpoch is the epoch as last read, first read at lastEpochSeenAt.
	lastEpoch       epoch
	lastEpochSeenAt control.Instant
}

// newSweeper returns a sweeper that begins at a random key, so that the routers
// of a fleet sweep different parts of the table.
func newSweeper(m *Manager) *sweeper {
	return &sweeper{manager: m, cursor: fmt.Sprintf("%08x", rand.Uint32())}
}

// run sweeps until ctx is done.
func (s *sweeper) run(ctx context.Context) {
	every := s.manager.options.SweepEvery
	for {
		select {
		case <-time.After(every/2 + rand.N(every)):
		case <-ctx.Done():
			return
		}
		if err := s.sweep(ctx); err != nil {
			s.manager.options.Logger.Warn("runrecord: Sweep failed.", "error", err)
		}
	}
}

// sweep reads the epoch, advances it if due, and sweeps a part of the table. It
// reads a further page only if at least half of a full page was expired.
func (s *sweeper) sweep(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, maxPagesPerSweep*s.manager.options.Timeout)
	defer cancel()
	if err := s.updateEpoch(ctx); err != nil {
		return err
	}
	for range maxPagesPerSweep {
		read, expired, err := s.sweepPage(ctx)
		if err != nil {
			return err
		}
		if read < sweepPageRows || 2*expired < read {
			return nil
		}
	}
	return nil
}

// updateEpoch reads the epoch, and advances it once this process has observed it
// unchanged for Options.EpochLength.
func (s *sweeper) updateEpoch(ctx context.Context) error {
	current, err := s.manager.epoch.refresh(ctx, s.manager.options.Table)
	if err != nil {
		return err
	}
	now := s.manager.options.Now()
	if current != s.lastEpoch {
		s.lastEpoch = current
		s.lastEpochSeenAt = now
		return nil
	}
	if now-s.lastEpochSeenAt < s.manager.options.EpochLength {
		return nil
	}
	next := strconv.FormatUint(current.number+1, 10)
	op := store.Op{
		Kind:     store.OpUpdate,
		Table:    epochTable,
		Key:      epochKey,
		Value:    []byte(next),
		Revision: current.revision,
	}
	s.manager.epoch.invalidate()
	err = s.manager.options.Table.Commit(ctx, []store.Op{op})
	if errors.Is(err, store.ErrConflict) {
		return nil // another router advanced it
	}
	return err
}

// sweepPage reads one page of records and deletes the expired ones.
func (s *sweeper) sweepPage(ctx context.Context) (read, expired int, err error) {
	rows, err := s.manager.options.Table.Scan(ctx, Table, s.cursor, sweepPageRows)
	if err != nil {
		return 0, 0, fmt.Errorf("runrecord: scan records: %w", err)
	}
	s.cursor = ""
	if len(rows) == sweepPageRows {
		s.cursor = rows[len(rows)-1].Key + "\x00"
	}
	var deletes []store.Op
	for _, row := range rows {
		if s.isExpired(row) {
			deletes = append(deletes, deleteOp(row))
		}
	}
	return len(rows), len(deletes), s.delete(ctx, deletes)
}

// isExpired reports whether a record has exceeded its retention. A record that is
// still claimed is kept longer: only its owner knows whether it was dispatched.
func (s *sweeper) isExpired(row store.Row) bool {
	record, err := decode(row.Value)
	if err != nil {
		s.manager.options.Logger.Error("runrecord: Decoding a record failed.", "key", row.Key, "error", err)
		return false
	}
	retention := s.manager.options.Retention
	if record.State == StateClaimed {
		retention = s.manager.options.ClaimedRetention
	}
	return s.lastEpoch.number > record.Epoch+uint64(retention)
}

// delete deletes rows in as few commits as possible. If a commit fails with
// a conflict, one of its rows has changed; a later sweep reads them again.
func (s *sweeper) delete(ctx context.Context, deletes []store.Op) error {
	for len(deletes) > 0 {
		n := min(len(deletes), maxBatchEnds)
		err := s.manager.options.Table.Commit(ctx, deletes[:n])
		if err != nil && !errors.Is(err, store.ErrConflict) {
			return fmt.Errorf("runrecord: delete expired records: %w", err)
		}
		if err == nil {
			s.manager.metrics.deleted.Add(n)
		}
		deletes = deletes[n:]
	}
	return nil
}

func deleteOp(row store.Row) store.Op {
	return store.Op{Kind: store.OpDelete, Table: Table, Key: row.Key, Revision: row.Revision}
}
