package control

import (
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/result"
)

// tokenFleet is one machine that schedules engines which count in tokens.
type tokenFleet struct {
	machine  *Machine
	now      Instant
	requests RequestID
}

func newTokenFleet(engines ...string) *tokenFleet {
	declarations := config.Declarations{
		Workspaces: map[string]config.Workspace{
			"a": {Share: 1, Pools: []string{"gen"}},
			"b": {Share: 1, Pools: []string{"gen"}},
		},
		Pools: map[string]config.Pool{"gen": {
			Kind:     config.KindEngine,
			OneQueue: true,
			Tokens:   &config.TokenWork{PerSecond: 40_000, MemoryTokens: 400_000, FetchedPerSecond: 400_000},
		}},
		Routes: map[string]config.Route{"r": {
			Host: "h", Prefix: "/", Kind: config.RouteStream, ObjectiveMillis: 400,
			Split: []config.RouteShare{{Pool: "gen", Weight: 1}},
		}},
		Targets: make(map[string]config.Target),
	}
	for _, name := range engines {
		declarations.Targets[name] = config.Target{Pool: "gen", DataCentre: "d", Slots: 8}
	}
	f := &tokenFleet{machine: New(Options{Node: "n", Incarnation: 1, DataCentre: "d", Seed: 1})}
	f.step(ConfigChanged{Snapshot: &config.Snapshot{Version: 1, Declarations: declarations, TargetsRevision: 1}})
	return f
}

func (f *tokenFleet) step(ev Event) []Command { return f.machine.Step(f.now, ev) }

// arrive sends a request with the given parts and returns its grant, or its
// refusal, or neither if it waits.
func (f *tokenFleet) arrive(workspace string, parts ...PromptPart) (RequestID, *Dispatch, *Refuse) {
	f.requests++
	commands := f.step(RequestArrived{
		Request: f.requests, Attempt: 1, Workspace: workspace, Pool: "gen",
		Deadline: f.now + 12*time.Second, Objective: f.now + 400*time.Millisecond,
		Work: Work{Parts: parts, OutputTokens: 50},
	})
	dispatch, refuse := outcomeOf(commands, f.requests)
	return f.requests, dispatch, refuse
}

func outcomeOf(commands []Command, request RequestID) (*Dispatch, *Refuse) {
	for _, command := range commands {
		switch c := command.(type) {
		case Dispatch:
			if c.Request == request {
				return &c, nil
			}
		case Refuse:
			if c.Request == request {
				return nil, &c
			}
		}
	}
	return nil, nil
}

// finish lets a run begin and end.
func (f *tokenFleet) finish(d *Dispatch) {
	f.now += 100 * time.Millisecond
	f.step(RunBegan{Grant: d.Grant, After: 100 * time.Millisecond})
	f.step(RunEnded{Request: d.Request, Grant: d.Grant, Outcome: OutcomeAnswered})
}

func thing(id uint64) PromptPart { return PromptPart{ID: id, Tokens: 4000} }
func own(id uint64) PromptPart   { return PromptPart{ID: id, Tokens: 200} }

// TestSharedPartsAreReadOnce: requests with the same beginning go where it is kept.
func TestSharedPartsAreReadOnce(t *testing.T) {
	f := newTokenFleet("e1", "e2", "e3")
	_, first, _ := f.arrive("a", thing(7), own(1))
	if first == nil {
		t.Fatal("no grant")
	}
	f.finish(first)
	for n := range uint64(5) {
		_, next, _ := f.arrive("a", thing(7), own(10+n))
		if next == nil || next.Target != first.Target || next.Reads != 200 {
			t.Fatalf("request %d: %+v, the parts are kept at %s", n, next, first.Target)
		}
		f.finish(next)
	}
}

