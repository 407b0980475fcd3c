package control

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/control/sched"
	"github.com/walnutcove/walnutcove/result"
)

// classesKept is how many classes a shard may have before unused ones go.
const classesKept = 32

// shard is the queue of one shard at its scheduler.
type shard struct {
	id ShardID
	// owned says that this node owns the shard in its own view.
	owned bool
	// ownedAt is since when.
	ownedAt Instant
	// local bounds what is granted here while another node owns the shard.
	local   localLimit
	idleAt  Instant
	queue   *sched.Queue[*queuedTicket]
	queued  map[TicketID]*queuedTicket
	granted map[TicketID]*grant
	// flows names the workspaces that the queue remembers.
	flows map[string]bool
	// targets are those declared, in order of name.
	targets []*target
	byName  map[string]*target
	classes map[string]*class
	// shares are the workspaces' shares of a pool that counts in tokens.
	shares *sched.Shares
	// reading is how its targets read prompts; nil for other pools.
	reading *sched.Reading
	// nextGap is when a gap between workspaces is next looked for.
	nextGap Instant
	// deferral follows the requests that waited for too long; of pools that count in slots.
	deferral deferral
	timer    timer
}

// class is a set of targets that may run a ticket: what its workspace may
// reach without what it excludes.
type class struct {
	name string
	// workspace is given if the class is narrowed for it.
	workspace string
	excluded  []string
	regions   config.AllowedRegions
	// suspect says that a target that runs a suspect must not be used.
	suspect bool
	// rank is that of its tickets: it says how much of the capacity they may use.
	rank    rank
	targets []*target
}

// queuedTicket is a ticket that waits at its scheduler.
type queuedTicket struct {
	shard     *shard
	from      NodeID
	ticket    Ticket
	workspace *workspace
	item      *sched.Item[*queuedTicket]
	class     string
	// task and objective are set for targets that count in tokens: the work, and
	// when the answer should have begun, zero for no such time.
	task      sched.EngineTask
	objective Instant
	// rank says whom it goes before, and fromShare what the ticket took of its workspace's share;
	// zero once it is granted.
	rank      rank
	fromShare float64
	// latest is when waiting longer is in vain; see Machine.latestStart and boundWait.
	latest Instant
	// lastStart is when a run could no longer end before the deadline; for pools that
	// count in slots.
	lastStart Instant
	// servedSeen is how many deferred requests were served when a deferred one was looked at.
	servedSeen int
	deadline   Instant
	lease      Instant
	// tellAt is when the entry is told that the ticket waits; zero if it was.
	tellAt Instant
	timer  timer
}

func newShard(now Instant, id ShardID) *shard {
	return &shard{
		id:      id,
		idleAt:  now,
		queue:   sched.NewQueue[*queuedTicket](),
		queued:  make(map[TicketID]*queuedTicket),
		granted: make(map[TicketID]*grant),
		flows:   make(map[string]bool),
		byName:  make(map[string]*target),
		classes: make(map[string]*class),
		shares:  sched.NewShares(0),
	}
}

// declareTargets follows the configuration: targets that stay keep what was
// learned of them.
func (m *Machine) declareTargets(s *shard) {
	clear(s.classes)
	if tokens := m.topo.decl.Pools[s.id.Pool].Tokens; tokens != nil {
		s.shares.Declare(tokens.PerSecond * nominalToken.Seconds())
		m.declareReading(s, tokens.PerSecond)
	}
	var names []string
	if decl := m.topo.shards[s.id]; decl != nil {
		names = decl.targets
	}
	kept := make(map[string]*target, len(names))
	s.targets = s.targets[:0]
	for _, name := range names {
		t := s.byName[name]
		if t == nil || t.startedAnew(m.topo.decl.Targets[name]) {
			t = newTarget(m.now, s, name)
		}
		m.declareTarget(t)
		kept[name] = t
		s.targets = append(s.targets, t)
	}
	for name, t := range s.byName {
		if kept[name] != t {
			m.timers.stop(&t.timer)
		}
	}
	s.byName = kept
	m.sched.watchStale = true
	m.refuseHopeless(s)
	m.grantAll(s)
}

