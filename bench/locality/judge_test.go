package locality

import (
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/load"
	"github.com/walnutcove/walnutcove/standin/journal"
)

// TestCachesFollowTheEngines: two engines that cache one prefix each, against
// one cache of two.
func TestCachesFollowTheEngines(t *testing.T) {
	c := newCaches(1, 2)
	var entries []journal.Entry
	var results []load.Result
	start := time.Unix(1000, 0)
	for n, run := range []struct{ target, prefix string }{
		{"a", "x"}, // new to all
		{"a", "x"}, // cached
		{"b", "x"}, // new to b, known to the large cache
		{"a", "y"}, // evicts x from a
		{"a", "x"}, // gone from a, still in the large cache
	} {
		id := string(rune('0' + n))
		entries = append(entries, journal.Entry{
			Target: run.target, RequestID: id, Event: journal.Started, Wall: start.Add(time.Duration(n) * time.Second),
		})
		results = append(results, load.Result{RequestID: id, Request: load.Request{Prefix: run.prefix}})
	}
	got := c.follow(entries, results, start.Add(time.Second))
	if want := (hits{runs: 4, cached: 1, whole: 3}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
