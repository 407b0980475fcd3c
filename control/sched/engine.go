package sched

import (
	"container/list"
	"math"
	"time"
)

const (
	// firstReadRate is the tokens a second that a target is taken to read until
	// it has shown its own rate. Too low a figure only keeps its queue shorter.
	firstReadRate = 60_000.0
	// minReadRate and maxReadRate bound what is learned: outside of them a sample
	// shows something else, such as a target that stood still.
	minReadRate = 2_000.0
	maxReadRate = 5_000_000.0
	// readOverhead is the time from a grant to the first event that is not spent
	// reading: the way there and back, and the first step.
	readOverhead = 12 * time.Millisecond
	// leastSample is the least tokens whose reading says something of the rate:
	// below it the overhead counts for more.
	leastSample = 2_000
	// minStretch and maxStretch bound one sample of the stretch, and stretchWeight
	// is its weight in the average.
	minStretch    = 0.3
	maxStretch    = 6.0
	stretchWeight = 0.05
	// memoryPart is the part of a target's memory that may be given to runs: the
	// target preempts the newest run when it is full, and reads it all again.
	memoryPart = 0.9
)

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

// shared returns the tokens that other requests may have in common with this
// one: all parts but the last, which is the request's own.
func (t EngineTask) shared() int {
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
	rate   float64
	// stretch is how much longer starts take than the rate alone says: targets
	// read in pieces between the tokens of what runs.
	stretch float64
	// unread are the grants whose first event has not been seen, oldest first.
	unread []*EngineRun
	// backlog is the tokens of all of them.
	backlog int
	// reading is when the first of them began to be read.
	reading time.Duration
	running int
	// held is the memory of the runs in progress.
	held int64
	kept keptParts
}

// EngineRun is one run on an engine.
type EngineRun struct {
	reads   int
	holds   int64
	granted time.Duration
	// ahead is what was to be read before it, when it was granted, and bare the
	// time to its start by the rate alone.
	ahead int
	bare  time.Duration
	begun bool
}

// NewEngine returns the model of a target with so many slots and tokens of
// memory; zero memory is not bounded.
func NewEngine(slots int, memory int64) *Engine {
	return &Engine{slots: max(1, slots), memory: memory, rate: firstReadRate, stretch: 1, kept: newKeptParts(memory)}
}

// Declare changes what was declared of the target.
func (e *Engine) Declare(slots int, memory int64) {
	e.slots, e.memory, e.kept.capacity = max(1, slots), memory, memory
}

// Rate is the tokens a second that the target reads, as far as is known.
func (e *Engine) Rate() float64 { return e.rate }

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
	return max(1, task.PromptTokens-saved), task.shared() - shared
}

// Wait is the time until what is granted and not read would be read.
func (e *Engine) Wait(now time.Duration) time.Duration {
	return time.Duration(e.stretch * float64(e.bareWait(now)))
}

// bareWait is Wait by the rate alone.
func (e *Engine) bareWait(now time.Duration) time.Duration {
	if e.backlog == 0 {
		return 0
	}
	// What was read of the first one since it began.
	done := min(float64(e.unread[0].reads), max(0, (now-e.reading).Seconds()*e.rate))
	return seconds((float64(e.backlog) - done) / e.rate)
}

// Predict returns the time until a task granted now would begin to be answered.
func (e *Engine) Predict(now time.Duration, reads int) time.Duration {
	return time.Duration(e.stretch * float64(e.barePredict(now, reads)))
}

func (e *Engine) barePredict(now time.Duration, reads int) time.Duration {
	return e.bareWait(now) + seconds(float64(reads)/e.rate) + readOverhead
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
	run := &EngineRun{reads: reads, holds: int64(reads + task.OutputTokens), granted: now, ahead: e.backlog, bare: e.barePredict(now, reads)}
	if len(e.unread) == 0 {
		e.reading = now
	}
	e.unread = append(e.unread, run)
	e.backlog += reads
	e.running++
	e.held += run.holds
	e.kept.use(now, task.Parts)
	return run
}

// Adopt counts a run that another scheduler granted: its prompt is not known.
func (e *Engine) Adopt(now time.Duration) *EngineRun {
	e.running++
	return &EngineRun{granted: now, begun: true}
}

