package router

import (
	"log/slog"
	"testing"
	"time"
)

// floodLoad simulates a small router that gets most of a workspace's callers: many times the load
// that its processor can serve. Each request uses the processor several times and waits for other
// requests in between. The figures were measured with a stream of eight events.
type floodLoad struct {
	perSecond int
	// cores is the router's share of a processor core.
	cores float64
	// servedCPUTime and refusedCPUTime are the processor time of a served and of a refused request,
	// and turns is how often a served request waits for the processor until its answer has begun.
	servedCPUTime, refusedCPUTime time.Duration
	turns                         int
	// maxWait is how long a caller may wait at this router for its request to count as in time.
	maxWait time.Duration
}

// cpuTurn is one turn of a request on the processor.
type cpuTurn struct {
	arrivedAt time.Duration
	turnsLeft int
	cost      time.Duration
}

// simulate runs the load through the shedding of an overload in virtual time, and counts the
// requests whose answers began in time and late.
func (f floodLoad) simulate(o *overload, duration time.Duration) (inTime, late int) {
	const step = time.Millisecond
	var queue []cpuTurn
	cpuBudget, dueArrivals := time.Duration(0), 0.0
	start := time.Now()
	for now := time.Duration(0); now < duration; now += step {
		for dueArrivals += float64(f.perSecond) * step.Seconds(); dueArrivals >= 1; dueArrivals-- {
			if o.shouldShed(false) {
				queue = append(queue, cpuTurn{arrivedAt: now, turnsLeft: 0, cost: f.refusedCPUTime})
				continue
			}
			queue = append(queue, cpuTurn{arrivedAt: now, turnsLeft: f.turns, cost: f.servedCPUTime / time.Duration(f.turns)})
		}
		cpuBudget = min(cpuBudget+time.Duration(f.cores*float64(step)), step)
		for len(queue) > 0 && cpuBudget >= queue[0].cost {
			next := queue[0]
			queue = queue[1:]
			cpuBudget -= next.cost
			if next.turnsLeft > 1 {
				next.turnsLeft--
				queue = append(queue, next)
				continue
			}
			switch {
			case next.turnsLeft == 0: // a refusal
			case now-next.arrivedAt <= f.maxWait:
				inTime++
			default:
				late++
			}
		}
		if now%lagInterval == 0 {
			o.measure(start.Add(now), f.queueDelay(queue))
		}
	}
	return inTime, late
}

// queueDelay returns how long a new turn waits for the processor.
func (f floodLoad) queueDelay(queue []cpuTurn) time.Duration {
	work := time.Duration(0)
	for _, p := range queue {
		work += p.cost
	}
	return time.Duration(float64(work) / f.cores)
}

// TestFloodIsServedInTime checks that an overloaded small router answers in time a large part of
// the requests that its processor could serve, and that few of the requests that it accepts are
// late: a late answer costs as much processor time, and its caller could have used another router.
func TestFloodIsServedInTime(t *testing.T) {
	const (
		duration       = 6 * time.Second
		minInTimeShare = 0.6
		maxLateShare   = 0.15
	)
	for _, perSecond := range []int{800, 1500, 2500} {
		f := floodLoad{
			perSecond: perSecond, cores: 0.19,
			servedCPUTime: 300 * time.Microsecond, refusedCPUTime: 11 * time.Microsecond, turns: 10,
			maxWait: 150 * time.Millisecond,
		}
		o := &overload{log: slog.New(slog.DiscardHandler), hasTooManyConns: func() bool { return false }}
		inTime, late := f.simulate(o, duration)
		refusalLoad := f.refusedCPUTime.Seconds() * float64(perSecond)
		capacity := (f.cores - refusalLoad) / f.servedCPUTime.Seconds() * duration.Seconds()
		t.Logf("%d per second: %d in time, %d late, the processor could serve %.0f", perSecond, inTime, late, capacity)
		if float64(inTime) < minInTimeShare*capacity {
			t.Errorf("%d per second: %d in time of %.0f that the processor could serve", perSecond, inTime, capacity)
		}
		if float64(late) > maxLateShare*float64(inTime+late) {
			t.Errorf("%d per second: %d of %d are late", perSecond, late, inTime+late)
		}
	}
}
