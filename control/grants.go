package control

import (
	"slices"
	"time"

	"github.com/walnutcove/walnutcove/control/sched"
	"github.com/walnutcove/walnutcove/control/speed"
	"github.com/walnutcove/walnutcove/result"
)

const (
	// grantLease is how long a grant is kept without a report.
	grantLease = 7 * time.Second
	// confirmTimeout is how long a grant may go unconfirmed before it is sent again.
	confirmTimeout = 1500 * time.Millisecond
	// minChargeStep is the minimum slot time by which a running grant's charge is raised
	// once the run has used up what was charged.
	minChargeStep = 100 * time.Millisecond
	// chargeStepDivisor makes that step grow with the run: it is the time used so far
	// divided by this.
	chargeStepDivisor = 4
	// equalUtilisationMargin is the difference in utilisation below which targets count as
	// equally loaded.
	equalUtilisationMargin = 0.125
)

// grant is a grant that holds a slot of a target.
type grant struct {
	id          GrantID
	ticket      TicketID
	from        NodeID
	shard       *shard
	target      *target
	workspace   *workspace
	costHint    time.Duration
	fingerprint uint64
	// parts are the parts of the prompt that other requests may share, for targets that
	// count in tokens. continues reports that the request was granted before, and beganAt
	// is when the target began to answer; zero if it has not.
	parts     []uint64
	continues bool
	beganAt   Instant
	// grantedAt is when the grant was made or adopted, and startedAt when it is assumed to
	// occupy its slot: later if it waited behind others in the target.
	grantedAt, startedAt Instant
	// waitsInTarget reports that all of the target's slots were occupied and none has
	// become free for it yet.
	waitsInTarget bool
	// charged is the slot time charged so far.
	charged time.Duration
	// reportedAt is when the entry last reported on the run; confirmed reports whether it
	// did.
	reportedAt Instant
	sentAt     Instant
	confirmed  bool
	// adopted reports that another scheduler made the grant.
	adopted bool
	// engineRun is the modelled run at a target that counts in tokens; nil at others.
	engineRun *sched.EngineRun
	// speedMark marks startedAt for the target's speed estimate, and heldBefore counts the other
	// grants there at that time; for targets that count in slots and report their speed.
	speedMark  *speed.Mark
	heldBefore int
	// placement holds the predictions for which the target was chosen, if it counts in
	// tokens.
	placement placement
	timer     timer
}

// grantWaiting makes grants until there is no room for any waiting ticket.
func (m *Machine) grantWaiting(s *shard) {
	if s.queue.Len() == 0 {
		return
	}
	s.pacedUntil = 0
	var full map[string]bool // narrow classes whose targets had no room
	usable := func(name string) bool {
		c := s.classes[name]
		return c == nil || !full[name] && slices.ContainsFunc(c.targets, func(t *target) bool { return m.hasRoomFor(c, t) })
	}
	for item := s.queue.Next(usable); item != nil; item = s.queue.Next(usable) {
		q := item.Value
		c := m.classOf(s, q.ticket, q.rank)
		if c.name != q.class {
			// The configuration changed while the ticket waited.
			s.queue.Remove(m.now, item)
			m.pushTicket(q, q.workspace, c)
			continue
		}
		if m.now >= q.deadline {
			m.removeTicket(q)
			m.send(q.from, Refusal{Ticket: q.ticket.ID, Shard: s.id, Code: result.DeadlineBeforeGrant})
			continue
		}
		if m.countsTokens(s) {
			p := m.chooseTokenTarget(c, q)
			if p.target == nil && c.isNarrow() {
				// Tickets that may use some targets must not hold up those that may use
				// all of them.
				if full == nil {
					full = make(map[string]bool)
				}
				full[c.name] = true
				continue
			}
			if p.target == nil {
				break // wait for room: the workspace that received least goes first
			}
			if m.isHopeless(q, p) {
				m.refuseOverloaded(q)
				continue
			}
			m.grantTicket(q, p)
			continue
		}
		t := m.chooseSlotTarget(s, c, q.ticket.PrefixHash)
		if t == nil {
			continue // the class was just rebuilt and has no room
		}
		if m.mustDefer(q, t) {
			m.waitExpired(q)
			continue
		}
		m.grantTicket(q, placement{target: t})
	}
	m.armShard(s)
}

// hasRoomFor reports whether a target may be given a ticket of a class now.
func (m *Machine) hasRoomFor(c *class, t *target) bool {
	if t.room(m.now) == 0 || !m.hasSpare(t, c.rank) {
		return false
	}
	return !c.suspect || !m.runsSuspect(t)
}

// runsSuspect reports whether a target runs a request that is suspected of crashing
// targets.
func (m *Machine) runsSuspect(t *target) bool {
	for _, g := range t.shard.granted {
		if g.target == t && m.isSuspect(g.fingerprint) {
			return true
		}
	}
	return false
}

// chooseSlotTarget returns the least loaded target of a class with room. Among equally
// loaded ones it prefers one that probably has the prefix in its cache. If targets of the shard
// report their speed, the predicted end of the run decides instead.
func (m *Machine) chooseSlotTarget(s *shard, c *class, prefix uint64) *target {
	if s.speed != nil {
		return m.chooseBySpeed(s, c, prefix)
	}
	var best *target
	bestUtilisation := 0.0
	for _, t := range c.targets {
		if !m.hasRoomFor(c, t) {
			continue
		}
		if utilisation := t.window.Utilisation(m.now); best == nil || utilisation < bestUtilisation {
			best, bestUtilisation = t, utilisation
		}
	}
	if best == nil || prefix == 0 || m.opts.IgnorePrefixes || best.prefixes.has(prefix) {
		return best
	}
	for _, t := range c.targets {
		if t.prefixes.has(prefix) && m.hasRoomFor(c, t) && t.window.Utilisation(m.now) < bestUtilisation+equalUtilisationMargin {
			return t
		}
	}
	return best
}

