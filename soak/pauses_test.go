package soak

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/wait"
)

const (
	// clockStep is the period of the look for pauses of this process.
	clockStep = 10 * time.Millisecond
	// leastPause is the least delay of a look that counts as a pause: shorter ones are the
	// scheduler's.
	leastPause = 100 * time.Millisecond
)

// pauseClock notes when this process, in which callers and replicas live, did not run.
type pauseClock struct {
	mu sync.Mutex
	// looked is when it looked last.
	looked time.Time
	pauses []pause
}

// pause is a span in which the process did not run.
type pause struct{ from, to time.Time }

// run looks until ctx ends.
func (c *pauseClock) run(ctx context.Context) {
	for last := time.Now(); ctx.Err() == nil; {
		time.Sleep(clockStep)
		now := time.Now()
		c.look(last, now)
		last = now
	}
}

// look notes the pause between two looks, if there was one.
func (c *pauseClock) look(last, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.looked = now
	if now.Sub(last) >= clockStep+leastPause {
		c.pauses = append(c.pauses, pause{from: last.Add(clockStep), to: now})
	}
}

// awaitLook waits until a pause that has just ended is noted; false: ctx ended before.
func (c *pauseClock) awaitLook(ctx context.Context) bool {
	for since := time.Now(); ; {
		c.mu.Lock()
		looked := c.looked
		c.mu.Unlock()
		if looked.After(since) {
			return true
		}
		if !wait.For(ctx, clockStep) {
			return false
		}
	}
}

// afterRunning calls f once this process has run for d from now on, unless it is stopped before.
func (c *pauseClock) afterRunning(d time.Duration, f func()) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	from := time.Now()
	go func() {
		for left := d; left > 0; left = d - (time.Since(from) - c.within(from, time.Now())) {
			if !wait.For(ctx, left) || !c.awaitLook(ctx) {
				return
			}
		}
		f()
	}()
	return cancel
}

// within returns how long the process did not run between two moments.
func (c *pauseClock) within(from, to time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	var sum time.Duration
	for _, p := range c.pauses {
		start, end := p.from, p.to
		if start.Before(from) {
			start = from
		}
		if end.After(to) {
			end = to
		}
		sum += max(0, end.Sub(start))
	}
	return sum
}

// TestOnlyRunningTimeCounts guards against a limit that passes while this process does not run,
// and against one that is longer than what it ran.
func TestOnlyRunningTimeCounts(t *testing.T) {
	const limit, stood, margin = 150 * time.Millisecond, 400 * time.Millisecond, 100 * time.Millisecond
	for _, paused := range []time.Duration{0, stood} {
		var c pauseClock
		go c.run(t.Context())
		from, called := time.Now(), make(chan time.Time)
		c.afterRunning(limit, func() { called <- time.Now() })
		c.look(from, from.Add(paused))
		if took := (<-called).Sub(from); took < limit+paused || took > limit+paused+margin {
			t.Errorf("a limit of %s passed after %s, of which the process stood still for %s", limit, took, paused)
		}
	}
}