// TestPartsAreFetchedFromABusyKeeper: where the keeper is full, another target
// fetches what is kept there.
func TestPartsAreFetchedFromABusyKeeper(t *testing.T) {
	f := newTokenFleet("e1", "e2")
	_, first, _ := f.arrive("a", thing(7), own(1))
	f.finish(first)
	spilled := 0
	for n := range uint64(10) {
		_, d, _ := f.arrive("a", thing(7), own(20+n))
		if d == nil {
			t.Fatal("no grant while slots are free")
		}
		if d.Reads != 200 {
			t.Errorf("%s reads %d tokens and fetches from %q", d.Target, d.Reads, d.FetchFrom)
		}
		if d.FetchFrom == first.Target {
			spilled++
		}
	}
	if spilled == 0 {
		t.Error("nothing was fetched from the keeper, which has 8 slots for 10 requests")
	}
}

// TestSchedulersAgreeOnUnknownParts: two that know nothing place a beginning alike.
func TestSchedulersAgreeOnUnknownParts(t *testing.T) {
	for id := range uint64(20) {
		_, one, _ := newTokenFleet("e1", "e2", "e3").arrive("a", thing(id), own(1))
		_, two, _ := newTokenFleet("e1", "e2", "e3").arrive("b", thing(id), own(2))
		if one.Target != two.Target {
			t.Errorf("beginning %d: %s and %s", id, one.Target, two.Target)
		}
	}
}

// TestRefusedOnceInVain: a request that waits is refused when its answer can no
// longer begin in time, not at its deadline, and says that it did not run.
func TestRefusedOnceInVain(t *testing.T) {
	f := newTokenFleet("e1")
	for n := range uint64(8) {
		f.arrive("a", PromptPart{ID: 100 + n, Tokens: 300})
	}
	id, dispatch, refuse := f.arrive("b", PromptPart{ID: 500, Tokens: 300})
	if dispatch != nil || refuse != nil {
		t.Fatalf("%+v %+v with all slots taken", dispatch, refuse)
	}
	start := f.now
	for refuse == nil && f.now < start+time.Second {
		f.now += 5 * time.Millisecond
		_, refuse = outcomeOf(f.step(Tick{}), id)
	}
	if refuse == nil || refuse.Code != result.Overloaded || refuse.RetryAfter <= 0 {
		t.Fatalf("got %+v", refuse)
	}
	if waited := f.now - start; waited > 400*time.Millisecond {
		t.Errorf("refused after %s, the objective was 400 ms", waited)
	}
}

// TestFirstEventEndsProbation: a target that failed takes runs again as soon as
// one has begun there, not when its answer ends.
func TestFirstEventEndsProbation(t *testing.T) {
	f := newTokenFleet("e1")
	_, failed, _ := f.arrive("a", own(1))
	f.step(RunEnded{Request: failed.Request, Grant: failed.Grant, Outcome: OutcomeLost})
	f.now += time.Second
	f.step(Tick{})
	_, probe, _ := f.arrive("a", own(2))
	if probe == nil {
		t.Fatal("no probe after the pause")
	}
	f.now += 50 * time.Millisecond
	f.step(RunBegan{Grant: probe.Grant, After: 50 * time.Millisecond})
	if _, next, _ := f.arrive("a", own(3)); next == nil {
		t.Error("the target is held back though it answers")
	}
}

// TestUnansweredTicketsAreGrantedHere: an entry whose scheduler does not answer
// grants by itself within LocalAfter.
func TestUnansweredTicketsAreGrantedHere(t *testing.T) {
	f := newTokenFleet("e1", "e2")
	f.machine.opts.LocalAfter = 60 * time.Millisecond
	f.step(MembersListed{Members: []Member{{Node: "n", DataCentre: "d"}, {Node: "silent", DataCentre: "d"}}})
	f.step(MessageReceived{From: "silent", Incarnation: 9, Message: Heartbeat{Incarnation: 9}})
	f.machine.fleet.owners[ShardID{Pool: "gen"}] = "silent"
	f.now += 100 * time.Millisecond
	f.step(Tick{})
	id, dispatch, _ := f.arrive("a", own(1))
	if dispatch != nil {
		t.Fatal("granted here although another node schedules the shard")
	}
	for range 10 {
		f.now += 10 * time.Millisecond
		if dispatch, _ = outcomeOf(f.step(Tick{}), id); dispatch != nil {
			break
		}
	}
	if dispatch == nil {
		t.Fatal("not granted within 100 ms")
	}
	if _, next, _ := f.arrive("a", own(2)); next == nil {
		t.Error("the next request waits for the silent scheduler again")
	}
}

