// Package loadtest simulates named load patterns on several routers, in virtual time and
// without a network: the machines of package control, modelled engines, and callers that
// try again after a refusal. It measures which requests are served in time, what is read
// again and how well starts are predicted. A simulation takes about a second and its
// results are reproducible, so a change of policy can be tried quickly.
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
	"github.com/walnutcove/walnutcove/control/speed"
	"github.com/walnutcove/walnutcove/result"
)

const (
	// messageDelay is the time of a message between two routers, and to an engine.
	messageDelay = time.Millisecond
	// maxTickInterval is the longest time between two timer checks of a router.
	maxTickInterval = 20 * time.Millisecond
	pool            = "gen"
)

// simulation is one run of a pattern.
type simulation struct {
	now    time.Duration
	seq    uint64
	events events
	// arrivalRNG draws the arrivals, and routingRNG the routers that they go to. They
	// are separate so that decisions do not change later arrivals.
	arrivalRNG, routingRNG *rand.Rand
	pattern                Pattern

	routers []*router
	engines map[string]*engine
	// readBefore holds the shared parts that some engine has read.
	readBefore map[uint64]bool
	// requests holds all requests, by the id of each try.
	requests map[control.RequestID]*clientRequest
	result   Result
	arrivals int
	// baseline places the requests in place of the routers; nil: the routers do.
	baseline *baseline
}

// router is a machine and its runs.
type router struct {
	node        control.NodeID
	machine     *control.Machine
	up          bool
	incarnation control.Incarnation
	runs        map[control.GrantID]*run
	// unread counts the requests that it refused unread since its last report, by
	// workspace.
	unread map[string]int
	// isStalled is set while it processes no events, and heldEvents holds the events
	// that arrive meanwhile.
	isStalled  bool
	heldEvents []control.Event
}

// clientRequest is a request with all its tries.
type clientRequest struct {
	kind      *Kind
	workspace string
	work      control.Work
	// outputTokens is the length of its answer; work has the one that its caller states.
	outputTokens int
	sentAt       time.Duration
	// fingerprint is the same for all tries.
	fingerprint uint64
	tries       int
	done        bool
}

// run is a request at an engine.
type run struct {
	request     control.RequestID
	grant       control.GrantID
	router      *router
	incarnation control.Incarnation
	engine      *engine
	work        control.Work
	// outputTokens is the length of the answer.
	outputTokens int
	// workTime is the work of a run at a plain target.
	workTime time.Duration
	started  time.Duration
	// predicted is the time to the first event that the grant predicted.
	predicted time.Duration
	// attempt is the attempt of the request that the run belongs to.
	attempt uint32
	// fetched is how many tokens came from another engine.
	fetched int
	// unreadTokens is how much of the prompt has still to be read, position where in the
	// prompt reading is, and generated the length of the answer so far.
	unreadTokens, position, generated int
	// lost is set for runs of a baseline whose target crashed.
	lost bool
	// client, usualTime and mark are set for runs of a baseline: the request, the time until its
	// first event at a target of usual speed, and when it was sent.
	client    *clientRequest
	usualTime time.Duration
	mark      speed.Mark
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

func (s *simulation) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, event{at: s.now + d, seq: s.seq, run: run})
}

// Simulate runs a pattern with a policy and returns the result. The same seed gives the
// same result.
func Simulate(pattern Pattern, weights policy.Tokens, seed uint64) Result {
	s := &simulation{
		arrivalRNG: rand.New(rand.NewPCG(seed, 7)),
		routingRNG: rand.New(rand.NewPCG(seed, 8)),
		pattern:    pattern,
		engines:    make(map[string]*engine),
		readBefore: make(map[uint64]bool),
		requests:   make(map[control.RequestID]*clientRequest),
	}
	s.result.Workspaces = make(map[string]WorkspaceResult)
	s.start(weights, seed)
	s.baseline = newBaseline(s, seed)
	for s.events.Len() > 0 && s.now < pattern.Length+drainTime {
		next := heap.Pop(&s.events).(event)
		s.now = max(s.now, next.at)
		next.run()
	}
	for _, e := range s.engines {
		s.result.TokensRead += e.tokensRead
		s.result.TokensReread += e.tokensReread
	}
	return s.result
}

