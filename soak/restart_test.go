package soak

import (
	"flag"
	"sync"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/platform/wire"
)

var restartFlag = flag.Int("soak.restart", 6, "routers that TestAllRestartAtOnce kills and starts again")

const (
	// restartLimit is how long the whole fleet may take from the start of its
	// processes, with empty memory, until each router serves.
	restartLimit = 3 * time.Second
	// settleTime lets the routers agree on who follows the store.
	settleTime = 3 * time.Second
)

// storeCalls counts the calls to the store.
func (f *fleet) storeCalls() int {
	return f.store.Calls(wire.PathRead) + f.store.Calls(wire.PathChanges) + f.store.Calls(wire.PathTransact)
}

// TestAllRestartAtOnce kills all routers under traffic and starts them again: each
// serves soon, and the store is not stormed.
func TestAllRestartAtOnce(t *testing.T) {
	// mostCalls bounds the calls of a router for its start: its row, two lists of the
	// others, two feeds loaded and followed, and some for those that turn up late.
	const mostCalls = 10
	f := startFleet(t, *restartFlag, soakOptions{})
	j := startJudge(f, "restart")
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
		for !j.serves(r, pathSafe) && time.Since(began) < 2*restartLimit {
			time.Sleep(step)
		}
	}
	took := time.Since(began)
	if took > restartLimit {
		t.Errorf("all routers serve after %s", took)
	}
	time.Sleep(settleTime)
	calls := f.storeCalls() - before
	if calls > mostCalls*len(f.routers) {
		t.Errorf("%d calls to the store for %d routers", calls, len(f.routers))
	}
	quiet := f.storeCalls()
	f.configure()
	time.Sleep(settleTime)
	t.Logf("%d routers serve after %s; %d calls to the store for the start, %d for a change", len(f.routers), took, calls, f.storeCalls()-quiet)
	j.end()
	time.Sleep(quietTime)
	j.judgeRuns()
}
