package control

import (
	"maps"
	"slices"
	"time"

	"github.com/walnutcove/walnutcove/result"
)

const (
	// resendEvery is the period of sending an unanswered ticket again.
	resendEvery = 500 * time.Millisecond
	// refreshEvery is the period of sending a ticket again that is known to wait.
	refreshEvery = 2 * time.Second
	// unansweredTries is how many tickets without an answer speak against a
	// scheduler.
	unansweredTries = 3
	// maxAsks bounds the shards that one ticket waits at. Under PolicyAlone
	// every shard is scheduled here and there is no bound.
	maxAsks = 4
	// usualAsks is how many shards a ticket waits at though they are known to
	// be backlogged.
	usualAsks = 2
	// hintTime is how long the state of a shard is remembered.
	hintTime = 200 * time.Millisecond
	// deepFactor is how many tickets for each slot make a backlog deep.
	deepFactor = 2
	// avoidFor is how long a scheduler that left a ticket unanswered is not asked.
	// Each end of it costs the next request Options.LocalAfter if the scheduler is
	// still away; longer would go on granting without the whole picture.
	avoidFor = 250 * time.Millisecond
	// stallGap is the time between two steps of this node beyond which answers may
	// have arrived that it has not looked at yet. An idle node ticks each 100 ms, but
	// one with a ticket out has a timer for it.
	stallGap = 30 * time.Millisecond
	// never is later than any deadline.
	never = Instant(1<<63 - 1)
	// probeDepth bounds the waiting requests looked at for one probe.
	probeDepth = 8
)

// ask is a ticket sent to one shard.
type ask struct {
	shard  ShardID
	to     NodeID
	sentAt Instant
	// firstAt is when the present run of unanswered sends began.
	firstAt Instant
	tries   int
	// quiet says that the scheduler need not answer at once.
	quiet bool
	// waiting says that the scheduler answered that the ticket waits.
	waiting bool
	// refused says that the scheduler will not grant.
	refused bool
}

// due returns when the ticket is sent again.
func (m *Machine) due(a *ask) Instant {
	switch {
	case a.refused:
		return never
	case a.waiting:
		return a.sentAt + refreshEvery
	case m.opts.LocalAfter > 0 && a.to != m.opts.Node:
		return a.sentAt + m.opts.LocalAfter
	default:
		return a.sentAt + resendEvery
	}
}

// shardHint is what was last heard of a shard's load.
type shardHint struct {
	at Instant
	// spare is the number of free slots; below zero, that many tickets wait,
	// and zero means that it is full.
	spare int
}

// newTicket gives the request a ticket id of its own.
func (m *Machine) newTicket(r *request) {
	m.entry.nextAttempt++
	r.id = TicketID{
		Node:        m.opts.Node,
		Incarnation: m.opts.Incarnation,
		Request:     r.ev.Request,
		Attempt:     m.entry.nextAttempt,
	}
}

// ask sends the request's ticket to one more shard.
func (m *Machine) ask(r *request, id ShardID) {
	a := &ask{shard: id, firstAt: m.now, quiet: m.opts.LocalAfter == 0 && m.deep(id)}
	r.asks = append(r.asks, a)
	m.sendTicket(r, a)
	m.arm(r)
}

func (m *Machine) sendTicket(r *request, a *ask) {
	to := m.schedulerFor(a.shard)
	if owner := m.owner(a.shard); to != owner && !m.mayGrantAlone(r, a.shard) {
		to = owner
	}
	m.sendTicketTo(r, a, to)
}

// schedulerFor returns the node to ask for grants of a shard: its owner, or this
// node while the owner leaves tickets unanswered.
func (m *Machine) schedulerFor(id ShardID) NodeID {
	owner := m.owner(id)
	if m.now < m.entry.avoid[owner] {
		return m.opts.Node
	}
	return owner
}

// grantHere asks this node's own queue of the shard for a ticket that its
// scheduler left unanswered. Both may grant: the second grant is returned.
func (m *Machine) grantHere(r *request, a *ask) {
	m.counters.TicketsLocal++
	if silent := m.now - m.view.HeardAt(string(a.to)); silent >= m.opts.LocalAfter && m.entry.avoid[a.to] < m.now {
		m.emit(SchedulerAvoided{Node: a.to, Pool: r.ev.Pool, Silent: silent})
		m.entry.avoid[a.to] = m.now + avoidFor
	}
	m.send(a.to, CancelTicket{Ticket: r.id, Shard: a.shard})
	m.sendTicketTo(r, a, m.opts.Node)
}

