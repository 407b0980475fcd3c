package speed

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// testTarget is a target with a lasting speed whose work takes 2.5 times as long for 0.6 s of each
// 4 s, and its estimate.
type testTarget struct {
	lasting float64
	// percentHasLasting reports that its readings contain the lasting speed.
	percentHasLasting bool
	// firstSlow is when its first slow period begins.
	firstSlow time.Duration
	estimate  *Estimate
}

const (
	slowPeriod = 4 * time.Second
	slowFor    = 600 * time.Millisecond
	slowFactor = 2.5
)

func (t *testTarget) passing(now time.Duration) float64 {
	if now >= t.firstSlow && (now-t.firstSlow)%slowPeriod < slowFor {
		return slowFactor
	}
	return 1
}

func (t *testTarget) read(now time.Duration) {
	value := t.passing(now)
	if t.percentHasLasting {
		value *= t.lasting
	}
	t.estimate.Read(now, Reading{Running: 3, Slots: 12, Percent: int(math.Round(100 * value))})
}

// run passes the time with a reading each 20 ms and a run of 40 ms each 100 ms.
func (t *testTarget) run(from, to time.Duration, rng *rand.Rand) {
	for now := from; now < to; now += 20 * time.Millisecond {
		t.read(now)
		if (now-from)%(100*time.Millisecond) != 0 {
			continue
		}
		t.estimate.Granted(now)
		began := t.estimate.Mark(now - 40*time.Millisecond)
		noise := 0.8 + 0.4*rng.Float64()
		t.estimate.Learn(now, Run{Since: began, Took: 0.04 * noise * t.lasting * t.passing(now), Expected: 0.04, Running: 3, Slots: 12, Weight: 1})
	}
}

// testFleet is a pool with a quarter of slow targets.
func testFleet(percentHasLasting bool) ([]*testTarget, *Pool) {
	pool := NewPool()
	var fleet []*testTarget
	for i := range 16 {
		t := &testTarget{lasting: 1, percentHasLasting: percentHasLasting, firstSlow: time.Duration(i) * slowPeriod / 16, estimate: NewEstimate(pool)}
		if i%4 == 0 {
			t.lasting = 2.2
		}
		fleet = append(fleet, t)
	}
	return fleet, pool
}

func runFleet(fleet []*testTarget, pool *Pool, length time.Duration) {
	rng := rand.New(rand.NewPCG(1, 1))
	for now := time.Duration(0); now < length; now += 100 * time.Millisecond {
		var estimates []*Estimate
		for _, t := range fleet {
			t.run(now, now+100*time.Millisecond, rng)
			estimates = append(estimates, t.estimate)
		}
		pool.SetUsual(estimates)
	}
}

// checkFactors checks the factors of a fleet right after readings.
func checkFactors(t *testing.T, percentHasLasting bool, length time.Duration) {
	t.Helper()
	fleet, pool := testFleet(percentHasLasting)
	runFleet(fleet, pool, length)
	off := 0.0
	for _, target := range fleet {
		target.read(length)
		want := target.lasting * target.passing(length)
		off += math.Abs(target.estimate.Factor(length)/want-1) / float64(len(fleet))
	}
	if off > 0.1 {
		t.Errorf("after %s the factors are off by %.0f %% on average", length, 100*off)
	}
}

// TestReadingsWithoutLastingSpeed guards against a lasting slowness that is missed because the
// targets report only how they differ from their own usual speed. A new scheduler has to find it
// within a second.
func TestReadingsWithoutLastingSpeed(t *testing.T) {
	checkFactors(t, false, time.Second)
	checkFactors(t, false, 20*time.Second)
}

// TestReadingsWithLastingSpeed guards against a lasting slowness that is counted twice, in the
// reading and in what is learned from runs.
func TestReadingsWithLastingSpeed(t *testing.T) {
	checkFactors(t, true, time.Second)
	checkFactors(t, true, 20*time.Second)
}

