package loadtest

import (
	"maps"
	"slices"
	"time"

	"github.com/walnutcove/walnutcove/control"
)

// Pattern is a named load.
type Pattern struct {
	Name string
	// Routers, Engines and Workspaces count what takes part.
	Routers, Engines, Workspaces int
	Engine                       EngineSpec
	// SlowEvery makes one engine in so many slower by SlowPace; 0: none.
	SlowEvery int
	SlowPace  float64
	// PerSecond and FetchedPerSecond are declared of the pool, in tokens a second.
	PerSecond, FetchedPerSecond float64
	Kinds                       []Kind
	// HotWorkspace sends HotTimes as much as its part from HotFrom to HotTo.
	HotTimes       float64
	HotFrom, HotTo time.Duration
	// PowerLossAt ends all routers at once, for PowerLossFor; 0: never.
	PowerLossAt, PowerLossFor time.Duration
	// StallAt is when the router that schedules the pool takes nothing in for StallFor,
	// as its processor is taken; 0: never.
	StallAt, StallFor time.Duration
	// CrashEvery ends one engine in so many as the stall begins, for CrashFor; 0: none. Their runs
	// are sent again, to other engines.
	CrashEvery int
	CrashFor   time.Duration
	// ByOne has all callers of the second workspace come by one router.
	ByOne bool
	// Unread is the part of these callers' first tries that this one router refuses before it
	// reads them, as its processor is taken. They come back by any router.
	Unread float64
	// Length is the time of arrivals.
	Length time.Duration
}

// Kind is one kind of request.
type Kind struct {
	Name      string
	PerSecond float64
	// Groups and Things are how many parts of either level requests share, and
	// GroupTokens and ThingTokens how long they are.
	Groups, Things           int
	GroupTokens, ThingTokens int
	// OwnTokens and OutputTokens are means.
	OwnTokens, OutputTokens int
	// Objective is the time to the first event, and Timeout how long callers wait.
	Objective, Timeout time.Duration
}

// Served is what came of the requests of one workspace.
type Served struct {
	Asked, InTime int
	// AfterStall is how many tokens of prompts were sent to engines in the stallWindow
	// that begins with the stall.
	AfterStall int
	// Again is how many of these are of requests that were sent again after a crash.
	Again int
}

// stallWindow is the time in which no workspace is to have less than half of another.
const stallWindow = 6 * time.Second

// Result is what came of a play.
type Result struct {
	Asked, InTime, Late int
	// Refusals counts tries, and not requests.
	Refusals int
	// Reads are the tokens read, ReadsAgain those of shared parts that had been read,
	// and Fetched those that came from another engine.
	Reads, ReadsAgain, Fetched int
	// Starts counts starts, and Predicted those within a quarter or 30 ms.
	Starts, Predicted int
	Workspaces        map[string]Served
	// EarlyLate counts the late starts of the first second, and ReturnLate those of
	// the second after a power loss.
	EarlyLate, ReturnLate int
}

// closeEnough is the part, and closeTime the time, by which a prediction may be off.
const (
	closePart = 4
	closeTime = 30 * time.Millisecond
)

func (r *Result) starts(predicted, took time.Duration) {
	r.Starts++
	if off := (predicted - took).Abs(); off <= closeTime || off <= took/closePart {
		r.Predicted++
	}
}

func (r *Result) begun(w *world, one *call) {
	if w.now-one.sentAt <= one.kind.Objective {
		r.InTime++
		served := r.Workspaces[one.workspace]
		served.InTime++
		r.Workspaces[one.workspace] = served
		return
	}
	r.Late++
	if one.sentAt < time.Second {
		r.EarlyLate++
	}
	back := w.pattern.PowerLossAt + w.pattern.PowerLossFor
	if w.pattern.PowerLossAt > 0 && one.sentAt > back && one.sentAt < back+time.Second {
		r.ReturnLate++
	}
}

// PredictedPart is the part of the starts that was predicted.
func (r *Result) PredictedPart() float64 { return float64(r.Predicted) / float64(max(1, r.Starts)) }

// InTimePart is the part of the requests that began in time.
func (r *Result) InTimePart() float64 { return float64(r.InTime) / float64(max(1, r.Asked)) }

