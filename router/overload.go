package router

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// lagEvery is the period of measuring how late this process runs.
	lagEvery = 50 * time.Millisecond
	// lagWeight is the weight of a new measure in the average: about half a second
	// of lateness counts.
	lagWeight = 0.2
	// lagTooMuch is the average lateness at which the router asks for no new
	// connections: requests wait for the processor then, several times each.
	lagTooMuch = 25 * time.Millisecond
	// shedFrom is the average lateness from which requests are refused unread, and
	// shedSpan how much more it takes until all are. A request passes the processor
	// some ten times, so half a second is lost at 50 ms: callers leave soon after.
	shedFrom = 50 * time.Millisecond
	shedSpan = 100 * time.Millisecond
	// lagFine is the average at which it takes them again.
	lagFine = 5 * time.Millisecond
	// leastRest is the shortest time without new connections. The balancer looks
	// once a second and turns away at the second miss.
	leastRest = 2500 * time.Millisecond
)

var (
	lagSeconds = metrics.GetOrCreateHistogram(`walnut_router_lag_seconds`)
	overloads  = metrics.GetOrCreateCounter(`walnut_router_overloads_total`)
)

// overload tells when this router is too busy for new connections: the balancer
// spreads callers by their addresses, so that one router may get many times what
// another does.
type overload struct {
	log *slog.Logger
	// crowded says that most descriptors for callers are in use.
	crowded func() bool
	on      atomic.Bool
	// average is the lag as others may read it, in nanoseconds.
	average atomic.Int64
	lag     time.Duration
	since   time.Time
}

// late is how late this process runs in the mean.
func (o *overload) late() time.Duration { return time.Duration(o.average.Load()) }

// sheds says whether the next request is refused unread: the more, the later this
// process runs. What is taken is then served while its caller waits.
func (o *overload) sheds() bool {
	over := o.late() - shedFrom
	return over > 0 && rand.N(shedSpan) < over
}

// run measures until ctx ends.
func (o *overload) run(ctx context.Context) {
	probe := startLagProbe(o.log)
	defer probe.close()
	ticker := time.NewTicker(lagEvery)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		o.measure(now, max(0, now.Sub(last)-lagEvery, probe.late()))
		last = now
	}
}

// measure takes in how late a tick was.
func (o *overload) measure(now time.Time, late time.Duration) {
	lagSeconds.Update(late.Seconds())
	o.lag += time.Duration(lagWeight * float64(late-o.lag))
	o.average.Store(int64(o.lag))
	crowded := o.crowded()
	switch {
	case !o.on.Load() && (o.lag > lagTooMuch || crowded):
		o.on.Store(true)
		o.since = now
		overloads.Inc()
		o.log.Warn("router: Too busy for new connections.", "lag", o.lag, "crowded", crowded)
	case o.on.Load() && o.lag < lagFine && !crowded && now.Sub(o.since) >= leastRest:
		o.on.Store(false)
		o.log.Info("router: Takes new connections again.", "lag", o.lag, "after", now.Sub(o.since))
	}
}
