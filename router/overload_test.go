package router

import (
	"log/slog"
	"testing"
	"time"
)

// TestOverloadNeedsLastingLag checks that one late tick is no overload, that lasting lag
// is, and that the overload ends only after a pause.
func TestOverloadNeedsLastingLag(t *testing.T) {
	o := &overload{log: slog.New(slog.DiscardHandler), hasTooManyConns: func() bool { return false }}
	now := time.Now()
	measure := func(lateness time.Duration, times int) {
		for range times {
			now = now.Add(lagInterval + lateness)
			o.measure(now, lateness)
		}
	}
	measure(100*time.Millisecond, 1)
	if o.paused.Load() {
		t.Error("one late tick counts as overload")
	}
	measure(100*time.Millisecond, 10)
	if !o.paused.Load() {
		t.Error("lasting lag does not count as overload")
	}
	measure(0, 15)
	if !o.paused.Load() {
		t.Error("the overload ended before the balancer could see it")
	}
	measure(0, 60)
	if o.paused.Load() {
		t.Error("the overload does not end")
	}
}

// TestTooManyConnectionsIsOverload checks that a shortage of descriptors counts as overload at
// once.
func TestTooManyConnectionsIsOverload(t *testing.T) {
	tooManyConns := true
	o := &overload{log: slog.New(slog.DiscardHandler), hasTooManyConns: func() bool { return tooManyConns }}
	o.measure(time.Now(), 0)
	if !o.paused.Load() {
		t.Error("a router with too many connections accepts more")
	}
}

// measuredShedFraction returns the fraction of 2000 requests that is shed.
func measuredShedFraction(o *overload, kept bool) float64 {
	shed := 0
	for range 2000 {
		if o.shouldShed(kept) {
			shed++
		}
	}
	return float64(shed) / 2000
}

// TestShedFractionOnKeptConnectionsGrowsWithLag checks that nothing is shed on kept connections
// while the router runs in time, and everything when it is far behind.
func TestShedFractionOnKeptConnectionsGrowsWithLag(t *testing.T) {
	o := &overload{log: slog.New(slog.DiscardHandler), hasTooManyConns: func() bool { return false }}
	for _, c := range []struct {
		lag                      time.Duration
		minFraction, maxFraction float64
	}{
		{0, 0, 0},
		{shedKeptMinLag, 0, 0},
		{shedKeptMinLag + shedKeptLagRange/2, 0.4, 0.6},
		{shedKeptMinLag + shedKeptLagRange, 1, 1},
		{time.Second, 1, 1},
	} {
		o.publishedLag.Store(int64(c.lag))
		if got := measuredShedFraction(o, true); got < c.minFraction || got > c.maxFraction {
			t.Errorf("%.2f shed at a lag of %s", got, c.lag)
		}
	}
}

// TestShedFractionOnNewConnectionsFollowsLag checks that, on new connections, nothing is shed
// while the router runs in time, everything soon after it has fallen far behind, a constant
// fraction while the lag is at its target, and nothing soon after the lag is over.
func TestShedFractionOnNewConnectionsFollowsLag(t *testing.T) {
	o := &overload{log: slog.New(slog.DiscardHandler), hasTooManyConns: func() bool { return false }}
	now := time.Now()
	measureFor(o, &now, shedTargetLag, time.Second)
	if got := measuredShedFraction(o, false); got > 0 {
		t.Errorf("%.2f shed in time", got)
	}
	measureFor(o, &now, time.Second, 250*time.Millisecond)
	if got := measuredShedFraction(o, false); got < 1 {
		t.Errorf("%.2f shed far behind", got)
	}
	measureFor(o, &now, 0, 250*time.Millisecond)
	measureFor(o, &now, shedTargetLag, time.Second)
	if got := measuredShedFraction(o, false); got < 0.3 || got > 0.7 {
		t.Errorf("%.2f shed halfway, at the target lag", got)
	}
	measureFor(o, &now, 0, 500*time.Millisecond)
	if got := measuredShedFraction(o, false); got > 0 {
		t.Errorf("%.2f shed after the burst", got)
	}
}

