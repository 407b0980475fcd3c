package balance

import (
	"math/rand/v2"
	"testing"
	"time"
)

// A small router gets up to 1,500 attempts per second. Demand comes in waves of 11 to 15 s, so
// what cannot be offloaded within a second of their beginning is a tenth of them.
const (
	floodPerSecond = 1500
	rampTime       = time.Second
	mostOfThem     = 0.9
)

// TestOneFloodedSourceAndManyIdleExecutors guards against refusals at one router while others have
// processor time to spare.
func TestOneFloodedSourceAndManyIdleExecutors(t *testing.T) {
	m := newModel(1, idle(20, 0.4)...)
	m.sources[0].perSecond = floodPerSecond
	m.run(rampTime)
	m.checkPart(t, "after a second", mostOfThem, 5*time.Second, m.sources[0])
	m.checkLag(t, reductionLag)
}

// TestOneFloodedSourceAndManySmallExecutors guards against a source that keeps too few links for what it
// refuses: none of the routers that have time to spare is larger than it.
func TestOneFloodedSourceAndManySmallExecutors(t *testing.T) {
	m := newModel(1, idle(22, 0.192)...)
	m.sources[0].perSecond = floodPerSecond
	m.run(rampTime)
	m.checkPart(t, "after a second", mostOfThem, 5*time.Second, m.sources[0])
	m.checkLag(t, reductionLag)
}

// TestSourceThatRefusalsKeepLateStillOffers guards against a source whose callers get nothing, as refusing
// them alone keeps it late.
func TestSourceThatRefusalsKeepLateStillOffers(t *testing.T) {
	limiter := NewLimiter()
	without := 0
	for range 100 {
		limiter.Measure(time.Second, true)
		if limiter.Fraction() < 0.01 {
			without++
		}
	}
	if without > 10 {
		t.Errorf("nothing was offered for %d of 100 measurements", without)
	}
	if offered := limiter.Fraction() * floodPerSecond; offered < 100 {
		t.Errorf("%.0f of %d requests a second are offered", offered, floodPerSecond)
	}
	if limiter.Fraction() > 0.5 {
		t.Errorf("%.2f of the requests are offered by a source that is late", limiter.Fraction())
	}
}

// TestSourcesFloodedOneAfterTheOther guards against executors that stay reserved for a source whose
// flood is over.
func TestSourcesFloodedOneAfterTheOther(t *testing.T) {
	m := newModel(3, idle(5, 0.6)...)
	for _, s := range m.sources {
		s.perSecond = floodPerSecond
		m.run(rampTime)
		m.checkPart(t, "after a second", mostOfThem, 3*time.Second, s)
		s.perSecond = 0
		m.checkLag(t, reductionLag)
	}
}

// TestAllRoutersOfADataCentreFlooded guards against work that is passed on between routers that
// all shed, and against sources that dial them again and again.
func TestAllRoutersOfADataCentreFlooded(t *testing.T) {
	m := newModel(10, idle(20, 0.4)...)
	for _, e := range m.executors {
		e.closed, e.ownWork = true, 1.5
	}
	for _, s := range m.sources {
		s.perSecond = floodPerSecond
	}
	const duration = 13 * time.Second
	if part := m.offloadedPart(m.sources, duration); part > 0 {
		t.Errorf("%.3f of the requests were offloaded to routers that shed", part)
	}
	const maxDialsPerSecond = 2 * maxExecutors
	for _, s := range m.sources {
		if float64(s.dials) > maxDialsPerSecond*duration.Seconds() {
			t.Errorf("a source dialled %d times in %s", s.dials, duration)
		}
	}
}

// TestExecutorGetsSlow guards against a source that goes on using an executor whose own callers
// need its processor, and against an executor that is kept late by other routers' requests.
func TestExecutorGetsSlow(t *testing.T) {
	m := newModel(1, idle(6, 0.6)...)
	m.sources[0].perSecond = 1000
	m.run(2 * time.Second)
	m.executors[0].ownWork, m.executors[1].ownWork = 0.95, 0.95
	m.run(2 * time.Second)
	m.checkPart(t, "after two seconds", mostOfThem, 3*time.Second, m.sources[0])
	m.checkLag(t, 2*reductionLag)
}

// TestWaves guards against executors that start from the lowest rate with each wave.
func TestWaves(t *testing.T) {
	m := newModel(4, idle(12, 0.4)...)
	for _, wave := range []time.Duration{11, 15, 12, 13} {
		for _, s := range m.sources {
			s.perSecond = 700
		}
		m.run(rampTime)
		m.checkPart(t, "after the first second of a wave", mostOfThem, (wave/2-1)*time.Second, m.sources...)
		m.checkLag(t, reductionLag)
		for _, s := range m.sources {
			s.perSecond = 0
		}
		m.run(wave / 2 * time.Second)
	}
}

// TestExecutorsComeAndGo guards against sources that lose all executors when one leaves.
func TestExecutorsComeAndGo(t *testing.T) {
	m := newModel(3, idle(12, 0.6)...)
	for _, s := range m.sources {
		s.perSecond = 500
	}
	m.run(2 * time.Second)
	for n := range 12 {
		m.executors[n].removed = true
		m.executors[(n+9)%12].removed = false
		m.membersChanged()
		m.checkPart(t, "while members change", mostOfThem, 2*time.Second, m.sources...)
	}
}

