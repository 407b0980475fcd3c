package soak

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/wait"
)

const (
	// tickPeriod is the period of the ticks that detect pauses of this process.
	tickPeriod = 10 * time.Millisecond
	// minPause is the least delay of a tick that counts as a pause: shorter delays are those
	// of normal scheduling.
	minPause = 100 * time.Millisecond
)

// pauseClock records when this process, which contains the callers and the replicas, did not
// run.
type pauseClock struct {
	mu sync.Mutex
	// lastTick is the time of the last tick.
	lastTick time.Time
	pauses   []pause
}

// pause is a span in which the process did not run.
type pause struct{ from, to time.Time }

// run ticks until ctx ends.
func (c *pauseClock) run(ctx context.Context) {
	for last := time.Now(); ctx.Err() == nil; {
		time.Sleep(tickPeriod)
		now := time.Now()
		c.tick(last, now)
		last = now
	}
}

// tick records the pause between the last tick and now, if there was one.
func (c *pauseClock) tick(last, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastTick = now
	if now.Sub(last) >= tickPeriod+minPause {
		c.pauses = append(c.pauses, pause{from: last.Add(tickPeriod), to: now})
	}
}

// awaitTick waits until a pause that has just ended is recorded. It returns false if ctx ends
// first.
func (c *pauseClock) awaitTick(ctx context.Context) bool {
	for since := time.Now(); ; {
		c.mu.Lock()
		lastTick := c.lastTick
		c.mu.Unlock()
		if lastTick.After(since) {
			return true
		}
		if !wait.For(ctx, tickPeriod) {
			return false
		}
	}
}

// afterRunTime calls f once this process has run for d from now on, unless stop is called first.
func (c *pauseClock) afterRunTime(d time.Duration, f func()) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	from := time.Now()
	go func() {
		for remaining := d; remaining > 0; remaining = d - (time.Since(from) - c.pausedBetween(from, time.Now())) {
			if !wait.For(ctx, remaining) || !c.awaitTick(ctx) {
				return
			}
		}
		f()
	}()
	return cancel
}

// pausedBetween returns how long the process did not run between two moments.
func (c *pauseClock) pausedBetween(from, to time.Time) time.Duration {
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

// TestPausesDoNotCountTowardsLimits guards against a time limit that runs out while this process
// does not run, and against one that is longer than the time that the process ran.
func TestPausesDoNotCountTowardsLimits(t *testing.T) {
	const limit, pauseLength, margin = 150 * time.Millisecond, 400 * time.Millisecond, 100 * time.Millisecond
	for _, paused := range []time.Duration{0, pauseLength} {
		var c pauseClock
		go c.run(t.Context())
		from, called := time.Now(), make(chan time.Time)
		c.afterRunTime(limit, func() { called <- time.Now() })
		c.tick(from, from.Add(paused))
		if took := (<-called).Sub(from); took < limit+paused || took > limit+paused+margin {
			t.Errorf("a limit of %s ran out after %s, of which the process was paused for %s", limit, took, paused)
		}
	}
}
