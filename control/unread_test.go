package control

import (
	"testing"
	"time"
)

// TestSchedulerLearnsWhatEntriesRefuse: an entry tells the scheduler of the pool, which is
// itself or another node, and nobody where the pool does not count in tokens.
func TestSchedulerLearnsWhatEntriesRefuse(t *testing.T) {
	f := newTokenFleet("e1")
	f.step(RequestsRefusedUnread{Pool: "gen", Workspace: "a", Count: 3})
	if f.machine.sched.shards[ShardID{Pool: "gen"}] == nil {
		t.Fatal("this node does not schedule the pool")
	}
	f.hearsLarger()
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
			t.Errorf("told %+v of a pool that is not known", send)
		}
	}
}

// TestUnreadWhileOwedIsCounted: what entries refuse unread is counted as lost to them as long
// as the workspace's share is not used up and a target has room.
func TestUnreadWhileOwedIsCounted(t *testing.T) {
	f := newTokenFleet("e1")
	counted := func(workspace string, count int) uint64 {
		before := f.machine.Counters().UnreadWhileOwed
		f.step(RequestsRefusedUnread{Pool: "gen", Workspace: workspace, Count: count})
		return f.machine.Counters().UnreadWhileOwed - before
	}
	if got := counted("a", 3); got != 3 {
		t.Errorf("%d of 3 counted of an idle target", got)
	}
	f.now += time.Second
	const muchMore = 1e6
	if !f.machine.sched.shards[ShardID{Pool: "gen"}].shares.Ask(f.now, "a", muchMore) {
		t.Fatal("the share was used up before")
	}
	if got := counted("a", 3); got != 0 {
		t.Errorf("%d counted of a workspace whose share is used up", got)
	}
	if got := counted("b", 3); got != 3 {
		t.Errorf("%d of 3 counted of the other workspace", got)
	}
	for n := range uint64(50) {
		f.arrive("b", own(n))
	}
	if got := counted("b", 3); got != 0 {
		t.Errorf("%d counted while the target has no room", got)
	}
}
