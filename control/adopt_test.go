package control

import (
	"testing"
	"time"
)

// reportUnknownRun reports a run to the machine that another scheduler granted.
func (f *tokenFleet) reportUnknownRun(seq uint64, target string, reads int, parts ...PromptPart) {
	f.step(MessageReceived{From: "other", Incarnation: 5, Message: Report{
		Grant:     GrantID{Scheduler: "gone", Incarnation: 3, Seq: seq},
		Ticket:    TicketID{Node: "other", Incarnation: 5, Request: RequestID(seq), Attempt: 1},
		Shard:     ShardID{Pool: "gen"},
		Workspace: "a",
		Target:    target,
		Phase:     PhaseRunning,
		Service:   10 * time.Millisecond,
		Work:      Work{Parts: parts, OutputTokens: 50},
		Reads:     reads,
	}})
}

// TestNewSchedulerCountsRunsGrantedByOthers guards against a new scheduler that does not
// know the load of its targets. Entries report to it what runs, as after a power loss of
// all routers; it has to place the next requests by the tokens that the targets still have
// to read and by the parts that they have in their caches.
func TestNewSchedulerCountsRunsGrantedByOthers(t *testing.T) {
	f := newTokenFleet("e1", "e2")
	// The entry is leaving, so this node is the scheduler.
	f.step(MessageReceived{From: "other", Incarnation: 5, Message: Heartbeat{Incarnation: 5, Leaving: true}})
	for n := range uint64(5) {
		f.reportUnknownRun(n+1, "e1", 4200, sharedPart(7), ownPart(100+n))
	}
	for n := range uint64(3) {
		_, d, _ := f.arrive("b", ownPart(n))
		if d == nil || d.Target != "e2" {
			t.Errorf("request %d: got %+v, want e2: e1 has 21,000 tokens to read and e2 none", n, d)
		}
	}
	f.now += 900 * time.Millisecond
	if _, d, _ := f.arrive("b", sharedPart(7), ownPart(50)); d == nil || d.Reads != 200 {
		t.Errorf("got %+v, want 200 tokens to read: an adopted run has read the shared part", d)
	}
}
