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
	standin "github.com/walnutcove/walnutcove/standin/platform"
)

// TestNotRunUnderFaults injects one fault after another under load: targets
// that refuse, and connections to targets that are cut or hold data back. No
// request that was refused as not run may be recorded as started in a target's
// journal.
func TestNotRunUnderFaults(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{})
	tr := f.startTraffic(30, mixedRequests("notrun"))
	tr.awaitAnswered(f, 100)

	f.note("every target refuses some requests")
	for range 3 {
		f.forEachTarget(func(name string) { f.setTargetFaults(name, engine.Faults{Refuse: true, Times: 8}) })
		tr.awaitResults(f, "refused as not run", 1, notRun)
		tr.awaitAnswered(f, 50)
	}
	f.note("the connections to the targets are cut while requests run")
	for range 4 {
		f.cutTargets()
		tr.awaitResults(f, "not answered", 2, notAnswered)
		f.healTargets()
		tr.awaitAnswered(f, 50)
	}
	for _, direction := range []processes.Direction{processes.Upstream, processes.Downstream} {
		f.note("all data in direction %s is held back, and then the connections are cut", direction)
		for range 2 {
			f.forEachTarget(func(name string) { f.targetProxies[name].hold(direction) })
			f.pauseBriefly()
			f.cutTargets()
			tr.awaitResults(f, "not answered", 2, notAnswered)
			f.healTargets()
			tr.awaitAnswered(f, 50)
		}
	}
	f.note("the targets are cut off until callers are told that none serves")
	f.cutTargets()
	tr.awaitResults(f, "refused because no target serves", 50, refusedWith(result.NoTarget))
	f.healTargets()
	tr.awaitAnswered(f, 50)
	tr.stop()
	t.Logf("%v", tr.results)
	f.checkResults(tr.results.list())
}

// TestNotRunWhileTheStoreIsOut lets callers send non-idempotent requests during
// each kind of platform outage. A refused request must never run.
func TestNotRunWhileTheStoreIsOut(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{})
	// A few callers with longer calls stay within the routers' write budget, so
	// that requests are refused only because of the outages.
	tr := f.startTraffic(4, func(n int, _ *rand.Rand) load.Request {
		return request(load.Service, "bakery", fmt.Sprintf("out-%d", n), 20)
	})
	tr.awaitAnswered(f, 20)
	unavailable := refusedWith(result.RecordUnavailable)
	if early := tr.results.count(unavailable); early > 0 {
		t.Fatalf("%d requests were refused before any outage", early)
	}
	for _, outage := range []standin.Outage{standin.OutageRefuse, standin.OutageDrop, standin.OutageHang, standin.OutageFreeze} {
		f.setPlatformFaults(standin.Faults{Outage: outage})
		tr.awaitResults(f, "refused", 8, unavailable)
		f.setPlatformFaults(standin.Faults{})
		tr.awaitAnswered(f, 20)
	}
	tr.stop()
	t.Logf("%v", tr.results)
	f.checkResults(tr.results.list())
}

// TestNotRunAfterTargetsCrash guards against refusing requests as not run that
// ran on a target that crashed. It crashes targets several times by a request,
// while other requests run.
func TestNotRunAfterTargetsCrash(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{})
	tr := f.startTraffic(30, mixedRequests("crash"))
	tr.awaitAnswered(f, 50)
	for n, kind := range []load.Kind{load.NonStreaming, load.Service, load.Stream} {
		mark := "boom" + string(rune('a'+n))
		f.forEachTarget(func(name string) { f.setTargetFaults(name, engine.Faults{Poison: mark, DowntimeMillis: 300}) })
		client := load.NewClient(testTimeout)
		tr.results.add(client.Send(f.callersAddresses()[n], request(kind, "school", mark, 5)))
		client.Close()
		tr.awaitAnswered(f, 50)
	}
	tr.stop()
	t.Logf("%v", tr.results)
	crashed := 0
	for _, e := range f.entries() {
		if e.Outcome == "crashed" {
			crashed++
		}
	}
	if crashed == 0 {
		t.Error("no run ended in a crash, so the test proves nothing")
	}
	f.checkResults(tr.results.list())
}

