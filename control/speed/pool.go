package speed

import (
	"slices"
	"time"
)

const (
	// initialDecay is the time constant with which a deviation is expected to end, until
	// minDeviations of them were observed.
	initialDecay  = 300 * time.Millisecond
	minDeviations = 5
	// minDecay and maxDecay bound the learned time constant.
	minDecay = 30 * time.Millisecond
	maxDecay = 10 * time.Second
	// deviationWeight is the least weight of an observed deviation in their mean length.
	deviationWeight = 0.05
	// fillDecay is the weight that older runs keep with each new one in the fit of the fill
	// slope: the last 500 runs of the pool count.
	fillDecay = 0.998
	// fillRidge is added to the variance of the fill, so that few runs, or runs at the same
	// fill, give no slope. It is the variance of a fill that varies by a tenth.
	fillRidge = 0.01
	// minFillRuns is the number of runs below which there is no slope.
	minFillRuns = 50
	// maxFillSlope bounds the slope: a full target takes at most this much longer, relative to
	// an empty one.
	maxFillSlope = 2.0
)

// Pool holds what the estimates of the targets of one pool share. It is not safe for
// concurrent use.
type Pool struct {
	// usual is the median lasting factor of the targets with readings, and fast the one that a
	// quarter of them is below; usualCost is their median cost. See Estimate.
	usual, fast, usualCost float64
	// decay is the time constant of deviations, in seconds.
	decay float64
	// meanDeviation is the mean length of the deviations, in seconds, and deviations counts them.
	meanDeviation float64
	deviations    int
	fill          fillFit
	// scratch is reused by SetUsual.
	scratch []float64
}

// NewPool returns the state of a pool in which no target has reported.
func NewPool() *Pool {
	return &Pool{usual: 1, fast: 1, usualCost: 1, decay: initialDecay.Seconds()}
}

// SetUsual sets the usual time of the pool from its targets with readings.
func (p *Pool) SetUsual(estimates []*Estimate) {
	if len(estimates) == 0 {
		p.usual, p.fast, p.usualCost = 1, 1, 1
		return
	}
	sorted := p.sort(estimates, func(e *Estimate) float64 { return e.cost * e.base })
	p.usual, p.fast = sorted[len(sorted)/2], sorted[len(sorted)/4]
	sorted = p.sort(estimates, func(e *Estimate) float64 { return e.cost })
	p.usualCost = sorted[len(sorted)/2]
}

// sort returns the sorted values of estimates. The next call reuses the slice.
func (p *Pool) sort(estimates []*Estimate, value func(*Estimate) float64) []float64 {
	p.scratch = p.scratch[:0]
	for _, e := range estimates {
		p.scratch = append(p.scratch, value(e))
	}
	slices.Sort(p.scratch)
	return p.scratch
}

// deviationEnded records how long a deviation lasted. On average half of that was left while
// it was observed, which is the time constant.
func (p *Pool) deviationEnded(lasted time.Duration) {
	p.deviations++
	weight := max(deviationWeight, 1/float64(p.deviations))
	p.meanDeviation += weight * (lasted.Seconds() - p.meanDeviation)
	if p.deviations >= minDeviations {
		p.decay = min(max(p.meanDeviation/2, minDecay.Seconds()), maxDecay.Seconds())
	}
}

// fillFit fits by how much runs take longer as a target fills up: a line through their time,
// relative to the expected one, over the used fraction of the slots. The sums are weighted
// averages.
type fillFit struct {
	runs               int
	weight             float64
	fill, took         float64
	fillFill, fillTook float64
	// slope is relative to an empty target, and mean is the mean fill.
	slope, mean float64
}

// add records a run that took the given multiple of the expected time.
func (f *fillFit) add(fill, took float64) {
	f.runs++
	f.weight = fillDecay*f.weight + 1
	part := 1 / f.weight
	f.fill += part * (fill - f.fill)
	f.took += part * (took - f.took)
	f.fillFill += part * (fill*fill - f.fillFill)
	f.fillTook += part * (fill*took - f.fillTook)
	f.mean = f.fill
	if f.runs < minFillRuns {
		return
	}
	slope := (f.fillTook - f.fill*f.took) / (f.fillFill - f.fill*f.fill + fillRidge)
	atEmpty := max(0.1, f.took-slope*f.fill)
	f.slope = min(max(0, slope/atEmpty), maxFillSlope)
}

// factor returns the time that work takes at the given fill, where 1 is that at the mean fill.
func (f *fillFit) factor(fill float64) float64 {
	return (1 + f.slope*fill) / (1 + f.slope*f.mean)
}