// TestStallOfTheEntryIsNotTheSchedulers: an entry that stood still has not looked
// at the answers that came meanwhile, and does not grant by itself for that.
func TestStallOfTheEntryIsNotTheSchedulers(t *testing.T) {
	f := newTokenFleet("e1", "e2")
	f.machine.opts.LocalAfter = 60 * time.Millisecond
	f.step(MembersListed{Members: []Member{{Node: "n", DataCentre: "d"}, {Node: "other", DataCentre: "d"}}})
	f.step(MessageReceived{From: "other", Incarnation: 9, Message: Heartbeat{Incarnation: 9}})
	f.machine.fleet.owners[ShardID{Pool: "gen"}] = "other"
	id, _, _ := f.arrive("a", own(1))
	f.now += 80 * time.Millisecond
	dispatch, _ := outcomeOf(f.step(MessageReceived{From: "other", Incarnation: 9, Message: Heartbeat{Incarnation: 9}}), id)
	if dispatch != nil {
		t.Fatal("granted here for a stall of this node's own")
	}
	if f.machine.Counters().TicketsLocal != 0 {
		t.Error("the ticket was taken from its scheduler")
	}
}

// TestBegunRequestsGoFirst: what was granted before is not refused as beyond its
// workspace's share.
func TestBegunRequestsGoFirst(t *testing.T) {
	f := newTokenFleet("e1")
	var refused bool
	for n := range uint64(40) {
		_, dispatch, _ := f.arrive("a", PromptPart{ID: 100 + n, Tokens: 9000})
		refused = refused || dispatch == nil
		if dispatch != nil {
			f.finish(dispatch)
		}
	}
	s := f.machine.sched.shards[ShardID{Pool: "gen"}]
	if s.shares.Take(f.now, "a", nominalService(engineTaskOf(Work{PromptTokens: 9000})).Seconds()) {
		t.Fatal("the workspace is not beyond its share")
	}
	q := &queuedTicket{shard: s, ticket: Ticket{Workspace: "a", Work: Work{PromptTokens: 9000}, Again: true}}
	f.machine.classifyTicket(q)
	if q.rank != rankShare {
		t.Error("a request that was begun counts as beyond the share")
	}
}

// TestCrashLeavesEnginesInUse: what ran on an engine that crashed is run again
// on the others side by side, not one at a time.
func TestCrashLeavesEnginesInUse(t *testing.T) {
	f := newTokenFleet("e1", "e2")
	const running = 6
	lost := make([]*Dispatch, 0, running)
	for n := range uint64(running) {
		f.requests++
		commands := f.step(f.marked(f.requests, 1, n))
		dispatch, _ := outcomeOf(commands, f.requests)
		f.now += 60 * time.Millisecond
		f.step(RunBegan{Grant: dispatch.Grant, After: 50 * time.Millisecond})
		if dispatch.Target == "e1" {
			lost = append(lost, dispatch)
		}
	}
	if len(lost) < 2 {
		t.Fatalf("%d of %d runs on the target that is to crash", len(lost), running)
	}
	for _, d := range lost {
		f.step(RunEnded{Request: d.Request, Grant: d.Grant, Outcome: OutcomeLost})
	}
	f.drop("e1")
	for n, d := range lost {
		dispatch, _ := outcomeOf(f.step(f.marked(d.Request, 2, uint64(n))), d.Request)
		if dispatch == nil {
			t.Fatalf("run %d of %d waits while slots are free", n+1, len(lost))
		}
		f.now += 60 * time.Millisecond
		f.step(RunBegan{Grant: dispatch.Grant, After: 50 * time.Millisecond})
	}
}

