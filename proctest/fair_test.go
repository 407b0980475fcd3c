package proctest

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/load"
	"github.com/walnutcove/walnutcove/standin/journal"
)

// The fairness test's fleet and its phases.
const (
	fairSlots  = 4
	fairTokens = 20
	// fairPhase is the length of the intervals over which the gap is judged.
	fairPhase = 5 * time.Second
	// partitionPhase is the length of the partition.
	partitionPhase = 3 * time.Second
	// settlePhase is left out after the start and after the partition.
	settlePhase = 1500 * time.Millisecond
	// gapMargin widens the bound of the gap, for a busy machine.
	gapMargin = 1.5
	// starvedPart is the least part of its fair share that a workspace must
	// get while routers are cut off from one another.
	starvedPart = 0.25
)

var fairShares = map[string]float64{"flood": 1, "calm": 1, "far": 1, "large": 4}

// TestFairAcrossAPartition floods the fleet with one workspace through one
// router, while three others wait at the other routers all the time, in two
// data centres. Before a partition and after it the gap in service stays within
// its bound; in every second, also during the partition, every workspace is
// served.
func TestFairAcrossAPartition(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{
		engineSlots: fairSlots,
		workspaces:  fairShares,
		maxQueued:   64,
		dataCentres: [routerCount]string{"ikeja", "lekki", "ikeja"},
	})
	var loads []*traffic
	start := func(workspace string, callers int, routers ...int) {
		loads = append(loads, f.startTraffic(callers, streamsOf(workspace), routers...))
	}
	start("flood", 80, 0)
	start("calm", 24, 2)
	start("far", 24, 1)
	start("large", 24, 1, 2)
	for _, tr := range loads {
		tr.more(f, 10)
	}
	time.Sleep(settlePhase)
	whole := phaseFrom(fairPhase)
	time.Sleep(fairPhase)
	cut := phaseFrom(partitionPhase)
	f.isolate(1)
	time.Sleep(partitionPhase)
	f.rejoin(1)
	f.awaitSettled()
	time.Sleep(settlePhase)
	rejoined := phaseFrom(fairPhase)
	time.Sleep(fairPhase)
	var all []load.Result
	for _, tr := range loads {
		tr.cancel()
	}
	for _, tr := range loads {
		tr.stop()
		all = append(all, tr.results.list()...)
	}
	runs := f.runs(all)
	f.judgeGap("before the partition", runs, whole)
	f.judgeServed("before the partition", runs, whole, 0)
	f.judgeServed("during the partition", runs, cut, starvedPart)
	f.judgeServed("after the partition", runs, rejoined, 0)
	f.judgeGap("after the partition", runs, rejoined)
	f.judge(all)
}

func streamsOf(workspace string) func(int, *rand.Rand) load.Request {
	return func(n int, _ *rand.Rand) load.Request {
		return request(load.Stream, workspace, fmt.Sprintf("%s-%d", workspace, n), fairTokens)
	}
}

// phase is an interval.
type phase struct{ from, to time.Time }

func phaseFrom(length time.Duration) phase {
	now := time.Now()
	return phase{now, now.Add(length)}
}

// targetRun is one run on a target by the target's journal.
type targetRun struct {
	workspace string
	phase
}

// runs pairs the beginnings and ends of runs. The callers' results tell whose
// each request was; one that no caller knows (its head never came) is left out.
func (f *fleet) runs(all []load.Result) []targetRun {
	f.t.Helper()
	workspaces := make(map[string]string)
	for _, r := range all {
		workspaces[r.RequestID] = r.Request.Workspace
	}
	type id struct {
		target string
		run    uint64
	}
	began := make(map[id]time.Time)
	var runs []targetRun
	for _, e := range f.entries() {
		key := id{e.Target, e.Run}
		switch {
		case e.Event == journal.Started || e.Event == journal.Resumed:
			began[key] = e.Wall
		case e.Event == journal.Ended && !began[key].IsZero() && workspaces[e.RequestID] != "":
			runs = append(runs, targetRun{workspaces[e.RequestID], phase{began[key], e.Wall}})
		}
	}
	return runs
}

// service sums the slot time that each workspace received in an interval.
func service(runs []targetRun, within phase) map[string]time.Duration {
	received := make(map[string]time.Duration)
	for _, r := range runs {
		from, to := r.from, r.to
		if from.Before(within.from) {
			from = within.from
		}
		if to.After(within.to) {
			to = within.to
		}
		if to.After(from) {
			received[r.workspace] += to.Sub(from)
		}
	}
	return received
}

// judgeGap fails if the largest difference of service divided by share is over
// the bound that package control states, widened by gapMargin.
func (f *fleet) judgeGap(when string, runs []targetRun, within phase) {
	f.t.Helper()
	received := service(runs, within)
	least, most := math.Inf(1), 0.0
	for name, share := range fairShares {
		normalised := received[name].Seconds() / share
		least, most = min(least, normalised), max(most, normalised)
	}
	limit := gapMargin * f.gapBound()
	f.t.Logf("%s: received %v, gap %.2f slot seconds per share, limit %.2f", when, received, most-least, limit)
	if most-least > limit {
		f.t.Errorf("%s the gap is %.2f slot seconds per share, over %.2f", when, most-least, limit)
	}
}

// gapBound is the bound of the gap between two workspaces of share 1; see the
// comment of package control.
func (f *fleet) gapBound() float64 {
	const messageTime = 0.01 // seconds; generous on loopback
	slots := float64(f.options.engines * f.options.engineSlots)
	longest := 2 * fairTokens * f.options.step.Seconds()
	exchange := time.Duration(f.routers[0].Settings.Scheduling.ExchangeEvery).Seconds()
	return 2*slots*longest + slots*(exchange+exchange/5+messageTime)
}

// judgeServed fails if a workspace was not served in any second of an interval,
// or received less than a part of its fair share of the interval.
func (f *fleet) judgeServed(when string, runs []targetRun, within phase, part float64) {
	f.t.Helper()
	for from := within.from; from.Add(time.Second).Before(within.to); from = from.Add(time.Second) {
		received := service(runs, phase{from, from.Add(time.Second)})
		for name := range fairShares {
			if received[name] == 0 {
				f.t.Errorf("%s %s was not served for a second", when, name)
			}
		}
	}
	received := service(runs, within)
	f.t.Logf("%s: received %v", when, received)
	shares, total := 0.0, 0.0
	for name, share := range fairShares {
		shares += share
		total += received[name].Seconds()
	}
	for name, share := range fairShares {
		fair := total * share / shares
		if received[name].Seconds() < part*fair {
			f.t.Errorf("%s %s received %s, under %.2f of its fair %.2f s", when, name, received[name], part, fair)
		}
	}
}
