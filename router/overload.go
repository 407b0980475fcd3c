package router

import (
	"context"
	"log/slog"
	"math"
	"math/bits"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// lagEvery is the period of measuring how late this process runs.
	lagEvery = 50 * time.Millisecond
	// lagWeight is the weight of a new measure in the average: about half a second
	// of lateness counts.
	lagWeight = 0.2
	// lagTooMuch is the average lateness at which the router asks for no new
	// connections: requests wait for the processor then, several times each.
	lagTooMuch = 25 * time.Millisecond
	// shedTarget is the lateness at which the part of requests on new connections that is
	// refused unread stays as it is. A request waits for the processor about ten times,
	// each time for about as long as the lateness.
	shedTarget = 5 * time.Millisecond
	// shedGain is how much that part changes with each measure, for each shedTarget that
	// the lateness is off, and mostShedGain the most: all are taken again half a second
	// after a flood has ended.
	shedGain     = 0.1
	mostShedGain = 0.3
	// shedKeptFrom is the average lateness from which requests on connections that had an
	// answer here are refused unread, and shedKeptSpan how much more it takes until all are.
	// Refusing one of these costs several times as much as refusing one on a new connection,
	// so it starts at a higher lateness.
	shedKeptFrom = 15 * time.Millisecond
	shedKeptSpan = 30 * time.Millisecond
	// historyLen is how many measures tell whether lateness lasts, and lastingLate how many of
	// them must be late: a process that was stopped, or had no processor for a moment, is not
	// crowded by its requests.
	historyLen  = 10
	lastingLate = 7
	// repeatedLate is how many must be for requests on new connections to be refused.
	repeatedLate = 2
	// caughtUpAfter is after how many measures in time the lateness is over, whatever its mean.
	caughtUpAfter = 2
	// fewCallers is how many open connections are too few to make a router late: the smallest
	// VM, a fifth of a core, serves that many requests at once within shedKeptFrom.
	fewCallers = 8
	// lagRecovered is the average at which it takes them again.
	lagRecovered = 5 * time.Millisecond
	// minPause is the shortest time without new connections. The balancer looks
	// once a second and turns away at the second miss.
	minPause = 2500 * time.Millisecond
	// maxPause is the longest such time while the router runs in time. It doubles each
	// time that the router is overloaded within pauseKept of its return: the balancer brings
	// the same callers back each time, which a larger router may bear.
	maxPause  = 20 * time.Second
	pauseKept = 10 * time.Second
	// releaseFrom is the average lateness from which connections are closed with their
	// answers, and releaseSpan how much more it takes until all are. Callers then
	// connect to other routers without having been refused.
	releaseFrom = 15 * time.Millisecond
	releaseSpan = 50 * time.Millisecond
	// turnedAwayAfter is how long new connections may still arrive after this router has
	// asked for none. Until then, the lateness may be due to them, so no kept connection is
	// closed.
	turnedAwayAfter = 4 * time.Second
)

var (
	lagSeconds = metrics.GetOrCreateHistogram(`walnut_router_lag_seconds`)
	overloads  = metrics.GetOrCreateCounter(`walnut_router_overloads_total`)
)

// overload tells when this router is too busy for new connections: the balancer
// spreads callers by their addresses, so that one router may get many times what
// another does.
type overload struct {
	log *slog.Logger
	// crowded says that most descriptors for callers are in use.
	crowded func() bool
	// callers counts the open connections of callers; nil: there are many.
	callers func() int
	on      atomic.Bool
	// average is the lag as others may read it, in nanoseconds.
	average atomic.Int64
	lag     time.Duration
	// shedPart is the part of requests on new connections that is refused unread, as the
	// bits of a float.
	shedPart atomic.Uint64
	// since is when it last began or ended, and pause how long it lasts at least.
	since time.Time
	pause time.Duration
	// turnedAway is set once the balancer brings no new connections.
	turnedAway atomic.Bool
	// overTarget and overKept tell which of the last measures were over shedTarget and over
	// shedKeptFrom.
	overTarget, overKept history
	// takesKept is set while lateness does not last, or is over: nothing is refused unread on
	// connections that are kept.
	takesKept atomic.Bool
	// shed is the present period in which requests are refused unread.
	shed shedPeriod
}

// shedPeriod is a period in which some requests are refused unread, for the log.
type shedPeriod struct {
	on    bool
	since time.Time
	// measures counts the measures of the period over shedTarget, and worst is the largest.
	measures int
	worst    time.Duration
}

// late is how late this process runs in the mean.
func (o *overload) late() time.Duration { return time.Duration(o.average.Load()) }

