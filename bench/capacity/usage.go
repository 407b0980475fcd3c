package capacity

import (
	"context"
	"time"

	"github.com/walnutcove/walnutcove/bench/fleet"
)

// sleep waits for a time, or until ctx ends, which is an error.
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

// quantity is what is worked out from the metrics.
type quantity struct {
	name string
	// metrics are summed. A rate is the growth a second, times scale.
	metrics []string
	rate    bool
	scale   float64
}

// quantities are those of the tables of processes.
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

// since returns the mean over the routers of each quantity, and the most where
// routers differ by their shards.
func (u usage) since(earlier usage, elapsed time.Duration) []Value {
	var values []Value
	for _, q := range quantities {
		sum, most := 0.0, 0.0
		for r := range u.routers {
			amount := q.of(u.routers[r], earlier.routers[r], elapsed)
			sum += amount
			most = max(most, amount)
		}
		mean := sum / float64(len(u.routers))
		values = append(values, Value{q.name, mean})
		if q.rate && most > 2*mean && most > 1 {
			values = append(values, Value{q.name + ", most", most})
		}
	}
	return values
}

func (q quantity) of(now, earlier map[string]float64, elapsed time.Duration) float64 {
	amount := 0.0
	for _, name := range q.metrics {
		amount += now[name]
		if q.rate {
			amount -= earlier[name]
		}
	}
	if q.rate {
		amount /= elapsed.Seconds()
	}
	return amount * q.scale
}
