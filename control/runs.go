package control

import (
	"slices"
	"time"

	"github.com/walnutcove/walnutcove/control/speed"
	"github.com/walnutcove/walnutcove/result"
)

const (
	// firstReportAfter is when a run is first reported as running, which also confirms that
	// its grant arrived.
	firstReportAfter = time.Second
	// reportInterval is the period of the later reports.
	reportInterval = 2 * time.Second
	// endedRetention is how long an unacknowledged end is reported. It is longer than the
	// lease of a grant, after which the slot is free in any case.
	endedRetention = 10 * time.Second
)

// run is a request that was dispatched under a grant.
type run struct {
	request     RequestID
	attempt     uint32
	grant       Grant
	shard       ShardID
	workspace   string
	fingerprint uint64
	work        Work
	startedAt   Instant
	// began reports that its target has begun to answer.
	began bool
	// overdue reports that it has not, although the request's deadline has passed.
	overdue bool
	// reportedTo is the scheduler that counts the run.
	reportedTo NodeID
	// informedNodes are the nodes that may count the run: its end is reported to all of them.
	informedNodes []NodeID
	load          runLoad
	timer         timer
}

// endedKey identifies the end of a grant and the node that has to acknowledge it.
type endedKey struct {
	grant GrantID
	to    NodeID
}

// endedRun is a PhaseEnded report that waits for its acknowledgement.
type endedRun struct {
	report Report
	to     NodeID
	until  Instant
	timer  timer
}

func (m *Machine) grantReceived(from NodeID, g Grant) {
	if run := m.entry.runs[g.ID]; run != nil {
		// The scheduler does not know of the run yet.
		run.markInformed(from)
		m.send(from, run.report(m.now, run.phase()))
		return
	}
	if e := m.entry.ended[endedKey{g.ID, from}]; e != nil {
		m.send(from, e.report)
		return
	}
	if m.topo == nil {
		return
	}
	shard, declared := m.topo.shardOf(g.Target)
	if declared && g.Spare != 0 {
		m.recordHint(shard, g.Spare)
	}
	r := m.entry.requests[g.Ticket.Request]
	if r == nil || r.id != g.Ticket {
		m.returnGrant(from, g, shard)
		return
	}
	if m.refusesParts(r.ev.Pool, r.ev.Work) {
		// The scheduler does not know the evidence yet.
		m.returnGrant(from, g, shard)
		m.withdrawRequest(r)
		m.refuseAfter(r.ev, result.PartQuarantined, m.jitter(partRetryAfter))
		return
	}
	if !m.topo.mayServe(g.Target, r.ev) {
		m.returnGrant(from, g, shard)
		m.replaceTickets(r, g.Target)
		return
	}
	if m.isWithheld(g.Target) {
		// The scheduler does not know of the notice yet, or the shard's scheduler has
		// changed.
		m.counters.GrantsWithheld++
		if start := m.topo.decl.Targets[g.Target].Start; m.notices.IsLeaving(g.Target, start) {
			m.sendLeavingNotice(from, g.Target, start)
		}
		m.returnGrant(from, g, shard)
		m.replaceTickets(r, g.Target)
		return
	}
	m.dispatch(r, from, g, shard)
}

func (m *Machine) dispatch(r *request, from NodeID, g Grant, shard ShardID) {
	m.entry.workspaces[r.ev.Workspace].grants++
	m.cancelTickets(r, shard)
	m.removeWaiting(r)
	m.counters.Dispatches++
	run := &run{
		request:     r.ev.Request,
		attempt:     r.ev.Attempt,
		grant:       g,
		shard:       shard,
		workspace:   r.ev.Workspace,
		fingerprint: r.ev.Fingerprint,
		work:        r.ev.Work,
		startedAt:   m.now,

		reportedTo:    from,
		informedNodes: []NodeID{from},
		load:          runLoad{start: m.topo.decl.Targets[g.Target].Start, reports: m.entry.loadReports},
	}
	m.entry.runs[g.ID] = run
	m.entry.latestRun[run.request] = run
	m.timers.set(&run.timer, run, m.now+firstReportAfter)
	m.emit(Dispatch{Request: r.ev.Request, Attempt: r.ev.Attempt, Grant: g.ID, Target: g.Target, PredictedStart: g.PredictedStart, Reads: g.Reads, FetchFrom: g.FetchFrom})
	m.offerWaiting(shard)
}

// offerWaiting sends waiting tickets to a shard with free slots, or one ticket in place of
// the granted one if its backlog is short.
func (m *Machine) offerWaiting(shard ShardID) {
	h := m.freshHint(shard)
	switch {
	case h == nil || m.hasDeepBacklog(shard):
	case h.spare > 0:
		delete(m.entry.hints, shard)
		m.offerTickets(shard, h.spare)
	default:
		m.offerTickets(shard, 1)
	}
}

// returnGrant returns a grant that is not used.
func (m *Machine) returnGrant(from NodeID, g Grant, shard ShardID) {
	m.counters.GrantsReturned++
	m.sendEnded(from, Report{
		Grant:   g.ID,
		Ticket:  g.Ticket,
		Shard:   shard,
		Target:  g.Target,
		Phase:   PhaseEnded,
		Outcome: OutcomeNotRun,
	})
}

