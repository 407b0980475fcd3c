package control

import (
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/result"
)

// newSoftwareFleet returns a tokenFleet with engines that are named by their software version,
// and by a number: "v1-1".
func newSoftwareFleet(engines ...string) *tokenFleet {
	f := newTokenFleet(engines...)
	declarations := *f.machine.topo.decl
	declarations.Targets = make(map[string]config.Target)
	for name, target := range f.machine.topo.decl.Targets {
		target.Software = softwareOf(name)
		declarations.Targets[name] = target
	}
	f.step(ConfigChanged{Snapshot: &config.Snapshot{Version: 2, Declarations: declarations, TargetsRevision: 2}})
	return f
}

func softwareOf(engine string) string { return engine[:len("v1")] }

// arriveLimited delivers a request that is limited to a software version.
func (f *tokenFleet) arriveLimited(limit config.SoftwareLimit) (RequestID, []Command) {
	return f.arriveLimitedWith(limit, sharedPart(1), ownPart(uint64(f.requests)))
}

// arriveLimitedWith is like arriveLimited for a request with the given prompt parts.
func (f *tokenFleet) arriveLimitedWith(limit config.SoftwareLimit, parts ...PromptPart) (RequestID, []Command) {
	f.requests++
	return f.requests, f.step(RequestArrived{
		Request: f.requests, Attempt: 1, Workspace: "a", Pool: "gen", Route: "r", Software: limit,
		Deadline: f.now + 12*time.Second, Objective: f.now + 400*time.Millisecond,
		Work: Work{Parts: parts, OutputTokens: 50},
	})
}

// TestLimitedRequestStaysAtItsSoftwareVersion guards against granting a target of another
// software version, or fetching from one, for a request that continues a stream.
func TestLimitedRequestStaysAtItsSoftwareVersion(t *testing.T) {
	f := newSoftwareFleet("v1-1", "v1-2", "v2-1", "v2-2")
	for range 16 {
		f.arriveLimited(config.SoftwareLimit{}) // so that engines of both versions have parts cached
	}
	f.now += time.Second
	for range 8 {
		request, commands := f.arriveLimited(config.OnlySoftware("v1"))
		d, refused := outcomeOf(commands, request)
		switch {
		case refused != nil:
			t.Errorf("refused with %d", refused.Code)
		case d != nil && softwareOf(d.Target) != "v1":
			t.Errorf("granted %s", d.Target)
		case d != nil && d.FetchFrom != "" && softwareOf(d.FetchFrom) != "v1":
			t.Errorf("fetches from %s", d.FetchFrom)
		}
	}
}

// TestRequestOfVanishedSoftwareVersionIsRefusedAtOnce guards against holding a request that no
// target can serve, as none runs the version that began its stream.
func TestRequestOfVanishedSoftwareVersionIsRefusedAtOnce(t *testing.T) {
	f := newSoftwareFleet("v2-1", "v2-2")
	request, commands := f.arriveLimited(config.OnlySoftware("v1"))
	_, refused := outcomeOf(commands, request)
	if refused == nil || refused.Code != result.SoftwareUnavailable || refused.RetryAfter <= 0 {
		t.Errorf("got %+v, want refusal %d with a time to retry", refused, result.SoftwareUnavailable)
	}
}

// TestBusySoftwareVersionHoldsUpNoOthers guards against requests that wait for a software
// version with free slots but much to read, and keep those behind them from idle targets of
// another.
func TestBusySoftwareVersionHoldsUpNoOthers(t *testing.T) {
	f := newSoftwareFleet("v1-1", "v2-1")
	waiting := 0
	for range 6 {
		request, commands := f.arriveLimitedWith(config.OnlySoftware("v1"), PromptPart{ID: uint64(f.requests) + 100, Tokens: 3000})
		if d, refused := outcomeOf(commands, request); d == nil && refused == nil {
			waiting++
		}
	}
	if waiting == 0 {
		t.Fatal("no request waits at the busy version")
	}
	request, commands := f.arriveLimited(config.SoftwareLimit{})
	if d, _ := outcomeOf(commands, request); d == nil || d.Target != "v2-1" {
		t.Errorf("got %+v, want a grant at the idle target", d)
	}
}

