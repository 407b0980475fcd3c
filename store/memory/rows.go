package memory

import (
	"bytes"
	"slices"
	"sort"

	"github.com/walnutcove/walnutcove/store"
)

// tableRows is one table: rows by key, and the keys in order for scans. Writes
// take constant time; the first scan after a write puts the keys in order.
type tableRows struct {
	rows map[string]store.Row
	// keys is in order; it may hold keys that were deleted.
	keys []string
	// added are keys written since keys was put in order.
	added []string
	// deleted says that a row was deleted since then.
	deleted bool
}

func newTableRows() *tableRows {
	return &tableRows{rows: make(map[string]store.Row)}
}

func (t *tableRows) put(row store.Row) {
	if _, ok := t.rows[row.Key]; !ok {
		t.added = append(t.added, row.Key)
	}
	t.rows[row.Key] = row
}

func (t *tableRows) remove(key string) {
	delete(t.rows, key)
	t.deleted = true
}

// scan returns up to limit rows with key >= from. The values are copies.
func (t *tableRows) scan(from string, limit int) []store.Row {
	t.order()
	var rows []store.Row
	for i := sort.SearchStrings(t.keys, from); i < len(t.keys) && len(rows) < limit; i++ {
		row := t.rows[t.keys[i]]
		row.Value = bytes.Clone(row.Value)
		rows = append(rows, row)
	}
	return rows
}

// order merges the added keys into keys and takes out the deleted ones.
func (t *tableRows) order() {
	if len(t.added) > 0 {
		slices.Sort(t.added)
		t.keys = merge(t.keys, t.added)
		t.added = nil
	}
	if t.deleted {
		t.keys = slices.DeleteFunc(t.keys, func(key string) bool {
			_, ok := t.rows[key]
			return !ok
		})
		t.deleted = false
	}
}

// merge returns the keys of two ordered lists in order, each once.
func merge(a, b []string) []string {
	merged := make([]string, 0, len(a)+len(b))
	for len(a) > 0 && len(b) > 0 {
		if a[0] <= b[0] {
			merged, a = append(merged, a[0]), a[1:]
		} else {
			merged, b = append(merged, b[0]), b[1:]
		}
	}
	merged = append(append(merged, a...), b...)
	return slices.Compact(merged)
}
