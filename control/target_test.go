package control

import (
	"testing"
	"time"
)

// hungRunFleet is one machine that schedules a target with several slots, some of whose runs
// never end.
type hungRunFleet struct {
	machine  *Machine
	now      Instant
	requests RequestID
}

func newHungRunFleet() *hungRunFleet {
	f := &hungRunFleet{machine: New(Options{Node: "n1", Incarnation: 1, DataCentre: "ikeja"})}
	snapshot := oneSlotSnapshot()
	target := snapshot.Declarations.Targets["t1"]
	target.Slots = 6
	snapshot.Declarations.Targets["t1"] = target
	f.machine.Step(0, ConfigChanged{Snapshot: snapshot})
	f.wait(time.Second)
	return f
}

// wait passes time, with ticks.
func (f *hungRunFleet) wait(d time.Duration) (dispatches []Dispatch) {
	for end := f.now + d; f.now < end; {
		f.now += 20 * time.Millisecond
		dispatches = append(dispatches, dispatchesIn(f.machine.Step(f.now, Tick{}))...)
	}
	return dispatches
}

// arrive passes a request that waits for up to a minute.
func (f *hungRunFleet) arrive() []Dispatch {
	f.requests++
	return dispatchesIn(f.machine.Step(f.now, RequestArrived{
		Request: f.requests, Attempt: 1, Workspace: "bakery", Pool: "draft", Deadline: f.now + time.Minute,
	}))
}

func (f *hungRunFleet) end(d Dispatch, outcome Outcome) []Dispatch {
	return dispatchesIn(f.machine.Step(f.now, RunEnded{Request: d.Request, Grant: d.Grant, Outcome: outcome, Service: 20 * time.Millisecond}))
}

// TestHungRunDoesNotBlockProbe guards against a failing target that gets no probe for as long
// as a run from before its failure hangs.
func TestHungRunDoesNotBlockProbe(t *testing.T) {
	f := newHungRunFleet()
	hung, lost := f.arrive(), f.arrive()
	if len(hung) != 1 || len(lost) != 1 {
		t.Fatalf("dispatched %v and %v, want one each", hung, lost)
	}
	f.end(lost[0], OutcomeLost)
	probe := append(f.arrive(), f.wait(maxBackoff)...)
	if len(probe) != 1 {
		t.Fatalf("%d runs within %v of the failure, want one probe", len(probe), maxBackoff)
	}
	f.end(probe[0], OutcomeAnswered)
	if first, second := f.arrive(), f.arrive(); len(first) != 1 || len(second) != 1 {
		t.Error("the target gets no further requests although its probe was answered")
	}
}

// TestHungProbeDoesNotBlockNextProbe guards against a failing target that gets no probe for as
// long as its last probe hangs.
func TestHungProbeDoesNotBlockNextProbe(t *testing.T) {
	f := newHungRunFleet()
	f.end(f.arrive()[0], OutcomeLost)
	if hung := append(f.arrive(), f.wait(maxBackoff)...); len(hung) != 1 {
		t.Fatalf("%d runs within %v of the failure, want one probe", len(hung), maxBackoff)
	}
	next := append(f.arrive(), f.arrive()...)
	if next = append(next, f.wait(maxBackoff)...); len(next) == 0 {
		t.Fatalf("no probe within %v", maxBackoff)
	}
	f.end(next[0], OutcomeAnswered)
	if len(f.arrive()) != 1 {
		t.Error("the target gets no further requests although a probe was answered")
	}
}

// TestFailingTargetGetsOneProbeAtATime guards against several requests lost at once in a target
// that still fails.
func TestFailingTargetGetsOneProbeAtATime(t *testing.T) {
	f := newHungRunFleet()
	f.end(f.arrive()[0], OutcomeLost)
	probes := 0
	for range 6 {
		probes += len(f.arrive())
	}
	probes += len(f.wait(minBackoff + time.Second))
	if probes != 1 {
		t.Errorf("%d probes at once, want one", probes)
	}
}

// TestOverdueRunFreesItsSlot guards against a slot that stays taken until the limit of a run whose
// answer was lost, although its target answers others, and against one that is freed while the
// target may still be at work.
func TestOverdueRunFreesItsSlot(t *testing.T) {
	f := newHungRunFleet()
	var runs []Dispatch
	for range 6 {
		runs = append(runs, f.arrive()...)
	}
	if len(runs) != 6 || len(f.arrive()) != 0 {
		t.Fatalf("%d runs in 6 slots", len(runs))
	}
	for _, hung := range runs[1:] {
		f.machine.Step(f.now, RunOverdue{Grant: hung.Grant})
	}
	if early := f.wait(10 * time.Second); len(early) != 0 {
		t.Fatalf("%d slots were freed although the target has answered nothing", len(early))
	}
	waited := f.end(runs[0], OutcomeAnswered)
	if len(waited) != 1 {
		t.Fatalf("%d runs in the slot of an answered run, want one", len(waited))
	}
	f.end(waited[0], OutcomeAnswered)
	again := 0
	for range 6 {
		again += len(f.arrive())
	}
	f.wait(time.Minute) // further reports of the overdue runs take no slots
	if again != 6 || f.machine.Counters().GrantsAdopted != 0 {
		t.Errorf("%d of 6 slots are free, %d overdue runs were counted again", again, f.machine.Counters().GrantsAdopted)
	}
	if freed := f.machine.Counters().GrantsOverdue; freed != 5 {
		t.Errorf("%d slots of overdue runs were freed, want 5", freed)
	}
}

// TestSilentTargetRestsAndIsNotLost guards against a silent target that still gets requests, and against
// one that is taken for crashed although it continues.
func TestSilentTargetRestsAndIsNotLost(t *testing.T) {
	f := newHungRunFleet()
	runs := append(f.arrive(), f.arrive()...)
	for _, silent := range runs {
		f.machine.Step(f.now, RunSilent{Grant: silent.Grant})
	}
	probes := append(f.arrive(), f.arrive()...)
	if probes = append(probes, f.wait(minBackoff+time.Second)...); len(probes) != 1 {
		t.Fatalf("%d runs right after the silence, want one probe", len(probes))
	}
	f.end(runs[0], OutcomeAnswered)
	if first := f.arrive(); len(first) != 1 {
		t.Error("the target gets no further requests although it continued")
	}
	if status := f.machine.Status(); status.Running < 2 {
		t.Errorf("%d runs are left, the silent one is not among them", status.Running)
	}
}
