package front

import (
	"testing"
	"time"
)

// TestRefusalsKeepUpBesideOtherGoroutines guards against connections that wait ever longer to be refused because
// many goroutines are ready to run: refusals must keep up with the arrivals as long as they need no more
// than their largest part of the processor, and leave the rest to the others.
func TestRefusalsKeepUpBesideOtherGoroutines(t *testing.T) {
	const (
		// refusalTime and goroutineTime are processor time, at a router of 0.2 cores.
		refusalTime   = 250 * time.Microsecond
		goroutineTime = 250 * time.Microsecond
		duration      = 5 * time.Second
		maxWait       = 50 * time.Millisecond
	)
	for _, ready := range []int{5, 20, 40} {
		for _, needed := range []float64{0.3, 0.6, 0.95} {
			interval := time.Duration(float64(refusalTime) / needed)
			var turn acceptTurn
			now := time.Unix(0, 0)
			start, refused, others, longest := now, 0, time.Duration(0), 0
			arrived := func() int { return int(now.Sub(start) / interval) }
			turn.begin(now)
			for now.Sub(start) < duration {
				for arrived() > refused && !turn.isOver(now) {
					for range min(arrived()-refused, refusalsPerCheck) {
						now = now.Add(refusalTime)
						refused++
					}
				}
				since := now
				now = now.Add(time.Duration(ready) * goroutineTime)
				others += now.Sub(since)
				longest = max(longest, arrived()-refused)
				turn.resume(now, since)
			}
			waiting := time.Duration(longest) * refusalTime
			t.Logf("%d ready, %.2f needed: at most %d wait, %.2f left to the others", ready, needed, longest, others.Seconds()/duration.Seconds())
			if needed < maxAcceptShare && waiting > maxWait {
				t.Errorf("%d ready, %.2f needed: %s until all are refused", ready, needed, waiting)
			}
			if left := others.Seconds() / duration.Seconds(); left < 1-maxAcceptShare-0.02 {
				t.Errorf("%d ready, %.2f needed: %.2f left to the others", ready, needed, left)
			}
		}
	}
}
