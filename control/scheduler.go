package control

import (
	"slices"
	"time"

	"github.com/walnutcove/walnutcove/result"
)

const (
	// ticketLease is how long a waiting ticket is kept without being sent again.
	ticketLease = 3*refreshEvery + time.Second
	// tellAfter is how long a quiet ticket waits before its entry is told. It
	// is well below resendEvery.
	tellAfter = 300 * time.Millisecond
	// cancelledKept is how long a withdrawn ticket is remembered, in case the
	// ticket itself comes later.
	cancelledKept = time.Second
	// finishedKept is how long an ended grant and its ticket are remembered.
	finishedKept = 10 * time.Second
	// guestKept is how long a shard without work is kept that another node
	// owns.
	guestKept = 5 * time.Second
	// watchAfter is how long a shard has to be owned before its targets' load is watched.
	// A node that starts owns every shard until it has heard of the others, and would
	// otherwise poll every target of the fleet.
	watchAfter = 500 * time.Millisecond
)

// scheduler holds the shards scheduled here. A node schedules the shards that
// it owns in its own view, and any other that tickets come for: the entry that
// sent them sees the fleet differently and has found no better scheduler.
type scheduler struct {
	shards map[ShardID]*shard
	grants map[GrantID]*grant
	// byNode holds the grants by the entry node that holds them.
	byNode     map[NodeID]map[GrantID]*grant
	workspaces map[string]*workspace
	finished   remembered
	nextSeq    uint64
	// turnedAway holds the fingerprints of requests refused for want of capacity.
	turnedAway remembered
	// candidates is used by each placement again; see Machine.candidates.
	candidates []candidate
	// watched is the last set given with WatchTargets; watchStale says that it may be
	// wrong, and is looked at again from watchAt on.
	watched    []string
	watchStale bool
	watchAt    Instant
}

// ticketKey finds a ticket at one shard.
type ticketKey struct {
	ticket TicketID
	shard  ShardID
}

func newScheduler() scheduler {
	return scheduler{
		shards:     make(map[ShardID]*shard),
		grants:     make(map[GrantID]*grant),
		byNode:     make(map[NodeID]map[GrantID]*grant),
		workspaces: make(map[string]*workspace),
		finished:   newRemembered(),
		turnedAway: newRemembered(),
	}
}

func (m *Machine) configChanged(ev ConfigChanged) {
	if ev.Snapshot.Version == 0 || (m.topo != nil && !ev.Snapshot.Order().After(m.topo.order)) {
		return
	}
	next := newTopology(ev.Snapshot)
	m.noteVanished(next)
	m.noteColdTargets(next)
	m.pruneNotices(next)
	m.topo = next
	for _, name := range sortedKeys(m.sched.workspaces) {
		m.sched.workspaces[name].follow(m)
	}
	clear(m.fleet.owners)
	m.reassign()
	for _, s := range m.sched.sortedShards() {
		m.declareTargets(s)
	}
	m.retarget()
	m.beatNow()
}

// reassign creates the shards that this node owns and lets the others go once
// they have no work.
func (m *Machine) reassign() {
	if m.topo == nil {
		return
	}
	for _, pool := range sortedKeys(m.topo.pools) {
		for _, id := range m.topo.pools[pool] {
			if m.owner(id) == m.opts.Node && m.mayScheduleHere() {
				m.own(m.shardHere(id))
			} else if s := m.sched.shards[id]; s != nil {
				m.disown(s)
			}
		}
	}
}

// own notes that this node owns a shard.
func (m *Machine) own(s *shard) {
	if s.owned {
		return
	}
	s.owned, s.ownedAt = true, m.now
	m.sched.watchStale = true
	for _, t := range s.targets {
		m.armCold(t)
	}
}

// disown notes that another node owns a shard.
func (m *Machine) disown(s *shard) {
	if s.owned {
		s.owned = false
		m.sched.watchStale = true
	}
	m.settleShard(s)
}

// mayScheduleHere is false once this node drains and another can take over.
func (m *Machine) mayScheduleHere() bool {
	return !m.draining || m.opts.Policy == PolicyAlone || m.view.Others() == 0
}

// shardHere returns the shard's queue at this node and makes one if needed.
func (m *Machine) shardHere(id ShardID) *shard {
	s := m.sched.shards[id]
	if s != nil {
		return s
	}
	s = newShard(m.now, id)
	s.queue.Pending = func(workspace string) float64 {
		return m.sched.workspaces[workspace].entry.Pending()
	}
	m.sched.shards[id] = s
	m.declareTargets(s)
	m.sched.watchStale = true
	return s
}

// dropShards forgets every queue and grant: others take over, or have done so.
func (m *Machine) dropShards() {
	for _, g := range m.sched.sortedGrants() {
		m.settle(g, g.used(m.now, g.seen-g.granted))
	}
	for _, s := range m.sched.sortedShards() {
		m.dropShard(s)
	}
	for _, w := range m.sched.workspaces {
		w.entry.Unlearn()
	}
}

func (m *Machine) dropShard(s *shard) {
	for _, t := range s.sortedTickets() {
		m.unqueue(t)
	}
	for _, t := range s.targets {
		m.timers.stop(&t.timer)
	}
	m.timers.stop(&s.timer)
	for name := range s.flows {
		delete(m.sched.workspaces[name].flows, s.id)
	}
	delete(m.sched.shards, s.id)
	m.sched.watchStale = true
}

