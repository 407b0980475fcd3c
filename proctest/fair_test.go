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
	// fairSlots is the number of slots of each engine, fairTokens the length of
	// each stream in tokens.
	fairSlots  = 4
	fairTokens = 20
	// gapInterval is the length of the intervals over which the gap is checked.
	gapInterval = 5 * time.Second
	// partitionTime is the length of the partition.
	partitionTime = 3 * time.Second
	// settleTime is left out of the checks after the start and after the
	// partition.
	settleTime = 1500 * time.Millisecond
	// gapMargin is the factor by which the bound of the gap is widened, for a
	// busy machine.
	gapMargin = 1.5
	// minPartWhilePartitioned is the least part of its fair share that a
	// workspace must get while routers are cut off from one another.
	minPartWhilePartitioned = 0.25
)

var fairShares = map[string]float64{"flood": 1, "calm": 1, "far": 1, "large": 4}

// TestFairAcrossAPartition guards against a workspace that is starved by
// another one, also while routers cannot reach each other. One workspace floods
// the fleet through one router, while three others have requests waiting at the
// other routers all the time, in two data centres. Before and after a partition
// the gap in service must stay within its bound; every workspace must be served
// in every second, also during the partition.
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
		tr.awaitAnswered(f, 10)
	}
	time.Sleep(settleTime)
	beforePartition := intervalFromNow(gapInterval)
	time.Sleep(gapInterval)
	duringPartition := intervalFromNow(partitionTime)
	f.isolate(1)
	time.Sleep(partitionTime)
	f.rejoin(1)
	f.awaitSettled()
	time.Sleep(settleTime)
	afterPartition := intervalFromNow(gapInterval)
	time.Sleep(gapInterval)
	var all []load.Result
	for _, tr := range loads {
		tr.cancel()
	}
	for _, tr := range loads {
		tr.stop()
		all = append(all, tr.results.list()...)
	}
	runs := f.runs(all)
	f.checkGap("before the partition", runs, beforePartition)
	f.checkServed("before the partition", runs, beforePartition, 0)
	f.checkServed("during the partition", runs, duringPartition, minPartWhilePartitioned)
	f.checkServed("after the partition", runs, afterPartition, 0)
	f.checkGap("after the partition", runs, afterPartition)
	f.checkResults(all)
}

func streamsOf(workspace string) func(int, *rand.Rand) load.Request {
	return func(n int, _ *rand.Rand) load.Request {
		return request(load.Stream, workspace, fmt.Sprintf("%s-%d", workspace, n), fairTokens)
	}
}

// interval is a span of time.
type interval struct{ from, to time.Time }

func intervalFromNow(length time.Duration) interval {
	now := time.Now()
	return interval{now, now.Add(length)}
}

// targetRun is one run on a target, as recorded in the target's journal.
type targetRun struct {
	workspace string
	interval
}

// runs pairs the starts and ends of runs in the journals. The callers' results
// give the workspace of each request; a request that no caller knows, because
// the headers of its answer never arrived, is left out.
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
			runs = append(runs, targetRun{workspaces[e.RequestID], interval{began[key], e.Wall}})
		}
	}
	return runs
}

// slotTimeByWorkspace sums the slot time that each workspace received in an
// interval.
func slotTimeByWorkspace(runs []targetRun, within interval) map[string]time.Duration {
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

// checkGap fails if the largest difference of service divided by share exceeds
// the bound that package control states, multiplied by gapMargin.
func (f *fleet) checkGap(when string, runs []targetRun, within interval) {
	f.t.Helper()
	received := slotTimeByWorkspace(runs, within)
	lowest, highest := math.Inf(1), 0.0
	for name, share := range fairShares {
		normalised := received[name].Seconds() / share
		lowest, highest = min(lowest, normalised), max(highest, normalised)
	}
	limit := gapMargin * f.gapBound()
	f.t.Logf("%s: received %v, gap %.2f slot seconds per share, limit %.2f", when, received, highest-lowest, limit)
	if highest-lowest > limit {
		f.t.Errorf("%s: the gap is %.2f slot seconds per share, over %.2f", when, highest-lowest, limit)
	}
}

// gapBound returns the bound of the gap between two workspaces of share 1, in
// slot seconds; see the comment of package control.
func (f *fleet) gapBound() float64 {
	const messageSeconds = 0.01 // generous on loopback
	slots := float64(f.options.engines * f.options.engineSlots)
	longestRunSeconds := 2 * fairTokens * f.options.tokenTime.Seconds()
	exchangeSeconds := time.Duration(f.routers[0].Settings.Scheduling.ExchangeEvery).Seconds()
	return 2*slots*longestRunSeconds + slots*(exchangeSeconds+exchangeSeconds/5+messageSeconds)
}

// checkServed fails if a workspace was not served for a whole second of an
// interval, or received less than minPart of its fair share of the interval.
func (f *fleet) checkServed(when string, runs []targetRun, within interval, minPart float64) {
	f.t.Helper()
	for from := within.from; from.Add(time.Second).Before(within.to); from = from.Add(time.Second) {
		received := slotTimeByWorkspace(runs, interval{from, from.Add(time.Second)})
		for name := range fairShares {
			if received[name] == 0 {
				f.t.Errorf("%s: workspace %s was not served for a second", when, name)
			}
		}
	}
	received := slotTimeByWorkspace(runs, within)
	f.t.Logf("%s: received %v", when, received)
	shares, total := 0.0, 0.0
	for name, share := range fairShares {
		shares += share
		total += received[name].Seconds()
	}
	for name, share := range fairShares {
		fair := total * share / shares
		if received[name].Seconds() < minPart*fair {
			f.t.Errorf("%s: workspace %s received %s, less than %.2f of its fair share of %.2f s", when, name, received[name], minPart, fair)
		}
	}
}
