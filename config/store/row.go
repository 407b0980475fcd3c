package store

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/store"
)

// entryRow is the value of a row of TableVersions.
type entryRow struct {
	config.Entry
	// ChangesObject is the name of the object that holds Patch.Changes if they
	// exceed MaxInlineBytes.
	ChangesObject string `json:"changes_object,omitempty"`
}

// encodeRow returns the value of an entry's row. Large changes are first written
// to the object store, under a name derived from their content, so that a row
// never refers to a missing object. The entry is not accepted until the row is
// inserted.
func (s *Store) encodeRow(ctx context.Context, entry config.Entry) ([]byte, error) {
	row := entryRow{Entry: entry}
	if len(entry.Patch.Changes) > MaxInlineBytes {
		sum := sha256.Sum256(entry.Patch.Changes)
		row.ChangesObject = ChangesPrefix + hex.EncodeToString(sum[:])
		if err := s.objects.Put(ctx, row.ChangesObject, entry.Patch.Changes); err != nil {
			return nil, fmt.Errorf("config store: write changes: %w: %v", store.ErrUnavailable, err)
		}
		row.Patch.Changes = nil
	}
	value, err := json.Marshal(row)
	if err != nil {
		return nil, fmt.Errorf("config store: encode version %d: %w", entry.Version, err)
	}
	return value, nil
}

// parseRow decodes a row of TableVersions, without changes that are kept in the
// object store.
func parseRow(row store.Row) (entryRow, error) {
	var decoded entryRow
	if err := json.Unmarshal(row.Value, &decoded); err != nil {
		return entryRow{}, &CorruptError{Key: row.Key, Reason: err.Error()}
	}
	if versionKey(decoded.Version) != row.Key {
		return entryRow{}, &CorruptError{Key: row.Key, Reason: fmt.Sprintf("holds version %d", decoded.Version)}
	}
	return decoded, nil
}

// decodeRow decodes a row of TableVersions and reads changes that are kept in
// the object store.
func (s *Store) decodeRow(ctx context.Context, row store.Row) (config.Entry, error) {
	decoded, err := parseRow(row)
	if err != nil {
		return config.Entry{}, err
	}
	entry := decoded.Entry
	if decoded.ChangesObject == "" {
		return entry, nil
	}
	changes, err := s.objects.Get(ctx, decoded.ChangesObject)
	if errors.Is(err, store.ErrNotFound) {
		return config.Entry{}, &CorruptError{Key: row.Key, Reason: "its changes are not in the object store"}
	}
	if err != nil {
		return config.Entry{}, fmt.Errorf("config store: read changes of version %d: %w", entry.Version, err)
	}
	entry.Patch.Changes = changes
	return entry, nil
}

// insertOps returns the operations of the transaction that accepts an entry.
func (s *Store) insertOps(ctx context.Context, entry config.Entry) ([]store.Op, error) {
	value, err := s.encodeRow(ctx, entry)
	if err != nil {
		return nil, err
	}
	versionText := strconv.AppendUint(nil, uint64(entry.Version), 10)
	return []store.Op{
		{Kind: store.OpInsert, Table: TableVersions, Key: versionKey(entry.Version), Value: value},
		{Kind: store.OpInsert, Table: TablePatches, Key: entry.Patch.ID, Value: versionText},
	}, nil
}
