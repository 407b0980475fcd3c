package control

import (
	"testing"
	"time"
)

// TestSchedulerIsNotifiedOfUnreadRefusals guards against schedulers that do not know of requests
// which entries refused unread. The entry notifies the scheduler of the pool, be it on this or on
// another node, and no one if the pool does not count in tokens.
func TestSchedulerIsNotifiedOfUnreadRefusals(t *testing.T) {
	f := newTokenFleet("e1")
	f.step(RequestsRefusedUnread{Pool: "gen", Workspace: "a", Count: 3})
	if f.machine.sched.shards[ShardID{Pool: "gen"}] == nil {
		t.Fatal("this node does not schedule the pool")
	}
	f.addLargerNode()
	var sent []Send
	for _, command := range f.step(RequestsRefusedUnread{Pool: "gen", Workspace: "a", Count: 3}) {
		if send, ok := command.(Send); ok {
			sent = append(sent, send)
		}
	}
	want := UnreadNotice{Shard: ShardID{Pool: "gen"}, Workspace: "a", Count: 3}
	if len(sent) != 1 || sent[0].To != "other" || sent[0].Message != want {
		t.Errorf("sent %+v", sent)
	}
	for _, command := range f.step(RequestsRefusedUnread{Pool: "plain", Workspace: "a", Count: 3}) {
		if send, ok := command.(Send); ok {
			t.Errorf("sent %+v about an unknown pool", send)
		}
	}
}

// TestUnreadWhileOwedIsCounted guards against a counter that hides requests refused unread, or
// counts too many: it counts them as long as their workspace has share left and a target has room.
func TestUnreadWhileOwedIsCounted(t *testing.T) {
	f := newTokenFleet("e1")
	counted := func(workspace string, count int) uint64 {
		before := f.machine.Counters().UnreadWhileOwed
		f.step(RequestsRefusedUnread{Pool: "gen", Workspace: workspace, Count: count})
		return f.machine.Counters().UnreadWhileOwed - before
	}
	if got := counted("a", 3); got != 3 {
		t.Errorf("counted %d of 3 while the target is idle", got)
	}
	f.now += time.Second
	const wholeShare = 1e6 // seconds of service, more than any share
	if !f.machine.sched.shards[ShardID{Pool: "gen"}].shares.Take(f.now, "a", wholeShare) {
		t.Fatal("the share was used up before")
	}
	if got := counted("a", 3); got != 0 {
		t.Errorf("counted %d of a workspace whose share is used up, want 0", got)
	}
	if got := counted("b", 3); got != 3 {
		t.Errorf("counted %d of 3 of the other workspace", got)
	}
	for n := range uint64(50) {
		f.arrive("b", ownPart(n))
	}
	if got := counted("b", 3); got != 0 {
		t.Errorf("counted %d while the target has no room, want 0", got)
	}
}
