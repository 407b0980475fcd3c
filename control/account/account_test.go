package account

import (
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestTotalsTolerateLossAndRestarts loses, delays and duplicates reports and totals,
// restarts the accounting node and moves the accounting. The level that one scheduler
// learns of the other's service must never fall, never be too high, and be exact once
// messages arrive again.
func TestTotalsTolerateLossAndRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// The accounting alternates between two nodes; either may restart.
		nodes := []*Totals{NewTotals(), NewTotals()}
		current := 0
		entries := []*Entry{NewEntry(1), NewEntry(2)}
		sources := []Source{{"x", 1}, {"y", 1}}
		now := time.Duration(0)
		var late []func()
		last := []float64{0, 0}
		lifted := 0.0
		exchange := func(loss bool) {
			for i, e := range entries {
				report, _ := e.Report(false)
				to := nodes[current]
				deliver := func() { to.Report(now, sources[i], "w", report) }
				switch rapid.IntRange(0, 4).Draw(t, "fate") {
				case 0:
					if !loss {
						deliver()
					}
				case 1:
					late = append(late, deliver)
					deliver()
				case 2:
					deliver()
					deliver()
				default:
					deliver()
				}
			}
			for _, node := range nodes {
				for from, counts := range node.Push(now) {
					if loss && rapid.IntRange(0, 4).Draw(t, "totals") == 0 {
						continue
					}
					i := slices.Index(sources, from)
					entries[i].Learn(now, counts[0].Level, counts[0].Own, counts[0].Elsewhere)
				}
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += 250 * time.Millisecond
			for _, e := range entries {
				served := time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond
				e.Start()
				e.Charge(served)
				e.End(served)
			}
			switch rapid.IntRange(0, 9).Draw(t, "fault") {
			case 0:
				nodes[current] = NewTotals()
			case 1:
				current = 1 - current
				if pause := rapid.IntRange(0, 2).Draw(t, "pause"); pause < 2 {
					// After so short a pause no late report arrives: a session delivers in
					// order or not at all.
					now += time.Duration(pause) * reportTTL / 2
					late = nil
				} else {
					now += reportTTL
				}
				late = nil // the package doc covers reports that are later than this
			case 2:
				for _, f := range late {
					f()
				}
				late = nil
			case 3:
				lift := rapid.Float64Range(0, 5).Draw(t, "lift")
				entries[rapid.IntRange(0, 1).Draw(t, "lifted")].Lift(lift)
				lifted += lift
			}
			exchange(true)
			for i, e := range entries {
				if e.base < last[i] {
					t.Fatalf("the level fell from %v to %v", last[i], e.base)
				}
				if limit := entries[1-i].Own() + lifted; e.base > limit+1e-6 {
					t.Fatalf("learned a level of %v, at most %v was given", e.base, limit)
				}
				last[i] = e.base
			}
		}
		// From here on every message arrives, so all growth must count.
		exchange(false)
		exchange(false)
		if a, b := entries[0].Own()+entries[0].base, entries[1].Own()+entries[1].base; math.Abs(a-b) > 1e-6 {
			t.Fatalf("the schedulers have different levels, %v and %v", a, b)
		}
		before := entries[0].base
		entries[1].Start()
		entries[1].End(10 * time.Second)
		exchange(false)
		if grown := entries[0].base - before; math.Abs(grown-5) > 1e-6 {
			t.Fatalf("10s at share 2 count as %v", grown)
		}
	})
}

// TestLevelIsCompleteAfterAPause calls DropElsewhere between two messages. The level must
// stay, and then include all service given in the meantime, whichever message is
// duplicated or late.
func TestLevelIsCompleteAfterAPause(t *testing.T) {
	e := NewEntry(1)
	e.Learn(0, 100, 0, Elsewhere{})
	e.Learn(0, 103, 1, Elsewhere{})
	e.DropElsewhere()
	if e.Known() || e.Total() != 102 {
		t.Errorf("after a pause: total %v, known %v", e.Total(), e.Known())
	}
	e.Learn(0, 900, 1, Elsewhere{})
	e.Learn(0, 103, 1, Elsewhere{})
	e.Learn(0, 900, 1, Elsewhere{})
	if total := e.Total(); total != 899 || !e.Known() {
		t.Errorf("total %v, known %v", total, e.Known())
	}
}