// replaceTickets requests another grant after one for a target that this node's
// configuration version, or a notice of the target, does not let the request use.
func (m *Machine) replaceTickets(r *request, target string) {
	m.cancelTickets(r, ShardID{})
	r.ev.Excluded = append(r.ev.Excluded[:len(r.ev.Excluded):len(r.ev.Excluded)], target)
	r.ev.Excluded = m.excludedTargets(r.ev)
	r.tickets = nil
	r.regions = m.topo.allowedRegions(r.ev)
	r.shards = m.topo.candidateShards(r.ev, m.opts.DataCentre)
	if len(r.shards) == 0 {
		m.removeWaiting(r)
		m.refuseNoCandidate(r.ev)
		return
	}
	m.assignTicketID(r)
	m.addTicket(r, r.shards[0])
}

func (m *Machine) runEnded(ev RunEnded) {
	m.setRunLoad(ev.Grant, ev.Load, ev.LoadAge)
	if run := m.entry.runs[ev.Grant]; run != nil {
		m.endRun(run, ev.Outcome, ev.Service)
	}
}

func (m *Machine) runSilent(ev RunSilent) {
	if run := m.entry.runs[ev.Grant]; run != nil {
		m.reportRunning(run, run.report(m.now, PhaseSilent))
	}
}

func (m *Machine) runOverdue(ev RunOverdue) {
	if run := m.entry.runs[ev.Grant]; run != nil {
		run.overdue = true
		run.fire(m)
	}
}

// endRun reports the end of a run to the shard's scheduler, and to the others that may
// count it: one that is not informed keeps the slot occupied and continues to charge for
// it.
func (m *Machine) endRun(run *run, outcome Outcome, service time.Duration) {
	m.timers.stop(&run.timer)
	delete(m.entry.runs, run.grant.ID)
	if m.entry.latestRun[run.request] == run {
		delete(m.entry.latestRun, run.request)
	}
	report := run.report(m.now, PhaseEnded)
	report.Outcome = outcome
	report.Service = service
	if outcome == OutcomeLost {
		// For a scheduler that does not know the run; see partsLostElsewhere.
		report.Work, report.Began = run.work, run.began
	}
	owner := m.owner(run.shard)
	m.sendEnded(owner, report)
	for _, node := range run.informedNodes {
		if node != owner && m.view.Alive(string(node)) {
			m.sendEnded(node, report)
		}
	}
}

// markInformed records that a node is informed of the run.
func (r *run) markInformed(node NodeID) {
	if !slices.Contains(r.informedNodes, node) {
		r.informedNodes = append(r.informedNodes, node)
	}
}

// phase returns the phase of a run in progress.
func (r *run) phase() RunPhase {
	if r.overdue {
		return PhaseOverdue
	}
	return PhaseRunning
}

func (r *run) report(now Instant, phase RunPhase) Report {
	report := Report{
		Grant:       r.grant.ID,
		Ticket:      r.grant.Ticket,
		Shard:       r.shard,
		Workspace:   r.workspace,
		Target:      r.grant.Target,
		Phase:       phase,
		Service:     now - r.startedAt,
		Fingerprint: r.fingerprint,
	}
	if phase == PhaseBegan || phase == PhaseEnded {
		report.Load, report.LoadAge = r.load.take(now, r.grant.Target)
	}
	return report
}

// sendEnded sends the end of a run repeatedly until it is acknowledged. Only the first report
// has the target's load, which would be out of date in the others.
func (m *Machine) sendEnded(to NodeID, report Report) {
	key := endedKey{report.Grant, to}
	if m.entry.ended[key] != nil {
		return
	}
	repeated := report
	repeated.Load, repeated.LoadAge = speed.Reading{}, 0
	e := &endedRun{report: repeated, to: to, until: m.now + endedRetention}
	m.entry.ended[key] = e
	m.timers.set(&e.timer, e, m.now+resendEvery)
	m.send(to, report)
}

func (m *Machine) ackReceived(from NodeID, a ReportAck) {
	key := endedKey{a.Grant, from}
	if e := m.entry.ended[key]; e != nil {
		m.timers.stop(&e.timer)
		delete(m.entry.ended, key)
	}
}

// fire implements timerOwner: the report was not acknowledged.
func (e *endedRun) fire(m *Machine) {
	key := endedKey{e.report.Grant, e.to}
	if m.now >= e.until {
		delete(m.entry.ended, key)
		return
	}
	m.counters.ReportsResent++
	m.timers.set(&e.timer, e, m.now+resendEvery)
	m.send(e.to, e.report)
}

// fire implements timerOwner: the run is reported as running.
func (r *run) fire(m *Machine) {
	if m.owner(r.shard) != r.reportedTo {
		m.reportRunInFull(r)
		return
	}
	m.reportRunning(r, r.report(m.now, r.phase()))
}

// reportRunInFull reports a run to a scheduler that may not know it, with all that the
// scheduler needs to count it as if it had granted it. When only the slot was counted,
// targets with half a second of prompts to read appeared idle and were overfilled.
func (m *Machine) reportRunInFull(r *run) {
	report := r.report(m.now, r.phase())
	report.Work, report.Reads, report.Began = r.work, r.grant.Reads, r.began
	m.reportRunning(r, report)
}

func (m *Machine) reportRunning(r *run, report Report) {
	m.timers.set(&r.timer, r, m.now+reportInterval)
	r.reportedTo = m.owner(r.shard)
	r.markInformed(r.reportedTo)
	m.send(r.reportedTo, report)
}
