package control

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/control/decode"
	"github.com/walnutcove/walnutcove/control/sched"
	"github.com/walnutcove/walnutcove/result"
)

// classPruneThreshold is the number of classes of a shard above which unused ones are
// removed.
const classPruneThreshold = 32

// shard is the queue of a shard at its scheduler, with its targets and grants.
type shard struct {
	id ShardID
	// owned reports that this node owns the shard in its own view.
	owned bool
	// ownedAt is when the ownership began.
	ownedAt Instant
	// localLimit bounds what is granted here while another node owns the shard.
	localLimit localLimit
	idleSince  Instant
	queue      *sched.Queue[*queuedTicket]
	queued     map[TicketID]*queuedTicket
	granted    map[TicketID]*grant
	// queuedWorkspaces names the workspaces that have a flow in the queue.
	queuedWorkspaces map[string]bool
	// targets are the declared targets, in order of name.
	targets       []*target
	targetsByName map[string]*target
	classes       map[string]*class
	// shares are the workspaces' shares of a pool that counts in tokens.
	shares *sched.Shares
	// reading models how fast its targets read prompts; nil for other pools.
	reading *sched.ReadModel
	// decoding models how fast they generate answers; nil for other pools.
	decoding *decode.Model
	// speed is shared by the speed estimates of its targets; nil until one of them reports its
	// speed.
	speed *poolSpeed
	// settlesAt is when the window of a target settles next, so that the target may have room for
	// waiting tickets; zero if none does. See sched.Window.SettlesAt.
	settlesAt Instant
	// pacedUntil is when a target that has granted prompts to read beyond its pace has room again
	// for a waiting ticket; zero if there is none.
	pacedUntil Instant
	// nextGapAt is when the shard is next checked for a gap between workspaces.
	nextGapAt Instant
	// deferral tracks the requests that waited for too long; for pools that count in slots.
	deferral deferral
	timer    timer
}

// class is a set of targets that may run a ticket: those that its workspace may use, of the
// software version that it is limited to, without those that it excludes.
type class struct {
	name string
	// workspace is set if the class is restricted to the targets of one workspace.
	workspace string
	excluded  []string
	regions   config.AllowedRegions
	software  config.SoftwareLimit
	// suspect reports that targets that run a suspect request must not be used.
	suspect bool
	// rank is the rank of its tickets, which sets how much of the capacity they may use.
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
	// task and objective are set for targets that count in tokens: the work, and when the
	// answer should have begun; objective is zero if there is none.
	task      sched.EngineTask
	objective Instant
	// rank is the ticket's precedence, and shareTaken the service, in seconds, that it took
	// of its workspace's share; zero once it is granted.
	rank       rank
	shareTaken float64
	// neverInTime reports that no target can ever serve it in time; for pools whose targets report
	// their speed.
	neverInTime bool
	// waitUntil is when waiting longer becomes useless; see Machine.latestUsefulStart and
	// setWaitLimits.
	waitUntil Instant
	// latestStart is the time after which a run could not end before the deadline; for
	// pools that count in slots.
	latestStart Instant
	// deferredServedSeen is the number of deferred requests served when a deferred ticket
	// was last checked.
	deferredServedSeen int
	deadline           Instant
	leaseUntil         Instant
	// noticeAt is when the entry is notified that the ticket waits; zero if it has been.
	noticeAt Instant
	timer    timer
}

func newShard(now Instant, id ShardID) *shard {
	return &shard{
		id:               id,
		idleSince:        now,
		queue:            sched.NewQueue[*queuedTicket](),
		queued:           make(map[TicketID]*queuedTicket),
		granted:          make(map[TicketID]*grant),
		queuedWorkspaces: make(map[string]bool),
		targetsByName:    make(map[string]*target),
		classes:          make(map[string]*class),
		shares:           sched.NewShares(0),
	}
}

// declareTargets applies the configuration; targets that stay keep what was learned about
// them.
func (m *Machine) declareTargets(s *shard) {
	clear(s.classes)
	if tokens := m.topo.decl.Pools[s.id.Pool].Tokens; tokens != nil {
		s.shares.SetCapacity(tokens.PerSecond * servicePerToken.Seconds())
		m.declareReading(s, tokens.PerSecond)
	}
	var names []string
	if decl := m.topo.shards[s.id]; decl != nil {
		names = decl.targets
	}
	kept := make(map[string]*target, len(names))
	s.targets = s.targets[:0]
	for _, name := range names {
		t := s.targetsByName[name]
		if t == nil || t.isNewStart(m.topo.decl.Targets[name]) {
			t = newTarget(m.now, s, name)
		}
		m.declareTarget(t)
		kept[name] = t
		s.targets = append(s.targets, t)
	}
	for name, t := range s.targetsByName {
		if kept[name] != t {
			m.timers.stop(&t.timer)
		}
	}
	s.targetsByName = kept
	m.sched.watchStale = true
	m.refuseUnservable(s)
	m.grantWaiting(s)
}

