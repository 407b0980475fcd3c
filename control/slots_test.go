package control

import (
	"math"
	"testing"
	"time"
)

// TestSlotTimeExcludesWaitInTarget guards against charging a workspace for the time that a run
// waits in its target: a target with one slot holds two grants, of which the second waits
// until the first run ends.
func TestSlotTimeExcludesWaitInTarget(t *testing.T) {
	m := New(Options{Node: "n1", Incarnation: 1, DataCentre: "ikeja"})
	m.Step(0, ConfigChanged{Snapshot: oneSlotSnapshot()})
	at := func(ms int) Instant { return time.Duration(ms) * time.Millisecond }
	arrive := func(ms, id int) []Dispatch {
		return dispatchesIn(m.Step(at(ms), RequestArrived{Request: RequestID(id), Attempt: 1, Workspace: "bakery", Pool: "draft", Deadline: time.Hour}))
	}
	end := func(ms int, d Dispatch, service int) []Dispatch {
		return dispatchesIn(m.Step(at(ms), RunEnded{Request: d.Request, Grant: d.Grant, Service: at(service)}))
	}
	// After a short run the window allows one more grant, as the slot would idle between runs.
	end(820, arrive(800, 1)[0], 20)
	first := arrive(1000, 2)
	second := arrive(1010, 3)
	if len(first) != 1 || len(second) != 1 {
		t.Fatalf("dispatched %v and %v, want one each", first, second)
	}
	if third := arrive(1020, 4); len(third) != 0 {
		t.Fatalf("a third run was dispatched: %v", third)
	}
	account := m.sched.workspaces["bakery"].account
	third := end(1500, first[0], 500)
	end(1600, second[0], 590)
	if own := account.Own(); math.Abs(own-0.62) > 1e-9 {
		t.Errorf("runs of 20, 500 and 100 ms are charged with %v s", own)
	}
	if len(third) != 1 {
		t.Fatalf("the third run was not dispatched: %v", third)
	}
	// The third run has used the slot since 1.6 s: its charge grows with that time.
	for ms := 1700; ms <= 2300; ms += 100 {
		m.Step(at(ms), Tick{})
	}
	if total := account.Total(); total < 1.32 {
		t.Errorf("a run that has used 700 ms so far is charged with %v s", total-0.62)
	}
}

// TestNewTargetOpensWithoutLoadReport guards against requests that wait for the end of another
// run although their target has free slots: nothing granted the slots of a new target that sent
// no load report, once it was given more than one run at a time.
func TestNewTargetOpensWithoutLoadReport(t *testing.T) {
	snapshot := oneSlotSnapshot()
	for name, target := range snapshot.Declarations.Targets {
		target.Slots = 4
		snapshot.Declarations.Targets[name] = target
	}
	m := New(Options{Node: "n1", Incarnation: 1, DataCentre: "ikeja"})
	m.Step(0, ConfigChanged{Snapshot: snapshot})
	granted := 0
	for id := range 4 {
		commands := m.Step(0, RequestArrived{Request: RequestID(id + 1), Attempt: 1, Workspace: "bakery", Pool: "draft", Deadline: time.Hour})
		granted += len(dispatchesIn(commands))
	}
	if granted != 1 {
		t.Errorf("%d runs at a target that is new, want 1", granted)
	}
	for now := m.NextWake(); now < time.Second; now = max(now+time.Millisecond, m.NextWake()) {
		granted += len(dispatchesIn(m.Step(now, Tick{})))
	}
	if granted != 4 {
		t.Errorf("%d of 4 slots granted after a second", granted)
	}
}
