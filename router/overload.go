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
	// lagInterval is the interval at which the lag of this process is measured.
	lagInterval = 50 * time.Millisecond
	// shedInterval is the interval at which the lag is measured while requests are shed or the
	// last measurement was late. What a router accepts within one lagInterval of a flood, whose
	// refusals take most of its processor time, can take it seconds to serve.
	shedInterval = 10 * time.Millisecond
	// meanShedTimeConstant is the time constant of the mean fraction that is shed.
	meanShedTimeConstant = 500 * time.Millisecond
	// shedsAllMean is the mean fraction from which on everything counts as shed.
	shedsAllMean = 0.75
	// lagWeight is the weight of a new measurement in the moving average, which thus
	// covers about the last half second.
	lagWeight = 0.2
	// overloadLag is the average lag at which the router asks for no new connections:
	// requests then wait for the processor, several times each.
	overloadLag = 25 * time.Millisecond
	// shedTargetLag is the lag that shedding aims at: there the fraction of requests on new
	// connections that is refused unread does not change. A request waits for the processor
	// about ten times, each time for about as long as the lag.
	shedTargetLag = 5 * time.Millisecond
	// shedGain is how much that fraction changes with each measurement, per shedTargetLag of
	// deviation, and maxShedStep the maximum change: all requests are accepted again half a
	// second after a burst has ended.
	shedGain    = 0.1
	maxShedStep = 0.3
	// shedKeptMinLag is the average lag above which requests on kept connections, which have
	// had an answer here, are refused unread; shedKeptLagRange above it, all of them are.
	// Refusing one of these costs several times as much as refusing one on a new connection,
	// so it starts at a higher lag.
	shedKeptMinLag   = 15 * time.Millisecond
	shedKeptLagRange = 30 * time.Millisecond
	// historyLength is how many measurements decide whether lag is lasting, and lastingLateCount
	// how many of them must be late: a process that was stopped, or had no processor for a
	// moment, is not overloaded by its requests.
	historyLength    = 10
	lastingLateCount = 7
	// repeatedLateCount is how many of them must be late before the fraction of requests that is
	// refused on new connections grows.
	repeatedLateCount = 2
	// caughtUpCount is the number of successive measurements in time after which the lag counts
	// as over, whatever its average.
	caughtUpCount = 2
	// maxUnshedCallers is the number of open connections up to which nothing is shed, as so few
	// cannot make a router late: the smallest VM, a fifth of a core, serves that many requests
	// at the same time within shedKeptMinLag.
	maxUnshedCallers = 8
	// recoveredLag is the average lag below which the router accepts new connections again.
	recoveredLag = 5 * time.Millisecond
	// minPause is the minimum time without new connections. The balancer checks once a
	// second and stops sending connections after the second failed check.
	minPause = 2500 * time.Millisecond
	// maxPause limits overload.pause, which doubles each time the router is overloaded within
	// pauseMemory of the end of the last pause: the balancer sends the same callers back each
	// time, and a larger router may be able to serve them. A pause lasts longer only while the
	// router is still overloaded.
	maxPause    = 20 * time.Second
	pauseMemory = 10 * time.Second
	// closeMinLag is the average lag above which connections are closed after their
	// answers; closeLagRange above it, all of them are. Callers then connect to other
	// routers without having been refused.
	closeMinLag   = 15 * time.Millisecond
	closeLagRange = 50 * time.Millisecond
	// balancerDelay is how long new connections may still arrive after this router has
	// asked for none. Until then they may be the cause of the lag, so no kept connection is
	// closed.
	balancerDelay = 4 * time.Second
)

var (
	lagSeconds = metrics.GetOrCreateHistogram(`walnut_router_lag_seconds`)
	overloads  = metrics.GetOrCreateCounter(`walnut_router_overloads_total`)
	// admissionsExhausted counts the measurements at which the admission bound was used up.
	admissionsExhausted = metrics.GetOrCreateCounter(`walnut_router_admissions_exhausted_total`)
)

