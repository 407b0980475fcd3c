package control

import (
	"maps"
	"slices"
	"time"

	"github.com/walnutcove/walnutcove/result"
)

const (
	// resendEvery is the period of resending an unanswered ticket.
	resendEvery = 500 * time.Millisecond
	// refreshEvery is the period of resending a ticket that is known to wait.
	refreshEvery = 2 * time.Second
	// maxUnansweredTries is how many sends of a ticket without an answer mark a scheduler
	// as unresponsive.
	maxUnansweredTries = 3
	// maxTicketsPerRequest bounds the shards at which one request waits. Under PolicyAlone
	// every shard is scheduled here and there is no bound.
	maxTicketsPerRequest = 4
	// usualTicketsPerRequest is the number of shards at which a request waits even if they
	// are known to be backlogged.
	usualTicketsPerRequest = 2
	// hintLifetime is how long the state of a shard is remembered.
	hintLifetime = 200 * time.Millisecond
	// deepBacklogPerSlot is the number of waiting tickets per slot that make a backlog
	// deep.
	deepBacklogPerSlot = 2
	// avoidDuration is how long a scheduler that left a ticket unanswered is not asked.
	// Each time it ends, the next request waits for Options.LocalAfter if the scheduler
	// still does not answer; with a longer duration this node would continue to grant
	// without knowing the grants of others.
	avoidDuration = 250 * time.Millisecond
	// stallThreshold is the time between two steps of this node above which answers may
	// have arrived that it has not processed yet. An idle node ticks every 100 ms, but one
	// with an unanswered ticket has a timer for it.
	stallThreshold = 30 * time.Millisecond
	// maxInstant is later than any deadline.
	maxInstant = Instant(1<<63 - 1)
	// probeDepth bounds the waiting requests examined for one probe.
	probeDepth = 8
)

// sentTicket is a ticket sent to one shard.
type sentTicket struct {
	shard  ShardID
	to     NodeID
	sentAt Instant
	// firstAt is when the current series of unanswered sends began, and tries counts them.
	firstAt Instant
	tries   int
	// quiet reports that the scheduler need not answer at once.
	quiet bool
	// waiting reports that the scheduler answered that the ticket waits.
	waiting bool
	// refused reports that the scheduler will not grant.
	refused bool
}

// resendAt returns when the ticket is sent again.
func (m *Machine) resendAt(sent *sentTicket) Instant {
	switch {
	case sent.refused:
		return maxInstant
	case sent.waiting:
		return sent.sentAt + refreshEvery
	case m.opts.LocalAfter > 0 && sent.to != m.opts.Node:
		return sent.sentAt + m.opts.LocalAfter
	default:
		return sent.sentAt + resendEvery
	}
}

// shardHint is the latest known load of a shard.
type shardHint struct {
	at Instant
	// spare is the number of free slots; a negative value is the number of waiting tickets,
	// and zero means that the shard is full.
	spare int
}

// assignTicketID gives the request a new ticket id.
func (m *Machine) assignTicketID(r *request) {
	m.entry.lastAttempt++
	r.id = TicketID{
		Node:        m.opts.Node,
		Incarnation: m.opts.Incarnation,
		Request:     r.ev.Request,
		Attempt:     m.entry.lastAttempt,
	}
}

// addTicket sends the request's ticket to one more shard.
func (m *Machine) addTicket(r *request, id ShardID) {
	sent := &sentTicket{shard: id, firstAt: m.now, quiet: m.opts.LocalAfter == 0 && m.hasDeepBacklog(id)}
	r.tickets = append(r.tickets, sent)
	m.sendTicket(r, sent)
	m.armRequest(r)
}

func (m *Machine) sendTicket(r *request, sent *sentTicket) {
	to := m.schedulerFor(sent.shard)
	if owner := m.owner(sent.shard); to != owner && !m.mayGrantLocally(r, sent.shard) {
		to = owner
	}
	m.sendTicketTo(r, sent, to)
}

// schedulerFor returns the node to ask for grants of a shard: its owner, or this node while
// the owner leaves tickets unanswered.
func (m *Machine) schedulerFor(id ShardID) NodeID {
	owner := m.owner(id)
	if m.now < m.entry.avoidUntil[owner] {
		return m.opts.Node
	}
	return owner
}

// grantLocally sends a ticket that its scheduler left unanswered to this node's own queue
// of the shard. Both may grant: the second grant is returned.
func (m *Machine) grantLocally(r *request, sent *sentTicket) {
	m.counters.TicketsLocal++
	if unresponsiveFor := m.now - m.view.LastMessageAt(string(sent.to)); unresponsiveFor >= m.opts.LocalAfter && m.entry.avoidUntil[sent.to] < m.now {
		m.emit(SchedulerAvoided{Node: sent.to, Pool: r.ev.Pool, UnresponsiveFor: unresponsiveFor})
		m.entry.avoidUntil[sent.to] = m.now + avoidDuration
	}
	m.send(sent.to, CancelTicket{Ticket: r.id, Shard: sent.shard})
	m.sendTicketTo(r, sent, m.opts.Node)
}

