package control

import (
	"math/rand/v2"
	"time"

	"github.com/walnutcove/walnutcove/control/member"
	"github.com/walnutcove/walnutcove/control/notice"
	"github.com/walnutcove/walnutcove/control/policy"
)

// Defaults of Options.
const (
	defaultHeartbeatEvery = 500 * time.Millisecond
	defaultMemberTimeout  = 2 * time.Second
)

// idleWake is the longest time between two ticks. The periods that a tick looks
// at (heartbeats, watching, exchange) may be late by it.
const idleWake = 100 * time.Millisecond

// Machine is the state machine of one router. It is not safe for concurrent
// use: one goroutine owns it.
type Machine struct {
	opts Options
	now  Instant
	// gap is the time between the last two steps.
	gap time.Duration
	// stepped says that now holds the time of an earlier step.
	stepped bool
	rng     *rand.Rand
	// epoch is the incarnation in grants and heartbeats. It begins as the
	// process's own and changes after the process stood still for long.
	epoch Incarnation

	out []Command
	// loop holds the messages that this node sends to itself.
	loop   []Message
	timers timers

	topo      *topology
	view      *member.View
	fleet     fleet
	entry     entry
	sched     scheduler
	books     books
	suspicion suspicion
	// coldUntil maps a target's name to the end of the time for which it is, or may be, cold.
	coldUntil map[string]Instant
	// notices hold what targets said of themselves to this node.
	notices  notice.Set
	draining bool
	drained  bool
	counters Counters
}

// New returns a machine that knows nothing yet: it refuses requests with
// NotReady until the first ConfigChanged.
func New(opts Options) *Machine {
	opts = withDefaults(opts)
	m := &Machine{
		opts:      opts,
		rng:       rand.New(rand.NewPCG(opts.Seed, uint64(opts.Incarnation))),
		epoch:     opts.Incarnation,
		view:      member.NewView(string(opts.Node), opts.DataCentre, opts.MemberTimeout),
		fleet:     newFleet(),
		entry:     newEntry(),
		sched:     newScheduler(),
		books:     newBooks(),
		suspicion: newSuspicion(),
		coldUntil: make(map[string]Instant),
	}
	m.view.SetCores(0, opts.Cores)
	return m
}

func withDefaults(opts Options) Options {
	if opts.Policy == "" {
		opts.Policy = PolicyShardQueue
	}
	if opts.HeartbeatEvery <= 0 {
		opts.HeartbeatEvery = defaultHeartbeatEvery
	}
	if opts.MemberTimeout <= 0 {
		opts.MemberTimeout = defaultMemberTimeout
	}
	if opts.ColdOvershoot <= 0 {
		opts.ColdOvershoot = 1
	}
	if opts.Tokens == (policy.Tokens{}) {
		opts.Tokens = policy.Default()
	}
	return opts
}

// Step applies one event at the given time and returns the commands to carry
// out, in order. Time must not go backwards; an earlier time counts as the
// latest one seen. The returned slice belongs to the caller.
func (m *Machine) Step(now Instant, ev Event) []Command {
	m.out = nil
	gap := now - m.now
	m.gap = gap
	m.now = max(m.now, now)
	if m.stepped && gap > m.opts.MemberTimeout {
		m.thaw()
	}
	m.stepped = true
	m.fireTimers()
	m.apply(ev)
	m.drainLoop()
	m.followView()
	m.checkFeedTurn()
	m.flushWatch()
	m.checkDrained()
	return m.out
}

// NextWake returns when the machine next has something to do without an event:
// the shell sends a Tick then. It may be in the past.
func (m *Machine) NextWake() Instant {
	at := m.now + idleWake
	if first, set := m.timers.first(); set {
		at = min(at, first)
	}
	return min(at, m.booksWake(at))
}

func (m *Machine) fireTimers() {
	for t := m.timers.pop(m.now); t != nil; t = m.timers.pop(m.now) {
		t.owner.fire(m)
		m.drainLoop()
	}
}

func (m *Machine) apply(ev Event) {
	switch ev := ev.(type) {
	case ConfigChanged:
		m.configChanged(ev)
	case RequestArrived:
		m.requestArrived(ev)
	case RequestCancelled:
		m.requestCancelled(ev)
	case RunBegan:
		m.runBegan(ev)
	case RunEnded:
		m.runEnded(ev)
	case MessageReceived:
		m.messageReceived(ev)
	case PeerState:
		m.peerState(ev)
	case MembersListed:
		m.membersListed(ev)
	case TargetLoad:
		m.targetLoad(ev)
	case TargetUnreachable:
		m.targetUnreachable(ev)
	case TargetKept:
		m.targetKept(ev)
	case TargetNoticed:
		m.targetNoticed(ev)
	case FeedsFollowed:
		m.feedsFollowed(ev)
	case RequestsUnread:
		m.requestsUnread(ev)
	case DrainStarted:
		m.drainStarted()
	case Tick:
		m.tick()
	}
}

// tick does what is done on a period.
func (m *Machine) tick() {
	m.fleetTick()
	m.entryTick()
	m.booksTick()
	m.suspicionTick()
}

// drainLoop handles the messages that this node sent to itself.
func (m *Machine) drainLoop() {
	for len(m.loop) > 0 {
		msg := m.loop[0]
		m.loop = m.loop[1:]
		m.handle(m.opts.Node, m.opts.Incarnation, msg)
	}
	m.loop = nil
}

// emit adds a command to the result of the step.
func (m *Machine) emit(cmd Command) { m.out = append(m.out, cmd) }

// send sends a message, through the local short-cut if it is for this node.
func (m *Machine) send(to NodeID, msg Message) {
	if to == m.opts.Node {
		m.loop = append(m.loop, msg)
		return
	}
	m.counters.MessagesSent++
	m.emit(Send{To: to, Message: msg})
}

func (m *Machine) messageReceived(ev MessageReceived) {
	if ev.From == m.opts.Node {
		return
	}
	if !m.heard(ev.From, ev.Incarnation) {
		m.counters.StaleMessages++
		return
	}
	m.handle(ev.From, ev.Incarnation, ev.Message)
}

func (m *Machine) handle(from NodeID, inc Incarnation, msg Message) {
	switch msg := msg.(type) {
	case Ticket:
		m.ticketReceived(from, msg)
	case CancelTicket:
		m.cancelReceived(msg)
	case Report:
		m.reportReceived(from, msg)
	case Grant:
		m.grantReceived(from, msg)
	case Waiting:
		m.waitingReceived(msg)
	case Refusal:
		m.refusalReceived(msg)
	case ReportAck:
		m.ackReceived(from, msg)
	case Heartbeat:
		m.heartbeatReceived(from, msg)
	case SuspectNotice:
		m.suspectReceived(from, msg)
	case QuarantineNotice:
		m.noticeReceived(msg)
	case UnreadNotice:
		m.unreadReceived(msg)
	case LeavingNotice:
		m.leavingReceived(from, msg)
	case ServiceReport:
		m.serviceReported(from, inc, msg)
	case ServiceTotals:
		m.totalsReceived(msg)
	}
}

// jitter returns d spread by up to half of it either way.
func (m *Machine) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(m.rng.Int64N(int64(d)+1))
}