// marked is an arrival with a fingerprint of its own.
func (f *tokenFleet) marked(request RequestID, attempt uint32, mark uint64) RequestArrived {
	return RequestArrived{
		Request: request, Attempt: attempt, Workspace: "a", Pool: "gen", Fingerprint: 1000 + mark,
		Deadline: f.now + 12*time.Second, Objective: f.now + 400*time.Millisecond,
		Work: Work{Parts: []PromptPart{own(mark)}, OutputTokens: 50},
	}
}

// drop takes a target off the listing.
func (f *tokenFleet) drop(name string) {
	declarations := *f.machine.topo.decl
	declarations.Targets = make(map[string]config.Target)
	for other, target := range f.machine.topo.decl.Targets {
		if other != name {
			declarations.Targets[other] = target
		}
	}
	next := &config.Snapshot{Version: 1, Declarations: declarations, TargetsRevision: f.machine.topo.order.Targets + 1}
	f.step(ConfigChanged{Snapshot: next})
}

// TestWhatComesBackGoesLast: a request that was refused for want of capacity and
// comes back uses no share, and only targets that are hardly in use.
func TestWhatComesBackGoesLast(t *testing.T) {
	f := newTokenFleet("e1")
	s := f.machine.sched.shards[ShardID{Pool: "gen"}]
	refused := &queuedTicket{shard: s, ticket: Ticket{Workspace: "a", Fingerprint: 7, Work: Work{PromptTokens: 100}}}
	f.machine.sched.refusedFingerprints.add(f.now, refused.ticket.Fingerprint, refusedRetention)
	f.machine.classifyTicket(refused)
	if refused.rank != rankReturning || refused.waitUntil > f.now+millis(f.machine.opts.Tokens.ReturnWaitMillis) {
		t.Errorf("rank %s, waits until %s", refused.rank, refused.waitUntil)
	}
	e1 := s.targets[0]
	if !f.machine.hasSpare(e1, rankReturning) {
		t.Error("an idle target has nothing to spare")
	}
	for n := range uint64(3) {
		f.arrive("a", PromptPart{ID: 100 + n, Tokens: 10})
	}
	if f.machine.hasSpare(e1, rankReturning) || !f.machine.hasSpare(e1, rankExcess) {
		t.Error("three of eight slots are taken: nothing for what comes back, something for the others")
	}
	f.now += refusedRetention
	f.step(Tick{})
	later := &queuedTicket{shard: s, ticket: refused.ticket}
	f.machine.classifyTicket(later)
	if later.rank != rankShare {
		t.Errorf("rank %s long after the refusal", later.rank)
	}
}

// TestPlacesNearTheEntry: of targets that would begin alike, the one in the data centre
// of the router that the request entered by is chosen, until it is much busier.
func TestPlacesNearTheEntry(t *testing.T) {
	f := newTokenFleet("far", "near")
	declarations := *f.machine.topo.decl
	declarations.Targets = map[string]config.Target{
		"far":  {Pool: "gen", DataCentre: "other", Slots: 8},
		"near": {Pool: "gen", DataCentre: "d", Slots: 8},
	}
	f.step(ConfigChanged{Snapshot: &config.Snapshot{Version: 2, Declarations: declarations, TargetsRevision: 2}})
	for n := range uint64(5) {
		_, d, _ := f.arrive("a", own(100+n))
		if d == nil || d.Target != "near" {
			t.Fatalf("request %d: %+v", n, d)
		}
		f.finish(d)
	}
	far := 0
	for n := range uint64(8) {
		if _, d, _ := f.arrive("a", thing(200+n), own(300+n)); d != nil && d.Target == "far" {
			far++
		}
	}
	if far == 0 {
		t.Error("nothing went to the idle target of the other data centre")
	}
}

