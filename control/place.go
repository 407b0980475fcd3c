package control

import (
	"time"

	"github.com/walnutcove/walnutcove/control/member"
	"github.com/walnutcove/walnutcove/control/sched"
	"github.com/walnutcove/walnutcove/result"
)

// Placement on targets that count their work in tokens. A request goes where it
// is predicted to begin soon, with a preference for targets that keep the shared
// parts of its prompt: reading them again costs the target's time, which others
// wait for.

const (
	// waitPart is the part of the pool's tightest objective that a target's unread
	// prompts may take. The rest of the objective is for a request's own prompt,
	// and for the pieces of others that targets read in between.
	waitPart = 0.4
	// keeperPart is how much longer the wait may be at a target that keeps the
	// shared parts, as a multiple.
	keeperPart = 2.5
	// defaultWait bounds the unread prompts of a pool without objectives.
	defaultWait = 200 * time.Millisecond
	// timelyPart is the part of what is left of the objective that a prediction may
	// take to count as timely: predictions are off by about this much.
	timelyPart = 0.7
	// latePenalty is added to the cost of a target where the request is late. It is
	// larger than any wait.
	latePenalty = 10 * time.Second
	// rereadPenalty is added for each shared token that would be read again, on
	// top of the time that it takes.
	rereadPenalty = 40 * time.Microsecond
	// homePenalty is added where nobody keeps the shared parts and the target is
	// not the one that rendezvous hashing gives them to: it makes schedulers that
	// know nothing of each other agree.
	homePenalty = 30 * time.Millisecond
	// overloadPause is the mean advice to a request that is refused for its
	// objective: about the time in which what waits is served.
	overloadPause = time.Second
)

// countsTokens says whether the shard's targets count their work in tokens.
func (m *Machine) countsTokens(s *shard) bool {
	return m.topo != nil && m.topo.decl.Pools[s.id.Pool].Tokens != nil
}

// declareEngine keeps the model of a target that counts in tokens.
func (t *target) declareEngine(slots int, memory int64) {
	if t.engine == nil {
		t.engine = sched.NewEngine(slots, memory)
		return
	}
	t.engine.Declare(slots, memory)
}

// taskOf is a ticket's work as engines see it.
func taskOf(work Work) sched.EngineTask {
	task := sched.EngineTask{PromptTokens: work.PromptTokens, OutputTokens: work.OutputTokens}
	beginning := uint64(0)
	total := 0
	for _, part := range work.Parts {
		beginning = member.Score(part.ID, beginning+1)
		task.Parts = append(task.Parts, sched.EnginePart{Beginning: beginning, Tokens: part.Tokens})
		total += part.Tokens
	}
	task.PromptTokens = max(task.PromptTokens, total)
	return task
}

// nominal is what a task counts for in fair shares: each token read once, each
// token generated twice, as a microsecond of service a token. What a target
// keeps makes no difference, so that a workspace is not charged for where its
// requests happen to be placed.
func nominal(task sched.EngineTask) time.Duration {
	return time.Duration(max(1, task.PromptTokens+2*task.OutputTokens)) * time.Microsecond
}

// maxWait bounds the unread prompts of a target of the shard's pool.
func (m *Machine) maxWait(s *shard) time.Duration {
	if tightest := m.topo.objectives[s.id.Pool]; tightest > 0 {
		return time.Duration(waitPart * float64(tightest))
	}
	return defaultWait
}

// chooseEngine returns the target of a class that costs a queued ticket least;
// nil if none takes it now.
func (m *Machine) chooseEngine(c *class, q *queuedTicket) *target {
	limit := m.maxWait(q.shard)
	left := q.objective - m.now
	home := m.homeOf(c, q.task)
	var best *target
	var bestCost time.Duration
	for _, t := range c.targets {
		if !m.roomFor(c, t) || !t.engine.HasRoom(q.task) {
			continue
		}
		wait := t.engine.Wait(m.now)
		reads, again := t.engine.Reads(q.task)
		keeps := again == 0 && len(q.task.Parts) > 1
		if wait > limit && (!keeps || wait > time.Duration(keeperPart*float64(limit))) {
			continue
		}
		cost := t.engine.Predict(m.now, reads)
		if q.objective > 0 && float64(cost) > timelyPart*float64(left) {
			cost += latePenalty
		}
		cost += time.Duration(again) * rereadPenalty
		if home != nil && t != home {
			cost += homePenalty
		}
		if best == nil || cost < bestCost {
			best, bestCost = t, cost
		}
	}
	return best
}

// homeOf returns the target that rendezvous hashing gives the shared parts of a
// prompt to, if no target keeps any of them; nil otherwise.
func (m *Machine) homeOf(c *class, task sched.EngineTask) *target {
	if len(task.Parts) < 2 {
		return nil
	}
	last := task.Parts[len(task.Parts)-2].Beginning
	var home *target
	var highest uint64
	for _, t := range c.targets {
		if _, again := t.engine.Reads(task); again == 0 {
			return nil
		}
		score := member.Score(t.hash, last)
		if !t.leaving && (home == nil || score > highest) {
			home, highest = t, score
		}
	}
	return home
}

// latestStart is when a ticket's answer could no longer begin in time even at an
// idle target: waiting longer is in vain. A request that no target can ever serve
// in time may wait for as long as its objective.
func (m *Machine) latestStart(q *queuedTicket) Instant {
	if q.objective <= 0 {
		return never
	}
	ideal := never
	for _, t := range q.shard.targets {
		reads, _ := t.engine.Reads(q.task)
		ideal = min(ideal, t.engine.Predict(m.now, reads)-t.engine.Wait(m.now))
	}
	left := q.objective - m.now
	if float64(ideal) > timelyPart*float64(left) {
		return q.objective
	}
	return q.objective - ideal
}

// refuseOverloaded refuses a ticket whose answer cannot begin in time.
func (m *Machine) refuseOverloaded(q *queuedTicket) {
	m.counters.TicketsOverloaded++
	m.unqueue(q)
	m.send(q.from, Refusal{
		Ticket:     q.ticket.ID,
		Shard:      q.shard.id,
		Code:       result.Overloaded,
		RetryAfter: m.jitter(overloadPause),
	})
}

// runBegan tells the scheduler that a target has begun to answer, so that it
// knows what is read.
func (m *Machine) runBegan(ev RunBegan) {
	run := m.entry.runs[ev.Grant]
	if run == nil || m.topo == nil || m.topo.decl.Pools[run.shard.Pool].Tokens == nil {
		return
	}
	report := run.report(m.now, PhaseBegan)
	report.Service = ev.After
	m.send(run.reportedTo, report)
}

// beganReported takes in that a run has begun to answer.
func (m *Machine) beganReported(g *grant, after time.Duration) {
	if g.work == nil {
		return
	}
	g.target.engine.Begun(m.now, g.work, after)
	m.grantAll(g.shard)
}
