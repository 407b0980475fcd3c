package speed

import (
	"math"
	"time"
)

const (
	// minExcess is the deviation below which a target counts as at its usual speed.
	minExcess = 0.05
	// deviationExcess is the deviation from which on its length is observed.
	deviationExcess = 0.4
	// recoveryRatio is the ratio by which a reading must be below the one before it to end a
	// deviation. Otherwise the target's usual reading has changed, not its speed.
	recoveryRatio = 1.1
	// maxReadingGap is the time between two readings beyond which the length of a deviation
	// that ends in between is not known.
	maxReadingGap = 2 * time.Second
	// priorWeight is the weight of the pool's usual cost in that of a target, in runs, and
	// minRunWeight the least weight of one more run.
	priorWeight  = 2.0
	minRunWeight = 0.05
	// maxCostChange bounds by which factor one run may differ from the target's cost: runs at a
	// target that crashed or stalled say nothing about its speed.
	maxCostChange = 3.0
	// minCost and maxCost bound the cost of a target.
	minCost = 0.1
	maxCost = 10.0
	// idleTime is the time without a request, in seconds, after which a target counts as one of the
	// fast ones of its pool. Otherwise it would never be found out that it was taken for slow by
	// mistake. The time is shorter if the weight of the runs that its cost was learned from is
	// below confidentWeight.
	idleTime        = 20.0
	confidentWeight = 5.0
	// minIdle is the least time, in seconds, after which an idle target counts as fast.
	minIdle = 0.01
	// longWork is the work, in time constants, from which on a deviation has ended before it.
	longWork = 30.0
)

// Estimate estimates how long work takes at one target. The time of work is that at the pool's
// usual target, times a lasting and a passing factor.
//
// It is not known whether a target's reading contains its lasting speed. Therefore the reading
// is used as it is: the time of work is the reading times a cost, which is learned from runs,
// each divided by the mean of the readings during it. The lasting factor is the cost times
// the median reading of the target; the passing factor is the reading divided by that median.
// If readings do not contain the lasting speed, the median is 1 and the cost is that speed; if
// they do, the cost is 1.
//
// Times are durations since any fixed point. An Estimate is not safe for concurrent use.
type Estimate struct {
	pool *Pool
	// at is the time of the latest reading, and value its speed, where 1 is usual.
	at    time.Duration
	value float64
	// base is the median of the readings.
	base    float64
	hasRead bool
	// progress is the integral of 1/reading until at, in seconds.
	progress float64
	// cost is learned from runs with the sum of weights costWeight.
	cost, costWeight float64
	// deviates reports that the latest reading deviates, and deviatesSince since when.
	deviates      bool
	deviatesSince time.Duration
	// usedAt is when the target was last sent a request.
	usedAt time.Duration
	// running is the number of requests in the latest reading and of the grants since then.
	running int
	// readings is last, as predictions do not need it: the fields before it fit two cache lines.
	readings histogram
}

// NewEstimate returns the estimate for a target of a pool without readings.
func NewEstimate(pool *Pool) *Estimate {
	return &Estimate{pool: pool, value: 1, base: 1, cost: pool.usualCost}
}

// Mark is a point in time from which the mean of the readings can be measured.
type Mark struct {
	at       time.Duration
	progress float64
}

// Read records a reading that the target took at the given time. Readings without a speed, and
// those older than the latest one, are ignored; Read reports whether the reading was used.
func (e *Estimate) Read(at time.Duration, r Reading) bool {
	if !r.HasSpeed() || e.hasRead && at < e.at {
		return false
	}
	value := float64(r.Percent) / 100
	e.observeDeviation(at, value)
	e.progress = e.progressAt(at)
	e.base = e.readings.add(value, at-e.at, !e.hasRead)
	if !e.hasRead {
		e.usedAt = at
	}
	e.at, e.value, e.hasRead = at, value, true
	e.running = r.Running
	return true
}

// observeDeviation measures how long deviations last. They begin and end in the middle between
// two readings.
func (e *Estimate) observeDeviation(at time.Duration, value float64) {
	deviates := value > (1+deviationExcess)*e.base
	middle := e.at + (at-e.at)/2
	switch {
	case deviates == e.deviates:
	case deviates:
		e.deviatesSince = middle
	case e.value > recoveryRatio*value && at-e.at <= maxReadingGap:
		e.pool.deviationEnded(middle - e.deviatesSince)
	}
	e.deviates = deviates
}

// Granted records a request that is sent to the target.
func (e *Estimate) Granted(now time.Duration) {
	e.running++
	e.usedAt = now
}

// Lasting returns the lasting factor.
func (e *Estimate) Lasting(now time.Duration) float64 {
	lasting := e.cost * e.base
	if slower := lasting - e.pool.fast; slower > 0 {
		idle := (now - e.usedAt).Seconds()
		known := idleTime * min(1, e.costWeight/confidentWeight)
		lasting -= slower * min(1, idle/max(known, minIdle))
	}
	return lasting / e.pool.usual
}

