package sched

import (
	"math"
	"time"
)

const (
	// defaultReadRate is the tokens a second that a target is taken to read where the
	// pool does not declare what it does together.
	defaultReadRate = 60_000.0
	// readPart is how many times more a target reads than its part of what the pool
	// declares that all targets do: that figure is for reading and generating at once.
	// Measured on three kinds of engine: 1.5 to 2.5.
	readPart = 2.0
	// firstFixed is the time to the first event of a prompt of no length, before any
	// was measured. Engines took 35 to 60 ms.
	firstFixed = 40 * time.Millisecond
	// forgetSample is the part of the evidence that is kept with each new sample: the
	// last 200 starts of the pool count, which is a second or two of it under load.
	forgetSample = 0.995
	// priorSamples is what the first figures count for, in samples. They do not fade,
	// so that a part that no sample tells of keeps its first figure.
	priorSamples = 4.0
	// leastSurprise bounds by how much one sample may differ from the prediction, and
	// surprisePart the same as a part of the prediction. Starts at a target that broke
	// off or stood still say nothing of how it reads.
	leastSurprise = 60 * time.Millisecond
	surprisePart  = 0.5
	// speedWeight is the weight of a sample in the average of a target's own pace, and
	// slowest and fastest bound it against the pool's.
	speedWeight = 0.05
	fastest     = 0.4
	slowest     = 5.0
	// wholeSample is the time of reading from which on a start counts whole for the
	// pace: below it what else happens at the target counts for more.
	wholeSample = 100 * time.Millisecond
	// leastRate and mostRate bound what is learned, in tokens a second.
	leastRate = 2_000.0
	mostRate  = 5_000_000.0
	// tokenScale and pairScale bring the terms to about one.
	tokenScale = 1e-4
	pairScale  = 1e-8
)

// load is what a target has to read: tokens, and pairs of each token with those
// before it in its prompt, whose comparison makes long prompts dearer.
type load struct{ tokens, pairs float64 }

func (l load) plus(other load) load { return load{l.tokens + other.tokens, l.pairs + other.pairs} }

func (l load) minus(other load) load {
	return load{max(0, l.tokens-other.tokens), max(0, l.pairs-other.pairs)}
}

// loadOf is what reading the last tokens of a prompt takes.
func loadOf(reads, prompt int) load {
	r := float64(reads)
	return load{tokens: r, pairs: r * max(r/2, float64(prompt)-r/2)}
}

// Reading is how the targets of one pool read prompts. The time from a grant to the
// first event is a fixed part, and a part for each token and for each pair of tokens
// that is read before it. The parts are fitted to what is observed, by least squares
// over the latest starts. With the pairs and the fixed part, 85 of 100 starts of a
// calm day were within a quarter or 30 ms of the prediction; with a rate and one
// factor over it, 58 of 100 were.
//
// All targets of a pool learn together, so that one which was added knows at once
// what the others do. It is not safe for concurrent use.
type Reading struct {
	// fixed, token and pair are in seconds.
	fixed, token, pair float64
	// firstToken is token before any start was seen.
	firstToken float64
	// gram and moment are the sums of the least squares.
	gram   [3][3]float64
	moment [3]float64
	// Frozen keeps the first figures.
	Frozen bool
}

// NewReading returns what is known before any start was seen.
func NewReading(perSecond float64, targets int) *Reading {
	r := &Reading{fixed: firstFixed.Seconds()}
	r.Declare(perSecond, targets)
	return r
}

// Declare sets the first figures from what the pool's targets are declared to do
// together, in tokens a second; zero: not declared. It is called again when the number
// of targets changes, as they turn up one after the other.
func (r *Reading) Declare(perSecond float64, targets int) {
	rate := defaultReadRate
	if perSecond > 0 && targets > 0 {
		rate = min(max(readPart*perSecond/float64(targets), leastRate), mostRate)
	}
	r.firstToken = 1 / rate
	r.fit()
}

// Rate is the tokens a second that a target of the pool reads, pairs aside.
func (r *Reading) Rate() float64 { return 1 / r.token }

// seconds is how long a target of the pool's own pace reads for.
func (r *Reading) seconds(l load) float64 { return r.token*l.tokens + r.pair*l.pairs }

// learn takes in that a start took so many seconds of reading time, for the given load
// at a target of the given pace.
func (r *Reading) learn(l load, pace, took float64) {
	if r.Frozen {
		return
	}
	predicted := r.fixed + pace*r.seconds(l)
	most := max(leastSurprise.Seconds(), surprisePart*predicted)
	took = min(max(took, predicted-most), predicted+most)
	x := [3]float64{1, pace * l.tokens * tokenScale, pace * l.pairs * pairScale}
	for i := range x {
		for j := range x {
			r.gram[i][j] = forgetSample*r.gram[i][j] + x[i]*x[j]
		}
		r.moment[i] = forgetSample*r.moment[i] + x[i]*took
	}
	r.fit()
}

// fit solves the least squares, with the first figures as a few samples more.
func (r *Reading) fit() {
	// A prior for each term of about the size that it has in a sample.
	weights := [3]float64{priorSamples, 0.1 * priorSamples, 0.05 * priorSamples}
	prior := [3]float64{firstFixed.Seconds(), r.firstToken / tokenScale, 0}
	a, b := r.gram, r.moment
	for i := range weights {
		a[i][i] += weights[i]
		b[i] += weights[i] * prior[i]
	}
	x := solve(a, b)
	r.fixed = max(0, x[0])
	r.token = min(max(x[1]*tokenScale, 1/mostRate), 1/leastRate)
	r.pair = max(0, x[2]*pairScale)
}

// solve returns x with a*x = b, for a symmetric positive definite a, by elimination.
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

// paceOf averages a target's own pace: how much longer it reads than the pool does.
func paceOf(pace, expected, took float64) float64 {
	if expected <= 0 || math.IsNaN(took) {
		return pace
	}
	sample := min(max(took/expected, fastest), slowest)
	weight := speedWeight * min(1, expected/wholeSample.Seconds())
	return min(max(pace+weight*(sample-pace), fastest), slowest)
}
