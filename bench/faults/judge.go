package faults

import (
	"slices"
	"time"

	"github.com/walnutcove/walnutcove/bench/measure"
	"github.com/walnutcove/walnutcove/bench/workload"
	"github.com/walnutcove/walnutcove/standin/journal"
)

// messageTime is R in the bound of the gap: generous on loopback.
const messageTime = 0.01 // seconds

// longestPause returns the longest time without a start at some targets, in
// milliseconds.
func longestPause(entries []journal.Entry, from, to time.Time, of func(target string) bool) float64 {
	starts := []time.Time{from, to}
	for _, e := range entries {
		if e.Event == journal.Started && of(e.Target) && e.Wall.After(from) && e.Wall.Before(to) {
			starts = append(starts, e.Wall)
		}
	}
	slices.SortFunc(starts, time.Time.Compare)
	longest := time.Duration(0)
	for i := 1; i < len(starts); i++ {
		longest = max(longest, starts[i].Sub(starts[i-1]))
	}
	return longest.Seconds() * 1000
}

// mostPresent returns the largest number of requests that one target held at
// once, running or queued, in an interval.
func mostPresent(entries []journal.Entry, from, to time.Time) int {
	present := make(map[string]int)
	most := 0
	for _, e := range entries {
		switch e.Event {
		case journal.Received:
			present[e.Target]++
		case journal.Ended:
			present[e.Target]--
		}
		if e.Wall.After(from) && e.Wall.Before(to) {
			most = max(most, present[e.Target])
		}
	}
	return most
}

// idle returns the slot seconds that idled while work waited. A killed target
// has no slots until it is back.
func (s *scene) idle(record measure.Record, start time.Time) float64 {
	slots := s.deployment.SlotsOf()
	everyone := func(string, string) bool { return true }
	if s.killed.IsZero() {
		return record.Idle(slots, everyone)
	}
	killed := map[string]int{s.target: slots[s.target]}
	delete(slots, s.target)
	total := record.Idle(slots, everyone)
	to := record.To
	record.To = s.killed.Sub(start)
	total += record.Idle(killed, everyone)
	record.From, record.To = s.restarted.Sub(start), to
	return total + record.Idle(killed, everyone)
}

// gapBound is the bound that package control states, with the longest run that
// the interval showed.
func (s *scene) gapBound(record measure.Record) float64 {
	longest := time.Duration(0)
	for _, run := range record.Runs {
		if run.End >= record.From && run.Start <= record.To {
			longest = max(longest, run.End-run.Start)
		}
	}
	slots := float64(s.deployment.Slots * s.deployment.Targets)
	exchange := exchangePeriod(len(s.fleet.Routers)).Seconds()
	return workload.IdealGap(s.deployment, s.shape, longest) + slots*(exchange+exchange/2+messageTime)
}

// exchangePeriod is the default of package control for a fleet.
func exchangePeriod(routers int) time.Duration {
	const each, least, most = 10 * time.Millisecond, 60 * time.Millisecond, time.Second
	return min(max(time.Duration(routers)*each, least), most)
}

// starved returns the longest time in seconds that a backlogged workspace held
// no slot.
func starved(record measure.Record, shares map[string]float64) float64 {
	longest := time.Duration(0)
	for name := range shares {
		longest = max(longest, record.LongestWithoutService(name))
	}
	return longest.Seconds()
}