// Passing returns the passing factor. It is never below 1: a target that has just become fast
// does not count as faster than its lasting speed, or all schedulers would choose it at once.
func (e *Estimate) Passing(now time.Duration) float64 { return 1 + e.excess(now) }

// Factor returns the time that work takes at the target, where 1 is usual in the pool.
func (e *Estimate) Factor(now time.Duration) float64 { return e.Lasting(now) * e.Passing(now) }

// Fill returns the factor by which work takes longer, or less long, as the target is fuller, or
// less full, than usual. running is the number of requests that the caller knows there.
func (e *Estimate) Fill(running, slots int) float64 {
	return e.pool.fill.factor(e.filled(running, slots))
}

// filled returns the used fraction of the slots.
func (e *Estimate) filled(running, slots int) float64 {
	return min(1, float64(max(running, e.running))/float64(max(1, slots)))
}

// Stretch returns how long work takes that begins now and would take the given time, in seconds,
// at the pool's usual target. The passing factor applies only for as long as the deviation is
// expected to last, so it hardly changes the time of long work.
func (e *Estimate) Stretch(now time.Duration, work float64) float64 {
	return stretch(e.Lasting(now)*work, e.excess(now), e.pool.decay)
}

// Mark returns the mark of the present.
func (e *Estimate) Mark(now time.Duration) Mark { return Mark{at: now, progress: e.progressAt(now)} }

// Done returns how much work, in seconds at the pool's usual target, the target has done since a
// mark.
func (e *Estimate) Done(since Mark, now time.Duration) float64 {
	return max(0, e.progressAt(now)-since.progress) * e.pool.usual / e.cost
}

// FactorSince returns the mean factor since a mark.
func (e *Estimate) FactorSince(since Mark, now time.Duration) float64 {
	return e.cost / e.pool.usual * e.meanReading(since, now)
}

// meanReading returns the mean reading since a mark.
func (e *Estimate) meanReading(since Mark, now time.Duration) float64 {
	passed := (now - since.at).Seconds()
	progressed := e.progressAt(now) - since.progress
	if passed <= 0 || progressed <= 0 {
		return e.value
	}
	return passed / progressed
}

// Run is a run that ended, or that began to answer.
type Run struct {
	// Since marks its beginning.
	Since Mark
	// Took is its time, and Expected that at the pool's usual target, in seconds.
	Took, Expected float64
	// Running is the number of requests at the target when it began, and Slots its slots.
	Running, Slots int
	// Weight is at most 1, and less for runs whose time depends on other things.
	Weight float64
}

// Learn learns the lasting speed from a run.
func (e *Estimate) Learn(now time.Duration, r Run) {
	if r.Expected <= 0 || r.Took <= 0 || r.Weight <= 0 {
		return
	}
	filled := min(1, float64(r.Running)/float64(max(1, r.Slots)))
	perReading := r.Took / (r.Expected * e.meanReading(r.Since, now))
	sample := perReading / e.pool.fill.factor(filled)
	sample = min(max(sample, e.cost/maxCostChange), e.cost*maxCostChange)
	e.costWeight += r.Weight
	weight := max(minRunWeight*r.Weight, r.Weight/(priorWeight+e.costWeight))
	e.cost = min(max(e.cost+weight*(sample-e.cost), minCost), maxCost)
	e.pool.fill.add(filled, min(perReading/e.cost, maxCostChange))
}

// excess returns by how much the target is expected to be slower than its lasting speed now.
func (e *Estimate) excess(now time.Duration) float64 {
	excess := e.value/e.base - 1
	if excess < minExcess {
		return 0
	}
	return excess * math.Exp(-max(0, now-e.at).Seconds()/e.pool.decay)
}

// progressAt returns the integral of 1/reading until now. Between readings the deviation decays.
func (e *Estimate) progressAt(now time.Duration) float64 {
	passed := (now - e.at).Seconds()
	if passed <= 0 || !e.hasRead {
		return e.progress + passed/e.value
	}
	excess := e.value/e.base - 1
	if math.Abs(excess) < minExcess {
		return e.progress + passed/e.value
	}
	return e.progress + shrink(passed, excess, e.pool.decay)/e.base
}

// stretch returns the time T in which work is done at a rate of 1/(1+excess*exp(-t/decay)): the
// solution of the integral of that rate from 0 to T being the work.
func stretch(work, excess, decay float64) float64 {
	if excess < minExcess {
		return work
	}
	if work > longWork*decay {
		return work + decay*math.Log1p(excess)
	}
	return decay * math.Log1p((1+excess)*math.Expm1(work/decay))
}

// shrink returns the work that is done in a time; it is the inverse of stretch.
func shrink(took, excess, decay float64) float64 {
	if took > longWork*decay {
		return took - decay*math.Log1p(excess)
	}
	return decay * math.Log1p(math.Expm1(took/decay)/(1+excess))
}
