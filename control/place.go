package control

import (
	"time"

	"github.com/walnutcove/walnutcove/control/decode"
	"github.com/walnutcove/walnutcove/control/member"
	"github.com/walnutcove/walnutcove/control/sched"
)

// Placement on targets that count their work in tokens. A request goes where its answer is
// predicted to begin soon, with a preference for targets that have the shared parts of its
// prompt in their cache: reading them again costs time of the target, for which other
// requests wait. Targets whose answers in progress would miss their deadlines are left out; see
// hasPaceFor.

const (
	// defaultMaxWait bounds the reading time of the unread prompts at a target of a pool
	// without objectives.
	defaultMaxWait = 200 * time.Millisecond
	// latePenalty is added to the cost of a target at which the request would be late. It
	// is larger than any wait.
	latePenalty = 10 * time.Second
	// minFetchTokens is the minimum number of tokens for which a fetch is worthwhile, as it
	// costs a request between targets.
	minFetchTokens = 64
)

// millis converts a policy value in milliseconds to a duration.
func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// scale returns a fraction of a duration.
func scale(fraction float64, d time.Duration) time.Duration {
	return time.Duration(fraction * float64(d))
}

// countsTokens reports whether the shard's targets count their work in tokens.
func (m *Machine) countsTokens(s *shard) bool {
	return m.topo != nil && m.topo.decl.Pools[s.id.Pool].Tokens != nil
}

// declareEngine creates or updates the model of a target that counts in tokens.
func (m *Machine) declareEngine(t *target, slots int, memory int64) {
	if t.engine != nil {
		t.engine.SetCapacity(slots, memory)
		return
	}
	options := sched.EngineOptions{
		Slots:          slots,
		Memory:         memory,
		ReadModel:      t.shard.reading,
		IgnoreSlowdown: m.opts.Tokens.NoSpeed,
	}
	if pace := m.opts.Tokens.Pace; !m.opts.Tokens.NoPace {
		options.DecodeModel = t.shard.decoding
		options.Pace = decode.PaceOptions{OverrunPart: pace.OverrunPart, MinReadPart: pace.MinReadPart}
	}
	t.engine = sched.NewEngine(options)
}

// declareReading creates or updates the model of how fast the shard's targets read prompts.
func (m *Machine) declareReading(s *shard, perSecond float64) {
	targets := 0
	if decl := m.topo.shards[s.id]; decl != nil {
		targets = len(decl.targets)
	}
	if s.reading != nil {
		s.reading.SetDeclaredRate(perSecond, targets)
		return
	}
	s.reading = sched.NewReadModel(perSecond, targets)
	s.reading.Frozen = m.opts.Tokens.NoLearning
	s.decoding = decode.NewModel()
	s.decoding.Frozen = m.opts.Tokens.NoLearning
}

// engineTaskOf converts a ticket's work to the form that engine models use.
func engineTaskOf(work Work) sched.EngineTask {
	task := sched.EngineTask{PromptTokens: work.PromptTokens, OutputTokens: work.OutputTokens}
	total := 0
	for _, part := range work.Parts {
		task.Parts = append(task.Parts, sched.EnginePart{ID: part.ID, Tokens: part.Tokens})
		total += part.Tokens
	}
	task.PromptTokens = max(task.PromptTokens, total)
	return task
}

// servicePerToken is the service that one token counts for in fair shares.
const servicePerToken = time.Microsecond

// nominalService returns the service that a task counts for in fair shares: each prompt
// token once, each generated token twice. What a target has cached makes no difference, so
// that a workspace is not charged for where its requests happen to be placed.
func nominalService(task sched.EngineTask) time.Duration {
	return time.Duration(max(1, task.PromptTokens+2*task.OutputTokens)) * servicePerToken
}

// maxWait returns the limit on the reading time of the unread prompts at a target of the
// shard's pool.
func (m *Machine) maxWait(s *shard) time.Duration {
	if tightest := m.topo.objectives[s.id.Pool]; tightest > 0 {
		return scale(m.opts.Tokens.WaitPart, tightest)
	}
	return defaultMaxWait
}

