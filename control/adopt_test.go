package control

import (
	"testing"
	"time"
)

// adopted gives the fleet's machine, as a new scheduler, a run that another one granted.
func (f *tokenFleet) adopted(seq uint64, target string, reads int, parts ...PromptPart) {
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

// TestNewSchedulerCountsWhatOthersGranted plays a change of scheduler under load, as
// after a power loss of all routers: entries tell the new one what runs, and it places
// the next requests by what the targets have to read, and where parts are kept.
func TestNewSchedulerCountsWhatOthersGranted(t *testing.T) {
	f := newTokenFleet("e1", "e2")
	// The entry is leaving, so that this node is the scheduler.
	f.step(MessageReceived{From: "other", Incarnation: 5, Message: Heartbeat{Incarnation: 5, Leaving: true}})
	for n := range uint64(5) {
		f.adopted(n+1, "e1", 4200, thing(7), own(100+n))
	}
	for n := range uint64(3) {
		_, d, _ := f.arrive("b", own(n))
		if d == nil || d.Target != "e2" {
			t.Errorf("request %d: %+v, though e1 has 21,000 tokens to read and e2 none", n, d)
		}
	}
	f.now += 900 * time.Millisecond
	if _, d, _ := f.arrive("b", thing(7), own(50)); d == nil || d.Reads != 200 {
		t.Errorf("%+v, though a run that was adopted reads the shared part", d)
	}
}
