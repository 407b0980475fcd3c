package loadtest

import (
	"flag"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/control/policy"
)

// large adds the comparisons at 1,000 targets, and all of those at 100, which take minutes.
var large = flag.Bool("large", false, "compare placements at up to 1,000 targets")

// unevenEngines is the load of engines of which a quarter runs at 0.55 of the usual speed and the
// others at 1.2, and which are slow for 15 % of the time. Each gets 20 streams per second on
// average, in waves; at the top of a wave they are about two thirds busy.
func unevenEngines(engines int) Pattern {
	count := float64(engines)
	return Pattern{
		Name: "uneven engines", Routers: 4, Engines: engines, Workspaces: 8,
		Engine: EngineSpec{
			Slots: 12, MemoryTokens: 60_000, StepTime: 3550 * time.Microsecond, StepPerRun: 200 * time.Microsecond,
			PerToken: 26 * time.Microsecond, ChunkTokens: 512, FirstEventDelay: 5 * time.Millisecond,
			ReportInterval: time.Second, ReportLag: 200 * time.Millisecond,
		},
		SlowEvery: 4, SlowFactor: 1 / 0.55, PerSecond: 30_000 * count,
		Kinds: []Kind{
			{Name: "letter", PerSecond: 3.7 * count, Groups: 4, Items: 2 * engines, GroupTokens: 200, ItemTokens: 300, OwnTokens: 900, OutputTokens: 27, Objective: 600 * time.Millisecond, Timeout: 8 * time.Second},
			{Name: "reply", PerSecond: 5.6 * count, Groups: 4, Items: 2 * engines, GroupTokens: 200, ItemTokens: 300, OwnTokens: 600, OutputTokens: 21, Objective: 400 * time.Millisecond, Timeout: 8 * time.Second},
			{Name: "label", PerSecond: 10.7 * count, Groups: 4, Items: 2 * engines, GroupTokens: 100, ItemTokens: 100, OwnTokens: 300, OutputTokens: 2, Objective: 400 * time.Millisecond, Timeout: 2500 * time.Millisecond},
		},
		Uneven: Unevenness{
			Readings: true, UsualFactor: 1 / 1.2, PassingRatio: 0.15, PassingFactor: 2.5, PassingLength: 600 * time.Millisecond,
			FullFactor: 1.3, WaveAmplitude: 0.4,
		},
		Length: 23 * time.Second, WarmUp: time.Second,
	}
}

// unevenPlain is the load of plain targets that are as uneven: 37 requests per second for each, of
// 60 ms of work.
func unevenPlain(targets int) Pattern {
	p := unevenEngines(targets)
	p.Name = "uneven plain targets"
	p.Engine = EngineSpec{Slots: 6, WorkTime: 60 * time.Millisecond, ReportInterval: time.Second}
	p.Kinds = []Kind{{Name: "call", PerSecond: 37 * float64(targets), Groups: 1, Items: 1, OwnTokens: 1000, Objective: 300 * time.Millisecond, Timeout: 1500 * time.Millisecond}}
	return p
}

// even makes the targets of a pattern equally fast. They report that.
func (p Pattern) even() Pattern {
	p.Name = "even" + p.Name[len("uneven"):]
	p.SlowEvery = 0
	p.Uneven = Unevenness{Readings: true, WaveAmplitude: p.Uneven.WaveAmplitude}
	return p
}

// crashing makes the slow quarter of a pattern crash.
func (p Pattern) crashing() Pattern {
	p.Name += ", slow quarter crashes"
	p.Uneven.CrashSlow, p.StallAt, p.CrashFor = true, 8*time.Second, 2*time.Second
	return p
}

// overloaded raises the load of a pattern until the tops of the waves exceed the capacity.
func (p Pattern) overloaded() Pattern {
	p = p.scaled(1.7)
	p.Name += ", overloaded"
	return p
}

// lastingReported makes the readings contain the lasting speeds.
func (p Pattern) lastingReported() Pattern {
	p.Name += ", lasting speed reported"
	p.Uneven.ReadingsHaveLasting = true
	return p
}

var placements = []Placement{PlacementToday, PlacementLeast, PlacementTwo, PlacementOracle, PlacementNew}

