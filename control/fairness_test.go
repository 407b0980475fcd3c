package control

import (
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/config"
)

var testDataCentres = []string{"ikeja", "lekki", "yaba"}

// checkInvariants fails the test for each violated invariant.
func (s *sim) checkInvariants(t *testing.T) {
	t.Helper()
	for _, f := range s.violations {
		t.Error(f)
	}
}

// keepBacklogged keeps count requests of a workspace waiting or running.
func (s *sim) keepBacklogged(workspace string, count int, nodes ...NodeID) {
	arrivals := 0
	arrive := func() {
		arrivals++
		s.arrive(nodes[arrivals%len(nodes)], workspace, "draft", time.Hour)
	}
	previous := s.onEnd
	s.onEnd = func(r *simRequest) {
		previous(r)
		if r.workspace == workspace {
			arrive()
		}
	}
	for range count {
		arrive()
	}
}

// serviceOf returns the slot time that a workspace received, including runs in progress.
func (s *sim) serviceOf(workspace string) time.Duration {
	var sum time.Duration
	for _, r := range s.requests {
		if r.workspace == workspace {
			sum += r.slotTime
		}
	}
	for _, t := range s.targets {
		for _, run := range t.running {
			if run.req.workspace == workspace {
				sum += s.now - run.started
			}
		}
	}
	return sum
}

// utilisation returns the fraction of all slot time since a time that was used;
// busyTimeBefore is the total at that time.
func (s *sim) utilisation(since Instant, busyTimeBefore time.Duration) float64 {
	slots := 0
	for _, t := range s.targets {
		slots += t.slots
	}
	return float64(s.totalBusyTime()-busyTimeBefore) / float64(time.Duration(slots)*(s.now-since))
}

// totalBusyTime returns the slot time used at all targets so far.
func (s *sim) totalBusyTime() time.Duration {
	var sum time.Duration
	for _, t := range s.targets {
		s.updateBusyTime(t)
		sum += t.busyTime
	}
	return sum
}

// gapMeter measures the maximum gap between any two workspaces while both are backlogged:
// the largest difference, over any interval, between the service that they received, in
// slot seconds divided by share.
type gapMeter struct {
	shares           map[string]float64
	minDiff, maxDiff map[string]float64
}

// newGapMeter returns a meter for the workspaces with the given shares.
func newGapMeter(shares map[string]float64) *gapMeter {
	return &gapMeter{shares: shares, minDiff: make(map[string]float64), maxDiff: make(map[string]float64)}
}

// sample records the difference between the service of each pair of workspaces so far. The
// gap of a pair is the range of its samples.
func (g *gapMeter) sample(s *sim) {
	for x, xShare := range g.shares {
		for y, yShare := range g.shares {
			if x >= y {
				continue
			}
			d := s.serviceOf(x).Seconds()/xShare - s.serviceOf(y).Seconds()/yShare
			pair := x + " " + y
			if _, known := g.minDiff[pair]; !known {
				g.minDiff[pair], g.maxDiff[pair] = d, d
			}
			g.minDiff[pair] = min(g.minDiff[pair], d)
			g.maxDiff[pair] = max(g.maxDiff[pair], d)
		}
	}
}

func (g *gapMeter) maxGap() (gap float64) {
	for pair := range g.minDiff {
		gap = max(gap, g.maxDiff[pair]-g.minDiff[pair])
	}
	return gap
}

// sampleUntil lets time pass and samples every 100 ms.
func (g *gapMeter) sampleUntil(s *sim, until Instant) {
	for s.now < until {
		s.runUntil(s.now + 100*time.Millisecond)
		g.sample(s)
	}
}