func (m *Machine) sendTicketTo(r *request, sent *sentTicket, to NodeID) {
	sent.to = to
	sent.sentAt = m.now
	sent.tries++
	m.counters.TicketsSent++
	m.send(sent.to, Ticket{
		ID:             r.id,
		Shard:          sent.shard,
		Workspace:      r.ev.Workspace,
		CostHint:       r.ev.CostHint,
		TimeLeft:       r.ev.Deadline - m.now,
		PrefixHash:     r.ev.PrefixHash,
		Fingerprint:    r.ev.Fingerprint,
		Excluded:       r.ev.Excluded,
		AllowedRegions: r.regions,
		Software:       r.ev.Software,
		Work:           r.ev.Work,
		Objective:      objectiveLeft(r.ev, m.now),
		Again:          r.ev.Attempt > 1,
		Continues:      r.ev.Continues,
		Quiet:          sent.quiet,
	})
}

// objectiveLeft returns the time until the answer should begin, at least 1 µs once that
// time has passed; zero if there is no objective.
func objectiveLeft(ev RequestArrived, now Instant) time.Duration {
	if ev.Objective <= 0 {
		return 0
	}
	return max(time.Microsecond, ev.Objective-now)
}

// resendTicket sends a ticket again. A scheduler that left several unanswered is avoided
// for a while.
func (m *Machine) resendTicket(r *request, sent *sentTicket) {
	sent.quiet = false
	if m.opts.LocalAfter > 0 && !sent.waiting && sent.to != m.opts.Node {
		if m.sinceLastStep >= stallThreshold {
			sent.sentAt = m.now - m.opts.LocalAfter/2 // this node was paused, not the scheduler
			return
		}
		if !m.mayGrantLocally(r, sent.shard) {
			m.keepWaiting(r, sent)
			return
		}
		m.grantLocally(r, sent)
		return
	}
	if sent.waiting {
		sent.waiting = false
		sent.tries = 0
		sent.firstAt = m.now
	}
	if sent.tries >= maxUnansweredTries && sent.to != m.opts.Node {
		m.counters.SchedulersUnanswering++
		m.view.Unresponsive(m.now, sent.firstAt, string(sent.to))
	}
	m.counters.TicketsResent++
	m.sendTicket(r, sent)
}

// keepWaiting continues to wait for a scheduler that has not answered. The ticket is sent
// again only at long intervals: most likely it waits there unread.
func (m *Machine) keepWaiting(r *request, sent *sentTicket) {
	if m.now-sent.firstAt < resendEvery {
		sent.sentAt = m.now
		return
	}
	sent.firstAt = m.now
	m.counters.TicketsResent++
	m.sendTicketTo(r, sent, m.owner(sent.shard))
}

// restartTicket sends a ticket again at once, as to a scheduler that never received it.
func (m *Machine) restartTicket(r *request, sent *sentTicket) {
	sent.quiet = false
	sent.waiting = false
	sent.refused = false
	sent.tries = 0
	sent.firstAt = m.now
	m.counters.TicketsResent++
	m.sendTicket(r, sent)
	m.armRequest(r)
}

// findTicket returns the request and ticket to which a scheduler's answer belongs, or nil.
func (m *Machine) findTicket(id TicketID, shard ShardID) (*request, *sentTicket) {
	r := m.entry.requests[id.Request]
	if r == nil || r.id != id {
		return nil, nil
	}
	for _, sent := range r.tickets {
		if sent.shard == shard {
			return r, sent
		}
	}
	return nil, nil
}

func (m *Machine) waitingReceived(w Waiting) {
	m.recordHint(w.Shard, -w.Ahead-1)
	r, sent := m.findTicket(w.Ticket, w.Shard)
	if sent == nil {
		return
	}
	sent.waiting = true
	sent.sentAt = m.now
	if id, ok := m.nextShard(r); ok {
		m.addTicket(r, id)
		return
	}
	m.armRequest(r)
}

func (m *Machine) refusalReceived(f Refusal) {
	r, sent := m.findTicket(f.Ticket, f.Shard)
	if sent == nil {
		return
	}
	sent.refused = true
	if f.Code == result.Overloaded && sent.to != m.opts.Node {
		m.entry.overloadedAt[f.Shard] = m.now
		if f.Excess {
			m.entry.beyondShareAt[shardWorkspace{f.Shard, r.ev.Workspace}] = m.now
		}
	}
	if isTargetShortage(f.Code) {
		if id, ok := m.nextShard(r); ok {
			m.addTicket(r, id)
			return
		}
		if slices.ContainsFunc(r.tickets, func(sent *sentTicket) bool { return !sent.refused }) {
			m.armRequest(r)
			return
		}
	}
	after := f.RetryAfter
	if after <= 0 {
		after = m.retryAfter(r.ev.Workspace)
	}
	after = m.capRetryAfter(r.ev, f.Code, after)
	m.withdrawRequest(r)
	m.refuseWith(r.ev, Refuse{Code: f.Code, RetryAfter: after, Scheduler: sent.to, Excess: f.Excess, Ahead: f.Ahead})
}

