package control

import (
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/result"
)

// countLocalGrants sends requests whose scheduler, another node, does not answer, and returns
// how many of them the machine grants itself.
func countLocalGrants(f *tokenFleet, requests uint64) int {
	for n := range requests {
		f.arrive("a", sharedPart(100+n))
	}
	granted := 0
	for range 20 {
		f.now += 10 * time.Millisecond
		for _, command := range f.step(Tick{}) {
			if _, ok := command.(Dispatch); ok {
				granted++
			}
		}
	}
	return granted
}

// TestLocalGrantsAreLimitedAfterOverload guards against overfilled targets while a scheduler
// does not answer: as each node that grants locally does not know the grants of the others,
// it may grant only its equal part if the scheduler recently refused a request for lack of
// capacity. Otherwise it grants as much as the targets allow.
func TestLocalGrantsAreLimitedAfterOverload(t *testing.T) {
	const requests = 6 // one for each engine
	for _, c := range []struct {
		name                   string
		overloaded             bool
		after                  time.Duration
		minGranted, maxGranted int
	}{
		{"the pool was not overloaded", false, 0, requests, requests},
		{"the pool was overloaded", true, 0, 1, 3},
		{"the pool was overloaded long ago", true, 2 * overloadedFor, requests, requests},
	} {
		f := newTokenFleet("e1", "e2", "e3", "e4", "e5", "e6")
		f.machine.opts.LocalAfter = 100 * time.Millisecond
		f.addLargerNode()
		if c.overloaded {
			f.now += time.Millisecond
			id, _, _ := f.arrive("a", ownPart(1))
			ticket := f.machine.entry.requests[id].id
			f.step(MessageReceived{From: "other", Incarnation: 5, Message: Refusal{
				Ticket: ticket, Shard: ShardID{Pool: "gen"}, Code: result.Overloaded, RetryAfter: time.Second,
			}})
		}
		f.now += c.after
		f.addLargerNode()
		if got := countLocalGrants(f, requests); got < c.minGranted || got > c.maxGranted {
			t.Errorf("%s: %d of %d granted", c.name, got, requests)
		}
	}
}

// TestLocalRetriesAreLimitedAfterOverload guards against overfilled targets after a crash: all
// entries retry the requests that ran there at once, and the scheduler answers late. If the pool
// was overloaded just before, nodes grant retries locally only within their part, as they do first
// attempts. The other retries have to wait for the scheduler rather than be refused.
func TestLocalRetriesAreLimitedAfterOverload(t *testing.T) {
	const requests = 6 // one for each engine
	f := newTokenFleet("e1", "e2", "e3", "e4", "e5", "e6")
	f.machine.opts.LocalAfter = 100 * time.Millisecond
	f.addLargerNode()
	f.now += time.Millisecond
	id, _, _ := f.arrive("a", ownPart(1))
	f.step(MessageReceived{From: "other", Incarnation: 5, Message: Refusal{
		Ticket: f.machine.entry.requests[id].id, Shard: ShardID{Pool: "gen"}, Code: result.Overloaded, RetryAfter: time.Second,
	}})
	f.addLargerNode()
	for n := range uint64(requests) {
		f.requests++
		f.step(RequestArrived{
			Request: f.requests, Attempt: 2, Workspace: "a", Pool: "gen",
			Deadline: f.now + 12*time.Second, Objective: f.now + 400*time.Millisecond,
			Work: Work{Parts: []PromptPart{sharedPart(100 + n)}, OutputTokens: 50},
		})
	}
	granted, refused := 0, 0
	for range 20 {
		f.now += 10 * time.Millisecond
		for _, command := range f.step(Tick{}) {
			switch command.(type) {
			case Dispatch:
				granted++
			case Refuse:
				refused++
			}
		}
	}
	if granted < 1 || granted > 3 {
		t.Errorf("%d of %d retries granted locally, want 1 to 3", granted, requests)
	}
	if refused > 0 {
		t.Errorf("%d of %d retries refused while the scheduler may answer", refused, requests)
	}
}

// TestNoLocalGrantsBeyondShare guards against a workspace beyond its share that receives the parts
// of all nodes while the scheduler does not answer, because its callers use all of them. A node
// grants nothing locally to a workspace recently refused as beyond its share, and continues to
// grant to others.
func TestNoLocalGrantsBeyondShare(t *testing.T) {
	for _, c := range []struct {
		name        string
		excess      bool
		after       time.Duration
		wantGranted bool
	}{
		{"beyond its share", true, 0, false},
		{"refused within its share", false, 0, true},
		{"beyond its share long ago", true, 2 * overloadedFor, true},
	} {
		f := newTokenFleet("e1", "e2", "e3", "e4", "e5", "e6")
		f.machine.opts.LocalAfter = 100 * time.Millisecond
		f.addLargerNode()
		f.now += time.Millisecond
		id, _, _ := f.arrive("a", ownPart(1))
		f.step(MessageReceived{From: "other", Incarnation: 5, Message: Refusal{
			Ticket: f.machine.entry.requests[id].id, Shard: ShardID{Pool: "gen"},
			Code: result.Overloaded, RetryAfter: time.Second, Excess: c.excess,
		}})
		f.now += c.after
		f.addLargerNode()
		exceeding, _, _ := f.arrive("a", ownPart(2))
		other, _, _ := f.arrive("b", ownPart(3))
		granted := make(map[RequestID]bool)
		for _, command := range f.tickFor(200 * time.Millisecond) {
			if dispatch, ok := command.(Dispatch); ok {
				granted[dispatch.Request] = true
			}
		}
		if granted[exceeding] != c.wantGranted || !granted[other] {
			t.Errorf("%s: granted %v, and %v to another workspace", c.name, granted[exceeding], granted[other])
		}
	}
}