// measureFor feeds the same lateness to o every lagInterval for the given span.
func measureFor(o *overload, now *time.Time, lateness, span time.Duration) {
	for end := now.Add(span); now.Before(end); {
		*now = now.Add(lagInterval)
		o.measure(*now, lateness)
	}
}

// TestConnectionsAreClosedOnceNewOnesStop checks that a late router closes connections
// after their answers once new ones go to other routers, and keeps them while it serves in time.
func TestConnectionsAreClosedOnceNewOnesStop(t *testing.T) {
	o := &overload{log: slog.New(slog.DiscardHandler), hasTooManyConns: func() bool { return false }}
	now := time.Now()
	closedCount := func() int {
		count := 0
		for range 1000 {
			if o.shouldCloseConn() {
				count++
			}
		}
		return count
	}
	measureFor(o, &now, 100*time.Millisecond, time.Second)
	if !o.paused.Load() || closedCount() > 0 {
		t.Errorf("overloaded: %v; %d of 1000 closed before new connections stopped", o.paused.Load(), closedCount())
	}
	measureFor(o, &now, 100*time.Millisecond, balancerDelay)
	if got := closedCount(); got < 900 {
		t.Errorf("%d of 1000 closed while far behind", got)
	}
	measureFor(o, &now, closeMinLag/2, time.Second)
	if got := closedCount(); !o.paused.Load() || got > 0 {
		t.Errorf("overloaded: %v; %d of 1000 closed while in time", o.paused.Load(), got)
	}
}

// TestPauseDoublesOnRepeatedOverload checks that the pause doubles each time the router is
// overloaded again soon after its return, and starts again at its minimum after a period without
// overload.
func TestPauseDoublesOnRepeatedOverload(t *testing.T) {
	o := &overload{log: slog.New(slog.DiscardHandler), hasTooManyConns: func() bool { return false }}
	now := time.Now()
	for _, want := range []time.Duration{minPause, 2 * minPause, 4 * minPause, maxPause, maxPause} {
		measureFor(o, &now, 100*time.Millisecond, time.Second)
		if !o.paused.Load() || o.pause != want {
			t.Errorf("overloaded: %v; pause %s, want %s", o.paused.Load(), o.pause, want)
		}
		measureFor(o, &now, 0, want+time.Second)
		if o.paused.Load() {
			t.Errorf("still paused after %s", want)
		}
	}
	measureFor(o, &now, 0, 2*pauseMemory)
	measureFor(o, &now, 100*time.Millisecond, time.Second)
	if o.pause != minPause {
		t.Errorf("pause %s after a calm period, want %s", o.pause, minPause)
	}
}

// TestStoppedProcessShedsNothingOnKeptConnections guards against refusing requests after the
// process was stopped, or had no processor for a moment, although it runs in time again.
func TestStoppedProcessShedsNothingOnKeptConnections(t *testing.T) {
	for _, pause := range []time.Duration{100 * time.Millisecond, 400 * time.Millisecond, 6 * time.Second} {
		for lateCount := 1; lateCount <= 3; lateCount++ {
			o := &overload{log: slog.New(slog.DiscardHandler), hasTooManyConns: func() bool { return false }}
			now := time.Now()
			measureFor(o, &now, 0, time.Second)
			for range lateCount {
				measureFor(o, &now, pause, lagInterval)
				checkNothingShedOnKept(t, o, pause, lateCount)
			}
			for range 20 {
				measureFor(o, &now, 0, lagInterval)
				checkNothingShedOnKept(t, o, pause, lateCount)
			}
		}
	}
}

// checkNothingShedOnKept fails the test if requests on kept connections are shed or the router
// asks for no new connections.
func checkNothingShedOnKept(t *testing.T, o *overload, pause time.Duration, lateCount int) {
	t.Helper()
	if got := measuredShedFraction(o, true); got > 0 || o.paused.Load() {
		t.Fatalf("%d measurements of %s: %.2f shed, no new connections: %v", lateCount, pause, got, o.paused.Load())
	}
}

