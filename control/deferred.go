package control

import (
	"math"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/result"
)

// Requests of pools that count in slots wait in the order of arrival, but only for as long
// as their answer can be in time. One that waited longer is deferred: of its workspace's
// requests, those that can still be in time go first. Without that, a pool that is a little
// short answers everybody late, as each request waits behind others that are late already.

const (
	// timelyPart is the part of the time for which a request could wait and be in time that
	// it may wait for. The rest is for the way there and back, and for runs that are longer
	// than the mean.
	timelyPart = 0.7
	// leastAveraged and averagedRuns say over what time the service of requests in time is
	// averaged: long enough to count some runs, and short against callers' deadlines.
	leastAveraged = 250 * time.Millisecond
	averagedRuns  = 5
)

// deferral follows the deferred requests of a shard.
type deferral struct {
	waiting int
	// served counts the deferred requests that were granted.
	served int
	// timely is the rate of grants to other requests, a second, when it was last counted.
	timely    float64
	countedAt Instant
}

// granted counts a grant at a pool whose runs take so long.
func (d *deferral) granted(now Instant, of rank, service time.Duration) {
	if of == rankDeferred {
		d.served++
		return
	}
	d.timely = d.timelyPerSecond(now, service) + 1/averagedOver(service).Seconds()
	d.countedAt = now
}

// timelyPerSecond is the rate of grants to requests that are in time.
func (d *deferral) timelyPerSecond(now Instant, service time.Duration) float64 {
	age := now - d.countedAt
	return d.timely * math.Exp(-age.Seconds()/averagedOver(service).Seconds())
}

// averagedOver is the time over which the rate of grants is averaged: that of several runs.
func averagedOver(service time.Duration) time.Duration {
	return max(leastAveraged, averagedRuns*service)
}

// boundWait sets how long a ticket of a pool that counts in slots may wait.
func (m *Machine) boundWait(q *queuedTicket) {
	answer := time.Duration(0) // Objectives of streams are about the first event.
	if m.topo.decl.Pools[q.shard.id.Pool].Kind == config.KindService {
		answer = q.shard.usualService()
	}
	q.lastStart = max(m.now, q.deadline-answer)
	q.latest = q.lastStart
	if objective := q.ticket.Objective; objective > answer {
		q.latest = min(q.latest, m.now+times(timelyPart, objective-answer))
	}
}

// usualService is how long a run takes at the shard's targets, in the mean; zero before one
// has ended.
func (s *shard) usualService() time.Duration {
	var sum time.Duration
	known := 0
	for _, t := range s.targets {
		if service := t.window.Service(); service > 0 {
			sum += service
			known++
		}
	}
	if known == 0 {
		return 0
	}
	return sum / time.Duration(known)
}

// waitExpired takes in that a ticket's wait has come to its bound. At pools that count in
// slots it is deferred if it can be expected to be served before its deadline, and looked at
// again while it waits; otherwise it is refused, while its caller has time to come back.
func (m *Machine) waitExpired(q *queuedTicket) {
	s := q.shard
	if m.countsTokens(s) || m.now >= q.lastStart || !m.mayWaitOn(q) {
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
	q.servedSeen = s.deferral.served
	q.latest = q.lastStart
	if service := s.usualService(); service > 0 {
		q.latest = min(q.latest, m.now+averagedOver(service))
	}
	q.arm(m)
}

// mayWaitOn says whether a ticket that is late can be expected to be served before its
// deadline: by what requests that are in time leave of the pool's capacity, and once it is
// deferred, by whether any deferred request was served meanwhile.
func (m *Machine) mayWaitOn(q *queuedTicket) bool {
	d := &q.shard.deferral
	if q.rank == rankDeferred {
		return d.served > q.servedSeen
	}
	service := q.shard.usualService()
	if service == 0 {
		return true
	}
	spare := float64(q.shard.slots())/service.Seconds() - d.timelyPerSecond(m.now, service)
	return float64(d.waiting) < spare*(q.lastStart-m.now).Seconds()
}

// slots is how many runs the shard's targets serve at once.
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
		m.noteTurnedAway(q)
	}
	m.unqueue(q)
	m.send(q.from, Refusal{
		Ticket:     q.ticket.ID,
		Shard:      q.shard.id,
		Code:       result.Overloaded,
		RetryAfter: m.jitter(overloadPause),
		Excess:     q.rank.isExcess(),
		Ahead:      q.shard.queue.Len(),
	})
}
