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

// snapshotKey sorts newer snapshots first, so that a scan from a version's key
// finds the nearest whole snapshot at or before it.
func snapshotKey(version config.Version) string {
	return fmt.Sprintf("%020d", math.MaxUint64-uint64(version))
}

// Load returns the newest version: the newest whole snapshot and the patches
// after it. An empty store yields version zero.
func (s *Store) Load(ctx context.Context) (*config.Snapshot, error) {
	start, err := s.nearest(ctx, math.MaxUint64)
	if err != nil {
		return nil, err
	}
	return s.CatchUp(ctx, start)
}

// SnapshotAt returns an older version in full. The error is
// *UnknownVersionError if the version does not exist.
func (s *Store) SnapshotAt(ctx context.Context, version config.Version) (*config.Snapshot, error) {
	at, err := s.nearest(ctx, version)
	if err != nil {
		return nil, err
	}
	for at.Version < version {
		limit := min(s.options.PageSize, int(version-at.Version))
		entries, err := s.since(ctx, at.Version, limit)
		if err != nil {
			return nil, err
		}
		if len(entries) == 0 {
			return nil, &UnknownVersionError{Version: version}
		}
		for _, entry := range entries {
			if at, err = config.ApplyEntry(at, entry); err != nil {
				return nil, err
			}
		}
	}
	return at, nil
}

// nearest returns the newest readable whole snapshot at or before a version,
// or version zero if there is none. A snapshot that is missing or damaged is
// logged and passed over: the entries lead to the same content.
func (s *Store) nearest(ctx context.Context, version config.Version) (*config.Snapshot, error) {
	for {
		found, err := s.nearestVersion(ctx, version)
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
		readFailures.Inc()
		s.options.Log.Warn("config: Whole snapshot passed over.", "version", found, "error", err)
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

func (s *Store) nearestVersion(ctx context.Context, version config.Version) (config.Version, error) {
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

// snapshotInBackground writes a whole snapshot if the last one is far enough
// behind. A failure is logged; the next accepted version tries again.
func (s *Store) snapshotInBackground(snapshot *config.Snapshot) {
	if !s.writing.TryLock() {
		return
	}
	s.snapshots.Go(func() {
		defer s.writing.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), s.options.SnapshotTimeout)
		defer cancel()
		if err := s.saveIfDue(ctx, snapshot); err != nil {
			writeFailures.Inc()
			s.options.Log.Warn("config: Whole snapshot not written.", "version", snapshot.Version, "error", err)
		}
	})
}

// Wait returns when no whole snapshot is being written.
func (s *Store) Wait() { s.snapshots.Wait() }

func (s *Store) saveIfDue(ctx context.Context, snapshot *config.Snapshot) error {
	last, err := s.nearestVersion(ctx, math.MaxUint64)
	if err != nil {
		return err
	}
	if snapshot.Version < last+config.Version(s.options.SnapshotEvery) {
		return nil
	}
	return s.save(ctx, snapshot)
}

// save writes the object before the row that names it, so that a row always
// names a whole object.
func (s *Store) save(ctx context.Context, snapshot *config.Snapshot) error {
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