// TestFleetIsFairAndFullyUtilised guards against unfair shares and idle slots in a fleet of
// three data centres. Requests of one workspace arrive at a single router, those of another
// cost more than the rest without a hint, and one workspace has a double share.
func TestFleetIsFairAndFullyUtilised(t *testing.T) {
	shares := map[string]float64{"a": 1, "b": 1, "c": 2, "d": 1}
	s := newSim(1)
	s.service = func(r *simRequest) time.Duration {
		if r.workspace == "b" {
			return 3 * time.Second // costs more than the others, without a hint
		}
		return time.Duration(200+s.rng.IntN(800)) * time.Millisecond
	}
	w := fleetSpec{workspaces: shares, targetsPerDataCentre: 3, slots: 4, dataCentres: testDataCentres}
	s.startFleet(9, w.snapshot(), Options{}, testDataCentres...)
	s.runUntil(2 * time.Second)
	s.keepBacklogged("a", 60, "n0")
	s.keepBacklogged("b", 60, "n1", "n5")
	s.keepBacklogged("c", 60, s.names...)
	s.keepBacklogged("d", 60, "n2", "n3", "n4")
	s.runUntil(10 * time.Second)
	start, busy := s.now, s.totalBusyTime()
	meter := newGapMeter(shares)
	meter.sampleUntil(s, 70*time.Second)
	// The bound of the package doc: the runs in progress of both workspaces (at most half of
	// the slots each, at their maximum length) and the work that all slots do in the lag of
	// the exchange.
	const slots, longest, lag = 36.0, 3.0, 0.3
	bound := 2*longest + slots*lag
	t.Logf("maximum gap %.1f of %.1f slot seconds per share, utilisation %.4f", meter.maxGap(), bound, s.utilisation(start, busy))
	if meter.maxGap() > bound {
		t.Errorf("the gap reached %.1f slot seconds per share, want at most %.1f", meter.maxGap(), bound)
	}
	if u := s.utilisation(start, busy); u < 0.99 {
		t.Errorf("utilisation is %.4f", u)
	}
	s.checkInvariants(t)
}

// TestOneEntryFillsEveryShard guards against slots of other data centres that stay idle
// while requests of a workspace wait that all arrive at one router.
func TestOneEntryFillsEveryShard(t *testing.T) {
	s := newSim(7)
	w := fleetSpec{workspaces: map[string]float64{"a": 1}, targetsPerDataCentre: 2, slots: 4, dataCentres: testDataCentres}
	s.startFleet(6, w.snapshot(), Options{}, testDataCentres...)
	s.runUntil(2 * time.Second)
	s.keepBacklogged("a", 60, "n0")
	s.runUntil(3 * time.Second)
	start, busy := s.now, s.totalBusyTime()
	s.runUntil(20 * time.Second)
	if u := s.utilisation(start, busy); u < 0.99 {
		t.Errorf("utilisation is %.4f", u)
	}
}

// TestPolicyAloneKeepsTargetsBusy guards against a useless baseline: under PolicyAlone,
// where every router schedules for itself, targets have to be busy but not overfilled.
func TestPolicyAloneKeepsTargetsBusy(t *testing.T) {
	s := newSim(8)
	w := fleetSpec{workspaces: map[string]float64{"a": 1, "b": 1}, targetsPerDataCentre: 2, slots: 4, dataCentres: testDataCentres}
	s.startFleet(6, w.snapshot(), Options{Policy: PolicyAlone}, testDataCentres...)
	s.runUntil(2 * time.Second)
	s.keepBacklogged("a", 60, "n0")
	s.keepBacklogged("b", 60, s.names...)
	s.runUntil(5 * time.Second)
	start, busy := s.now, s.totalBusyTime()
	s.runUntil(25 * time.Second)
	if u := s.utilisation(start, busy); u < 0.95 {
		t.Errorf("utilisation is %.4f", u)
	}
	for _, target := range s.targets {
		if target.maxHeld > 6*(4+1) {
			t.Errorf("%s held %d requests at once", target.name, target.maxHeld)
		}
	}
	s.checkInvariants(t)
}

// TestServiceInOtherDataCentreIsCharged guards against counting service by data centre
// only. One workspace may use the targets of two data centres, another those of one. What
// the first receives in the other data centre counts, so both receive the same in total.
func TestServiceInOtherDataCentreIsCharged(t *testing.T) {
	shares := map[string]float64{"narrow": 1, "wide": 1}
	snapshot := fleetSpec{workspaces: shares, targetsPerDataCentre: 2, slots: 4, dataCentres: testDataCentres[:2]}.snapshot()
	narrow := snapshot.Declarations.Workspaces["narrow"]
	narrow.Targets = []string{"ikeja-0", "ikeja-1"}
	snapshot.Declarations.Workspaces["narrow"] = narrow
	s := newSim(10)
	s.startFleet(4, snapshot, Options{}, testDataCentres[:2]...)
	s.runUntil(time.Second)
	s.keepBacklogged("narrow", 40, "n0", "n1")
	s.keepBacklogged("wide", 40, "n0", "n1")
	s.runUntil(10 * time.Second)
	start, busy := s.now, s.totalBusyTime()
	meter := newGapMeter(shares)
	meter.sampleUntil(s, 60*time.Second)
	// One run of 1 s of each workspace, and the work that 16 slots do in the lag of the
	// exchange.
	const bound = 2*1 + 16*0.3
	t.Logf("maximum gap %.1f of %.1f slot seconds, utilisation %.4f", meter.maxGap(), bound, s.utilisation(start, busy))
	if meter.maxGap() > bound {
		t.Errorf("the gap reached %.1f slot seconds, want at most %.1f", meter.maxGap(), bound)
	}
	if u := s.utilisation(start, busy); u < 0.98 {
		t.Errorf("utilisation is %.4f", u)
	}
}

