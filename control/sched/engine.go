package sched

import (
	"slices"
	"time"
)

// memoryPart is the part of a target's memory that may be given to runs: the target
// preempts the newest run when it is full, and reads it all again.
const memoryPart = 0.9

// EngineTask is a request as its targets have to work on it.
type EngineTask struct {
	// Parts are the parts of the prompt in order.
	Parts []EnginePart
	// PromptTokens and OutputTokens are the lengths of the prompt and the answer.
	PromptTokens, OutputTokens int
}

// EnginePart is one part of a prompt. A target needs not read it again if it keeps
// it and all parts before it.
type EnginePart struct {
	ID     uint64
	Tokens int
}

// Shared returns the tokens that other requests may have in common with this
// one: all parts but the last, which is the request's own.
func (t EngineTask) Shared() int {
	tokens := 0
	for i := 0; i+1 < len(t.Parts); i++ {
		tokens += t.Parts[i].Tokens
	}
	return tokens
}

// Engine models the work of one target that reads prompts and generates tokens
// in batches. It predicts when a request would begin to be answered there.
//
// Prompts are read one after the other in order of arrival, so the wait is the
// sum of what is granted and not yet read. The first event of a run shows that
// it and all before it are read.
type Engine struct {
	slots  int
	memory int64
	// reading is how targets of the pool read, and pace how much longer than them
	// this one takes.
	reading *Reading
	pace    float64
	// evenPace takes the target to be as fast as the others.
	evenPace bool
	// unread are the grants whose first event has not been seen, oldest first.
	unread []*EngineRun
	// backlog is what all of them have to read.
	backlog load
	// since is when the first of them began to be read.
	since   time.Duration
	running int
	// held is the memory of the runs in progress.
	held int64
	kept keptParts
}

// EngineRun is one run on an engine.
type EngineRun struct {
	reads load
	holds int64
	// granted is when it was granted.
	granted time.Duration
	// ahead is what was to be read before it when it was granted, of which the target
	// had been reading for so long already.
	ahead   load
	elapsed time.Duration
	begun   bool
	// adopted says that another scheduler granted it.
	adopted bool
}

// EngineOptions describe a target.
type EngineOptions struct {
	Slots int
	// Memory is in tokens; zero is not bounded.
	Memory int64
	// Reading is shared by all targets of a pool. Required.
	Reading *Reading
	// EvenPace takes the target to be as fast as the others of its pool.
	EvenPace bool
}

// NewEngine returns the model of a target.
func NewEngine(o EngineOptions) *Engine {
	return &Engine{
		slots:    max(1, o.Slots),
		memory:   o.Memory,
		reading:  o.Reading,
		pace:     1,
		evenPace: o.EvenPace,
		kept:     newKeptParts(o.Memory),
	}
}

// Declare changes what was declared of the target.
func (e *Engine) Declare(slots int, memory int64) {
	e.slots, e.memory, e.kept.capacity = max(1, slots), memory, memory
}

// Reads returns how many tokens of a task the target would have to read, and how
// many of these are in parts that requests share.
func (e *Engine) Reads(task EngineTask) (all, shared int) {
	saved := 0
	for i, part := range task.Parts {
		kept := min(part.Tokens, e.kept.tokensOf(part.ID))
		saved += kept
		if i+1 < len(task.Parts) {
			shared += kept
		}
		if kept < part.Tokens {
			break
		}
	}
	return max(1, task.PromptTokens-saved), task.Shared() - shared
}

// Wait is the time until what is granted and not read would be read.
func (e *Engine) Wait(now time.Duration) time.Duration {
	if len(e.unread) == 0 {
		return 0
	}
	return seconds(e.pace*e.reading.seconds(e.backlog)) - e.elapsed(now)
}

// elapsed is how long the first unread prompt has been read for, at most as long as
// it takes: if it takes longer, the target is behind and not ahead.
func (e *Engine) elapsed(now time.Duration) time.Duration {
	if len(e.unread) == 0 {
		return 0
	}
	first := seconds(e.pace * e.reading.seconds(e.unread[0].reads))
	return min(max(0, now-e.since), first)
}

// Predict returns the time until a task granted now would begin to be answered, if so
// many tokens of its prompt are read.
func (e *Engine) Predict(now time.Duration, task EngineTask, reads int) time.Duration {
	return e.Wait(now) + e.Alone(task, reads)
}

// Alone is Predict at a target with nothing to read.
func (e *Engine) Alone(task EngineTask, reads int) time.Duration {
	return seconds(e.reading.fixed + e.pace*e.reading.seconds(loadOf(reads, task.PromptTokens)))
}