// overload detects when this router is too busy for new connections and decides which
// requests to shed. The balancer assigns callers by their addresses, so that one router
// may get many times the load of another.
type overload struct {
	log *slog.Logger
	// hasTooManyConns reports whether most descriptors for callers are in use.
	hasTooManyConns func() bool
	// callerCount returns the number of open caller connections; nil means many.
	callerCount func() int
	// onMeasured, if set, is called once per lagInterval with the average lag, and with whether
	// requests on new connections have all been refused unread for some time.
	onMeasured func(lag time.Duration, shedsAll bool)
	// acceptDelay, if set, returns how long requests may have waited to be accepted at the given
	// time. It counts as lateness: the router may run in time only because it refuses others.
	acceptDelay func(now time.Time) time.Duration
	// paused is true while the router asks for no new connections.
	paused atomic.Bool
	// publishedLag is a copy of lag for other goroutines, in nanoseconds.
	publishedLag atomic.Int64
	// lag is the moving average of the measured lateness, and averagedAt when it was last
	// updated.
	lag        time.Duration
	averagedAt time.Time
	// lastLateness is the last measurement, and measuredAt when it was made.
	lastLateness time.Duration
	measuredAt   time.Time
	// meanShedFraction is the mean of shedFraction over meanShedTimeConstant, as the bits of a
	// float64.
	meanShedFraction atomic.Uint64
	// shedFraction is the fraction of requests on new connections that is refused unread, as
	// the bits of a float64.
	shedFraction atomic.Uint64
	// changedAt is when paused last changed, and pause the minimum length of the current or
	// last pause.
	changedAt time.Time
	pause     time.Duration
	// newConnsStopped is set once the balancer can be assumed to send no new connections; see
	// balancerDelay.
	newConnsStopped atomic.Bool
	// aboveTargetLag and aboveKeptLag hold which of the last measurements were above
	// shedTargetLag and shedKeptMinLag.
	aboveTargetLag, aboveKeptLag lateHistory
	// acceptsKept is set while no lasting lag is measured; while it is set, no request on a
	// kept connection is refused unread.
	acceptsKept atomic.Bool
	// admissions bounds what is accepted before the lag shows, and wasExhausted tells whether it was used up
	// at the last measurement.
	admissions   *admissionBound
	wasExhausted bool
	// shed is the current period in which requests are refused unread.
	shed shedPeriod
}

// shedPeriod is a period in which some requests are refused unread, for the log.
type shedPeriod struct {
	active    bool
	startedAt time.Time
	// lateMeasurements counts the measurements of the period above shedTargetLag, and
	// maxLateness is the largest.
	lateMeasurements int
	maxLateness      time.Duration
}

// currentLag returns the average lag of this process.
func (o *overload) currentLag() time.Duration { return time.Duration(o.publishedLag.Load()) }

// shouldShed reports whether the next request is refused unread; kept is true if it is on a
// connection that has had an answer here, and false if it is on a new one. The requests that are
// accepted are then answered while their callers still wait. Nothing is refused while there are
// few callers: the lag is then due to other processes that use the processor, and refusals would
// free none of it.
func (o *overload) shouldShed(kept bool) bool {
	if o.hasFewCallers() {
		return false
	}
	if rand.Float64() < o.shedProbability(kept) {
		return true
	}
	if !kept {
		o.admissions.note()
	}
	return false
}

// shedProbability returns the fraction of requests that is refused unread while there are more
// than a few callers.
func (o *overload) shedProbability(kept bool) float64 {
	if !kept {
		if o.admissions.exhausted() {
			return 1
		}
		return math.Float64frombits(o.shedFraction.Load())
	}
	if o.acceptsKept.Load() {
		return 0
	}
	excessLag := o.currentLag() - shedKeptMinLag
	return min(max(float64(excessLag)/float64(shedKeptLagRange), 0), 1)
}

// meanShedProbability returns the mean of shedProbability over the last moments. For kept
// connections it follows the lag, which is an average already.
func (o *overload) meanShedProbability(kept bool) float64 {
	if !kept {
		return math.Float64frombits(o.meanShedFraction.Load())
	}
	return o.shedProbability(kept)
}

// shedsAll reports whether requests on new connections are all refused unread, and most of them
// have been for some time: the fraction that is shed swings up to 1 for moments while the lag is
// at its target.
func (o *overload) shedsAll() bool {
	return o.shedProbability(false) == 1 && o.meanShedProbability(false) >= shedsAllMean
}

// isShedding reports whether some requests are refused unread.
func (o *overload) isShedding() bool {
	return !o.hasFewCallers() && (o.shedProbability(false) > 0 || o.shedProbability(true) > 0)
}

// hasFewCallers reports whether there are too few callers for shedding to help.
func (o *overload) hasFewCallers() bool {
	return o.callerCount != nil && o.callerCount() <= maxUnshedCallers
}

// shouldCloseConn reports whether the connection of the next answer is closed after it. Once
// new connections go to other routers, the probability grows with the lag.
func (o *overload) shouldCloseConn() bool {
	excessLag := o.currentLag() - closeMinLag
	return excessLag > 0 && o.newConnsStopped.Load() && rand.N(closeLagRange) < excessLag
}

// run measures the lag until ctx ends.
func (o *overload) run(ctx context.Context) {
	probe := startLagProbe(o.log)
	defer probe.close()
	interval := lagInterval
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	lastTick := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		o.measure(now, max(0, now.Sub(lastTick)-interval, probe.currentDelay(), o.currentAcceptDelay(now)))
		lastTick = now
		if next := o.nextInterval(); next != interval {
			interval = next
			ticker.Reset(interval)
		}
	}
}

// currentAcceptDelay returns how long requests may have waited to be accepted; zero if that is not
// measured.
func (o *overload) currentAcceptDelay(now time.Time) time.Duration {
	if o.acceptDelay == nil {
		return 0
	}
	return o.acceptDelay(now)
}

// nextInterval returns the time until the next measurement.
func (o *overload) nextInterval() time.Duration {
	if o.lastLateness > shedTargetLag || o.wasExhausted || o.shedProbability(false) > 0 {
		return shedInterval
	}
	return lagInterval
}