// TestSheddingOnKeptConnectionsEndsOnceCaughtUp guards against refusing requests on kept
// connections when the router runs in time again after a long lag.
func TestSheddingOnKeptConnectionsEndsOnceCaughtUp(t *testing.T) {
	o := &overload{log: slog.New(slog.DiscardHandler), hasTooManyConns: func() bool { return false }}
	now := time.Now()
	measureFor(o, &now, time.Second, 2*time.Second)
	if got := measuredShedFraction(o, true); got < 1 {
		t.Errorf("%.2f shed far behind", got)
	}
	measureFor(o, &now, 0, 2*lagInterval)
	if got := measuredShedFraction(o, true); got > 0 {
		t.Errorf("%.2f shed when it runs in time again", got)
	}
}

// TestSingleLateMeasurementShedsNothing guards against refusing requests on new connections after the
// process was stopped once.
func TestSingleLateMeasurementShedsNothing(t *testing.T) {
	o := &overload{log: slog.New(slog.DiscardHandler), hasTooManyConns: func() bool { return false }}
	now := time.Now()
	measureFor(o, &now, 0, time.Second)
	measureFor(o, &now, 6*time.Second, lagInterval)
	for n := range 20 {
		if got := measuredShedFraction(o, false); got > 0 {
			t.Fatalf("%.2f shed %d measurements later", got, n)
		}
		measureFor(o, &now, 0, lagInterval)
	}
}

// TestFewCallersAreNotShed guards against refusing the requests of a few callers when other
// processes use the processor.
func TestFewCallersAreNotShed(t *testing.T) {
	callers := maxUnshedCallers
	o := &overload{
		log:             slog.New(slog.DiscardHandler),
		hasTooManyConns: func() bool { return false },
		callerCount:     func() int { return callers },
	}
	now := time.Now()
	measureFor(o, &now, time.Second, time.Second)
	if got, onNew := measuredShedFraction(o, true), measuredShedFraction(o, false); got+onNew > 0 {
		t.Errorf("%.2f shed on kept connections and %.2f on new ones, of %d callers", got, onNew, callers)
	}
	callers = maxUnshedCallers + 1
	if got, onNew := measuredShedFraction(o, true), measuredShedFraction(o, false); got < 1 || onNew < 1 {
		t.Errorf("%.2f shed on kept connections and %.2f on new ones, of %d callers", got, onNew, callers)
	}
}

// TestShedsAllIsLasting guards against a router that offloads less whenever the fraction that is
// shed swings up to 1 for a moment, and against one that stays late by copying.
func TestShedsAllIsLasting(t *testing.T) {
	shedsAll := false
	o := &overload{
		log:             slog.New(slog.DiscardHandler),
		hasTooManyConns: func() bool { return false },
		onMeasured:      func(_ time.Duration, all bool) { shedsAll = all },
	}
	now := time.Now()
	measure := func(lateness, duration time.Duration) {
		for end := now.Add(duration); now.Before(end); {
			now = now.Add(shedInterval)
			o.measure(now, lateness)
		}
	}
	measure(0, time.Second)
	if measure(4*shedTargetLag, 300*time.Millisecond); shedsAll || o.shedProbability(false) < 1 {
		t.Errorf("after 0.3 s: fraction %v, all %v", o.shedProbability(false), shedsAll)
	}
	if measure(4*shedTargetLag, 700*time.Millisecond); !shedsAll {
		t.Error("after a second of lag not all counts as shed")
	}
	if measure(0, lagInterval); shedsAll {
		t.Error("all counts as shed while the router is in time")
	}
}

// TestAcceptDelayIsLateness guards against a router that stays in the balancer's rotation while
// requests wait to be accepted, because it only refuses and so runs in time.
func TestAcceptDelayIsLateness(t *testing.T) {
	o := &overload{log: slog.New(slog.DiscardHandler)}
	if delay := o.currentAcceptDelay(time.Now()); delay != 0 {
		t.Errorf("the delay is %v where it is not measured", delay)
	}
	o.acceptDelay = func(time.Time) time.Duration { return time.Second }
	if delay := o.currentAcceptDelay(time.Now()); delay != time.Second {
		t.Errorf("the delay is %v, want 1 s", delay)
	}
}
