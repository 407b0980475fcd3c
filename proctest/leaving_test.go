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

// leaveWithin is how long a leaving target may still get new work.
const leaveWithin = 3 * time.Second

// watchLeaving is how long after that the target is watched for new work.
const watchLeaving = 1500 * time.Millisecond

// leavingFleet is a fleet with two engines under load, of which engine-1 leaves.
func leavingFleet(t *testing.T) (*fleet, *traffic) {
	f := startFleet(t, options{})
	tr := f.startTraffic(12, mixed("leaving"))
	tr.more(f, 50)
	f.eventually("engine-1 has work", func() bool { return f.startsAfter("engine-1", time.Time{}) > 10 })
	return f, tr
}

// startsAfter counts what a target started or received after a time.
func (f *fleet) startsAfter(target string, after time.Time) int {
	f.t.Helper()
	count := 0
	for _, e := range f.entries(target) {
		if (started(e) || e.Event == journal.Received) && e.Wall.After(after) {
			count++
		}
	}
	return count
}

// judgeLeft watches a target that was told to leave at a time, while the other
// engine goes on serving. It may get nothing after leaveWithin.
func (f *fleet) judgeLeft(target string, left time.Time, tr *traffic) {
	f.t.Helper()
	deadline := left.Add(leaveWithin)
	time.Sleep(time.Until(deadline.Add(watchLeaving)))
	if late := f.startsAfter(target, deadline); late > 0 {
		f.t.Errorf("%s got %d new requests later than %s after it began to leave", target, late, leaveWithin)
	}
	if other := f.startsAfter("engine-2", deadline); other == 0 {
		f.t.Error("the other engine got nothing either: the test shows nothing")
	}
	tr.stop()
	f.t.Logf("%v", tr.results)
	f.judge(tr.results.list())
	if broken := tr.results.verdicts(load.Broken); broken > 0 {
		f.t.Errorf("%d requests were cut", broken)
	}
}

// leave declares engine-1 leaving.
func leave() any {
	return json.RawMessage(`{"targets":{"engine-1":{"leaving":true}}}`)
}

// TestLeavingByDeclaration declares a target leaving.
func TestLeavingByDeclaration(t *testing.T) {
	t.Parallel()
	f, tr := leavingFleet(t)
	f.mustPatch(0, leave())
	f.judgeLeft("engine-1", time.Now(), tr)
}

// TestLeavingByLoadReport lets the target announce itself that it leaves.
func TestLeavingByLoadReport(t *testing.T) {
	t.Parallel()
	f, tr := leavingFleet(t)
	f.targetFaults("engine-1", engine.Faults{Leaving: true})
	f.judgeLeft("engine-1", time.Now(), tr)
}

// TestLeavingByLoadReportAlone cuts the scheduling router from the other
// routers and from the platform, and lets the target announce that it leaves.
func TestLeavingByLoadReportAlone(t *testing.T) {
	t.Parallel()
	f, tr := leavingFleet(t)
	scheduler := max(f.scheduler(enginePool, 0, 1, 2), 0)
	f.isolate(scheduler)
	f.platformWays[scheduler].Cut()
	tr.more(f, 50)
	f.targetFaults("engine-1", engine.Faults{Leaving: true})
	f.judgeLeft("engine-1", time.Now(), tr)
}

// TestLeavingByDeclarationWhileCutOff cuts the scheduling router from the other
// routers, and declares the target leaving at another. The scheduler has only
// the store to learn it from.
func TestLeavingByDeclarationWhileCutOff(t *testing.T) {
	t.Parallel()
	f, tr := leavingFleet(t)
	scheduler := max(f.scheduler(enginePool, 0, 1, 2), 0)
	f.isolate(scheduler)
	tr.more(f, 50)
	f.mustPatch(others(scheduler)[0], leave())
	f.judgeLeft("engine-1", time.Now(), tr)
}

// TestLeavingByDeclarationWhileTheStoreIsOut takes the store away right after
// the version was accepted. The routers have only one another to learn it from.
func TestLeavingByDeclarationWhileTheStoreIsOut(t *testing.T) {
	t.Parallel()
	f, tr := leavingFleet(t)
	for _, n := range others(0) {
		f.platformWays[n].Cut()
	}
	f.mustPatch(0, leave())
	left := time.Now()
	f.platformFaults(standin.Faults{Outage: standin.OutageDrop})
	f.judgeLeft("engine-1", left, tr)
}
