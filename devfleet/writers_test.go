package devfleet_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/devfleet"
	"github.com/walnutcove/walnutcove/load"
	"github.com/walnutcove/walnutcove/store/forward"
)

// TestWritersCommitForOthers sends service calls through a fleet that is large enough to
// have writers, until a writer has committed for another router. Each call must be
// answered and run once.
func TestWritersCommitForOthers(t *testing.T) {
	fleet := startFleet(t, devfleet.Options{Routers: forward.MaxMembersWithoutWriters + 1, Services: 2, ServiceSlots: 32})
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	served := metrics.GetOrCreateCounter(`walnut_forward_served_total`)
	before := served.Get()
	sent := 0
	for served.Get() == before && ctx.Err() == nil {
		run := load.Run{Routers: callerAddresses(fleet), Callers: 20, Requests: 100, Seed: 1, Next: serviceCall(sent)}
		summary := run.Do(ctx)
		if answered := summary.Count(load.Answered); answered != run.Requests {
			t.Fatalf("answered %d: %v", answered, summary)
		}
		sent += run.Requests
	}
	ran := 0
	for _, s := range fleet.Services {
		for key, count := range s.Counts() {
			ran++
			if count != 1 {
				t.Errorf("service call %s ran %d times", key, count)
			}
		}
	}
	if ran != sent || served.Get() == before {
		t.Errorf("%d of %d service calls ran, %d commits by a writer", ran, sent, served.Get()-before)
	}
}

// serviceCall returns a function that creates service calls with keys numbered from
// first+1.
func serviceCall(first int) func(int, *rand.Rand) load.Request {
	return func(n int, random *rand.Rand) load.Request {
		r := mixedRequest(int(load.Service), random)
		r.Mark = fmt.Sprintf("w%d", first+n)
		r.IdempotencyKey = r.Mark
		return r
	}
}
