package sched

import "time"

const (
	// hintRange bounds an estimate to this factor around what was learned.
	hintRange = 4
	// minEstimate keeps a grant from being free.
	minEstimate = time.Millisecond
)

// Estimate predicts the slot time of the requests of one workspace in one
// pool. It learns the average and how the hints compare with the outcome, so
// hints that are always too low, or always too high, change nothing.
type Estimate struct {
	actual average
	// hinted and hintedActual average the hints and the outcomes they had.
	hinted, hintedActual average
}

// Charge returns the slot time to charge at grant. typical is used until an
// outcome has been seen.
func (e *Estimate) Charge(hint, typical time.Duration) time.Duration {
	learned := typical.Seconds()
	if e.actual.known {
		learned = e.actual.value
	}
	estimate := learned
	if hint > 0 {
		estimate = hint.Seconds() * e.hintScale()
		estimate = min(max(estimate, learned/hintRange), learned*hintRange)
	}
	return max(minEstimate, seconds(estimate))
}

// hintScale is the learned factor between hints and outcomes.
func (e *Estimate) hintScale() float64 {
	if e.hinted.value <= 0 {
		return 1
	}
	return e.hintedActual.value / e.hinted.value
}

// Learn takes the outcome of a run in.
func (e *Estimate) Learn(hint, service time.Duration) {
	e.actual.add(service.Seconds())
	if hint > 0 {
		e.hinted.add(hint.Seconds())
		e.hintedActual.add(service.Seconds())
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
