package control

import (
	"cmp"
	"slices"
	"time"

	"github.com/walnutcove/walnutcove/control/quarantine"
)

// Evidence about parts of prompts that crash targets; see quarantine.Parts. The scheduler of
// a shard collects it from the reports of the runs that it granted: targets that count in
// tokens report their crashes late, but all runs there break at the same moment.

const (
	// survivalTime is how long a target has to run after it began an answer for the parts of
	// its prompt to have survived.
	survivalTime = 500 * time.Millisecond
	// lossSettleDelay is how long after the first run that a target lost it is decided
	// whether it crashed: the reports of its other runs come from other routers.
	lossSettleDelay = 300 * time.Millisecond
	// lossReportDelay is how long after the first lost run reports may still arrive of
	// what the target sent before.
	lossReportDelay = 150 * time.Millisecond
	// trialInterval is the time between two trials of a scheduler. It allows for the wait, for
	// the reading of the prompt, and for survivalTime or lossSettleDelay.
	trialInterval = time.Second
	// partRetryAfter is the time after which callers are asked to retry a request that is
	// refused for parts of its prompt: the evidence is kept for minutes.
	partRetryAfter = 30 * time.Second
)

// PartEvidence distributes evidence about parts of prompts that crash targets of a pool. Each
// router evaluates the evidence itself.
type PartEvidence struct {
	Pool string
	// Crash identifies a crash, and Runs holds the suspects of each run that may have caused
	// it: at most 100 parts together.
	Crash uint64
	Runs  [][]uint64
	// Survived holds parts that survived, at most 100. Crash is zero then.
	Survived []uint64
	// Age is the time since the event.
	Age time.Duration
}

// PartsQuarantineChanged reports that requests with all of the given parts are refused from
// now on, but for trials, or no longer.
type PartsQuarantineChanged struct {
	Pool   string
	Change quarantine.PartsChange
}

// TargetCrashed reports that a target scheduled here is taken to have crashed.
type TargetCrashed struct {
	Target string
	// Lost counts the runs that broke, and After is the time since the first one. Suspects
	// counts the distinct sets of parts that may have caused this crash and those of other
	// targets at almost the same time.
	Lost     int
	After    time.Duration
	Suspects int
}

func (PartEvidence) isMessage()           {}
func (PartsQuarantineChanged) isCommand() {}
func (TargetCrashed) isCommand()          {}

// partEvidence holds the evidence about parts.
type partEvidence struct {
	byPool map[string]*quarantine.Parts
	// nextTrialAt holds when the next request of a pool may be tried; see beginTrial.
	nextTrialAt map[string]Instant
	// pending holds the targets with begun runs or a loss to be decided on.
	pending  map[*target]bool
	expireAt Instant
}

func newPartEvidence() partEvidence {
	return partEvidence{
		byPool:      make(map[string]*quarantine.Parts),
		nextTrialAt: make(map[string]Instant),
		pending:     make(map[*target]bool),
	}
}

// begunRun is a run on which a target began an answer less than survivalTime ago. It may have
// ended since.
type begunRun struct {
	at    Instant
	parts []uint64
	// clears reports that its parts have survived if the target runs on. Streams that continue
	// on another target may begin without what crashes targets.
	clears bool
}

// targetLoss is a series of runs that a target lost.
type targetLoss struct {
	target string
	at     Instant
	lost   int
	// runs holds the parts of each run that may have caused it.
	runs [][]uint64
	// alive reports that the target has answered since.
	alive bool
}

func (e *partEvidence) of(pool string) *quarantine.Parts {
	if e.byPool[pool] == nil {
		e.byPool[pool] = quarantine.NewParts(quarantine.PartOptions{})
	}
	return e.byPool[pool]
}

// partsOf returns the parts of a prompt that requests may share: all but the last one, which
// belongs to the request or its session.
func partsOf(work Work) []uint64 {
	if len(work.Parts) < 2 {
		return nil
	}
	shared := work.Parts[:min(len(work.Parts)-1, quarantine.MaxPartsPerRun)]
	ids := make([]uint64, len(shared))
	for i, part := range shared {
		ids[i] = part.ID
	}
	return ids
}

// partVerdict returns the verdict on a request by the parts of its prompt.
func (m *Machine) partVerdict(pool string, work Work) quarantine.PartVerdict {
	evidence := m.partEvidence.byPool[pool]
	if evidence == nil || len(work.Parts) < 2 {
		return quarantine.PartsRun
	}
	return evidence.Verdict(m.now, partsOf(work))
}

