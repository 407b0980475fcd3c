package workload

import (
	"math"
	"time"
)

// IdealGap is the gap that one queue for all slots, without any lag, may
// reach: the runs in progress of the two workspaces, each taken at the longest
// run, since a cost is known only at the end. A workspace is taken to have its
// fair number of runs in progress, rounded up, and one more. In slot seconds
// per unit of share.
func IdealGap(d Deployment, s Shape, longest time.Duration) float64 {
	slots := float64(d.Targets * d.Slots)
	shares := 0.0
	for n := range Workspaces {
		shares += s.Share(n)
	}
	var first, second float64
	for n := range Workspaces {
		runs := min(math.Ceil(slots*s.Share(n)/shares)+1, float64(s.Callers(n)))
		term := runs * longest.Seconds() / s.Share(n)
		first, second = max(first, term), max(second, min(first, term))
	}
	return first + second
}
