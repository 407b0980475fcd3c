package control

import (
	"testing"
	"time"
)

// TestPrefixLocality guards against reading a prompt prefix again: of two idle targets, a
// request has to go to the one that ran its prefix before, and to the first one if prefixes
// are ignored.
func TestPrefixLocality(t *testing.T) {
	for ignore, want := range map[bool]string{false: "t2", true: "t1"} {
		s := &script{t: t, machines: make(map[string]*Machine), grants: make(map[string]GrantID)}
		s.startFleet("n1 ikeja")
		m := s.machines["n1"]
		m.opts.IgnorePrefixes = ignore
		s.configure("workspace a\ntarget t1 ikeja 1\ntarget t2 ikeja 1", "")
		first := dispatchWithPrefix(t, m, 1, 5)
		second := dispatchWithPrefix(t, m, 2, 7)
		if first.Target != "t1" || second.Target != "t2" {
			t.Fatalf("dispatched to %s and %s", first.Target, second.Target)
		}
		for _, d := range []Dispatch{first, second} {
			m.Step(m.now, RunEnded{Request: d.Request, Grant: d.Grant, Outcome: OutcomeAnswered, Service: time.Second})
		}
		if got := dispatchWithPrefix(t, m, 3, 7).Target; got != want {
			t.Errorf("prefixes ignored %v: dispatched to %s, want %s", ignore, got, want)
		}
	}
}

// dispatchWithPrefix sends a request with a prompt prefix and returns its dispatch.
func dispatchWithPrefix(t *testing.T, m *Machine, request RequestID, prefix uint64) Dispatch {
	t.Helper()
	ev := RequestArrived{
		Request: request, Attempt: 1, Workspace: "a", Pool: "p",
		Deadline: m.now + time.Minute, PrefixHash: prefix,
	}
	for _, c := range m.Step(m.now, ev) {
		if d, ok := c.(Dispatch); ok {
			return d
		}
	}
	t.Fatalf("request %d was not dispatched", request)
	return Dispatch{}
}