// refusesParts reports whether a request must not run as parts of its prompt crash targets.
func (m *Machine) refusesParts(pool string, work Work) bool {
	return m.partVerdict(pool, work) == quarantine.PartsRefused
}

// beginTrial reports whether a ticket may be queued here by the verdict on its parts, and if
// it is a trial begins that: no other one is made for trialInterval.
func (m *Machine) beginTrial(t Ticket) bool {
	pool := t.Shard.Pool
	if m.partVerdict(pool, t.Work) != quarantine.PartsTry {
		return true
	}
	if m.now < m.partEvidence.nextTrialAt[pool] {
		return false
	}
	m.partEvidence.nextTrialAt[pool] = m.now + trialInterval
	m.counters.PartTrials++
	return true
}

// partsBegan records that a target began an answer, or gave all of it.
func (m *Machine) partsBegan(g *grant) {
	t := g.target
	if g.beganAt != 0 || t.engine == nil {
		return
	}
	g.beganAt = m.now
	t.crashed = false
	if t.loss != nil && (g.grantedAt > t.loss.at || m.now-t.loss.at > lossReportDelay) {
		t.loss.alive = true
	}
	if len(g.parts) > 0 {
		t.begun = append(t.begun, begunRun{at: m.now, parts: g.parts, clears: !g.continues})
		m.partEvidence.pending[t] = true
	}
}

// partsLost records that a run broke off.
func (m *Machine) partsLost(g *grant) {
	t := g.target
	if t.engine == nil || t.crashed {
		return
	}
	if t.loss == nil {
		t.loss = &targetLoss{target: t.name, at: m.now, runs: t.runsAtRisk(m.now, g)}
		m.partEvidence.pending[t] = true
	}
	if g.grantedAt <= t.loss.at {
		t.loss.lost++
	}
}

// partsLostElsewhere records that a run broke off that another scheduler granted, which may
// have ended since.
func (m *Machine) partsLostElsewhere(r Report) {
	t := m.localTarget(r.Target)
	if t == nil {
		return
	}
	lost := &grant{target: t, parts: partsOf(r.Work)}
	if r.Began {
		lost.beganAt = m.now
	}
	m.partsLost(lost)
}

// runsAtRisk returns the parts of the runs that may have crashed a target now: those that
// have not begun, or only just. lost is the run that showed it.
func (t *target) runsAtRisk(now Instant, lost *grant) [][]uint64 {
	var runs [][]uint64
	add := func(g *grant) {
		if len(g.parts) > 0 && g.beganAt == 0 {
			runs = append(runs, g.parts)
		}
	}
	add(lost)
	for _, g := range t.sortedGrants() {
		if g != lost {
			add(g)
		}
	}
	for _, b := range t.begun {
		if now-b.at < survivalTime {
			runs = append(runs, b.parts)
		}
	}
	return runs
}

// partEvidenceTick decides which parts have survived and which targets crashed. What is decided
// at once for a pool goes to the other nodes in one notice, as the targets of a data centre
// that loses its power crash together.
func (m *Machine) partEvidenceTick() {
	survived := make(map[string][]uint64)
	crashed := make(map[string][]*targetLoss)
	due := m.partEvidence.duePools(m.now)
	for _, t := range m.partEvidence.sortedPending() {
		pool := t.shard.id.Pool
		survived[pool] = append(survived[pool], t.takeSurvived(m.now)...)
		if t.loss != nil && due[pool] && m.now-t.loss.at >= lossSettleDelay-quarantine.Simultaneous {
			if loss, isCrash := t.settleLoss(); isCrash {
				crashed[pool] = append(crashed[pool], loss)
			}
		}
		if t.loss == nil && len(t.begun) == 0 {
			delete(m.partEvidence.pending, t)
		}
	}
	for _, pool := range sortedKeys(survived) {
		if len(survived[pool]) > 0 {
			m.applyParts(pool, "", m.partEvidence.of(pool).Survived(m.now, survived[pool]))
		}
	}
	for _, pool := range sortedKeys(crashed) {
		m.targetsCrashed(pool, crashed[pool])
	}
	if m.now < m.partEvidence.expireAt {
		return
	}
	m.partEvidence.expireAt = m.now + expireInterval
	for _, pool := range sortedKeys(m.partEvidence.byPool) {
		m.applyParts(pool, "", m.partEvidence.byPool[pool].Expire(m.now))
	}
}

