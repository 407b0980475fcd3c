package balance

import "time"

const (
	// limiterTargetLag is the lag at which a router that sheds is meant to stay.
	limiterTargetLag = 5 * time.Millisecond
	// limiterDecrease and limiterIncrease change the fraction with each measurement. The decrease
	// is five times as fast: a late router delays everything that it serves.
	limiterDecrease = 0.1
	limiterIncrease = 0.02
	// lateWithoutOffers is the number of measurements without offers after which lag is not due to offers, and
	// lateFraction the fraction that is offered from then on.
	lateWithoutOffers = 5
	lateFraction      = 0.1
)

// Limiter determines which fraction of the requests that are selected for refusal a source offers
// to executors. Copying a response costs more than a refusal, so a router that sheds all that it
// may and is still late offloads less. If it stays late although it offers nothing, its refusals are the
// cause, and ending the offers would only end what its callers get. The zero value is not valid; use
// NewLimiter.
type Limiter struct {
	fraction float64
	// withoutOffers counts the measurements without offers since the router was last in time.
	withoutOffers int
}

// NewLimiter returns a Limiter that offers all requests.
func NewLimiter() *Limiter { return &Limiter{fraction: 1} }

// Measure updates the fraction with the lag of the last interval of 50 ms. shedsAll is set if the
// router selected all requests for refusal that it may.
func (l *Limiter) Measure(lag time.Duration, shedsAll bool) {
	if !shedsAll || lag <= limiterTargetLag {
		l.withoutOffers = 0
		l.fraction = min(1, l.fraction+limiterIncrease)
		return
	}
	if l.fraction == 0 {
		l.withoutOffers++
	}
	least := 0.0
	if l.withoutOffers >= lateWithoutOffers {
		least = lateFraction
	}
	l.fraction = max(least, l.fraction-limiterDecrease)
}

// Fraction returns the fraction of requests that is offered, from 0 to 1.
func (l *Limiter) Fraction() float64 { return l.fraction }
