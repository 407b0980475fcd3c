package account

import (
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestTotalsBearLossAndRestarts sends reports and totals that are lost, late
// and doubled, restarts the accounting node and moves the accounting. What one scheduler learns
// about the other's service never falls, is never too much, and is right once
// messages pass again.
func TestTotalsBearLossAndRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// Two nodes take turns at the accounting; either may restart.
		nodes := []*Totals{NewTotals(), NewTotals()}
		sources := []Source{{"t", 1}, {"u", 1}}
		turn := 0
		entries := []*Entry{NewEntry(1), NewEntry(2)}
		names := []Source{{"x", 1}, {"y", 1}}
		now := time.Duration(0)
		var late []func()
		last := []float64{0, 0}
		exchange := func(loss bool) {
			for i, e := range entries {
				own, _ := e.Report(now)
				to := nodes[turn]
				deliver := func() { to.Report(now, names[i], "w", own) }
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
			for k, node := range nodes {
				for from, counts := range node.Push(now) {
					if loss && rapid.IntRange(0, 4).Draw(t, "totals") == 0 {
						continue
					}
					i := slices.Index(names, from)
					entries[i].Learn(sources[k], counts[0].Total, counts[0].Own)
				}
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += 250 * time.Millisecond
			for _, e := range entries {
				served := time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond
				e.Start(now)
				e.Charge(served)
				e.End(now, served)
			}
			switch rapid.IntRange(0, 9).Draw(t, "fault") {
			case 0:
				nodes[turn] = NewTotals()
				sources[turn].Incarnation++
			case 1:
				turn = 1 - turn
				now += interestTime
				late = nil // see the package doc for one that is later than this
			case 2:
				for _, f := range late {
					f()
				}
				late = nil
			}
			exchange(true)
			for i, e := range entries {
				if e.others < last[i] {
					t.Fatalf("the total fell from %v to %v", last[i], e.others)
				}
				if e.others > entries[1-i].Own(now)+1e-6 {
					t.Fatalf("learned %v of %v", e.others, entries[1-i].Own(now))
				}
				last[i] = e.others
			}
		}
		// From here on every message passes: growth is counted whole.
		exchange(false)
		exchange(false)
		before := entries[0].others
		entries[1].Start(now)
		entries[1].End(now, 10*time.Second)
		exchange(false)
		if grown := entries[0].others - before; math.Abs(grown-5) > 1e-6 {
			t.Fatalf("10s at share 2 count for %v", grown)
		}
	})
}

func TestRebaseForgetsWhatWasNotFollowed(t *testing.T) {
	e := NewEntry(1)
	e.Learn(Source{"t", 1}, 100, 0)
	e.Learn(Source{"t", 1}, 103, 1)
	e.Rebase()
	e.Learn(Source{"t", 1}, 900, 1)
	e.Learn(Source{"t", 1}, 901, 1)
	if total := e.Total(); total != 3 {
		t.Errorf("the total is %v", total)
	}
}

func TestOwnGrowsWhileRunning(t *testing.T) {
	e := NewEntry(2)
	e.Start(time.Second)
	if own := e.Own(3 * time.Second); own != 1 {
		t.Errorf("two seconds at share 2 count for %v", own)
	}
	e.End(time.Second, 4*time.Second)
	if own := e.Own(10 * time.Second); own != 2 {
		t.Errorf("four seconds at share 2 count for %v", own)
	}
	e.SetShare(10*time.Second, 1)
	e.Start(10 * time.Second)
	e.End(10*time.Second, time.Second)
	if own := e.Own(20 * time.Second); own != 3 {
		t.Errorf("a second more at share 1 makes %v", own)
	}
}
