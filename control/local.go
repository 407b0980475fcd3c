package control

import (
	"time"

	"github.com/walnutcove/walnutcove/control/sched"
)

const (
	// fullKept is how long a pool counts as full after its scheduler refused a request for
	// want of capacity.
	fullKept = time.Second
	// localBurst is how much of its part a node may grant at once: as much as comes in while
	// it passes its scheduler over.
	localBurst = avoidFor
)

// localLimit bounds what a node grants of a shard that it does not own, while the owner does
// not answer and the pool is full. Such a node does not see what other nodes granted, so full
// targets look idle to it.
type localLimit struct {
	credit float64
	at     Instant
}

// take says whether a request lies within the node's part, in units a second, and uses it.
func (l *localLimit) take(now Instant, part, amount float64) bool {
	l.credit = min(l.credit+(now-l.at).Seconds()*part, part*localBurst.Seconds())
	l.at = now
	if l.credit <= 0 {
		return false
	}
	l.credit -= amount
	return true
}

// mayGrantAlone says whether a request may go to this node's own queue of a shard that it does
// not own. First tries may: beyond this node's limit that queue refuses them, and their callers
// come back. Second tries stay with the scheduler then, as what was begun is lost if they are
// refused. After a crash all entries have many of them at once.
func (m *Machine) mayGrantAlone(r *request, id ShardID) bool {
	if r.ev.Attempt <= 1 || m.topo.decl.Pools[id.Pool].Tokens == nil {
		return true
	}
	return !m.exceedsLocalLimit(m.shardHere(id), r.ev.Workspace, taskOf(r.ev.Work))
}

// isBeyondShare says whether the scheduler of a shard refused a request of a workspace as beyond
// its share a moment ago.
func (m *Machine) isBeyondShare(id ShardID, workspace string) bool {
	at, refused := m.entry.beyondShare[workspaceAt{id, workspace}]
	return refused && m.now-at <= fullKept
}

// exceedsLocalLimit says whether a task goes beyond what this node may grant on its own while
// the pool is full: its part, among the nodes that live, of what the pool is declared to serve,
// and nothing of that to workspaces beyond their share. One whose callers come by all nodes would
// have all parts, and one whose callers come by few of them only those.
func (m *Machine) exceedsLocalLimit(s *shard, workspace string, task sched.EngineTask) bool {
	fullAt, wasFull := m.entry.fullAt[s.id]
	if s.owned || !wasFull || m.now-fullAt > fullKept {
		return false
	}
	if m.isBeyondShare(s.id, workspace) {
		return true
	}
	capacity := m.topo.decl.Pools[s.id.Pool].Tokens.PerSecond * nominalToken.Seconds()
	part := capacity / float64(m.view.Others()+1)
	return !s.local.take(m.now, part, nominal(task).Seconds())
}
