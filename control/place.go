package control

import (
	"time"

	"github.com/walnutcove/walnutcove/control/member"
	"github.com/walnutcove/walnutcove/control/sched"
)

// Placement on targets that count their work in tokens. A request goes where it
// is predicted to begin soon, with a preference for targets that keep the shared
// parts of its prompt: reading them again costs the target's time, which others
// wait for.

const (
	// defaultWait bounds the unread prompts of a pool without objectives.
	defaultWait = 200 * time.Millisecond
	// latePenalty is added to the cost of a target where the request is late. It is
	// larger than any wait.
	latePenalty = 10 * time.Second
	// leastFetch is the least tokens that are worth a fetch, which costs a request
	// between targets.
	leastFetch = 64
)

// millis turns a weight of the policy into a duration.
func millis(value float64) time.Duration { return time.Duration(value * float64(time.Millisecond)) }

// times is part of a duration.
func times(part float64, d time.Duration) time.Duration { return time.Duration(part * float64(d)) }

// countsTokens says whether the shard's targets count their work in tokens.
func (m *Machine) countsTokens(s *shard) bool {
	return m.topo != nil && m.topo.decl.Pools[s.id.Pool].Tokens != nil
}

// declareEngine keeps the model of a target that counts in tokens.
func (m *Machine) declareEngine(t *target, slots int, memory int64) {
	if t.engine != nil {
		t.engine.Declare(slots, memory)
		return
	}
	t.engine = sched.NewEngine(sched.EngineOptions{
		Slots:    slots,
		Memory:   memory,
		Reading:  t.shard.reading,
		EvenPace: m.opts.Tokens.NoSpeed,
	})
}

// declareReading keeps the model of how the shard's targets read.
func (m *Machine) declareReading(s *shard, perSecond float64) {
	targets := 0
	if decl := m.topo.shards[s.id]; decl != nil {
		targets = len(decl.targets)
	}
	if s.reading != nil {
		s.reading.Declare(perSecond, targets)
		return
	}
	s.reading = sched.NewReading(perSecond, targets)
	s.reading.Frozen = m.opts.Tokens.NoLearning
}

// taskOf is a ticket's work as engines see it.
func taskOf(work Work) sched.EngineTask {
	task := sched.EngineTask{PromptTokens: work.PromptTokens, OutputTokens: work.OutputTokens}
	total := 0
	for _, part := range work.Parts {
		task.Parts = append(task.Parts, sched.EnginePart{ID: part.ID, Tokens: part.Tokens})
		total += part.Tokens
	}
	task.PromptTokens = max(task.PromptTokens, total)
	return task
}

// nominalToken is the service that one token counts for in fair shares.
const nominalToken = time.Microsecond

// nominal is what a task counts for in fair shares: each token read once, each
// token generated twice. What a target keeps makes no difference, so that a
// workspace is not charged for where its requests happen to be placed.
func nominal(task sched.EngineTask) time.Duration {
	return time.Duration(max(1, task.PromptTokens+2*task.OutputTokens)) * nominalToken
}

// maxWait bounds the unread prompts of a target of the shard's pool.
func (m *Machine) maxWait(s *shard) time.Duration {
	if tightest := m.topo.objectives[s.id.Pool]; tightest > 0 {
		return times(m.opts.Tokens.WaitPart, tightest)
	}
	return defaultWait
}

// placement is a target for a ticket and what speaks for it.
type placement struct {
	target *target
	// start is when the answer is predicted to begin, from now.
	start time.Duration
	// reads is how many tokens of the prompt the target has to read.
	reads int
	// fetchFrom keeps the shared parts that the target lacks; nil if they are not
	// to be fetched.
	fetchFrom *target
	cost      time.Duration
}

func (p placement) fetchName() string {
	if p.fetchFrom == nil {
		return ""
	}
	return p.fetchFrom.name
}

// candidate is a target as a ticket sees it.
type candidate struct {
	target *target
	// reads is how many tokens of the prompt it would have to read, and again how
	// many of these are shared parts.
	reads, again int
	wait         time.Duration
}

// candidates lists the targets of a class as a ticket sees them. The slice is
// used again by the next call.
func (m *Machine) candidates(targets []*target, task sched.EngineTask) []candidate {
	m.sched.candidates = m.sched.candidates[:0]
	for _, t := range targets {
		c := candidate{target: t, wait: t.engine.Wait(m.now)}
		c.reads, c.again = m.readsAt(t, task)
		m.sched.candidates = append(m.sched.candidates, c)
	}
	return m.sched.candidates
}

// readsAt returns how many tokens of a task a target would have to read, and how many
// of these are in shared parts.
func (m *Machine) readsAt(t *target, task sched.EngineTask) (all, again int) {
	if m.opts.Tokens.NoKept {
		return max(1, task.PromptTokens), 0
	}
	return t.engine.Reads(task)
}