// declareTarget sets what the configuration says of a target.
func (m *Machine) declareTarget(t *target) {
	decl := m.topo.decl.Targets[t.name]
	t.declare(decl)
	t.saidLeaving = t.saidLeaving || m.notices.IsLeaving(t.name, t.start)
	if tokens := m.topo.decl.Pools[t.shard.id.Pool].Tokens; tokens != nil {
		m.declareEngine(t, decl.Slots, tokens.MemoryTokens)
	}
	if m.topo.decl.Pools[t.shard.id.Pool].ColdPerSecond > 0 {
		m.updateColdLimit(t)
	}
}

// renewTarget forgets what was learned of a target, as it told by itself that it has
// started anew: its declaration may say so only later.
func (m *Machine) renewTarget(old *target, start int64) *target {
	m.timers.stop(&old.timer)
	t := newTarget(m.now, old.shard, old.name)
	t.start = start
	m.extendCold(t.name, coldStartDuration(m.topo.decl.Pools[t.shard.id.Pool]))
	m.declareTarget(t)
	s := old.shard
	s.byName[t.name] = t
	s.targets[slices.Index(s.targets, old)] = t
	clear(s.classes)
	return t
}

// classOf returns the class of a ticket.
func (m *Machine) classOf(s *shard, t Ticket, of rank) *class {
	name, only := "", ""
	ws, known := m.topo.decl.Workspaces[t.Workspace]
	if known && (len(ws.Targets) > 0 || !slices.Contains(ws.Pools, s.id.Pool)) {
		only = t.Workspace
	}
	// A crashed engine ran some tens of requests. To keep all of them apart would
	// leave the other engines idle; what crashes a second one is convicted anyway.
	suspect := m.suspect(t.Fingerprint) && !m.countsTokens(s)
	if only != "" || len(t.Excluded) > 0 || suspect {
		name = only + "\x00" + strings.Join(t.Excluded, "\x00")
	}
	if suspect {
		name += "\x00\x00suspect"
	}
	if t.AllowedRegions.Restricted {
		name += "\x00\x00homes\x00" + strings.Join(t.AllowedRegions.Regions, "\x00")
	}
	if of != rankShare {
		name += "\x00\x00" + of.String()
	}
	c := s.classes[name]
	if c == nil {
		c = &class{name: name, workspace: only, excluded: t.Excluded, regions: t.AllowedRegions, suspect: suspect, rank: of}
		s.classes[name] = c
		m.fillClass(s, c)
	}
	return c
}

func (m *Machine) fillClass(s *shard, c *class) {
	for _, t := range s.targets {
		if slices.Contains(c.excluded, t.name) || !c.regions.Allows(m.topo.decl.Targets[t.name].Region) {
			continue
		}
		if c.workspace == "" || m.topo.mayRun(t.name, c.workspace, nil) {
			c.targets = append(c.targets, t)
		}
	}
}

// hopeless says that no target of the class can be expected to serve. A shard
// that this node's configuration does not know yet is not hopeless.
func (m *Machine) hopeless(s *shard, c *class) bool {
	if m.topo.shards[s.id] == nil {
		return false
	}
	for _, t := range c.targets {
		if !t.hopeless(m.now) {
			return false
		}
	}
	return true
}

// hopelessCode returns the result code for the tickets of a hopeless class.
func (m *Machine) hopelessCode(s *shard, c *class) result.Code {
	if slices.ContainsFunc(c.targets, func(t *target) bool { return t.evacuated && !t.leaving }) {
		return result.TargetsEvacuated
	}
	for _, name := range c.excluded {
		if t := s.byName[name]; t != nil && !t.hopeless(m.now) {
			return result.TargetsUnavailable
		}
	}
	return result.NoTarget
}

// refuseHopeless refuses the tickets that no target can be expected to serve.
func (m *Machine) refuseHopeless(s *shard) {
	if s.queue.Len() == 0 {
		return
	}
	for _, q := range s.sortedTickets() {
		c := m.classOf(s, q.ticket, q.rank)
		if refusal, refused := m.refusal(s, q.ticket, c); refused {
			m.unqueue(q)
			m.counters.TicketsHopeless++
			m.send(q.from, refusal)
		}
	}
}

