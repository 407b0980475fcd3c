package control

import "time"

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

// exceedsLocalLimit says whether a ticket goes beyond what this node may grant on its own:
// its part, among the nodes that live, of what the pool is declared to serve.
func (m *Machine) exceedsLocalLimit(q *queuedTicket) bool {
	s := q.shard
	fullAt, wasFull := m.entry.fullAt[s.id]
	if s.owned || !wasFull || m.now-fullAt > fullKept {
		return false
	}
	capacity := m.topo.decl.Pools[s.id.Pool].Tokens.PerSecond * nominalToken.Seconds()
	part := capacity / float64(m.view.Others()+1)
	return !s.local.take(m.now, part, nominal(q.task).Seconds())
}
