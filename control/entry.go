package control

import (
	"sort"
	"time"

	"github.com/walnutcove/walnutcove/result"
)

// resendEvery is the period of sending an unanswered ticket again.
const resendEvery = 500 * time.Millisecond

// pending is a request that waits for a grant or runs under one.
type pending struct {
	ev       RequestArrived
	shard    ShardID
	sentTo   NodeID
	sentAt   Instant
	granted  bool
	grant    Grant
	from     NodeID
	started  Instant
	lastSeen Instant
}

// entry holds the requests that entered here.
type entry struct {
	requests map[RequestID]*pending
	ended    map[GrantID]*endedRun
}

// endedRun is a PhaseEnded report that waits for its acknowledgement.
type endedRun struct {
	report Report
	sentAt Instant
}

func newEntry() entry {
	return entry{requests: make(map[RequestID]*pending), ended: make(map[GrantID]*endedRun)}
}

func (m *Machine) ticketID(req RequestID, attempt uint32) TicketID {
	return TicketID{Node: m.opts.Node, Incarnation: m.opts.Incarnation, Request: req, Attempt: attempt}
}

func (m *Machine) requestArrived(ev RequestArrived) {
	refuse := func(code result.Code) {
		m.emit(Refuse{Request: ev.Request, Attempt: ev.Attempt, Code: code, RetryAfter: time.Second})
	}
	if m.topo == nil {
		refuse(result.NotReady)
		return
	}
	if m.members.draining {
		refuse(result.Draining)
		return
	}
	if ev.Deadline <= m.now {
		refuse(result.DeadlineBeforeGrant)
		return
	}
	shard, ok := m.pickShard(ev)
	if !ok {
		refuse(result.NoTarget)
		return
	}
	p := &pending{ev: ev, shard: shard}
	m.entry.requests[ev.Request] = p
	m.sendTicket(p)
}

func (m *Machine) pickShard(ev RequestArrived) (ShardID, bool) {
	shards := m.topo.pools[ev.Pool]
	best := -1
	for i, id := range shards {
		usable := false
		for _, name := range m.topo.targets[id] {
			if m.mayRun(name, ev.Workspace, ev.Excluded) {
				usable = true
				break
			}
		}
		if !usable {
			continue
		}
		if best < 0 || id.DataCentre == m.opts.DataCentre {
			best = i
		}
	}
	if best < 0 {
		return ShardID{}, false
	}
	return shards[best], true
}

func (m *Machine) sendTicket(p *pending) {
	p.sentTo = m.owner(p.shard)
	p.sentAt = m.now
	m.send(p.sentTo, Ticket{
		ID:          m.ticketID(p.ev.Request, p.ev.Attempt),
		Shard:       p.shard,
		Workspace:   p.ev.Workspace,
		CostHint:    p.ev.CostHint,
		TimeLeft:    p.ev.Deadline - m.now,
		PrefixHash:  p.ev.PrefixHash,
		Fingerprint: p.ev.Fingerprint,
		Excluded:    p.ev.Excluded,
	})
}

func (m *Machine) grantReceived(from NodeID, g Grant) {
	p := m.entry.requests[g.Ticket.Request]
	if p == nil || m.ticketID(p.ev.Request, p.ev.Attempt) != g.Ticket {
		m.returnGrant(from, g)
		return
	}
	if p.granted {
		if p.grant.ID != g.ID {
			m.returnGrant(from, g)
		}
		return
	}
	p.granted = true
	p.grant = g
	p.from = from
	p.started = m.now
	p.lastSeen = m.now
	m.emit(Dispatch{Request: p.ev.Request, Attempt: p.ev.Attempt, Grant: g.ID, Target: g.Target})
}

// returnGrant gives back a grant that was not used.
func (m *Machine) returnGrant(from NodeID, g Grant) {
	shard, _ := m.topo.shardOf(g.Target)
	m.sendEnded(from, Report{Grant: g.ID, Ticket: g.Ticket, Shard: shard, Target: g.Target,
		Phase: PhaseEnded, Outcome: OutcomeNotRun})
}

func (m *Machine) sendEnded(to NodeID, r Report) {
	m.entry.ended[r.Grant] = &endedRun{report: r, sentAt: m.now}
	m.send(to, r)
}

func (m *Machine) runEnded(ev RunEnded) {
	p := m.entry.requests[ev.Request]
	if p == nil || !p.granted || p.grant.ID != ev.Grant {
		return
	}
	delete(m.entry.requests, ev.Request)
	r := m.report(p, PhaseEnded)
	r.Outcome = ev.Outcome
	r.Service = ev.Service
	m.sendEnded(m.owner(p.shard), r)
	m.checkDrained()
}

func (m *Machine) report(p *pending, phase RunPhase) Report {
	return Report{
		Grant:       p.grant.ID,
		Ticket:      p.grant.Ticket,
		Shard:       p.shard,
		Workspace:   p.ev.Workspace,
		Target:      p.grant.Target,
		Phase:       phase,
		Service:     m.now - p.started,
		Fingerprint: p.ev.Fingerprint,
	}
}

func (m *Machine) refusalReceived(r Refusal) {
	p := m.entry.requests[r.Ticket.Request]
	if p == nil || p.granted || m.ticketID(p.ev.Request, p.ev.Attempt) != r.Ticket {
		return
	}
	delete(m.entry.requests, p.ev.Request)
	m.emit(Refuse{Request: p.ev.Request, Attempt: p.ev.Attempt, Code: r.Code, RetryAfter: r.RetryAfter})
	m.checkDrained()
}

func (m *Machine) waitingReceived(Waiting) {}

func (m *Machine) ackReceived(a ReportAck) {
	delete(m.entry.ended, a.Grant)
	m.checkDrained()
}

func (m *Machine) requestCancelled(ev RequestCancelled) {
	p := m.entry.requests[ev.Request]
	if p == nil || p.granted {
		return // a granted request ends with RunEnded
	}
	delete(m.entry.requests, ev.Request)
	m.send(p.sentTo, CancelTicket{Ticket: m.ticketID(p.ev.Request, p.ev.Attempt), Shard: p.shard})
	m.checkDrained()
}

func (m *Machine) entryTick() {
	for _, req := range m.sortedRequests() {
		p := m.entry.requests[req]
		switch {
		case p.granted && m.now-p.lastSeen >= time.Second:
			p.lastSeen = m.now
			m.send(m.owner(p.shard), m.report(p, PhaseRunning))
		case p.granted:
		case m.now >= p.ev.Deadline:
			delete(m.entry.requests, req)
			m.send(p.sentTo, CancelTicket{Ticket: m.ticketID(req, p.ev.Attempt), Shard: p.shard})
			m.emit(Refuse{Request: req, Attempt: p.ev.Attempt, Code: result.DeadlineBeforeGrant})
		case m.now-p.sentAt >= resendEvery || m.owner(p.shard) != p.sentTo:
			m.sendTicket(p)
		}
	}
	for id, e := range m.entry.ended {
		if m.now-e.sentAt >= resendEvery {
			e.sentAt = m.now
			m.send(m.owner(e.report.Shard), m.entry.ended[id].report)
		}
	}
	m.checkDrained()
}

func (m *Machine) sortedRequests() []RequestID {
	ids := make([]RequestID, 0, len(m.entry.requests))
	for id := range m.entry.requests {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}
