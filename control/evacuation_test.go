package control

import (
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/result"
)

// redeclareTargets applies change to each declared target, as a new configuration.
func (f *tokenFleet) redeclareTargets(change func(name string, t *config.Target)) []Command {
	declarations := *f.machine.topo.decl
	declarations.Targets = make(map[string]config.Target)
	for name, target := range f.machine.topo.decl.Targets {
		change(name, &target)
		declarations.Targets[name] = target
	}
	order := f.machine.topo.order
	return f.step(ConfigChanged{Snapshot: &config.Snapshot{
		Version: order.Version, ConfigRevision: order.Config + 1, Declarations: declarations, TargetsRevision: order.Targets,
	}})
}

// setEvacuated marks a target as evacuated or not.
func (f *tokenFleet) setEvacuated(name string, evacuated bool) []Command {
	return f.redeclareTargets(func(other string, t *config.Target) {
		if other == name {
			t.Evacuated = evacuated
		}
	})
}

// TestEvacuatedTargetIsNotGranted guards against grants for targets in an evacuated data
// centre, and against aborting the runs in progress there.
func TestEvacuatedTargetIsNotGranted(t *testing.T) {
	f := newTokenFleet("e1", "e2")
	_, running, _ := f.arrive("a", ownPart(1))
	evacuated := running.Target
	for _, command := range f.setEvacuated(evacuated, true) {
		if _, refused := command.(Refuse); refused {
			t.Error("a request was refused although another target is free")
		}
	}
	for n := range uint64(12) {
		if _, d, _ := f.arrive("a", ownPart(10+n)); d != nil && d.Target == evacuated {
			t.Fatalf("request %d was granted the evacuated target", n)
		}
	}
	f.finish(running)
	f.setEvacuated(evacuated, false)
	f.now += time.Second
	if _, d, _ := f.arrive("a", ownPart(50)); d == nil || d.Target != evacuated {
		t.Errorf("after the evacuation ended: grant %+v, want the idle target", d)
	}
}

// TestRequestIsRefusedAtOnceIfAllAreEvacuated guards against requests that wait until their
// deadlines while all data centres are evacuated.
func TestRequestIsRefusedAtOnceIfAllAreEvacuated(t *testing.T) {
	f := newTokenFleet("e1")
	for n := range uint64(8) {
		f.arrive("a", ownPart(100+n))
	}
	waiting, d, _ := f.arrive("a", ownPart(1))
	if d != nil {
		t.Fatal("a request beyond the eight slots of the target was granted")
	}
	if _, refuse := outcomeOf(f.setEvacuated("e1", true), waiting); refuse == nil || refuse.Code != result.TargetsEvacuated {
		t.Errorf("waiting request: refusal %+v", refuse)
	}
	if _, _, refuse := f.arrive("a", ownPart(2)); refuse == nil || refuse.Code != result.TargetsEvacuated || refuse.RetryAfter <= 0 {
		t.Errorf("new request: refusal %+v", refuse)
	}
}
