package control

import (
	"maps"
	"testing"

	"github.com/walnutcove/walnutcove/config"
)

// relist gives the fleet a new listing in which a target has the given start.
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

// kept tells that a start of a target keeps a part.
func (f *tokenFleet) kept(target string, start int64, part PromptPart) {
	f.step(TargetCacheReported{Target: target, Start: start, Full: true, Parts: []PromptPart{part}})
}

// TestNextStartKnowsNothing: a target that starts again under its name keeps
// nothing, runs nothing and has failed nobody, whatever the start before did.
func TestNextStartKnowsNothing(t *testing.T) {
	f := newTokenFleet("e1")
	f.relist("e1", 100)
	var before []*Dispatch
	for n := range uint64(8) {
		_, d, _ := f.arrive("a", thing(7), own(n))
		if d == nil {
			t.Fatalf("request %d has no grant", n)
		}
		before = append(before, d)
	}
	f.relist("e1", 200)
	for _, d := range before {
		f.step(RunEnded{Request: d.Request, Grant: d.Grant, Outcome: OutcomeLost})
	}
	_, d, _ := f.arrive("a", thing(7), own(50))
	if d == nil {
		t.Fatal("the next start is taken to be full, or to have failed")
	}
	if d.Reads != 4200 {
		t.Errorf("reads %d of 4200 tokens, as if the next start kept what the one before read", d.Reads)
	}
}

// TestTargetTellsItsStartFirst: what a target tells of itself may be newer than the
// listing, or older; the listing that lags changes nothing.
func TestTargetTellsItsStartFirst(t *testing.T) {
	f := newTokenFleet("e1")
	f.relist("e1", 100)
	_, first, _ := f.arrive("a", thing(7), own(1))
	f.finish(first)
	f.kept("e1", 200, thing(8))
	_, d, _ := f.arrive("a", thing(7), own(2))
	if d == nil || d.Reads != 4200 {
		t.Errorf("after a new start: %+v", d)
	}
	f.finish(d)
	f.kept("e1", 100, thing(9)) // late news of the start before
	if _, d, _ = f.arrive("a", thing(9), own(3)); d == nil || d.Reads != 4200 {
		t.Errorf("the start before is believed: %+v", d)
	}
	f.finish(d)
	f.relist("e1", 100) // the listing lags
	f.relist("e1", 200)
	if _, d, _ = f.arrive("a", thing(8), own(4)); d == nil || d.Reads != 200 {
		t.Errorf("the listing made the same start forget what it keeps: %+v", d)
	}
}

// TestNewStartUnderTheSameNameIsACrash: a request that broke off at target after
// target is convicted also if they come back under the names that they had.
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
			Deadline: f.now + maxRunBackoff*6, Work: Work{Parts: []PromptPart{own(uint64(id))}, OutputTokens: 10},
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
