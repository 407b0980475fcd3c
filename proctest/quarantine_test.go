package proctest

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/load"
	"github.com/walnutcove/walnutcove/processes"
	"github.com/walnutcove/walnutcove/result"
	"github.com/walnutcove/walnutcove/standin/engine"
)

// TestCutConnectionsQuarantineNoRequest guards against taking a broken
// connection for a crash of the target. It holds back the answers of one engine
// after the other and breaks its connections, while requests run. No target
// crashes, so no request may be quarantined.
func TestCutConnectionsQuarantineNoRequest(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{tokenTime: 10 * time.Millisecond})
	tr := f.startTraffic(12, func(n int, _ *rand.Rand) load.Request {
		return request(load.NonStreaming, "bakery", fmt.Sprintf("innocent-%d", n), 25)
	})
	tr.awaitAnswered(f, 12)
	for n := range 12 {
		proxy := f.targetProxies[[]string{"engine-1", "engine-2"}[n%2]]
		proxy.hold(processes.Downstream)
		f.pauseBriefly()
		proxy.Cut()
		proxy.heal()
	}
	tr.awaitAnswered(f, 12)
	tr.stop()
	t.Logf("%v", tr.results)
	if quarantined := tr.results.count(refusedWith(result.Quarantined)); quarantined > 0 {
		t.Errorf("%d requests were quarantined although no target crashed", quarantined)
	}
	f.checkResults(tr.results.list())
}

// TestCrashingRequestIsQuarantined lets a caller send a request that crashes
// each target that runs it, repeatedly and through one router after the other,
// while other callers send harmless requests. In the end every router must
// refuse the crashing request, and no router may refuse a harmless one as
// quarantined.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	t.Parallel()
	const mark, maxAttempts = "venom", 60
	f := startFleet(t, options{engines: 3, tokenTime: 10 * time.Millisecond})
	f.forEachEngine(func(name string) { f.setTargetFaults(name, engine.Faults{Poison: mark, DowntimeMillis: 300}) })
	tr := f.startTraffic(12, func(n int, _ *rand.Rand) load.Request {
		return request(load.NonStreaming, "bakery", fmt.Sprintf("beside-%d", n), 25)
	})
	tr.awaitAnswered(f, 12)
	client := load.NewClient(testTimeout)
	defer client.Close()
	quarantined := refusedWith(result.Quarantined)
	refusedAt := make(map[int]bool)
	attempts := 0
	for len(refusedAt) < routerCount && attempts < maxAttempts {
		router := attempts % routerCount
		outcome := client.Send(f.callersAddresses()[router], request(load.NonStreaming, "school", mark, 5))
		f.note("attempt %d at router %d: %s, code %d", attempts, router, outcome.Verdict, outcome.Code)
		refusedAt[router] = quarantined(outcome)
		if !refusedAt[router] {
			delete(refusedAt, router)
			tr.awaitAnswered(f, 12)
		}
		attempts++
	}
	tr.stop()
	t.Logf("%d attempts; the other requests: %v", attempts, tr.results)
	if len(refusedAt) < routerCount {
		t.Errorf("after %d attempts only routers %v refuse the request", attempts, refusedAt)
	}
	if others := tr.results.count(quarantined); others > 0 {
		t.Errorf("%d harmless requests were quarantined", others)
	}
}
