package router

import (
	"log/slog"
	"testing"
	"time"
)

// flood is the load of a small router that gets most of a workspace's callers: many times
// what its processor can serve, and each request passes the processor several times between
// waits for others. Figures are measured ones, of a stream of eight events.
type flood struct {
	perSecond int
	// cores is the router's part of a processor.
	cores float64
	// served and refused are the processor time of a request, and passes how often one that
	// is served waits for the processor until its answer has begun.
	served, refused time.Duration
	passes          int
	// inTime is how long the caller of a request that counts waits at this router.
	inTime time.Duration
}

// pass is one turn of a request at the processor.
type pass struct {
	came time.Duration
	left int
	cost time.Duration
}

// play runs the flood through the shedding of an overload on virtual time, and counts the
// requests whose answers began in time, and late.
func (f flood) play(o *overload, length time.Duration) (inTime, late int) {
	const step = time.Millisecond
	var queue []pass
	budget, due := time.Duration(0), 0.0
	start := time.Now()
	for now := time.Duration(0); now < length; now += step {
		for due += float64(f.perSecond) * step.Seconds(); due >= 1; due-- {
			if o.sheds(false) {
				queue = append(queue, pass{came: now, left: 0, cost: f.refused})
				continue
			}
			queue = append(queue, pass{came: now, left: f.passes, cost: f.served / time.Duration(f.passes)})
		}
		budget = min(budget+time.Duration(f.cores*float64(step)), step)
		for len(queue) > 0 && budget >= queue[0].cost {
			next := queue[0]
			queue = queue[1:]
			budget -= next.cost
			if next.left > 1 {
				next.left--
				queue = append(queue, next)
				continue
			}
			switch {
			case next.left == 0: // a refusal
			case now-next.came <= f.inTime:
				inTime++
			default:
				late++
			}
		}
		if now%lagEvery == 0 {
			o.measure(start.Add(now), f.wait(queue))
		}
	}
	return inTime, late
}

// wait is how long a turn at the processor is waited for.
func (f flood) wait(queue []pass) time.Duration {
	work := time.Duration(0)
	for _, p := range queue {
		work += p.cost
	}
	return time.Duration(float64(work) / f.cores)
}

// TestFloodIsServedInTime: of a flood at a small router, a good part of what its processor
// could serve is answered in time, and little of what it takes is late: a late answer cost
// the processor as much, and its caller could have been elsewhere.
func TestFloodIsServedInTime(t *testing.T) {
	const (
		length   = 6 * time.Second
		goodPart = 0.6
		latePart = 0.15
	)
	for _, perSecond := range []int{800, 1500, 2500} {
		f := flood{
			perSecond: perSecond, cores: 0.19,
			served: 300 * time.Microsecond, refused: 11 * time.Microsecond, passes: 10,
			inTime: 150 * time.Millisecond,
		}
		o := &overload{log: slog.New(slog.DiscardHandler), crowded: func() bool { return false }}
		inTime, late := f.play(o, length)
		refusals := f.refused.Seconds() * float64(perSecond)
		bound := (f.cores - refusals) / f.served.Seconds() * length.Seconds()
		t.Logf("%d a second: %d in time, %d late, the processor could serve %.0f", perSecond, inTime, late, bound)
		if float64(inTime) < goodPart*bound {
			t.Errorf("%d a second: %d in time of %.0f that the processor could serve", perSecond, inTime, bound)
		}
		if float64(late) > latePart*float64(inTime+late) {
			t.Errorf("%d a second: %d of %d are late", perSecond, late, inTime+late)
		}
	}
}
