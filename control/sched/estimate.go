package sched

import "time"

const (
	// maxHintFactor bounds how far a hint may move an estimate from the learned average:
	// to at most this many times it, and at least this fraction of it.
	maxHintFactor = 4
	// minEstimate ensures that no grant is free.
	minEstimate = time.Millisecond
)

// Estimate predicts the slot time of the requests of one workspace in one pool. It
// learns the average outcome and the ratio of outcomes to hints, so hints that are
// always too low or too high by the same factor have no effect.
type Estimate struct {
	actual average
	// hinted and hintedActual average the hints and the outcomes of the requests that
	// had one.
	hinted, hintedActual average
}

// Charge returns the slot time to charge at grant. typical is used until the first
// outcome.
func (e *Estimate) Charge(hint, typical time.Duration) time.Duration {
	learned := typical.Seconds()
	if e.actual.hasSample {
		learned = e.actual.value
	}
	estimate := learned
	if hint > 0 {
		estimate = hint.Seconds() * e.hintScale()
		estimate = min(max(estimate, learned/maxHintFactor), learned*maxHintFactor)
	}
	return max(minEstimate, toDuration(estimate))
}

// hintScale returns the learned ratio of outcomes to hints.
func (e *Estimate) hintScale() float64 {
	if e.hinted.value <= 0 {
		return 1
	}
	return e.hintedActual.value / e.hinted.value
}

// Learn records the slot time that a run took.
func (e *Estimate) Learn(hint, service time.Duration) {
	e.actual.add(service.Seconds())
	if hint > 0 {
		e.hinted.add(hint.Seconds())
		e.hintedActual.add(service.Seconds())
	}
}

func toDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