func (m *Machine) sendTicketTo(r *request, a *ask, to NodeID) {
	a.to = to
	a.sentAt = m.now
	a.tries++
	m.counters.TicketsSent++
	m.send(a.to, Ticket{
		ID:             r.id,
		Shard:          a.shard,
		Workspace:      r.ev.Workspace,
		CostHint:       r.ev.CostHint,
		TimeLeft:       r.ev.Deadline - m.now,
		PrefixHash:     r.ev.PrefixHash,
		Fingerprint:    r.ev.Fingerprint,
		Excluded:       r.ev.Excluded,
		AllowedRegions: r.regions,
		Work:           r.ev.Work,
		Objective:      objectiveLeft(r.ev, m.now),
		Again:          r.ev.Attempt > 1,
		Quiet:          a.quiet,
	})
}

// objectiveLeft is the time until the answer should begin, at least one unit
// once it has passed; zero if there is no objective.
func objectiveLeft(ev RequestArrived, now Instant) time.Duration {
	if ev.Objective <= 0 {
		return 0
	}
	return max(time.Microsecond, ev.Objective-now)
}

// repeat sends a ticket again. A scheduler that left several unanswered is
// passed over for a while.
func (m *Machine) repeat(r *request, a *ask) {
	a.quiet = false
	if m.opts.LocalAfter > 0 && !a.waiting && a.to != m.opts.Node {
		if m.gap >= stallGap {
			a.sentAt = m.now - m.opts.LocalAfter/2 // this node stood still, not the scheduler
			return
		}
		if !m.mayGrantAlone(r, a.shard) {
			m.waitOn(r, a)
			return
		}
		m.grantHere(r, a)
		return
	}
	if a.waiting {
		a.waiting = false
		a.tries = 0
		a.firstAt = m.now
	}
	if a.tries >= unansweredTries && a.to != m.opts.Node {
		m.counters.SchedulersUnanswering++
		m.view.Unresponsive(m.now, a.firstAt, string(a.to))
	}
	m.counters.TicketsResent++
	m.sendTicket(r, a)
}

// waitOn goes on waiting for a scheduler that has not answered. The ticket is sent again only
// now and then: it most likely waits there unread.
func (m *Machine) waitOn(r *request, a *ask) {
	if m.now-a.firstAt < resendEvery {
		a.sentAt = m.now
		return
	}
	a.firstAt = m.now
	m.counters.TicketsResent++
	m.sendTicketTo(r, a, m.owner(a.shard))
}

// restart sends a ticket again at once, as to a scheduler that never saw it.
func (m *Machine) restart(r *request, a *ask) {
	a.quiet = false
	a.waiting = false
	a.refused = false
	a.tries = 0
	a.firstAt = m.now
	m.counters.TicketsResent++
	m.sendTicket(r, a)
	m.arm(r)
}

// asked returns the request and ask that a scheduler's answer is for, or nil.
func (m *Machine) asked(id TicketID, shard ShardID) (*request, *ask) {
	r := m.entry.requests[id.Request]
	if r == nil || r.id != id {
		return nil, nil
	}
	for _, a := range r.asks {
		if a.shard == shard {
			return r, a
		}
	}
	return nil, nil
}

func (m *Machine) waitingReceived(w Waiting) {
	m.hint(w.Shard, -w.Ahead-1)
	r, a := m.asked(w.Ticket, w.Shard)
	if a == nil {
		return
	}
	a.waiting = true
	a.sentAt = m.now
	if id, ok := m.nextShard(r); ok {
		m.ask(r, id)
		return
	}
	m.arm(r)
}

func (m *Machine) refusalReceived(f Refusal) {
	r, a := m.asked(f.Ticket, f.Shard)
	if a == nil {
		return
	}
	a.refused = true
	if f.Code == result.Overloaded && a.to != m.opts.Node {
		m.entry.fullAt[f.Shard] = m.now
		if f.Excess {
			m.entry.beyondShare[workspaceAt{f.Shard, r.ev.Workspace}] = m.now
		}
	}
	if isOfTargets(f.Code) {
		if id, ok := m.nextShard(r); ok {
			m.ask(r, id)
			return
		}
		if slices.ContainsFunc(r.asks, func(a *ask) bool { return !a.refused }) {
			m.arm(r)
			return
		}
	}
	after := f.RetryAfter
	if after <= 0 {
		after = m.retryAfter(r.ev.Workspace)
	}
	after = m.afterHoldOff(r.ev, f.Code, after)
	m.withdraw(r)
	m.refuseWith(r.ev, Refuse{Code: f.Code, RetryAfter: after, Scheduler: a.to, Excess: f.Excess, Ahead: f.Ahead})
}

