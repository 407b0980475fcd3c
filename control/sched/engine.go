package sched

import (
	"slices"
	"time"

	"github.com/walnutcove/walnutcove/control/decode"
	"github.com/walnutcove/walnutcove/control/speed"
)

// maxMemoryRatio is the fraction of a target's memory that runs may occupy. A target
// whose memory is full preempts its newest run, and has to read that run's whole prompt
// again.
const maxMemoryRatio = 0.9

// EngineTask is the work of one request at a target that counts in tokens.
type EngineTask struct {
	// Parts are the parts of the prompt, in order.
	Parts []EnginePart
	// PromptTokens and OutputTokens are the lengths of the prompt and the answer.
	PromptTokens, OutputTokens int
	// Deadline is when the answer has to be complete; zero if that is not known.
	Deadline time.Duration
}

// EnginePart is one part of a prompt. A target that has this part and all parts before
// it does not have to read them again.
type EnginePart struct {
	ID     uint64
	Tokens int
}

// Shared returns how many tokens other requests may have in common with this one: all
// parts except the last, which belongs to this request alone.
func (t EngineTask) Shared() int {
	tokens := 0
	for i := 0; i+1 < len(t.Parts); i++ {
		tokens += t.Parts[i].Tokens
	}
	return tokens
}

// Engine models one target that reads prompts and generates tokens in batches. It
// predicts how long a request would wait there for its first event.
//
// Prompts are read one after the other in order of arrival, so the wait is the reading
// time of all granted prompts that are not read yet. The first event of a run shows that
// its prompt and all earlier ones have been read.
type Engine struct {
	slots int
	// memory is in tokens; zero means unbounded.
	memory int64
	// model is shared by the targets of the pool; slowdown is this target's reading time
	// divided by that of the model.
	model    *ReadModel
	slowdown float64
	// ignoreSlowdown keeps slowdown at 1.
	ignoreSlowdown bool
	// speed replaces slowdown at targets that report their speed; nil at others.
	speed *speed.Estimate
	// unread holds the runs whose first event has not been seen, oldest grant first.
	unread []*EngineRun
	// backlog is the total reading load of unread.
	backlog load
	// readingSince is when the target began to read the prompt of unread[0], and readingMark
	// the mark of that time if the target reports its speed.
	readingSince time.Duration
	readingMark  speed.Mark
	running      int
	// memoryHeld is the memory of the runs in progress, in tokens.
	memoryHeld int64
	cache      cacheEstimate
	// pace limits for how much of its time the target reads; nil: it always may.
	pace *decode.Pace
	// finishedReading is how long the target read the prompts that have been read, in seconds.
	finishedReading float64
}

// EngineRun is one run at a target.
type EngineRun struct {
	reads load
	// memory is what the run occupies, in tokens.
	memory int64
	// grantedAt is the time of its grant.
	grantedAt time.Duration
	// ahead is the reading load that was queued before this run at its grant, and
	// elapsed is how long the target had been reading the first of it.
	ahead      load
	elapsed    time.Duration
	promptRead bool
	// adopted is set if another scheduler granted the run.
	adopted bool
	// timed describes the run to the speed estimate; nil if the target did not report its speed
	// when the run was granted.
	timed *timedRun
	// answer is what the run generates; nil if the target has no pace.
	answer *decode.Answer
}

// EngineOptions configure an Engine.
type EngineOptions struct {
	Slots int
	// Memory is in tokens; zero means unbounded.
	Memory int64
	// ReadModel is shared by all targets of a pool. Required.
	ReadModel *ReadModel
	// IgnoreSlowdown assumes that the target is as fast as the others of its pool.
	IgnoreSlowdown bool
	// DecodeModel is shared by all targets of a pool; nil: reading is not limited for the sake of
	// answers in progress. Pace holds the options of the limit.
	DecodeModel *decode.Model
	Pace        decode.PaceOptions
}

// NewEngine returns the model of a target without runs.
func NewEngine(o EngineOptions) *Engine {
	e := &Engine{
		slots:          max(1, o.Slots),
		memory:         o.Memory,
		model:          o.ReadModel,
		slowdown:       1,
		ignoreSlowdown: o.IgnoreSlowdown,
		cache:          newCacheEstimate(o.Memory),
	}
	if o.DecodeModel != nil {
		e.pace = decode.NewPace(o.DecodeModel, o.Pace)
	}
	return e
}