// isTargetShortage reports whether a shard refused for lack of a target that may serve:
// another shard may have one.
func isTargetShortage(code result.Code) bool {
	switch code {
	case result.NoTarget, result.TargetsEvacuated, result.NoHomeTarget, result.TargetsUnavailable, result.SoftwareUnavailable:
		return true
	}
	return false
}

// nextShard chooses one more shard to ask: one with free slots, otherwise one whose state
// is unknown, otherwise any while few were asked.
func (m *Machine) nextShard(r *request) (ShardID, bool) {
	fallback, found := ShardID{}, false
	openTickets := 0
	for _, sent := range r.tickets {
		if !sent.refused {
			openTickets++
		}
	}
	if openTickets >= maxTicketsPerRequest && m.opts.Policy != PolicyAlone {
		return fallback, false
	}
	for _, id := range r.shards {
		if r.hasTicketAt(id) {
			continue
		}
		h := m.freshHint(id)
		if h != nil && h.spare > 0 {
			h.spare--
			return id, true
		}
		if !found && (h == nil || openTickets < usualTicketsPerRequest || m.opts.Policy == PolicyAlone) {
			fallback, found = id, true
		}
	}
	return fallback, found
}

// sendFirstTickets sends a new request's ticket to its first shard and, if the backlog
// there is deep, at once to another whose backlog is not.
func (m *Machine) sendFirstTickets(r *request) {
	m.addTicket(r, r.shards[0])
	if !m.hasDeepBacklog(r.shards[0]) {
		return
	}
	for _, id := range r.shards[1:] {
		if !m.hasDeepBacklog(id) {
			m.addTicket(r, id)
			return
		}
	}
}

// hasDeepBacklog reports whether so many tickets wait in a shard that none of its slots
// becomes idle before this node receives its state again.
func (m *Machine) hasDeepBacklog(id ShardID) bool {
	if m.opts.Policy == PolicyAlone {
		return false // all queues are local, and asking costs nothing
	}
	h := m.freshHint(id)
	decl := m.topo.shards[id]
	return h != nil && decl != nil && -h.spare >= deepBacklogPerSlot*decl.slots
}

func (r *request) hasTicketAt(id ShardID) bool {
	return slices.ContainsFunc(r.tickets, func(sent *sentTicket) bool { return sent.shard == id })
}

func (m *Machine) recordHint(id ShardID, spare int) {
	h := m.entry.hints[id]
	if h == nil {
		h = &shardHint{}
		m.entry.hints[id] = h
	}
	h.at, h.spare = m.now, spare
}

// freshHint returns the recently reported state of a shard, or nil.
func (m *Machine) freshHint(id ShardID) *shardHint {
	h := m.entry.hints[id]
	if h == nil || m.now-h.at > hintLifetime {
		return nil
	}
	return h
}

// cancelTickets withdraws a request's tickets, except for the one at the shard except.
func (m *Machine) cancelTickets(r *request, except ShardID) {
	for _, sent := range r.tickets {
		if sent.shard != except && !sent.refused {
			m.send(sent.to, CancelTicket{Ticket: r.id, Shard: sent.shard})
		}
	}
}

// entryTick probes shards whose state is unknown while requests wait.
func (m *Machine) entryTick() {
	if m.now < m.entry.nextProbeAt {
		return
	}
	m.entry.nextProbeAt = m.now + hintLifetime
	maps.DeleteFunc(m.entry.beyondShareAt, func(_ shardWorkspace, at Instant) bool { return m.now-at > overloadedFor })
	for _, pool := range sortedKeys(m.entry.waitingByPool) {
		for _, id := range m.topo.pools[pool] {
			if m.freshHint(id) == nil {
				m.offerTickets(id, 1)
			}
		}
	}
}

// offerTickets sends tickets of waiting requests to a shard that has not received them yet.
func (m *Machine) offerTickets(id ShardID, count int) {
	waiting := m.entry.waitingByPool[id.Pool]
	if waiting == nil {
		return
	}
	examined := 0
	for e := waiting.Front(); e != nil && count > 0 && examined < count+probeDepth; e = e.Next() {
		examined++
		r := e.Value.(*request)
		if len(r.tickets) < maxTicketsPerRequest && slices.Contains(r.shards, id) && !r.hasTicketAt(id) {
			m.addTicket(r, id)
			count--
		}
	}
}
