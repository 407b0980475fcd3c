package faults

import (
	"slices"
	"time"

	"github.com/walnutcove/walnutcove/bench/measure"
	"github.com/walnutcove/walnutcove/bench/workload"
	"github.com/walnutcove/walnutcove/standin/journal"
)

// messageSeconds is the maximum message delay, R in the bound on the fairness gap in
// package control. It is generous for loopback.
const messageSeconds = 0.01

// longestPauseMillis returns the longest time between from and to without a start
// at the targets that include selects.
func longestPauseMillis(entries []journal.Entry, from, to time.Time, include func(target string) bool) float64 {
	starts := []time.Time{from, to}
	for _, e := range entries {
		if e.Event == journal.Started && include(e.Target) && e.Wall.After(from) && e.Wall.Before(to) {
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

// maxPresent returns the largest number of requests that any one target held at
// once, running or queued, between from and to.
func maxPresent(entries []journal.Entry, from, to time.Time) int {
	present := make(map[string]int)
	maxCount := 0
	for _, e := range entries {
		switch e.Event {
		case journal.Received:
			present[e.Target]++
		case journal.Ended:
			present[e.Target]--
		}
		if e.Wall.After(from) && e.Wall.Before(to) {
			maxCount = max(maxCount, present[e.Target])
		}
	}
	return maxCount
}

// idleSlotSeconds returns the slot seconds that idled while requests waited. A
// killed target counts as having no slots until it is restarted.
func (t *trial) idleSlotSeconds(record measure.Record, start time.Time) float64 {
	slots := t.deployment.SlotsByTarget()
	anyTarget := func(string, string) bool { return true }
	if t.killedAt.IsZero() {
		return record.IdleSlotSeconds(slots, anyTarget)
	}
	killedTarget := map[string]int{t.target: slots[t.target]}
	delete(slots, t.target)
	total := record.IdleSlotSeconds(slots, anyTarget)
	to := record.To
	record.To = t.killedAt.Sub(start)
	total += record.IdleSlotSeconds(killedTarget, anyTarget)
	record.From, record.To = t.restartedAt.Sub(start), to
	return total + record.IdleSlotSeconds(killedTarget, anyTarget)
}

// gapBound returns the bound on the fairness gap that package control states, for
// shares of 1 and the longest run that overlaps the record's interval.
func (t *trial) gapBound(record measure.Record) float64 {
	longest := time.Duration(0)
	for _, run := range record.Runs {
		if run.End >= record.From && run.Start <= record.To {
			longest = max(longest, run.End-run.Start)
		}
	}
	slots := float64(t.deployment.Slots * t.deployment.Targets)
	exchange := exchangePeriod(len(t.fleet.Routers)).Seconds()
	return workload.IdealGap(t.deployment, t.shape, longest) + slots*(exchange+exchange/2+messageSeconds)
}

// exchangePeriod returns the default exchange period of package control for a
// fleet of this many routers.
func exchangePeriod(routers int) time.Duration {
	const perRouter, minPeriod, maxPeriod = 10 * time.Millisecond, 60 * time.Millisecond, time.Second
	return min(max(time.Duration(routers)*perRouter, minPeriod), maxPeriod)
}

// longestStarvationSeconds returns the longest time for which a backlogged
// workspace held no slot.
func longestStarvationSeconds(record measure.Record, shares map[string]float64) float64 {
	longest := time.Duration(0)
	for name := range shares {
		longest = max(longest, record.LongestWithoutService(name))
	}
	return longest.Seconds()
}
