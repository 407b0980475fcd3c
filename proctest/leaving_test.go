package proctest

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/load"
	"github.com/walnutcove/walnutcove/standin/engine"
	"github.com/walnutcove/walnutcove/standin/journal"
	standin "github.com/walnutcove/walnutcove/standin/platform"
)

// maxLeavingDelay is how long a leaving target may still get new requests.
const maxLeavingDelay = 3 * time.Second

// leavingWatchTime is how long after maxLeavingDelay the target is watched for
// new requests.
const leavingWatchTime = 1500 * time.Millisecond

// startLeavingFleet starts a fleet with two engines under load, of which
// engine-1 is to leave.
func startLeavingFleet(t *testing.T) (*fleet, *traffic) {
	f := startFleet(t, options{})
	tr := f.startTraffic(12, mixedRequests("leaving"))
	tr.awaitAnswered(f, 50)
	f.eventually("engine-1 has work", func() bool { return f.startsAfter("engine-1", time.Time{}) > 10 })
	return f, tr
}

// startsAfter counts the requests that a target received or started after a
// time.
func (f *fleet) startsAfter(target string, after time.Time) int {
	f.t.Helper()
	count := 0
	for _, e := range f.entries(target) {
		if (isStart(e) || e.Event == journal.Received) && e.Wall.After(after) {
			count++
		}
	}
	return count
}

// checkLeft watches a target that began to leave at a given time, while the
// other engine continues to serve. The target may get nothing later than
// maxLeavingDelay after that time, and no request may be cut.
func (f *fleet) checkLeft(target string, leavingSince time.Time, tr *traffic) {
	f.t.Helper()
	deadline := leavingSince.Add(maxLeavingDelay)
	time.Sleep(time.Until(deadline.Add(leavingWatchTime)))
	if late := f.startsAfter(target, deadline); late > 0 {
		f.t.Errorf("%s got %d new requests later than %s after it began to leave", target, late, maxLeavingDelay)
	}
	if other := f.startsAfter("engine-2", deadline); other == 0 {
		f.t.Error("the other engine got no requests either, so the test proves nothing")
	}
	tr.stop()
	f.t.Logf("%v", tr.results)
	f.checkResults(tr.results.list())
	if broken := tr.results.countVerdict(load.Broken); broken > 0 {
		f.t.Errorf("%d requests were cut", broken)
	}
}

// leavingPatch returns the changes that declare engine-1 leaving.
func leavingPatch() any {
	return json.RawMessage(`{"targets":{"engine-1":{"leaving":true}}}`)
}

// TestLeavingByDeclaration guards against requests to a target that operators
// declared leaving.
func TestLeavingByDeclaration(t *testing.T) {
	t.Parallel()
	f, tr := startLeavingFleet(t)
	f.mustPatch(0, leavingPatch())
	f.checkLeft("engine-1", time.Now(), tr)
}

// TestLeavingByLoadReport guards against requests to a target that announces in
// its load reports that it leaves.
func TestLeavingByLoadReport(t *testing.T) {
	t.Parallel()
	f, tr := startLeavingFleet(t)
	f.setTargetFaults("engine-1", engine.Faults{Leaving: true})
	f.checkLeft("engine-1", time.Now(), tr)
}

// TestLeavingByLoadReportWhileCutOff lets the target announce that it leaves
// while the scheduling router is cut off from the other routers and from the
// platform.
func TestLeavingByLoadReportWhileCutOff(t *testing.T) {
	t.Parallel()
	f, tr := startLeavingFleet(t)
	scheduler := max(f.scheduler(enginePool, 0, 1, 2), 0)
	f.isolate(scheduler)
	f.platformProxies[scheduler].Cut()
	tr.awaitAnswered(f, 50)
	f.setTargetFaults("engine-1", engine.Faults{Leaving: true})
	f.checkLeft("engine-1", time.Now(), tr)
}

// TestLeavingByDeclarationWhileCutOff cuts the scheduling router off from the
// other routers, and declares the target leaving at another router. The
// scheduler can learn it only from the store.
func TestLeavingByDeclarationWhileCutOff(t *testing.T) {
	t.Parallel()
	f, tr := startLeavingFleet(t)
	scheduler := max(f.scheduler(enginePool, 0, 1, 2), 0)
	f.isolate(scheduler)
	tr.awaitAnswered(f, 50)
	f.mustPatch(otherRouters(scheduler)[0], leavingPatch())
	f.checkLeft("engine-1", time.Now(), tr)
}

// TestLeavingByDeclarationWhileTheStoreIsOut makes the store fail right after
// the version was accepted. The other routers can learn it only from their
// peers.
func TestLeavingByDeclarationWhileTheStoreIsOut(t *testing.T) {
	t.Parallel()
	f, tr := startLeavingFleet(t)
	for _, n := range otherRouters(0) {
		f.platformProxies[n].Cut()
	}
	f.mustPatch(0, leavingPatch())
	leavingSince := time.Now()
	f.setPlatformFaults(standin.Faults{Outage: standin.OutageDrop})
	f.checkLeft("engine-1", leavingSince, tr)
}
