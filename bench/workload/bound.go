package workload

import (
	"math"
	"time"
)

// IdealGap returns the fairness gap that even a single queue for all slots,
// without any delay, may reach, in slot seconds per unit of share. It has a
// term for each workspace, and is the sum of the two largest terms. The term is the
// number of the workspace's runs in progress times the length of the longest run,
// divided by the share. Each run counts at that length because the cost of a run is
// known only when it ends. The number of runs is the fair part of the slots, rounded
// up, plus one, and at most the number of the workspace's callers.
func IdealGap(d Deployment, s Shape, longest time.Duration) float64 {
	slots := float64(d.Targets * d.Slots)
	shares := 0.0
	for n := range WorkspaceCount {
		shares += s.Share(n)
	}
	var largest, secondLargest float64
	for n := range WorkspaceCount {
		runs := min(math.Ceil(slots*s.Share(n)/shares)+1, float64(s.Callers(n)))
		gapTerm := runs * longest.Seconds() / s.Share(n)
		largest, secondLargest = max(largest, gapTerm), max(secondLargest, min(largest, gapTerm))
	}
	return largest + secondLargest
}
