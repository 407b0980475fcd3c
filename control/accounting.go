package control

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/walnutcove/walnutcove/control/account"
	"github.com/walnutcove/walnutcove/control/member"
	"github.com/walnutcove/walnutcove/control/sched"
)

const (
	// maxReportInterval is the longest time between two reports on an active workspace; a
	// report also requests its total.
	maxReportInterval = time.Second
	// levelUnknownAfter is how long a workspace may go without a report before its level
	// counts as unknown.
	levelUnknownAfter = 3 * time.Second
	// pushesPerExchange is how many times totals are sent in an exchange period, so that
	// they lag little behind the reports.
	pushesPerExchange = 2
	// exchangePerNode is the contribution of each node of the fleet to the exchange period;
	// minExchangeInterval and maxExchangeInterval bound the period.
	exchangePerNode     = 10 * time.Millisecond
	minExchangeInterval = 60 * time.Millisecond
	maxExchangeInterval = time.Second
	// idleAfter is how long a workspace may have nothing waiting before it counts as idle:
	// its next request may be in transit while others run.
	idleAfter = 50 * time.Millisecond
	// maxCredit bounds the slot time that a workspace may be credited with when it begins
	// to wait in one more shard.
	maxCredit = 5 * time.Second
	// maxCountsPerMessage bounds the service counts in one message.
	maxCountsPerMessage = 100
)

// workspace is a scheduler's state of one workspace.
type workspace struct {
	name  string
	share float64
	// hash selects its account group.
	hash    uint64
	account *account.Entry
	// flows holds the workspace's flow in the queue of each shard here.
	flows map[ShardID]*sched.Flow[*queuedTicket]
	// estimates holds the cost estimates of its requests by pool.
	estimates map[string]*sched.Estimate
	// waiting and running count its tickets and grants here.
	waiting, running int
	// lastWaitingAt is when its last ticket here left the queue.
	lastWaitingAt Instant
	// reportedAt is when it was last reported on, and reportedWaiting whether that report
	// said that tickets wait.
	reportedAt      Instant
	reportedWaiting bool
	// accountingNode is the node that adds up its service, as of version accountingVersion
	// of the view.
	accountingNode    NodeID
	accountingVersion uint64
}

// serviceExchange is the exchange of service counts with the rest of the fleet.
type serviceExchange struct {
	// active holds the workspaces to report on.
	active map[string]*workspace
	// totals adds up the service of the workspaces that this node accounts for.
	totals       *account.Totals
	nextReportAt Instant
	// nextPushAt is when changed totals are sent next.
	nextPushAt Instant
}

func newServiceExchange() serviceExchange {
	return serviceExchange{active: make(map[string]*workspace), totals: account.NewTotals()}
}

// activeWorkspace returns the scheduler's record of a workspace and marks it as active.
func (m *Machine) activeWorkspace(name string) *workspace {
	w := m.sched.workspaces[name]
	if w == nil {
		share := m.topo.decl.ShareOf(name)
		w = &workspace{
			name:      name,
			share:     share,
			hash:      member.HashOf("workspace\x00" + name),
			account:   account.NewEntry(share),
			flows:     make(map[ShardID]*sched.Flow[*queuedTicket]),
			estimates: make(map[string]*sched.Estimate),
		}
		m.sched.workspaces[name] = w
	}
	if _, active := m.exchange.active[name]; !active && m.now-w.reportedAt > levelUnknownAfter {
		w.account.DropElsewhere()
	}
	m.exchange.active[name] = w
	return w
}

// startCredit returns how far below the others a workspace's level may be when it begins to
// wait: credit is given only if it waits elsewhere too, or did very recently.
func (m *Machine) startCredit(w *workspace) float64 {
	justNow := w.lastWaitingAt > 0 && m.now-w.lastWaitingAt <= idleAfter
	if w.waiting > 0 || w.account.WaitsElsewhere() || justNow {
		return maxCredit.Seconds() * w.account.Weight()
	}
	return 0
}

// isOnlyScheduler reports whether no other node gives service.
func (m *Machine) isOnlyScheduler() bool {
	return m.opts.Policy == PolicyAlone || m.view.AliveOthers() == 0
}

