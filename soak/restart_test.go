package soak

import (
	"flag"
	"sync"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/platform/wire"
)

var restartFlag = flag.Int("soak.restart", 6, "number of routers that TestAllRestartAtOnce kills and starts again")

const (
	// maxRestartTime is how long the fleet may take from the start of its processes,
	// with empty memory, until each router serves.
	maxRestartTime = 3 * time.Second
	// settleTime lets the routers agree on which of them follow the store.
	settleTime = 3 * time.Second
)

// storeCalls counts the calls to the store.
func (f *fleet) storeCalls() int {
	return f.store.Calls(wire.PathRead) + f.store.Calls(wire.PathChanges) + f.store.Calls(wire.PathTransact)
}

// TestAllRestartAtOnce kills all routers under traffic and starts them again. It guards
// against a slow restart and against a burst of calls that overloads the store.
func TestAllRestartAtOnce(t *testing.T) {
	// maxCallsPerRouter limits the calls to the store that a router makes for its start:
	// writing its row, listing the others twice, loading and following two feeds, and some
	// for routers that register late.
	const maxCallsPerRouter = 10
	f := startFleet(t, *restartFlag, soakOptions{})
	c := startChecker(f, "restart")
	time.Sleep(settleTime)
	for _, r := range f.routers {
		r.Kill()
	}
	before := f.storeCalls()
	began := time.Now()
	var starts sync.WaitGroup
	for _, r := range f.routers {
		starts.Go(func() {
			if err := r.Restart(); err != nil {
				t.Error(err)
			}
		})
	}
	starts.Wait()
	if t.Failed() {
		return
	}
	for _, r := range f.routers {
		for !c.serves(r, pathIdempotent) && time.Since(began) < 2*maxRestartTime {
			time.Sleep(pollPause)
		}
	}
	took := time.Since(began)
	if took > maxRestartTime {
		t.Errorf("all routers served only after %s", took)
	}
	time.Sleep(settleTime)
	calls := f.storeCalls() - before
	if calls > maxCallsPerRouter*len(f.routers) {
		t.Errorf("%d calls to the store for %d routers", calls, len(f.routers))
	}
	callsBeforeChange := f.storeCalls()
	f.publishNextVersion()
	time.Sleep(settleTime)
	t.Logf("%d routers served after %s; %d calls to the store for the start, %d for a change", len(f.routers), took, calls, f.storeCalls()-callsBeforeChange)
	c.finish()
	time.Sleep(inFlightTime)
	c.checkRuns()
}