// TestWhatComesBackYieldsToo: what comes back of a workspace that has been served more
// than another that was refused waits for nothing and leaves what is spare.
func TestWhatComesBackYieldsToo(t *testing.T) {
	f := newTokenFleet("e1")
	s := f.machine.sched.shards[ShardID{Pool: "gen"}]
	s.shares.Served(f.now, "a", 1)
	s.shares.Refused(f.now, "b")
	f.arrive("b", PromptPart{ID: 100, Tokens: 10})
	for n, want := range []struct {
		workspace string
		rank      rank
		waits     time.Duration
		spare     bool
	}{
		{"a", rankReturning, 0, true},
		{"b", rankReturning, millis(f.machine.opts.Tokens.ReturnWaitMillis), true},
	} {
		fingerprint := uint64(7 + n)
		f.machine.sched.refusedFingerprints.add(f.now, fingerprint, refusedRetention)
		q := &queuedTicket{shard: s, ticket: Ticket{Workspace: want.workspace, Fingerprint: fingerprint, Work: Work{PromptTokens: 100}}}
		f.machine.classifyTicket(q)
		spare := f.machine.hasSpare(s.targets[0], q.rank)
		if q.rank != want.rank || q.waitUntil != f.now+want.waits || spare != want.spare {
			t.Errorf("%s: rank %s, waits %s, something to spare: %v", want.workspace, q.rank, q.waitUntil-f.now, spare)
		}
	}
	// What yields is refused at once, whatever there is to spare.
	again := f.marked(900, 1, 7)
	f.machine.sched.refusedFingerprints.add(f.now, again.Fingerprint, refusedRetention)
	if _, refuse := outcomeOf(f.step(again), again.Request); refuse == nil {
		t.Error("what comes back to a workspace that yields is not refused at once")
	}
}

// TestPartsAreFetchedFromWhoKeepsMost plays hot things under eviction: nobody keeps all
// that prompts share, and what one target keeps is fetched from it rather than read
// again; a target that fails is not fetched from.
func TestPartsAreFetchedFromWhoKeepsMost(t *testing.T) {
	f := newTokenFleet("e1", "e2", "e3")
	group := PromptPart{ID: 1, Tokens: 2500}
	f.kept("e1", 0, group)
	f.kept("e2", 0, PromptPart{ID: 1, Tokens: 500})
	ticket := &queuedTicket{
		shard:  f.machine.sched.shards[ShardID{Pool: "gen"}],
		ticket: Ticket{Workspace: "a", Work: Work{Parts: []PromptPart{group, thing(7), own(1)}, OutputTokens: 50}},
	}
	f.machine.classifyTicket(ticket)
	all := f.machine.listCandidates(ticket.shard.targets, ticket.task)
	keeper := f.machine.bestCacheHolder(all, ticket.task)
	if keeper.target == nil || keeper.target.name != "e1" || keeper.sharedReads != 4000 {
		t.Fatalf("keeper %+v", keeper)
	}
	for _, c := range all {
		p := f.machine.predictPlacement(ticket, c, keeper)
		if c.target.name == "e3" && (p.fetchName() != "e1" || p.reads != 4200) {
			t.Errorf("e3 fetches from %q and reads %d; e1 keeps 2500 of 6700 tokens", p.fetchName(), p.reads)
		}
	}
	f.machine.targetFailed(f.machine.localTarget("e1"), false, "test")
	if keeper = f.machine.bestCacheHolder(f.machine.listCandidates(ticket.shard.targets, ticket.task), ticket.task); keeper.target == nil || keeper.target.name != "e2" {
		t.Errorf("with e1 failing: keeper %+v", keeper.target)
	}
}