// declareTarget applies a target's declaration.
func (m *Machine) declareTarget(t *target) {
	decl := m.topo.decl.Targets[t.name]
	t.declare(decl)
	t.announcedLeaving = t.announcedLeaving || m.notices.IsLeaving(t.name, t.start)
	if tokens := m.topo.decl.Pools[t.shard.id.Pool].Tokens; tokens != nil {
		m.declareEngine(t, decl.Slots, tokens.MemoryTokens)
	}
	if m.topo.decl.Pools[t.shard.id.Pool].ColdPerSecond > 0 {
		m.updateColdLimit(t)
	}
}

// renewTarget discards what was learned about a target that reported a new start itself;
// its declaration may follow later.
func (m *Machine) renewTarget(old *target, start int64) *target {
	m.timers.stop(&old.timer)
	t := newTarget(m.now, old.shard, old.name)
	t.start = start
	m.extendCold(t.name, coldStartDuration(m.topo.decl.Pools[t.shard.id.Pool]))
	m.declareTarget(t)
	s := old.shard
	s.targetsByName[t.name] = t
	s.targets[slices.Index(s.targets, old)] = t
	clear(s.classes)
	return t
}

// classOf returns the class of a ticket.
func (m *Machine) classOf(s *shard, t Ticket, r rank) *class {
	name, onlyWorkspace := "", ""
	ws, known := m.topo.decl.Workspaces[t.Workspace]
	if known && (len(ws.Targets) > 0 || !slices.Contains(ws.Pools, s.id.Pool)) {
		onlyWorkspace = t.Workspace
	}
	// A target that counts in tokens runs some tens of requests when it crashes. Keeping all
	// of them on separate targets would leave the other targets idle; a request that crashes
	// a second one is convicted anyway.
	suspect := m.isSuspect(t.Fingerprint) && !m.countsTokens(s)
	if onlyWorkspace != "" || len(t.Excluded) > 0 || suspect {
		name = onlyWorkspace + "\x00" + strings.Join(t.Excluded, "\x00")
	}
	if suspect {
		name += "\x00\x00suspect"
	}
	if t.AllowedRegions.Restricted {
		name += "\x00\x00homes\x00" + strings.Join(t.AllowedRegions.Regions, "\x00")
	}
	if t.Software.Limited {
		name += "\x00\x00software\x00" + t.Software.Version
	}
	if r != rankShare {
		name += "\x00\x00" + r.String()
	}
	c := s.classes[name]
	if c == nil {
		c = &class{name: name, workspace: onlyWorkspace, excluded: t.Excluded, regions: t.AllowedRegions, software: t.Software, suspect: suspect, rank: r}
		s.classes[name] = c
		m.fillClass(s, c)
	}
	return c
}

func (m *Machine) fillClass(s *shard, c *class) {
	for _, t := range s.targets {
		decl := m.topo.decl.Targets[t.name]
		if slices.Contains(c.excluded, t.name) || !c.regions.Allows(decl.Region) || !c.software.Allows(decl.Software) {
			continue
		}
		if c.workspace == "" || m.topo.mayRun(t.name, c.workspace, nil) {
			c.targets = append(c.targets, t)
		}
	}
}

// isClassUnservable reports whether no target of the class can be expected to serve soon.
// Targets of a shard that this node's configuration does not contain yet may serve.
func (m *Machine) isClassUnservable(s *shard, c *class) bool {
	if m.topo.shards[s.id] == nil {
		return false
	}
	for _, t := range c.targets {
		if !t.isUnservable(m.now) {
			return false
		}
	}
	return true
}

// isNarrow reports whether the tickets of the class may use only some of the targets that
// others of their workspace may use.
func (c *class) isNarrow() bool { return len(c.excluded) > 0 || c.software.Limited }

// unservableCode returns the result code for the tickets of an unservable class.
func (m *Machine) unservableCode(s *shard, c *class) result.Code {
	if slices.ContainsFunc(c.targets, func(t *target) bool { return t.evacuated && !t.leaving }) {
		return result.TargetsEvacuated
	}
	for _, name := range c.excluded {
		if t := s.targetsByName[name]; t != nil && !t.isUnservable(m.now) {
			return result.TargetsUnavailable
		}
	}
	if c.software.Limited {
		return result.SoftwareUnavailable
	}
	return result.NoTarget
}

