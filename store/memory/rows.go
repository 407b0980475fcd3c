package memory

import (
	"bytes"
	"slices"
	"sort"

	"github.com/walnutcove/walnutcove/store"
)

// tableRows is one table: the rows by key, and the sorted keys for scans. Writes
// take constant time; the first scan after a write sorts the keys.
type tableRows struct {
	rows map[string]store.Row
	// keys is sorted; it may contain keys that were deleted.
	keys []string
	// addedKeys holds the keys inserted since keys was last sorted, unsorted.
	addedKeys []string
	// hasDeleted is set if a row was deleted since then.
	hasDeleted bool
}

func newTableRows() *tableRows {
	return &tableRows{rows: make(map[string]store.Row)}
}

func (t *tableRows) put(row store.Row) {
	if _, ok := t.rows[row.Key]; !ok {
		t.addedKeys = append(t.addedKeys, row.Key)
	}
	t.rows[row.Key] = row
}

func (t *tableRows) remove(key string) {
	delete(t.rows, key)
	t.hasDeleted = true
}

// scan returns up to limit rows with key >= from. The values are copies.
func (t *tableRows) scan(from string, limit int) []store.Row {
	t.sortKeys()
	var rows []store.Row
	for i := sort.SearchStrings(t.keys, from); i < len(t.keys) && len(rows) < limit; i++ {
		row := t.rows[t.keys[i]]
		row.Value = bytes.Clone(row.Value)
		rows = append(rows, row)
	}
	return rows
}

// sortKeys merges the added keys into keys and removes the deleted ones.
func (t *tableRows) sortKeys() {
	if len(t.addedKeys) > 0 {
		slices.Sort(t.addedKeys)
		t.keys = mergeSorted(t.keys, t.addedKeys)
		t.addedKeys = nil
	}
	if t.hasDeleted {
		t.keys = slices.DeleteFunc(t.keys, func(key string) bool {
			_, ok := t.rows[key]
			return !ok
		})
		t.hasDeleted = false
	}
}

// mergeSorted merges two sorted lists and removes duplicates.
func mergeSorted(a, b []string) []string {
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