// TestNoHerdOntoOneExecutor guards against sources that turn hot at once and use what each was
// granted before: the executor must not get more than its rate and one request of each.
func TestNoHerdOntoOneExecutor(t *testing.T) {
	const sources = 40
	m := newModel(sources, 0.4)
	heat := func(perSecond float64, sources ...*modelSource) {
		for _, s := range sources {
			s.perSecond = perSecond
		}
	}
	for _, s := range m.sources { // each leaves allowance unused
		heat(floodPerSecond, s)
		m.run(rampTime)
		heat(0, s)
		m.run(step)
	}
	m.run(5 * time.Second)
	heat(200, m.sources...)
	before, allowed := m.sent(), m.executors[0].pacer.Rate()*window.Seconds()+sources*idleAllowance
	for range 20 {
		m.run(step)
		allowed += m.executors[0].pacer.Rate() * step.Seconds()
		if got := float64(m.sent() - before); got > allowed {
			t.Fatalf("%.0f requests were sent where %.0f are allowed", got, allowed)
		}
	}
}

// TestIdleSourcesTakeNoShare guards against an executor that reserves most of its rate for sources
// that have links and send nothing.
func TestIdleSourcesTakeNoShare(t *testing.T) {
	m := newModel(60, 0.8)
	for _, s := range m.sources {
		s.perSecond = 20
	}
	m.run(rampTime)
	for _, s := range m.sources[1:] {
		s.perSecond = 0
	}
	m.sources[0].perSecond = 500
	m.run(rampTime)
	m.checkPart(t, "the only source with load", mostOfThem, 3*time.Second, m.sources[0])
}

// sent returns the number of requests sent.
func (m *model) sent() int {
	sent := 0
	for _, s := range m.sources {
		sent += s.offloads
	}
	return sent
}

// TestSmallSourceBesideALargeOne guards against a source that takes the whole rate of an executor.
func TestSmallSourceBesideALargeOne(t *testing.T) {
	m := newModel(2, 0.2)
	m.sources[0].perSecond, m.sources[1].perSecond = floodPerSecond, 20
	m.run(rampTime)
	m.checkPart(t, "the small source", mostOfThem, 5*time.Second, m.sources[1])
}

// TestFewDescriptorsBoundOpenRequests guards against offloaded requests that take the descriptors
// of an executor's own callers.
func TestFewDescriptorsBoundOpenRequests(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	for range 200 {
		descriptors := 12 + random.IntN(400)
		p := NewPacer(0.8, descriptors)
		demands := make([]Demand, 1+random.IntN(8))
		for now := time.Duration(0); now < 5*time.Second; now += step {
			for i := range demands {
				demands[i].Link = uint64(i)
				demands[i].Wanted += uint64(random.IntN(100))
			}
			total := 0
			for i, grant := range p.Step(now, Load{}, demands) {
				if grant.MaxOpen > descriptors/sourceOpenDivisor {
					t.Fatalf("%d open requests of one source with %d descriptors", grant.MaxOpen, descriptors)
				}
				sent := max(0, min(grant.More, grant.MaxOpen-demands[i].Open))
				demands[i].Sent += uint64(sent)
				demands[i].Wanted += uint64(sent)
				demands[i].Open += sent
				total += demands[i].Open
			}
			if total > descriptors/totalOpenDivisor {
				t.Fatalf("%d open requests with %d descriptors", total, descriptors)
			}
		}
	}
}

// TestExecutorWithoutRoomAcceptsNothing guards against requests for a router that sheds, drains or
// is short of memory or descriptors.
func TestExecutorWithoutRoomAcceptsNothing(t *testing.T) {
	for _, load := range []Load{{Closed: true}, {BytesUsed: 0.76}, {DescriptorsUsed: 0.76}} {
		p := NewPacer(0.8, 4100)
		p.Step(0, Load{}, []Demand{{Link: 1, Wanted: 50}})
		if grant := p.Step(step, load, []Demand{{Link: 1, Wanted: 100}})[0]; grant != (Grant{}) {
			t.Errorf("%+v: granted %+v", load, grant)
		}
		if grant := p.Step(2*step, Load{}, []Demand{{Link: 1, Wanted: 150}})[0]; grant.More == 0 || grant.MaxOpen == 0 {
			t.Errorf("%+v has ended: granted %+v", load, grant)
		}
	}
}

// TestRateStaysWithinItsLimits guards against an executor that accepts more than the page allows
// while it is idle, or that never accepts anything again after it was late.
func TestRateStaysWithinItsLimits(t *testing.T) {
	p := NewPacer(0.5, 0)
	demand := Demand{Link: 1}
	steps := func(lag time.Duration, count int) {
		for range count {
			demand.Wanted += 1000
			grant := p.Step(p.steppedAt+step, Load{Lag: lag}, []Demand{demand})[0]
			demand.Sent += uint64(grant.More)
		}
	}
	if p.Rate() != 125 {
		t.Errorf("initial rate %v", p.Rate())
	}
	if steps(0, 100); p.Rate() != 750 {
		t.Errorf("rate %v after 5 s without lag", p.Rate())
	}
	if steps(6*time.Millisecond, 4); p.Rate() != 500 {
		t.Errorf("rate %v after 200 ms of lag", p.Rate())
	}
	steps(6*time.Millisecond, 400)
	if steps(0, 100); p.Rate() != 750 {
		t.Errorf("rate %v after 5 s without lag", p.Rate())
	}
}