// comparePlacements simulates a pattern with each placement and several seeds.
func comparePlacements(p Pattern, seeds int) map[Placement]*Result {
	results := make(map[Placement]*Result)
	parallel := make(chan struct{}, 4)
	var running sync.WaitGroup
	var mu sync.Mutex
	for _, placement := range placements {
		sum := &Result{Workspaces: make(map[string]WorkspaceResult)}
		results[placement] = sum
		for seed := range seeds {
			running.Go(func() {
				parallel <- struct{}{}
				defer func() { <-parallel }()
				p := p
				p.Placement = placement
				result := Simulate(p, policy.Default(), uint64(seed)+1)
				mu.Lock()
				defer mu.Unlock()
				sum.add(&result)
				sum.Waits = append(sum.Waits, result.Waits...)
			})
		}
	}
	running.Wait()
	return results
}

// quantile returns a quantile of the times from arrival to first event.
func (r *Result) quantile(q float64) time.Duration {
	sorted := slices.Sorted(slices.Values(r.Waits))
	return sorted[int(q*float64(len(sorted)-1))]
}

// logPlacements logs the figures of a comparison as a row of the table in
// docs/design/0027-speed-of-targets.md.
func logPlacements(t *testing.T, results map[Placement]*Result) {
	for _, placement := range placements {
		r := results[placement]
		t.Logf("%-18s in time %.4f, late %.4f, p50 %s, p99 %s", placement, r.InTimeRatio(), float64(r.Late)/float64(r.Requests),
			r.quantile(0.5).Round(time.Millisecond), r.quantile(0.99).Round(time.Millisecond))
	}
}

const (
	// minOracleRatio is the least goodput, relative to the oracle's.
	minOracleRatio = 0.95
	// maxTailRatio is the highest p99 of the time to the first event on uneven loads, relative to
	// that of routers which ignore readings.
	maxTailRatio = 0.8
)

func checkPlacements(t *testing.T, p Pattern, seeds int, isEven bool) {
	results := comparePlacements(p, seeds)
	logPlacements(t, results)
	today, oracle, own := results[PlacementToday], results[PlacementOracle], results[PlacementNew]
	if own.InTimeRatio() < minOracleRatio*oracle.InTimeRatio() {
		t.Errorf("%.4f in time, the oracle has %.4f", own.InTimeRatio(), oracle.InTimeRatio())
	}
	tail, tailToday := own.quantile(0.99), today.quantile(0.99)
	if !isEven && tail.Seconds() > maxTailRatio*tailToday.Seconds() {
		t.Errorf("p99 of the time to the first event %s, without readings %s", tail, tailToday)
	}
	if isEven && (tail > tailToday || own.InTimeRatio() < today.InTimeRatio()) {
		t.Errorf("p99 of the time to the first event %s and %.4f in time, without readings %s and %.4f", tail, own.InTimeRatio(), tailToday, today.InTimeRatio())
	}
}

// unevenPatterns returns the loads that placements are compared on; the first ones are the loads
// of the deployments.
func unevenPatterns(targets int) []Pattern {
	engines, plain := unevenEngines(targets), unevenPlain(targets)
	return []Pattern{
		engines, plain, engines.even(), plain.even(),
		engines.lastingReported(), engines.crashing(), engines.overloaded(), engines.even().overloaded(),
		plain.lastingReported(), plain.crashing(), plain.overloaded(), plain.even().overloaded(),
	}
}

// TestUnevenTargets guards against placements that lose goodput or time to targets whose speeds
// differ, compared with an oracle and with routers that ignore readings; and against readings that
// do harm where all targets are equally fast.
func TestUnevenTargets(t *testing.T) {
	sizes := []struct {
		targets, seeds int
		length         time.Duration
		// patterns is how many of the patterns are run without the flag.
		patterns int
	}{{10, 4, 23 * time.Second, 12}, {100, 1, 7 * time.Second, 4}, {1000, 1, 4 * time.Second, 0}}
	for _, size := range sizes {
		for i, p := range unevenPatterns(size.targets) {
			if i >= size.patterns && !*large {
				continue
			}
			p.Length = size.length
			p.StallAt = min(p.StallAt, size.length/2)
			t.Run(fmt.Sprintf("%d targets/%s", size.targets, p.Name), func(t *testing.T) {
				checkPlacements(t, p, size.seeds, p.SlowEvery == 0)
			})
		}
	}
}
