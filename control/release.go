package control

import (
	"slices"
	"time"

	"github.com/walnutcove/walnutcove/control/sched"
)

func (m *Machine) reportReceived(from NodeID, r Report) {
	m.loadReported(r)
	if r.Phase == PhaseEnded {
		m.runEndedReported(from, r)
		return
	}
	if m.topo == nil {
		return
	}
	if m.sched.finished.has(m.now, r.Grant) {
		if r.Phase == PhaseOverdue {
			m.sched.finished.add(m.now, r.Grant, finishedRetention) // its slot stays free
		}
		return
	}
	g := m.sched.grants[r.Grant]
	if g == nil {
		m.adoptRun(from, r)
		return
	}
	g.from = from
	g.reportedAt = m.now
	g.confirmed = true
	m.armGrant(g)
	switch r.Phase {
	case PhaseBegan:
		m.runBeganReported(g, r.Service)
	case PhaseOverdue:
		g.target.addOverdue(g)
	case PhaseSilent:
		m.targetFailed(g.target, false, "silent")
	}
}

// adoptRun counts a run that another scheduler granted, or that this one had given up. It
// sends the grant to the entry as unconfirmed: if the report was late and the run has
// ended, the entry returns it.
func (m *Machine) adoptRun(from NodeID, r Report) {
	if !m.mayScheduleHere() {
		return
	}
	id, declared := m.topo.shardOf(r.Target)
	if !declared || id != r.Shard {
		return
	}
	s := m.ensureShard(id)
	if q := s.queued[r.Ticket]; q != nil {
		m.removeTicket(q)
	}
	if s.granted[r.Ticket] != nil {
		return // granted twice; the entry returns the other grant
	}
	m.counters.GrantsAdopted++
	g := &grant{
		id:          r.Grant,
		ticket:      r.Ticket,
		from:        from,
		shard:       s,
		target:      s.targetsByName[r.Target],
		workspace:   m.activeWorkspace(r.Workspace),
		fingerprint: r.Fingerprint,
		parts:       partsOf(r.Work),
		continues:   true,
		grantedAt:   m.now,
		reportedAt:  m.now,
		adopted:     true,
	}
	g.target.window.Adopted(m.now)
	if g.target.engine != nil {
		g.engineRun = g.target.engine.Adopt(m.now, sched.AdoptedRun{
			Task:  engineTaskOf(r.Work),
			Reads: r.Reads,
			Age:   r.Service,
			Began: r.Began || r.Reads == 0,
		})
	}
	if r.Began {
		g.beganAt = m.now
	}
	m.registerGrant(g, 0)
	if r.Phase == PhaseOverdue {
		g.target.addOverdue(g)
	}
	m.sendGrant(g)
}

func (m *Machine) runEndedReported(from NodeID, r Report) {
	m.send(from, ReportAck{Grant: r.Grant})
	isNew := !m.sched.finished.has(m.now, r.Grant)
	m.sched.finished.add(m.now, r.Grant, finishedRetention)
	m.sched.finished.add(m.now, ticketKey{r.Ticket, r.Shard}, finishedRetention)
	g := m.sched.grants[r.Grant]
	if g == nil {
		m.dropEndedTicket(r)
		if isNew && r.Outcome == OutcomeLost {
			m.partsLostElsewhere(r)
		}
		return
	}
	m.endGrant(g, r, from)
}

// dropEndedTicket removes the ticket of a run that ended under another scheduler's grant.
func (m *Machine) dropEndedTicket(r Report) {
	s := m.sched.shards[r.Shard]
	if s == nil {
		return
	}
	if q := s.queued[r.Ticket]; q != nil {
		m.removeTicket(q)
		m.noteIfIdle(s)
	}
}

// endGrant frees the slot and settles the charge.
func (m *Machine) endGrant(g *grant, r Report, from NodeID) {
	m.counters.GrantsEnded++
	used := g.usedTime(m.now, r.Service)
	if g.engineRun != nil {
		used = g.charged
	}
	switch r.Outcome {
	case OutcomeNotRun, OutcomeUnreachable, OutcomeRefused:
		used = 0
		g.target.window.Released(m.now)
	case OutcomeAnswered:
		if g.engineRun != nil {
			if !g.continues {
				g.target.engine.Complete(m.now, g.engineRun)
			}
			g.target.window.Released(m.now)
			break
		}
		g.workspace.estimate(g.shard.id.Pool).Learn(g.costHint, used)
		m.recordRun(g, used, r.Service)
	default:
		g.target.window.Released(m.now)
	}
	m.settleGrant(g, used)
	m.recordOutcome(g.target, r.Outcome)
	switch r.Outcome {
	case OutcomeAnswered:
		m.partsBegan(g)
		m.runAnswered(g.fingerprint)
		m.freeOverdue(g.target, g.grantedAt)
	case OutcomeLost:
		m.partsLost(g)
		m.runLost(g)
	}
	m.grantWaiting(g.shard)
	m.noteIfIdle(g.shard)
}

