package control

import (
	"slices"
	"time"

	"github.com/walnutcove/walnutcove/control/sched"
	"github.com/walnutcove/walnutcove/result"
)

const (
	// grantLease is how long a grant is kept without a report.
	grantLease = 7 * time.Second
	// confirmWithin is how long a grant may go unconfirmed before it is sent again.
	confirmWithin = 1500 * time.Millisecond
	// minTopUp is the least slot time by which a running grant's charge grows
	// once the run has used up what was charged.
	minTopUp = 100 * time.Millisecond
	// topUpPart makes the step grow with the run: one part in this many.
	topUpPart = 4
	// equalFill is the difference in fill below which targets count as equally
	// loaded.
	equalFill = 0.125
)

// grant is a grant that holds a slot of a target.
type grant struct {
	id        GrantID
	ticket    TicketID
	from      NodeID
	shard     *shard
	target    *target
	workspace *workspace
	hint      time.Duration
	finger    uint64
	// granted is when the grant was made or adopted, and started when it is
	// taken to hold its slot: later if it waited behind others in the target.
	granted, started Instant
	// behind says that the target's slots were taken and none is free yet.
	behind bool
	// charged is the slot time charged so far.
	charged time.Duration
	// seen is when the entry last reported on the run; confirmed says that it did.
	seen      Instant
	sent      Instant
	confirmed bool
	// adopted says that another scheduler granted it.
	adopted bool
	// work is the run at a target that counts in tokens; nil at others.
	work *sched.EngineRun
	// place is why the target was chosen, where it counts in tokens.
	place placement
	timer timer
}

// grantAll grants until no waiting ticket finds room.
func (m *Machine) grantAll(s *shard) {
	if s.queue.Len() == 0 {
		return
	}
	var full map[string]bool // classes with excluded targets that the rest had no room for
	usable := func(name string) bool {
		c := s.classes[name]
		return c == nil || !full[name] && slices.ContainsFunc(c.targets, func(t *target) bool { return m.roomFor(c, t) })
	}
	for item := s.queue.Next(usable); item != nil; item = s.queue.Next(usable) {
		q := item.Value
		c := m.classOf(s, q.ticket, q.rank)
		if c.name != q.class {
			// The configuration changed while the ticket waited.
			s.queue.Remove(m.now, item)
			m.push(q, q.workspace, c)
			continue
		}
		if m.now >= q.deadline {
			m.unqueue(q)
			m.send(q.from, Refusal{Ticket: q.ticket.ID, Shard: s.id, Code: result.DeadlineBeforeGrant})
			continue
		}
		if m.countsTokens(s) {
			p := m.chooseEngine(c, q)
			if p.target == nil && len(c.excluded) > 0 {
				// What others exclude must not hold up those that may use all targets.
				if full == nil {
					full = make(map[string]bool)
				}
				full[c.name] = true
				continue
			}
			if p.target == nil {
				break // the workspace that received least goes first, when there is room for it
			}
			m.grantTicket(q, p)
			continue
		}
		t := m.chooseTarget(c, q.ticket.PrefixHash)
		if t == nil {
			continue // the class was only rebuilt now and has no room
		}
		m.grantTicket(q, placement{target: t})
	}
	m.armShard(s)
}

// roomFor says whether a target may be given a ticket of a class now.
func (m *Machine) roomFor(c *class, t *target) bool {
	if t.room(m.now) == 0 || !m.hasSpare(t, c.rank) {
		return false
	}
	return !c.suspect || !m.runsSuspect(t)
}

// runsSuspect says whether a target runs a request that may crash it.
func (m *Machine) runsSuspect(t *target) bool {
	for _, g := range t.shard.granted {
		if g.target == t && m.suspect(g.finger) {
			return true
		}
	}
	return false
}

// chooseTarget returns the least loaded target of a class with room. Among
// equally loaded ones it prefers one that likely holds the prefix in its cache.
func (m *Machine) chooseTarget(c *class, prefix uint64) *target {
	var best *target
	bestFill := 0.0
	for _, t := range c.targets {
		if !m.roomFor(c, t) {
			continue
		}
		if fill := t.window.Fill(m.now); best == nil || fill < bestFill {
			best, bestFill = t, fill
		}
	}
	if best == nil || prefix == 0 || m.opts.IgnorePrefixes || best.prefixes.has(prefix) {
		return best
	}
	for _, t := range c.targets {
		if t.prefixes.has(prefix) && m.roomFor(c, t) && t.window.Fill(m.now) < bestFill+equalFill {
			return t
		}
	}
	return best
}

