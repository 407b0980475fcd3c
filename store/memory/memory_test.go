package memory

import (
	"context"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/store"
)

var background = context.Background()

// manualClock is a clock that the tests set.
type manualClock struct{ now time.Time }

func (c *manualClock) Now() time.Time { return c.now }

func TestVMListLags(t *testing.T) {
	c := &manualClock{now: time.Unix(1000, 0)}
	table := New(Options{Now: c.Now})
	table.SetVMLag(2 * time.Second)
	for _, name := range []string{"first", "second"} {
		table.SetVMs([]store.VM{{Name: name}})
		c.now = c.now.Add(time.Second)
	}
	for _, want := range []string{"first", "second", "second"} {
		vms, err := table.ListVMs(background)
		if err != nil || len(vms) != 1 || vms[0].Name != want {
			t.Fatalf("got %+v, %v; want %s", vms, err, want)
		}
		c.now = c.now.Add(time.Second)
	}
}

func TestWeightPermits(t *testing.T) {
	c := &manualClock{now: time.Unix(1000, 0)}
	weights := NewWeights(WeightsOptions{BytesPerSecond: 100, MaxFetches: 2, PermitTime: time.Minute, Now: c.Now})
	request := func(id string) store.WeightPermit {
		permit, err := weights.RequestFetch(background, store.WeightFetch{ID: id, Artifact: "m", Target: "t"})
		if err != nil {
			t.Fatal(err)
		}
		return permit
	}
	if got := request("a"); !got.Granted || got.BytesPerSecond != 50 {
		t.Fatalf("first: %+v", got)
	}
	c.now = c.now.Add(30 * time.Second)
	if got := request("a"); !got.Granted || got.TimeLeft != 30*time.Second {
		t.Fatalf("asked again: %+v", got)
	}
	request("b")
	if got := request("c"); got.Granted || got.RetryAfter <= 0 {
		t.Fatalf("over the limit: %+v", got)
	}
	c.now = c.now.Add(30 * time.Second)
	if got := request("c"); !got.Granted {
		t.Fatalf("after a permit ended: %+v", got)
	}
}

// TestScanReflectsAllWrites checks that the lazily sorted keys stay correct after
// deletes and inserts of the same key.
func TestScanReflectsAllWrites(t *testing.T) {
	table := New(Options{})
	commit := func(kind store.OpKind, key string, revision uint64) uint64 {
		op := store.Op{Kind: kind, Table: "t", Key: key, Revision: revision}
		revision, err := table.CommitRevision(background, []store.Op{op})
		if err != nil {
			t.Fatal(err)
		}
		return revision
	}
	want := func(keys string) {
		t.Helper()
		rows, err := table.Scan(background, "t", "", 10)
		got := ""
		for _, row := range rows {
			got += row.Key
		}
		if err != nil || got != keys {
			t.Fatalf("got %q, %v; want %q", got, err, keys)
		}
	}
	b := commit(store.OpInsert, "b", 0)
	commit(store.OpInsert, "a", 0)
	want("ab")
	commit(store.OpDelete, "b", b)
	b = commit(store.OpInsert, "b", 0)
	commit(store.OpInsert, "c", 0)
	want("abc")
	commit(store.OpDelete, "b", b)
	want("ac")
}
