package control

import (
	"strings"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/config"
)

// shortPool is the load of a pool that counts in slots, left with one target: open-loop
// callers with an objective and a deadline, a burst at first and then a steady rate.
type shortPool struct {
	slots     int
	service   time.Duration
	objective time.Duration
	deadline  time.Duration
	burst     int
	perSecond float64
	length    time.Duration
	// calmPart is the part of the requests that come from a workspace of its own; zero: all
	// requests are of no workspace.
	calmPart float64
	// streams says that the objective is about the begin of a run, and not its end.
	streams bool
}

// siteHooks asks a target of six slots for short calls, as build and cache hooks are.
func siteHooks() shortPool {
	return shortPool{
		slots: 6, service: 15 * time.Millisecond, objective: 120 * time.Millisecond, deadline: time.Second,
		burst: 500, perSecond: 360, length: 8 * time.Second,
	}
}

// play returns the requests that came, with those of the burst first.
func (p shortPool) play(t *testing.T, seed uint64) []*simRequest {
	t.Helper()
	s := newSim(seed)
	s.ended = func(r *simRequest) { r.endedAt = s.now }
	s.service = func(*simRequest) time.Duration {
		return p.service/2 + time.Duration(s.rng.Int64N(int64(p.service)))
	}
	s.fleet(3, p.snapshot(), Options{LocalAfter: 100 * time.Millisecond, HeartbeatEvery: 250 * time.Millisecond}, "ikeja")
	s.runUntil(time.Second)
	arrive := func() {
		node := s.names[s.rng.IntN(len(s.names))]
		workspace := ""
		if p.calmPart > 0 {
			workspace = "hot"
			if s.rng.Float64() < p.calmPart {
				workspace = "calm"
			}
		}
		s.arrive(node, workspace, "hooks", p.deadline, func(ev *RequestArrived) {
			ev.Objective = ev.Deadline - p.deadline + p.objective
		})
	}
	for range p.burst {
		arrive()
	}
	end := s.now + p.length
	var next func()
	next = func() {
		if s.now < end {
			arrive()
			s.after(time.Duration(s.rng.ExpFloat64()/p.perSecond*float64(time.Second)), next)
		}
	}
	next()
	s.runUntil(end + p.deadline)
	s.checkFaults(t)
	return s.requests
}

func (p shortPool) snapshot() *config.Snapshot {
	kind := config.KindService
	if p.streams {
		kind = config.KindEngine
	}
	return &config.Snapshot{Version: 1, Declarations: config.Declarations{
		Workspaces: map[string]config.Workspace{
			"hot":  {Share: 1, Pools: []string{"hooks"}, MaxQueued: 1 << 20},
			"calm": {Share: 1, Pools: []string{"hooks"}, MaxQueued: 1 << 20},
		},
		Pools:   map[string]config.Pool{"hooks": {Kind: kind, OneQueue: true}},
		Targets: map[string]config.Target{"only": {Pool: "hooks", DataCentre: "ikeja", Slots: p.slots}},
	}}
}

// outcomes counts what came of requests.
type outcomes struct {
	asked, inTime, late, refused int
	// longestRefusal is the longest time that a refused request was held.
	longestRefusal time.Duration
}

func (p shortPool) count(requests []*simRequest) outcomes {
	var o outcomes
	for _, r := range requests {
		o.asked++
		took := r.endedAt - r.arrivedAt
		switch {
		case strings.HasPrefix(r.outcome, "refused"):
			o.refused++
			o.longestRefusal = max(o.longestRefusal, took)
		case took <= p.objective:
			o.inTime++
		default:
			o.late++
		}
	}
	return o
}

// TestBurstLeavesNoStandingQueue guards against a queue that stays as long as its callers'
// deadlines: a pool that serves about as much as is asked answered everybody late for good
// after one burst, and nobody who asked in the last second before a power loss.
func TestBurstLeavesNoStandingQueue(t *testing.T) {
	p := siteHooks()
	for seed := range uint64(5) {
		requests := p.play(t, seed)
		after := p.count(requests[p.burst:])
		t.Logf("seed %d: %+v", seed, after)
		if after.inTime < after.asked*9/10 {
			t.Errorf("seed %d: %d of %d in time, %d late, %d refused", seed, after.inTime, after.asked, after.late, after.refused)
		}
	}
}

// TestOverloadedPoolServesInTime guards against the same queue where half as much again is
// asked as the pool can serve: what is served is served in time, and who cannot be served
// is told early enough to come back.
func TestOverloadedPoolServesInTime(t *testing.T) {
	p := siteHooks()
	p.perSecond *= 1.5
	for seed := range uint64(5) {
		all := p.count(p.play(t, seed)[p.burst:])
		t.Logf("seed %d: %+v", seed, all)
		capacity := int(float64(p.slots) / p.service.Seconds() * p.length.Seconds())
		if all.inTime < capacity*8/10 {
			t.Errorf("seed %d: %d in time of %d that the pool can serve, %d late, %d refused", seed, all.inTime, capacity, all.late, all.refused)
		}
		if all.longestRefusal > p.deadline/2 {
			t.Errorf("seed %d: a request was held for %v before it was refused", seed, all.longestRefusal)
		}
	}
}

// TestBurstIsServedLate guards against refusing what can still be served: after a burst that
// the pool cannot serve in time, most of what it can serve before the deadline is served.
func TestBurstIsServedLate(t *testing.T) {
	p := siteHooks()
	p.perSecond = 50
	for seed := range uint64(5) {
		burst := p.count(p.play(t, seed)[:p.burst])
		t.Logf("seed %d: %+v", seed, burst)
		capacity := int(float64(p.slots)/p.service.Seconds()*p.deadline.Seconds() - p.perSecond)
		if served := burst.inTime + burst.late; served < capacity*7/10 {
			t.Errorf("seed %d: %d of the burst served, %d could be before its deadline", seed, served, capacity)
		}
	}
}

// TestLongRunsMayWait guards against refusing callers who have time: where runs take seconds,
// a request that misses its objective waits on until one of them ends.
func TestLongRunsMayWait(t *testing.T) {
	p := shortPool{
		slots: 2, service: 4 * time.Second, objective: 300 * time.Millisecond, deadline: 30 * time.Second,
		burst: 6, length: time.Second, perSecond: 0.01, streams: true,
	}
	for seed := range uint64(5) {
		if all := p.count(p.play(t, seed)[:p.burst]); all.refused > 0 {
			t.Errorf("seed %d: %d of %d refused", seed, all.refused, all.asked)
		}
	}
}

// TestDeferralKeepsShares guards against deferral that mixes workspaces up: one that asks for
// less than its share is served in time beside one that asks for twice what the pool can serve.
func TestDeferralKeepsShares(t *testing.T) {
	p := siteHooks()
	p.perSecond, p.calmPart = 900, 0.15
	for seed := range uint64(5) {
		var calm []*simRequest
		for _, r := range p.play(t, seed)[p.burst:] {
			if r.workspace == "calm" {
				calm = append(calm, r)
			}
		}
		got := p.count(calm)
		t.Logf("seed %d: %+v", seed, got)
		if got.inTime < got.asked*95/100 {
			t.Errorf("seed %d: %d of %d in time, %d late, %d refused", seed, got.inTime, got.asked, got.late, got.refused)
		}
	}
}
