package proctest

import (
	"os/exec"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/daemon"
	"github.com/walnutcove/walnutcove/load"
	"github.com/walnutcove/walnutcove/standin/engine"
)

// draining is the line that a router prints when its graceful shutdown begins.
const draining = "router: Draining."

// TestShutdownCutsNothing guards against requests that are cut by a graceful
// shutdown under full load. It shuts down a router that does not schedule and,
// after its restart, the one that does. No caller of any router may see a
// request cut, and a refused request must not have run.
func TestShutdownCutsNothing(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{tokenTime: 5 * time.Millisecond})
	tr := f.startTraffic(60, mixedRequests("shutdown"))
	tr.awaitAnswered(f, 100)
	scheduler := f.scheduler(enginePool, 0, 1, 2)
	for _, n := range []int{otherRouters(scheduler)[0], scheduler} {
		long := f.sendAsync(n, request(load.Stream, "bakery", "long-"+routerName(n), 300))
		tr.awaitAnswered(f, 50)
		f.note("terminate %s", routerName(n))
		f.must(f.routers[n].Terminate())
		f.exitsWith(n, daemon.ExitOK)
		if got := <-long; got.Verdict != load.Answered {
			t.Errorf("the stream in progress at %s: %s, code %d %s", routerName(n), got.Verdict, got.Code, got.Detail)
		}
		tr.awaitAnswered(f, 50)
		f.restart(n)
		f.awaitVersion(n)
		tr.awaitAnswered(f, 50)
	}
	tr.stop()
	t.Logf("%v", tr.results)
	f.checkNoneCut(tr.results)
}

// TestShutdownByOperator drains a router with walnutctl through another router.
func TestShutdownByOperator(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{})
	tr := f.startTraffic(30, mixedRequests("drain"))
	tr.awaitAnswered(f, 100)
	at := f.routers[1].Settings.Listen.Operators
	out, err := exec.Command(binaries.Walnutctl, "drain", routerName(0), "--router", at).CombinedOutput()
	if err != nil {
		t.Fatalf("walnutctl drain: %v\n%s", err, out)
	}
	f.exitsWith(0, daemon.ExitOK)
	tr.awaitAnswered(f, 50)
	tr.stop()
	t.Logf("%v", tr.results)
	f.checkNoneCut(tr.results)
}

// TestShutdownIsCutByASecondSignal lets a request hang, so that the shutdown
// cannot finish, and sends a second signal. The router must exit at once, and
// the caller must not take the partial answer for a complete one.
func TestShutdownIsCutByASecondSignal(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{})
	f.forEachEngine(func(name string) { f.setTargetFaults(name, engine.Faults{HangAfterTokens: 3}) })
	hanging := f.sendAsync(0, request(load.Stream, "bakery", "hanging", 10))
	f.awaitStart("the stream", "engine-1", "engine-2")
	f.must(f.routers[0].Terminate())
	_, err := f.routers[0].WaitLine(draining)
	f.must(err)
	select {
	case <-f.routers[0].Exited():
		t.Fatal("the router exited while a request was in progress")
	case <-time.After(500 * time.Millisecond): // time for a premature exit to show
	}
	f.must(f.routers[0].Terminate())
	f.exitsWith(0, daemon.ExitFailed)
	got := <-hanging
	t.Logf("the hanging request: %s, code %d, ran=%s", got.Verdict, got.Code, got.Ran)
	if got.Verdict == load.Answered {
		t.Error("a partial answer was taken for a complete one")
	}
	f.checkResults([]load.Result{got})
}

// exitsWith waits for a router's process to exit and checks its exit code.
func (f *fleet) exitsWith(n, code int) {
	f.t.Helper()
	got, err := f.routers[n].Wait(testTimeout)
	f.must(err)
	if got != code {
		f.t.Errorf("%s exited with code %d, want %d", routerName(n), got, code)
	}
}

// checkNoneCut fails for every request that was cut, or that was refused
// although it may have run.
func (f *fleet) checkNoneCut(all *results) {
	f.t.Helper()
	for _, r := range all.list() {
		cut := r.Verdict == load.Broken || (r.Verdict == load.Refused && r.Ran != ranNo)
		if cut {
			f.t.Errorf("request %s (%s) at %s was cut after %s: %s, code %d %s",
				r.RequestID, r.Request.Mark, r.Router, r.End.Sub(r.Start), r.Verdict, r.Code, r.Detail)
		}
	}
	f.checkResults(all.list())
}