// drainTime is how long a simulation continues after the last arrival.
const drainTime = 15 * time.Second

func (s *simulation) start(weights policy.Tokens, seed uint64) {
	declarations := s.declarations(seed)
	for i := range s.pattern.Routers {
		s.routers = append(s.routers, &router{node: control.NodeID("r" + strconv.Itoa(i)), incarnation: 1})
	}
	for _, r := range s.routers {
		s.startRouter(r, weights, seed, declarations)
	}
	for _, name := range sortedNames(declarations.Targets) {
		s.after(time.Duration(s.arrivalRNG.Int64N(int64(s.pattern.Engine.ReportInterval))), s.engines[name].reportCache)
	}
	if s.pattern.StallAt > 0 {
		s.after(s.pattern.StallAt, s.stall)
	}
	if s.pattern.CrashEvery > 0 || s.pattern.Uneven.CrashSlow {
		s.after(s.pattern.StallAt, s.crash)
	}
	if s.pattern.PowerLossAt > 0 {
		s.after(s.pattern.PowerLossAt, func() { s.losePower(weights, seed, declarations) })
	}
	for i := range s.pattern.Kinds {
		s.scheduleArrival(&s.pattern.Kinds[i])
	}
}

func (s *simulation) declarations(seed uint64) *config.Declarations {
	d := &config.Declarations{
		Workspaces: make(map[string]config.Workspace),
		Pools: map[string]config.Pool{pool: {
			Kind: config.KindEngine, OneQueue: true,
			Tokens: &config.TokenWork{
				PerSecond: s.pattern.PerSecond, MemoryTokens: int64(s.pattern.Engine.MemoryTokens), FetchedPerSecond: s.pattern.FetchedPerSecond,
			},
		}},
		Routes:  make(map[string]config.Route),
		Targets: make(map[string]config.Target),
	}
	if s.pattern.Engine.WorkTime > 0 {
		d.Pools[pool] = config.Pool{Kind: config.KindService, OneQueue: true, TypicalMillis: int(s.pattern.Engine.WorkTime / time.Millisecond)}
	}
	for i := range s.pattern.Workspaces {
		d.Workspaces[workspaceName(i)] = config.Workspace{Share: 1, Pools: []string{pool}}
	}
	for i, kind := range s.pattern.Kinds {
		d.Routes[strconv.Itoa(i)] = config.Route{
			Host: "h", Prefix: "/" + strconv.Itoa(i) + "/", Kind: config.RouteStream,
			ObjectiveMillis: int(kind.Objective / time.Millisecond), Split: []config.RouteShare{{Pool: pool, Weight: 1}},
		}
	}
	for i := range s.pattern.Engines {
		name := "e" + strconv.Itoa(i)
		d.Targets[name] = config.Target{Pool: pool, DataCentre: "d", Slots: s.pattern.Engine.Slots}
		slowdown, isSlow := s.pattern.Uneven.usual(), false
		if s.pattern.SlowEvery > 0 && i%s.pattern.SlowEvery == s.pattern.SlowEvery-1 {
			slowdown, isSlow = s.pattern.SlowFactor, true
		}
		s.engines[name] = &engine{spec: s.pattern.Engine, name: name, slowdown: slowdown, isSlow: isSlow, sim: s, cache: newLRUCache(), passing: newPassingSlowness(s.pattern, seed, i)}
	}
	return d
}

func sortedNames(targets map[string]config.Target) []string {
	return slices.Sorted(maps.Keys(targets))
}

func workspaceName(i int) string { return "w" + strconv.Itoa(i) }

