package control

import (
	"cmp"
	"slices"
)

// resendMoved sends tickets and running reports to the new schedulers of the
// shards whose scheduler changed. It costs a pass over what is here and runs
// only when the view of the fleet changes.
func (m *Machine) resendMoved() {
	if m.topo == nil {
		return
	}
	for _, r := range m.entry.sortedRequests() {
		for _, a := range r.asks {
			if to := m.owner(a.shard); to != a.to {
				if m.view.Alive(string(a.to)) {
					m.send(a.to, CancelTicket{Ticket: r.id, Shard: a.shard})
				}
				m.restart(r, a)
			}
		}
	}
	for _, run := range m.entry.sortedRuns() {
		if to := m.owner(run.shard); to != run.reportedTo {
			m.reportRunning(run)
		}
	}
	m.rerouteEnded()
}

// resendTo sends tickets and running reports again to a scheduler that has
// restarted or was out of reach.
func (m *Machine) resendTo(node NodeID) {
	for _, r := range m.entry.sortedRequests() {
		for _, a := range r.asks {
			if a.to == node {
				m.restart(r, a)
			}
		}
	}
	for _, run := range m.entry.sortedRuns() {
		if m.owner(run.shard) == node {
			m.reportRunning(run)
		}
	}
}

// resendAll sends every ticket and running report again.
func (m *Machine) resendAll() {
	for _, r := range m.entry.sortedRequests() {
		for _, a := range r.asks {
			m.restart(r, a)
		}
	}
	for _, run := range m.entry.sortedRuns() {
		m.reportRunning(run)
	}
}

// rerouteEnded sends the ends of runs that a dead scheduler has not
// acknowledged to the shard's present one.
func (m *Machine) rerouteEnded() {
	for _, e := range m.entry.sortedEnded() {
		if m.view.Alive(string(e.to)) {
			continue
		}
		m.timers.stop(&e.timer)
		delete(m.entry.ended, endedKey{e.report.Grant, e.to})
		m.sendEnded(m.owner(e.report.Shard), e.report)
	}
}

func (e *entry) sortedRequests() []*request {
	all := make([]*request, 0, len(e.requests))
	for _, r := range e.requests {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *request) int { return cmp.Compare(a.ev.Request, b.ev.Request) })
	return all
}

func (e *entry) sortedRuns() []*run {
	all := make([]*run, 0, len(e.runs))
	for _, r := range e.runs {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *run) int { return compareGrants(a.grant.ID, b.grant.ID) })
	return all
}

func (e *entry) sortedEnded() []*endedRun {
	all := make([]*endedRun, 0, len(e.ended))
	for _, r := range e.ended {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *endedRun) int {
		if c := compareGrants(a.report.Grant, b.report.Grant); c != 0 {
			return c
		}
		return cmp.Compare(a.to, b.to)
	})
	return all
}

func compareGrants(a, b GrantID) int {
	return cmp.Or(
		cmp.Compare(a.Scheduler, b.Scheduler),
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Seq, b.Seq),
	)
}
