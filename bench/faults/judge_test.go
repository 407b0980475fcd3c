package faults

import (
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/bench/measure"
	"github.com/walnutcove/walnutcove/standin/journal"
)

var origin = time.Unix(1000, 0)

func at(seconds int) time.Time { return origin.Add(time.Duration(seconds) * time.Second) }

func TestMostPresentCountsEachTargetAlone(t *testing.T) {
	entries := []journal.Entry{
		{Target: "a", Run: 1, Event: journal.Received, Wall: at(1)},
		{Target: "a", Run: 2, Event: journal.Received, Wall: at(2)},
		{Target: "a", Run: 1, Event: journal.Started, Wall: at(2)},
		{Target: "a", Run: 1, Event: journal.Ended, Wall: at(3)},
		{Target: "a", Run: 3, Event: journal.Received, Wall: at(4)},
		{Target: "b", Run: 1, Event: journal.Received, Wall: at(2)},
	}
	if most := mostPresent(entries, at(0), at(9)); most != 2 {
		t.Errorf("got %d, want 2", most)
	}
	if most := mostPresent(entries[:1], at(0), at(9)); most != 1 {
		t.Errorf("got %d, want 1", most)
	}
}

func TestLongestPauseCountsTheEndsOfTheInterval(t *testing.T) {
	entries := []journal.Entry{
		{Target: "a", Event: journal.Started, Wall: at(3)},
		{Target: "b", Event: journal.Started, Wall: at(5)},
		{Target: "a", Event: journal.Started, Wall: at(7)},
	}
	onlyA := func(target string) bool { return target == "a" }
	if got := longestPause(entries, at(0), at(9), onlyA); got != 4000 {
		t.Errorf("between starts: got %v ms, want 4000", got)
	}
	if got := longestPause(entries, at(0), at(20), onlyA); got != 13000 {
		t.Errorf("after the last start: got %v ms, want 13000", got)
	}
}

// TestKilledTargetIdlesOnlyWhileItLives: slots 0 to 1 s and 3 to 4 s count,
// of which one run takes a quarter in the second part.
func TestKilledTargetIdlesOnlyWhileItLives(t *testing.T) {
	s := &scene{target: "shared-1", killed: at(1), restarted: at(3)}
	s.deployment.Targets = 1
	s.deployment.Slots = 4
	record := measure.Record{
		Waits: []measure.Wait{{Workspace: "w", From: 0, To: 4 * time.Second}},
		Runs:  []measure.Run{{Workspace: "w", Target: "shared-1", Start: 3 * time.Second, End: 4 * time.Second}},
		To:    4 * time.Second,
	}
	if got := s.idle(record, origin); got != 7 {
		t.Errorf("got %v slot s, want 7", got)
	}
}