func (m *Machine) grantTicket(q *queuedTicket, p placement) {
	t := p.target
	q.shard.queue.Serve(m.now, q.item)
	q.fromShare = 0
	m.forgetTicket(q)
	if t.engine == nil {
		q.shard.deferral.granted(m.now, q.rank, q.shard.usualService())
	}
	m.sched.nextSeq++
	g := &grant{
		id:        GrantID{Scheduler: m.opts.Node, Incarnation: m.epoch, Seq: m.sched.nextSeq},
		ticket:    q.ticket.ID,
		from:      q.from,
		shard:     q.shard,
		target:    t,
		workspace: q.workspace,
		hint:      q.ticket.CostHint,
		finger:    q.ticket.Fingerprint,
		granted:   m.now,
		seen:      m.now,
		place:     p,
	}
	m.counters.GrantsMade++
	t.window.Granted(m.now)
	if m.topo.decl.Pools[q.shard.id.Pool].ColdPerSecond > 0 {
		t.cold.record(m.now)
		m.armCold(t)
	}
	t.prefixes.granted(q.ticket.PrefixHash)
	estimate := g.workspace.estimate(q.shard.id.Pool).Charge(g.hint, m.typical(q.shard.id.Pool))
	if t.engine != nil {
		g.work = t.engine.Start(m.now, q.task, p.reads)
		estimate = nominal(q.task)
		q.shard.shares.Served(m.now, q.ticket.Workspace, estimate.Seconds())
	}
	m.holdGrant(g, estimate)
	m.sendGrant(g)
}

// typical is the slot time of a run in a pool as declared.
func (m *Machine) typical(pool string) time.Duration {
	if ms := m.topo.decl.Pools[pool].TypicalMillis; ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	return time.Second
}

// holdGrant counts a grant and charges its workspace.
func (m *Machine) holdGrant(g *grant, charge time.Duration) {
	m.sched.grants[g.id] = g
	g.shard.granted[g.ticket] = g
	of := m.sched.byNode[g.ticket.Node]
	if of == nil {
		of = make(map[GrantID]*grant)
		m.sched.byNode[g.ticket.Node] = of
	}
	of[g.id] = g
	g.workspace.running++
	g.target.take(m.now, g)
	g.charged = charge
	g.workspace.moved(g.shard, g.workspace.entry.Grant(charge))
	m.armGrant(g)
}

func (m *Machine) sendGrant(g *grant) {
	g.sent = m.now
	spare := -g.shard.queue.Len()
	if spare == 0 {
		for _, t := range g.shard.targets {
			spare += t.room(m.now)
		}
	}
	m.send(g.from, Grant{
		ID:        g.id,
		Ticket:    g.ticket,
		Target:    g.target.name,
		Spare:     spare,
		Start:     g.place.start,
		Reads:     g.place.reads,
		FetchFrom: g.place.fetchName(),
	})
}

// armGrant sets the grant's timer to the next thing to do.
func (m *Machine) armGrant(g *grant) {
	at := g.seen + grantLease
	if !g.behind && g.work == nil {
		at = min(at, g.started+g.charged)
	}
	if !g.confirmed {
		at = min(at, g.sent+confirmWithin)
	}
	m.timers.set(&g.timer, g, max(at, m.now+time.Millisecond))
}

// fire implements timed.
func (g *grant) fire(m *Machine) {
	if m.now >= g.seen+grantLease {
		m.reclaim(g)
		return
	}
	if !g.confirmed && m.now >= g.sent+confirmWithin {
		m.counters.GrantsResent++
		m.sendGrant(g)
	}
	if used := m.now - g.started; !g.behind && g.work == nil && used >= g.charged {
		step := max(minTopUp, used/topUpPart)
		m.charge(g.workspace, g.shard, used+step-g.charged)
		g.charged = used + step
	}
	m.armGrant(g)
}

// charge adds slot time to what a workspace received, in every queue here.
func (m *Machine) charge(w *workspace, s *shard, d time.Duration) {
	amount := w.entry.Charge(d)
	w.moved(s, amount)
}
