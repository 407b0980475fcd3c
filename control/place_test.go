package control

import (
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/result"
)

// tokenFleet is a single machine that schedules the engines of a pool that counts in tokens.
type tokenFleet struct {
	machine  *Machine
	now      Instant
	requests RequestID
}

func newTokenFleet(engines ...string) *tokenFleet {
	declarations := tokenDeclarations()
	for _, name := range engines {
		declarations.Targets[name] = config.Target{Pool: "gen", DataCentre: "d", Slots: 8}
	}
	f := &tokenFleet{machine: New(Options{Node: "n", Incarnation: 1, DataCentre: "d", Seed: 1})}
	f.step(ConfigChanged{Snapshot: &config.Snapshot{Version: 1, Declarations: declarations, TargetsRevision: 1}})
	return f
}

// tokenDeclarations declares a pool that counts in tokens, without targets.
func tokenDeclarations() config.Declarations {
	return config.Declarations{
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
}

func (f *tokenFleet) step(ev Event) []Command { return f.machine.Step(f.now, ev) }

// arrive sends a request with the given prompt parts and returns its dispatch or its refusal;
// neither if it waits.
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

// outcomeOf returns the dispatch or the refusal of a request among commands.
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

// finish lets 100 ms pass, and the run begin to answer and end.
func (f *tokenFleet) finish(d *Dispatch) {
	f.now += 100 * time.Millisecond
	f.step(RunBegan{Grant: d.Grant, After: 100 * time.Millisecond})
	f.step(RunEnded{Request: d.Request, Grant: d.Grant, Outcome: OutcomeAnswered})
}

// sharedPart returns a prompt part that several requests may have in common.
func sharedPart(id uint64) PromptPart { return PromptPart{ID: id, Tokens: 4000} }

// ownPart returns a prompt part of a single request.
func ownPart(id uint64) PromptPart { return PromptPart{ID: id, Tokens: 200} }

// TestSharedPartsAreReadOnce guards against reading shared prompt parts again on other targets:
// requests that begin with the same parts have to go to the target that has them in its cache.
func TestSharedPartsAreReadOnce(t *testing.T) {
	f := newTokenFleet("e1", "e2", "e3")
	_, first, _ := f.arrive("a", sharedPart(7), ownPart(1))
	if first == nil {
		t.Fatal("no grant")
	}
	f.finish(first)
	for n := range uint64(5) {
		_, next, _ := f.arrive("a", sharedPart(7), ownPart(10+n))
		if next == nil || next.Target != first.Target || next.Reads != 200 {
			t.Fatalf("request %d: got %+v, want %s, which has the shared part in its cache", n, next, first.Target)
		}
		f.finish(next)
	}
}

// TestPartsAreFetchedFromBusyCacheHolder guards against reading shared parts again, or waiting,
// when the target that has them in its cache is full: another target has to fetch them.
func TestPartsAreFetchedFromBusyCacheHolder(t *testing.T) {
	f := newTokenFleet("e1", "e2")
	_, first, _ := f.arrive("a", sharedPart(7), ownPart(1))
	f.finish(first)
	fetched := 0
	for n := range uint64(10) {
		_, d, _ := f.arrive("a", sharedPart(7), ownPart(20+n))
		if d == nil {
			t.Fatal("no grant while slots are free")
		}
		if d.Reads != 200 {
			t.Errorf("%s reads %d tokens and fetches from %q", d.Target, d.Reads, d.FetchFrom)
		}
		if d.FetchFrom == first.Target {
			fetched++
		}
	}
	if fetched == 0 {
		t.Error("nothing was fetched from the cache holder, which has 8 slots for 10 requests")
	}
}

// TestSchedulersAgreeOnHomeOfUncachedParts guards against parts that are read on several targets
// because schedulers without knowledge of the caches choose different ones.
func TestSchedulersAgreeOnHomeOfUncachedParts(t *testing.T) {
	for id := range uint64(20) {
		_, one, _ := newTokenFleet("e1", "e2", "e3").arrive("a", sharedPart(id), ownPart(1))
		_, two, _ := newTokenFleet("e1", "e2", "e3").arrive("b", sharedPart(id), ownPart(2))
		if one.Target != two.Target {
			t.Errorf("part %d: placed on %s and %s", id, one.Target, two.Target)
		}
	}
}

// TestTicketIsRefusedOnceItCannotBeInTime guards against requests that wait until their deadline
// although their answer can no longer begin in time: they have to be refused at that point, as
// not run and with a retry time.
func TestTicketIsRefusedOnceItCannotBeInTime(t *testing.T) {
	f := newTokenFleet("e1")
	for n := range uint64(8) {
		f.arrive("a", PromptPart{ID: 100 + n, Tokens: 300})
	}
	id, dispatch, refuse := f.arrive("b", PromptPart{ID: 500, Tokens: 300})
	if dispatch != nil || refuse != nil {
		t.Fatalf("dispatched %+v, refused %+v with all slots occupied", dispatch, refuse)
	}
	start := f.now
	for refuse == nil && f.now < start+time.Second {
		f.now += 5 * time.Millisecond
		_, refuse = outcomeOf(f.step(Tick{}), id)
	}
	if refuse == nil || refuse.Code != result.Overloaded || refuse.RetryAfter <= 0 {
		t.Fatalf("got %+v, want a refusal as overloaded with a retry time", refuse)
	}
	if waited := f.now - start; waited > 400*time.Millisecond {
		t.Errorf("refused after %s, want at most the objective of 400 ms", waited)
	}
}

// TestBegunProbeEndsBackoff guards against a recovered target that gets a single run at a time
// for as long as an answer takes: it has to get further runs once its probe has begun to answer.
func TestBegunProbeEndsBackoff(t *testing.T) {
	f := newTokenFleet("e1")
	_, failed, _ := f.arrive("a", ownPart(1))
	f.step(RunEnded{Request: failed.Request, Grant: failed.Grant, Outcome: OutcomeLost})
	f.now += time.Second
	f.step(Tick{})
	_, probe, _ := f.arrive("a", ownPart(2))
	if probe == nil {
		t.Fatal("no probe after the backoff")
	}
	f.now += 50 * time.Millisecond
	f.step(RunBegan{Grant: probe.Grant, After: 50 * time.Millisecond})
	if _, next, _ := f.arrive("a", ownPart(3)); next == nil {
		t.Error("the target gets no further run although it has begun to answer")
	}
}

// TestUnansweredTicketsAreGrantedLocally guards against requests that wait for a scheduler that
// does not answer: their entry has to grant them itself after LocalAfter, and further requests
// at once.
func TestUnansweredTicketsAreGrantedLocally(t *testing.T) {
	f := newTokenFleet("e1", "e2")
	f.machine.opts.LocalAfter = 60 * time.Millisecond
	f.step(MembersListed{Members: []Member{{Node: "n", DataCentre: "d"}, {Node: "silent", DataCentre: "d"}}})
	f.step(MessageReceived{From: "silent", Incarnation: 9, Message: Heartbeat{Incarnation: 9}})
	f.machine.fleet.owners[ShardID{Pool: "gen"}] = "silent"
	f.now += 100 * time.Millisecond
	f.step(Tick{})
	id, dispatch, _ := f.arrive("a", ownPart(1))
	if dispatch != nil {
		t.Fatal("granted locally although another node schedules the shard")
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
	if _, next, _ := f.arrive("a", ownPart(2)); next == nil {
		t.Error("the next request waits for the unresponsive scheduler too")
	}
}

// TestPausedEntryDoesNotGrantLocally guards against an entry that blames its own pause on the
// scheduler: after a pause it may not have processed the answers that arrived meanwhile, so it
// must not grant locally for lack of them.
func TestPausedEntryDoesNotGrantLocally(t *testing.T) {
	f := newTokenFleet("e1", "e2")
	f.machine.opts.LocalAfter = 60 * time.Millisecond
	f.step(MembersListed{Members: []Member{{Node: "n", DataCentre: "d"}, {Node: "other", DataCentre: "d"}}})
	f.step(MessageReceived{From: "other", Incarnation: 9, Message: Heartbeat{Incarnation: 9}})
	f.machine.fleet.owners[ShardID{Pool: "gen"}] = "other"
	id, _, _ := f.arrive("a", ownPart(1))
	f.now += 80 * time.Millisecond
	dispatch, _ := outcomeOf(f.step(MessageReceived{From: "other", Incarnation: 9, Message: Heartbeat{Incarnation: 9}}), id)
	if dispatch != nil {
		t.Fatal("granted locally because of a pause of this node")
	}
	if f.machine.Counters().TicketsLocal != 0 {
		t.Error("the ticket was withdrawn from its scheduler")
	}
}

// TestResumedRequestKeepsShareRank guards against refusing a request that was granted before as
// beyond its workspace's share, which would waste the work already done.
func TestResumedRequestKeepsShareRank(t *testing.T) {
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
		t.Error("a request that was granted before is ranked beyond the share")
	}
}

// TestLostRunsAreRetriedInParallel guards against idle engines after one crashed: the requests
// that ran there are suspects, but have to be retried on the other engines concurrently.
func TestLostRunsAreRetriedInParallel(t *testing.T) {
	f := newTokenFleet("e1", "e2")
	const running = 6
	lost := make([]*Dispatch, 0, running)
	for n := range uint64(running) {
		f.requests++
		commands := f.step(f.arrivalWithFingerprint(f.requests, 1, n))
		dispatch, _ := outcomeOf(commands, f.requests)
		f.now += 60 * time.Millisecond
		f.step(RunBegan{Grant: dispatch.Grant, After: 50 * time.Millisecond})
		if dispatch.Target == "e1" {
			lost = append(lost, dispatch)
		}
	}
	if len(lost) < 2 {
		t.Fatalf("%d of %d runs on the target that is to crash, want at least 2", len(lost), running)
	}
	for _, d := range lost {
		f.step(RunEnded{Request: d.Request, Grant: d.Grant, Outcome: OutcomeLost})
	}
	f.unlistTarget("e1")
	for n, d := range lost {
		dispatch, _ := outcomeOf(f.step(f.arrivalWithFingerprint(d.Request, 2, uint64(n))), d.Request)
		if dispatch == nil {
			t.Fatalf("run %d of %d waits while slots are free", n+1, len(lost))
		}
		f.now += 60 * time.Millisecond
		f.step(RunBegan{Grant: dispatch.Grant, After: 50 * time.Millisecond})
	}
}

// arrivalWithFingerprint returns the arrival of a request with the fingerprint 1000 + number.
func (f *tokenFleet) arrivalWithFingerprint(request RequestID, attempt uint32, number uint64) RequestArrived {
	return RequestArrived{
		Request: request, Attempt: attempt, Workspace: "a", Pool: "gen", Fingerprint: 1000 + number,
		Deadline: f.now + 12*time.Second, Objective: f.now + 400*time.Millisecond,
		Work: Work{Parts: []PromptPart{ownPart(number)}, OutputTokens: 50},
	}
}

// unlistTarget removes a target from the listing.
func (f *tokenFleet) unlistTarget(name string) {
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

// TestReturningRequestsUseSpareCapacityOnly guards against retries of refused requests that take
// capacity from requests that can be in time: they use no share, and only lightly loaded targets.
func TestReturningRequestsUseSpareCapacityOnly(t *testing.T) {
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
		t.Error("an idle target has no spare capacity")
	}
	for n := range uint64(3) {
		f.arrive("a", PromptPart{ID: 100 + n, Tokens: 10})
	}
	if f.machine.hasSpare(e1, rankReturning) || !f.machine.hasSpare(e1, rankExcess) {
		t.Error("with three of eight slots in use: want no spare capacity for returning requests, some for excess ones")
	}
	f.now += refusedRetention
	f.step(Tick{})
	later := &queuedTicket{shard: s, ticket: refused.ticket}
	f.machine.classifyTicket(later)
	if later.rank != rankShare {
		t.Errorf("rank %s after refusedRetention, want share", later.rank)
	}
}

// TestTargetNearTheEntryIsPreferred guards against needless traffic between data centres: of
// targets that would begin equally soon, the one in the entry's data centre is chosen, unless it
// is much busier.
func TestTargetNearTheEntryIsPreferred(t *testing.T) {
	f := newTokenFleet("far", "near")
	declarations := *f.machine.topo.decl
	declarations.Targets = map[string]config.Target{
		"far":  {Pool: "gen", DataCentre: "other", Slots: 8},
		"near": {Pool: "gen", DataCentre: "d", Slots: 8},
	}
	f.step(ConfigChanged{Snapshot: &config.Snapshot{Version: 2, Declarations: declarations, TargetsRevision: 2}})
	for n := range uint64(5) {
		_, d, _ := f.arrive("a", ownPart(100+n))
		if d == nil || d.Target != "near" {
			t.Fatalf("request %d: %+v", n, d)
		}
		f.finish(d)
	}
	far := 0
	for n := range uint64(8) {
		if _, d, _ := f.arrive("a", sharedPart(200+n), ownPart(300+n)); d != nil && d.Target == "far" {
			far++
		}
	}
	if far == 0 {
		t.Error("no request went to the idle target in the other data centre")
	}
}

// TestReturningRequestsYield guards against retries that take capacity refused to others: a retry
// of a workspace that was served more than another one with refused requests is refused at once
// rather than queued, even if there is spare capacity.
func TestReturningRequestsYield(t *testing.T) {
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
			t.Errorf("%s: rank %s, waits %s, spare capacity %v", want.workspace, q.rank, q.waitUntil-f.now, spare)
		}
	}
	// A retry that has to yield is refused at once.
	again := f.arrivalWithFingerprint(900, 1, 7)
	f.machine.sched.refusedFingerprints.add(f.now, again.Fingerprint, refusedRetention)
	if _, refuse := outcomeOf(f.step(again), again.Request); refuse == nil {
		t.Error("the retry of a workspace that has to yield was not refused at once")
	}
}

