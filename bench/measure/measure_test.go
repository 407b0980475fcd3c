package measure

import (
	"math"
	"testing"
	"time"
)

const second = time.Second

// alternating returns a record of two workspaces on one slot: a runs for 2 s,
// then b for 2 s, then a for 2 s, while both have a request waiting throughout.
func alternating() Record {
	return Record{
		From: 0,
		To:   6 * second,
		Runs: []Run{
			{Workspace: "a", Target: "t", Start: 0, End: 2 * second},
			{Workspace: "b", Target: "t", Start: 2 * second, End: 4 * second},
			{Workspace: "a", Target: "t", Start: 4 * second, End: 6 * second},
		},
		Waits: []Wait{
			{Workspace: "a", From: 0, To: 6 * second},
			{Workspace: "b", From: 0, To: 6 * second},
		},
	}
}

func approxEqual(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

func TestGapIsTheLargestRiseOrFall(t *testing.T) {
	gap := alternating().FairnessGap(map[string]float64{"a": 1, "b": 1})
	if !approxEqual(gap.SlotSeconds, 2) {
		t.Errorf("gap %v, want 2 slot seconds", gap)
	}
}

func TestGapIsNormalisedByShare(t *testing.T) {
	// D(t) = Sa/2 - Sb: 0, then 1 at 2 s, then -1 at 4 s, then 0.
	gap := alternating().FairnessGap(map[string]float64{"a": 2, "b": 1})
	if !approxEqual(gap.SlotSeconds, 2) {
		t.Errorf("gap %v, want 2 slot seconds", gap)
	}
}

func TestGapCountsOnlyJointBacklog(t *testing.T) {
	r := alternating()
	r.Waits[1].From = 3 * second
	gap := r.FairnessGap(map[string]float64{"a": 1, "b": 1})
	if !approxEqual(gap.SlotSeconds, 2) || gap.From != 4*second {
		t.Errorf("gap %+v, want 2 slot seconds from 4 s", gap)
	}
	r.Waits[1].From = 5 * second
	gap = r.FairnessGap(map[string]float64{"a": 1, "b": 1})
	if !approxEqual(gap.SlotSeconds, 1) {
		t.Errorf("gap %+v, want 1 slot second", gap)
	}
}

func TestUtilisationCountsOnlyWhileWorkWaits(t *testing.T) {
	r := alternating()
	anyTarget := func(string, string) bool { return true }
	if u := r.Utilisation(map[string]int{"t": 1}, anyTarget); !approxEqual(u, 1) {
		t.Errorf("utilisation %v, want 1", u)
	}
	if u := r.Utilisation(map[string]int{"t": 2}, anyTarget); !approxEqual(u, 0.5) {
		t.Errorf("utilisation %v of two slots, want 0.5", u)
	}
	r.Runs = r.Runs[:2]
	if u := r.Utilisation(map[string]int{"t": 1}, anyTarget); !approxEqual(u, 4.0/6) {
		t.Errorf("utilisation %v with an idle end, want 2/3", u)
	}
	r.Waits = []Wait{{Workspace: "a", From: 0, To: 4 * second}}
	if u := r.Utilisation(map[string]int{"t": 1}, anyTarget); !approxEqual(u, 1) {
		t.Errorf("utilisation %v with nothing waiting at the end, want 1", u)
	}
	nobody := func(string, string) bool { return false }
	if u := r.Utilisation(map[string]int{"t": 1}, nobody); !approxEqual(u, 1) {
		t.Errorf("utilisation %v of a target that nothing waiting may use, want 1", u)
	}
}

func TestLongestWithoutService(t *testing.T) {
	r := alternating()
	if got := r.LongestWithoutService("a"); got != 2*second {
		t.Errorf("a went %v without service, want 2s", got)
	}
	if got := r.LongestWithoutService("b"); got != 2*second {
		t.Errorf("b went %v without service, want 2s", got)
	}
}