// scheduleArrival lets the next request of a kind come.
func (w *world) scheduleArrival(kind *Kind) {
	pause := time.Duration(w.rng.ExpFloat64() / kind.PerSecond * float64(time.Second))
	w.after(pause, func() {
		if w.now > w.pattern.Length {
			return
		}
		times := 1
		workspace := w.rng.IntN(w.pattern.Workspaces)
		if workspace == 0 && w.now >= w.pattern.HotFrom && w.now < w.pattern.HotTo {
			times = int(w.pattern.HotTimes)
		}
		for range times {
			w.arrive(kind, workspaceName(workspace))
		}
		w.scheduleArrival(kind)
	})
}

// Parts of prompts are numbered by kind and level.
const (
	groupBase = 1_000_000
	thingBase = 2_000_000
	ownBase   = 1_000_000_000
	kindBase  = 10_000_000
)

func (w *world) arrive(kind *Kind, workspace string) {
	index := uint64(0)
	for i := range w.pattern.Kinds {
		if &w.pattern.Kinds[i] == kind {
			index = uint64(i)
		}
	}
	thing := w.rng.IntN(kind.Things)
	w.result.Asked++
	parts := []control.PromptPart{
		{ID: kindBase*index + groupBase + uint64(thing%kind.Groups), Tokens: kind.GroupTokens},
		{ID: kindBase*index + thingBase + uint64(thing), Tokens: kind.ThingTokens},
		{ID: ownBase + uint64(w.result.Asked), Tokens: w.around(kind.OwnTokens)},
	}
	one := &call{kind: kind, workspace: workspace, sentAt: w.now, fingerprint: uint64(w.result.Asked)}
	one.work = control.Work{Parts: parts, OutputTokens: w.around(kind.OutputTokens)}
	for _, part := range parts {
		one.work.PromptTokens += part.Tokens
	}
	served := w.result.Workspaces[workspace]
	served.Asked++
	w.result.Workspaces[workspace] = served
	w.try(one)
}

// around draws a length about a mean, as skewed as those of prompts are.
func (w *world) around(mean int) int {
	return max(1, int(float64(mean)*min(4, w.rng.ExpFloat64())))
}

// try sends a request to some router, as a new request of the same content.
func (w *world) try(one *call) {
	up := make([]*router, 0, len(w.routers))
	for _, r := range w.routers {
		if r.up {
			up = append(up, r)
		}
	}
	if len(up) == 0 || w.now-one.sentAt > one.kind.Timeout {
		return
	}
	one.tries++
	by := up[w.ways.IntN(len(up))]
	if w.pattern.ByOne && one.workspace == workspaceName(1) && (one.tries == 1 || w.pattern.Unread == 0) {
		by = up[len(up)-1]
		if w.ways.Float64() < w.pattern.Unread {
			w.refuseUnread(by, one)
			return
		}
	}
	id := control.RequestID(len(w.calls) + 1)
	w.calls[id] = one
	w.request(by, id, 1, one.sentAt+one.kind.Objective, nil)
}

// request asks a router for a grant.
func (w *world) request(by *router, id control.RequestID, attempt uint32, objective control.Instant, excluded []string) {
	one := w.calls[id]
	w.step(by, control.RequestArrived{
		Request: id, Attempt: attempt, Workspace: one.workspace, Pool: pool,
		Deadline: one.sentAt + one.kind.Timeout, Objective: objective,
		Work: one.work, Fingerprint: one.fingerprint, Excluded: excluded,
	})
}

const (
	// unreadEvery is the period in which a router tells what it refused unread.
	unreadEvery = 200 * time.Millisecond
	// unreadPause is the mean advice to a request that is refused unread.
	unreadPause = time.Second
)

// refuseUnread refuses a try before the router reads it. Its caller comes back once.
func (w *world) refuseUnread(by *router, one *call) {
	w.result.Refusals++
	if by.unread == nil {
		by.unread = make(map[string]int)
		w.after(unreadEvery, func() { w.tellUnread(by) })
	}
	by.unread[one.workspace]++
	w.after(unreadPause/2+time.Duration(w.ways.Int64N(int64(unreadPause))), func() { w.try(one) })
}

// tellUnread has a router count what it refused unread.
func (w *world) tellUnread(by *router) {
	counts := by.unread
	by.unread = nil
	for _, workspace := range slices.Sorted(maps.Keys(counts)) {
		w.step(by, control.RequestsRefusedUnread{Pool: pool, Workspace: workspace, Count: counts[workspace]})
	}
}
