package capacity

import (
	"context"
	"time"

	"github.com/walnutcove/walnutcove/bench/fleet"
)

// sleep waits for d. It returns an error if ctx ends first.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// usage holds the metrics of every router of a fleet at one time.
type usage struct {
	at      time.Time
	routers []map[string]float64
}

func readUsage(f *fleet.Fleet) (usage, error) {
	u := usage{at: time.Now()}
	for _, r := range f.Routers {
		values, err := fleet.ReadMetrics(r.Settings.Listen.Operators)
		if err != nil {
			return u, err
		}
		u.routers = append(u.routers, values)
	}
	return u, nil
}

// quantity is a value derived from the metrics of a router.
type quantity struct {
	name string
	// metrics are summed and multiplied by scale. If rate is set, the quantity is
	// their growth per second.
	metrics []string
	rate    bool
	scale   float64
}

// quantities are the rows of the tables of Processes.
var quantities = []quantity{
	{"peer bytes both ways/s", []string{"walnut_peer_wire_bytes_total"}, true, 1},
	{"peer messages both ways/s", []string{"walnut_peer_messages_total"}, true, 1},
	{"peer writes/s", []string{"walnut_peer_flushes_total"}, true, 1},
	{"platform bytes both ways/s", []string{"walnut_platform_sent_bytes_total", "walnut_platform_received_bytes_total"}, true, 1},
	{"platform calls/s", []string{"walnut_platform_calls_total"}, true, 1},
	{"control goroutine ms/s", []string{"walnut_control_busy_seconds_total"}, true, 1000},
	{"process ms/s", []string{"process_cpu_seconds_total"}, true, 1000},
	{"requests granted/s", []string{"walnut_control_dispatches_total"}, true, 1},
	{"garbage collector ms/s", []string{"go_gc_cpu_seconds_total"}, true, 1000},
	{"resident MB", []string{"process_resident_memory_bytes"}, false, 1e-6},
	{"heap MB in use", []string{"go_memstats_heap_inuse_bytes"}, false, 1e-6},
	{"goroutines", []string{"go_goroutines"}, false, 1},
	{"sessions", []string{"walnut_peer_sessions"}, false, 1},
}

// since returns the mean of each quantity over the routers, and also the maximum
// of a rate that is more than twice the mean at one of them, as when the routers
// schedule different numbers of shards.
func (u usage) since(earlier usage, elapsed time.Duration) []Value {
	var values []Value
	for _, q := range quantities {
		sum, maxAmount := 0.0, 0.0
		for r := range u.routers {
			amount := q.amount(u.routers[r], earlier.routers[r], elapsed)
			sum += amount
			maxAmount = max(maxAmount, amount)
		}
		mean := sum / float64(len(u.routers))
		values = append(values, Value{q.name, mean})
		if q.rate && maxAmount > 2*mean && maxAmount > 1 {
			values = append(values, Value{q.name + ", most", maxAmount})
		}
	}
	return values
}

// amount returns the value of the quantity for one router, from its metrics now and
// earlier.
func (q quantity) amount(now, earlier map[string]float64, elapsed time.Duration) float64 {
	sum := 0.0
	for _, name := range q.metrics {
		sum += now[name]
		if q.rate {
			sum -= earlier[name]
		}
	}
	if q.rate {
		sum /= elapsed.Seconds()
	}
	return sum * q.scale
}