// TestLowCostHintGainsNothing guards against a workspace that gets more service because its
// cost hints are a hundredth of the actual cost of its requests.
func TestLowCostHintGainsNothing(t *testing.T) {
	s := newSim(2)
	shares := map[string]float64{"honest": 1, "low": 1}
	w := fleetSpec{workspaces: shares, targetsPerDataCentre: 2, slots: 4, dataCentres: testDataCentres[:1]}
	s.startFleet(3, w.snapshot(), Options{}, "ikeja")
	s.runUntil(time.Second)
	hint := func(d time.Duration) func(*RequestArrived) {
		return func(ev *RequestArrived) { ev.CostHint = d }
	}
	for range 400 {
		s.arrive("n0", "honest", "draft", time.Hour, hint(time.Second))
		s.arrive("n1", "low", "draft", time.Hour, hint(10*time.Millisecond))
	}
	s.runUntil(5 * time.Second)
	meter := newGapMeter(shares)
	meter.sampleUntil(s, 60*time.Second)
	if meter.maxGap() > 4 {
		t.Errorf("the gap reached %.1f slot seconds", meter.maxGap())
	}
}

// TestIdleTimeEarnsNoCredit guards against a workspace that, after a long time without
// requests, is compensated for the service that another one received meanwhile.
func TestIdleTimeEarnsNoCredit(t *testing.T) {
	s := newSim(3)
	shares := map[string]float64{"awake": 1, "sleeper": 1}
	s.startFleet(3, fleetSpec{workspaces: shares, targetsPerDataCentre: 1, slots: 4, dataCentres: testDataCentres[:1]}.snapshot(), Options{}, "ikeja")
	s.runUntil(time.Second)
	s.keepBacklogged("awake", 40, "n0")
	s.runUntil(30 * time.Second)
	s.keepBacklogged("sleeper", 40, "n1")
	s.runUntil(40 * time.Second)
	meter := newGapMeter(shares)
	meter.sampleUntil(s, 60*time.Second)
	if meter.maxGap() > 4 {
		t.Errorf("the gap reached %.1f slot seconds", meter.maxGap())
	}
}

// TestServiceInOtherPoolDelaysOnlyBriefly guards against a workspace that waits for long in
// one pool, behind the backlog of another workspace, because it receives much service in
// another pool.
func TestServiceInOtherPoolDelaysOnlyBriefly(t *testing.T) {
	s := newSim(4)
	shares := map[string]float64{"large": 1, "small": 1}
	snapshot := fleetSpec{workspaces: shares, targetsPerDataCentre: 4, slots: 8, dataCentres: testDataCentres[:1]}.snapshot()
	snapshot.Declarations.Pools["purge"] = config.Pool{Kind: config.KindService}
	snapshot.Declarations.Targets["purge-0"] = config.Target{Pool: "purge", DataCentre: "ikeja", Slots: 1}
	for name := range shares {
		ws := snapshot.Declarations.Workspaces[name]
		ws.Pools = append(ws.Pools, "purge")
		snapshot.Declarations.Workspaces[name] = ws
	}
	s.startFleet(3, snapshot, Options{}, "ikeja")
	s.runUntil(time.Second)
	s.keepBacklogged("large", 100, "n0")
	for range 60 {
		s.arrive("n1", "small", "purge", time.Hour)
	}
	s.runUntil(5 * time.Second)
	purge := s.arrive("n0", "large", "purge", time.Hour)
	s.runUntil(15 * time.Second)
	if !purge.done {
		t.Errorf("a purge waits for more than 10 s behind those of another workspace")
	}
}
