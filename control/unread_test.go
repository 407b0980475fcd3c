package control

import "testing"

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