// placement is a possible target for a ticket, with its predicted start and cost.
type placement struct {
	target *target
	// start is the predicted time from now until the answer begins.
	start time.Duration
	// reads is the number of prompt tokens that the target has to read.
	reads int
	// fetchFrom is the target whose cache provides the shared parts that this one lacks;
	// nil if they are not to be fetched.
	fetchFrom *target
	// cost is the start plus penalties; the placement with the lowest cost is chosen.
	cost time.Duration
	// slower is how much later the start is than if the target were as fast as usual in the
	// pool; zero if it does not report its speed.
	slower time.Duration
	// movedBySpeed reports that another target would have been chosen if all were as fast as
	// usual in the pool.
	movedBySpeed bool
}

func (p placement) fetchName() string {
	if p.fetchFrom == nil {
		return ""
	}
	return p.fetchFrom.name
}

// candidate is a target as evaluated for one ticket.
type candidate struct {
	target *target
	// reads is the number of prompt tokens that it would have to read, and sharedReads how
	// many of these are in shared parts.
	reads, sharedReads int
	// wait is the reading time of the unread prompts at the target.
	wait time.Duration
}

// listCandidates evaluates targets for a ticket. The next call reuses the slice.
func (m *Machine) listCandidates(targets []*target, task sched.EngineTask) []candidate {
	m.sched.candidateBuffer = m.sched.candidateBuffer[:0]
	for _, t := range targets {
		c := candidate{target: t, wait: t.engine.Wait(m.now)}
		c.reads, c.sharedReads = m.readsAt(t, task)
		m.sched.candidateBuffer = append(m.sched.candidateBuffer, c)
	}
	return m.sched.candidateBuffer
}

// readsAt returns how many tokens of a task a target would have to read, and how many of
// these are in shared parts.
func (m *Machine) readsAt(t *target, task sched.EngineTask) (all, shared int) {
	if m.opts.Tokens.NoKept {
		return max(1, task.PromptTokens), 0
	}
	return t.engine.Reads(task)
}

// chooseTokenTarget returns the target of a class with the lowest cost for a queued ticket.
// The placement has no target if none can take the ticket now.
func (m *Machine) chooseTokenTarget(c *class, q *queuedTicket) placement {
	policy := &m.opts.Tokens
	limit := m.maxWait(q.shard)
	all := m.listCandidates(c.targets, q.task)
	holder := m.bestCacheHolder(all, q.task)
	home := homeTarget(all, q.task, holder)
	near := m.dataCentreOf(q.from)
	var best, bestUsual placement
	for _, cand := range all {
		t := cand.target
		if !m.hasRoomFor(c, t) || !t.engine.HasRoom(q.task) {
			continue
		}
		holdsAll := cand.sharedReads == 0 && len(q.task.Parts) > 1
		if cand.wait > limit && (!holdsAll || cand.wait > scale(policy.KeeperPart, limit)) {
			continue
		}
		paceLimit := t.engine.PaceLimit(m.now, q.task)
		if !m.hasPaceFor(q, cand, paceLimit) {
			continue
		}
		p := m.predictPlacement(q, cand, holder)
		p.cost += m.paceCost(q, p, paceLimit)
		if home != nil && t != home {
			p.cost += millis(policy.HomeMillis)
		}
		if near != "" && t.dataCentre != near {
			p.cost += millis(policy.FarMillis)
		}
		if best.target == nil || p.cost < best.cost {
			best = p
		}
		if p.cost -= p.slower; bestUsual.target == nil || p.cost < bestUsual.cost {
			bestUsual = p
		}
	}
	best.movedBySpeed = best.target != bestUsual.target
	return best
}

// dataCentreOf returns the data centre of a node; empty if it is unknown.
func (m *Machine) dataCentreOf(node NodeID) string {
	if node == m.opts.Node {
		return m.opts.DataCentre
	}
	if n := m.view.Node(string(node)); n != nil {
		return n.DataCentre
	}
	return ""
}