// flushWatch tells the shell which targets' load to poll.
func (m *Machine) flushWatch() {
	if !m.sched.watchStale || m.now < m.sched.watchAt {
		return
	}
	m.sched.watchStale = false
	var names []string
	for _, s := range m.sched.shards {
		if !s.owned {
			continue
		}
		if from := s.ownedAt + watchAfter; m.now < from {
			m.sched.watchStale, m.sched.watchAt = true, from
			continue
		}
		for _, t := range s.targets {
			names = append(names, t.name)
		}
	}
	slices.Sort(names)
	if slices.Equal(names, m.sched.watched) {
		return
	}
	m.sched.watched = names
	m.emit(WatchTargets{Targets: slices.Clone(names)})
}

func (m *Machine) ticketReceived(from NodeID, t Ticket) {
	if m.topo == nil {
		return
	}
	if !m.mayScheduleHere() {
		m.send(from, m.heartbeat())
		return
	}
	key := ticketKey{t.ID, t.Shard}
	if m.sched.finished.has(m.now, key) {
		return
	}
	s := m.shardHere(t.Shard)
	if g := s.granted[t.ID]; g != nil {
		g.from = from
		m.sendGrant(g)
		return
	}
	if q := s.queued[t.ID]; q != nil {
		q.refresh(m, from, t)
		m.sendWaiting(q)
		return
	}
	m.enqueue(s, from, t)
}

// enqueue puts a ticket in the queue and grants what can be granted.
func (m *Machine) enqueue(s *shard, from NodeID, t Ticket) {
	class := m.classOf(s, t, rankShare)
	if refusal, refused := m.refusal(s, t, class); refused {
		m.send(from, refusal)
		m.settleShard(s)
		return
	}
	q := &queuedTicket{shard: s, from: from, ticket: t, deadline: m.now + t.TimeLeft, latest: never}
	if m.countsTokens(s) {
		m.describeWork(q)
		class = m.classOf(s, t, q.rank)
	} else {
		m.boundWait(q)
	}
	s.queued[t.ID] = q
	w := m.workspaceHere(t.Workspace)
	m.push(q, w, class)
	w.waiting++
	q.refresh(m, from, t)
	if m.now >= q.latest {
		m.refuseOverloaded(q)
		return
	}
	m.grantAll(s)
	if s.queued[t.ID] != nil {
		m.counters.TicketsQueued++
		if t.Quiet {
			q.tellAt = m.now + tellAfter
			q.arm(m)
			return
		}
		m.sendWaiting(q)
	}
}

// refusal says whether a ticket has no prospect of a grant.
func (m *Machine) refusal(s *shard, t Ticket, c *class) (Refusal, bool) {
	f := Refusal{Ticket: t.ID, Shard: t.Shard}
	switch {
	case t.TimeLeft <= 0:
		f.Code = result.DeadlineBeforeGrant
	case m.convicted(t.Fingerprint):
		f.Code = result.Quarantined
	case m.hopeless(s, c):
		f.Code = m.hopelessCode(s, c)
		f.RetryAfter = m.jitter(2 * minRetryAfter)
	default:
		return f, false
	}
	return f, true
}

func (m *Machine) sendWaiting(q *queuedTicket) {
	q.tellAt = 0
	m.send(q.from, Waiting{Ticket: q.ticket.ID, Shard: q.shard.id, Ahead: q.shard.queue.Len() - 1})
}

func (m *Machine) cancelReceived(c CancelTicket) {
	m.sched.finished.add(m.now, ticketKey{c.Ticket, c.Shard}, cancelledKept)
	s := m.sched.shards[c.Shard]
	if s == nil {
		return
	}
	if q := s.queued[c.Ticket]; q != nil {
		// Most often another shard of the pool has granted it.
		s.queue.Withdraw(m.now, q.item)
		m.forgetTicket(q)
		m.settleShard(s)
	}
}

// dropLost removes the tickets of entry nodes that cannot be reached, so that
// no slot is granted to them, and counts their runs as load of unknown origin:
// the target's reports tell how much of it goes on. A live entry sends its
// tickets and running reports again.
func (m *Machine) dropLost() {
	for _, node := range sortedKeys(m.sched.byNode) {
		if node != m.opts.Node && !m.view.Reachable(string(node)) {
			m.disownNode(node)
		}
	}
	for _, s := range m.sched.sortedShards() {
		if s.queue.Len() == 0 {
			continue
		}
		for _, q := range s.sortedTickets() {
			if q.from != m.opts.Node && !m.view.Reachable(string(q.from)) {
				m.counters.TicketsLapsed++
				m.unqueue(q)
			}
		}
		m.settleShard(s)
	}
}

// dropRestarted removes the tickets of a node's past incarnations.
func (m *Machine) dropRestarted(node NodeID, current Incarnation) {
	for _, s := range m.sched.sortedShards() {
		for _, q := range s.sortedTickets() {
			if q.ticket.ID.Node == node && q.ticket.ID.Incarnation != current {
				m.unqueue(q)
			}
		}
	}
}

// unqueue removes a ticket that gets no grant.
func (m *Machine) unqueue(q *queuedTicket) {
	q.shard.queue.Remove(m.now, q.item)
	m.forgetTicket(q)
}

// forgetTicket removes a ticket that has left the queue.
func (m *Machine) forgetTicket(q *queuedTicket) {
	m.timers.stop(&q.timer)
	delete(q.shard.queued, q.ticket.ID)
	if q.fromShare > 0 {
		q.shard.shares.Return(m.now, q.ticket.Workspace, q.fromShare)
	}
	if q.rank == rankDeferred {
		q.shard.deferral.waiting--
	}
	q.workspace.waiting--
	q.workspace.waitedAt = m.now
}