// Begun takes in that a run began to be answered, so many after its grant. It
// and all runs before it are read.
func (e *Engine) Begun(now time.Duration, run *EngineRun, after time.Duration) {
	if run.begun {
		return
	}
	e.learn(run, after)
	for i, r := range e.unread {
		if r != run {
			continue
		}
		for _, earlier := range e.unread[:i+1] {
			earlier.begun = true
			e.backlog -= earlier.reads
		}
		e.unread = append(e.unread[:0], e.unread[i+1:]...)
		e.reading = now
		return
	}
}

// learn takes a sample of the rate: what was to be read before and for the run.
func (e *Engine) learn(run *EngineRun, after time.Duration) {
	ratio := min(max(after.Seconds()/run.bare.Seconds(), minStretch), maxStretch)
	e.stretch += stretchWeight * (ratio - e.stretch)
	tokens := run.ahead + run.reads
	took := (after - readOverhead).Seconds()
	if tokens < leastSample || took <= 0 {
		return
	}
	sample := float64(tokens) / took
	if sample < minReadRate || sample > maxReadRate {
		return
	}
	e.rate += averageWeight * (sample - e.rate)
}

// End counts a run that ended.
func (e *Engine) End(now time.Duration, run *EngineRun) {
	e.running = max(0, e.running-1)
	e.held = max(0, e.held-run.holds)
	for i, r := range e.unread {
		if r == run {
			e.unread = append(e.unread[:i], e.unread[i+1:]...)
			e.backlog -= run.reads
			if i == 0 {
				e.reading = now
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

// freshGrant is how long after a grant its prompt may not be read, or not be told
// of yet: targets tell some hundred milliseconds late.
const freshGrant = 2 * time.Second

// keptParts guesses which parts of prompts a target keeps: what was granted and
// what it told, the most recently used ones, as far as its memory reaches.
type keptParts struct {
	capacity int64
	tokens   int64
	order    *list.List // of keptPart, most recently used first
	byID     map[uint64]*list.Element
}

type keptPart struct {
	EnginePart
	// usedAt is when a prompt with it was last granted.
	usedAt time.Duration
}

// neverUsed is when a part was granted that the target alone told of.
const neverUsed = time.Duration(math.MinInt64)

func newKeptParts(capacity int64) keptParts {
	return keptParts{capacity: capacity, order: list.New(), byID: make(map[uint64]*list.Element)}
}

func (k *keptParts) tokensOf(id uint64) int {
	if element := k.byID[id]; element != nil {
		return element.Value.(keptPart).Tokens
	}
	return 0
}

// use notes that a prompt with these parts is read or was found kept. The last
// parts yield first: nothing of a prompt is kept without what stands before it.
func (k *keptParts) use(now time.Duration, parts []EnginePart) {
	for i := len(parts) - 1; i >= 0; i-- {
		k.remove(parts[i].ID)
		k.add(keptPart{EnginePart: parts[i], usedAt: now})
	}
	for k.capacity > 0 && k.tokens > k.capacity {
		k.remove(k.order.Back().Value.(keptPart).ID)
	}
}

// set takes in how much of a part is kept, unless it was granted just now.
func (k *keptParts) set(now time.Duration, part EnginePart) {
	usedAt := neverUsed
	if element := k.byID[part.ID]; element != nil {
		usedAt = element.Value.(keptPart).usedAt
		if usedAt > now-freshGrant {
			return
		}
	}
	k.remove(part.ID)
	if part.Tokens > 0 {
		k.add(keptPart{EnginePart: part, usedAt: usedAt})
	}
}

func (k *keptParts) add(part keptPart) {
	k.byID[part.ID] = k.order.PushFront(part)
	k.tokens += int64(part.Tokens)
}

func (k *keptParts) remove(id uint64) {
	element := k.byID[id]
	if element == nil {
		return
	}
	k.tokens -= int64(element.Value.(keptPart).Tokens)
	k.order.Remove(element)
	delete(k.byID, id)
}

// forgetBefore forgets all parts that were not granted since a time.
func (k *keptParts) forgetBefore(since time.Duration) {
	for id, element := range k.byID {
		if element.Value.(keptPart).usedAt < since {
			k.remove(id)
		}
	}
}
