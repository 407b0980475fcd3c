package locality

import (
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/load"
	"github.com/walnutcove/walnutcove/standin/journal"
)

// TestCacheModelMatchesEngines compares two engines that cache one prefix each
// with one combined cache of two.
func TestCacheModelMatchesEngines(t *testing.T) {
	c := newCacheModel(1, 2)
	var entries []journal.Entry
	var results []load.Result
	start := time.Unix(1000, 0)
	for n, run := range []struct{ target, prefix string }{
		{"a", "x"}, // a miss in all caches
		{"a", "x"}, // a hit
		{"b", "x"}, // a miss at b, a hit in the combined cache
		{"a", "y"}, // evicts x from a
		{"a", "x"}, // a miss at a, a hit in the combined cache
	} {
		id := string(rune('0' + n))
		entries = append(entries, journal.Entry{
			Target: run.target, RequestID: id, Event: journal.Started, Wall: start.Add(time.Duration(n) * time.Second),
		})
		results = append(results, load.Result{RequestID: id, Request: load.Request{Prefix: run.prefix}})
	}
	got := c.replay(entries, results, start.Add(time.Second))
	if want := (hitCounts{runs: 4, cached: 1, combined: 3}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