// startRouter starts a router that knows the others. Its targets appear one after the
// other, as they do when they register.
func (s *simulation) startRouter(r *router, weights policy.Tokens, seed uint64, d *config.Declarations) {
	r.up = true
	r.runs = make(map[control.GrantID]*run)
	r.machine = control.New(control.Options{
		Node: r.node, Incarnation: r.incarnation, DataCentre: "d", Seed: seed, Tokens: weights,
		HeartbeatEvery: 250 * time.Millisecond, MemberTimeout: time.Second, LocalAfter: 100 * time.Millisecond,
		IgnoreReadings: s.pattern.Placement == PlacementToday,
	})
	partial := *d
	partial.Targets = make(map[string]config.Target)
	for i, name := range sortedNames(d.Targets) {
		partial.Targets[name] = d.Targets[name]
		next := partial
		next.Targets = maps.Clone(partial.Targets)
		s.step(r, control.ConfigChanged{Snapshot: &config.Snapshot{Version: 1, Declarations: next, TargetsRevision: config.Revision(i + 1)}})
	}
	var members []control.Member
	for _, other := range s.routers {
		members = append(members, control.Member{Node: other.node, DataCentre: "d"})
	}
	s.step(r, control.MembersListed{Members: members})
	incarnation := r.incarnation
	var wake func()
	wake = func() {
		if !r.up || r.incarnation != incarnation {
			return
		}
		s.step(r, control.Tick{})
		s.after(max(time.Millisecond, min(maxTickInterval, r.machine.NextWake()-s.now)), wake)
	}
	s.after(0, wake)
}

// losePower restarts all routers with empty memory. Engines keep their prompt parts and
// drop their runs, as their callers' connections are gone.
func (s *simulation) losePower(weights policy.Tokens, seed uint64, d *config.Declarations) {
	for _, r := range s.routers {
		r.up = false
		r.incarnation++
	}
	for _, name := range sortedNames(d.Targets) {
		s.engines[name].dropRuns()
	}
	for i, r := range s.routers {
		spread := time.Duration(i) * 10 * time.Millisecond
		s.after(s.pattern.PowerLossFor+spread, func() { s.startRouter(r, weights, seed, d) })
	}
}

// stall makes the router that schedules the pool process no events for StallFor.
func (s *simulation) stall() {
	for _, r := range s.routers {
		if !ownsShard(r.machine) {
			continue
		}
		r.isStalled = true
		s.after(s.pattern.StallFor, func() {
			waiting := r.heldEvents
			r.isStalled, r.heldEvents = false, nil
			for _, ev := range waiting {
				s.step(r, ev)
			}
		})
	}
}

// crash takes some engines down for CrashFor.
func (s *simulation) crash() {
	for i, name := range slices.Sorted(maps.Keys(s.engines)) {
		e := s.engines[name]
		if s.pattern.CrashEvery > 0 && i%s.pattern.CrashEvery != 0 || s.pattern.Uneven.CrashSlow && !e.isSlow {
			continue
		}
		lost := slices.Concat(e.waiting, e.running)
		e.dropRuns()
		e.crashed = true
		s.after(s.pattern.CrashFor, func() { e.crashed = false })
		for _, r := range lost {
			s.runLost(r, control.OutcomeLost)
		}
	}
}

// runLost ends a run whose engine is gone. Its request is sent again, to another engine.
func (s *simulation) runLost(r *run, outcome control.Outcome) {
	if s.baseline != nil {
		s.baseline.lost(r)
		return
	}
	if !r.router.up || r.router.incarnation != r.incarnation || r.router.runs[r.grant] == nil {
		return
	}
	delete(r.router.runs, r.grant)
	s.step(r.router, control.RunEnded{Request: r.request, Grant: r.grant, Outcome: outcome, Service: s.now - r.started})
	req := s.requests[r.request]
	s.requestGrant(r.router, r.request, r.attempt+1, s.now+req.kind.Objective, []string{r.engine.name})
}

// ownsShard reports whether a machine schedules a shard that it owns.
func ownsShard(m *control.Machine) bool {
	for _, s := range m.Status().Shards {
		if s.Owned {
			return true
		}
	}
	return false
}

// step passes an event to a router and executes its commands.
func (s *simulation) step(r *router, ev control.Event) {
	if r.isStalled {
		r.heldEvents = append(r.heldEvents, ev)
		return
	}
	for _, command := range r.machine.Step(s.now, ev) {
		switch c := command.(type) {
		case control.Send:
			s.sendMessage(r, c)
		case control.Dispatch:
			s.dispatch(r, c)
		case control.Refuse:
			s.refused(c)
		}
	}
}

