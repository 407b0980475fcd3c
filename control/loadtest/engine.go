package loadtest

import (
	"container/list"
	"time"

	"github.com/walnutcove/walnutcove/control"
)

// EngineSpec says how a modelled engine works.
type EngineSpec struct {
	// Slots is how many requests run at once, and Memory the tokens that prompts,
	// answers and kept parts share.
	Slots  int
	Memory int
	// Step is the time of a step that reads nothing, and StepEach what each run adds.
	Step, StepEach time.Duration
	// Token is the time to read a token, and Pair to compare it with one before it.
	Token, Pair time.Duration
	// Chunk is how many tokens are read between two steps.
	Chunk int
	// First is the time from the end of reading to the first event.
	First time.Duration
	// TellEvery is the period of telling what is kept, and TellLag how late that is.
	TellEvery, TellLag time.Duration
}

// engine reads prompts in order of arrival, a chunk between two steps, and makes a
// token of each run a step. What it has read stays until others need the memory, the
// least recently used first.
type engine struct {
	spec  EngineSpec
	name  string
	pace  float64
	world *world
	// waiting are the runs whose prompts are not read yet, in order of arrival.
	waiting []*run
	running []*run
	busy    bool
	// down says that it has crashed.
	down bool
	held int
	kept keptLRU
	// reads are the tokens read, and readsAgain those of them in shared parts that some
	// engine had read before.
	reads, readsAgain int
}

func (e *engine) arrive(r *run) {
	r.left = max(1, r.work.PromptTokens-e.keepsOf(r.work))
	if r.fetched > 0 {
		r.left = max(1, r.left-r.fetched)
	}
	r.position = r.work.PromptTokens - r.left
	e.countReads(r)
	e.held += r.work.PromptTokens + r.work.OutputTokens
	e.waiting = append(e.waiting, r)
	e.wake()
}

// countReads counts what the run reads, and how much of it is shared parts that some
// engine had read before.
func (e *engine) countReads(r *run) {
	e.reads += r.left
	kept := r.position
	for i, part := range r.work.Parts {
		if i+1 == len(r.work.Parts) {
			return
		}
		missing := max(0, part.Tokens-kept)
		kept = max(0, kept-part.Tokens)
		if e.world.readBefore[part.ID] {
			e.readsAgain += missing
		}
		e.world.readBefore[part.ID] = true
	}
}

// keepsOf is how much of a prompt's beginning is kept.
func (e *engine) keepsOf(work control.Work) int {
	tokens := 0
	for _, part := range work.Parts {
		if !e.kept.touch(part.ID) {
			break
		}
		tokens += part.Tokens
	}
	return min(tokens, work.PromptTokens-1)
}

func (e *engine) wake() {
	if e.busy {
		return
	}
	e.busy = true
	e.world.after(0, e.step)
}

// step reads a chunk and makes a token of each run.
func (e *engine) step() {
	if len(e.waiting) == 0 && len(e.running) == 0 {
		e.busy = false
		return
	}
	took := e.spec.Step + time.Duration(len(e.running))*e.spec.StepEach
	var read []*run
	for budget := e.spec.Chunk; budget > 0 && len(e.waiting) > 0 && len(e.running)+len(read) < e.spec.Slots; {
		r := e.waiting[0]
		tokens := min(budget, r.left)
		took += time.Duration(tokens)*e.spec.Token + time.Duration(tokens*(r.position+tokens/2))*e.spec.Pair
		r.left -= tokens
		r.position += tokens
		budget -= tokens
		if r.left == 0 {
			e.waiting = e.waiting[1:]
			read = append(read, r)
		}
	}
	took = time.Duration(e.pace * float64(took))
	e.world.after(took, func() { e.stepped(read) })
}

// stepped takes in the end of a step.
func (e *engine) stepped(read []*run) {
	still := e.running[:0]
	for _, r := range e.running {
		r.made++
		if r.made >= r.work.OutputTokens {
			e.end(r)
			continue
		}
		still = append(still, r)
	}
	e.running = append(still, read...)
	for _, r := range read {
		e.world.after(e.spec.First, func() { e.world.began(r) })
	}
	e.step()
}

// drop ends all runs, read or not, without a word.
func (e *engine) drop() {
	for _, r := range append(e.waiting, e.running...) {
		e.held -= r.work.PromptTokens + r.work.OutputTokens
	}
	e.waiting, e.running = nil, nil
}

func (e *engine) end(r *run) {
	e.held -= r.work.PromptTokens + r.work.OutputTokens
	for _, part := range r.work.Parts {
		e.kept.add(part)
	}
	e.kept.shrink(e.spec.Memory - e.held)
	e.world.ended(r)
}

// tell tells what is kept, again and again.
func (e *engine) tell() {
	parts := e.kept.list()
	e.world.after(e.spec.TellLag, func() { e.world.told(e.name, parts) })
	e.world.after(e.spec.TellEvery, e.tell)
}

// keptLRU holds parts, the least recently used last.
type keptLRU struct {
	order  *list.List
	byID   map[uint64]*list.Element
	tokens int
}

func newKeptLRU() keptLRU {
	return keptLRU{order: list.New(), byID: make(map[uint64]*list.Element)}
}

// touch says whether a part is kept, and uses it.
func (k *keptLRU) touch(id uint64) bool {
	element := k.byID[id]
	if element == nil {
		return false
	}
	k.order.MoveToFront(element)
	return true
}

func (k *keptLRU) add(part control.PromptPart) {
	if k.touch(part.ID) {
		return
	}
	k.byID[part.ID] = k.order.PushFront(part)
	k.tokens += part.Tokens
}

func (k *keptLRU) shrink(most int) {
	for k.tokens > most && k.order.Len() > 0 {
		last := k.order.Back()
		part := last.Value.(control.PromptPart)
		k.order.Remove(last)
		delete(k.byID, part.ID)
		k.tokens -= part.Tokens
	}
}

func (k *keptLRU) list() []control.PromptPart {
	var parts []control.PromptPart
	for element := k.order.Front(); element != nil; element = element.Next() {
		parts = append(parts, element.Value.(control.PromptPart))
	}
	return parts
}