// measure updates the state with the lateness of a tick or of the probe: the fraction to shed
// with each measurement, everything else once per lagInterval.
func (o *overload) measure(now time.Time, lateness time.Duration) {
	o.lastLateness = lateness
	if o.wasExhausted = o.admissions.exhausted(); o.wasExhausted {
		admissionsExhausted.Inc()
	}
	o.admissions.refill(now.Sub(o.measuredAt))
	o.aboveTargetLag.add(lateness > shedTargetLag)
	o.updateMeanShed(now.Sub(o.measuredAt))
	o.measuredAt = now
	o.adjustShedFraction(lateness)
	if now.Sub(o.averagedAt) < lagInterval {
		return
	}
	o.averagedAt = now
	lagSeconds.Update(lateness.Seconds())
	o.lag += time.Duration(lagWeight * float64(lateness-o.lag))
	o.publishedLag.Store(int64(o.lag))
	o.aboveKeptLag.add(lateness > shedKeptMinLag)
	isLasting := o.aboveKeptLag.count() >= lastingLateCount && !o.aboveKeptLag.hasCaughtUp()
	o.acceptsKept.Store(!isLasting)
	if o.onMeasured != nil {
		o.onMeasured(o.lag, o.shedsAll())
	}
	o.logShedding(now, lateness)
	tooManyConns := o.hasTooManyConns()
	elapsed := now.Sub(o.changedAt)
	switch {
	case !o.paused.Load() && (o.lag > overloadLag && isLasting || tooManyConns):
		o.beginPause(now)
		o.log.Warn("router: Too busy for new connections.", "lag", o.lag, "crowded", tooManyConns, "for_at_least", o.pause)
	case o.paused.Load() && o.lag < recoveredLag && !tooManyConns && elapsed >= o.pause:
		o.paused.Store(false)
		o.newConnsStopped.Store(false)
		o.changedAt = now
		o.log.Info("router: Accepting new connections again.", "lag", o.lag, "after", elapsed)
	case o.paused.Load() && elapsed >= balancerDelay:
		o.newConnsStopped.Store(true)
	}
}

// lateHistory holds which of the last measurements were late: one bit each, the latest in the
// lowest bit.
type lateHistory uint32

func (h *lateHistory) add(late bool) {
	*h = *h << 1 & (1<<historyLength - 1)
	if late {
		*h |= 1
	}
}

// count returns how many measurements were late.
func (h lateHistory) count() int { return bits.OnesCount32(uint32(h)) }

// hasCaughtUp reports whether the latest measurements were all in time.
func (h lateHistory) hasCaughtUp() bool { return h&(1<<caughtUpCount-1) == 0 }

// adjustShedFraction changes the fraction that is shed according to the last measurement, so
// that the lag stays at its target whatever the load. It ignores a single late measurement.
func (o *overload) adjustShedFraction(lateness time.Duration) {
	if lateness > shedTargetLag && o.aboveTargetLag.count() < repeatedLateCount {
		return
	}
	deviation := float64(lateness-shedTargetLag) / float64(shedTargetLag)
	fraction := math.Float64frombits(o.shedFraction.Load()) + min(shedGain*deviation, maxShedStep)
	o.shedFraction.Store(math.Float64bits(min(max(fraction, 0), 1)))
}

// updateMeanShed adds the fraction that was shed since the last measurement to its mean.
func (o *overload) updateMeanShed(elapsed time.Duration) {
	weight := 1 - math.Exp(-elapsed.Seconds()/meanShedTimeConstant.Seconds())
	mean := o.meanShedProbability(false)
	o.meanShedFraction.Store(math.Float64bits(mean + weight*(o.shedProbability(false)-mean)))
}

// logShedding logs when the router begins to refuse requests unread, and when it accepts all
// of them again.
func (o *overload) logShedding(now time.Time, lateness time.Duration) {
	shed := &o.shed
	fraction := math.Float64frombits(o.shedFraction.Load())
	shedding := (o.lag > shedKeptMinLag && !o.acceptsKept.Load() || fraction > 0) && !o.hasFewCallers()
	if shedding && !shed.active {
		*shed = shedPeriod{active: true, startedAt: now}
		o.log.Warn("router: Refusing requests before reading them.", "lag", o.lag, "late", lateness, "part_of_new", fraction)
	}
	if shed.active && lateness > shedTargetLag {
		shed.lateMeasurements++
		shed.maxLateness = max(shed.maxLateness, lateness)
	}
	if !shedding && shed.active {
		shed.active = false
		o.log.Info("router: No longer refusing requests before reading them.", "after", now.Sub(shed.startedAt), "late_measures", shed.lateMeasurements, "worst", shed.maxLateness)
	}
}

// beginPause starts a pause, in which the router asks for no new connections.
func (o *overload) beginPause(now time.Time) {
	if o.pause == 0 || now.Sub(o.changedAt) > pauseMemory {
		o.pause = minPause
	} else {
		o.pause = min(2*o.pause, maxPause)
	}
	o.changedAt = now
	o.paused.Store(true)
	overloads.Inc()
}
