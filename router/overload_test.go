package router

import (
	"log/slog"
	"testing"
	"time"
)

// TestOverloadNeedsLastingLag: one late tick is no overload, lasting lateness is,
// and it ends only after a pause.
func TestOverloadNeedsLastingLag(t *testing.T) {
	o := &overload{log: slog.New(slog.DiscardHandler), crowded: func() bool { return false }}
	now := time.Now()
	measure := func(late time.Duration, times int) {
		for range times {
			now = now.Add(lagEvery + late)
			o.measure(now, late)
		}
	}
	measure(100*time.Millisecond, 1)
	if o.on.Load() {
		t.Error("one late tick counts as overload")
	}
	measure(100*time.Millisecond, 10)
	if !o.on.Load() {
		t.Error("lasting lateness is no overload")
	}
	measure(0, 15)
	if !o.on.Load() {
		t.Error("the overload ended before the balancer had seen it")
	}
	measure(0, 60)
	if o.on.Load() {
		t.Error("the overload does not end")
	}
}

// TestCrowdIsOverload: a want of descriptors counts at once.
func TestCrowdIsOverload(t *testing.T) {
	crowded := true
	o := &overload{log: slog.New(slog.DiscardHandler), crowded: func() bool { return crowded }}
	o.measure(time.Now(), 0)
	if !o.on.Load() {
		t.Error("a crowded router asks for more connections")
	}
}

// shedShare is the part of 2000 requests that are shed.
func shedShare(o *overload, kept bool) float64 {
	shed := 0
	for range 2000 {
		if o.sheds(kept) {
			shed++
		}
	}
	return float64(shed) / 2000
}

// TestShedsMoreTheLaterItRuns: on connections that are kept, nothing while it runs in time,
// all when it is far behind.
func TestShedsMoreTheLaterItRuns(t *testing.T) {
	o := &overload{log: slog.New(slog.DiscardHandler), crowded: func() bool { return false }}
	for _, c := range []struct {
		lag         time.Duration
		least, most float64
	}{
		{0, 0, 0},
		{shedKeptFrom, 0, 0},
		{shedKeptFrom + shedKeptSpan/2, 0.4, 0.6},
		{shedKeptFrom + shedKeptSpan, 1, 1},
		{time.Second, 1, 1},
	} {
		o.average.Store(int64(c.lag))
		if got := shedShare(o, true); got < c.least || got > c.most {
			t.Errorf("%.2f shed at a lag of %s", got, c.lag)
		}
	}
}

// TestShedsUntilItRunsInTime: on new connections, nothing while it runs in time, all soon
// after it has fallen far behind, the same part for as long as it is as late as it should be,
// and nothing soon after that.
func TestShedsUntilItRunsInTime(t *testing.T) {
	o := &overload{log: slog.New(slog.DiscardHandler), crowded: func() bool { return false }}
	now := time.Now()
	drive(o, &now, shedTarget, time.Second)
	if got := shedShare(o, false); got > 0 {
		t.Errorf("%.2f shed in time", got)
	}
	drive(o, &now, time.Second, 250*time.Millisecond)
	if got := shedShare(o, false); got < 1 {
		t.Errorf("%.2f shed far behind", got)
	}
	drive(o, &now, 0, 250*time.Millisecond)
	drive(o, &now, shedTarget, time.Second)
	if got := shedShare(o, false); got < 0.3 || got > 0.7 {
		t.Errorf("%.2f shed halfway, as late as it should be", got)
	}
	drive(o, &now, 0, 500*time.Millisecond)
	if got := shedShare(o, false); got > 0 {
		t.Errorf("%.2f shed after the flood", got)
	}
}

// drive measures a lateness for a while, every lagEvery.
func drive(o *overload, now *time.Time, late, span time.Duration) {
	for end := now.Add(span); now.Before(end); {
		*now = now.Add(lagEvery)
		o.measure(*now, late)
	}
}

// TestReleasesOnlyWhatGoesElsewhere: a late router closes connections with their answers
// once new ones lead to others, and keeps those that it serves in time.
func TestReleasesOnlyWhatGoesElsewhere(t *testing.T) {
	o := &overload{log: slog.New(slog.DiscardHandler), crowded: func() bool { return false }}
	now := time.Now()
	released := func() int {
		count := 0
		for range 1000 {
			if o.releases() {
				count++
			}
		}
		return count
	}
	drive(o, &now, 100*time.Millisecond, time.Second)
	if !o.on.Load() || released() > 0 {
		t.Errorf("overloaded: %v; %d of 1000 released before the balancer turned away", o.on.Load(), released())
	}
	drive(o, &now, 100*time.Millisecond, turnedAwayAfter)
	if got := released(); got < 900 {
		t.Errorf("%d of 1000 released while far behind", got)
	}
	drive(o, &now, releaseFrom/2, time.Second)
	if got := released(); !o.on.Load() || got > 0 {
		t.Errorf("overloaded: %v; %d of 1000 released while in time", o.on.Load(), got)
	}
}

