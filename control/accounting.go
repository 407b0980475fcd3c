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
	// interestEvery is the longest time between two reports on an active
	// workspace: they also ask for its total.
	interestEvery = time.Second
	// rebaseAfter is how long a workspace may go without a report before its
	// level counts as not known.
	rebaseAfter = 3 * time.Second
	// pushPart sends levels this many times in a period, so that they lag
	// little behind the reports.
	pushPart = 2
	// exchangeEach is the part of the exchange period for each node of the
	// fleet; minExchange and maxExchange bound the period.
	exchangeEach = 10 * time.Millisecond
	minExchange  = 60 * time.Millisecond
	maxExchange  = time.Second
	// betweenRequests is how long a workspace may have nothing waiting before
	// it counts as idle: its next request is on the way while others run.
	betweenRequests = 50 * time.Millisecond
	// maxCredit bounds the slot time that a workspace may be credited with when it begins
	// to wait in one more shard.
	maxCredit = 5 * time.Second
	// maxCounts bounds the counts in one message.
	maxCounts = 100
)

// workspace is what a scheduler keeps of one workspace.
type workspace struct {
	name  string
	share float64
	hash  uint64
	entry *account.Entry
	// flows are the workspace's places in the queues here.
	flows     map[ShardID]*sched.Flow[*queuedTicket]
	estimates map[string]*sched.Estimate
	// waiting and running count its tickets and grants here.
	waiting, running int
	// waitedAt is when its last ticket here left the queue.
	waitedAt   Instant
	reportedAt Instant
	// reportedWaiting is what the last report said of waiting tickets.
	reportedWaiting bool
	// accountedBy is its accounting node in version asOf of the view.
	accountedBy NodeID
	asOf        uint64
}

// books is the exchange of service counts with the rest of the fleet.
type books struct {
	// active holds the workspaces to report on.
	active map[string]*workspace
	totals *account.Totals
	nextAt Instant
	// nextPush is when changed totals are sent next.
	nextPush Instant
}

func newBooks() books {
	return books{active: make(map[string]*workspace), totals: account.NewTotals()}
}

// workspaceHere returns the scheduler's record of a workspace, marked active.
func (m *Machine) workspaceHere(name string) *workspace {
	w := m.sched.workspaces[name]
	if w == nil {
		share := m.topo.share(name)
		w = &workspace{
			name:      name,
			share:     share,
			hash:      member.HashOf("workspace\x00" + name),
			entry:     account.NewEntry(share),
			flows:     make(map[ShardID]*sched.Flow[*queuedTicket]),
			estimates: make(map[string]*sched.Estimate),
		}
		m.sched.workspaces[name] = w
	}
	if _, active := m.books.active[name]; !active && m.now-w.reportedAt > rebaseAfter {
		w.entry.Unlearn()
	}
	m.books.active[name] = w
	return w
}

// creditOf returns how far below the others a workspace may start to wait: it is
// credited only if it waits elsewhere too, or waited just now.
func (m *Machine) creditOf(w *workspace) float64 {
	justNow := w.waitedAt > 0 && m.now-w.waitedAt <= betweenRequests
	if w.waiting > 0 || w.entry.WaitsElsewhere() || justNow {
		return maxCredit.Seconds() * w.entry.Weight()
	}
	return 0
}

// alone says that nobody else gives service.
func (m *Machine) alone() bool {
	return m.opts.Policy == PolicyAlone || m.view.Others() == 0
}

// settleLift makes a flow's lift part of the workspace's level. While the
// fleet's level is not known the lift stays with the flow: told to others, it
// would erase what the workspace has as credit.
func (m *Machine) settleLift(w *workspace, flow *sched.Flow[*queuedTicket]) {
	if !m.alone() && !w.entry.Known() {
		return
	}
	if lift := flow.TakeLift(); lift != 0 {
		w.entry.Lift(lift)
		w.moved(nil, 0)
	}
}

// follow takes a change of the configuration in.
func (w *workspace) follow(m *Machine) {
	if _, declared := m.topo.decl.Workspaces[w.name]; !declared && w.idle() && len(w.flows) == 0 {
		delete(m.sched.workspaces, w.name)
		delete(m.books.active, w.name)
		return
	}
	w.accountedBy, w.asOf = "", 0 // the groups may have changed
	if share := m.topo.share(w.name); share != w.share {
		w.share = share
		w.entry.SetShare(share)
	}
}

func (w *workspace) idle() bool { return w.waiting == 0 && w.running == 0 }

// estimate returns the cost estimate of the workspace's requests in a pool.
func (w *workspace) estimate(pool string) *sched.Estimate {
	e := w.estimates[pool]
	if e == nil {
		e = &sched.Estimate{}
		w.estimates[pool] = e
	}
	return e
}

// moved gives the queues the workspace's new total, of which the shard gave
// amount.
func (w *workspace) moved(s *shard, amount float64) {
	total := w.entry.Total()
	for id, f := range w.flows {
		if s != nil && id == s.id {
			f.SetTotal(total, amount)
		} else {
			f.SetTotal(total, 0)
		}
	}
}

