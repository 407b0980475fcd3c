package store

import (
	"context"
	"errors"
	"fmt"
	"math"
	"strconv"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/store"
)

// snapshotKey returns the row key of a snapshot. Keys of newer snapshots sort
// first, so that a scan from a version's key finds the newest snapshot at or
// before that version.
func snapshotKey(version config.Version) string {
	return fmt.Sprintf("%020d", math.MaxUint64-uint64(version))
}

// Load returns the newest version, built from the newest stored snapshot and
// the patches after it. An empty store yields version zero.
func (s *Store) Load(ctx context.Context) (*config.Snapshot, error) {
	start, err := s.nearestSnapshot(ctx, math.MaxUint64)
	if err != nil {
		return nil, err
	}
	return s.CatchUp(ctx, start)
}

// SnapshotAt returns the snapshot of a given version. The error is
// *UnknownVersionError if the version does not exist.
func (s *Store) SnapshotAt(ctx context.Context, version config.Version) (*config.Snapshot, error) {
	snapshot, err := s.nearestSnapshot(ctx, version)
	if err != nil {
		return nil, err
	}
	for snapshot.Version < version {
		limit := min(s.options.PageSize, int(version-snapshot.Version))
		entries, err := s.scanEntries(ctx, snapshot.Version, limit)
		if err != nil {
			return nil, err
		}
		if len(entries) == 0 {
			return nil, &UnknownVersionError{Version: version}
		}
		for _, entry := range entries {
			if snapshot, err = config.ApplyEntry(snapshot, entry); err != nil {
				return nil, err
			}
		}
	}
	return snapshot, nil
}

// nearestSnapshot returns the newest readable stored snapshot at or before a
// version, or version zero if there is none. A missing or damaged snapshot is
// logged and skipped: the entries lead to the same content.
func (s *Store) nearestSnapshot(ctx context.Context, version config.Version) (*config.Snapshot, error) {
	for {
		found, err := s.nearestSnapshotVersion(ctx, version)
		if err != nil {
			return nil, err
		}
		if found == 0 {
			return config.Empty(), nil
		}
		snapshot, err := s.readSnapshot(ctx, found)
		if err == nil {
			return snapshot, nil
		}
		if errors.Is(err, store.ErrUnavailable) || ctx.Err() != nil {
			return nil, err
		}
		snapshotReadFailures.Inc()
		s.options.Log.Warn("config: Skipping unreadable snapshot.", "version", found, "error", err)
		version = found - 1
	}
}

func (s *Store) readSnapshot(ctx context.Context, version config.Version) (*config.Snapshot, error) {
	name := snapshotName(version)
	data, err := s.objects.Get(ctx, name)
	if err != nil {
		return nil, fmt.Errorf("config store: read %s: %w", name, err)
	}
	snapshot, err := config.DecodeSnapshot(data)
	if err != nil {
		return nil, fmt.Errorf("config store: read %s: %w", name, err)
	}
	if snapshot.Version != version {
		return nil, &CorruptError{Key: name, Reason: fmt.Sprintf("holds version %d", snapshot.Version)}
	}
	return snapshot, nil
}

func (s *Store) nearestSnapshotVersion(ctx context.Context, version config.Version) (config.Version, error) {
	rows, err := s.table.Scan(ctx, TableSnapshots, snapshotKey(version), 1)
	if err != nil {
		return 0, fmt.Errorf("config store: scan snapshots: %w", err)
	}
	if len(rows) == 0 {
		return 0, nil
	}
	number, err := strconv.ParseUint(string(rows[0].Value), 10, 64)
	if err != nil {
		return 0, &CorruptError{Key: rows[0].Key, Reason: err.Error()}
	}
	return config.Version(number), nil
}

func snapshotName(version config.Version) string { return SnapshotPrefix + versionKey(version) }

// saveSnapshotInBackground stores a snapshot if SnapshotEvery versions have
// passed since the last one, unless one is being written already. A failure is
// logged, and the next accepted version tries again.
func (s *Store) saveSnapshotInBackground(snapshot *config.Snapshot) {
	if !s.snapshotMu.TryLock() {
		return
	}
	s.snapshotWrites.Go(func() {
		defer s.snapshotMu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), s.options.SnapshotTimeout)
		defer cancel()
		if err := s.saveSnapshotIfDue(ctx, snapshot); err != nil {
			snapshotWriteFailures.Inc()
			s.options.Log.Warn("config: Snapshot not written.", "version", snapshot.Version, "error", err)
		}
	})
}

// Wait waits until no snapshot is being written.
func (s *Store) Wait() { s.snapshotWrites.Wait() }

func (s *Store) saveSnapshotIfDue(ctx context.Context, snapshot *config.Snapshot) error {
	newest, err := s.nearestSnapshotVersion(ctx, math.MaxUint64)
	if err != nil {
		return err
	}
	if snapshot.Version < newest+config.Version(s.options.SnapshotEvery) {
		return nil
	}
	return s.saveSnapshot(ctx, snapshot)
}

// saveSnapshot writes the object before the row that refers to it, so that a
// row always refers to a complete object.
func (s *Store) saveSnapshot(ctx context.Context, snapshot *config.Snapshot) error {
	data, err := config.EncodeSnapshot(snapshot)
	if err != nil {
		return err
	}
	if err := s.objects.Put(ctx, snapshotName(snapshot.Version), data); err != nil {
		return fmt.Errorf("write object: %w", err)
	}
	err = s.table.Commit(ctx, []store.Op{{
		Kind:  store.OpInsert,
		Table: TableSnapshots,
		Key:   snapshotKey(snapshot.Version),
		Value: strconv.AppendUint(nil, uint64(snapshot.Version), 10),
	}})
	if err != nil && !errors.Is(err, store.ErrConflict) {
		return fmt.Errorf("write row: %w", err)
	}
	return nil
}