// predictPlacement predicts the cost of a ticket at a target. holder is the target that has
// most of the shared parts of its prompt cached; see bestCacheHolder.
func (m *Machine) predictPlacement(q *queuedTicket, cand, holder candidate) placement {
	t, sharedReads := cand.target, cand.sharedReads
	policy := &m.opts.Tokens
	p := placement{target: t, reads: cand.reads}
	penalty := scale(policy.RereadPart, t.engine.ReadTime(m.now, sharedReads))
	fetch := time.Duration(0)
	perSecond := m.topo.decl.Pools[q.shard.id.Pool].Tokens.FetchedPerSecond
	if fetched := sharedReads - holder.sharedReads; holder.target != nil && fetched >= minFetchTokens && perSecond > 0 && !policy.NoFetch {
		p.fetchFrom = holder.target
		p.reads = max(1, cand.reads-fetched)
		fetch = time.Duration(float64(fetched) / perSecond * float64(time.Second))
		penalty = scale(policy.FetchPart, fetch) + scale(policy.RereadPart, t.engine.ReadTime(m.now, holder.sharedReads))
	}
	predicted, usual := t.engine.PredictBoth(m.now, q.task, p.reads)
	p.start = predicted + fetch
	p.slower = predicted - usual
	p.cost = p.start + penalty
	if q.objective > 0 && p.start > scale(policy.TimelyPart, q.objective-m.now) {
		p.cost += latePenalty
	}
	return p
}

// bestCacheHolder returns the target that has most of the shared parts of a prompt in its
// cache; of several, the one with the shortest wait. The candidate has no target if none
// has any of them.
func (m *Machine) bestCacheHolder(all []candidate, task sched.EngineTask) candidate {
	var holder candidate
	if len(task.Parts) < 2 {
		return holder
	}
	shared := task.Shared()
	for _, c := range all {
		if c.sharedReads >= shared || m.now < c.target.backoffUntil {
			continue
		}
		if holder.target == nil || c.sharedReads < holder.sharedReads || c.sharedReads == holder.sharedReads && c.wait < holder.wait {
			holder = c
		}
	}
	return holder
}

// homeTarget returns the target to which rendezvous hashing assigns the shared parts of a
// prompt, if no target has all of them cached; nil otherwise.
func homeTarget(all []candidate, task sched.EngineTask, holder candidate) *target {
	if len(task.Parts) < 2 || holder.target != nil && holder.sharedReads == 0 {
		return nil
	}
	last := task.Parts[len(task.Parts)-2].ID
	var home *target
	var highest uint64
	for _, c := range all {
		score := member.Score(c.target.hash, mixID(last))
		if c.target.takesWork() && (home == nil || score > highest) {
			home, highest = c.target, score
		}
	}
	return home
}

// mixID hashes the ids of parts, which may be small numbers.
func mixID(id uint64) uint64 { return member.Score(id, id+1) }

// runBegan reports to the scheduler that a target has begun to answer, and so has read the
// prompt.
func (m *Machine) runBegan(ev RunBegan) {
	run := m.entry.runs[ev.Grant]
	if run == nil || m.topo == nil || m.topo.decl.Pools[run.shard.Pool].Tokens == nil {
		return
	}
	run.began = true
	report := run.report(m.now, PhaseBegan)
	report.Service = ev.After
	m.send(run.reportedTo, report)
}

// runBeganReported records that a run has begun to answer.
func (m *Machine) runBeganReported(g *grant, sinceGrant time.Duration) {
	if g.engineRun == nil {
		return
	}
	m.partsBegan(g)
	m.targetSucceeded(g.target, "first event")
	g.target.engine.FirstEvent(m.now, g.engineRun, sinceGrant)
	m.grantWaiting(g.shard)
}

// targetCacheReported records what a target reports to have cached.
func (m *Machine) targetCacheReported(ev TargetCacheReported) {
	t := m.localTarget(ev.Target)
	if t == nil || t.engine == nil || ev.Start != 0 && ev.Start < t.start {
		return
	}
	if t.start != 0 && ev.Start > t.start {
		t = m.renewTarget(t, ev.Start)
	}
	parts := make([]sched.EnginePart, 0, len(ev.Parts))
	for _, part := range ev.Parts {
		parts = append(parts, sched.EnginePart{ID: part.ID, Tokens: part.Tokens})
	}
	t.engine.UpdateCache(m.now, ev.Full, parts)
}