// booksTick reports on the active workspaces and tells their totals.
func (m *Machine) booksTick() {
	if m.topo != nil && m.now >= m.books.nextPush {
		m.books.nextPush = m.now + m.exchangeEvery()/pushPart
		m.pushTotals()
	}
	if m.now < m.books.nextAt || m.topo == nil {
		return
	}
	m.books.nextAt = m.now + m.exchangeEvery()
	if m.opts.Policy == PolicyAlone || m.view.Others() == 0 {
		m.sweepActive()
		return
	}
	m.reportService()
}

// booksWake returns when the exchange has something to send, at the latest other.
func (m *Machine) booksWake(other Instant) Instant {
	if m.books.totals.Changed() {
		other = min(other, m.books.nextPush)
	}
	if len(m.books.active) > 0 {
		other = min(other, m.books.nextAt)
	}
	return other
}

// exchangeEvery grows with the fleet, so that the accounting nodes get about as
// many messages in any fleet.
func (m *Machine) exchangeEvery() time.Duration {
	if m.opts.ExchangeEvery > 0 {
		return m.opts.ExchangeEvery
	}
	return min(max(time.Duration(m.view.Others()+1)*exchangeEach, minExchange), maxExchange)
}

// sweepActive drops the workspaces with nothing waiting or running.
func (m *Machine) sweepActive() {
	for name, w := range m.books.active {
		if w.idle() {
			delete(m.books.active, name)
		}
	}
}

func (m *Machine) reportService() {
	reports := make(map[NodeID][]ServiceCount)
	for name, w := range m.books.active {
		if w.entry.Expire(m.now) {
			w.moved(nil, 0)
		}
		report, changed := w.entry.Report(w.waiting > 0)
		changed = changed || w.running > 0 || w.waiting > 0 != w.reportedWaiting
		if !changed && w.idle() {
			delete(m.books.active, name)
			continue
		}
		if !changed && m.now-w.reportedAt < interestEvery {
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
			Waiting:   count(report.Waiting),
		})
	}
	for _, to := range sortedKeys(reports) {
		counts := reports[to]
		slices.SortFunc(counts, func(a, b ServiceCount) int { return cmp.Compare(a.Workspace, b.Workspace) })
		for part := range slices.Chunk(counts, maxCounts) {
			m.send(to, ServiceReport{Counts: part})
		}
	}
}

// accountingNode returns the node that adds up the workspace's service.
func (m *Machine) accountingNode(w *workspace) NodeID {
	if w.asOf != m.view.Version() {
		w.accountedBy = m.accountant(w.hash % m.topo.groups)
		w.asOf = m.view.Version()
	}
	return w.accountedBy
}

// accountant returns the node that accounts for a group of workspaces.
func (m *Machine) accountant(group uint64) NodeID {
	key := member.HashOf("accounts\x00" + strconv.FormatUint(group, 10))
	return NodeID(m.view.Owner(key, ""))
}

func (m *Machine) serviceReported(from NodeID, inc Incarnation, msg ServiceReport) {
	source := account.Source{Node: string(from), Incarnation: uint64(inc)}
	for _, c := range msg.Counts {
		m.books.totals.Report(m.now, source, c.Workspace, account.Report{
			Own:     c.Own.Seconds(),
			Level:   c.Total.Seconds(),
			Pending: c.Pending.Seconds(),
			Waiting: c.Waiting > 0,
		})
	}
}

func (m *Machine) pushTotals() {
	pushes := m.books.totals.Push(m.now)
	sources := make([]account.Source, 0, len(pushes))
	for source := range pushes {
		sources = append(sources, source)
	}
	slices.SortFunc(sources, func(a, b account.Source) int {
		return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	for _, source := range sources {
		counts := make([]ServiceCount, 0, len(pushes[source]))
		for _, c := range pushes[source] {
			counts = append(counts, ServiceCount{
				Workspace: c.Workspace,
				Own:       toDuration(c.Own),
				Total:     toDuration(c.Level),
				Pending:   toDuration(c.Elsewhere.Pending),
				Waiting:   c.Elsewhere.Waiting,
			})
		}
		for part := range slices.Chunk(counts, maxCounts) {
			m.send(NodeID(source.Node), ServiceTotals{Counts: part})
		}
	}
}

func (m *Machine) totalsReceived(msg ServiceTotals) {
	for _, c := range msg.Counts {
		if w := m.sched.workspaces[c.Workspace]; w != nil {
			m.learn(w, c)
		}
	}
}

// learn takes in the fleet's level of a workspace. If it was not known, the
// lifts of what waits here are worked out anew.
func (m *Machine) learn(w *workspace, c ServiceCount) {
	was := w.entry.Known()
	elsewhere := account.Elsewhere{Pending: c.Pending.Seconds(), Waiting: c.Waiting}
	w.entry.Learn(m.now, c.Total.Seconds(), c.Own.Seconds(), elsewhere)
	w.moved(nil, 0)
	if was {
		return
	}
	for _, s := range m.sched.sortedShards() {
		if flow := w.flows[s.id]; flow != nil {
			m.relift(w, flow)
		}
	}
	w.moved(nil, 0)
}

func (m *Machine) relift(w *workspace, flow *sched.Flow[*queuedTicket]) {
	if flow.Waiting() == 0 {
		flow.TakeLift()
		return
	}
	flow.Relift(m.creditOf(w))
	m.settleLift(w, flow)
}

func count(one bool) int {
	if one {
		return 1
	}
	return 0
}

func toDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
