package control

import (
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/control/notice"
	"github.com/walnutcove/walnutcove/result"
)

// reportLeaving passes a notice to the machine by which a target, in the given start, announced
// that it is leaving.
func (f *tokenFleet) reportLeaving(target string, start int64) []Command {
	return f.step(TargetNoticeReceived{Target: target, Start: start, Notice: notice.Notice{Leaving: true}})
}

// grantFor returns a grant of a scheduler on another node for a request that waits here.
func (f *tokenFleet) grantFor(id RequestID, seq uint64, target string) Grant {
	return Grant{
		ID:     GrantID{Scheduler: "other", Incarnation: 5, Seq: seq},
		Ticket: f.machine.entry.requests[id].id,
		Target: target,
	}
}

// sentTo returns the messages of one type that commands send to a node.
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

// TestLeavingTargetGetsNoGrant guards against grants of a target that announced, to the
// scheduler or to another node, that it is leaving. The notice applies to one start: the next
// start has to be granted again.
func TestLeavingTargetGetsNoGrant(t *testing.T) {
	for name, notify := range map[string]func(f *tokenFleet, start int64){
		"this node": func(f *tokenFleet, start int64) { f.reportLeaving("e1", start) },
		"another node": func(f *tokenFleet, start int64) {
			f.machine.handleMessage("other", 5, LeavingNotice{Target: "e1", Start: start})
		},
	} {
		f := newTokenFleet("e1")
		f.relist("e1", 100)
		notify(f, 99)
		if !f.isGrantedAtOnce() {
			t.Errorf("notice to %s: a notice of the previous start is applied", name)
		}
		notify(f, 100)
		if _, dispatch, refuse := f.arrive("a", ownPart(1)); dispatch != nil || refuse == nil {
			t.Errorf("notice to %s: granted %+v, refused %+v", name, dispatch, refuse)
		}
		f.relist("e1", 200)
		if !f.isGrantedAtOnce() {
			t.Errorf("notice to %s: the next start gets no grant", name)
		}
	}
}

// isGrantedAtOnce reports whether a new request is granted at once, and ends its run.
func (f *tokenFleet) isGrantedAtOnce() bool {
	_, dispatch, _ := f.arrive("a", ownPart(1))
	if dispatch == nil {
		return false
	}
	f.step(RunEnded{Request: dispatch.Request, Grant: dispatch.Grant, Outcome: OutcomeAnswered})
	return true
}

// TestGrantOfALeavingTargetIsReturned guards against using a grant that was made before its
// scheduler knew that the target is leaving. The entry returns it as not run, informs the
// scheduler, and asks for another grant without that target.
func TestGrantOfALeavingTargetIsReturned(t *testing.T) {
	f := newTokenFleet("e1", "e2")
	f.addLargerNode()
	id, _, _ := f.arrive("a", ownPart(1))
	if notices := sentTo[LeavingNotice](f.reportLeaving("e1", 0), "other"); len(notices) != 1 || notices[0].Target != "e1" {
		t.Errorf("the scheduler was sent %+v, want one notice", notices)
	}
	if notices := sentTo[LeavingNotice](f.reportLeaving("e1", 0), "other"); len(notices) != 0 {
		t.Errorf("the scheduler was sent %+v again", notices)
	}
	commands := f.step(MessageReceived{From: "other", Incarnation: 5, Message: f.grantFor(id, 1, "e1")})
	if dispatch, refuse := outcomeOf(commands, id); dispatch != nil || refuse != nil {
		t.Errorf("dispatched %+v, refused %+v", dispatch, refuse)
	}
	reports := sentTo[Report](commands, "other")
	if len(reports) != 1 || reports[0].Phase != PhaseEnded || reports[0].Outcome != OutcomeNotRun {
		t.Errorf("reported %+v", reports)
	}
	if notices := sentTo[LeavingNotice](commands, "other"); len(notices) != 1 {
		t.Errorf("the scheduler that granted the target was sent %+v, want one notice", notices)
	}
	tickets := sentTo[Ticket](commands, "other")
	if len(tickets) != 1 || len(tickets[0].Excluded) != 1 || tickets[0].Excluded[0] != "e1" {
		t.Fatalf("sent tickets %+v, want one that excludes e1", tickets)
	}
	commands = f.step(MessageReceived{From: "other", Incarnation: 5, Message: f.grantFor(id, 2, "e2")})
	if dispatch, _ := outcomeOf(commands, id); dispatch == nil {
		t.Error("a grant of another target is not used")
	}
}

// TestNewSchedulerKnowsLeavingTargets guards against a node that becomes the scheduler and
// ignores the notices that it received before: it must not grant a leaving target.
func TestNewSchedulerKnowsLeavingTargets(t *testing.T) {
	f := newTokenFleet("e1")
	f.addLargerNode()
	f.reportLeaving("e1", 0)
	f.tickFor(5 * time.Second)
	if _, dispatch, refuse := f.arrive("a", ownPart(1)); dispatch != nil || refuse == nil || refuse.Code != result.NoTarget {
		t.Errorf("granted %+v, refused %+v", dispatch, refuse)
	}
}