// TestReconnectedStreamsAreNotChargedTwice guards against refusing streams that were broken off
// together as beyond the share of a workspace, which was charged for them when they began, and
// against a workspace that exceeds its share by reconnecting all the time.
func TestReconnectedStreamsAreNotChargedTwice(t *testing.T) {
	f := newTokenFleet("e1")
	work := Work{PromptTokens: 900, OutputTokens: 50}
	begun := 0
	for n := range uint64(400) {
		if _, d, _ := f.arrive("a", PromptPart{ID: 100 + n, Tokens: 900}); d != nil {
			begun++
			f.finish(d)
			f.now -= 90 * time.Millisecond
		}
	}
	s := f.machine.sched.shards[ShardID{Pool: "gen"}]
	if s.shares.Take(f.now, "a", nominalService(engineTaskOf(work)).Seconds()) {
		t.Fatal("the workspace is not beyond its share")
	}
	within := 0
	for range begun {
		q := &queuedTicket{shard: s, ticket: Ticket{Workspace: "a", Work: work, Continues: true}}
		f.machine.classifyTicket(q)
		if q.rank == rankShare && q.shareTaken == 0 {
			within++
		}
	}
	t.Logf("%d streams began, %d continued within the share", begun, within)
	if within < begun/4 || within > begun/2 {
		t.Errorf("%d of %d streams continued within the share, want a quarter to a half", within, begun)
	}
}

// TestReconnectsAfterLossContinue guards against refusing most streams that were broken off
// together when their callers reconnect at once, while new streams begin at idle targets of
// another software version: two targets of theirs are left.
func TestReconnectsAfterLossContinue(t *testing.T) {
	const broken, steps, newUntil, lossAt, arrivalEvery = 24, 1000, 800, 600, 3
	f := &steadyFleet{tokenFleet: newSoftwareFleet("v1-1", "v1-2", "v2-1", "v2-2", "v2-3", "v2-4"), granted: make(map[RequestID]bool)}
	var begun, continued []RequestID
	for step := range steps {
		f.pass()
		if step%arrivalEvery == 0 && step < newUntil { // 33,000 of 40,000 tokens a second
			begun = append(begun, f.send(config.SoftwareLimit{}))
		}
		if step == lossAt {
			for range broken {
				continued = append(continued, f.send(config.OnlySoftware("v1")))
			}
		}
	}
	newPart, oldPart := f.grantedPart(begun), f.grantedPart(continued)
	t.Logf("%.2f of the new streams began, %.2f of those broken off continued", newPart, oldPart)
	if oldPart < newPart/2 {
		t.Errorf("%.2f of the streams continued, and %.2f of the new ones began", oldPart, newPart)
	}
}

// steadyFleet is a tokenFleet whose targets begin to answer after beginTime and end after
// runTime.
type steadyFleet struct {
	*tokenFleet
	runs    []steadyRun
	granted map[RequestID]bool
}

type steadyRun struct {
	dispatch *Dispatch
	at       Instant
}

const (
	steadyStep = 10 * time.Millisecond
	beginTime  = 150 * time.Millisecond
	runTime    = 700 * time.Millisecond
)

// carryOut records the grants among commands.
func (f *steadyFleet) carryOut(commands []Command) {
	for _, command := range commands {
		if d, isDispatch := command.(Dispatch); isDispatch {
			f.granted[d.Request] = true
			f.runs = append(f.runs, steadyRun{&d, f.now})
		}
	}
}

// send sends a request of 1,000 tokens; one that is limited to a version continues a stream.
func (f *steadyFleet) send(limit config.SoftwareLimit) RequestID {
	f.requests++
	f.carryOut(f.step(RequestArrived{
		Request: f.requests, Attempt: 1, Workspace: "a", Pool: "gen", Route: "r", Software: limit, Continues: limit.Limited,
		Deadline: f.now + 12*time.Second, Objective: f.now + 400*time.Millisecond,
		Work: Work{Parts: []PromptPart{{ID: uint64(f.requests) + 1000, Tokens: 900}}, OutputTokens: 50},
	}))
	return f.requests
}

// pass lets steadyStep pass.
func (f *steadyFleet) pass() {
	f.now += steadyStep
	f.carryOut(f.step(Tick{}))
	current := f.runs
	f.runs = nil
	for _, r := range current {
		switch age := f.now - r.at; {
		case age >= runTime:
			f.carryOut(f.step(RunEnded{Request: r.dispatch.Request, Grant: r.dispatch.Grant, Outcome: OutcomeAnswered}))
			continue
		case age == beginTime:
			f.carryOut(f.step(RunBegan{Grant: r.dispatch.Grant, After: beginTime}))
		}
		f.runs = append(f.runs, r)
	}
}

// grantedPart returns the part of requests that were granted.
func (f *steadyFleet) grantedPart(requests []RequestID) float64 {
	granted := 0
	for _, request := range requests {
		if f.granted[request] {
			granted++
		}
	}
	return float64(granted) / float64(len(requests))
}
