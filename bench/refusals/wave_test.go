package refusals

import (
	"slices"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/load"
	"github.com/walnutcove/walnutcove/standin/journal"
)

func TestHistogramCountsFromTheFirstToTheLast(t *testing.T) {
	start := time.Unix(1000, 0)
	after := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	counts := histogram([]time.Time{after(510), after(210), after(299), after(300)}, start)
	if !slices.Equal(counts, []int{2, 1, 0, 1}) {
		t.Errorf("got %v", counts)
	}
	if peak, mean := peakAndMean(counts); peak != 2 || mean != 1 {
		t.Errorf("peak %v, mean %v", peak, mean)
	}
}

func TestBrownOutCountsOnlyWithinInterval(t *testing.T) {
	from := time.Unix(1000, 0)
	until := from.Add(time.Second)
	within, outside := from.Add(time.Millisecond), until.Add(time.Second)
	entries := []journal.Entry{
		{RequestID: "a", Event: journal.Received, Wall: within},
		{RequestID: "a", Event: journal.Received, Wall: within},
		{RequestID: "a", Event: journal.Started, Wall: within},
		{RequestID: "b", Event: journal.Received, Wall: within},
		{RequestID: "c", Event: journal.Received, Wall: outside},
	}
	attempts := []attempt{
		{Result: load.Result{Start: within, End: within, Verdict: load.Refused, Code: 703}},
		{Result: load.Result{Start: outside, End: outside, Verdict: load.Refused, Code: 703}},
	}
	values := evaluateBrownOut(attempts, entries, from, until)
	for n, want := range []float64{2, 3, 1.5, 0, 1, 0, 0, 0} {
		if values[n].Number != want {
			t.Errorf("%s is %v, want %v", values[n].Name, values[n].Number, want)
		}
	}
}
