package control

import (
	"slices"
	"time"

	"github.com/walnutcove/walnutcove/result"
)

const (
	// ticketLease is how long a waiting ticket is kept without being sent again.
	ticketLease = 3*refreshEvery + time.Second
	// quietNoticeDelay is how long a quiet ticket waits before its entry is notified
	// that it does. It is well below resendEvery.
	quietNoticeDelay = 300 * time.Millisecond
	// cancelledRetention is how long a withdrawn ticket is remembered, in case the ticket
	// itself arrives later.
	cancelledRetention = time.Second
	// finishedRetention is how long an ended grant and its ticket are remembered.
	finishedRetention = 10 * time.Second
	// unownedRetention is how long a shard that another node owns is kept without work.
	unownedRetention = 5 * time.Second
	// watchDelay is how long a shard has to be owned before its targets' load is polled. A
	// node that starts owns every shard until it has received messages from the others,
	// and would otherwise poll every target of the fleet.
	watchDelay = 500 * time.Millisecond
)

// scheduler holds the shards scheduled here. A node schedules the shards that it owns in
// its own view, and any other shard for which tickets arrive: the entry that sent them has
// a different view of the fleet and found no better scheduler.
type scheduler struct {
	shards map[ShardID]*shard
	grants map[GrantID]*grant
	// byNode holds the grants by the entry node that received them.
	byNode     map[NodeID]map[GrantID]*grant
	workspaces map[string]*workspace
	// finished holds the GrantID of ended grants and the ticketKey of ended and withdrawn
	// tickets, so that late messages about them have no effect.
	finished expiringSet
	lastSeq  uint64
	// refusedFingerprints holds the fingerprints of requests refused for lack of capacity.
	refusedFingerprints expiringSet
	// candidateBuffer is reused by each placement; see Machine.listCandidates.
	candidateBuffer []candidate
	// slotChoices is reused by Machine.chooseBySpeed.
	slotChoices []slotChoice
	// watchedTargets is the last set emitted with WatchTargets; watchStale reports that it
	// may be outdated, to be checked from watchCheckAt on.
	watchedTargets []string
	watchStale     bool
	watchCheckAt   Instant
}

// ticketKey identifies a ticket at one shard.
type ticketKey struct {
	ticket TicketID
	shard  ShardID
}

func newScheduler() scheduler {
	return scheduler{
		shards:              make(map[ShardID]*shard),
		grants:              make(map[GrantID]*grant),
		byNode:              make(map[NodeID]map[GrantID]*grant),
		workspaces:          make(map[string]*workspace),
		finished:            newExpiringSet(),
		refusedFingerprints: newExpiringSet(),
	}
}

func (m *Machine) configChanged(ev ConfigChanged) {
	if ev.Snapshot.Version == 0 || (m.topo != nil && !ev.Snapshot.Order().After(m.topo.order)) {
		return
	}
	next := newTopology(ev.Snapshot)
	m.detectVanishedTargets(next)
	m.updateColdTargets(next)
	m.pruneNotices(next)
	m.entry.loadReports.prune(next)
	m.updateSoftware(next)
	m.topo = next
	for _, name := range sortedKeys(m.sched.workspaces) {
		m.sched.workspaces[name].applyConfig(m)
	}
	clear(m.fleet.owners)
	m.reassignShards()
	for _, s := range m.sched.sortedShards() {
		m.declareTargets(s)
	}
	m.updateCandidateShards()
	m.sendHeartbeats()
}

// reassignShards creates the shards that this node owns and releases the others once they
// have no work.
func (m *Machine) reassignShards() {
	if m.topo == nil {
		return
	}
	for _, pool := range sortedKeys(m.topo.pools) {
		for _, id := range m.topo.pools[pool] {
			if m.owner(id) == m.opts.Node && m.mayScheduleHere() {
				m.markOwned(m.ensureShard(id))
			} else if s := m.sched.shards[id]; s != nil {
				m.markUnowned(s)
			}
		}
	}
}

// markOwned records that this node owns a shard.
func (m *Machine) markOwned(s *shard) {
	if s.owned {
		return
	}
	s.owned, s.ownedAt = true, m.now
	m.sched.watchStale = true
	for _, t := range s.targets {
		m.armCold(t)
	}
}

// markUnowned records that another node owns a shard.
func (m *Machine) markUnowned(s *shard) {
	if s.owned {
		s.owned = false
		m.sched.watchStale = true
	}
	m.noteIfIdle(s)
}

// mayScheduleHere reports whether this node may schedule shards: not once it drains and
// another node can take over.
func (m *Machine) mayScheduleHere() bool {
	return !m.draining || m.opts.Policy == PolicyAlone || m.view.AliveOthers() == 0
}

// ensureShard returns the shard's queue at this node and creates it if needed.
func (m *Machine) ensureShard(id ShardID) *shard {
	s := m.sched.shards[id]
	if s != nil {
		return s
	}
	s = newShard(m.now, id)
	s.queue.Pending = func(workspace string) float64 {
		return m.sched.workspaces[workspace].account.Pending()
	}
	m.sched.shards[id] = s
	m.declareTargets(s)
	m.sched.watchStale = true
	return s
}

// dropShards removes every queue and grant: other nodes take over, or have done so.
func (m *Machine) dropShards() {
	for _, g := range m.sched.sortedGrants() {
		m.settleGrant(g, g.usedTime(m.now, g.reportedAt-g.grantedAt))
	}
	for _, s := range m.sched.sortedShards() {
		m.dropShard(s)
	}
	for _, w := range m.sched.workspaces {
		w.account.DropElsewhere()
	}
}

