// Package loadtest plays named patterns of load on the decisions of several routers, on
// virtual time and without a network: the machines of package control, modelled engines
// and callers that come back after a refusal. It measures who is served in time, what is
// read again and how well starts are predicted, so that a change of policy is tried in
// a second and its figures repeat.
package loadtest

import (
	"container/heap"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/control/policy"
	"github.com/walnutcove/walnutcove/result"
)

const (
	// hop is the time of a message between two routers, and to an engine.
	hop = time.Millisecond
	// tick is the longest time between two looks of a router at its timers.
	tick = 20 * time.Millisecond
	pool = "gen"
)

// world is one play.
type world struct {
	now    time.Duration
	seq    uint64
	events events
	// rng draws what comes, and ways by which router: what is decided must not change
	// what comes later.
	rng, ways *rand.Rand
	pattern   Pattern

	routers []*router
	engines map[string]*engine
	// readBefore holds the shared parts that some engine has read.
	readBefore map[uint64]bool
	// calls are all requests, by id.
	calls  map[control.RequestID]*call
	result Result
}

// router is a machine and what it has in hand.
type router struct {
	node    control.NodeID
	machine *control.Machine
	up      bool
	inc     control.Incarnation
	runs    map[control.GrantID]*run
	// unread counts what it refused unread since it last told, by workspace.
	unread map[string]int
	// stalls says that it takes nothing in, and stalled holds what waits for it meanwhile.
	stalls  bool
	stalled []control.Event
}

// call is a request with its tries.
type call struct {
	kind      *Kind
	workspace string
	work      control.Work
	sentAt    time.Duration
	// fingerprint is the same for all tries.
	fingerprint uint64
	tries       int
	done        bool
}

// run is a request at an engine.
type run struct {
	request control.RequestID
	grant   control.GrantID
	at      *router
	inc     control.Incarnation
	engine  *engine
	work    control.Work
	started time.Duration
	// predicted is the start that the grant told.
	predicted time.Duration
	// attempt is the request's attempt that it is of.
	attempt uint32
	// fetched is how many tokens came from another engine.
	fetched int
	// left is what is to be read, position where in the prompt, and made the tokens
	// of the answer.
	left, position, made int
}

type event struct {
	at  time.Duration
	seq uint64
	run func()
}

type events []event

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less implements heap.Interface.
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}

// Swap implements heap.Interface.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func (w *world) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.events, event{at: w.now + d, seq: w.seq, run: run})
}

// Play plays a pattern with a policy and returns what came of it. The same seed gives
// the same play.
func Play(pattern Pattern, weights policy.Tokens, seed uint64) Result {
	w := &world{
		rng:        rand.New(rand.NewPCG(seed, 7)),
		ways:       rand.New(rand.NewPCG(seed, 8)),
		pattern:    pattern,
		engines:    make(map[string]*engine),
		readBefore: make(map[uint64]bool),
		calls:      make(map[control.RequestID]*call),
	}
	w.result.Workspaces = make(map[string]Served)
	w.start(weights, seed)
	for w.events.Len() > 0 && w.now < pattern.Length+drainTime {
		next := heap.Pop(&w.events).(event)
		w.now = max(w.now, next.at)
		next.run()
	}
	for _, e := range w.engines {
		w.result.Reads += e.reads
		w.result.ReadsAgain += e.readsAgain
	}
	return w.result
}

// drainTime is how long a play goes on after the last arrival.
const drainTime = 15 * time.Second

func (w *world) start(weights policy.Tokens, seed uint64) {
	declarations := w.declarations()
	for i := range w.pattern.Routers {
		w.routers = append(w.routers, &router{node: control.NodeID("r" + strconv.Itoa(i)), inc: 1})
	}
	for _, r := range w.routers {
		w.startRouter(r, weights, seed, declarations)
	}
	for _, name := range sortedNames(declarations.Targets) {
		w.after(time.Duration(w.rng.Int64N(int64(w.pattern.Engine.TellEvery))), w.engines[name].tell)
	}
	if w.pattern.StallAt > 0 {
		w.after(w.pattern.StallAt, w.stall)
	}
	if w.pattern.CrashEvery > 0 {
		w.after(w.pattern.StallAt, w.crash)
	}
	if w.pattern.PowerLossAt > 0 {
		w.after(w.pattern.PowerLossAt, func() { w.losePower(weights, seed, declarations) })
	}
	for i := range w.pattern.Kinds {
		w.scheduleArrival(&w.pattern.Kinds[i])
	}
}