// ReadTime is how long the target reads so many tokens for, pairs aside.
func (e *Engine) ReadTime(tokens int) time.Duration {
	return seconds(e.pace * e.reading.token * float64(tokens))
}

// HasRoom says whether the target has a slot and memory for a task.
func (e *Engine) HasRoom(task EngineTask) bool {
	if e.running >= e.slots {
		return false
	}
	need := int64(task.PromptTokens + task.OutputTokens)
	return e.memory <= 0 || e.running == 0 || float64(e.held+need) <= memoryPart*float64(e.memory)
}

// FreeSlots is the number of slots without a run.
func (e *Engine) FreeSlots() int { return max(0, e.slots-e.running) }

// Fill is the part of the slots in use.
func (e *Engine) Fill() float64 { return float64(e.running) / float64(e.slots) }

// Start counts a run that is granted now and has to read so many tokens. Its
// prompt is kept from now on.
func (e *Engine) Start(now time.Duration, task EngineTask, reads int) *EngineRun {
	run := &EngineRun{
		reads:   loadOf(reads, task.PromptTokens),
		granted: now,
		ahead:   e.backlog,
		elapsed: e.elapsed(now),
	}
	e.hold(now, run, task, reads)
	e.queue(run)
	return run
}

// AdoptedRun is a run that another scheduler granted.
type AdoptedRun struct {
	Task  EngineTask
	Reads int
	// Age is how long ago it was granted.
	Age time.Duration
	// Began says that its prompt is read.
	Began bool
}

// Adopt counts a run that another scheduler granted. Its start teaches nothing, as
// what was to be read before it is not known.
func (e *Engine) Adopt(now time.Duration, a AdoptedRun) *EngineRun {
	run := &EngineRun{
		reads:   loadOf(a.Reads, a.Task.PromptTokens),
		granted: now - a.Age,
		adopted: true,
		begun:   a.Began,
	}
	e.hold(now, run, a.Task, a.Reads)
	if !a.Began {
		e.queue(run)
	}
	return run
}

// hold counts the slot and the memory of a run, and what it reads as kept.
func (e *Engine) hold(now time.Duration, run *EngineRun, task EngineTask, reads int) {
	run.holds = int64(reads + task.OutputTokens)
	e.running++
	e.held += run.holds
	e.kept.use(now, task.Parts)
}

// queue puts a run among the unread ones, in order of their grants.
func (e *Engine) queue(run *EngineRun) {
	at := len(e.unread)
	for at > 0 && e.unread[at-1].granted > run.granted {
		at--
	}
	e.unread = slices.Insert(e.unread, at, run)
	if at == 0 {
		e.since = run.granted
	}
	e.backlog = e.backlog.plus(run.reads)
}

// Begun takes in that a run began to be answered, so many after its grant. It
// and all runs before it are read.
func (e *Engine) Begun(now time.Duration, run *EngineRun, after time.Duration) {
	if run.begun {
		return
	}
	if !run.adopted {
		e.learn(run, after)
	}
	e.read(now, run)
}

// read takes in that the prompt of a run, and all that were granted before it, are
// read.
func (e *Engine) read(now time.Duration, run *EngineRun) {
	for i, r := range e.unread {
		if r != run {
			continue
		}
		for _, earlier := range e.unread[:i+1] {
			earlier.begun = true
			e.backlog = e.backlog.minus(earlier.reads)
		}
		e.unread = append(e.unread[:0], e.unread[i+1:]...)
		e.since = now
		return
	}
}

// learn takes a sample of how the pool reads, and of this target's pace.
func (e *Engine) learn(run *EngineRun, after time.Duration) {
	read := run.ahead.plus(run.reads)
	took := (after + run.elapsed).Seconds()
	e.reading.learn(read, e.pace, took)
	if !e.evenPace {
		e.pace = paceOf(e.pace, e.reading.seconds(read), took-e.reading.fixed)
	}
}

// End counts a run that ended.
func (e *Engine) End(now time.Duration, run *EngineRun) {
	e.running = max(0, e.running-1)
	e.held = max(0, e.held-run.holds)
	for i, r := range e.unread {
		if r == run {
			e.unread = append(e.unread[:i], e.unread[i+1:]...)
			e.backlog = e.backlog.minus(run.reads)
			if i == 0 {
				e.since = now
			}
			return
		}
	}
}

// Tell takes in what the target says that it keeps: the parts that changed, or all
// if whole. What was granted of late may not be read yet, and is left as it is.
func (e *Engine) Tell(now time.Duration, whole bool, parts []EnginePart) {
	if whole {
		e.kept.forgetBefore(now - freshGrant)
	}
	for _, part := range parts {
		e.kept.set(now, part)
	}
}