// reportHoldOff passes a notice to the machine by which a target asks this node to send nothing
// for a while.
func (f *tokenFleet) reportHoldOff(target string, d time.Duration) {
	f.step(TargetNoticeReceived{Target: target, Notice: notice.Notice{HoldOff: d}})
}

// TestHoldOffAppliesToThisNodeOnly guards against sending requests to a target before its
// hold-off for this node ends, and against withholding the target from other nodes: the
// scheduler is not informed, and grants it to them.
func TestHoldOffAppliesToThisNodeOnly(t *testing.T) {
	const holdOff = 2 * time.Second
	f := newTokenFleet("e1", "e2")
	f.addLargerNode()
	waiting, _, _ := f.arrive("a", ownPart(1))
	f.reportHoldOff("e1", holdOff)
	id, _, _ := f.arrive("a", ownPart(2))
	if excluded := f.machine.entry.requests[id].ev.Excluded; len(excluded) != 1 || excluded[0] != "e1" {
		t.Errorf("a new ticket excludes %v", excluded)
	}
	commands := f.step(MessageReceived{From: "other", Incarnation: 5, Message: f.grantFor(waiting, 1, "e1")})
	if dispatch, refuse := outcomeOf(commands, waiting); dispatch != nil || refuse != nil {
		t.Errorf("dispatched %+v, refused %+v", dispatch, refuse)
	}
	if reports := sentTo[Report](commands, "other"); len(reports) != 1 || reports[0].Outcome != OutcomeNotRun {
		t.Errorf("reported %+v", reports)
	}
	if notices := sentTo[LeavingNotice](commands, "other"); len(notices) != 0 {
		t.Errorf("the scheduler was sent %+v", notices)
	}
	if !f.machine.ensureShard(ShardID{Pool: "gen"}).targetsByName["e1"].takesWork() {
		t.Error("the scheduler treats the target as leaving")
	}
	f.tickFor(holdOff)
	late, _, _ := f.arrive("a", ownPart(3))
	commands = f.step(MessageReceived{From: "other", Incarnation: 5, Message: f.grantFor(late, 2, "e1")})
	if dispatch, _ := outcomeOf(commands, late); dispatch == nil {
		t.Error("the target is still withheld after its hold-off")
	}
}

// TestAllTargetsHoldOff guards against requests that wait in vain while all targets have a
// hold-off for this node: they are refused at once, with a retry time of about the end of the
// first hold-off.
func TestAllTargetsHoldOff(t *testing.T) {
	f := newTokenFleet("e1", "e2")
	f.reportHoldOff("e1", 5*time.Second)
	f.reportHoldOff("e2", 200*time.Millisecond)
	_, dispatch, refuse := f.arrive("a", ownPart(1))
	if dispatch != nil || refuse == nil {
		t.Fatalf("dispatched %+v, refused %+v", dispatch, refuse)
	}
	if refuse.Code != result.TargetsUnavailable || refuse.RetryAfter <= 0 || refuse.RetryAfter > 300*time.Millisecond {
		t.Errorf("refused %+v", refuse)
	}
	f.tickFor(200 * time.Millisecond)
	if !f.isGrantedAtOnce() {
		t.Error("refused after the first hold-off ended")
	}
}

// TestExclusionsDoNotDelayOtherTickets guards against an idle target that no ticket gets
// because the ticket at the head of the queue excludes it, and the other targets have too much
// to read.
func TestExclusionsDoNotDelayOtherTickets(t *testing.T) {
	f := newTokenFleet("e1", "e2")
	f.reportHoldOff("e2", time.Second)
	shard := ShardID{Pool: "gen"}
	for n := uint64(0); f.machine.sched.shards[shard] == nil || f.machine.sched.shards[shard].queue.Len() == 0; n++ {
		if _, dispatch, refuse := f.arrive("a", sharedPart(10+n)); refuse != nil || dispatch != nil && dispatch.Target != "e1" {
			t.Fatalf("request %d: %+v, refused %+v", n, dispatch, refuse)
		}
	}
	if _, dispatch, refuse := f.arrive("b", sharedPart(50)); dispatch != nil || refuse != nil {
		t.Fatalf("dispatched %+v, refused %+v", dispatch, refuse)
	}
	commands := f.step(MessageReceived{From: "other", Incarnation: 5, Message: Ticket{
		ID:        TicketID{Node: "other", Incarnation: 5, Request: 1, Attempt: 1},
		Shard:     shard,
		Workspace: "a",
		TimeLeft:  time.Second,
		Work:      Work{Parts: []PromptPart{ownPart(30)}, OutputTokens: 50},
		Objective: 400 * time.Millisecond,
	}})
	if grants := sentTo[Grant](commands, "other"); len(grants) != 1 || grants[0].Target != "e2" {
		t.Errorf("granted %+v", grants)
	}
}
