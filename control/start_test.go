package control

import (
	"maps"
	"testing"

	"github.com/walnutcove/walnutcove/config"
)

// relist applies a new listing in which a target has the given start.
func (f *tokenFleet) relist(name string, start int64) {
	declarations := *f.machine.topo.decl
	declarations.Targets = maps.Clone(declarations.Targets)
	target := declarations.Targets[name]
	target.Start = start
	declarations.Targets[name] = target
	order := f.machine.topo.order
	f.step(ConfigChanged{Snapshot: &config.Snapshot{
		Version: order.Version, Declarations: declarations, TargetsRevision: order.Targets + 1,
	}})
}

// reportCached reports that a target, in the given start, has a part in its cache.
func (f *tokenFleet) reportCached(target string, start int64, part PromptPart) {
	f.step(TargetCacheReported{Target: target, Start: start, Full: true, Parts: []PromptPart{part}})
}

// TestNewStartDiscardsState guards against applying what was learned about an earlier start of a
// target to a new start under the same name, which has an empty cache, no runs and no failures.
func TestNewStartDiscardsState(t *testing.T) {
	f := newTokenFleet("e1")
	f.relist("e1", 100)
	var before []*Dispatch
	for n := range uint64(8) {
		_, d, _ := f.arrive("a", sharedPart(7), ownPart(n))
		if d == nil {
			t.Fatalf("request %d has no grant", n)
		}
		before = append(before, d)
	}
	f.relist("e1", 200)
	for _, d := range before {
		f.step(RunEnded{Request: d.Request, Grant: d.Grant, Outcome: OutcomeLost})
	}
	_, d, _ := f.arrive("a", sharedPart(7), ownPart(50))
	if d == nil {
		t.Fatal("the new start is treated as full or as failing")
	}
	if d.Reads != 4200 {
		t.Errorf("reads %d of 4200 tokens, as if the new start had the cache of the previous one", d.Reads)
	}
}

// TestTargetReportsNewStartBeforeListing guards against losing the state of a new start that the
// target reported before the listing did: neither a late report of the previous start nor the
// lagging listing may change it.
func TestTargetReportsNewStartBeforeListing(t *testing.T) {
	f := newTokenFleet("e1")
	f.relist("e1", 100)
	_, first, _ := f.arrive("a", sharedPart(7), ownPart(1))
	f.finish(first)
	f.reportCached("e1", 200, sharedPart(8))
	_, d, _ := f.arrive("a", sharedPart(7), ownPart(2))
	if d == nil || d.Reads != 4200 {
		t.Errorf("after a new start: %+v", d)
	}
	f.finish(d)
	f.reportCached("e1", 100, sharedPart(9)) // a late report of the previous start
	if _, d, _ = f.arrive("a", sharedPart(9), ownPart(3)); d == nil || d.Reads != 4200 {
		t.Errorf("a report of the previous start is applied: %+v", d)
	}
	f.finish(d)
	f.relist("e1", 100) // the listing lags
	f.relist("e1", 200)
	if _, d, _ = f.arrive("a", sharedPart(8), ownPart(4)); d == nil || d.Reads != 200 {
		t.Errorf("the listing discarded the cache state of the same start: %+v", d)
	}
}

// TestNewStartUnderTheSameNameIsACrash guards against a request that crashes target after target
// and is not convicted because the targets restart under the same names.
func TestNewStartUnderTheSameNameIsACrash(t *testing.T) {
	f := newTokenFleet("e1", "e2", "e3", "e4")
	for _, name := range []string{"e1", "e2", "e3", "e4"} {
		f.relist(name, 100)
	}
	const deadly = 77
	crashed := 0
	for n := range RequestID(4) {
		id := 1000 + n
		commands := f.step(RequestArrived{
			Request: id, Attempt: 1, Workspace: "a", Pool: "gen", Fingerprint: deadly,
			Deadline: f.now + maxRunBackoff*6, Work: Work{Parts: []PromptPart{ownPart(uint64(id))}, OutputTokens: 10},
		})
		d, refused := outcomeOf(commands, id)
		if refused != nil || d == nil {
			break
		}
		crashed++
		f.step(RunEnded{Request: id, Grant: d.Grant, Outcome: OutcomeLost})
		f.relist(d.Target, 200)
	}
	if !f.machine.isConvicted(deadly) || crashed > 3 {
		t.Errorf("after %d crashes: convicted %v", crashed, f.machine.isConvicted(deadly))
	}
}
