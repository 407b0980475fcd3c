package control

import (
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/config"
)

// oneSlotSnapshot declares one pool with one target that has one slot.
func oneSlotSnapshot() *config.Snapshot {
	return &config.Snapshot{Version: 1, Declarations: config.Declarations{
		Workspaces: map[string]config.Workspace{"bakery": {Share: 1, Pools: []string{"draft"}}},
		Pools:      map[string]config.Pool{"draft": {Kind: config.KindEngine}},
		Targets: map[string]config.Target{
			"t1": {Pool: "draft", DataCentre: "ikeja", Slots: 1},
		},
	}}
}

// TestFreedSlotGoesToWaitingRequest guards against grants beyond a target's only slot, and
// against a slot that stays idle after a run ends although a request waits for it.
func TestFreedSlotGoesToWaitingRequest(t *testing.T) {
	m := New(Options{Node: "n1", Incarnation: 1, DataCentre: "ikeja"})
	m.Step(0, ConfigChanged{Snapshot: oneSlotSnapshot()})
	first := dispatchesIn(m.Step(1, RequestArrived{Request: 1, Attempt: 1, Workspace: "bakery", Pool: "draft", Deadline: time.Minute}))
	if len(first) != 1 || first[0].Target != "t1" {
		t.Fatalf("first request: got %v, want one dispatch to t1", first)
	}
	second := dispatchesIn(m.Step(2, RequestArrived{Request: 2, Attempt: 1, Workspace: "bakery", Pool: "draft", Deadline: time.Minute}))
	if len(second) != 0 {
		t.Fatalf("second request was dispatched to a full target: %v", second)
	}
	next := dispatchesIn(m.Step(3, RunEnded{Request: 1, Grant: first[0].Grant, Service: 1}))
	if len(next) != 1 || next[0].Request != 2 {
		t.Fatalf("after the first run ended: got %v, want a dispatch of request 2", next)
	}
}

// dispatchesIn returns the dispatches among commands.
func dispatchesIn(cmds []Command) []Dispatch {
	var ds []Dispatch
	for _, c := range cmds {
		if d, ok := c.(Dispatch); ok {
			ds = append(ds, d)
		}
	}
	return ds
}