// TestLengthOfDeviationsIsLearned guards against a deviation that is assumed to last much longer
// or shorter than those before it: half of 0.6 s is left on average.
func TestLengthOfDeviationsIsLearned(t *testing.T) {
	fleet, pool := testFleet(false)
	if pool.decay != initialDecay.Seconds() {
		t.Errorf("time constant %.3f s before any deviation, want 0.3", pool.decay)
	}
	runFleet(fleet, pool, 20*time.Second)
	if math.Abs(pool.decay-slowFor.Seconds()/2) > 0.05 {
		t.Errorf("time constant %.3f s after deviations of 0.6 s, want 0.3", pool.decay)
	}
}

// TestDeviationAffectsOnlyNearFuture guards against a passing slowness that counts for the whole
// of work that takes longer than it lasts.
func TestDeviationAffectsOnlyNearFuture(t *testing.T) {
	e := NewEstimate(NewPool())
	e.Read(time.Second, Reading{Slots: 8, Percent: 100})
	e.Read(1050*time.Millisecond, Reading{Slots: 8, Percent: 250})
	now := 1050 * time.Millisecond
	if got := e.Stretch(now, 0.02); math.Abs(got-0.05) > 0.003 {
		t.Errorf("work of 20 ms takes %.3f s, want 0.05", got)
	}
	if got := e.Stretch(now, 2); got > 2.3 {
		t.Errorf("work of 2 s takes %.2f s beside a deviation of 0.6 s", got)
	}
	if got := e.Passing(now + 2*time.Second); got > 1.01 {
		t.Errorf("passing factor %.2f two seconds after the reading", got)
	}
}

// TestStretchAndShrinkAreInverse guards against progress of work that does not match the time
// predicted for it.
func TestStretchAndShrinkAreInverse(t *testing.T) {
	for _, work := range []float64{0.001, 0.1, 1, 8.9, 9.1, 1000} {
		for _, excess := range []float64{0.1, 1.5, 20} {
			if got := shrink(stretch(work, excess, 0.3), excess, 0.3); math.Abs(got-work) > 1e-6*work+1e-9 {
				t.Errorf("work %v at excess %v: %v", work, excess, got)
			}
		}
	}
}

// TestTargetThatBecameFast guards against a rush to a target that reports to be faster than it
// usually is.
func TestTargetThatBecameFast(t *testing.T) {
	e := NewEstimate(NewPool())
	for now := time.Duration(0); now < 3*time.Second; now += 20 * time.Millisecond {
		e.Read(now, Reading{Slots: 8, Percent: 100})
	}
	e.Read(3*time.Second, Reading{Slots: 8, Percent: 40})
	if got := e.Factor(3 * time.Second); got < 0.99 {
		t.Errorf("factor %.2f after one fast reading, want 1", got)
	}
}

// TestFullTargetsAreSlower guards against a target that is filled up as if that had no effect:
// the slope is learned from runs, and grants since the reading count.
func TestFullTargetsAreSlower(t *testing.T) {
	rng := rand.New(rand.NewPCG(2, 2))
	e := NewEstimate(NewPool())
	for i := range 1000 {
		now := time.Duration(i) * 20 * time.Millisecond
		e.Read(now, Reading{Slots: 12, Percent: 100})
		running := rng.IntN(13)
		e.Learn(now, Run{Since: e.Mark(now - 10*time.Millisecond), Took: 0.1 * (1 + 0.5*float64(running)/12) * (0.9 + 0.2*rng.Float64()), Expected: 0.1, Running: running, Slots: 12, Weight: 1})
	}
	if ratio := e.Fill(12, 12) / e.Fill(0, 12); math.Abs(ratio-1.5) > 0.12 {
		t.Errorf("a full target is %.2f times as slow as an empty one, want 1.5", ratio)
	}
	before := e.Fill(0, 12)
	for range 6 {
		e.Granted(20 * time.Second)
	}
	if e.Fill(0, 12) <= before {
		t.Error("grants since the reading do not count")
	}
}