// duePools returns the pools with a loss to be decided on now.
func (e *partEvidence) duePools(now Instant) map[string]bool {
	due := make(map[string]bool)
	for t := range e.pending {
		if t.loss != nil && now-t.loss.at >= lossSettleDelay {
			due[t.shard.id.Pool] = true
		}
	}
	return due
}

// sortedPending returns the pending targets in order of name.
func (e *partEvidence) sortedPending() []*target {
	if len(e.pending) == 0 {
		return nil
	}
	all := make([]*target, 0, len(e.pending))
	for t := range e.pending {
		all = append(all, t)
	}
	slices.SortFunc(all, func(a, b *target) int { return cmp.Or(cmp.Compare(a.name, b.name), cmp.Compare(a.start, b.start)) })
	return all
}

// takeSurvived returns the parts on which a target began answers and ran on.
func (t *target) takeSurvived(now Instant) []uint64 {
	until := now
	if t.loss != nil {
		until = t.loss.at
	}
	var survived []uint64
	for len(t.begun) > 0 && until-t.begun[0].at >= survivalTime {
		if t.begun[0].clears {
			survived = append(survived, t.begun[0].parts...)
		}
		t.begun = t.begun[1:]
	}
	return survived
}

// settleLoss ends a series of lost runs and reports whether the target crashed: it did if it
// lost most of those that it had, and has answered nothing since.
func (t *target) settleLoss() (loss *targetLoss, isCrash bool) {
	loss, t.loss = t.loss, nil
	left := 0
	for _, g := range t.shard.granted {
		if g.target == t && g.grantedAt <= loss.at {
			left++
		}
	}
	if loss.alive || left > loss.lost {
		return loss, false
	}
	t.begun, t.crashed = nil, true
	return loss, true
}

// targetsCrashed records that targets of a pool crashed at almost the same time.
func (m *Machine) targetsCrashed(pool string, losses []*targetLoss) {
	at := losses[0].at
	var runs [][]uint64
	for _, loss := range losses {
		at = min(at, loss.at)
		runs = append(runs, loss.runs...)
	}
	out := m.partEvidence.of(pool).Crashed(m.now, at, m.rng.Uint64()|1, runs)
	suspects := 0
	for _, n := range out.Notices {
		suspects += len(n.Runs)
	}
	for _, loss := range losses {
		m.counters.TargetCrashes++
		m.emit(TargetCrashed{Target: loss.target, Lost: loss.lost, After: m.now - loss.at, Suspects: suspects})
	}
	m.applyParts(pool, "", out)
}

// applyParts carries out the consequences of new evidence, which came from a node if from is
// not empty.
func (m *Machine) applyParts(pool string, from NodeID, out quarantine.PartOutput) {
	for _, change := range out.Changes {
		if change.Refused {
			m.counters.PartConvictions++
		}
		m.emit(PartsQuarantineChanged{Pool: pool, Change: change})
	}
	for _, n := range out.Notices {
		if n.Crash == 0 {
			m.counters.PartClearances++
		}
		for _, name := range m.view.Neighbours() {
			if NodeID(name) != from {
				m.sendPartNotice(NodeID(name), pool, n)
			}
		}
	}
	if len(out.Changes) > 0 {
		for _, s := range m.sched.sortedShards() {
			m.refuseUnservable(s)
		}
	}
}

func (m *Machine) sendPartNotice(to NodeID, pool string, n quarantine.PartNotice) {
	m.send(to, PartEvidence{Pool: pool, Crash: n.Crash, Runs: n.Runs, Survived: n.Survived, Age: n.Age})
}

// sendPartEvidence sends the evidence known here to a node that has returned.
func (m *Machine) sendPartEvidence(node NodeID) {
	for _, pool := range sortedKeys(m.partEvidence.byPool) {
		for _, n := range m.partEvidence.byPool[pool].Evidence(m.now) {
			m.sendPartNotice(node, pool, n)
		}
	}
}

func (m *Machine) partEvidenceReceived(from NodeID, msg PartEvidence) {
	if m.topo == nil {
		return
	}
	if _, declared := m.topo.decl.Pools[msg.Pool]; !declared {
		return
	}
	notice := quarantine.PartNotice{Crash: msg.Crash, Runs: msg.Runs, Survived: msg.Survived, Age: msg.Age}
	m.applyParts(msg.Pool, from, m.partEvidence.of(msg.Pool).Merge(m.now, notice))
}
