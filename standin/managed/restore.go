package managed

import (
	"maps"
	"slices"

	"github.com/walnutcove/walnutcove/platform/wire"
)

// Copy is the content of a store at some moment.
type Copy struct {
	rows     map[rowKey]wire.Row
	revision uint64
}

// Copy returns the present content, to restore it later.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{rows: maps.Clone(s.rows), revision: s.revision}
}

// Keys returns the keys of a table's rows, in order.
func (c Copy) Keys(table string) []string {
	var keys []string
	for key, row := range c.rows {
		if key.table == table && !row.Removed {
			keys = append(keys, key.key)
		}
	}
	slices.Sort(keys)
	return keys
}

// Restore makes the store come back from a copy, as after a disaster: what was written since
// is gone, its revisions are given out again, and the era rises by one.
func (s *Store) Restore(from Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows = maps.Clone(from.rows)
	s.revision = from.revision
	s.era++
	s.wake()
}

// Era is how often the store came back from a copy, from 1.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}
