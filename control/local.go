package control

import (
	"time"

	"github.com/walnutcove/walnutcove/control/sched"
)

const (
	// overloadedFor is how long a pool counts as overloaded after its scheduler refused a
	// request for lack of capacity.
	overloadedFor = time.Second
	// localBurstTime sets the burst that a node may grant at once, as a time at its
	// permitted rate: it covers the requests that arrive while the node avoids the
	// scheduler.
	localBurstTime = avoidDuration
)

// localLimit is a token bucket on what a node grants in a shard that it does not own, while
// the owner does not answer and the pool is overloaded. Such a node does not see the grants
// of other nodes, so full targets look idle to it.
type localLimit struct {
	// credit is the service, in seconds, that may still be granted.
	credit    float64
	updatedAt Instant
}

// take reports whether a request is within the node's part of the capacity, and takes its
// amount from the bucket. The bucket fills at perSecond; both are in seconds of service.
func (l *localLimit) take(now Instant, perSecond, amount float64) bool {
	l.credit = min(l.credit+(now-l.updatedAt).Seconds()*perSecond, perSecond*localBurstTime.Seconds())
	l.updatedAt = now
	if l.credit <= 0 {
		return false
	}
	l.credit -= amount
	return true
}

// mayGrantLocally reports whether a request may go to this node's own queue of a shard that
// it does not own. First attempts may: beyond this node's limit that queue refuses them,
// and their callers retry later. Further attempts stay with the scheduler then, because
// work already done is lost if they are refused. After a crash all entries have many of
// these at once.
func (m *Machine) mayGrantLocally(r *request, id ShardID) bool {
	if r.ev.Attempt <= 1 || m.topo.decl.Pools[id.Pool].Tokens == nil {
		return true
	}
	return !m.exceedsLocalLimit(m.ensureShard(id), r.ev.Workspace, engineTaskOf(r.ev.Work))
}

// isBeyondShare reports whether the scheduler of a shard recently refused a request of a
// workspace as beyond its share.
func (m *Machine) isBeyondShare(id ShardID, workspace string) bool {
	at, refused := m.entry.beyondShareAt[shardWorkspace{id, workspace}]
	return refused && m.now-at <= overloadedFor
}

// exceedsLocalLimit reports whether a task exceeds what this node may grant on its own
// while the pool is overloaded: its equal part, among the live nodes, of the pool's
// declared capacity, and nothing of that for workspaces beyond their share. Otherwise a
// workspace whose callers use all nodes would get all parts, and one whose callers use only
// a few nodes only theirs.
func (m *Machine) exceedsLocalLimit(s *shard, workspace string, task sched.EngineTask) bool {
	refusedAt, wasOverloaded := m.entry.overloadedAt[s.id]
	if s.owned || !wasOverloaded || m.now-refusedAt > overloadedFor {
		return false
	}
	if m.isBeyondShare(s.id, workspace) {
		return true
	}
	capacity := m.topo.decl.Pools[s.id.Pool].Tokens.PerSecond * servicePerToken.Seconds()
	perSecond := capacity / float64(m.view.AliveOthers()+1)
	return !s.localLimit.take(m.now, perSecond, nominalService(task).Seconds())
}
