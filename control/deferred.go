package control

import (
	"math"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/result"
)

// Requests of pools that count in slots wait in the order of arrival, but only for as long
// as their answers can be in time. A request that waited longer is deferred: those of its
// workspace that can still be in time go first. Without that, a pool with slightly too
// little capacity answers everybody late, as each request waits behind others that are late
// already.

const (
	// timelyWaitFraction limits how long a request may wait, as a fraction of the longest
	// wait after which its answer could still be in time. The rest is reserved for the
	// round trip and for runs longer than the mean.
	timelyWaitFraction = 0.7
	// minAveragingTime and averagingRuns set the time over which the rate of grants to
	// requests in time is averaged: long enough to include several runs, and short compared
	// with callers' deadlines.
	minAveragingTime = 250 * time.Millisecond
	averagingRuns    = 5
)

// deferral tracks the deferred requests of a shard.
type deferral struct {
	// waiting counts the deferred requests that wait, and served those that were granted.
	waiting int
	served  int
	// lastTimelyRate is the rate of grants to other requests, per second, as of
	// lastTimelyAt.
	lastTimelyRate float64
	lastTimelyAt   Instant
}

// recordGrant counts a grant at a pool with the given mean service time.
func (d *deferral) recordGrant(now Instant, r rank, service time.Duration) {
	if r == rankDeferred {
		d.served++
		return
	}
	d.lastTimelyRate = d.timelyRate(now, service) + 1/averagingTime(service).Seconds()
	d.lastTimelyAt = now
}

// timelyRate returns the rate of grants to requests that are in time, per second.
func (d *deferral) timelyRate(now Instant, service time.Duration) float64 {
	age := now - d.lastTimelyAt
	return d.lastTimelyRate * math.Exp(-age.Seconds()/averagingTime(service).Seconds())
}

// averagingTime returns the time over which the rate of grants is averaged: that of several
// runs.
func averagingTime(service time.Duration) time.Duration {
	return max(minAveragingTime, averagingRuns*service)
}

// setWaitLimits sets how long a ticket of a pool that counts in slots may wait.
func (m *Machine) setWaitLimits(q *queuedTicket) {
	answerTime := time.Duration(0) // objectives of streams apply to the first event
	if m.topo.decl.Pools[q.shard.id.Pool].Kind == config.KindService {
		answerTime = q.shard.meanService()
	}
	q.latestStart = max(m.now, q.deadline-answerTime)
	q.waitUntil = q.latestStart
	objective := q.ticket.Objective
	q.objective = m.now + objective
	if objective > 0 && m.isTooSlow(q.shard, objective) {
		q.waitUntil = m.now
		return
	}
	if objective > answerTime {
		q.waitUntil = min(q.waitUntil, m.now+scale(timelyWaitFraction, objective-answerTime))
	}
}

// meanService returns the mean service time of runs at the shard's targets; zero before any
// run has ended.
func (s *shard) meanService() time.Duration {
	var sum time.Duration
	withRuns := 0
	for _, t := range s.targets {
		if service := t.window.MeanService(); service > 0 {
			sum += service
			withRuns++
		}
	}
	if withRuns == 0 {
		return 0
	}
	return sum / time.Duration(withRuns)
}

// waitExpired handles a ticket that has waited for as long as it may. At pools that count
// in slots it is deferred if it can be expected to be served before its deadline, and
// checked again while it waits; otherwise it is refused while its caller still has time to
// retry.
func (m *Machine) waitExpired(q *queuedTicket) {
	s := q.shard
	if m.countsTokens(s) || m.now >= q.latestStart || !m.mayKeepWaiting(q) {
		m.refuseOverloaded(q)
		return
	}
	if q.rank != rankDeferred {
		m.counters.TicketsDeferred++
		q.rank = rankDeferred
		q.class = m.classOf(s, q.ticket, q.rank).name
		s.queue.Defer(q.item, q.class)
		s.deferral.waiting++
	}
	q.deferredServedSeen = s.deferral.served
	q.waitUntil = q.latestStart
	if service := s.meanService(); service > 0 {
		q.waitUntil = min(q.waitUntil, m.now+averagingTime(service))
	}
	q.arm(m)
}

// mayKeepWaiting reports whether a late ticket can be expected to be served before its
// deadline. Before it is deferred, this follows from the capacity that requests in time
// leave in the pool; afterwards, from whether any deferred request was served since the
// last check.
func (m *Machine) mayKeepWaiting(q *queuedTicket) bool {
	d := &q.shard.deferral
	if q.rank == rankDeferred {
		return d.served > q.deferredServedSeen
	}
	service := q.shard.meanService()
	if service == 0 {
		return true
	}
	spare := float64(q.shard.slots())/service.Seconds() - d.timelyRate(m.now, service)
	return float64(d.waiting) < spare*(q.latestStart-m.now).Seconds()
}

// slots returns how many runs the shard's targets serve at once.
func (s *shard) slots() int {
	sum := 0
	for _, t := range s.targets {
		sum += t.window.Slots()
	}
	return sum
}

// refuseOverloaded refuses a ticket that cannot be answered in time.
func (m *Machine) refuseOverloaded(q *queuedTicket) {
	m.counters.TicketsOverloaded++
	if m.countsTokens(q.shard) {
		m.recordRefusal(q)
	}
	m.removeTicket(q)
	m.send(q.from, Refusal{
		Ticket:     q.ticket.ID,
		Shard:      q.shard.id,
		Code:       result.Overloaded,
		RetryAfter: m.jitter(overloadRetryAfter),
		Excess:     q.rank.isExcess(),
		Ahead:      q.shard.queue.Len(),
	})
}
