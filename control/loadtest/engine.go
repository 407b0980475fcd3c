package loadtest

import (
	"container/list"
	"slices"
	"time"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/control/speed"
)

// EngineSpec describes a modelled engine.
type EngineSpec struct {
	// Slots is the number of requests that run at once, and MemoryTokens the memory, in
	// tokens, for prompts, answers and cached parts together.
	Slots        int
	MemoryTokens int
	// StepTime is the time of a step that reads nothing, and StepPerRun the time added
	// by each run.
	StepTime, StepPerRun time.Duration
	// PerToken is the time to read one token, and PerPair the time to compare it with
	// one token before it.
	PerToken, PerPair time.Duration
	// ChunkTokens is how many tokens are read in one step.
	ChunkTokens int
	// FirstEventDelay is the time from the end of reading to the first event.
	FirstEventDelay time.Duration
	// WorkTime is the time of a run at a target that neither reads prompts nor generates tokens;
	// zero for engines.
	WorkTime time.Duration
	// ReportInterval is the period of the reports of cached parts, and ReportLag their
	// delay.
	ReportInterval, ReportLag time.Duration
}

// engine reads prompts in order of arrival, one chunk per step, and generates one token
// of each run per step. What it has read is cached until the memory is needed; the least
// recently used parts are evicted first.
type engine struct {
	spec     EngineSpec
	name     string
	slowdown float64
	// isSlow is set for those that SlowEvery makes slow.
	isSlow bool
	sim    *simulation
	// passing is its passing slowness.
	passing passingSlowness
	// outstanding counts the runs that a baseline has sent here, and estimate is the one of a
	// baseline that predicts times; see baseline.
	outstanding int
	estimate    *speed.Estimate
	// waiting holds the runs whose prompts are not read yet, in order of arrival.
	waiting []*run
	running []*run
	busy    bool
	// crashed is set while the engine is down.
	crashed    bool
	memoryHeld int
	cache      lruCache
	// tokensRead counts the tokens read, and tokensReread those of them in shared parts
	// that some engine had read before.
	tokensRead, tokensReread int
}

func (e *engine) arrive(r *run) {
	if e.spec.WorkTime > 0 {
		e.arrivePlain(r)
		return
	}
	r.unreadTokens = max(1, r.work.PromptTokens-e.cachedTokens(r.work))
	if r.fetched > 0 {
		r.unreadTokens = max(1, r.unreadTokens-r.fetched)
	}
	r.position = r.work.PromptTokens - r.unreadTokens
	e.recordReads(r)
	e.memoryHeld += r.work.PromptTokens + r.outputTokens
	e.waiting = append(e.waiting, r)
	e.activate()
}

// recordReads counts the tokens that the run has to read, and how many of them are in
// shared parts that some engine had read before.
func (e *engine) recordReads(r *run) {
	e.tokensRead += r.unreadTokens
	cached := r.position
	for i, part := range r.work.Parts {
		if i+1 == len(r.work.Parts) {
			return
		}
		missing := max(0, part.Tokens-cached)
		cached = max(0, cached-part.Tokens)
		if e.sim.readBefore[part.ID] {
			e.tokensReread += missing
		}
		e.sim.readBefore[part.ID] = true
	}
}

// cachedTokens returns the length of the cached prefix of a prompt, and marks its parts as
// used.
func (e *engine) cachedTokens(work control.Work) int {
	tokens := 0
	for _, part := range work.Parts {
		if !e.cache.touch(part.ID) {
			break
		}
		tokens += part.Tokens
	}
	return min(tokens, work.PromptTokens-1)
}

func (e *engine) activate() {
	if e.busy {
		return
	}
	e.busy = true
	e.sim.after(0, e.step)
}

