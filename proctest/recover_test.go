package proctest

import (
	"testing"

	"github.com/walnutcove/walnutcove/result"
	"github.com/walnutcove/walnutcove/standin/engine"
)

// TestTargetsThatRefusedServeAgain guards against excluding targets for good
// after they refused requests. Every target refuses, while its load reports
// continue, until callers are told that no target serves. Once the targets serve
// again, requests must be answered again.
func TestTargetsThatRefusedServeAgain(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{})
	tr := f.startTraffic(10, mixedRequests("again"))
	tr.awaitAnswered(f, 50)
	f.forEachTarget(func(name string) { f.setTargetFaults(name, engine.Faults{Refuse: true}) })
	tr.awaitResults(f, "refused because no target serves", 200, refusedWith(result.NoTarget))
	f.forEachTarget(func(name string) { f.setTargetFaults(name, engine.Faults{}) })
	tr.awaitAnswered(f, 50)
	tr.stop()
	f.checkResults(tr.results.list())
}
