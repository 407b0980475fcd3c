package faults

import (
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/bench/measure"
	"github.com/walnutcove/walnutcove/standin/journal"
)

var origin = time.Unix(1000, 0)

func at(seconds int) time.Time { return origin.Add(time.Duration(seconds) * time.Second) }

func TestMaxPresentCountsEachTargetSeparately(t *testing.T) {
	entries := []journal.Entry{
		{Target: "a", Run: 1, Event: journal.Received, Wall: at(1)},
		{Target: "a", Run: 2, Event: journal.Received, Wall: at(2)},
		{Target: "a", Run: 1, Event: journal.Started, Wall: at(2)},
		{Target: "a", Run: 1, Event: journal.Ended, Wall: at(3)},
		{Target: "a", Run: 3, Event: journal.Received, Wall: at(4)},
		{Target: "b", Run: 1, Event: journal.Received, Wall: at(2)},
	}
	if count := maxPresent(entries, at(0), at(9)); count != 2 {
		t.Errorf("got %d, want 2", count)
	}
	if count := maxPresent(entries[:1], at(0), at(9)); count != 1 {
		t.Errorf("got %d, want 1", count)
	}
}

func TestLongestPauseCountsTheEndsOfTheInterval(t *testing.T) {
	entries := []journal.Entry{
		{Target: "a", Event: journal.Started, Wall: at(3)},
		{Target: "b", Event: journal.Started, Wall: at(5)},
		{Target: "a", Event: journal.Started, Wall: at(7)},
	}
	onlyA := func(target string) bool { return target == "a" }
	if got := longestPauseMillis(entries, at(0), at(9), onlyA); got != 4000 {
		t.Errorf("between starts: got %v ms, want 4000", got)
	}
	if got := longestPauseMillis(entries, at(0), at(20), onlyA); got != 13000 {
		t.Errorf("after the last start: got %v ms, want 13000", got)
	}
}

// TestKilledTargetIdlesOnlyWhileRunning checks that the slots of a target that is
// down from 1 s to 3 s count only from 0 to 1 s and from 3 s to 4 s. One run uses
// a quarter of the second part.
func TestKilledTargetIdlesOnlyWhileRunning(t *testing.T) {
	tr := &trial{target: "shared-1", killedAt: at(1), restartedAt: at(3)}
	tr.deployment.Targets = 1
	tr.deployment.Slots = 4
	record := measure.Record{
		Waits: []measure.Wait{{Workspace: "w", From: 0, To: 4 * time.Second}},
		Runs:  []measure.Run{{Workspace: "w", Target: "shared-1", Start: 3 * time.Second, End: 4 * time.Second}},
		To:    4 * time.Second,
	}
	if got := tr.idleSlotSeconds(record, origin); got != 7 {
		t.Errorf("got %v slot s, want 7", got)
	}
}
