package control

import (
	"cmp"
	"slices"
)

// resendMoved sends running reports and tickets to the new schedulers of the shards whose
// scheduler changed: the reports first, so that the slots count as occupied when the
// tickets arrive. It iterates over all requests here and runs only when the view of the
// fleet changes.
func (m *Machine) resendMoved() {
	if m.topo == nil {
		return
	}
	m.reportRuns(func(r *run) bool { return m.owner(r.shard) != r.reportedTo })
	for _, r := range m.entry.sortedRequests() {
		for _, sent := range r.tickets {
			if to := m.owner(sent.shard); to != sent.to {
				if m.view.Alive(string(sent.to)) {
					m.send(sent.to, CancelTicket{Ticket: r.id, Shard: sent.shard})
				}
				m.restartTicket(r, sent)
			}
		}
	}
	m.rerouteEndedReports()
}

// resendTo sends running reports and tickets again to a scheduler that restarted or was
// unreachable.
func (m *Machine) resendTo(node NodeID) {
	m.reportRuns(func(r *run) bool { return m.owner(r.shard) == node })
	m.restartTickets(func(sent *sentTicket) bool { return sent.to == node })
}

// resendAll sends every running report and ticket again.
func (m *Machine) resendAll() {
	m.reportRuns(func(*run) bool { return true })
	m.restartTickets(func(*sentTicket) bool { return true })
}

func (m *Machine) reportRuns(match func(*run) bool) {
	for _, r := range m.entry.sortedRuns() {
		if match(r) {
			m.reportRunInFull(r)
		}
	}
}

func (m *Machine) restartTickets(match func(*sentTicket) bool) {
	for _, r := range m.entry.sortedRequests() {
		for _, sent := range r.tickets {
			if match(sent) {
				m.restartTicket(r, sent)
			}
		}
	}
}

// rerouteEndedReports sends end reports that a dead scheduler has not acknowledged to the
// shard's current scheduler.
func (m *Machine) rerouteEndedReports() {
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
