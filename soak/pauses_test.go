package soak

import (
	"context"
	"sync"
	"time"
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
	mu     sync.Mutex
	pauses []pause
}

// pause is a span in which the process did not run.
type pause struct{ from, to time.Time }

// run looks until ctx ends.
func (c *pauseClock) run(ctx context.Context) {
	for last := time.Now(); ctx.Err() == nil; {
		time.Sleep(clockStep)
		now := time.Now()
		if now.Sub(last) >= clockStep+leastPause {
			c.add(pause{from: last.Add(clockStep), to: now})
		}
		last = now
	}
}

func (c *pauseClock) add(p pause) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pauses = append(c.pauses, p)
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
