package faults

import (
	"slices"
	"time"

	"github.com/walnutcove/walnutcove/bench/measure"
	"github.com/walnutcove/walnutcove/bench/workload"
	"github.com/walnutcove/walnutcove/settings"
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

// gapBound is the bound that package control states, with what the interval
// showed of the longest run and of the runs beyond the fair number.
func (s *scene) gapBound(record measure.Record) float64 {
	slots := float64(s.deployment.Slots * s.deployment.Targets)
	fair := slots / workload.Workspaces
	longest, beyond := 0.0, 0.0
	for n := range workload.Workspaces {
		length, together := runsOf(record, workload.WorkspaceName(n))
		longest = max(longest, length)
		beyond = max(beyond, float64(together)-fair)
	}
	exchange := time.Duration(settings.Defaults().Scheduling.ExchangeEvery).Seconds()
	return 2*beyond*longest + slots*(exchange+exchange/5+messageTime)
}

// runsOf returns the longest run of a workspace in seconds, and how many it
// had in progress at once, within the record's bounds.
func runsOf(record measure.Record, workspace string) (longest float64, together int) {
	type edge struct {
		at    time.Duration
		delta int
	}
	var edges []edge
	for _, run := range record.Runs {
		if run.Workspace != workspace || run.End < record.From || run.Start > record.To {
			continue
		}
		longest = max(longest, (run.End - run.Start).Seconds())
		edges = append(edges, edge{run.Start, 1}, edge{run.End, -1})
	}
	slices.SortFunc(edges, func(a, b edge) int {
		if a.at != b.at {
			return int(a.at - b.at)
		}
		return a.delta - b.delta
	})
	now := 0
	for _, e := range edges {
		now += e.delta
		together = max(together, now)
	}
	return longest, together
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