// TestPauseGrowsWhileReturnsOverload: a router whose kept callers fill it stays away for
// longer each time that its return brought too many, and forgets that after calm.
func TestPauseGrowsWhileReturnsOverload(t *testing.T) {
	o := &overload{log: slog.New(slog.DiscardHandler), crowded: func() bool { return false }}
	now := time.Now()
	for _, want := range []time.Duration{minPause, 2 * minPause, 4 * minPause, maxPause, maxPause} {
		drive(o, &now, 100*time.Millisecond, time.Second)
		if !o.on.Load() || o.pause != want {
			t.Errorf("overloaded: %v; rests for %s, want %s", o.on.Load(), o.pause, want)
		}
		drive(o, &now, 0, want+time.Second)
		if o.on.Load() {
			t.Errorf("still away after %s", want)
		}
	}
	drive(o, &now, 0, 2*pauseKept)
	drive(o, &now, 100*time.Millisecond, time.Second)
	if o.pause != minPause {
		t.Errorf("rests for %s after calm, want %s", o.pause, minPause)
	}
}

// TestPauseOfTheProcessRefusesNothing guards against refusing requests after the process stood
// still, or had no processor for a moment, though it runs in time again.
func TestPauseOfTheProcessRefusesNothing(t *testing.T) {
	for _, pause := range []time.Duration{100 * time.Millisecond, 400 * time.Millisecond, 6 * time.Second} {
		for late := 1; late <= 3; late++ {
			o := &overload{log: slog.New(slog.DiscardHandler), crowded: func() bool { return false }}
			now := time.Now()
			drive(o, &now, 0, time.Second)
			for range late {
				drive(o, &now, pause, lagEvery)
				refusesNothingKept(t, o, pause, late)
			}
			for range 20 {
				drive(o, &now, 0, lagEvery)
				refusesNothingKept(t, o, pause, late)
			}
		}
	}
}

func refusesNothingKept(t *testing.T, o *overload, pause time.Duration, late int) {
	t.Helper()
	if got := shedShare(o, true); got > 0 || o.on.Load() {
		t.Fatalf("%d measures of %s: %.2f shed, no new connections: %v", late, pause, got, o.on.Load())
	}
}

// TestTakesAllOnceInTime guards against refusing requests on kept connections when the router
// runs in time again after it was late for long.
func TestTakesAllOnceInTime(t *testing.T) {
	o := &overload{log: slog.New(slog.DiscardHandler), crowded: func() bool { return false }}
	now := time.Now()
	drive(o, &now, time.Second, 2*time.Second)
	if got := shedShare(o, true); got < 1 {
		t.Errorf("%.2f shed far behind", got)
	}
	drive(o, &now, 0, 2*lagEvery)
	if got := shedShare(o, true); got > 0 {
		t.Errorf("%.2f shed when it runs in time again", got)
	}
}

// TestOneLateMeasureRefusesNoNewConnection guards against refusing requests on new connections
// after the process stood still once.
func TestOneLateMeasureRefusesNoNewConnection(t *testing.T) {
	o := &overload{log: slog.New(slog.DiscardHandler), crowded: func() bool { return false }}
	now := time.Now()
	drive(o, &now, 0, time.Second)
	drive(o, &now, 6*time.Second, lagEvery)
	for n := range 20 {
		if got := shedShare(o, false); got > 0 {
			t.Fatalf("%.2f shed %d measures later", got, n)
		}
		drive(o, &now, 0, lagEvery)
	}
}

// TestFewCallersAreNotRefused guards against refusing the requests of a few callers when the
// processor is taken by other processes.
func TestFewCallersAreNotRefused(t *testing.T) {
	callers := fewCallers
	o := &overload{
		log:     slog.New(slog.DiscardHandler),
		crowded: func() bool { return false },
		callers: func() int { return callers },
	}
	now := time.Now()
	drive(o, &now, time.Second, time.Second)
	if got, onNew := shedShare(o, true), shedShare(o, false); got+onNew > 0 {
		t.Errorf("%.2f shed on kept connections and %.2f on new ones, of %d callers", got, onNew, callers)
	}
	callers = fewCallers + 1
	if got, onNew := shedShare(o, true), shedShare(o, false); got < 1 || onNew < 1 {
		t.Errorf("%.2f shed on kept connections and %.2f on new ones, of %d callers", got, onNew, callers)
	}
}
