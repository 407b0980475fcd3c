// Package store keeps the numbered configuration versions in the platform's
// table service.
//
// Every version is one row of TableVersions, keyed by its zero-padded number,
// that holds the accepted patch; large changes are kept in the object store. A
// patch is accepted by inserting row base+1 on condition that it does not
// exist, in one transaction with a row of TablePatches that makes submissions
// idempotent by patch id. Every SnapshotEvery versions a complete snapshot is
// written to the object store, so that a restarted router reads one object and
// a few rows.
package store

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/store"
)

// Tables and names used on the platform.
const (
	// TableVersions holds one row per version: the config.Entry as JSON.
	TableVersions = "config_versions"
	// TablePatches holds one row per accepted patch id: the version's number.
	TablePatches = "config_patches"
	// TableSnapshots holds one row per stored snapshot, newest first.
	TableSnapshots = "config_snapshots"
	// SnapshotPrefix is the prefix of the names of snapshots in the object store.
	SnapshotPrefix = "config/snapshot-"
	// ChangesPrefix is the prefix of the names of changes in the object store.
	ChangesPrefix = "config/changes-"
)

// MaxInlineBytes is the maximum size of changes that are kept in the row
// itself. The platform limits a row to 1 MiB.
const MaxInlineBytes = 256 << 10

// Defaults of Options.
const (
	// DefaultSnapshotEvery is the number of versions between stored snapshots.
	DefaultSnapshotEvery = 100
	// DefaultPageSize is the number of rows read in one scan.
	DefaultPageSize = 200
	// DefaultSnapshotTimeout limits the time for writing a snapshot.
	DefaultSnapshotTimeout = 10 * time.Second
)

// Options configures a Store. Zero fields take the defaults.
type Options struct {
	// SnapshotEvery is the number of versions between stored snapshots.
	SnapshotEvery int
	// PageSize is the number of rows read in one scan.
	PageSize int
	// SnapshotTimeout limits the time for writing a snapshot.
	SnapshotTimeout time.Duration
	// Now is the clock for Entry.AcceptedAt. Default time.Now.
	Now func() time.Time
	// Log receives the store's messages. Default slog.Default().
	Log *slog.Logger
}

// Store reads and writes configuration versions. It has no state of its own
// besides the snapshot being written, so any number of routers may use the
// same tables. Its methods are safe for concurrent use.
type Store struct {
	table   store.Table
	objects store.Objects
	options Options

	snapshotMu     sync.Mutex // held while a snapshot is being written
	snapshotWrites sync.WaitGroup
}

// New returns a Store that uses the platform's table and object services.
func New(table store.Table, objects store.Objects, options Options) *Store {
	if options.SnapshotEvery <= 0 {
		options.SnapshotEvery = DefaultSnapshotEvery
	}
	if options.PageSize <= 0 {
		options.PageSize = DefaultPageSize
	}
	if options.SnapshotTimeout <= 0 {
		options.SnapshotTimeout = DefaultSnapshotTimeout
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Log == nil {
		options.Log = slog.Default()
	}
	return &Store{table: table, objects: objects, options: options}
}

// versionKey returns the row key of a version: 20 digits, so that keys sort by number.
func versionKey(version config.Version) string { return fmt.Sprintf("%020d", version) }

// Since returns at most one page of entries after a version, oldest first and
// without gaps. An empty result means that after is the newest version.
func (s *Store) Since(ctx context.Context, after config.Version) ([]config.Entry, error) {
	return s.scanEntries(ctx, after, s.options.PageSize)
}

func (s *Store) scanEntries(ctx context.Context, after config.Version, limit int) ([]config.Entry, error) {
	rows, err := s.table.Scan(ctx, TableVersions, versionKey(after+1), limit)
	if err != nil {
		return nil, fmt.Errorf("config store: scan versions: %w", err)
	}
	entries := make([]config.Entry, 0, len(rows))
	for _, row := range rows {
		entry, err := s.decodeRow(ctx, row)
		if err != nil {
			return nil, err
		}
		want := after + 1 + config.Version(len(entries))
		if entry.Version != want {
			return nil, &CorruptError{Key: row.Key, Reason: fmt.Sprintf("version %d is missing", want)}
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

// Entry returns the history entry of one version. The error is
// *UnknownVersionError if the version does not exist.
func (s *Store) Entry(ctx context.Context, version config.Version) (config.Entry, error) {
	row, err := s.readRow(ctx, version)
	if err != nil {
		return config.Entry{}, err
	}
	return s.decodeRow(ctx, row)
}

func (s *Store) readRow(ctx context.Context, version config.Version) (store.Row, error) {
	row, err := s.table.Get(ctx, TableVersions, versionKey(version))
	if errors.Is(err, store.ErrNotFound) {
		return store.Row{}, &UnknownVersionError{Version: version}
	}
	if err != nil {
		return store.Row{}, fmt.Errorf("config store: read version %d: %w", version, err)
	}
	return row, nil
}

// History returns up to limit entries starting at version from, oldest first.
func (s *Store) History(ctx context.Context, from config.Version, limit int) ([]config.Entry, error) {
	after := max(from, 1) - 1
	var entries []config.Entry
	for len(entries) < limit {
		page, err := s.scanEntries(ctx, after, min(limit-len(entries), s.options.PageSize))
		if err != nil {
			return nil, err
		}
		if len(page) == 0 {
			break
		}
		entries = append(entries, page...)
		after = entries[len(entries)-1].Version
	}
	return entries, nil
}

// CatchUp applies all later entries of the store to from and returns the newest
// snapshot, which is from itself if there are none.
func (s *Store) CatchUp(ctx context.Context, from *config.Snapshot) (*config.Snapshot, error) {
	for {
		entries, err := s.Since(ctx, from.Version)
		if err != nil {
			return nil, err
		}
		if len(entries) == 0 {
			return from, nil
		}
		for _, entry := range entries {
			if from, err = config.ApplyEntry(from, entry); err != nil {
				return nil, err
			}
		}
	}
}

// patchVersion returns the version that a patch id was accepted as, if any.
func (s *Store) patchVersion(ctx context.Context, id string) (config.Version, bool, error) {
	row, err := s.table.Get(ctx, TablePatches, id)
	if errors.Is(err, store.ErrNotFound) {
		return 0, false, nil
	}
	if err != nil {
		return 0, false, fmt.Errorf("config store: read patch %s: %w", id, err)
	}
	version, err := strconv.ParseUint(string(row.Value), 10, 64)
	if err != nil {
		return 0, false, &CorruptError{Key: row.Key, Reason: err.Error()}
	}
	return config.Version(version), true, nil
}
