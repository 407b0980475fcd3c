package control

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/config"
)

// slotPoolLoad is an open-loop load on a pool that counts in slots and has one target: a burst
// and then requests at a steady rate, all with an objective and a deadline.
type slotPoolLoad struct {
	slots     int
	service   time.Duration
	objective time.Duration
	deadline  time.Duration
	burst     int
	perSecond float64
	duration  time.Duration
	// calmFraction is the fraction of the requests that belong to workspace "calm"; the others
	// belong to "hot". Zero: the requests belong to no workspace.
	calmFraction float64
	// streams reports that the objective applies to the start of a run rather than its end.
	streams bool
}

// hookLoad returns a load of short calls, such as build and cache hooks, on six slots.
func hookLoad() slotPoolLoad {
	return slotPoolLoad{
		slots: 6, service: 15 * time.Millisecond, objective: 120 * time.Millisecond, deadline: time.Second,
		burst: 500, perSecond: 360, duration: 8 * time.Second,
	}
}

// run simulates the load and returns its requests, those of the burst first.
func (p slotPoolLoad) run(t *testing.T, seed uint64) []*simRequest {
	t.Helper()
	s := newSim(seed)
	s.onEnd = func(r *simRequest) { r.endedAt = s.now }
	s.service = func(*simRequest) time.Duration {
		return p.service/2 + time.Duration(s.rng.Int64N(int64(p.service)))
	}
	s.startFleet(3, p.snapshot(), Options{LocalAfter: 100 * time.Millisecond, HeartbeatEvery: 250 * time.Millisecond}, "ikeja")
	s.runUntil(time.Second)
	arrive := func() {
		node := s.names[s.rng.IntN(len(s.names))]
		workspace := ""
		if p.calmFraction > 0 {
			workspace = "hot"
			if s.rng.Float64() < p.calmFraction {
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
	end := s.now + p.duration
	var next func()
	next = func() {
		if s.now < end {
			arrive()
			s.after(time.Duration(s.rng.ExpFloat64()/p.perSecond*float64(time.Second)), next)
		}
	}
	next()
	s.runUntil(end + p.deadline)
	s.checkInvariants(t)
	return s.requests
}

func (p slotPoolLoad) snapshot() *config.Snapshot {
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

// outcomes counts requests by their outcome.
type outcomes struct {
	total, inTime, late, refused int
	// maxRefusalTime is the maximum time from the arrival of a request to its refusal.
	maxRefusalTime time.Duration
}

// count returns the outcomes of requests of the load.
func (p slotPoolLoad) count(requests []*simRequest) outcomes {
	var o outcomes
	for _, r := range requests {
		o.total++
		elapsed := r.endedAt - r.arrivedAt
		switch {
		case strings.HasPrefix(r.outcome, "refused"):
			o.refused++
			o.maxRefusalTime = max(o.maxRefusalTime, elapsed)
		case elapsed <= p.objective:
			o.inTime++
		default:
			o.late++
		}
	}
	return o
}

// TestBurstLeavesNoStandingQueue guards against a queue that stays as long as its callers'
// deadlines: after a single burst, a pool whose capacity is about the request rate answered
// every request late from then on, and none that arrived in the last second before a power
// loss.
func TestBurstLeavesNoStandingQueue(t *testing.T) {
	p := hookLoad()
	for seed := range uint64(5) {
		requests := p.run(t, seed)
		after := p.count(requests[p.burst:])
		t.Logf("seed %d: %+v", seed, after)
		if after.inTime < after.total*9/10 {
			t.Errorf("seed %d: %d of %d in time, %d late, %d refused", seed, after.inTime, after.total, after.late, after.refused)
		}
	}
}

// TestOverloadedPoolServesInTime guards against the same queue at 1.5 times that request rate,
// which is more than the pool can serve: what is served has to be served in time, and the other
// requests have to be refused while their callers still have time to retry.
func TestOverloadedPoolServesInTime(t *testing.T) {
	p := hookLoad()
	p.perSecond *= 1.5
	for seed := range uint64(5) {
		all := p.count(p.run(t, seed)[p.burst:])
		t.Logf("seed %d: %+v", seed, all)
		capacity := int(float64(p.slots) / p.service.Seconds() * p.duration.Seconds())
		if all.inTime < capacity*8/10 {
			t.Errorf("seed %d: %d in time of %d that the pool can serve, %d late, %d refused", seed, all.inTime, capacity, all.late, all.refused)
		}
		if all.maxRefusalTime > p.deadline/2 {
			t.Errorf("seed %d: a request waited for %v before it was refused", seed, all.maxRefusalTime)
		}
	}
}

// TestBurstIsServedLate guards against refusing requests that can still be served: after a
// burst that the pool cannot serve in time, it has to serve most of what it can before the
// deadline.
func TestBurstIsServedLate(t *testing.T) {
	p := hookLoad()
	p.perSecond = 50
	for _, seed := range []uint64{0, 1, 2, 3, 4, 152} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			burst := p.count(p.run(t, seed)[:p.burst])
			t.Logf("%+v", burst)
			capacity := int(float64(p.slots)/p.service.Seconds()*p.deadline.Seconds() - p.perSecond)
			if served := burst.inTime + burst.late; served < capacity*7/10 {
				t.Errorf("%d of the burst served, want most of the %d that can be before the deadline", served, capacity)
			}
		})
	}
}

// TestLongRunsMayWait guards against refusing requests long before their deadline: if runs take
// seconds, a request that has missed its objective continues to wait until one of them ends.
func TestLongRunsMayWait(t *testing.T) {
	p := slotPoolLoad{
		slots: 2, service: 4 * time.Second, objective: 300 * time.Millisecond, deadline: 30 * time.Second,
		burst: 6, duration: time.Second, perSecond: 0.01, streams: true,
	}
	for seed := range uint64(5) {
		if all := p.count(p.run(t, seed)[:p.burst]); all.refused > 0 {
			t.Errorf("seed %d: %d of %d refused", seed, all.refused, all.total)
		}
	}
}

// TestDeferralKeepsShares guards against deferral across workspaces: one that requests less than
// its share has to be served in time beside one that requests twice what the pool can serve.
func TestDeferralKeepsShares(t *testing.T) {
	p := hookLoad()
	p.perSecond, p.calmFraction = 900, 0.15
	for seed := range uint64(5) {
		var calm []*simRequest
		for _, r := range p.run(t, seed)[p.burst:] {
			if r.workspace == "calm" {
				calm = append(calm, r)
			}
		}
		got := p.count(calm)
		t.Logf("seed %d: %+v", seed, got)
		if got.inTime < got.total*95/100 {
			t.Errorf("seed %d: %d of %d in time, %d late, %d refused", seed, got.inTime, got.total, got.late, got.refused)
		}
	}
}
