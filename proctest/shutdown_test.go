package proctest

import (
	"os/exec"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/daemon"
	"github.com/walnutcove/walnutcove/load"
	"github.com/walnutcove/walnutcove/standin/engine"
)

// draining is what a router prints when its graceful shutdown begins.
const draining = "router: Draining."

// TestShutdownCutsNothing shuts routers down gracefully under full load: first
// one that does not schedule, then, after its restart, the one that does. No
// caller of any router sees a request cut, and what is refused did not run.
func TestShutdownCutsNothing(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{step: 5 * time.Millisecond})
	tr := f.startTraffic(60, mixed("shutdown"))
	tr.more(f, 100)
	scheduler := f.scheduler(enginePool, 0, 1, 2)
	for _, n := range []int{others(scheduler)[0], scheduler} {
		long := f.send(n, request(load.Stream, "bakery", "long-"+routerName(n), 300))
		tr.more(f, 50)
		f.note("terminate %s", routerName(n))
		f.must(f.routers[n].Terminate())
		f.exitsWith(n, daemon.ExitOK)
		if got := <-long; got.Verdict != load.Answered {
			t.Errorf("the stream in progress at %s: %s, code %d %s", routerName(n), got.Verdict, got.Code, got.Detail)
		}
		tr.more(f, 50)
		f.restart(n)
		f.awaitVersion(n)
		tr.more(f, 50)
	}
	tr.stop()
	t.Logf("%v", tr.results)
	f.judgeUncut(tr.results)
}

// TestShutdownByOperator drains a router through walnutctl, asked at another.
func TestShutdownByOperator(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{})
	tr := f.startTraffic(30, mixed("drain"))
	tr.more(f, 100)
	at := f.routers[1].Settings.Listen.Operators
	out, err := exec.Command(binaries.Walnutctl, "drain", routerName(0), "--router", at).CombinedOutput()
	if err != nil {
		t.Fatalf("walnutctl drain: %v\n%s", err, out)
	}
	f.exitsWith(0, daemon.ExitOK)
	tr.more(f, 50)
	tr.stop()
	t.Logf("%v", tr.results)
	f.judgeUncut(tr.results)
}

// TestShutdownIsCutByASecondSignal lets a request hang, so that the shutdown
// cannot end, and sends a second signal: the router ends at once, and its
// caller does not take half an answer for a whole one.
func TestShutdownIsCutByASecondSignal(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{})
	f.everyEngine(func(name string) { f.targetFaults(name, engine.Faults{HangAfterTokens: 3}) })
	hanging := f.send(0, request(load.Stream, "bakery", "hanging", 10))
	f.awaitStart("the stream", "engine-1", "engine-2")
	f.must(f.routers[0].Terminate())
	_, err := f.routers[0].WaitLine(draining)
	f.must(err)
	select {
	case <-f.routers[0].Exited():
		t.Fatal("the router ended while a request was in progress")
	case <-time.After(500 * time.Millisecond): // only lets a hasty end show
	}
	f.must(f.routers[0].Terminate())
	f.exitsWith(0, daemon.ExitFailed)
	got := <-hanging
	t.Logf("the hanging request: %s, code %d, ran=%s", got.Verdict, got.Code, got.Ran)
	if got.Verdict == load.Answered {
		t.Error("half an answer was taken for a whole one")
	}
	f.judge([]load.Result{got})
}

// exitsWith waits for a router's end and compares its exit code.
func (f *fleet) exitsWith(n, code int) {
	f.t.Helper()
	got, err := f.routers[n].Wait(testTimeout)
	f.must(err)
	if got != code {
		f.t.Errorf("%s ended with exit code %d, want %d", routerName(n), got, code)
	}
}

// judgeUncut fails for every request that was cut, or refused although it may
// have run.
func (f *fleet) judgeUncut(all *results) {
	f.t.Helper()
	for _, r := range all.list() {
		cut := r.Verdict == load.Broken || (r.Verdict == load.Refused && r.Ran != ranNo)
		if cut {
			f.t.Errorf("request %s (%s) at %s was cut after %s: %s, code %d %s",
				r.RequestID, r.Request.Mark, r.Router, r.End.Sub(r.Start), r.Verdict, r.Code, r.Detail)
		}
	}
	f.judge(all.list())
}