// isOfTargets says whether a shard refused for want of a target that may serve: another shard
// may have one.
func isOfTargets(code result.Code) bool {
	switch code {
	case result.NoTarget, result.TargetsEvacuated, result.NoHomeTarget, result.TargetsUnavailable:
		return true
	}
	return false
}

// nextShard chooses one more shard to ask: one with free slots, else one whose
// state is not known, else any while few were asked.
func (m *Machine) nextShard(r *request) (ShardID, bool) {
	open, found := ShardID{}, false
	waits := 0
	for _, a := range r.asks {
		if !a.refused {
			waits++
		}
	}
	if waits >= maxAsks && m.opts.Policy != PolicyAlone {
		return open, false
	}
	for _, id := range r.shards {
		if r.hasAsked(id) {
			continue
		}
		h := m.freshHint(id)
		if h != nil && h.spare > 0 {
			h.spare--
			return id, true
		}
		if !found && (h == nil || waits < usualAsks || m.opts.Policy == PolicyAlone) {
			open, found = id, true
		}
	}
	return open, found
}

// askFirst sends a new request's ticket to its first shard and, if that one's
// backlog is deep, at once to another whose backlog is not.
func (m *Machine) askFirst(r *request) {
	m.ask(r, r.shards[0])
	if !m.deep(r.shards[0]) {
		return
	}
	for _, id := range r.shards[1:] {
		if !m.deep(id) {
			m.ask(r, id)
			return
		}
	}
}

// deep says that so many tickets wait in a shard that none of its slots falls
// idle before this node hears of it again.
func (m *Machine) deep(id ShardID) bool {
	if m.opts.Policy == PolicyAlone {
		return false // its queues are all here, and asking is free
	}
	h := m.freshHint(id)
	decl := m.topo.shards[id]
	return h != nil && decl != nil && -h.spare >= deepFactor*decl.slots
}

func (r *request) hasAsked(id ShardID) bool {
	return slices.ContainsFunc(r.asks, func(a *ask) bool { return a.shard == id })
}

func (m *Machine) hint(id ShardID, spare int) {
	h := m.entry.hints[id]
	if h == nil {
		h = &shardHint{}
		m.entry.hints[id] = h
	}
	h.at, h.spare = m.now, spare
}

// freshHint returns what was heard of a shard of late, or nil.
func (m *Machine) freshHint(id ShardID) *shardHint {
	h := m.entry.hints[id]
	if h == nil || m.now-h.at > hintTime {
		return nil
	}
	return h
}

// cancelAsks withdraws a request's tickets, but for the one at the shard except.
func (m *Machine) cancelAsks(r *request, except ShardID) {
	for _, a := range r.asks {
		if a.shard != except && !a.refused {
			m.send(a.to, CancelTicket{Ticket: r.id, Shard: a.shard})
		}
	}
}

// entryTick probes shards whose state is not known while requests wait.
func (m *Machine) entryTick() {
	if m.now < m.entry.nextProbe {
		return
	}
	m.entry.nextProbe = m.now + hintTime
	maps.DeleteFunc(m.entry.beyondShare, func(_ workspaceAt, at Instant) bool { return m.now-at > fullKept })
	for _, pool := range sortedKeys(m.entry.pools) {
		for _, id := range m.topo.pools[pool] {
			if m.freshHint(id) == nil {
				m.offer(id, 1)
			}
		}
	}
}

// offer sends tickets of waiting requests to a shard that did not get them yet.
func (m *Machine) offer(id ShardID, count int) {
	waiting := m.entry.pools[id.Pool]
	if waiting == nil {
		return
	}
	looked := 0
	for e := waiting.Front(); e != nil && count > 0 && looked < count+probeDepth; e = e.Next() {
		looked++
		r := e.Value.(*request)
		if len(r.asks) < maxAsks && slices.Contains(r.shards, id) && !r.hasAsked(id) {
			m.ask(r, id)
			count--
		}
	}
}