// TestPartsAreFetchedFromBestCacheHolder guards against reading cached parts again when caches
// evict: no target has all shared parts of a prompt, so those that exist are fetched from the
// target that has most of them. A failing target is not fetched from.
func TestPartsAreFetchedFromBestCacheHolder(t *testing.T) {
	f := newTokenFleet("e1", "e2", "e3")
	group := PromptPart{ID: 1, Tokens: 2500}
	f.reportCached("e1", 0, group)
	f.reportCached("e2", 0, PromptPart{ID: 1, Tokens: 500})
	ticket := &queuedTicket{
		shard:  f.machine.sched.shards[ShardID{Pool: "gen"}],
		ticket: Ticket{Workspace: "a", Work: Work{Parts: []PromptPart{group, sharedPart(7), ownPart(1)}, OutputTokens: 50}},
	}
	f.machine.classifyTicket(ticket)
	all := f.machine.listCandidates(ticket.shard.targets, ticket.task)
	holder := f.machine.bestCacheHolder(all, ticket.task)
	if holder.target == nil || holder.target.name != "e1" || holder.sharedReads != 4000 {
		t.Fatalf("cache holder is %+v, want e1, which lacks 4000 tokens", holder)
	}
	for _, c := range all {
		p := f.machine.predictPlacement(ticket, c, holder)
		if c.target.name == "e3" && (p.fetchName() != "e1" || p.reads != 4200) {
			t.Errorf("e3 fetches from %q and reads %d; e1 has 2500 of 6700 tokens in its cache", p.fetchName(), p.reads)
		}
	}
	f.machine.targetFailed(f.machine.localTarget("e1"), false, "test")
	if holder = f.machine.bestCacheHolder(f.machine.listCandidates(ticket.shard.targets, ticket.task), ticket.task); holder.target == nil || holder.target.name != "e2" {
		t.Errorf("while e1 fails: cache holder is %+v, want e2", holder.target)
	}
}