func (m *Machine) grantTicket(q *queuedTicket, p placement) {
	t := p.target
	q.shard.queue.Serve(m.now, q.item)
	q.shareTaken = 0
	m.releaseTicket(q)
	if t.engine == nil {
		q.shard.deferral.recordGrant(m.now, q.rank, q.shard.meanService())
	}
	m.sched.lastSeq++
	g := &grant{
		id:          GrantID{Scheduler: m.opts.Node, Incarnation: m.epoch, Seq: m.sched.lastSeq},
		ticket:      q.ticket.ID,
		from:        q.from,
		shard:       q.shard,
		target:      t,
		workspace:   q.workspace,
		costHint:    q.ticket.CostHint,
		fingerprint: q.ticket.Fingerprint,
		parts:       partsOf(q.ticket.Work),
		continues:   q.ticket.Again || q.ticket.Continues,
		grantedAt:   m.now,
		reportedAt:  m.now,
		placement:   p,
	}
	m.counters.GrantsMade++
	if p.movedBySpeed {
		m.counters.GrantsMovedBySpeed++
	}
	t.window.Granted(m.now)
	if t.speed != nil && t.engine == nil {
		t.speed.Granted(m.now)
	}
	if t.failures > 0 {
		m.recordProbe(t, g)
	}
	if m.topo.decl.Pools[q.shard.id.Pool].ColdPerSecond > 0 {
		t.cold.record(m.now)
		m.armCold(t)
	}
	t.prefixes.addRecent(q.ticket.PrefixHash)
	estimate := g.workspace.estimate(q.shard.id.Pool).Charge(g.costHint, m.typicalService(q.shard.id.Pool))
	if t.engine != nil {
		g.engineRun = t.engine.Start(m.now, q.task, p.reads)
		estimate = nominalService(q.task)
		if q.ticket.Again || q.ticket.Continues {
			q.shard.shares.ServedAgain(m.now, q.ticket.Workspace, estimate.Seconds())
		} else {
			q.shard.shares.Served(m.now, q.ticket.Workspace, estimate.Seconds())
		}
	}
	m.registerGrant(g, estimate)
	m.sendGrant(g)
}

// typicalService returns the declared slot time of a run in a pool; 1 s if none is declared.
func (m *Machine) typicalService(pool string) time.Duration {
	if ms := m.topo.decl.Pools[pool].TypicalMillis; ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	return time.Second
}

// registerGrant counts a grant and charges its workspace.
func (m *Machine) registerGrant(g *grant, charge time.Duration) {
	m.sched.grants[g.id] = g
	g.shard.granted[g.ticket] = g
	byNode := m.sched.byNode[g.ticket.Node]
	if byNode == nil {
		byNode = make(map[GrantID]*grant)
		m.sched.byNode[g.ticket.Node] = byNode
	}
	byNode[g.id] = g
	g.workspace.running++
	g.target.addGrant(m.now, g)
	g.charged = charge
	g.workspace.updateFlows(g.shard, g.workspace.account.Grant(charge))
	m.armGrant(g)
}

func (m *Machine) sendGrant(g *grant) {
	g.sentAt = m.now
	spare := -g.shard.queue.Len()
	if spare == 0 {
		for _, t := range g.shard.targets {
			spare += t.room(m.now)
		}
	}
	m.send(g.from, Grant{
		ID:             g.id,
		Ticket:         g.ticket,
		Target:         g.target.name,
		Spare:          spare,
		PredictedStart: g.placement.start,
		Reads:          g.placement.reads,
		FetchFrom:      g.placement.fetchName(),
	})
}

// armGrant sets the grant's timer to the next time at which it needs attention.
func (m *Machine) armGrant(g *grant) {
	at := g.reportedAt + grantLease
	if !g.waitsInTarget && g.engineRun == nil {
		at = min(at, g.startedAt+g.charged)
	}
	if !g.confirmed {
		at = min(at, g.sentAt+confirmTimeout)
	}
	m.timers.set(&g.timer, g, max(at, m.now+time.Millisecond))
}

// fire implements timerOwner.
func (g *grant) fire(m *Machine) {
	if m.now >= g.reportedAt+grantLease {
		m.reclaimGrant(g)
		return
	}
	if !g.confirmed && m.now >= g.sentAt+confirmTimeout {
		m.counters.GrantsResent++
		m.sendGrant(g)
	}
	if used := m.now - g.startedAt; !g.waitsInTarget && g.engineRun == nil && used >= g.charged {
		step := max(minChargeStep, used/chargeStepDivisor)
		m.charge(g.workspace, g.shard, used+step-g.charged)
		g.charged = used + step
	}
	m.armGrant(g)
}

// charge adds slot time to the service that a workspace received, in every queue here.
func (m *Machine) charge(w *workspace, s *shard, d time.Duration) {
	amount := w.account.Charge(d)
	w.updateFlows(s, amount)
}
