package router

import (
	"log/slog"
	"testing"
	"time"
)

// TestOverloadNeedsLastingLag: one late tick is no overload, lasting lateness is,
// and it ends only after a rest.
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

// TestShedsMoreTheLaterItRuns: nothing while it runs in time, all when it is far
// behind.
func TestShedsMoreTheLaterItRuns(t *testing.T) {
	o := &overload{log: slog.New(slog.DiscardHandler), crowded: func() bool { return false }}
	share := func(lag time.Duration) float64 {
		o.average.Store(int64(lag))
		shed := 0
		for range 2000 {
			if o.sheds() {
				shed++
			}
		}
		return float64(shed) / 2000
	}
	for _, c := range []struct {
		lag         time.Duration
		least, most float64
	}{
		{0, 0, 0},
		{shedFrom, 0, 0},
		{shedFrom + shedSpan/2, 0.4, 0.6},
		{shedFrom + shedSpan, 1, 1},
		{time.Second, 1, 1},
	} {
		if got := share(c.lag); got < c.least || got > c.most {
			t.Errorf("%.2f shed at a lag of %s", got, c.lag)
		}
	}
}
