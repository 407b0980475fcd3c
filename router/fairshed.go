package router

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// arrivalTimeConstant is the time constant of the arrival rates. It is shorter than the
	// time for which the balancer sends new connections to a busy router.
	arrivalTimeConstant = time.Second
	// largestInterval is how often the largest arrival rate is recomputed.
	largestInterval = 50 * time.Millisecond
	// alwaysServedRatio is the fraction of the largest arrival rate up to which the requests
	// of a workspace are not shed even if all those of the largest one are.
	alwaysServedRatio = 0.05
	// minShedProbability limits the weight of a single request in the arrival rates.
	minShedProbability = 0.05
	// minArrivals is the rate below which a workspace is forgotten.
	minArrivals = 0.01
)

var shedExemptions = metrics.NewCounter("walnut_router_shed_exemptions_total")

// fairShed exempts requests from shedding, so that a busy router divides what it can serve
// between workspaces by max-min fairness. Shedding selects requests at random, and on its
// own would serve each workspace in proportion to what it sends: one that sends many times
// what the router can serve would have the same fraction refused of every other.
//
// A workspace that sends r requests per second has the fraction max(0, 1-fair/r) refused,
// where fair is what remains of the workspace that sends most (core-stateless fair
// queueing). It is safe for concurrent use.
type fairShed struct {
	mu sync.Mutex
	// rates holds the arrivals of each workspace in units of its share, as averages with
	// arrivalTimeConstant.
	rates     map[string]*arrivalRate
	largest   float64
	largestAt time.Time
}

type arrivalRate struct {
	value     float64
	updatedAt time.Time
}

func (r *arrivalRate) at(now time.Time) float64 {
	return r.value * math.Exp(-now.Sub(r.updatedAt).Seconds()/arrivalTimeConstant.Seconds())
}

// exempts records a request of a workspace that was selected for shedding with the given
// probability, and reports whether it is served all the same.
func (f *fairShed) exempts(now time.Time, workspace string, share, probability float64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	// Only selected requests are seen: each stands for 1/probability arrivals.
	rate := f.add(now, workspace, 1/(share*max(probability, minShedProbability)))
	largest := f.largestRate(now, rate)
	if fair := (1 - probability) * largest; rate > fair && rate > alwaysServedRatio*largest {
		refused := 1 - fair/rate
		if rand.Float64()*probability < refused {
			return false
		}
	}
	shedExemptions.Inc()
	return true
}

// add adds to the arrivals of a workspace and returns its rate.
func (f *fairShed) add(now time.Time, workspace string, amount float64) float64 {
	if f.rates == nil {
		f.rates = make(map[string]*arrivalRate)
	}
	rate := f.rates[workspace]
	if rate == nil {
		rate = &arrivalRate{}
		f.rates[workspace] = rate
	}
	rate.value, rate.updatedAt = rate.at(now)+amount, now
	return rate.value
}

// largestRate returns the largest arrival rate, which is at least the given one.
func (f *fairShed) largestRate(now time.Time, rate float64) float64 {
	if now.Sub(f.largestAt) >= largestInterval {
		f.largest, f.largestAt = 0, now
		for workspace, r := range f.rates {
			value := r.at(now)
			if value < minArrivals {
				delete(f.rates, workspace)
				continue
			}
			f.largest = max(f.largest, value)
		}
	}
	f.largest = max(f.largest, rate)
	return f.largest
}
