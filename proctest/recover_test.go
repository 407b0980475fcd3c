package proctest

import (
	"testing"

	"github.com/walnutcove/walnutcove/result"
	"github.com/walnutcove/walnutcove/standin/engine"
)

// TestTargetsThatRefusedServeAgain lets every target refuse, with its load
// reports going on, until callers are told that none serves. Once the targets
// serve again, requests must be answered again.
func TestTargetsThatRefusedServeAgain(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{})
	tr := f.startTraffic(10, mixed("again"))
	tr.more(f, 50)
	f.everyTarget(func(name string) { f.targetFaults(name, engine.Faults{Refuse: true}) })
	tr.until(f, "told that no target serves", 200, hasCode(result.NoTarget))
	f.everyTarget(func(name string) { f.targetFaults(name, engine.Faults{}) })
	tr.more(f, 50)
	tr.stop()
	f.judge(tr.results.list())
}