// TestReadingsOutOfOrder guards against an old reading that replaces a newer one, and against
// readings without a speed that count as fast.
func TestReadingsOutOfOrder(t *testing.T) {
	e := NewEstimate(NewPool())
	e.Read(2*time.Second, Reading{Slots: 8, Percent: 250})
	if e.Read(time.Second, Reading{Slots: 8, Percent: 100}) || e.Read(3*time.Second, Reading{Slots: 8}) {
		t.Error("an old reading, or one without a speed, was used")
	}
	if got := e.Passing(2 * time.Second); math.Abs(got-2.5) > 0.01 {
		t.Errorf("passing factor %.2f, want 2.5", got)
	}
}

// TestOutlierRuns guards against a stalled run that makes a target count as slow for long.
func TestOutlierRuns(t *testing.T) {
	e := NewEstimate(NewPool())
	for i := range 50 {
		now := time.Duration(i) * 20 * time.Millisecond
		e.Read(now, Reading{Slots: 8, Percent: 100})
		e.Learn(now, Run{Since: e.Mark(now - 10*time.Millisecond), Took: 0.05, Expected: 0.05, Slots: 8, Weight: 1})
	}
	e.Learn(time.Second, Run{Since: e.Mark(time.Second - time.Millisecond), Took: 60, Expected: 0.05, Slots: 8, Weight: 1})
	if got := e.Lasting(time.Second); got > 1.15 {
		t.Errorf("lasting factor %.2f after one stalled run", got)
	}
}

// TestIdleTargetIsTriedAgain guards against a target that was taken for slow by mistake and then gets
// no requests, so that nothing corrects it. One request is enough to know that it is slow.
func TestIdleTargetIsTriedAgain(t *testing.T) {
	fleet, pool := testFleet(false)
	runFleet(fleet, pool, 5*time.Second)
	slow := fleet[0].estimate
	if got := slow.Lasting(5*time.Second + 2*time.Second); got < 1.5 {
		t.Errorf("lasting factor %.2f of a slow target after 2 s without requests", got)
	}
	if got := slow.Lasting(30 * time.Second); got > 1.05 {
		t.Errorf("lasting factor %.2f of a slow target after 25 s without requests, want that of a fast one", got)
	}
	slow.Granted(30 * time.Second)
	if got := slow.Lasting(30 * time.Second); got < 2 {
		t.Errorf("lasting factor %.2f of a slow target that was just sent a request", got)
	}
}

// BenchmarkRead measures what one response costs its scheduler: a reading, as it changes.
func BenchmarkRead(b *testing.B) {
	e := NewEstimate(NewPool())
	percents := []int{100, 104, 250, 97, 240, 100, 101, 99}
	b.ReportAllocs()
	for i := range b.N {
		e.Read(time.Duration(i)*10*time.Millisecond, Reading{Running: 3, Slots: 12, Percent: percents[i%len(percents)]})
	}
}

// BenchmarkLearn measures what one start costs in addition.
func BenchmarkLearn(b *testing.B) {
	e := NewEstimate(NewPool())
	e.Read(0, Reading{Slots: 12, Percent: 250})
	b.ReportAllocs()
	for i := range b.N {
		now := time.Duration(i) * time.Millisecond
		e.Learn(now, Run{Since: Mark{at: now - time.Millisecond, progress: e.progress}, Took: 0.05, Expected: 0.04, Running: i % 12, Slots: 12, Weight: 1})
	}
}

// BenchmarkFactor measures the prediction for one target whose speed deviates.
func BenchmarkFactor(b *testing.B) {
	e := NewEstimate(NewPool())
	e.Read(0, Reading{Slots: 12, Percent: 100})
	e.Read(10*time.Millisecond, Reading{Slots: 12, Percent: 250})
	for i := range b.N {
		e.Stretch(10*time.Millisecond+time.Duration(i%1000)*time.Microsecond, 0.05)
	}
}

// BenchmarkSetUsual measures the median of 1,000 targets, which is computed ten times a second.
func BenchmarkSetUsual(b *testing.B) {
	pool := NewPool()
	rng := rand.New(rand.NewPCG(3, 3))
	var estimates []*Estimate
	for range 1000 {
		e := NewEstimate(pool)
		e.cost = 0.5 + rng.Float64()
		estimates = append(estimates, e)
	}
	for b.Loop() {
		pool.SetUsual(estimates)
	}
}
