package control

import (
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/result"
)

// unansweredGrants sends requests whose scheduler, another node, does not answer, and returns
// how many are granted here.
func unansweredGrants(f *tokenFleet, requests uint64) int {
	for n := range requests {
		f.arrive("a", thing(100+n))
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

// TestGrantsItsPartAlone: a node whose scheduler does not answer grants as targets allow, and
// no more than its part where the scheduler had nothing left a moment before.
func TestGrantsItsPartAlone(t *testing.T) {
	const requests = 6 // one for each engine
	for _, c := range []struct {
		name        string
		full        bool
		after       time.Duration
		least, most int
	}{
		{"the pool was not full", false, 0, requests, requests},
		{"the pool was full", true, 0, 1, 3},
		{"the pool was full long ago", true, 2 * overloadedFor, requests, requests},
	} {
		f := newTokenFleet("e1", "e2", "e3", "e4", "e5", "e6")
		f.machine.opts.LocalAfter = 100 * time.Millisecond
		f.hearsLarger()
		if c.full {
			f.now += time.Millisecond
			id, _, _ := f.arrive("a", own(1))
			ticket := f.machine.entry.requests[id].id
			f.step(MessageReceived{From: "other", Incarnation: 5, Message: Refusal{
				Ticket: ticket, Shard: ShardID{Pool: "gen"}, Code: result.Overloaded, RetryAfter: time.Second,
			}})
		}
		f.now += c.after
		f.hearsLarger()
		if got := unansweredGrants(f, requests); got < c.least || got > c.most {
			t.Errorf("%s: %d of %d granted", c.name, got, requests)
		}
	}
}

// TestSecondTriesAloneAreBounded: when targets crash, the requests that ran there are sent again
// by all entries at once, and the scheduler answers late. Nodes that grant alone then grant
// second tries within their part, as they do first ones, where the pool was full a moment before;
// the rest wait for the scheduler.
func TestSecondTriesAloneAreBounded(t *testing.T) {
	const requests = 6 // one for each engine
	f := newTokenFleet("e1", "e2", "e3", "e4", "e5", "e6")
	f.machine.opts.LocalAfter = 100 * time.Millisecond
	f.hearsLarger()
	f.now += time.Millisecond
	id, _, _ := f.arrive("a", own(1))
	f.step(MessageReceived{From: "other", Incarnation: 5, Message: Refusal{
		Ticket: f.machine.entry.requests[id].id, Shard: ShardID{Pool: "gen"}, Code: result.Overloaded, RetryAfter: time.Second,
	}})
	f.hearsLarger()
	for n := range uint64(requests) {
		f.requests++
		f.step(RequestArrived{
			Request: f.requests, Attempt: 2, Workspace: "a", Pool: "gen",
			Deadline: f.now + 12*time.Second, Objective: f.now + 400*time.Millisecond,
			Work: Work{Parts: []PromptPart{thing(100 + n)}, OutputTokens: 50},
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
		t.Errorf("%d of %d second tries granted alone", granted, requests)
	}
	if refused > 0 {
		t.Errorf("%d of %d second tries refused while the scheduler may answer", refused, requests)
	}
}

// TestNobodyBeyondTheShareIsGrantedAlone: while the scheduler does not answer, a node grants
// nothing alone to a workspace that was refused as beyond its share a moment before, and goes on
// granting others. Callers that come by all nodes would otherwise get a part of each.
func TestNobodyBeyondTheShareIsGrantedAlone(t *testing.T) {
	for _, c := range []struct {
		name   string
		excess bool
		after  time.Duration
		want   bool
	}{
		{"beyond its share", true, 0, false},
		{"refused within its share", false, 0, true},
		{"beyond its share long ago", true, 2 * overloadedFor, true},
	} {
		f := newTokenFleet("e1", "e2", "e3", "e4", "e5", "e6")
		f.machine.opts.LocalAfter = 100 * time.Millisecond
		f.hearsLarger()
		f.now += time.Millisecond
		id, _, _ := f.arrive("a", own(1))
		f.step(MessageReceived{From: "other", Incarnation: 5, Message: Refusal{
			Ticket: f.machine.entry.requests[id].id, Shard: ShardID{Pool: "gen"},
			Code: result.Overloaded, RetryAfter: time.Second, Excess: c.excess,
		}})
		f.now += c.after
		f.hearsLarger()
		hot, _, _ := f.arrive("a", own(2))
		other, _, _ := f.arrive("b", own(3))
		granted := make(map[RequestID]bool)
		for _, command := range f.pass(200 * time.Millisecond) {
			if dispatch, ok := command.(Dispatch); ok {
				granted[dispatch.Request] = true
			}
		}
		if granted[hot] != c.want || !granted[other] {
			t.Errorf("%s: granted %v, another workspace %v", c.name, granted[hot], granted[other])
		}
	}
}
