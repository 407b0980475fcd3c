package router

import (
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// arrivalTimeConstant is the time constant of the arrival rates. It is shorter than the
	// time for which the balancer sends new connections to a busy router.
	arrivalTimeConstant = time.Second
	// sortInterval is how often the arrival rates are sorted.
	sortInterval = 50 * time.Millisecond
	// minShedProbability limits the weight of a single request in the arrival rates.
	minShedProbability = 0.05
	// arrivalRetention is how long a workspace without requests is remembered.
	arrivalRetention = 10 * arrivalTimeConstant
)

var shedExemptions = metrics.NewCounter("walnut_router_shed_exemptions_total")

// fairShed exempts requests from shedding, so that a busy router divides what it can serve
// between workspaces by max-min fairness. Shedding selects requests at random, and on its
// own would serve each workspace in proportion to what it sends: one that sends many times
// what the router can serve would have the same fraction refused of every other.
//
// If a fraction p of all arrivals is to be shed, a workspace that sends r requests per second
// has the fraction max(0, 1-fair/r) refused, where fair is the rate at which the least of r
// and fair adds up to 1-p of all arrivals (core-stateless fair queueing). What is exempted
// raises the lag, and with it the fraction that is shed of the others.
//
// It is safe for concurrent use.
type fairShed struct {
	mu sync.Mutex
	// rates holds the arrivals of each workspace in units of its share, as averages with
	// arrivalTimeConstant.
	rates map[string]*arrivalRate
	// sorted holds the rates in ascending order as of sortedAt, and sums[i] the sum of the
	// first i of them.
	sorted, sums []float64
	sortedAt     time.Time
}

type arrivalRate struct {
	value     float64
	updatedAt time.Time
}

func (r *arrivalRate) at(now time.Time) float64 {
	return r.value * math.Exp(-now.Sub(r.updatedAt).Seconds()/arrivalTimeConstant.Seconds())
}

// exempts records a request of a workspace that was selected for shedding, and reports whether
// it is served all the same. Requests are selected with the given probability, and were with
// the given mean over the last moments.
func (f *fairShed) exempts(now time.Time, workspace string, share, probability, mean float64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	// Only selected requests are seen: each stands for 1/probability arrivals.
	rate := f.add(now, workspace, 1/(share*max(probability, minShedProbability)))
	f.sortRates(now)
	// While everything is selected for a moment, workspaces that are served whole on average
	// still are.
	if rate > f.fairRate(mean) {
		refused := 1 - f.fairRate(probability)/rate
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

// sortRates sorts the rates if they have not been for sortInterval, and forgets workspaces
// without requests. There must be at least one rate.
func (f *fairShed) sortRates(now time.Time) {
	if now.Sub(f.sortedAt) < sortInterval {
		return
	}
	f.sortedAt = now
	f.sorted = f.sorted[:0]
	for workspace, rate := range f.rates {
		if now.Sub(rate.updatedAt) > arrivalRetention {
			delete(f.rates, workspace)
			continue
		}
		f.sorted = append(f.sorted, rate.at(now))
	}
	slices.Sort(f.sorted)
	f.sums = append(f.sums[:0], 0)
	for i, value := range f.sorted {
		f.sums = append(f.sums, f.sums[i]+value)
	}
}

// fairRate returns the largest rate that is served whole if a fraction of all arrivals is shed
// by max-min fairness. The rates must be sorted.
func (f *fairShed) fairRate(shed float64) float64 {
	n := len(f.sorted)
	served := (1 - shed) * f.sums[n]
	i := sort.Search(n, func(i int) bool { return f.sums[i]+float64(n-i)*f.sorted[i] >= served })
	if i == n {
		return f.sorted[n-1]
	}
	return (served - f.sums[i]) / float64(n-i)
}