func (m *Machine) dropShard(s *shard) {
	for _, t := range s.sortedTickets() {
		m.removeTicket(t)
	}
	for _, t := range s.targets {
		m.timers.stop(&t.timer)
	}
	m.timers.stop(&s.timer)
	for name := range s.queuedWorkspaces {
		delete(m.sched.workspaces[name].flows, s.id)
	}
	delete(m.sched.shards, s.id)
	m.sched.watchStale = true
}

// updateWatchedTargets emits the set of targets whose load this node polls, if it has
// changed.
func (m *Machine) updateWatchedTargets() {
	if !m.sched.watchStale || m.now < m.sched.watchCheckAt {
		return
	}
	m.sched.watchStale = false
	var names []string
	for _, s := range m.sched.shards {
		if !s.owned {
			continue
		}
		if from := s.ownedAt + watchDelay; m.now < from {
			m.sched.watchStale, m.sched.watchCheckAt = true, from
			continue
		}
		for _, t := range s.targets {
			names = append(names, t.name)
		}
	}
	slices.Sort(names)
	if slices.Equal(names, m.sched.watchedTargets) {
		return
	}
	m.sched.watchedTargets = names
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
	s := m.ensureShard(t.Shard)
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

// enqueue puts a ticket in the queue and makes the grants that are now possible.
func (m *Machine) enqueue(s *shard, from NodeID, t Ticket) {
	class := m.classOf(s, t, rankShare)
	if refusal, refused := m.immediateRefusal(s, t, class); refused {
		m.send(from, refusal)
		m.noteIfIdle(s)
		return
	}
	if !m.beginTrial(t) {
		m.send(from, Refusal{Ticket: t.ID, Shard: t.Shard, Code: result.PartQuarantined, RetryAfter: m.jitter(trialInterval)})
		m.noteIfIdle(s)
		return
	}
	q := &queuedTicket{shard: s, from: from, ticket: t, deadline: m.now + t.TimeLeft, waitUntil: maxInstant}
	if m.countsTokens(s) {
		m.classifyTicket(q)
		class = m.classOf(s, t, q.rank)
	} else {
		m.setWaitLimits(q)
	}
	s.queued[t.ID] = q
	w := m.activeWorkspace(t.Workspace)
	m.pushTicket(q, w, class)
	w.waiting++
	q.refresh(m, from, t)
	if m.now >= q.waitUntil {
		m.refuseOverloaded(q)
		return
	}
	m.grantWaiting(s)
	if s.queued[t.ID] != nil {
		m.counters.TicketsQueued++
		if t.Quiet {
			q.noticeAt = m.now + quietNoticeDelay
			q.arm(m)
			return
		}
		m.sendWaiting(q)
	}
}

// immediateRefusal returns a refusal and true if a ticket has no prospect of a grant.
func (m *Machine) immediateRefusal(s *shard, t Ticket, c *class) (Refusal, bool) {
	f := Refusal{Ticket: t.ID, Shard: t.Shard}
	switch {
	case t.TimeLeft <= 0:
		f.Code = result.DeadlineBeforeGrant
	case m.isConvicted(t.Fingerprint):
		f.Code = result.Quarantined
	case m.refusesParts(s.id.Pool, t.Work):
		f.Code = result.PartQuarantined
		f.RetryAfter = m.jitter(partRetryAfter)
	case m.isClassUnservable(s, c):
		f.Code = m.unservableCode(s, c)
		f.RetryAfter = m.jitter(2 * minRetryAfter)
	default:
		return f, false
	}
	return f, true
}

func (m *Machine) sendWaiting(q *queuedTicket) {
	q.noticeAt = 0
	m.send(q.from, Waiting{Ticket: q.ticket.ID, Shard: q.shard.id, Ahead: q.shard.queue.Len() - 1})
}

func (m *Machine) cancelReceived(c CancelTicket) {
	m.sched.finished.add(m.now, ticketKey{c.Ticket, c.Shard}, cancelledRetention)
	s := m.sched.shards[c.Shard]
	if s == nil {
		return
	}
	if q := s.queued[c.Ticket]; q != nil {
		// Usually because another shard of the pool has granted it.
		s.queue.Withdraw(m.now, q.item)
		m.releaseTicket(q)
		m.noteIfIdle(s)
	}
}

// dropUnreachable removes the tickets of entry nodes that are unreachable, so that no slot
// is granted to them, and counts their runs as load of unknown origin: the target's load
// reports show how much of it continues. A live entry sends its tickets and running reports
// again.
func (m *Machine) dropUnreachable() {
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
				m.removeTicket(q)
			}
		}
		m.noteIfIdle(s)
	}
}

// dropRestarted removes the tickets of a node's past incarnations.
func (m *Machine) dropRestarted(node NodeID, current Incarnation) {
	for _, s := range m.sched.sortedShards() {
		for _, q := range s.sortedTickets() {
			if q.ticket.ID.Node == node && q.ticket.ID.Incarnation != current {
				m.removeTicket(q)
			}
		}
	}
}

// removeTicket removes a ticket that gets no grant from the queue.
func (m *Machine) removeTicket(q *queuedTicket) {
	q.shard.queue.Remove(m.now, q.item)
	m.releaseTicket(q)
}

// releaseTicket removes the state of a ticket that has left the queue.
func (m *Machine) releaseTicket(q *queuedTicket) {
	m.timers.stop(&q.timer)
	delete(q.shard.queued, q.ticket.ID)
	if q.shareTaken > 0 {
		q.shard.shares.Refund(m.now, q.ticket.Workspace, q.shareTaken)
	}
	if q.rank == rankDeferred {
		q.shard.deferral.waiting--
	}
	q.workspace.waiting--
	q.workspace.lastWaitingAt = m.now
}
