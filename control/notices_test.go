package control

import (
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/control/notice"
	"github.com/walnutcove/walnutcove/result"
)

// saysLeaving gives the machine an answer of a start of a target that says that it leaves.
func (f *tokenFleet) saysLeaving(target string, start int64) []Command {
	return f.step(TargetNoticeReceived{Target: target, Start: start, Notice: notice.Notice{Leaving: true}})
}

// grantFor returns a grant of another node's scheduler for a request that waits here.
func (f *tokenFleet) grantFor(id RequestID, seq uint64, target string) Grant {
	return Grant{
		ID:     GrantID{Scheduler: "other", Incarnation: 5, Seq: seq},
		Ticket: f.machine.entry.requests[id].id,
		Target: target,
	}
}

// sentTo returns the messages of a type that a step sends to a node.
func sentTo[M Message](commands []Command, node NodeID) []M {
	var sent []M
	for _, command := range commands {
		if send, ok := command.(Send); ok && send.To == node {
			if message, ok := send.Message.(M); ok {
				sent = append(sent, message)
			}
		}
	}
	return sent
}

// TestTargetThatSaysLeavingGetsNoGrant: a scheduler grants a target that told it, or told
// another node, that it leaves to no one, until the target's next start.
func TestTargetThatSaysLeavingGetsNoGrant(t *testing.T) {
	for name, tell := range map[string]func(f *tokenFleet, start int64){
		"this node": func(f *tokenFleet, start int64) { f.saysLeaving("e1", start) },
		"another node": func(f *tokenFleet, start int64) {
			f.machine.handleMessage("other", 5, LeavingNotice{Target: "e1", Start: start})
		},
	} {
		f := newTokenFleet("e1")
		f.relist("e1", 100)
		tell(f, 99)
		if !f.grants() {
			t.Errorf("told %s: the word of the start before counts", name)
		}
		tell(f, 100)
		if _, dispatch, refuse := f.arrive("a", own(1)); dispatch != nil || refuse == nil {
			t.Errorf("told %s: granted %+v, refused %+v", name, dispatch, refuse)
		}
		f.relist("e1", 200)
		if !f.grants() {
			t.Errorf("told %s: the next start gets nothing", name)
		}
	}
}

// grants says whether a request is granted at once. Its run ends.
func (f *tokenFleet) grants() bool {
	_, dispatch, _ := f.arrive("a", own(1))
	if dispatch == nil {
		return false
	}
	f.step(RunEnded{Request: dispatch.Request, Grant: dispatch.Grant, Outcome: OutcomeAnswered})
	return true
}

// TestGrantOfALeavingTargetIsReturned: a grant that was made before its scheduler knew that the
// target leaves is returned as not run, and its scheduler told; the request asks for another.
func TestGrantOfALeavingTargetIsReturned(t *testing.T) {
	f := newTokenFleet("e1", "e2")
	f.hearsLarger()
	id, _, _ := f.arrive("a", own(1))
	if told := sentTo[LeavingNotice](f.saysLeaving("e1", 0), "other"); len(told) != 1 || told[0].Target != "e1" {
		t.Errorf("the scheduler is told %+v", told)
	}
	if told := sentTo[LeavingNotice](f.saysLeaving("e1", 0), "other"); len(told) != 0 {
		t.Errorf("the scheduler is told %+v again", told)
	}
	commands := f.step(MessageReceived{From: "other", Incarnation: 5, Message: f.grantFor(id, 1, "e1")})
	if dispatch, refuse := outcomeOf(commands, id); dispatch != nil || refuse != nil {
		t.Errorf("dispatched %+v, refused %+v", dispatch, refuse)
	}
	reports := sentTo[Report](commands, "other")
	if len(reports) != 1 || reports[0].Phase != PhaseEnded || reports[0].Outcome != OutcomeNotRun {
		t.Errorf("reported %+v", reports)
	}
	if told := sentTo[LeavingNotice](commands, "other"); len(told) != 1 {
		t.Errorf("a scheduler that granted it is told %+v", told)
	}
	tickets := sentTo[Ticket](commands, "other")
	if len(tickets) != 1 || len(tickets[0].Excluded) != 1 || tickets[0].Excluded[0] != "e1" {
		t.Fatalf("asked %+v", tickets)
	}
	commands = f.step(MessageReceived{From: "other", Incarnation: 5, Message: f.grantFor(id, 2, "e2")})
	if dispatch, _ := outcomeOf(commands, id); dispatch == nil {
		t.Error("a grant of another target is not used")
	}
}

// TestNextSchedulerKnowsWhatWasSaid: a node that becomes the scheduler grants no target that
// told it that it leaves before.
func TestNextSchedulerKnowsWhatWasSaid(t *testing.T) {
	f := newTokenFleet("e1")
	f.hearsLarger()
	f.saysLeaving("e1", 0)
	f.pass(5 * time.Second)
	if _, dispatch, refuse := f.arrive("a", own(1)); dispatch != nil || refuse == nil || refuse.Code != result.NoTarget {
		t.Errorf("granted %+v, refused %+v", dispatch, refuse)
	}
}