func (w *world) declarations() *config.Declarations {
	d := &config.Declarations{
		Workspaces: make(map[string]config.Workspace),
		Pools: map[string]config.Pool{pool: {
			Kind: config.KindEngine, OneQueue: true,
			Tokens: &config.TokenWork{
				PerSecond: w.pattern.PerSecond, MemoryTokens: int64(w.pattern.Engine.Memory), FetchedPerSecond: w.pattern.FetchedPerSecond,
			},
		}},
		Routes:  make(map[string]config.Route),
		Targets: make(map[string]config.Target),
	}
	for i := range w.pattern.Workspaces {
		d.Workspaces[workspaceName(i)] = config.Workspace{Share: 1, Pools: []string{pool}}
	}
	for i, kind := range w.pattern.Kinds {
		d.Routes[strconv.Itoa(i)] = config.Route{
			Host: "h", Prefix: "/" + strconv.Itoa(i) + "/", Kind: config.RouteStream,
			ObjectiveMillis: int(kind.Objective / time.Millisecond), Split: []config.RouteShare{{Pool: pool, Weight: 1}},
		}
	}
	for i := range w.pattern.Engines {
		name := "e" + strconv.Itoa(i)
		d.Targets[name] = config.Target{Pool: pool, DataCentre: "d", Slots: w.pattern.Engine.Slots}
		pace := 1.0
		if w.pattern.SlowEvery > 0 && i%w.pattern.SlowEvery == w.pattern.SlowEvery-1 {
			pace = w.pattern.SlowPace
		}
		w.engines[name] = &engine{spec: w.pattern.Engine, name: name, pace: pace, world: w, kept: newKeptLRU()}
	}
	return d
}

func sortedNames(targets map[string]config.Target) []string {
	return slices.Sorted(maps.Keys(targets))
}

func workspaceName(i int) string { return "w" + strconv.Itoa(i) }

// startRouter starts a router that knows the others. Targets turn up one by one, as
// they register.
func (w *world) startRouter(r *router, weights policy.Tokens, seed uint64, d *config.Declarations) {
	r.up = true
	r.runs = make(map[control.GrantID]*run)
	r.machine = control.New(control.Options{
		Node: r.node, Incarnation: r.inc, DataCentre: "d", Seed: seed, Tokens: weights,
		HeartbeatEvery: 250 * time.Millisecond, MemberTimeout: time.Second, LocalAfter: 100 * time.Millisecond,
	})
	partial := *d
	partial.Targets = make(map[string]config.Target)
	for i, name := range sortedNames(d.Targets) {
		partial.Targets[name] = d.Targets[name]
		next := partial
		next.Targets = maps.Clone(partial.Targets)
		w.step(r, control.ConfigChanged{Snapshot: &config.Snapshot{Version: 1, Declarations: next, TargetsRevision: config.Revision(i + 1)}})
	}
	var members []control.Member
	for _, other := range w.routers {
		members = append(members, control.Member{Node: other.node, DataCentre: "d"})
	}
	w.step(r, control.MembersListed{Members: members})
	inc := r.inc
	var wake func()
	wake = func() {
		if !r.up || r.inc != inc {
			return
		}
		w.step(r, control.Tick{})
		w.after(max(time.Millisecond, min(tick, r.machine.NextWake()-w.now)), wake)
	}
	w.after(0, wake)
}

// losePower restarts all routers with empty memory. Engines keep what they keep, and
// drop their runs, as those who asked are gone.
func (w *world) losePower(weights policy.Tokens, seed uint64, d *config.Declarations) {
	for _, r := range w.routers {
		r.up = false
		r.inc++
	}
	for _, name := range sortedNames(d.Targets) {
		w.engines[name].drop()
	}
	for i, r := range w.routers {
		spread := time.Duration(i) * 10 * time.Millisecond
		w.after(w.pattern.PowerLossFor+spread, func() { w.startRouter(r, weights, seed, d) })
	}
}

// stall lets the router that schedules the pool take nothing in for a while.
func (w *world) stall() {
	for _, r := range w.routers {
		if !schedules(r.machine) {
			continue
		}
		r.stalls = true
		w.after(w.pattern.StallFor, func() {
			waiting := r.stalled
			r.stalls, r.stalled = false, nil
			for _, ev := range waiting {
				w.step(r, ev)
			}
		})
	}
}

