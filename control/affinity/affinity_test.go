package affinity

import (
	"fmt"
	"testing"
	"time"
)

const retention = time.Minute

func keyOf(n int) Key { return KeyOf("bakery", fmt.Sprint(n)) }

var (
	began1 = Affinity{Pool: "gen", Software: "v1"}
	began2 = Affinity{Pool: "gen", Software: "v2"}
)

// TestKeysOfWorkspacesDiffer guards against a workspace that names a stream of another one.
func TestKeysOfWorkspacesDiffer(t *testing.T) {
	keys := make(map[Key]string)
	for _, pair := range [][2]string{{"a", "bc"}, {"ab", "c"}, {"", "abc"}, {"abc", ""}, {"b", "bc"}} {
		key := KeyOf(pair[0], pair[1])
		if other, taken := keys[key]; taken {
			t.Errorf("%q has the key of %q", pair, other)
		}
		keys[key] = pair[0] + "/" + pair[1]
	}
}

// TestConflictingRecordsAreUnknown guards against a choice between two versions that the same
// id was recorded with.
func TestConflictingRecordsAreUnknown(t *testing.T) {
	table := NewTable()
	table.Add(0, retention, Record{keyOf(1), began1})
	table.Add(0, retention, Record{keyOf(1), began1})
	if got, known := table.Get(0, retention, keyOf(1)); !known || got != began1 {
		t.Errorf("got %v, %v", got, known)
	}
	table.Add(0, retention, Record{keyOf(1), began2})
	table.Add(0, retention, Record{keyOf(1), began1})
	if got, known := table.Get(0, retention, keyOf(1)); known {
		t.Errorf("got %v for a conflicting key", got)
	}
	for r := range table.All {
		t.Errorf("a conflicting record is listed: %v", r)
	}
}

// TestRecordsExpireAfterLastUse guards against records that expire while callers still
// reconnect to their stream, and against ones that never do.
func TestRecordsExpireAfterLastUse(t *testing.T) {
	table := NewTable()
	for n := range 10 {
		table.Add(0, retention, Record{keyOf(n), began1})
	}
	for now := time.Duration(0); now < 5*retention; now += retention / 2 {
		if _, known := table.Get(now, retention, keyOf(3)); !known {
			t.Fatalf("a record in use expired at %s", now)
		}
	}
	if table.Len() != 1 {
		t.Errorf("%d records, want the one in use", table.Len())
	}
	if _, known := table.Get(7*retention, retention, keyOf(3)); known || table.Len() != 0 {
		t.Errorf("%d records after the retention time", table.Len())
	}
}

// TestTableIsBounded guards against unbounded memory, and against evicting records in use.
func TestTableIsBounded(t *testing.T) {
	table := NewTable()
	for n := range 3 * maxRecords {
		table.Add(time.Duration(n), retention, Record{keyOf(n), began1})
		if _, known := table.Get(time.Duration(n), retention, keyOf(0)); !known {
			t.Fatalf("a record in use was evicted after %d", n)
		}
	}
	if table.Len() != maxRecords || len(table.queue) != maxRecords {
		t.Errorf("%d records, %d in the queue", table.Len(), len(table.queue))
	}
	if _, known := table.Get(0, retention, keyOf(1)); known {
		t.Error("the oldest unused record is still there")
	}
}
