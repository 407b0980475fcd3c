package control

import (
	"slices"
	"time"

	"github.com/walnutcove/walnutcove/control/sched"
)

func (m *Machine) reportReceived(from NodeID, r Report) {
	if r.Phase == PhaseEnded {
		m.endReported(from, r)
		return
	}
	if m.topo == nil || m.sched.finished.has(m.now, r.Grant) {
		return
	}
	g := m.sched.grants[r.Grant]
	if g == nil {
		m.adopt(from, r)
		return
	}
	g.from = from
	g.seen = m.now
	g.confirmed = true
	m.armGrant(g)
	if r.Phase == PhaseBegan {
		m.beganReported(g, r.Service)
	}
}

// adopt counts a run that another scheduler granted, or that this one had
// given up. It sends the grant to the entry, as one that is not confirmed: if
// the report was late and the run has ended, the entry returns it.
func (m *Machine) adopt(from NodeID, r Report) {
	if !m.mayScheduleHere() {
		return
	}
	id, declared := m.topo.shardOf(r.Target)
	if !declared || id != r.Shard {
		return
	}
	s := m.shardHere(id)
	if q := s.queued[r.Ticket]; q != nil {
		m.unqueue(q)
	}
	if s.granted[r.Ticket] != nil {
		return // granted twice; the entry returns the other grant
	}
	m.counters.GrantsAdopted++
	g := &grant{
		id:        r.Grant,
		ticket:    r.Ticket,
		from:      from,
		shard:     s,
		target:    s.byName[r.Target],
		workspace: m.workspaceHere(r.Workspace),
		finger:    r.Fingerprint,
		granted:   m.now,
		seen:      m.now,
		adopted:   true,
	}
	g.target.window.Adopted(m.now)
	if g.target.engine != nil {
		g.work = g.target.engine.Adopt(m.now, sched.AdoptedRun{
			Task:  taskOf(r.Work),
			Reads: r.Reads,
			Age:   r.Service,
			Began: r.Began || r.Reads == 0,
		})
	}
	m.holdGrant(g, 0)
	m.sendGrant(g)
}

func (m *Machine) endReported(from NodeID, r Report) {
	m.send(from, ReportAck{Grant: r.Grant})
	m.sched.finished.add(m.now, r.Grant, finishedKept)
	m.sched.finished.add(m.now, ticketKey{r.Ticket, r.Shard}, finishedKept)
	g := m.sched.grants[r.Grant]
	if g == nil {
		m.dropEndedTicket(r)
		return
	}
	m.endGrant(g, r, from)
}

// dropEndedTicket removes the ticket of a run that ended under another
// scheduler's grant.
func (m *Machine) dropEndedTicket(r Report) {
	s := m.sched.shards[r.Shard]
	if s == nil {
		return
	}
	if q := s.queued[r.Ticket]; q != nil {
		m.unqueue(q)
		m.settleShard(s)
	}
}

// endGrant frees the slot and settles the charge.
func (m *Machine) endGrant(g *grant, r Report, from NodeID) {
	m.counters.GrantsEnded++
	used := g.used(m.now, r.Service)
	if g.work != nil {
		used = g.charged
	}
	switch r.Outcome {
	case OutcomeNotRun, OutcomeUnreachable, OutcomeRefused:
		used = 0
		g.target.window.Released(m.now)
	case OutcomeAnswered:
		if g.work != nil {
			g.target.window.Released(m.now)
			break
		}
		g.workspace.estimate(g.shard.id.Pool).Learn(g.hint, used)
		m.measure(g, used, r.Service)
	default:
		g.target.window.Released(m.now)
	}
	m.settle(g, used)
	m.runOutcome(g.target, r.Outcome)
	switch r.Outcome {
	case OutcomeAnswered:
		m.runAnswered(g.finger)
	case OutcomeLost:
		m.runLost(g)
	}
	m.grantAll(g.shard)
	m.settleShard(g.shard)
}

// measure teaches the target's window from a whole run: used is the slot time
// and service what the entry saw, with the wait in the target.
func (m *Machine) measure(g *grant, used, service time.Duration) {
	if g.adopted {
		g.target.window.Released(m.now)
		return
	}
	g.target.window.Ended(m.now, used, m.now-g.granted-service)
}

// settle forgets a grant and corrects the charge to what was used.
func (m *Machine) settle(g *grant, used time.Duration) {
	m.forgetGrant(g)
	if g.work != nil {
		g.target.engine.End(m.now, g.work)
	}
	if next := g.target.free(m.now, g, used); next != nil {
		m.armGrant(next)
	}
	g.workspace.running--
	m.charge(g.workspace, g.shard, used-g.charged)
}

func (m *Machine) forgetGrant(g *grant) {
	m.timers.stop(&g.timer)
	delete(m.sched.grants, g.id)
	delete(g.shard.granted, g.ticket)
	of := m.sched.byNode[g.ticket.Node]
	delete(of, g.id)
	if len(of) == 0 {
		delete(m.sched.byNode, g.ticket.Node)
	}
}

// reclaim frees the slot of a grant that nobody reports on.
func (m *Machine) reclaim(g *grant) {
	m.counters.GrantsReclaimed++
	g.target.window.Released(m.now)
	m.settle(g, g.used(m.now, g.seen-g.granted))
	m.grantAll(g.shard)
	m.settleShard(g.shard)
}

// disownNode gives up following the runs of an entry node.
func (m *Machine) disownNode(node NodeID) {
	for _, g := range inOrder(m.sched.byNode[node]) {
		m.counters.GrantsDisowned++
		g.target.window.Disowned(m.now)
		m.settle(g, g.seen-g.started)
		m.settleShard(g.shard)
	}
}

// reclaimNode frees the slots of an entry node's past incarnations.
func (m *Machine) reclaimNode(node NodeID, current Incarnation) {
	var gone []*grant
	for _, g := range m.sched.byNode[node] {
		if g.ticket.Incarnation != current {
			gone = append(gone, g)
		}
	}
	slices.SortFunc(gone, func(a, b *grant) int { return compareGrants(a.id, b.id) })
	for _, g := range gone {
		m.reclaim(g)
	}
}

func (s *scheduler) sortedGrants() []*grant { return inOrder(s.grants) }

func (s *shard) sortedGrants() []*grant { return inOrder(s.granted) }

func inOrder[K comparable](grants map[K]*grant) []*grant {
	all := make([]*grant, 0, len(grants))
	for _, g := range grants {
		all = append(all, g)
	}
	slices.SortFunc(all, func(a, b *grant) int { return compareGrants(a.id, b.id) })
	return all
}