// commitLift makes a flow's lift, by which its level was raised when it began to wait, part
// of the workspace's level. While the fleet-wide level is unknown, the lift stays with the
// flow: if it were reported to others, it would erase the workspace's credit.
func (m *Machine) commitLift(w *workspace, flow *sched.Flow[*queuedTicket]) {
	if !m.isOnlyScheduler() && !w.account.Known() {
		return
	}
	if lift := flow.TakeLift(); lift != 0 {
		w.account.Lift(lift)
		w.updateFlows(nil, 0)
	}
}

// applyConfig applies a change of the configuration.
func (w *workspace) applyConfig(m *Machine) {
	if _, declared := m.topo.decl.Workspaces[w.name]; !declared && w.isIdle() && len(w.flows) == 0 {
		delete(m.sched.workspaces, w.name)
		delete(m.exchange.active, w.name)
		return
	}
	w.accountingNode, w.accountingVersion = "", 0 // the account groups may have changed
	if share := m.topo.decl.ShareOf(w.name); share != w.share {
		w.share = share
		w.account.SetShare(share)
	}
}

func (w *workspace) isIdle() bool { return w.waiting == 0 && w.running == 0 }

// estimate returns the cost estimate of the workspace's requests in a pool.
func (w *workspace) estimate(pool string) *sched.Estimate {
	e := w.estimates[pool]
	if e == nil {
		e = &sched.Estimate{}
		w.estimates[pool] = e
	}
	return e
}

// updateFlows passes the workspace's new total to its flows. amount is the part of the
// change that the given shard contributed.
func (w *workspace) updateFlows(s *shard, amount float64) {
	total := w.account.Total()
	for id, f := range w.flows {
		if s != nil && id == s.id {
			f.SetTotal(total, amount)
		} else {
			f.SetTotal(total, 0)
		}
	}
}

// exchangeTick reports on the active workspaces and sends totals.
func (m *Machine) exchangeTick() {
	if m.topo != nil && m.now >= m.exchange.nextPushAt {
		m.exchange.nextPushAt = m.now + m.exchangeEvery()/pushesPerExchange
		m.pushTotals()
	}
	if m.now < m.exchange.nextReportAt || m.topo == nil {
		return
	}
	m.exchange.nextReportAt = m.now + m.exchangeEvery()
	if m.opts.Policy == PolicyAlone || m.view.AliveOthers() == 0 {
		m.dropIdleWorkspaces()
		return
	}
	m.reportService()
}

// exchangeWake returns when the exchange next has something to send, but not later than
// latest.
func (m *Machine) exchangeWake(latest Instant) Instant {
	if m.exchange.totals.Changed() {
		latest = min(latest, m.exchange.nextPushAt)
	}
	if len(m.exchange.active) > 0 {
		latest = min(latest, m.exchange.nextReportAt)
	}
	return latest
}

// exchangeEvery returns the exchange period. It grows with the fleet, so that the
// accounting nodes get about as many messages in a fleet of any size.
func (m *Machine) exchangeEvery() time.Duration {
	if m.opts.ExchangeEvery > 0 {
		return m.opts.ExchangeEvery
	}
	return min(max(time.Duration(m.view.AliveOthers()+1)*exchangePerNode, minExchangeInterval), maxExchangeInterval)
}

// dropIdleWorkspaces removes the workspaces with nothing waiting or running from the active
// ones.
func (m *Machine) dropIdleWorkspaces() {
	for name, w := range m.exchange.active {
		if w.isIdle() {
			delete(m.exchange.active, name)
		}
	}
}