// holdsOff gives the machine an answer of a target that asks this node to wait.
func (f *tokenFleet) holdsOff(target string, d time.Duration) {
	f.step(TargetNoticeReceived{Target: target, Notice: notice.Notice{HoldOff: d}})
}

// TestHoldOffBindsOnlyThisNode: requests that entered here are not granted a target that asked
// this node to wait, until the time that it asked for has passed; its scheduler is not told, and
// grants it to others.
func TestHoldOffBindsOnlyThisNode(t *testing.T) {
	const wait = 2 * time.Second
	f := newTokenFleet("e1", "e2")
	f.hearsLarger()
	waiting, _, _ := f.arrive("a", own(1))
	f.holdsOff("e1", wait)
	id, _, _ := f.arrive("a", own(2))
	if asked := f.machine.entry.requests[id].ev.Excluded; len(asked) != 1 || asked[0] != "e1" {
		t.Errorf("a new ticket excludes %v", asked)
	}
	commands := f.step(MessageReceived{From: "other", Incarnation: 5, Message: f.grantFor(waiting, 1, "e1")})
	if dispatch, refuse := outcomeOf(commands, waiting); dispatch != nil || refuse != nil {
		t.Errorf("dispatched %+v, refused %+v", dispatch, refuse)
	}
	if reports := sentTo[Report](commands, "other"); len(reports) != 1 || reports[0].Outcome != OutcomeNotRun {
		t.Errorf("reported %+v", reports)
	}
	if told := sentTo[LeavingNotice](commands, "other"); len(told) != 0 {
		t.Errorf("the scheduler is told %+v", told)
	}
	if !f.machine.ensureShard(ShardID{Pool: "gen"}).targetsByName["e1"].takesWork() {
		t.Error("a scheduler takes the target to leave")
	}
	f.pass(wait)
	late, _, _ := f.arrive("a", own(3))
	commands = f.step(MessageReceived{From: "other", Incarnation: 5, Message: f.grantFor(late, 2, "e1")})
	if dispatch, _ := outcomeOf(commands, late); dispatch == nil {
		t.Error("the target is still held back after the time that it asked for")
	}
}

// TestAllTargetsHoldOff: a request that every target asked this node not to send is refused at
// once, and its caller told to come back no later than the first of them takes it.
func TestAllTargetsHoldOff(t *testing.T) {
	f := newTokenFleet("e1", "e2")
	f.holdsOff("e1", 5*time.Second)
	f.holdsOff("e2", 200*time.Millisecond)
	_, dispatch, refuse := f.arrive("a", own(1))
	if dispatch != nil || refuse == nil {
		t.Fatalf("dispatched %+v, refused %+v", dispatch, refuse)
	}
	if refuse.Code != result.TargetsUnavailable || refuse.RetryAfter <= 0 || refuse.RetryAfter > 300*time.Millisecond {
		t.Errorf("refused %+v", refuse)
	}
	f.pass(200 * time.Millisecond)
	if !f.grants() {
		t.Error("refused after the first of them takes requests")
	}
}

// TestExclusionsHoldUpNoOthers: a request that may use only targets with much to read does not
// keep one behind it from a target that has nothing to do.
func TestExclusionsHoldUpNoOthers(t *testing.T) {
	f := newTokenFleet("e1", "e2")
	f.holdsOff("e2", time.Second)
	shard := ShardID{Pool: "gen"}
	for n := uint64(0); f.machine.sched.shards[shard] == nil || f.machine.sched.shards[shard].queue.Len() == 0; n++ {
		if _, dispatch, refuse := f.arrive("a", thing(10+n)); refuse != nil || dispatch != nil && dispatch.Target != "e1" {
			t.Fatalf("request %d: %+v, refused %+v", n, dispatch, refuse)
		}
	}
	if _, dispatch, refuse := f.arrive("b", thing(50)); dispatch != nil || refuse != nil {
		t.Fatalf("dispatched %+v, refused %+v", dispatch, refuse)
	}
	commands := f.step(MessageReceived{From: "other", Incarnation: 5, Message: Ticket{
		ID:        TicketID{Node: "other", Incarnation: 5, Request: 1, Attempt: 1},
		Shard:     shard,
		Workspace: "a",
		TimeLeft:  time.Second,
		Work:      Work{Parts: []PromptPart{own(30)}, OutputTokens: 50},
		Objective: 400 * time.Millisecond,
	}})
	if grants := sentTo[Grant](commands, "other"); len(grants) != 1 || grants[0].Target != "e2" {
		t.Errorf("granted %+v", grants)
	}
}
