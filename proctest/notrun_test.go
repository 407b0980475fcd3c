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

// TestNotRunUnderFaults brings about one fault after another under load. No
// request that was refused as not run may ever stand as started in a journal.
func TestNotRunUnderFaults(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{})
	tr := f.startTraffic(30, mixed("notrun"))
	tr.more(f, 100)

	f.note("every target refuses some requests")
	for range 3 {
		f.everyTarget(func(name string) { f.targetFaults(name, engine.Faults{Refuse: true, Times: 8}) })
		tr.until(f, "refused as not run", 1, notRun)
		tr.more(f, 50)
	}
	f.note("the ways to the targets are cut while requests run")
	for range 4 {
		f.cutTargets()
		tr.until(f, "not answered", 2, failed)
		f.healTargets()
		tr.more(f, 50)
	}
	for _, direction := range []processes.Direction{processes.Upstream, processes.Downstream} {
		f.note("everything %s is held on its way, and the way is cut then", direction)
		for range 2 {
			f.everyTarget(func(name string) { f.targetWays[name].hold(direction) })
			f.holdShortly()
			f.cutTargets()
			tr.until(f, "not answered", 2, failed)
			f.healTargets()
			tr.more(f, 50)
		}
	}
	f.note("the targets are cut until callers are told that none serves")
	f.cutTargets()
	tr.until(f, "told that no target serves", 50, hasCode(result.NoTarget))
	f.healTargets()
	tr.more(f, 50)
	tr.stop()
	t.Logf("%v", tr.results)
	f.judge(tr.results.list())
}

// TestNotRunWhileTheStoreIsOut lets callers send non-idempotent requests while
// the platform is out in each of its ways. What is refused never runs.
func TestNotRunWhileTheStoreIsOut(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{})
	// Few callers with longer calls stay within the routers' write budget, so
	// that only the outages can refuse.
	tr := f.startTraffic(4, func(n int, _ *rand.Rand) load.Request {
		return request(load.Service, "bakery", fmt.Sprintf("out-%d", n), 20)
	})
	tr.more(f, 20)
	unavailable := hasCode(result.RecordUnavailable)
	if early := tr.results.count(unavailable); early > 0 {
		t.Fatalf("%d requests were refused before any outage", early)
	}
	for _, outage := range []standin.Outage{standin.OutageRefuse, standin.OutageDrop, standin.OutageHang, standin.OutageFreeze} {
		f.platformFaults(standin.Faults{Outage: outage})
		tr.until(f, "refused", 8, unavailable)
		f.platformFaults(standin.Faults{})
		tr.more(f, 20)
	}
	tr.stop()
	t.Logf("%v", tr.results)
	f.judge(tr.results.list())
}

// TestNotRunAfterTargetsCrash crashes the targets by a request while others
// run, several times.
func TestNotRunAfterTargetsCrash(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{})
	tr := f.startTraffic(30, mixed("crash"))
	tr.more(f, 50)
	for n, kind := range []load.Kind{load.NonStreaming, load.Service, load.Stream} {
		mark := "boom" + string(rune('a'+n))
		f.everyTarget(func(name string) { f.targetFaults(name, engine.Faults{Poison: mark, DowntimeMillis: 300}) })
		client := load.NewClient(testTimeout)
		tr.results.add(client.Send(f.callers()[n], request(kind, "school", mark, 5)))
		client.Close()
		tr.more(f, 50)
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
		t.Error("no run ended by a crash: the test brought nothing about")
	}
	f.judge(tr.results.list())
}

// TestNotRunOfARetriedRequest lets a first target lose an idempotent request
// after it began to run. No later attempt can be made, so the caller is
// refused; it must not be told that the request did not run.
func TestNotRunOfARetriedRequest(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{step: 20 * time.Millisecond})
	for _, kind := range []load.Kind{load.NonStreaming, load.Stream} {
		t.Run(kind.String(), func(t *testing.T) {
			tries := 0
			f.eventually("the engines serve", func() bool {
				tries++
				mark := fmt.Sprintf("before-%s-%d", kind, tries)
				return (<-f.send(0, request(load.NonStreaming, "bakery", mark, 1))).Verdict == load.Answered
			})
			// The engines give no token, so that nothing of the answer is shown.
			f.everyEngine(func(name string) { f.targetFaults(name, engine.Faults{Hang: true, Times: 1}) })
			mark := "retried-" + kind.String()
			outcome := f.send(0, request(kind, "bakery", mark, 5))
			ran := f.awaitStart(mark, "engine-1", "engine-2")
			f.note("%s began to run on %s", mark, ran)
			f.everyEngine(func(name string) {
				if name != ran {
					f.targetWays[name].Cut()
				}
			})
			f.targetWays[ran].Cut()
			got := <-outcome
			t.Logf("code %d, ran=%s: %s", got.Code, got.Ran, got.Detail)
			if got.Verdict == load.Answered {
				t.Fatalf("the request was answered")
			}
			f.everyEngine(func(name string) {
				f.targetFaults(name, engine.Faults{})
				f.targetWays[name].heal()
			})
			f.judge([]load.Result{got})
		})
	}
}

func (f *fleet) cutTargets() { f.everyTarget(func(name string) { f.targetWays[name].Cut() }) }

func (f *fleet) healTargets() { f.everyTarget(func(name string) { f.targetWays[name].heal() }) }

func hasCode(code result.Code) func(load.Result) bool {
	return func(r load.Result) bool { return r.Verdict == load.Refused && r.Code == int(code) }
}

func failed(r load.Result) bool { return r.Verdict != load.Answered }

// holdShortly lets some requests run into a hold. Its length decides nothing.
func (f *fleet) holdShortly() { time.Sleep(300 * time.Millisecond) }

func (f *fleet) everyTarget(do func(name string)) {
	for name := range f.targets {
		do(name)
	}
}

func (f *fleet) everyEngine(do func(name string)) {
	for name, declared := range f.declared {
		if declared.Pool == enginePool {
			do(name)
		}
	}
}

// send sends a request in the background.
func (f *fleet) send(router int, r load.Request) <-chan load.Result {
	outcome := make(chan load.Result, 1)
	address := f.callers(router)[0]
	go func() {
		client := load.NewClient(testTimeout)
		defer client.Close()
		outcome <- client.Send(address, r)
	}()
	return outcome
}

// awaitStart waits until one of the targets, on which nothing else runs, has
// begun another run, and returns the target.
func (f *fleet) awaitStart(what string, names ...string) string {
	f.t.Helper()
	ran := ""
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
				ran = name
				return true
			}
		}
		return false
	})
	return ran
}
