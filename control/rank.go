package control

import (
	"time"

	"github.com/walnutcove/walnutcove/control/policy"
)

// Who goes first on targets that count their work in tokens, and who is refused.

const (
	// turnedAwayKept is how long a refused request is known when it comes back.
	// Callers come back within a third of the time that they have left.
	turnedAwayKept = 10 * time.Second
	// overloadPause is the mean advice to a request that is refused for its
	// objective: about the time in which what waits is served.
	overloadPause = time.Second
)

// rank orders the requests of a pool.
type rank int

const (
	// rankShare: within the workspace's share, and in time if it is served soon.
	// This is what callers are promised.
	rankShare rank = iota
	// rankExcess: beyond the workspace's share.
	rankExcess
	// rankReturning: refused before and retried. Its answer is late in any case, so
	// requests that can still be in time take precedence.
	rankReturning
	// rankDeferred: waited for so long that the answer is late; of pools that count in
	// slots.
	rankDeferred
)

// String returns the rank as it stands in logs.
func (r rank) String() string { return [...]string{"share", "excess", "returning", "deferred"}[r] }

// isExcess says whether a request lies beyond its workspace's share.
func (r rank) isExcess() bool { return r == rankExcess || r == rankReturning }

// spareOf is how much of a target a rank may use. Returning requests keep a part, so that
// lightly loaded engines do not refuse them.
func (m *Machine) spareOf(of rank) policy.Spare {
	switch of {
	case rankExcess:
		return m.opts.Tokens.Excess
	case rankReturning:
		return m.opts.Tokens.Returning
	default:
		return policy.Spare{Slots: 1, Wait: 1}
	}
}

// hasSpare says whether a target has capacity beyond what is kept for ranks before
// the given one.
func (m *Machine) hasSpare(t *target, of rank) bool {
	if of == rankShare || of == rankDeferred {
		return true
	}
	spare := m.spareOf(of)
	return t.engine.Fill() < spare.Slots && t.engine.Wait(m.now) <= times(spare.Wait, m.maxWait(t.shard))
}

// describeWork sets what follows from a ticket's tokens: its work, its objective,
// its rank, and how long it may wait.
func (m *Machine) describeWork(q *queuedTicket) {
	q.task = taskOf(q.ticket.Work)
	if q.ticket.Objective > 0 {
		q.objective = m.now + q.ticket.Objective
	}
	q.latest = m.latestStart(q)
	if q.ticket.Again {
		return // its share was counted, and the part that was done is lost otherwise
	}
	shares := q.shard.shares
	switch {
	case m.exceedsLocalLimit(q.shard, q.ticket.Workspace, q.task): // other nodes grant the rest
		q.rank = rankExcess
		q.latest = m.now
	case m.hasReturned(q.ticket.Fingerprint):
		q.rank = rankReturning
		q.objective = 0
		q.latest = m.now + millis(m.opts.Tokens.ReturnWaitMillis)
		if m.yields(q) {
			// Retries must not get capacity that was refused to other workspaces.
			q.latest = m.now
		}
	case shares.Ask(m.now, q.ticket.Workspace, nominal(q.task).Seconds()) || m.opts.Tokens.NoShares:
		q.fromShare = nominal(q.task).Seconds()
	case m.yields(q):
		q.rank = rankExcess
		q.latest = m.now
	default:
		q.rank = rankExcess
		if q.objective > 0 {
			q.latest = min(q.latest, m.now+times(m.opts.Tokens.ExcessWaitPart, q.objective-m.now))
		}
	}
}

// requestsUnread tells the schedulers of a pool what this node had to refuse unread.
func (m *Machine) requestsUnread(ev RequestsUnread) {
	if m.topo == nil || m.topo.decl.Pools[ev.Pool].Tokens == nil {
		return
	}
	for _, id := range m.topo.pools[ev.Pool] {
		m.send(m.schedulerFor(id), UnreadNotice{Shard: id, Workspace: ev.Workspace, Count: ev.Count})
	}
}

// unreadReceived takes in what an entry had to refuse unread.
func (m *Machine) unreadReceived(msg UnreadNotice) {
	s := m.sched.shards[msg.Shard]
	if s == nil || !m.countsTokens(s) {
		return
	}
	if s.shares.HasLeft(m.now, msg.Workspace) && m.hasRoom(s) {
		m.counters.UnreadWhileOwed += uint64(msg.Count)
	}
	s.shares.Unread(m.now, msg.Workspace, msg.Count)
	m.noteGap(s)
}

// hasRoom says whether a target of the shard could take one more request within its
// workspace's share now.
func (m *Machine) hasRoom(s *shard) bool {
	for _, t := range s.targets {
		if t.room(m.now) > 0 && t.engine.Wait(m.now) <= m.maxWait(s) {
			return true
		}
	}
	return false
}

// yields says whether a ticket's workspace is to leave spare capacity to another one.
func (m *Machine) yields(q *queuedTicket) bool {
	return !m.opts.Tokens.NoYield && q.shard.shares.Yields(m.now, q.ticket.Workspace, m.opts.Tokens.YieldPart)
}

// hasReturned says whether a request was refused of late for want of capacity.
func (m *Machine) hasReturned(fingerprint uint64) bool {
	return fingerprint != 0 && !m.opts.Tokens.NoReturning && m.sched.turnedAway.has(m.now, fingerprint)
}

// latestStart is when a ticket's answer could no longer begin in time even at an
// idle target: waiting longer is in vain. A request that no target can ever serve
// in time may wait for as long as its objective.
func (m *Machine) latestStart(q *queuedTicket) Instant {
	if q.objective <= 0 {
		return never
	}
	ideal := never
	for _, c := range m.candidates(q.shard.targets, q.task) {
		ideal = min(ideal, c.target.engine.Alone(q.task, c.reads))
	}
	left := q.objective - m.now
	if ideal > times(m.opts.Tokens.TimelyPart, left) {
		return q.objective
	}
	return q.objective - ideal
}

// noteTurnedAway takes in that a ticket is refused as its answer cannot begin in time.
func (m *Machine) noteTurnedAway(q *queuedTicket) {
	q.shard.shares.Refused(m.now, q.ticket.Workspace)
	m.noteGap(q.shard)
	if q.ticket.Fingerprint != 0 {
		m.sched.turnedAway.add(m.now, q.ticket.Fingerprint, turnedAwayKept)
	}
}