// push puts a ticket in the queue of its workspace.
func (m *Machine) push(q *queuedTicket, w *workspace, c *class) {
	q.workspace = w
	q.class = c.name
	wakes := w.flows[q.shard.id] == nil || w.flows[q.shard.id].Waiting() == 0
	flow, item := q.shard.queue.PushWithCredit(m.now, w.name, c.name, w.entry.Total(), m.creditOf(w), q)
	q.item = item
	q.shard.flows[w.name] = true
	w.flows[q.shard.id] = flow
	if wakes {
		m.settleLift(w, flow)
	}
	m.armShard(q.shard)
}

// refresh takes in that the entry still waits for the ticket.
func (q *queuedTicket) refresh(m *Machine, from NodeID, t Ticket) {
	q.from = from
	q.deadline = m.now + t.TimeLeft
	q.lease = m.now + ticketLease
	q.arm(m)
}

// arm sets the ticket's timer to the next thing to do.
func (q *queuedTicket) arm(m *Machine) {
	at := min(q.deadline, q.lease, q.latest)
	if q.tellAt > 0 {
		at = min(at, q.tellAt)
	}
	m.timers.set(&q.timer, q, at)
}

// fire implements timed: the entry of a quiet ticket is to be told, the
// ticket's deadline has come, or its entry is gone.
func (q *queuedTicket) fire(m *Machine) {
	if m.now >= q.latest && m.now < q.deadline {
		m.waitExpired(q)
		return
	}
	if m.now < min(q.deadline, q.lease) {
		m.sendWaiting(q)
		q.arm(m)
		return
	}
	m.unqueue(q)
	if m.now >= q.deadline {
		m.send(q.from, Refusal{Ticket: q.ticket.ID, Shard: q.shard.id, Code: result.DeadlineBeforeGrant})
		return
	}
	m.counters.TicketsLapsed++
}

// armShard sets the shard's timer to the next thing to do.
func (m *Machine) armShard(s *shard) {
	at, ok := s.queue.NextTick()
	if !s.owned && s.empty() && (!ok || at > s.idleAt+guestKept) {
		at, ok = s.idleAt+guestKept, true
	}
	if !ok {
		m.timers.stop(&s.timer)
		return
	}
	m.timers.set(&s.timer, s, max(at, m.now+time.Millisecond))
}

// fire implements timed: the queue has something to do, or the shard may go.
func (s *shard) fire(m *Machine) {
	for _, name := range s.queue.Tick(m.now) {
		delete(s.flows, name)
		delete(m.sched.workspaces[name].flows, s.id)
	}
	s.dropClasses()
	if !s.owned && s.empty() && m.now >= s.idleAt+guestKept {
		m.dropShard(s)
		return
	}
	m.grantAll(s)
	m.armShard(s)
}

// dropClasses forgets the classes that nothing waits in.
func (s *shard) dropClasses() {
	if len(s.classes) <= classesKept {
		return
	}
	for name := range s.classes {
		if !s.queue.HasClass(name) {
			delete(s.classes, name)
		}
	}
}

func (s *shard) empty() bool { return len(s.queued) == 0 && len(s.granted) == 0 }

// settleShard notes since when a shard has no work.
func (m *Machine) settleShard(s *shard) {
	if s.empty() {
		s.idleAt = m.now
		m.armShard(s)
	}
}

func (s *shard) sortedTickets() []*queuedTicket {
	all := make([]*queuedTicket, 0, len(s.queued))
	for _, q := range s.queued {
		all = append(all, q)
	}
	slices.SortFunc(all, func(a, b *queuedTicket) int { return compareTickets(a.ticket.ID, b.ticket.ID) })
	return all
}

func compareTickets(a, b TicketID) int {
	return cmp.Or(
		cmp.Compare(a.Node, b.Node),
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Attempt, b.Attempt),
	)
}

func (s *scheduler) sortedShards() []*shard {
	all := make([]*shard, 0, len(s.shards))
	for _, sh := range s.shards {
		all = append(all, sh)
	}
	slices.SortFunc(all, func(a, b *shard) int {
		return cmp.Or(cmp.Compare(a.id.Pool, b.id.Pool), cmp.Compare(a.id.DataCentre, b.id.DataCentre))
	})
	return all
}