// sheds says whether the next request is refused unread, on a connection that had an answer
// here or on a new one. What is taken is then served while its caller waits. Nothing is refused
// while there are few callers: the processor is then taken by others, and refusals free none.
func (o *overload) sheds(kept bool) bool {
	if o.hasFewCallers() {
		return false
	}
	if !kept {
		return rand.Float64() < math.Float64frombits(o.shedPart.Load())
	}
	over := o.late() - shedKeptFrom
	return over > 0 && !o.takesKept.Load() && rand.N(shedKeptSpan) < over
}

func (o *overload) hasFewCallers() bool { return o.callers != nil && o.callers() <= fewCallers }

// releases says whether the connection of the next answer is closed with it: the more, the
// later this process runs, once new connections lead to others.
func (o *overload) releases() bool {
	over := o.late() - releaseFrom
	return over > 0 && o.turnedAway.Load() && rand.N(releaseSpan) < over
}

// run measures until ctx ends.
func (o *overload) run(ctx context.Context) {
	probe := startLagProbe(o.log)
	defer probe.close()
	ticker := time.NewTicker(lagEvery)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		o.measure(now, max(0, now.Sub(last)-lagEvery, probe.late()))
		last = now
	}
}

// measure takes in how late a tick was.
func (o *overload) measure(now time.Time, late time.Duration) {
	lagSeconds.Update(late.Seconds())
	o.lag += time.Duration(lagWeight * float64(late-o.lag))
	o.average.Store(int64(o.lag))
	o.overTarget.add(late > shedTarget)
	o.overKept.add(late > shedKeptFrom)
	o.adapt(late)
	lasts := o.overKept.count() >= lastingLate && !o.overKept.isOver()
	o.takesKept.Store(!lasts)
	o.noteShedding(now, late)
	crowded := o.crowded()
	lasted := now.Sub(o.since)
	switch {
	case !o.on.Load() && (o.lag > lagTooMuch && lasts || crowded):
		o.begin(now)
		o.log.Warn("router: Too busy for new connections.", "lag", o.lag, "crowded", crowded, "for_at_least", o.pause)
	case o.on.Load() && o.lag < lagRecovered && !crowded && lasted >= o.pause:
		o.on.Store(false)
		o.turnedAway.Store(false)
		o.since = now
		o.log.Info("router: Takes new connections again.", "lag", o.lag, "after", lasted)
	case o.on.Load() && lasted >= turnedAwayAfter:
		o.turnedAway.Store(true)
	}
}

// history holds which of the last measures were late, a bit each, the latest lowest.
type history uint32

func (h *history) add(late bool) {
	*h = *h << 1 & (1<<historyLen - 1)
	if late {
		*h |= 1
	}
}

// count says how many measures were late.
func (h history) count() int { return bits.OnesCount32(uint32(h)) }

// isOver says whether the latest measures were all in time.
func (h history) isOver() bool { return h&(1<<caughtUpAfter-1) == 0 }

// adapt changes the part that is shed by how late the last measure was: by as much as keeps
// the lateness at its target, whatever the flood. A single late measure is none.
func (o *overload) adapt(late time.Duration) {
	if late > shedTarget && o.overTarget.count() < repeatedLate {
		return
	}
	off := float64(late-shedTarget) / float64(shedTarget)
	part := math.Float64frombits(o.shedPart.Load()) + min(shedGain*off, mostShedGain)
	o.shedPart.Store(math.Float64bits(min(max(part, 0), 1)))
}

// noteShedding logs when requests begin to be refused unread, and when all are taken again.
func (o *overload) noteShedding(now time.Time, late time.Duration) {
	shed := &o.shed
	part := math.Float64frombits(o.shedPart.Load())
	sheds := (o.lag > shedKeptFrom && !o.takesKept.Load() || part > 0) && !o.hasFewCallers()
	if sheds && !shed.on {
		*shed = shedPeriod{on: true, since: now}
		o.log.Warn("router: Refuses requests unread.", "lag", o.lag, "late", late, "part_of_new", part)
	}
	if shed.on && late > shedTarget {
		shed.measures++
		shed.worst = max(shed.worst, late)
	}
	if !sheds && shed.on {
		shed.on = false
		o.log.Info("router: Refuses no request unread any more.", "after", now.Sub(shed.since), "late_measures", shed.measures, "worst", shed.worst)
	}
}

// begin asks for no new connections from now on.
func (o *overload) begin(now time.Time) {
	if o.pause == 0 || now.Sub(o.since) > pauseKept {
		o.pause = minPause
	} else {
		o.pause = min(2*o.pause, maxPause)
	}
	o.since = now
	o.on.Store(true)
	overloads.Inc()
}
