package capacity

import (
	"slices"
	"time"

	"github.com/walnutcove/walnutcove/standin/journal"
)

// startTimes returns when runs started at the targets that include selects, in
// order.
func startTimes(entries []journal.Entry, include func(target string) bool) []time.Time {
	var starts []time.Time
	for _, e := range entries {
		if e.Event == journal.Started && include(e.Target) {
			starts = append(starts, e.Wall)
		}
	}
	slices.SortFunc(starts, time.Time.Compare)
	return starts
}

// longestPauseMillis returns the longest time between from and to without a start.
func longestPauseMillis(starts []time.Time, from, to time.Time) float64 {
	longest := time.Duration(0)
	last := from
	for _, at := range starts {
		if at.Before(from) || at.After(to) {
			continue
		}
		longest = max(longest, at.Sub(last))
		last = at
	}
	return millis(max(longest, to.Sub(last)))
}

func startsPerSecond(starts []time.Time, from, to time.Time) float64 {
	count := 0
	for _, at := range starts {
		if !at.Before(from) && at.Before(to) {
			count++
		}
	}
	return float64(count) / to.Sub(from).Seconds()
}

// millisUntilRate returns the time between from and the beginning of the first second
// in which runs start at the given rate, or -1 if there is no such second.
func millisUntilRate(starts []time.Time, from time.Time, rate float64) float64 {
	for _, at := range starts {
		if startsPerSecond(starts, at, at.Add(time.Second)) >= rate {
			return millis(at.Sub(from))
		}
	}
	return -1
}
