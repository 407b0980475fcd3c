package control

import (
	"time"

	"github.com/walnutcove/walnutcove/control/policy"
)

// Precedence and refusal of requests at targets that count their work in tokens.

const (
	// refusedRetention is how long a refused request is recognised when it is retried.
	// Callers retry within a third of the time that they have left.
	refusedRetention = 10 * time.Second
	// overloadRetryAfter is the mean retry time given to a request that is refused because
	// it cannot be answered in time: about the time in which the waiting requests are
	// served.
	overloadRetryAfter = time.Second
	// continuedObjective is the least time within which a stream may continue after its
	// caller has reconnected. Callers give up on a stream after two seconds of silence or
	// more, of which a part has passed by then; its first event was what had to be in time.
	continuedObjective = 1200 * time.Millisecond
)

// rank is the precedence of a request within a pool.
type rank int

const (
	// rankShare: within the workspace's share, and in time if it is served soon. This is
	// what callers are promised.
	rankShare rank = iota
	// rankExcess: beyond the workspace's share.
	rankExcess
	// rankReturning: refused before and retried. Its answer is late in any case, so
	// requests that can still be in time take precedence.
	rankReturning
	// rankDeferred: waited for so long that the answer is late; for pools that count in
	// slots.
	rankDeferred
)

// String returns the rank as written in logs.
func (r rank) String() string { return [...]string{"share", "excess", "returning", "deferred"}[r] }

// isExcess reports whether a request exceeds its workspace's share.
func (r rank) isExcess() bool { return r == rankExcess || r == rankReturning }

// spareFor returns how much of a target a rank may use. Returning requests may use a part,
// so that lightly loaded targets do not refuse them.
func (m *Machine) spareFor(r rank) policy.SpareLimit {
	switch r {
	case rankExcess:
		return m.opts.Tokens.Excess
	case rankReturning:
		return m.opts.Tokens.Returning
	default:
		return policy.SpareLimit{Slots: 1, Wait: 1}
	}
}

// hasSpare reports whether a target has capacity beyond what is reserved for the ranks
// before the given one.
func (m *Machine) hasSpare(t *target, r rank) bool {
	if r == rankShare || r == rankDeferred {
		return true
	}
	spare := m.spareFor(r)
	return t.engine.Utilisation() < spare.Slots && t.engine.Wait(m.now) <= scale(spare.Wait, m.maxWait(t.shard))
}

// classifyTicket sets the task, the objective and the rank of a ticket of a pool that counts
// in tokens, and how long it may wait.
func (m *Machine) classifyTicket(q *queuedTicket) {
	q.task = engineTaskOf(q.ticket.Work)
	q.task.Deadline = q.deadline
	if q.ticket.Objective > 0 {
		q.objective = m.now + q.ticket.Objective
	}
	if q.ticket.Objective > 0 && q.ticket.Continues {
		q.objective = m.now + max(q.ticket.Objective, continuedObjective)
	}
	q.waitUntil = m.latestUsefulStart(q)
	if q.ticket.Again {
		return // its share was counted already, and a refusal would waste the work done
	}
	shares := q.shard.shares
	amount := nominalService(q.task).Seconds()
	switch {
	case q.ticket.Continues && shares.TakeContinued(m.now, q.ticket.Workspace, amount):
		q.rank = rankShare
	case m.exceedsLocalLimit(q.shard, q.ticket.Workspace, q.task): // other nodes grant the rest
		q.rank = rankExcess
		q.waitUntil = m.now
	case m.isRetryOfRefused(q.ticket.Fingerprint):
		q.rank = rankReturning
		q.objective = 0
		q.waitUntil = m.now + millis(m.opts.Tokens.ReturnWaitMillis)
		if m.mustYield(q) {
			// Retries must not get capacity that was refused to other workspaces.
			q.waitUntil = m.now
		}
	case shares.Take(m.now, q.ticket.Workspace, amount) || m.opts.Tokens.NoShares:
		q.shareTaken = amount
	case m.mustYield(q):
		q.rank = rankExcess
		q.waitUntil = m.now
	default:
		q.rank = rankExcess
		if q.objective > 0 {
			q.waitUntil = min(q.waitUntil, m.now+scale(m.opts.Tokens.ExcessWaitPart, q.objective-m.now))
		}
	}
}

// requestsRefusedUnread notifies the schedulers of a pool which requests this node refused
// before reading them.
func (m *Machine) requestsRefusedUnread(ev RequestsRefusedUnread) {
	if m.topo == nil || m.topo.decl.Pools[ev.Pool].Tokens == nil {
		return
	}
	for _, id := range m.topo.pools[ev.Pool] {
		m.send(m.schedulerFor(id), UnreadNotice{Shard: id, Workspace: ev.Workspace, Count: ev.Count})
	}
}

// unreadNoticeReceived records requests that an entry refused before reading them.
func (m *Machine) unreadNoticeReceived(msg UnreadNotice) {
	s := m.sched.shards[msg.Shard]
	if s == nil || !m.countsTokens(s) {
		return
	}
	if s.shares.HasCredit(m.now, msg.Workspace) && m.hasRoom(s) {
		m.counters.UnreadWhileOwed += uint64(msg.Count)
	}
	s.shares.RefusedUnread(m.now, msg.Workspace, msg.Count)
	m.reportShareGap(s)
}

// hasRoom reports whether a target of the shard could currently take one more request
// within its workspace's share.
func (m *Machine) hasRoom(s *shard) bool {
	for _, t := range s.targets {
		if t.room(m.now) > 0 && t.engine.Wait(m.now) <= m.maxWait(s) {
			return true
		}
	}
	return false
}

// mustYield reports whether a ticket's workspace must leave spare capacity to another one.
func (m *Machine) mustYield(q *queuedTicket) bool {
	return !m.opts.Tokens.NoYield && q.shard.shares.Yields(m.now, q.ticket.Workspace, m.opts.Tokens.YieldPart)
}

// isRetryOfRefused reports whether a request was recently refused for lack of capacity.
func (m *Machine) isRetryOfRefused(fingerprint uint64) bool {
	return fingerprint != 0 && !m.opts.Tokens.NoReturning && m.sched.refusedFingerprints.has(m.now, fingerprint)
}

// latestUsefulStart returns the time after which a ticket's answer could not begin in time
// even at an idle target, so that waiting longer is useless. A request that no target can
// ever serve in time may wait for as long as its objective.
func (m *Machine) latestUsefulStart(q *queuedTicket) Instant {
	if q.objective <= 0 {
		return maxInstant
	}
	ideal := maxInstant
	for _, c := range m.listCandidates(q.shard.targets, q.task) {
		ideal = min(ideal, c.target.engine.PredictIdle(m.now, q.task, c.reads))
	}
	left := q.objective - m.now
	if ideal > scale(m.opts.Tokens.TimelyPart, left) {
		q.neverInTime = !m.isUsuallyInTime(q)
		return q.objective
	}
	return q.objective - ideal
}

// recordRefusal records that a ticket is refused because its answer cannot begin in time.
func (m *Machine) recordRefusal(q *queuedTicket) {
	q.shard.shares.Refused(m.now, q.ticket.Workspace)
	m.reportShareGap(q.shard)
	if q.ticket.Fingerprint != 0 {
		m.sched.refusedFingerprints.add(m.now, q.ticket.Fingerprint, refusedRetention)
	}
}