// chooseEngine returns the target of a class that costs a queued ticket least;
// without a target if none takes it now.
func (m *Machine) chooseEngine(c *class, q *queuedTicket) placement {
	policy := &m.opts.Tokens
	limit := m.maxWait(q.shard)
	all := m.candidates(c.targets, q.task)
	keeper := m.keeperOf(all, q.task)
	home := homeOf(all, q.task, keeper)
	near := m.dataCentreOf(q.from)
	var best placement
	for _, seen := range all {
		t := seen.target
		if !m.roomFor(c, t) || !t.engine.HasRoom(q.task) {
			continue
		}
		keeps := seen.again == 0 && len(q.task.Parts) > 1
		if seen.wait > limit && (!keeps || seen.wait > times(policy.KeeperPart, limit)) {
			continue
		}
		p := m.place(q, seen, keeper)
		if home != nil && t != home {
			p.cost += millis(policy.HomeMillis)
		}
		if near != "" && t.dataCentre != near {
			p.cost += millis(policy.FarMillis)
		}
		if best.target == nil || p.cost < best.cost {
			best = p
		}
	}
	return best
}

// dataCentreOf returns where a node runs; empty if that is not known.
func (m *Machine) dataCentreOf(node NodeID) string {
	if node == m.opts.Node {
		return m.opts.DataCentre
	}
	if n := m.view.Node(string(node)); n != nil {
		return n.DataCentre
	}
	return ""
}

// place predicts what a ticket would cost at a target. keeper keeps most of the shared
// parts of its prompt; see keeperOf.
func (m *Machine) place(q *queuedTicket, seen, keeper candidate) placement {
	t, again := seen.target, seen.again
	policy := &m.opts.Tokens
	p := placement{target: t, reads: seen.reads}
	penalty := times(policy.RereadPart, t.engine.ReadTime(again))
	fetch := time.Duration(0)
	perSecond := m.topo.decl.Pools[q.shard.id.Pool].Tokens.FetchedPerSecond
	if fetched := again - keeper.again; keeper.target != nil && fetched >= leastFetch && perSecond > 0 && !policy.NoFetch {
		p.fetchFrom = keeper.target
		p.reads = max(1, seen.reads-fetched)
		fetch = time.Duration(float64(fetched) / perSecond * float64(time.Second))
		penalty = times(policy.FetchPart, fetch) + times(policy.RereadPart, t.engine.ReadTime(keeper.again))
	}
	p.start = t.engine.Predict(m.now, q.task, p.reads) + fetch
	p.cost = p.start + penalty
	if q.objective > 0 && p.start > times(policy.TimelyPart, q.objective-m.now) {
		p.cost += latePenalty
	}
	return p
}

// keeperOf returns the target that keeps most of the shared parts of a prompt; of
// several, the one with the least to do. Without a target, if none keeps any.
func (m *Machine) keeperOf(all []candidate, task sched.EngineTask) candidate {
	var keeper candidate
	if len(task.Parts) < 2 {
		return keeper
	}
	shared := task.Shared()
	for _, c := range all {
		if c.again >= shared || m.now < c.target.downUntil {
			continue
		}
		if keeper.target == nil || c.again < keeper.again || c.again == keeper.again && c.wait < keeper.wait {
			keeper = c
		}
	}
	return keeper
}

// homeOf returns the target that rendezvous hashing gives the shared parts of a
// prompt to, if no target keeps them all; nil otherwise.
func homeOf(all []candidate, task sched.EngineTask, keeper candidate) *target {
	if len(task.Parts) < 2 || keeper.target != nil && keeper.again == 0 {
		return nil
	}
	last := task.Parts[len(task.Parts)-2].ID
	var home *target
	var highest uint64
	for _, c := range all {
		score := member.Score(c.target.hash, mix(last))
		if c.target.takesWork() && (home == nil || score > highest) {
			home, highest = c.target, score
		}
	}
	return home
}

// mix spreads the ids of parts, which may be small numbers.
func mix(id uint64) uint64 { return member.Score(id, id+1) }

// runBegan tells the scheduler that a target has begun to answer, so that it
// knows what is read.
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

// beganReported takes in that a run has begun to answer.
func (m *Machine) beganReported(g *grant, after time.Duration) {
	if g.work == nil {
		return
	}
	m.targetServes(g.target, "first event")
	g.target.engine.Begun(m.now, g.work, after)
	m.grantAll(g.shard)
}

// targetKept takes in what a target says that it keeps.
func (m *Machine) targetKept(ev TargetKept) {
	t := m.targetHere(ev.Target)
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
	t.engine.Tell(m.now, ev.Whole, parts)
}