// TestNotRunOfARetriedRequest cuts off the target of an idempotent request after
// the request began to run. No further attempt is possible, because all targets
// are cut off, so the caller is refused; it must not be told that the request
// did not run.
func TestNotRunOfARetriedRequest(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{tokenTime: 20 * time.Millisecond})
	for _, kind := range []load.Kind{load.NonStreaming, load.Stream} {
		t.Run(kind.String(), func(t *testing.T) {
			tries := 0
			f.eventually("the engines serve", func() bool {
				tries++
				mark := fmt.Sprintf("before-%s-%d", kind, tries)
				return (<-f.sendAsync(0, request(load.NonStreaming, "bakery", mark, 1))).Verdict == load.Answered
			})
			// The engines send no token, so that the caller gets no part of the
			// answer.
			f.forEachEngine(func(name string) { f.setTargetFaults(name, engine.Faults{Hang: true, Times: 1}) })
			mark := "retried-" + kind.String()
			outcome := f.sendAsync(0, request(kind, "bakery", mark, 5))
			target := f.awaitStart(mark, "engine-1", "engine-2")
			f.note("%s began to run on %s", mark, target)
			f.forEachEngine(func(name string) {
				if name != target {
					f.targetProxies[name].Cut()
				}
			})
			f.targetProxies[target].Cut()
			got := <-outcome
			t.Logf("code %d, ran=%s: %s", got.Code, got.Ran, got.Detail)
			if got.Verdict == load.Answered {
				t.Fatalf("the request was answered")
			}
			f.forEachEngine(func(name string) {
				f.setTargetFaults(name, engine.Faults{})
				f.targetProxies[name].heal()
			})
			f.checkResults([]load.Result{got})
		})
	}
}

func (f *fleet) cutTargets() { f.forEachTarget(func(name string) { f.targetProxies[name].Cut() }) }

func (f *fleet) healTargets() { f.forEachTarget(func(name string) { f.targetProxies[name].heal() }) }

// refusedWith returns a predicate for refusals with a result code.
func refusedWith(code result.Code) func(load.Result) bool {
	return func(r load.Result) bool { return r.Verdict == load.Refused && r.Code == int(code) }
}

func notAnswered(r load.Result) bool { return r.Verdict != load.Answered }

// pauseBriefly lets some requests run into a fault. No check depends on the
// length of the pause.
func (f *fleet) pauseBriefly() { time.Sleep(300 * time.Millisecond) }

func (f *fleet) forEachTarget(do func(name string)) {
	for name := range f.targets {
		do(name)
	}
}

func (f *fleet) forEachEngine(do func(name string)) {
	for name, declared := range f.declared {
		if declared.Pool == enginePool {
			do(name)
		}
	}
}

// sendAsync sends a request in the background. The channel gets its result.
func (f *fleet) sendAsync(router int, r load.Request) <-chan load.Result {
	outcome := make(chan load.Result, 1)
	address := f.callersAddresses(router)[0]
	go func() {
		client := load.NewClient(testTimeout)
		defer client.Close()
		outcome <- client.Send(address, r)
	}()
	return outcome
}

// awaitStart waits until a run is in progress on one of the targets, and returns
// that target. No other run may be in progress on them.
func (f *fleet) awaitStart(what string, names ...string) string {
	f.t.Helper()
	target := ""
	f.eventually(what+" runs on a target", func() bool {
		for _, name := range names {
			running := 0
			for _, e := range f.entries(name) {
				switch e.Event {
				case "started", "resumed":
					running++
				case "ended":
					running--
				}
			}
			if running > 0 {
				target = name
				return true
			}
		}
		return false
	})
	return target
}
