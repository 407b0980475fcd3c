package router

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"
)

// floodLoad simulates a small router that gets most of a workspace's callers: many times the load
// that its processor can serve. Each request uses the processor several times and waits for other
// requests in between. The figures were measured with a stream of eight events.
type floodLoad struct {
	perSecond int
	// besidePerSecond is the load of each of the besideCount other workspaces (one if zero)
	// whose callers use the same router.
	besidePerSecond, besideCount int
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
	beside    bool
	arrivedAt time.Duration
	turnsLeft int
	cost      time.Duration
}

// floodResult counts the requests whose answers began in time and late, and those in time of the
// workspace beside the flood.
type floodResult struct{ inTime, late, besideInTime int }

// simulate runs the load through the shedding of an overload in virtual time.
func (f floodLoad) simulate(o *overload, duration time.Duration) floodResult {
	const step = time.Millisecond
	var queue []cpuTurn
	var fair fairShed
	var result floodResult
	cpuBudget, dueArrivals, dueBeside := time.Duration(0), 0.0, 0.0
	nextMeasurement := time.Duration(0)
	start := time.Now()
	arrive := func(now time.Duration, workspace string) {
		next := cpuTurn{beside: workspace != "flood", arrivedAt: now}
		if f.sheds(o, &fair, start.Add(now), workspace) {
			next.cost = f.refusedCPUTime
		} else {
			next.turnsLeft, next.cost = f.turns, f.servedCPUTime/time.Duration(f.turns)
		}
		queue = append(queue, next)
	}
	for now := time.Duration(0); now < duration; now += step {
		for dueArrivals += float64(f.perSecond) * step.Seconds(); dueArrivals >= 1; dueArrivals-- {
			arrive(now, "flood")
		}
		others := max(1, f.besideCount)
		for dueBeside += float64(others*f.besidePerSecond) * step.Seconds(); dueBeside >= 1; dueBeside-- {
			arrive(now, fmt.Sprint("beside ", rand.IntN(others)))
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
			case now-next.arrivedAt > f.maxWait:
				result.late++
			default:
				result.inTime++
				if next.beside {
					result.besideInTime++
				}
			}
		}
		if now >= nextMeasurement {
			o.measure(start.Add(now), f.queueDelay(queue))
			nextMeasurement = now + o.nextInterval()
		}
	}
	return result
}

// overload returns the overload of a router of this size.
func (f floodLoad) overload() *overload {
	return &overload{
		log:             slog.New(slog.DiscardHandler),
		admissions:      newAdmissionBound(f.cores),
		hasTooManyConns: func() bool { return false },
	}
}

// sheds decides on a request as Router.confirmShed does.
func (f floodLoad) sheds(o *overload, fair *fairShed, now time.Time, workspace string) bool {
	if !o.shouldShed(false) {
		return false
	}
	if fair.exempts(now, workspace, 1, o.shedProbability(false), o.meanShedProbability(false)) {
		o.admissions.note()
		return false
	}
	return true
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
		o := f.overload()
		got := f.simulate(o, duration)
		inTime, late := got.inTime, got.late
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

// TestFloodLeavesOthersTheirShare guards against a busy router that refuses the same fraction of
// each workspace's requests: one that sends little beside a flood must get at least half of what
// it asks for.
func TestFloodLeavesOthersTheirShare(t *testing.T) {
	const (
		duration = 6 * time.Second
		promised = 0.5
	)
	for _, perSecond := range []int{800, 1500, 2500, 5000} {
		t.Run(fmt.Sprintf("%d per second", perSecond), func(t *testing.T) {
			f := floodLoad{
				perSecond: perSecond, besidePerSecond: 50, cores: 0.19,
				servedCPUTime: 300 * time.Microsecond, refusedCPUTime: 30 * time.Microsecond, turns: 10,
				maxWait: 150 * time.Millisecond,
			}
			o := f.overload()
			got := f.simulate(o, duration)
			asked := float64(f.besidePerSecond) * duration.Seconds()
			t.Logf("%d per second: %d in time and %d late, %d in time of %.0f of the other workspace", perSecond, got.inTime, got.late, got.besideInTime, asked)
			if float64(got.besideInTime) < promised*asked {
				t.Errorf("%d per second: %d in time of %.0f that the other workspace asked for", perSecond, got.besideInTime, asked)
			}
		})
	}
}

// TestFloodOfRefusalsLeavesRoom guards against a router that accepts more in the first moments of
// a flood than it can serve within seconds, as refusals take most of its processor time: of what
// the refusals leave, at least half must be served in time.
func TestFloodOfRefusalsLeavesRoom(t *testing.T) {
	const (
		duration = 6 * time.Second
		minShare = 0.5
	)
	for _, perSecond := range []int{3500, 4500, 5000} {
		t.Run(fmt.Sprintf("%d per second", perSecond), func(t *testing.T) {
			f := floodLoad{
				perSecond: perSecond, cores: 0.19,
				servedCPUTime: 300 * time.Microsecond, refusedCPUTime: 30 * time.Microsecond, turns: 10,
				maxWait: 150 * time.Millisecond,
			}
			o := f.overload()
			got := f.simulate(o, duration)
			left := (f.cores - f.refusedCPUTime.Seconds()*float64(perSecond)) / f.servedCPUTime.Seconds() * duration.Seconds()
			t.Logf("%d per second: %d in time, %d late of %.0f that the processor could serve", perSecond, got.inTime, got.late, left)
			if float64(got.inTime) < minShare*left {
				t.Errorf("%d per second: %d in time of %.0f that the processor could serve", perSecond, got.inTime, left)
			}
		})
	}
}

// TestManySmallWorkspacesAreShed guards against a router that cannot shed because each of its
// many workspaces sends little: most of what it accepts must still be in time.
func TestManySmallWorkspacesAreShed(t *testing.T) {
	const (
		duration     = 6 * time.Second
		minShare     = 0.5
		maxLateShare = 0.25
	)
	f := floodLoad{
		perSecond: 100, besidePerSecond: 5, besideCount: 400, cores: 0.19,
		servedCPUTime: 300 * time.Microsecond, refusedCPUTime: 30 * time.Microsecond, turns: 10,
		maxWait: 150 * time.Millisecond,
	}
	o := f.overload()
	got := f.simulate(o, duration)
	arrivals := float64(f.perSecond + f.besideCount*f.besidePerSecond)
	left := (f.cores - f.refusedCPUTime.Seconds()*arrivals) / f.servedCPUTime.Seconds() * duration.Seconds()
	t.Logf("%d in time, %d late of %.0f that the processor could serve", got.inTime, got.late, left)
	if float64(got.inTime) < minShare*left || float64(got.late) > maxLateShare*float64(got.inTime+got.late) {
		t.Errorf("%d in time, %d late of %.0f that the processor could serve", got.inTime, got.late, left)
	}
}
