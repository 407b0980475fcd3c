package control

import (
	"testing"
	"time"
)

// TestSchedulerLearnsWhatEntriesRefuse: an entry tells the scheduler of the pool, which is
// itself or another node, and nobody where the pool does not count in tokens.
func TestSchedulerLearnsWhatEntriesRefuse(t *testing.T) {
	f := newTokenFleet("e1")
	f.step(RequestsUnread{Pool: "gen", Workspace: "a", Count: 3})
	if f.machine.sched.shards[ShardID{Pool: "gen"}] == nil {
		t.Fatal("this node does not schedule the pool")
	}
	f.hearsLarger()
	var sent []Send
	for _, command := range f.step(RequestsUnread{Pool: "gen", Workspace: "a", Count: 3}) {
		if send, ok := command.(Send); ok {
			sent = append(sent, send)
		}
	}
	want := UnreadNotice{Shard: ShardID{Pool: "gen"}, Workspace: "a", Count: 3}
	if len(sent) != 1 || sent[0].To != "other" || sent[0].Message != want {
		t.Errorf("sent %+v", sent)
	}
	for _, command := range f.step(RequestsUnread{Pool: "plain", Workspace: "a", Count: 3}) {
		if send, ok := command.(Send); ok {
			t.Errorf("told %+v of a pool that is not known", send)
		}
	}
}

// TestUnreadWhileOwedIsCounted: what entries refuse unread is counted as lost to them as long
// as the workspace's share is not used up and a target has room.
func TestUnreadWhileOwedIsCounted(t *testing.T) {
	f := newTokenFleet("e1")
	lost := func() uint64 {
		f.step(RequestsUnread{Pool: "gen", Workspace: "a", Count: 3})
		return f.machine.Counters().UnreadWhileOwed
	}
	if got := lost(); got != 3 {
		t.Errorf("%d counted of an idle target", got)
	}
	for n := range uint64(50) {
		f.arrive("a", own(n))
	}
	if got := lost(); got != 3 {
		t.Errorf("%d counted while the target has no room", got)
	}
	shares := f.machine.sched.shards[ShardID{Pool: "gen"}].shares
	for n := uint64(100); shares.Owed(f.now, "a"); n++ {
		if n == 500 {
			t.Fatal("the share is never used up")
		}
		f.now += time.Millisecond
		f.arrive("a", thing(n))
	}
	f.addEngine("e2")
	if got := lost(); got != 3 {
		t.Errorf("%d counted of a workspace that is owed nothing", got)
	}
	f.step(RequestsUnread{Pool: "gen", Workspace: "b", Count: 1})
	if got := f.machine.Counters().UnreadWhileOwed; got != 4 {
		t.Errorf("%d counted, the other workspace included", got)
	}
}
