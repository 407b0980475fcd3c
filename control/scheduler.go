package control

import (
	"slices"
	"time"
)

// reclaimAfter is how long a grant may go without a report.
const reclaimAfter = 6 * time.Second

// waiting is a ticket in the queue of a shard.
type waiting struct {
	ticket   Ticket
	from     NodeID
	deadline Instant
}

// running is a grant that holds a slot.
type running struct {
	grant     Grant
	from      NodeID
	workspace string
	started   Instant
	seen      Instant
}

// schedShard is a shard scheduled here.
type schedShard struct {
	queue []*waiting
}

// scheduler holds the shards scheduled here.
type scheduler struct {
	shards  map[ShardID]*schedShard
	grants  map[GrantID]*running
	byTick  map[TicketID]GrantID
	load    map[string]int
	down    map[string]Instant
	service map[string]float64
	nextSeq uint64
	watched []string
	drained bool
}

func newScheduler() scheduler {
	return scheduler{
		shards:  make(map[ShardID]*schedShard),
		grants:  make(map[GrantID]*running),
		byTick:  make(map[TicketID]GrantID),
		load:    make(map[string]int),
		down:    make(map[string]Instant),
		service: make(map[string]float64),
	}
}

func (m *Machine) configChanged(ev ConfigChanged) {
	if m.topo != nil && ev.Snapshot.Version <= m.topo.version {
		return
	}
	m.topo = newTopology(ev.Snapshot)
	m.reassign()
}

// reassign recomputes the shards scheduled here.
func (m *Machine) reassign() {
	if m.topo == nil {
		return
	}
	var watch []string
	for id, names := range m.topo.targets {
		if m.owner(id) != m.opts.Node {
			delete(m.sched.shards, id)
			continue
		}
		watch = append(watch, names...)
		if m.sched.shards[id] == nil {
			m.sched.shards[id] = &schedShard{}
		}
	}
	slices.Sort(watch)
	if !slices.Equal(watch, m.sched.watched) {
		m.sched.watched = watch
		m.emit(WatchTargets{Targets: slices.Clone(watch)})
	}
}

func (m *Machine) mayRun(target, workspace string, excluded []string) bool {
	if m.topo.decl.Targets[target].Leaving || slices.Contains(excluded, target) {
		return false
	}
	only := m.topo.decl.Workspaces[workspace].Targets
	return len(only) == 0 || slices.Contains(only, target)
}

func (m *Machine) ticketReceived(from NodeID, t Ticket) {
	if m.topo == nil {
		return
	}
	if id, ok := m.sched.byTick[t.ID]; ok {
		m.send(from, m.sched.grants[id].grant)
		return
	}
	s := m.sched.shards[t.Shard]
	if s == nil {
		return // the entry will find the scheduler that the members agree on
	}
	for _, w := range s.queue {
		if w.ticket.ID == t.ID {
			return
		}
	}
	s.queue = append(s.queue, &waiting{ticket: t, from: from, deadline: m.now + t.TimeLeft})
	m.grantAll(t.Shard)
}

func (m *Machine) cancelReceived(c CancelTicket) {
	if s := m.sched.shards[c.Shard]; s != nil {
		s.queue = slices.DeleteFunc(s.queue, func(w *waiting) bool { return w.ticket.ID == c.Ticket })
	}
}

func (m *Machine) grantAll(id ShardID) {
	s := m.sched.shards[id]
	for s != nil && m.grantOne(id, s) {
	}
}

func (m *Machine) grantOne(id ShardID, s *schedShard) bool {
	best, bestTarget := -1, ""
	for i, w := range s.queue {
		if best >= 0 && m.sched.service[w.ticket.Workspace] >= m.sched.service[s.queue[best].ticket.Workspace] {
			continue
		}
		if target := m.freeTarget(id, w.ticket); target != "" {
			best, bestTarget = i, target
		}
	}
	if best < 0 {
		return false
	}
	w := s.queue[best]
	s.queue = slices.Delete(s.queue, best, best+1)
	m.grant(w, bestTarget)
	return true
}

func (m *Machine) grant(w *waiting, target string) {
	m.sched.nextSeq++
	g := Grant{
		ID:     GrantID{Scheduler: m.opts.Node, Incarnation: m.opts.Incarnation, Seq: m.sched.nextSeq},
		Ticket: w.ticket.ID,
		Target: target,
	}
	m.sched.grants[g.ID] = &running{grant: g, from: w.from, workspace: w.ticket.Workspace, started: m.now, seen: m.now}
	m.sched.byTick[w.ticket.ID] = g.ID
	m.sched.load[target]++
	m.sched.service[w.ticket.Workspace] += 1 / m.topo.share(w.ticket.Workspace)
	m.send(w.from, g)
}

func (m *Machine) freeTarget(id ShardID, t Ticket) string {
	best, bestFill := "", 1.0
	for _, name := range m.topo.targets[id] {
		if !m.mayRun(name, t.Workspace, t.Excluded) || m.sched.down[name] > m.now {
			continue
		}
		slots := max(1, m.topo.decl.Targets[name].Slots)
		fill := float64(m.sched.load[name]) / float64(slots)
		if fill < bestFill {
			best, bestFill = name, fill
		}
	}
	return best
}

func (m *Machine) reportReceived(from NodeID, r Report) {
	if m.topo == nil {
		return
	}
	g := m.sched.grants[r.Grant]
	if r.Phase == PhaseEnded {
		m.send(from, ReportAck{Grant: r.Grant})
		if g != nil {
			m.release(g)
		}
		return
	}
	if g == nil {
		g = &running{grant: Grant{ID: r.Grant, Ticket: r.Ticket, Target: r.Target}, from: from, workspace: r.Workspace}
		m.sched.grants[r.Grant] = g
		m.sched.byTick[r.Ticket] = r.Grant
		m.sched.load[r.Target]++
	}
	g.seen = m.now
}

func (m *Machine) release(g *running) {
	delete(m.sched.grants, g.grant.ID)
	delete(m.sched.byTick, g.grant.Ticket)
	m.sched.load[g.grant.Target]--
	if shard, ok := m.topo.shardOf(g.grant.Target); ok {
		m.grantAll(shard)
	}
}

func (m *Machine) targetLoad(TargetLoad) {}

func (m *Machine) targetUnreachable(ev TargetUnreachable) {
	m.sched.down[ev.Target] = m.now + time.Second
}

func (m *Machine) drainStarted() {
	m.members.draining = true
	m.members.nextBeat = m.now
	m.beat()
	m.reassign()
	m.checkDrained()
}

func (m *Machine) checkDrained() {
	if m.members.draining && len(m.entry.requests) == 0 && len(m.entry.ended) == 0 && !m.sched.drained {
		m.sched.drained = true
		m.emit(Drained{})
	}
}

func (m *Machine) tick() {
	if m.topo == nil {
		m.beat()
		return
	}
	m.beat()
	m.reassign()
	m.entryTick()
	for _, g := range m.sched.grants {
		if m.now-g.seen >= reclaimAfter {
			m.release(g)
		}
	}
	for id := range m.sched.shards {
		m.grantAll(id)
	}
}
