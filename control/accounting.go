package control

import (
	"cmp"
	"slices"
	"time"

	"github.com/walnutcove/walnutcove/control/account"
	"github.com/walnutcove/walnutcove/control/member"
	"github.com/walnutcove/walnutcove/control/sched"
)

const (
	// interestEvery is the longest time between two reports on an active
	// workspace: they also ask for its total.
	interestEvery = time.Second
	// rebaseAfter is how long a workspace may go without a report before the
	// next total is taken as a base line only.
	rebaseAfter = 3 * time.Second
	// pushPart sends changed totals this many times in a period, so that they
	// lag little behind the reports.
	pushPart = 5
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
	reportedAt       Instant
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
	m.books.active[name] = w
	return w
}

// follow takes a change of the configuration in.
func (w *workspace) follow(m *Machine) {
	if _, declared := m.topo.decl.Workspaces[w.name]; !declared && w.idle() && len(w.flows) == 0 {
		delete(m.sched.workspaces, w.name)
		delete(m.books.active, w.name)
		return
	}
	if share := m.topo.share(w.name); share != w.share {
		w.share = share
		w.entry.SetShare(m.now, share)
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
		m.books.nextPush = m.now + m.opts.ExchangeEvery/pushPart
		m.pushTotals()
	}
	if m.now < m.books.nextAt || m.topo == nil {
		return
	}
	m.books.nextAt = m.now + m.opts.ExchangeEvery
	if m.opts.Policy == PolicyAlone || m.view.Others() == 0 {
		m.sweepActive()
		return
	}
	m.reportService()
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
		if w.reportedAt == 0 || m.now-w.reportedAt > rebaseAfter {
			w.entry.Rebase()
		}
		own, changed := w.entry.Report(m.now)
		if !changed && w.idle() {
			delete(m.books.active, name)
			continue
		}
		if !changed && m.now-w.reportedAt < interestEvery {
			continue
		}
		w.reportedAt = m.now
		to := m.accountingNode(w)
		reports[to] = append(reports[to], ServiceCount{Workspace: name, Own: toDuration(own)})
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
		w.accountedBy = NodeID(m.view.Owner(w.hash, ""))
		w.asOf = m.view.Version()
	}
	return w.accountedBy
}

func (m *Machine) serviceReported(from NodeID, inc Incarnation, msg ServiceReport) {
	source := account.Source{Node: string(from), Incarnation: uint64(inc)}
	for _, c := range msg.Counts {
		m.books.totals.Report(m.now, source, c.Workspace, c.Own.Seconds())
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
			counts = append(counts, ServiceCount{Workspace: c.Workspace, Own: toDuration(c.Own), Total: toDuration(c.Total)})
		}
		for part := range slices.Chunk(counts, maxCounts) {
			m.send(NodeID(source.Node), ServiceTotals{Counts: part})
		}
	}
}

func (m *Machine) totalsReceived(from NodeID, inc Incarnation, msg ServiceTotals) {
	source := account.Source{Node: string(from), Incarnation: uint64(inc)}
	for _, c := range msg.Counts {
		w := m.sched.workspaces[c.Workspace]
		if w == nil {
			continue
		}
		w.entry.Learn(source, c.Total.Seconds(), c.Own.Seconds())
		w.moved(nil, 0)
	}
}

func toDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