// refuseUnservable refuses the tickets that no target can be expected to serve.
func (m *Machine) refuseUnservable(s *shard) {
	if s.queue.Len() == 0 {
		return
	}
	for _, q := range s.sortedTickets() {
		c := m.classOf(s, q.ticket, q.rank)
		if refusal, refused := m.immediateRefusal(s, q.ticket, c); refused {
			m.removeTicket(q)
			m.counters.TicketsHopeless++
			m.send(q.from, refusal)
		}
	}
}

// pushTicket puts a ticket in the queue of its workspace.
func (m *Machine) pushTicket(q *queuedTicket, w *workspace, c *class) {
	q.workspace = w
	q.class = c.name
	firstWaiting := w.flows[q.shard.id] == nil || w.flows[q.shard.id].Waiting() == 0
	flow, item := q.shard.queue.PushWithCredit(m.now, w.name, c.name, w.account.Total(), m.startCredit(w), q)
	q.item = item
	q.shard.queuedWorkspaces[w.name] = true
	w.flows[q.shard.id] = flow
	if firstWaiting {
		m.commitLift(w, flow)
	}
	m.armShard(q.shard)
}

// refresh records that the entry still waits for the ticket.
func (q *queuedTicket) refresh(m *Machine, from NodeID, t Ticket) {
	q.from = from
	q.deadline = m.now + t.TimeLeft
	q.leaseUntil = m.now + ticketLease
	q.arm(m)
}

// arm sets the ticket's timer to the next time at which it needs attention.
func (q *queuedTicket) arm(m *Machine) {
	at := min(q.deadline, q.leaseUntil, q.waitUntil)
	if q.noticeAt > 0 {
		at = min(at, q.noticeAt)
	}
	m.timers.set(&q.timer, q, at)
}

// fire implements timerOwner: the entry of a quiet ticket is to be notified, the ticket's
// deadline has passed, or its entry no longer refreshes it.
func (q *queuedTicket) fire(m *Machine) {
	if m.now >= q.waitUntil && m.now < q.deadline {
		m.waitExpired(q)
		return
	}
	if m.now < min(q.deadline, q.leaseUntil) {
		m.sendWaiting(q)
		q.arm(m)
		return
	}
	m.removeTicket(q)
	if m.now >= q.deadline {
		m.send(q.from, Refusal{Ticket: q.ticket.ID, Shard: q.shard.id, Code: result.DeadlineBeforeGrant})
		return
	}
	m.counters.TicketsLapsed++
}

// armShard sets the shard's timer to the next time at which it needs attention.
func (m *Machine) armShard(s *shard) {
	at, ok := s.queue.NextTick()
	if !s.owned && s.isEmpty() && (!ok || at > s.idleSince+unownedRetention) {
		at, ok = s.idleSince+unownedRetention, true
	}
	if s.settlesAt > 0 && s.queue.Len() > 0 && (!ok || s.settlesAt < at) {
		at, ok = s.settlesAt, true
	}
	if s.pacedUntil > 0 && s.queue.Len() > 0 && (!ok || s.pacedUntil < at) {
		at, ok = s.pacedUntil, true
	}
	if !ok {
		m.timers.stop(&s.timer)
		return
	}
	m.timers.set(&s.timer, s, max(at, m.now+time.Millisecond))
}

// fire implements timerOwner: the queue has work to do, or the shard may be removed.
func (s *shard) fire(m *Machine) {
	for _, name := range s.queue.Tick(m.now) {
		delete(s.queuedWorkspaces, name)
		delete(m.sched.workspaces[name].flows, s.id)
	}
	s.pruneClasses()
	s.updateSettlesAt(m.now)
	if !s.owned && s.isEmpty() && m.now >= s.idleSince+unownedRetention {
		m.dropShard(s)
		return
	}
	m.grantWaiting(s)
	m.armShard(s)
}

// updateSettlesAt updates settlesAt once it has passed.
func (s *shard) updateSettlesAt(now Instant) {
	if s.settlesAt == 0 || now < s.settlesAt {
		return
	}
	s.settlesAt = 0
	for _, t := range s.targets {
		if at := t.window.SettlesAt(); at > now && (s.settlesAt == 0 || at < s.settlesAt) {
			s.settlesAt = at
		}
	}
}

// pruneClasses removes the classes without waiting tickets once there are many.
func (s *shard) pruneClasses() {
	if len(s.classes) <= classPruneThreshold {
		return
	}
	for name := range s.classes {
		if !s.queue.HasClass(name) {
			delete(s.classes, name)
		}
	}
}

func (s *shard) isEmpty() bool { return len(s.queued) == 0 && len(s.granted) == 0 }

// noteIfIdle records the time at which a shard has no work left.
func (m *Machine) noteIfIdle(s *shard) {
	if s.isEmpty() {
		s.idleSince = m.now
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

// compareTickets orders tickets by node, incarnation and attempt, which identify a ticket.
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