// SetCapacity updates the declared slots and memory of the target.
func (e *Engine) SetCapacity(slots int, memory int64) {
	e.slots, e.memory, e.cache.capacity = max(1, slots), memory, memory
}

// Reads returns how many tokens of a task the target would have to read, and how many of
// these are in parts that requests share.
func (e *Engine) Reads(task EngineTask) (all, shared int) {
	saved := 0
	for i, part := range task.Parts {
		cached := min(part.Tokens, e.cache.cachedTokens(part.ID))
		saved += cached
		if i+1 < len(task.Parts) {
			shared += cached
		}
		if cached < part.Tokens {
			break
		}
	}
	return max(1, task.PromptTokens-saved), task.Shared() - shared
}

// Wait returns how long the target still needs to read all granted prompts.
func (e *Engine) Wait(now time.Duration) time.Duration {
	if len(e.unread) == 0 {
		return 0
	}
	if e.speed != nil {
		return toDuration(e.stretched(now, e.unreadWork(now)))
	}
	return toDuration(e.slowdown*e.model.seconds(e.backlog)) - e.elapsed(now)
}

// elapsed returns how long the first unread prompt has been read for. It is at most the
// predicted reading time: a prompt that takes longer means that the target is behind,
// not that it has read part of the next one.
func (e *Engine) elapsed(now time.Duration) time.Duration {
	if len(e.unread) == 0 {
		return 0
	}
	first := toDuration(e.slowdown * e.model.seconds(e.unread[0].reads))
	return min(max(0, now-e.readingSince), first)
}

// Predict returns how long after now the first event of a task granted now would come if
// the given number of its prompt tokens have to be read.
func (e *Engine) Predict(now time.Duration, task EngineTask, reads int) time.Duration {
	predicted, _ := e.PredictBoth(now, task, reads)
	return predicted
}

// PredictIdle is Predict for a target that has no unread prompts.
func (e *Engine) PredictIdle(now time.Duration, task EngineTask, reads int) time.Duration {
	if e.speed != nil {
		work := e.model.seconds(promptLoad(reads, task.PromptTokens))
		return toDuration(e.model.fixed + e.stretched(now, work))
	}
	return toDuration(e.model.fixed + e.slowdown*e.model.seconds(promptLoad(reads, task.PromptTokens)))
}

// ReadTime returns how long the target reads the given number of tokens, without the
// cost of comparing pairs of tokens and without passing deviations of its speed.
func (e *Engine) ReadTime(now time.Duration, tokens int) time.Duration {
	slowdown := e.slowdown
	if e.speed != nil {
		slowdown = e.speed.Lasting(now)
	}
	return toDuration(slowdown * e.model.token * float64(tokens))
}

// HasRoom reports whether the target has a free slot and enough memory for a task.
func (e *Engine) HasRoom(task EngineTask) bool {
	if e.running >= e.slots {
		return false
	}
	need := int64(task.PromptTokens + task.OutputTokens)
	return e.memory <= 0 || e.running == 0 || float64(e.memoryHeld+need) <= maxMemoryRatio*float64(e.memory)
}

// FreeSlots returns the number of slots without a run.
func (e *Engine) FreeSlots() int { return max(0, e.slots-e.running) }

// Utilisation returns the fraction of the slots in use.
func (e *Engine) Utilisation() float64 { return float64(e.running) / float64(e.slots) }

// Start adds a run that is granted now and has to read the given number of tokens. Its
// prompt counts as cached from now on.
func (e *Engine) Start(now time.Duration, task EngineTask, reads int) *EngineRun {
	run := &EngineRun{
		reads:     promptLoad(reads, task.PromptTokens),
		grantedAt: now,
		ahead:     e.backlog,
		elapsed:   e.elapsed(now),
	}
	if e.speed != nil {
		run.timed = e.timeRun(now, run)
		e.speed.Granted(now)
	}
	e.occupy(now, run, task, reads)
	e.startAnswer(now, run, task)
	e.enqueue(run)
	return run
}

