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

// maxTickInterval is the maximum time between two ticks. Periodic work that a tick starts
// (heartbeats, failure detection, service exchange) may be late by this much.
const maxTickInterval = 100 * time.Millisecond

// Machine is the state machine of one router. It is not safe for concurrent use: a single
// goroutine must own it.
type Machine struct {
	opts Options
	now  Instant
	// sinceLastStep is the time between the last two steps.
	sinceLastStep time.Duration
	// hasStepped reports that now holds the time of an earlier step.
	hasStepped bool
	rng        *rand.Rand
	// epoch is the incarnation used in grants and heartbeats. It starts as that of the
	// process and changes after the process was paused for long.
	epoch Incarnation

	// out holds the commands of the current step.
	out []Command
	// loopback holds the messages that this node sends to itself.
	loopback []Message
	timers   timers

	topo          *topology
	view          *member.View
	fleet         fleet
	entry         entry
	sched         scheduler
	exchange      serviceExchange
	crashEvidence crashEvidence
	partEvidence  partEvidence
	affinities    affinities
	// coldUntil maps a target's name to the end of the time during which it is, or may be,
	// cold.
	coldUntil map[string]Instant
	// notices holds what targets announced about themselves to this node.
	notices  notice.Set
	draining bool
	drained  bool
	counters Counters
}

// New returns a machine without configuration: it refuses requests with NotReady until the
// first ConfigChanged.
func New(opts Options) *Machine {
	opts = withDefaults(opts)
	m := &Machine{
		opts:          opts,
		rng:           rand.New(rand.NewPCG(opts.Seed, uint64(opts.Incarnation))),
		epoch:         opts.Incarnation,
		view:          member.NewView(string(opts.Node), opts.DataCentre, opts.MemberTimeout),
		fleet:         newFleet(),
		entry:         newEntry(),
		sched:         newScheduler(),
		exchange:      newServiceExchange(),
		crashEvidence: newCrashEvidence(),
		partEvidence:  newPartEvidence(),
		affinities:    newAffinities(),
		coldUntil:     make(map[string]Instant),
	}
	m.view.SetCores(0, opts.Cores)
	m.affinities.ranking = m.view.Ranking()
	m.affinities.copiedBy = m.affinities.ranking
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

// Step applies one event at the given time and returns the commands to carry out, in order.
// Time must not go backwards; a time before the latest one seen counts as the latest one.
// The caller owns the returned slice.
func (m *Machine) Step(now Instant, ev Event) []Command {
	m.out = nil
	gap := now - m.now
	m.sinceLastStep = gap
	m.now = max(m.now, now)
	if m.hasStepped && gap > m.opts.MemberTimeout {
		m.resumeAfterPause()
	}
	m.hasStepped = true
	m.fireTimers()
	m.apply(ev)
	m.handleLoopback()
	m.applyViewChange()
	m.updateFeedRole()
	m.updateWatchedTargets()
	m.checkDrained()
	return m.out
}

// NextWake returns when the machine next needs to run without an event: the caller sends a
// Tick then. It may be in the past.
func (m *Machine) NextWake() Instant {
	at := m.now + maxTickInterval
	if first, set := m.timers.first(); set {
		at = min(at, first)
	}
	return min(at, m.exchangeWake(at))
}

func (m *Machine) fireTimers() {
	for t := m.timers.pop(m.now); t != nil; t = m.timers.pop(m.now) {
		t.owner.fire(m)
		m.handleLoopback()
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
		m.setRunLoad(ev.Grant, ev.Load, ev.LoadAge)
		m.runBegan(ev)
	case RunSilent:
		m.runSilent(ev)
	case RunOverdue:
		m.runOverdue(ev)
	case RunEnded:
		m.runEnded(ev)
	case MessageReceived:
		m.messageReceived(ev)
	case PeerState:
		m.peerStateChanged(ev)
	case MembersListed:
		m.membersListed(ev)
	case TargetLoad:
		m.targetLoadReported(ev)
	case TargetUnreachable:
		m.targetUnreachable(ev)
	case TargetCacheReported:
		m.targetCacheReported(ev)
	case TargetNoticeReceived:
		m.targetNoticeReceived(ev)
	case StreamBegan:
		m.streamBegan(ev)
	case AffinityWanted:
		m.affinityWanted(ev)
	case FeedState:
		m.feedStateChanged(ev)
	case RequestsRefusedUnread:
		m.requestsRefusedUnread(ev)
	case DrainStarted:
		m.drainStarted()
	case Tick:
		m.tick()
	}
}

// tick runs the periodic work.
func (m *Machine) tick() {
	m.fleetTick()
	m.entryTick()
	m.exchangeTick()
	m.crashEvidenceTick()
	m.partEvidenceTick()
	m.affinityTick()
}

// handleLoopback handles the messages that this node sent to itself.
func (m *Machine) handleLoopback() {
	for len(m.loopback) > 0 {
		msg := m.loopback[0]
		m.loopback = m.loopback[1:]
		m.handleMessage(m.opts.Node, m.opts.Incarnation, msg)
	}
	m.loopback = nil
}

// emit appends a command to the result of the step.
func (m *Machine) emit(cmd Command) { m.out = append(m.out, cmd) }

// send sends a message to a node; one for this node itself goes through the loopback queue.
func (m *Machine) send(to NodeID, msg Message) {
	if to == m.opts.Node {
		m.loopback = append(m.loopback, msg)
		return
	}
	m.counters.MessagesSent++
	m.emit(Send{To: to, Message: msg})
}

func (m *Machine) messageReceived(ev MessageReceived) {
	if ev.From == m.opts.Node {
		return
	}
	if !m.acceptSender(ev.From, ev.Incarnation) {
		m.counters.StaleMessages++
		return
	}
	m.handleMessage(ev.From, ev.Incarnation, ev.Message)
}

func (m *Machine) handleMessage(from NodeID, inc Incarnation, msg Message) {
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
		m.suspectNoticeReceived(from, msg)
	case QuarantineNotice:
		m.quarantineNoticeReceived(msg)
	case PartEvidence:
		m.partEvidenceReceived(from, msg)
	case UnreadNotice:
		m.unreadNoticeReceived(msg)
	case LeavingNotice:
		m.leavingNoticeReceived(from, msg)
	case AffinityNotice:
		m.affinityNoticeReceived(msg)
	case AffinityQuery:
		m.affinityQueryReceived(from, msg)
	case AffinityAnswer:
		m.affinityAnswerReceived(from, msg)
	case ServiceReport:
		m.serviceReportReceived(from, inc, msg)
	case ServiceTotals:
		m.serviceTotalsReceived(msg)
	}
}

// jitter returns d varied randomly by up to half of it either way.
func (m *Machine) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(m.rng.Int64N(int64(d)+1))
}