func (s *simulation) sendMessage(from *router, c control.Send) {
	incarnation := from.incarnation
	s.after(messageDelay, func() {
		for _, to := range s.routers {
			if to.node == c.To && to.up && from.incarnation == incarnation {
				s.step(to, control.MessageReceived{From: from.node, Incarnation: incarnation, Message: c.Message})
			}
		}
	})
}

func (s *simulation) dispatch(r *router, c control.Dispatch) {
	req := s.requests[c.Request]
	e := s.engines[c.Target]
	started := &run{request: c.Request, grant: c.Grant, router: r, incarnation: r.incarnation, engine: e, work: req.work, outputTokens: req.outputTokens, workTime: workTimeOf(e.spec, req.work), started: s.now, predicted: c.PredictedStart, attempt: c.Attempt}
	r.runs[c.Grant] = started
	if since := s.now - s.pattern.StallAt; since >= 0 && since < stallWindow {
		served := s.result.Workspaces[req.workspace]
		served.TokensAfterStall += req.work.PromptTokens
		if c.Attempt > 1 {
			served.TokensResent += req.work.PromptTokens
		}
		s.result.Workspaces[req.workspace] = served
	}
	if s.pattern.CutAtDeadline {
		s.after(req.sentAt+req.kind.Timeout-s.now, func() { s.cut(started) })
	}
	delay := messageDelay
	if from := s.engines[c.FetchFrom]; from != nil {
		started.fetched = max(0, from.cachedTokens(req.work)-e.cachedTokens(req.work))
		delay += time.Duration(float64(started.fetched) / s.pattern.FetchedPerSecond * float64(time.Second))
	}
	s.result.TokensFetched += started.fetched
	s.after(delay, func() {
		if e.crashed {
			s.runLost(started, control.OutcomeUnreachable)
			return
		}
		e.arrive(started)
	})
}

func (s *simulation) firstEvent(r *run) {
	took := s.now - r.started
	if s.baseline != nil {
		s.baseline.began(r)
		return
	}
	if !r.router.up || r.router.incarnation != r.incarnation {
		return
	}
	s.result.recordStart(r.predicted, took)
	s.step(r.router, control.RunBegan{Grant: r.grant, After: took, Load: r.engine.reading()})
	req := s.requests[r.request]
	if req.done {
		return
	}
	req.done = true
	s.result.recordFirstEvent(s, req)
}

// cut ends a run whose caller has left at its deadline.
func (s *simulation) cut(r *run) {
	if !r.router.up || r.router.incarnation != r.incarnation || r.router.runs[r.grant] == nil {
		return
	}
	if r.generated > 0 {
		s.result.Cut++
	}
	r.engine.cut(r)
	delete(r.router.runs, r.grant)
	s.step(r.router, control.RunEnded{Request: r.request, Grant: r.grant, Outcome: control.OutcomeCancelled, Service: s.now - r.started})
}

func (s *simulation) runEnded(r *run) {
	if s.baseline != nil {
		s.baseline.ended(r)
		return
	}
	if !r.router.up || r.router.incarnation != r.incarnation || r.router.runs[r.grant] == nil {
		return
	}
	delete(r.router.runs, r.grant)
	s.recordAnswer(s.requests[r.request], true)
	s.step(r.router, control.RunEnded{Request: r.request, Grant: r.grant, Outcome: control.OutcomeAnswered, Service: s.now - r.started, Load: r.engine.reading()})
}

func (s *simulation) cacheReported(target string, parts []control.PromptPart) {
	for _, r := range s.routers {
		if r.up {
			s.step(r, control.TargetCacheReported{Target: target, Full: true, Parts: parts})
		}
	}
}

// refused has a caller try once more, after the advised delay.
func (s *simulation) refused(c control.Refuse) {
	req := s.requests[c.Request]
	s.result.Refusals++
	if c.Code != result.Overloaded || req.tries > 1 || c.RetryAfter > req.kind.Timeout/3 {
		return
	}
	s.after(c.RetryAfter, func() { s.send(req) })
}
