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

// TestCutWaysQuarantineNobody holds the answers of one engine after the other
// and breaks its connections, while requests run. No target crashes, so
// nobody's request may be quarantined.
func TestCutWaysQuarantineNobody(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{step: 10 * time.Millisecond})
	tr := f.startTraffic(12, func(n int, _ *rand.Rand) load.Request {
		return request(load.NonStreaming, "bakery", fmt.Sprintf("innocent-%d", n), 25)
	})
	tr.more(f, 12)
	for n := range 12 {
		way := f.targetWays[[]string{"engine-1", "engine-2"}[n%2]]
		way.hold(processes.Downstream)
		f.holdShortly()
		way.Cut()
		way.heal()
	}
	tr.more(f, 12)
	tr.stop()
	t.Logf("%v", tr.results)
	if quarantined := tr.results.count(hasCode(result.Quarantined)); quarantined > 0 {
		t.Errorf("%d requests were quarantined although no target crashed", quarantined)
	}
	f.judge(tr.results.list())
}

// TestCrashingRequestIsQuarantined lets a caller send a request that crashes
// each target which runs it, again and again through one router after the
// other, beside innocent requests. Every router must refuse it in the end, and
// none of the innocents.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	t.Parallel()
	const mark, mostSendings = "venom", 60
	f := startFleet(t, options{engines: 3, step: 10 * time.Millisecond})
	f.everyEngine(func(name string) { f.targetFaults(name, engine.Faults{Poison: mark, DowntimeMillis: 300}) })
	tr := f.startTraffic(12, func(n int, _ *rand.Rand) load.Request {
		return request(load.NonStreaming, "bakery", fmt.Sprintf("beside-%d", n), 25)
	})
	tr.more(f, 12)
	client := load.NewClient(testTimeout)
	defer client.Close()
	quarantined := hasCode(result.Quarantined)
	refusedAt := make(map[int]bool)
	sendings := 0
	for len(refusedAt) < routerCount && sendings < mostSendings {
		router := sendings % routerCount
		outcome := client.Send(f.callers()[router], request(load.NonStreaming, "school", mark, 5))
		f.note("sending %d at router %d: %s, code %d", sendings, router, outcome.Verdict, outcome.Code)
		refusedAt[router] = quarantined(outcome)
		if !refusedAt[router] {
			delete(refusedAt, router)
			tr.more(f, 12)
		}
		sendings++
	}
	tr.stop()
	t.Logf("%d sendings, beside it %v", sendings, tr.results)
	if len(refusedAt) < routerCount {
		t.Errorf("after %d sendings only routers %v refuse the request", sendings, refusedAt)
	}
	if innocents := tr.results.count(quarantined); innocents > 0 {
		t.Errorf("%d innocent requests were quarantined", innocents)
	}
}