// crash ends some engines for a while.
func (w *world) crash() {
	for i, name := range slices.Sorted(maps.Keys(w.engines)) {
		if i%w.pattern.CrashEvery != 0 {
			continue
		}
		e := w.engines[name]
		lost := slices.Concat(e.waiting, e.running)
		e.drop()
		e.down = true
		w.after(w.pattern.CrashFor, func() { e.down = false })
		for _, r := range lost {
			w.lost(r, control.OutcomeLost)
		}
	}
}

// lost ends a run whose engine is gone. Its request is sent again, to another one.
func (w *world) lost(r *run, outcome control.Outcome) {
	if !r.at.up || r.at.inc != r.inc || r.at.runs[r.grant] == nil {
		return
	}
	delete(r.at.runs, r.grant)
	w.step(r.at, control.RunEnded{Request: r.request, Grant: r.grant, Outcome: outcome, Service: w.now - r.started})
	one := w.calls[r.request]
	w.request(r.at, r.request, r.attempt+1, w.now+one.kind.Objective, []string{r.engine.name})
}

// schedules says whether a machine schedules a shard that it owns.
func schedules(m *control.Machine) bool {
	for _, s := range m.Status().Shards {
		if s.Owned {
			return true
		}
	}
	return false
}

// step gives a router an event and carries out its commands.
func (w *world) step(r *router, ev control.Event) {
	if r.stalls {
		r.stalled = append(r.stalled, ev)
		return
	}
	for _, command := range r.machine.Step(w.now, ev) {
		switch c := command.(type) {
		case control.Send:
			w.send(r, c)
		case control.Dispatch:
			w.dispatch(r, c)
		case control.Refuse:
			w.refused(c)
		}
	}
}

func (w *world) send(from *router, c control.Send) {
	inc := from.inc
	w.after(hop, func() {
		for _, to := range w.routers {
			if to.node == c.To && to.up && from.inc == inc {
				w.step(to, control.MessageReceived{From: from.node, Incarnation: inc, Message: c.Message})
			}
		}
	})
}

func (w *world) dispatch(r *router, c control.Dispatch) {
	one := w.calls[c.Request]
	e := w.engines[c.Target]
	started := &run{request: c.Request, grant: c.Grant, at: r, inc: r.inc, engine: e, work: one.work, started: w.now, predicted: c.PredictedStart, attempt: c.Attempt}
	r.runs[c.Grant] = started
	if since := w.now - w.pattern.StallAt; since >= 0 && since < stallWindow {
		served := w.result.Workspaces[one.workspace]
		served.AfterStall += one.work.PromptTokens
		if c.Attempt > 1 {
			served.Again += one.work.PromptTokens
		}
		w.result.Workspaces[one.workspace] = served
	}
	delay := hop
	if from := w.engines[c.FetchFrom]; from != nil {
		started.fetched = max(0, from.keepsOf(one.work)-e.keepsOf(one.work))
		delay += time.Duration(float64(started.fetched) / w.pattern.FetchedPerSecond * float64(time.Second))
	}
	w.result.Fetched += started.fetched
	w.after(delay, func() {
		if e.down {
			w.lost(started, control.OutcomeUnreachable)
			return
		}
		e.arrive(started)
	})
}

func (w *world) began(r *run) {
	took := w.now - r.started
	if !r.at.up || r.at.inc != r.inc {
		return
	}
	w.result.starts(r.predicted, took)
	w.step(r.at, control.RunBegan{Grant: r.grant, After: took})
	one := w.calls[r.request]
	if one.done {
		return
	}
	one.done = true
	w.result.begun(w, one)
}

func (w *world) ended(r *run) {
	if !r.at.up || r.at.inc != r.inc || r.at.runs[r.grant] == nil {
		return
	}
	delete(r.at.runs, r.grant)
	w.step(r.at, control.RunEnded{Request: r.request, Grant: r.grant, Outcome: control.OutcomeAnswered, Service: w.now - r.started})
}

func (w *world) told(target string, parts []control.PromptPart) {
	for _, r := range w.routers {
		if r.up {
			w.step(r, control.TargetCacheReported{Target: target, Full: true, Parts: parts})
		}
	}
}

// refused lets a caller come back once, as it was told.
func (w *world) refused(c control.Refuse) {
	one := w.calls[c.Request]
	w.result.Refusals++
	if c.Code != result.Overloaded || one.tries > 1 || c.RetryAfter > one.kind.Timeout/3 {
		return
	}
	w.after(c.RetryAfter, func() { w.try(one) })
}
