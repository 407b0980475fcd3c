package managed

import (
	"maps"
	"slices"

	"github.com/walnutcove/walnutcove/platform/wire"
)

// Backup is a copy of the content of a store at some moment.
type Backup struct {
	rows     map[rowKey]wire.Row
	revision uint64
}

// Backup returns a copy of the present content, to restore later.
func (s *Store) Backup() Backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Backup{rows: maps.Clone(s.rows), revision: s.revision}
}

// Keys returns the sorted keys of a table's rows.
func (b Backup) Keys(table string) []string {
	var keys []string
	for key, row := range b.rows {
		if key.table == table && !row.Removed {
			keys = append(keys, key.key)
		}
	}
	slices.Sort(keys)
	return keys
}

// Restore replaces the content of the store by that of a backup, as after a disaster:
// later writes are lost, their revisions are assigned again, and the era rises by one.
func (s *Store) Restore(from Backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows = maps.Clone(from.rows)
	s.revision = from.revision
	s.era++
	s.notifyChange()
}

// Era returns the store's era: 1, plus one for each Restore.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}
