package sched

import (
	"math"
	"time"
)

const (
	// defaultReadRate is the assumed reading rate of a target, in tokens per second, for
	// pools that declare none.
	defaultReadRate = 60_000.0
	// readRateFactor is how much faster a target reads than its share of the rate that
	// is declared for the whole pool, as that rate covers reading and generating at
	// once. 1.5 to 2.5 were measured on three kinds of engine.
	readRateFactor = 2.0
	// initialFixed is the time to the first event of an empty prompt, before any start
	// was measured. Engines took 35 to 60 ms.
	initialFixed = 40 * time.Millisecond
	// sampleDecay is the weight that older samples keep with each new one. The last 200
	// starts of the pool count, which is one or two seconds under load.
	sampleDecay = 0.995
	// priorSamples is the weight of the initial values, in samples. It does not decay,
	// so a term that no sample contains keeps its initial value.
	priorSamples = 4.0
	// minDeviationBound and maxDeviationRatio bound how far one sample may differ from
	// its prediction: by the larger of this time and this fraction of the prediction.
	// Starts at a target that crashed or stalled say nothing about its reading rate.
	minDeviationBound = 60 * time.Millisecond
	maxDeviationRatio = 0.5
	// slowdownWeight is the weight of a sample in the average of a target's slowdown,
	// and minSlowdown and maxSlowdown are its bounds.
	slowdownWeight = 0.05
	minSlowdown    = 0.4
	maxSlowdown    = 5.0
	// fullWeightReadTime is the reading time from which on a start has full weight for
	// the slowdown. In a shorter start, other work of the target has the larger effect.
	fullWeightReadTime = 100 * time.Millisecond
	// minReadRate and maxReadRate bound the learned rate, in tokens per second.
	minReadRate = 2_000.0
	maxReadRate = 5_000_000.0
	// tokenScale and pairScale scale the terms to the order of one.
	tokenScale = 1e-4
	pairScale  = 1e-8
)

// load is the reading work of a prompt: its tokens, and the pairs of each token with the
// tokens before it. Comparing the pairs makes long prompts more expensive per token.
type load struct{ tokens, pairs float64 }

func (l load) plus(other load) load { return load{l.tokens + other.tokens, l.pairs + other.pairs} }

func (l load) minus(other load) load {
	return load{max(0, l.tokens-other.tokens), max(0, l.pairs-other.pairs)}
}

// promptLoad returns the load of a prompt that is prompt tokens long and of which the
// last reads tokens have to be read.
func promptLoad(reads, prompt int) load {
	r := float64(reads)
	return load{tokens: r, pairs: r * max(r/2, float64(prompt)-r/2)}
}

// ReadModel predicts how long the targets of one pool take to read prompts. The time
// from a grant to the first event is a fixed part plus a cost for each token, and for
// each pair of tokens, that has to be read before it. The three terms are fitted by
// least squares to the latest starts.
//
// With the pairs and the fixed part, 85 of 100 starts at low load were within a quarter
// or 30 ms of the prediction. With only a rate and a factor on it, 58 of 100 were.
//
// All targets of a pool share a model, so a target that was just added is predicted from
// what the others do. ReadModel is not safe for concurrent use.
type ReadModel struct {
	// fixed, token and pair are in seconds.
	fixed, token, pair float64
	// initialToken is the value of token before any start was seen.
	initialToken float64
	// gram and moment are the sums of the normal equations of the least squares.
	gram   [3][3]float64
	moment [3]float64
	// Frozen keeps the initial values: starts change nothing.
	Frozen bool
}

// NewReadModel returns a model that has seen no start.
func NewReadModel(perSecond float64, targets int) *ReadModel {
	r := &ReadModel{fixed: initialFixed.Seconds()}
	r.SetDeclaredRate(perSecond, targets)
	return r
}

// SetDeclaredRate sets the initial values from the rate that the pool's targets are
// declared to have together, in tokens per second; zero means that none is declared. It
// is called again when the number of targets changes, as they register one after the
// other.
func (r *ReadModel) SetDeclaredRate(perSecond float64, targets int) {
	rate := defaultReadRate
	if perSecond > 0 && targets > 0 {
		rate = min(max(readRateFactor*perSecond/float64(targets), minReadRate), maxReadRate)
	}
	r.initialToken = 1 / rate
	r.fit()
}

// Rate returns the tokens per second that a target of the pool reads, without the cost
// of pairs.
func (r *ReadModel) Rate() float64 { return 1 / r.token }

// seconds returns the predicted reading time of a load at a target with slowdown 1.
func (r *ReadModel) seconds(l load) float64 { return r.token*l.tokens + r.pair*l.pairs }

// learn records one start at a target with the given slowdown: from when the target began
// to read the given load, it took this many seconds until the first event.
func (r *ReadModel) learn(l load, slowdown, took float64) {
	if r.Frozen {
		return
	}
	predicted := r.fixed + slowdown*r.seconds(l)
	maxDeviation := max(minDeviationBound.Seconds(), maxDeviationRatio*predicted)
	took = min(max(took, predicted-maxDeviation), predicted+maxDeviation)
	x := [3]float64{1, slowdown * l.tokens * tokenScale, slowdown * l.pairs * pairScale}
	for i := range x {
		for j := range x {
			r.gram[i][j] = sampleDecay*r.gram[i][j] + x[i]*x[j]
		}
		r.moment[i] = sampleDecay*r.moment[i] + x[i]*took
	}
	r.fit()
}

// fit solves the least squares, with the initial values as a few additional samples.
func (r *ReadModel) fit() {
	// The prior of each term has about the size that the term has in a sample.
	weights := [3]float64{priorSamples, 0.1 * priorSamples, 0.05 * priorSamples}
	prior := [3]float64{initialFixed.Seconds(), r.initialToken / tokenScale, 0}
	a, b := r.gram, r.moment
	for i := range weights {
		a[i][i] += weights[i]
		b[i] += weights[i] * prior[i]
	}
	x := solve(a, b)
	r.fixed = max(0, x[0])
	r.token = min(max(x[1]*tokenScale, 1/maxReadRate), 1/minReadRate)
	r.pair = max(0, x[2]*pairScale)
}

// solve returns x with a*x = b for a symmetric positive definite a, by Gaussian
// elimination.
func solve(a [3][3]float64, b [3]float64) [3]float64 {
	for i := range b {
		for k := i + 1; k < len(b); k++ {
			factor := a[k][i] / a[i][i]
			for j := i; j < len(b); j++ {
				a[k][j] -= factor * a[i][j]
			}
			b[k] -= factor * b[i]
		}
	}
	var x [3]float64
	for i := len(b) - 1; i >= 0; i-- {
		sum := b[i]
		for j := i + 1; j < len(b); j++ {
			sum -= a[i][j] * x[j]
		}
		x[i] = sum / a[i][i]
	}
	return x
}

// updateSlowdown returns the moving average of a target's slowdown after one more start.
// expected is its reading time according to the pool's model and took the measured one,
// both in seconds.
func updateSlowdown(slowdown, expected, took float64) float64 {
	if expected <= 0 || math.IsNaN(took) {
		return slowdown
	}
	sample := min(max(took/expected, minSlowdown), maxSlowdown)
	weight := slowdownWeight * min(1, expected/fullWeightReadTime.Seconds())
	return min(max(slowdown+weight*(sample-slowdown), minSlowdown), maxSlowdown)
}