// TestOwnHoldsEndedRunsOnly checks what is settled and what is pending, and that a
// change of the share applies to the runs in progress.
func TestOwnHoldsEndedRunsOnly(t *testing.T) {
	e := NewEntry(2)
	e.Start()
	e.Charge(6 * time.Second)
	if own, pending := e.Own(), e.Pending(); own != 0 || pending != 3 {
		t.Errorf("a run charged with six seconds at share 2 counts as %v, and %v pending", own, pending)
	}
	e.End(4 * time.Second)
	e.Charge(-2 * time.Second)
	if own, pending := e.Own(), e.Pending(); own != 2 || pending != 0 {
		t.Errorf("four seconds at share 2 count as %v, and %v pending", own, pending)
	}
	e.Start()
	e.Charge(2 * time.Second)
	e.SetShare(1)
	if total := e.Total(); total != 4 {
		t.Errorf("total %v with two seconds pending at share 1", total)
	}
	e.End(time.Second)
	e.Charge(-time.Second)
	if own, total := e.Own(), e.Total(); own != 3 || total != 3 {
		t.Errorf("own %v, total %v after one more second at share 1", own, total)
	}
}

// TestRestartedSchedulerLearnsTheLevel also restarts the accounting node, which learns
// the level from the one scheduler that knows it.
func TestRestartedSchedulerLearnsTheLevel(t *testing.T) {
	old, restarted := NewEntry(1), NewEntry(1)
	old.Lift(100)
	old.Start()
	old.End(7 * time.Second)
	totals := NewTotals()
	sendReport := func(e *Entry, name string, waiting bool) {
		report, _ := e.Report(waiting)
		totals.Report(time.Second, Source{name, 1}, "w", report)
	}
	sendReport(old, "old", true)
	sendReport(restarted, "restarted", false)
	for from, counts := range totals.Push(time.Second) {
		e := map[string]*Entry{"old": old, "restarted": restarted}[from.Node]
		e.Learn(time.Second, counts[0].Level, counts[0].Own, counts[0].Elsewhere)
	}
	if restarted.Total() != 107 || !restarted.Known() {
		t.Errorf("the restarted scheduler starts at %v", restarted.Total())
	}
	if !restarted.WaitsElsewhere() || old.WaitsElsewhere() {
		t.Errorf("WaitsElsewhere is wrong: the workspace waits at the old scheduler only")
	}
	restarted.Expire(time.Second + reportTTL + 1)
	if restarted.Known() || restarted.WaitsElsewhere() || restarted.Total() != 107 {
		t.Errorf("the state of other schedulers does not expire, or the level fell to %v", restarted.Total())
	}
}

// TestPendingIsReportedSeparately checks that estimates count at the other schedulers
// while the runs are in progress, and no longer.
func TestPendingIsReportedSeparately(t *testing.T) {
	a, b := NewEntry(1), NewEntry(1)
	totals := NewTotals()
	exchange := func(now time.Duration) {
		for i, e := range []*Entry{a, b} {
			report, _ := e.Report(false)
			totals.Report(now, Source{string(rune('a' + i)), 1}, "w", report)
		}
		for from, counts := range totals.Push(now) {
			e := map[string]*Entry{"a": a, "b": b}[from.Node]
			e.Learn(now, counts[0].Level, counts[0].Own, counts[0].Elsewhere)
		}
	}
	exchange(0)
	a.Start()
	a.Charge(4 * time.Second)
	exchange(time.Second)
	if b.Total() != 4 {
		t.Errorf("a run charged with 4s counts as %v elsewhere", b.Total())
	}
	a.End(2 * time.Second)
	a.Charge(-2 * time.Second)
	exchange(2 * time.Second)
	if b.Total() != 2 || a.Total() != 2 {
		t.Errorf("a run that took 2s counts as %v, and as %v elsewhere", a.Total(), b.Total())
	}
}
