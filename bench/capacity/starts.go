package capacity

import (
	"slices"
	"time"

	"github.com/walnutcove/walnutcove/standin/journal"
)

// startsOf returns when runs started at some targets, in order.
func startsOf(entries []journal.Entry, of func(target string) bool) []time.Time {
	var starts []time.Time
	for _, e := range entries {
		if e.Event == journal.Started && of(e.Target) {
			starts = append(starts, e.Wall)
		}
	}
	slices.SortFunc(starts, time.Time.Compare)
	return starts
}

// longestPause is the longest time without a start, in milliseconds.
func longestPause(starts []time.Time, from, to time.Time) float64 {
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

// untilRate is when a second begins in which runs start at a rate, in
// milliseconds; -1 if none does.
func untilRate(starts []time.Time, from time.Time, rate float64) float64 {
	for _, at := range starts {
		if startsPerSecond(starts, at, at.Add(time.Second)) >= rate {
			return millis(at.Sub(from))
		}
	}
	return -1
}