// step reads a chunk and generates one token of each run.
func (e *engine) step() {
	if len(e.waiting) == 0 && len(e.running) == 0 {
		e.busy = false
		return
	}
	took := e.spec.StepTime + time.Duration(len(e.running))*e.spec.StepPerRun
	var read []*run
	for budget := e.spec.ChunkTokens; budget > 0 && len(e.waiting) > 0 && len(e.running)+len(read) < e.spec.Slots; {
		r := e.waiting[0]
		tokens := min(budget, r.unreadTokens)
		took += time.Duration(tokens)*e.spec.PerToken + time.Duration(tokens*(r.position+tokens/2))*e.spec.PerPair
		r.unreadTokens -= tokens
		r.position += tokens
		budget -= tokens
		if r.unreadTokens == 0 {
			e.waiting = e.waiting[1:]
			read = append(read, r)
		}
	}
	e.sim.after(e.timeOf(took), func() { e.finishStep(read) })
}

// finishStep updates the runs at the end of a step.
func (e *engine) finishStep(read []*run) {
	stillRunning := e.running[:0]
	for _, r := range e.running {
		r.generated++
		if r.generated >= r.outputTokens {
			e.end(r)
			continue
		}
		stillRunning = append(stillRunning, r)
	}
	e.running = append(stillRunning, read...)
	for _, r := range read {
		e.sim.after(e.spec.FirstEventDelay, func() { e.sim.firstEvent(r) })
	}
	e.step()
}

// dropRuns ends all runs, read or not, without reporting that.
func (e *engine) dropRuns() {
	for _, r := range append(e.waiting, e.running...) {
		e.memoryHeld -= r.work.PromptTokens + r.outputTokens
	}
	e.waiting, e.running = nil, nil
}

// cut drops a run whose caller has left.
func (e *engine) cut(r *run) {
	isRun := func(other *run) bool { return other == r }
	if !slices.ContainsFunc(e.waiting, isRun) && !slices.ContainsFunc(e.running, isRun) {
		return
	}
	e.waiting, e.running = slices.DeleteFunc(e.waiting, isRun), slices.DeleteFunc(e.running, isRun)
	e.memoryHeld -= r.work.PromptTokens + r.outputTokens
}

func (e *engine) end(r *run) {
	e.memoryHeld -= r.work.PromptTokens + r.outputTokens
	for _, part := range r.work.Parts {
		e.cache.add(part)
	}
	e.cache.shrink(e.spec.MemoryTokens - e.memoryHeld)
	e.sim.runEnded(r)
}

// reportCache reports the cached parts once every ReportInterval.
func (e *engine) reportCache() {
	parts := e.cache.list()
	e.sim.after(e.spec.ReportLag, func() { e.sim.cacheReported(e.name, parts) })
	e.sim.after(e.spec.ReportInterval, e.reportCache)
}

// lruCache holds prompt parts in a list, least recently used last.
type lruCache struct {
	order  *list.List
	byID   map[uint64]*list.Element
	tokens int
}

func newLRUCache() lruCache {
	return lruCache{order: list.New(), byID: make(map[uint64]*list.Element)}
}

// touch reports whether a part is cached, and marks it as used.
func (c *lruCache) touch(id uint64) bool {
	element := c.byID[id]
	if element == nil {
		return false
	}
	c.order.MoveToFront(element)
	return true
}

func (c *lruCache) add(part control.PromptPart) {
	if c.touch(part.ID) {
		return
	}
	c.byID[part.ID] = c.order.PushFront(part)
	c.tokens += part.Tokens
}

func (c *lruCache) shrink(maxTokens int) {
	for c.tokens > maxTokens && c.order.Len() > 0 {
		last := c.order.Back()
		part := last.Value.(control.PromptPart)
		c.order.Remove(last)
		delete(c.byID, part.ID)
		c.tokens -= part.Tokens
	}
}

func (c *lruCache) list() []control.PromptPart {
	var parts []control.PromptPart
	for element := c.order.Front(); element != nil; element = element.Next() {
		parts = append(parts, element.Value.(control.PromptPart))
	}
	return parts
}
