package control

import (
	"time"

	"github.com/walnutcove/walnutcove/result"
)

// Who goes first on targets that count their work in tokens, and who is refused.

const (
	// excessPart is the part of its objective that a request beyond its
	// workspace's share may wait for spare capacity.
	excessPart = 0.4
	// returnWait is how long a request that was refused and has come back may wait:
	// its objective has passed, and the caller waits some seconds more.
	returnWait = 50 * time.Millisecond
	// turnedAwayKept is how long a refused request is known when it comes back.
	// Callers come back within a third of the time that they have left.
	turnedAwayKept = 10 * time.Second
	// overloadPause is the mean advice to a request that is refused for its
	// objective: about the time in which what waits is served.
	overloadPause = time.Second
)

// rank orders the requests of a pool that counts in tokens.
type rank int

const (
	// rankShare: within the workspace's share, and in time if it is served soon.
	// This is what callers are promised.
	rankShare rank = iota
	// rankExcess: beyond the workspace's share.
	rankExcess
	// rankReturning: refused before and come back. It is late whatever happens, so
	// what it would use is better spent on a request that can be in time. Served
	// like any other, half of all late answers of an overloaded day were such ones.
	rankReturning
	// rankLast: the same, of a workspace that yields to others. What callers ask for
	// again must not get the capacity that was refused to those others: a workspace
	// got four times what another one did so.
	rankLast
)

// String returns the rank as it stands in logs.
func (r rank) String() string { return [...]string{"share", "excess", "returning", "last"}[r] }

// spare is how much of a target a rank may use: parts of its slots, and of the wait
// that unread prompts may make. The rest is kept for ranks before it. For what
// returns, less was better for all on overloaded days (from 0.6 of the slots and 0.5
// of the wait down to 0.25 and 0.15, the worth of a day rose by a fifth); the part
// that is left lets engines that do little refuse nobody. rankLast gets what only an
// engine that is all but idle has: with it, the workspace that took four times as much
// as another one no longer did so in four plays of that day.
var spare = [...]struct{ fill, wait float64 }{
	rankShare:     {1, 1},
	rankExcess:    {0.75, 0.8},
	rankReturning: {0.33, 0.15},
	rankLast:      {0.1, 0.05},
}

// hasSpare says whether a target has capacity beyond what is kept for ranks before
// the given one.
func (m *Machine) hasSpare(t *target, of rank) bool {
	if of == rankShare {
		return true
	}
	return t.engine.Fill() < spare[of].fill &&
		float64(t.engine.Wait(m.now)) <= spare[of].wait*float64(m.maxWait(t.shard))
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
	case m.hasReturned(q.ticket.Fingerprint):
		q.rank = rankReturning
		q.objective = 0
		q.latest = m.now + returnWait
		if shares.Yields(m.now, q.ticket.Workspace) {
			q.rank, q.latest = rankLast, m.now
		}
	case shares.Ask(m.now, q.ticket.Workspace, nominal(q.task).Seconds()):
	case shares.Yields(m.now, q.ticket.Workspace):
		q.rank = rankExcess
		q.latest = m.now
	default:
		q.rank = rankExcess
		if q.objective > 0 {
			wait := time.Duration(excessPart * float64(q.objective-m.now))
			q.latest = min(q.latest, m.now+wait)
		}
	}
}

// hasReturned says whether a request was refused of late for want of capacity.
func (m *Machine) hasReturned(fingerprint uint64) bool {
	return fingerprint != 0 && m.sched.turnedAway.has(m.now, fingerprint)
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
		ideal = min(ideal, c.target.engine.Predict(m.now, c.reads)-c.wait)
	}
	left := q.objective - m.now
	if float64(ideal) > timelyPart*float64(left) {
		return q.objective
	}
	return q.objective - ideal
}

// refuseOverloaded refuses a ticket whose answer cannot begin in time.
func (m *Machine) refuseOverloaded(q *queuedTicket) {
	m.counters.TicketsOverloaded++
	q.shard.shares.Refused(m.now, q.ticket.Workspace)
	if q.ticket.Fingerprint != 0 {
		m.sched.turnedAway.add(m.now, q.ticket.Fingerprint, turnedAwayKept)
	}
	m.unqueue(q)
	m.send(q.from, Refusal{
		Ticket:     q.ticket.ID,
		Shard:      q.shard.id,
		Code:       result.Overloaded,
		RetryAfter: m.jitter(overloadPause),
		Excess:     q.rank != rankShare,
		Ahead:      q.shard.queue.Len(),
	})
}