// AdoptedRun describes a run that another scheduler granted.
type AdoptedRun struct {
	Task EngineTask
	// Reads is the number of prompt tokens that it had to read.
	Reads int
	// Age is the time since its grant.
	Age time.Duration
	// Began is set if its prompt has been read.
	Began bool
}

// Adopt adds a run that another scheduler granted. Nothing is learned from its start, as
// the load that was queued before it is not known.
func (e *Engine) Adopt(now time.Duration, a AdoptedRun) *EngineRun {
	run := &EngineRun{
		reads:      promptLoad(a.Reads, a.Task.PromptTokens),
		grantedAt:  now - a.Age,
		adopted:    true,
		promptRead: a.Began,
	}
	e.occupy(now, run, a.Task, a.Reads)
	if !a.Began {
		e.enqueue(run)
	}
	return run
}

// occupy adds the run's slot and memory, and marks its prompt as cached.
func (e *Engine) occupy(now time.Duration, run *EngineRun, task EngineTask, reads int) {
	run.memory = int64(reads + task.OutputTokens)
	e.running++
	e.memoryHeld += run.memory
	e.cache.use(now, task.Parts)
}

// enqueue inserts a run into unread, in order of the grants.
func (e *Engine) enqueue(run *EngineRun) {
	at := len(e.unread)
	for at > 0 && e.unread[at-1].grantedAt > run.grantedAt {
		at--
	}
	e.unread = slices.Insert(e.unread, at, run)
	if at == 0 {
		e.startReading(run.grantedAt)
	}
	e.backlog = e.backlog.plus(run.reads)
}

// FirstEvent records that the first event of a run came sinceGrant after its grant.
// The prompt of this run and all earlier ones have been read.
func (e *Engine) FirstEvent(now time.Duration, run *EngineRun, sinceGrant time.Duration) {
	if run.promptRead {
		return
	}
	switch {
	case run.adopted || e.speed != nil && run.timed == nil:
	case e.speed != nil:
		e.learnSpeed(now, run, sinceGrant)
	default:
		e.learn(run, sinceGrant)
	}
	e.markRead(now, run)
}

// markRead removes a run and all that were granted before it from unread.
func (e *Engine) markRead(now time.Duration, run *EngineRun) {
	for i, r := range e.unread {
		if r != run {
			continue
		}
		for _, earlier := range e.unread[:i+1] {
			earlier.promptRead = true
			e.backlog = e.backlog.minus(earlier.reads)
			e.finishedReading += e.slowness(now) * e.model.seconds(earlier.reads)
		}
		e.answersBegun(now, e.unread[:i+1])
		e.unread = append(e.unread[:0], e.unread[i+1:]...)
		e.startReading(now)
		return
	}
}

// learn updates the pool's model and this target's slowdown from one observed start.
func (e *Engine) learn(run *EngineRun, sinceGrant time.Duration) {
	total := run.ahead.plus(run.reads)
	took := (sinceGrant + run.elapsed).Seconds()
	e.model.learn(total, e.slowdown, took)
	if !e.ignoreSlowdown {
		e.slowdown = updateSlowdown(e.slowdown, e.model.seconds(total), took-e.model.fixed)
	}
}

// End removes a run that ended.
func (e *Engine) End(now time.Duration, run *EngineRun) {
	e.running = max(0, e.running-1)
	e.memoryHeld = max(0, e.memoryHeld-run.memory)
	if run.answer != nil {
		e.pace.End(run.answer)
	}
	for i, r := range e.unread {
		if r == run {
			if i == 0 {
				e.finishedReading += e.elapsed(now).Seconds()
			}
			e.unread = append(e.unread[:i], e.unread[i+1:]...)
			e.backlog = e.backlog.minus(run.reads)
			if i == 0 {
				e.startReading(now)
			}
			return
		}
	}
}

// UpdateCache takes the target's report of the prompt parts that it has cached: all of
// them if whole is set, else those that changed. Parts that were granted within grantGrace are
// left as they are, because they may still be unread.
func (e *Engine) UpdateCache(now time.Duration, whole bool, parts []EnginePart) {
	if whole {
		e.cache.removeBefore(now - grantGrace)
	}
	for _, part := range parts {
		e.cache.report(now, part)
	}
}
