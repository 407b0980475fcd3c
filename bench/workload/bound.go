package workload

import (
	"math"
	"time"
)

// IdealGap returns the fairness gap that even a single queue for all slots,
// without any delay, may reach, in slot seconds per unit of share. It is the sum,
// over the two workspaces for which it is largest, of their runs in progress, each
// counted at the length of the longest run because the cost of a run is known only
// when it ends. A workspace counts with its fair number of runs in progress, rounded
// up, plus one.
func IdealGap(d Deployment, s Shape, longest time.Duration) float64 {
	slots := float64(d.Targets * d.Slots)
	shares := 0.0
	for n := range Workspaces {
		shares += s.Share(n)
	}
	var largest, secondLargest float64
	for n := range Workspaces {
		runs := min(math.Ceil(slots*s.Share(n)/shares)+1, float64(s.Callers(n)))
		gapTerm := runs * longest.Seconds() / s.Share(n)
		largest, secondLargest = max(largest, gapTerm), max(secondLargest, min(largest, gapTerm))
	}
	return largest + secondLargest
}