// recordRun updates the target's window with a complete run: used is the slot time, and
// service is what the entry measured, including the wait in the target.
func (m *Machine) recordRun(g *grant, used, service time.Duration) {
	if g.adopted {
		g.target.window.Released(m.now)
		return
	}
	m.learnRun(g, used)
	g.target.window.Ended(m.now, used, m.now-g.grantedAt-service)
}

// settleGrant removes a grant and corrects the charge to what was used.
func (m *Machine) settleGrant(g *grant, used time.Duration) {
	m.removeGrant(g)
	if g.engineRun != nil {
		g.target.engine.End(m.now, g.engineRun)
	}
	if next := g.target.releaseSlot(m.now, g, used); next != nil {
		m.armGrant(next)
	}
	g.workspace.running--
	m.charge(g.workspace, g.shard, used-g.charged)
}

func (m *Machine) removeGrant(g *grant) {
	m.timers.stop(&g.timer)
	g.target.grantEnded(g)
	delete(m.sched.grants, g.id)
	delete(g.shard.granted, g.ticket)
	byNode := m.sched.byNode[g.ticket.Node]
	delete(byNode, g.id)
	if len(byNode) == 0 {
		delete(m.sched.byNode, g.ticket.Node)
	}
}

// freeOverdue frees the slots of the overdue runs at a target that answered a run granted later:
// it serves, so their answers were lost.
func (m *Machine) freeOverdue(t *target, answeredGrantedAt Instant) {
	for _, g := range slices.Clone(t.overdue) {
		if g.grantedAt >= answeredGrantedAt {
			continue
		}
		m.counters.GrantsOverdue++
		m.sched.finished.add(m.now, g.id, finishedRetention)
		m.sched.finished.add(m.now, ticketKey{g.ticket, g.shard.id}, finishedRetention)
		t.window.Released(m.now)
		m.settleGrant(g, g.usedTime(m.now, g.reportedAt-g.grantedAt))
	}
}

// reclaimGrant frees the slot of a grant on which no reports arrive.
func (m *Machine) reclaimGrant(g *grant) {
	m.counters.GrantsReclaimed++
	g.target.window.Released(m.now)
	m.settleGrant(g, g.usedTime(m.now, g.reportedAt-g.grantedAt))
	m.grantWaiting(g.shard)
	m.noteIfIdle(g.shard)
}

// disownNode stops tracking the runs of an entry node.
func (m *Machine) disownNode(node NodeID) {
	for _, g := range sortedByID(m.sched.byNode[node]) {
		m.counters.GrantsDisowned++
		g.target.window.Disowned(m.now)
		m.settleGrant(g, g.reportedAt-g.startedAt)
		m.noteIfIdle(g.shard)
	}
}

// reclaimNode frees the slots held by an entry node's past incarnations.
func (m *Machine) reclaimNode(node NodeID, current Incarnation) {
	var gone []*grant
	for _, g := range m.sched.byNode[node] {
		if g.ticket.Incarnation != current {
			gone = append(gone, g)
		}
	}
	slices.SortFunc(gone, func(a, b *grant) int { return compareGrants(a.id, b.id) })
	for _, g := range gone {
		m.reclaimGrant(g)
	}
}

func (s *scheduler) sortedGrants() []*grant { return sortedByID(s.grants) }

// sortedGrants returns the grants of a target.
func (t *target) sortedGrants() []*grant {
	var own []*grant
	for _, g := range t.shard.granted {
		if g.target == t {
			own = append(own, g)
		}
	}
	slices.SortFunc(own, func(a, b *grant) int { return compareGrants(a.id, b.id) })
	return own
}

func sortedByID[K comparable](grants map[K]*grant) []*grant {
	all := make([]*grant, 0, len(grants))
	for _, g := range grants {
		all = append(all, g)
	}
	slices.SortFunc(all, func(a, b *grant) int { return compareGrants(a.id, b.id) })
	return all
}