func (m *Machine) reportService() {
	reports := make(map[NodeID][]ServiceCount)
	for name, w := range m.exchange.active {
		if w.account.Expire(m.now) {
			w.updateFlows(nil, 0)
		}
		report, changed := w.account.Report(w.waiting > 0)
		changed = changed || w.running > 0 || w.waiting > 0 != w.reportedWaiting
		if !changed && w.isIdle() {
			delete(m.exchange.active, name)
			continue
		}
		if !changed && m.now-w.reportedAt < maxReportInterval {
			continue
		}
		w.reportedAt = m.now
		w.reportedWaiting = report.Waiting
		to := m.accountingNode(w)
		reports[to] = append(reports[to], ServiceCount{
			Workspace: name,
			Own:       toDuration(report.Own),
			Total:     toDuration(report.Level),
			Pending:   toDuration(report.Pending),
			Waiting:   boolToInt(report.Waiting),
		})
	}
	for _, to := range sortedKeys(reports) {
		counts := reports[to]
		slices.SortFunc(counts, func(a, b ServiceCount) int { return cmp.Compare(a.Workspace, b.Workspace) })
		for part := range slices.Chunk(counts, maxCountsPerMessage) {
			m.send(to, ServiceReport{Counts: part})
		}
	}
}

// accountingNode returns the node that adds up the workspace's service.
func (m *Machine) accountingNode(w *workspace) NodeID {
	if w.accountingVersion != m.view.Version() {
		w.accountingNode = m.accountingNodeOf(w.hash % m.topo.groups)
		w.accountingVersion = m.view.Version()
	}
	return w.accountingNode
}

// accountingNodeOf returns the node that accounts for a group of workspaces.
func (m *Machine) accountingNodeOf(group uint64) NodeID {
	key := member.HashOf("accounts\x00" + strconv.FormatUint(group, 10))
	return NodeID(m.view.Owner(key, ""))
}

func (m *Machine) serviceReportReceived(from NodeID, inc Incarnation, msg ServiceReport) {
	source := account.Source{Node: string(from), Incarnation: uint64(inc)}
	for _, count := range msg.Counts {
		m.exchange.totals.Report(m.now, source, count.Workspace, account.Report{
			Own:     count.Own.Seconds(),
			Level:   count.Total.Seconds(),
			Pending: count.Pending.Seconds(),
			Waiting: count.Waiting > 0,
		})
	}
}

func (m *Machine) pushTotals() {
	pushes := m.exchange.totals.Push(m.now)
	sources := make([]account.Source, 0, len(pushes))
	for source := range pushes {
		sources = append(sources, source)
	}
	slices.SortFunc(sources, func(a, b account.Source) int {
		return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	for _, source := range sources {
		counts := make([]ServiceCount, 0, len(pushes[source]))
		for _, count := range pushes[source] {
			counts = append(counts, ServiceCount{
				Workspace: count.Workspace,
				Own:       toDuration(count.Own),
				Total:     toDuration(count.Level),
				Pending:   toDuration(count.Elsewhere.Pending),
				Waiting:   count.Elsewhere.Waiting,
			})
		}
		for part := range slices.Chunk(counts, maxCountsPerMessage) {
			m.send(NodeID(source.Node), ServiceTotals{Counts: part})
		}
	}
}

func (m *Machine) serviceTotalsReceived(msg ServiceTotals) {
	for _, count := range msg.Counts {
		if w := m.sched.workspaces[count.Workspace]; w != nil {
			m.applyTotals(w, count)
		}
	}
}

// applyTotals applies the fleet-wide level of a workspace. If the level was unknown before,
// the lifts of its waiting flows here are recomputed.
func (m *Machine) applyTotals(w *workspace, count ServiceCount) {
	wasKnown := w.account.Known()
	elsewhere := account.Elsewhere{Pending: count.Pending.Seconds(), Waiting: count.Waiting}
	w.account.Learn(m.now, count.Total.Seconds(), count.Own.Seconds(), elsewhere)
	w.updateFlows(nil, 0)
	if wasKnown {
		return
	}
	for _, s := range m.sched.sortedShards() {
		if flow := w.flows[s.id]; flow != nil {
			m.recomputeLift(w, flow)
		}
	}
	w.updateFlows(nil, 0)
}

func (m *Machine) recomputeLift(w *workspace, flow *sched.Flow[*queuedTicket]) {
	if flow.Waiting() == 0 {
		flow.TakeLift()
		return
	}
	flow.ResetLift(m.startCredit(w))
	m.commitLift(w, flow)
}

func boolToInt(value bool) int {
	if value {
		return 1
	}
	return 0
}

func toDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
