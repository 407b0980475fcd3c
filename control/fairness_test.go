package control

import (
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/config"
)

var centres = []string{"ikeja", "lekki", "yaba"}

func (s *sim) checkFaults(t *testing.T) {
	t.Helper()
	for _, f := range s.faults {
		t.Error(f)
	}
}

// keepBacklogged keeps count requests of a workspace waiting or running.
func (s *sim) keepBacklogged(workspace string, count int, nodes ...NodeID) {
	turn := 0
	arrive := func() {
		turn++
		s.arrive(nodes[turn%len(nodes)], workspace, "draft", time.Hour)
	}
	before := s.ended
	s.ended = func(r *simRequest) {
		before(r)
		if r.workspace == workspace {
			arrive()
		}
	}
	for range count {
		arrive()
	}
}

// serviceOf sums the slot time that a workspace received, runs in progress too.
func (s *sim) serviceOf(workspace string) time.Duration {
	var sum time.Duration
	for _, r := range s.requests {
		if r.workspace == workspace {
			sum += r.served
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

func (s *sim) utilisation(since Instant, busyBefore time.Duration) float64 {
	slots := 0
	for _, t := range s.targets {
		slots += t.slots
	}
	return float64(s.busy()-busyBefore) / float64(time.Duration(slots)*(s.now-since))
}

func (s *sim) busy() time.Duration {
	var sum time.Duration
	for _, t := range s.targets {
		s.account(t)
		sum += t.busy
	}
	return sum
}

// gapMeter follows the widest interval gap between workspaces: over every
// interval in which both are backlogged, the largest difference of what they
// received, in slot seconds per unit share.
type gapMeter struct {
	shares   map[string]float64
	low, top map[string]float64
}

func newGapMeter(shares map[string]float64) *gapMeter {
	return &gapMeter{shares: shares, low: make(map[string]float64), top: make(map[string]float64)}
}

func (g *gapMeter) sample(s *sim) {
	for x, xShare := range g.shares {
		for y, yShare := range g.shares {
			if x >= y {
				continue
			}
			d := s.serviceOf(x).Seconds()/xShare - s.serviceOf(y).Seconds()/yShare
			pair := x + " " + y
			if _, known := g.low[pair]; !known {
				g.low[pair], g.top[pair] = d, d
			}
			g.low[pair] = min(g.low[pair], d)
			g.top[pair] = max(g.top[pair], d)
		}
	}
}

func (g *gapMeter) widest() (gap float64) {
	for pair := range g.low {
		gap = max(gap, g.top[pair]-g.low[pair])
	}
	return gap
}

// watch samples the gap while time passes.
func (g *gapMeter) watch(s *sim, until Instant) {
	for s.now < until {
		s.runUntil(s.now + 100*time.Millisecond)
		g.sample(s)
	}
}

// TestFleetIsFairAndBusy has one workspace enter through one router only, one
// under-hint its cost, and one with a double share.
func TestFleetIsFairAndBusy(t *testing.T) {
	shares := map[string]float64{"a": 1, "b": 1, "c": 2, "d": 1}
	s := newSim(1)
	s.service = func(r *simRequest) time.Duration {
		if r.workspace == "b" {
			return 3 * time.Second // costs more than the others and says nothing
		}
		return time.Duration(200+s.rng.IntN(800)) * time.Millisecond
	}
	w := workload{workspaces: shares, perCentre: 3, slots: 4, centres: centres}
	s.fleet(9, w.snapshot(), Options{}, centres...)
	s.runUntil(2 * time.Second)
	s.keepBacklogged("a", 60, "n0")
	s.keepBacklogged("b", 60, "n1", "n5")
	s.keepBacklogged("c", 60, s.names...)
	s.keepBacklogged("d", 60, "n2", "n3", "n4")
	s.runUntil(10 * time.Second)
	start, busy := s.now, s.busy()
	meter := newGapMeter(shares)
	meter.watch(s, 70*time.Second)
	// The bound of the package doc: the runs in progress of both (at most a
	// fair half of the slots each, at their longest), and what all slots do
	// in the lag of the exchange.
	const slots, longest, lag = 36.0, 3.0, 0.3
	bound := 2*longest + slots*lag
	t.Logf("widest gap %.1f of %.1f slot seconds per share, utilisation %.4f", meter.widest(), bound, s.utilisation(start, busy))
	if meter.widest() > bound {
		t.Errorf("the gap reached %.1f slot seconds per share, over %.1f", meter.widest(), bound)
	}
	if u := s.utilisation(start, busy); u < 0.99 {
		t.Errorf("utilisation is %.4f", u)
	}
	s.checkFaults(t)
}

// TestOneEntryFillsEveryShard has one workspace enter through one router: no
// slot of any data centre idles while its requests wait.
func TestOneEntryFillsEveryShard(t *testing.T) {
	s := newSim(7)
	w := workload{workspaces: map[string]float64{"a": 1}, perCentre: 2, slots: 4, centres: centres}
	s.fleet(6, w.snapshot(), Options{}, centres...)
	s.runUntil(2 * time.Second)
	s.keepBacklogged("a", 60, "n0")
	s.runUntil(3 * time.Second)
	start, busy := s.now, s.busy()
	s.runUntil(20 * time.Second)
	if u := s.utilisation(start, busy); u < 0.99 {
		t.Errorf("utilisation is %.4f", u)
	}
}

// TestAloneIsBusyToo runs the baseline: every router schedules for itself.
func TestAloneIsBusyToo(t *testing.T) {
	s := newSim(8)
	w := workload{workspaces: map[string]float64{"a": 1, "b": 1}, perCentre: 2, slots: 4, centres: centres}
	s.fleet(6, w.snapshot(), Options{Policy: PolicyAlone}, centres...)
	s.runUntil(2 * time.Second)
	s.keepBacklogged("a", 60, "n0")
	s.keepBacklogged("b", 60, s.names...)
	s.runUntil(5 * time.Second)
	start, busy := s.now, s.busy()
	s.runUntil(25 * time.Second)
	if u := s.utilisation(start, busy); u < 0.95 {
		t.Errorf("utilisation is %.4f", u)
	}
	for _, target := range s.targets {
		if target.mostActive > 6*(4+1) {
			t.Errorf("%s held %d requests at once", target.name, target.mostActive)
		}
	}
	s.checkFaults(t)
}

// TestServiceElsewhereIsCharged has one workspace reach the targets of two data
// centres and another those of one: what the first gets in the other data
// centre counts, so both get the same.
func TestServiceElsewhereIsCharged(t *testing.T) {
	shares := map[string]float64{"narrow": 1, "wide": 1}
	snapshot := workload{workspaces: shares, perCentre: 2, slots: 4, centres: centres[:2]}.snapshot()
	narrow := snapshot.Declarations.Workspaces["narrow"]
	narrow.Targets = []string{"ikeja-0", "ikeja-1"}
	snapshot.Declarations.Workspaces["narrow"] = narrow
	s := newSim(10)
	s.fleet(4, snapshot, Options{}, centres[:2]...)
	s.runUntil(time.Second)
	s.keepBacklogged("narrow", 40, "n0", "n1")
	s.keepBacklogged("wide", 40, "n0", "n1")
	s.runUntil(10 * time.Second)
	start, busy := s.now, s.busy()
	meter := newGapMeter(shares)
	meter.watch(s, 60*time.Second)
	// Runs of 1 s, one more or less of each, and what 16 slots do in the lag of
	// the exchange.
	const bound = 2*1 + 16*0.3
	t.Logf("widest gap %.1f of %.1f, utilisation %.4f", meter.widest(), bound, s.utilisation(start, busy))
	if meter.widest() > bound {
		t.Errorf("the gap reached %.1f slot seconds, over %.1f", meter.widest(), bound)
	}
	if u := s.utilisation(start, busy); u < 0.98 {
		t.Errorf("utilisation is %.4f", u)
	}
}

// TestHintsGainNothing gives two workspaces the same requests; one says that
// each costs a hundredth of the truth.
func TestHintsGainNothing(t *testing.T) {
	s := newSim(2)
	shares := map[string]float64{"honest": 1, "low": 1}
	w := workload{workspaces: shares, perCentre: 2, slots: 4, centres: centres[:1]}
	s.fleet(3, w.snapshot(), Options{}, "ikeja")
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
	meter.watch(s, 60*time.Second)
	if meter.widest() > 4 {
		t.Errorf("the gap reached %.1f slot seconds", meter.widest())
	}
}

// TestIdlenessBanksNoCredit lets a workspace sleep while another is served.
func TestIdlenessBanksNoCredit(t *testing.T) {
	s := newSim(3)
	shares := map[string]float64{"awake": 1, "sleeper": 1}
	s.fleet(3, workload{workspaces: shares, perCentre: 1, slots: 4, centres: centres[:1]}.snapshot(), Options{}, "ikeja")
	s.runUntil(time.Second)
	s.keepBacklogged("awake", 40, "n0")
	s.runUntil(30 * time.Second)
	s.keepBacklogged("sleeper", 40, "n1")
	s.runUntil(40 * time.Second)
	meter := newGapMeter(shares)
	meter.watch(s, 60*time.Second)
	if meter.widest() > 4 {
		t.Errorf("the gap reached %.1f slot seconds", meter.widest())
	}
}

// TestServiceElsewhereStarvesNobody has a workspace that is served a lot in one
// pool while others fill another pool that it needs too.
func TestServiceElsewhereStarvesNobody(t *testing.T) {
	s := newSim(4)
	shares := map[string]float64{"large": 1, "small": 1}
	snapshot := workload{workspaces: shares, perCentre: 4, slots: 8, centres: centres[:1]}.snapshot()
	snapshot.Declarations.Pools["purge"] = config.Pool{Kind: config.KindService}
	snapshot.Declarations.Targets["purge-0"] = config.Target{Pool: "purge", DataCentre: "ikeja", Slots: 1}
	for name := range shares {
		ws := snapshot.Declarations.Workspaces[name]
		ws.Pools = append(ws.Pools, "purge")
		snapshot.Declarations.Workspaces[name] = ws
	}
	s.fleet(3, snapshot, Options{}, "ikeja")
	s.runUntil(time.Second)
	s.keepBacklogged("large", 100, "n0")
	for range 60 {
		s.arrive("n1", "small", "purge", time.Hour)
	}
	s.runUntil(5 * time.Second)
	purge := s.arrive("n0", "large", "purge", time.Hour)
	s.runUntil(15 * time.Second)
	if !purge.done {
		t.Errorf("a purge waits for more than 10s behind another workspace's")
	}
}
