package directory

import (
	"sync"
	"time"
)

// callTimes records, for logs and metrics, when the platform was asked for a feed and when it
// last answered. It is safe for concurrent use.
type callTimes struct {
	mu sync.Mutex
	// oldestCall is when the oldest unanswered call was made; zero if there is none.
	oldestCall time.Time
	// overdue reports whether that call should have been answered by now.
	overdue bool
	// lastAnswer is when the last answer arrived; zero if none did.
	lastAnswer time.Time
}

func (c *callTimes) noteCall() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.oldestCall.IsZero() {
		c.oldestCall = time.Now()
	}
}

// noteOverdue records that the platform should have answered by now.
func (c *callTimes) noteOverdue() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.overdue = true
}

// noteAnswer records an answer, which settles all calls made before it.
func (c *callTimes) noteAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.oldestCall, c.overdue = time.Time{}, false
	c.lastAnswer = time.Now()
}

// noteStandBy records that this router makes no more calls because other routers follow the
// feed.
func (c *callTimes) noteStandBy() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.oldestCall, c.overdue = time.Time{}, false
}

// ages returns the time since the last answer and the time that the oldest pending call has
// gone unanswered; zero where there is none.
func (c *callTimes) ages() (answer, call time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return since(c.lastAnswer), since(c.oldestCall)
}

func since(moment time.Time) time.Duration {
	if moment.IsZero() {
		return 0
	}
	return time.Since(moment)
}

// FeedAge describes how recent the data of a feed is.
type FeedAge struct {
	// Answer is the time since the platform last answered a call for the feed.
	Answer time.Duration
	// Call is how long the oldest pending call has gone unanswered; zero if there is none.
	Call time.Duration
	// Stale is the maximum age of what is known of the feed. It is zero while a call waits for
	// changes at a platform that answers, or while other routers follow the feed for this one.
	Stale time.Duration
}

// FeedAges returns the age of each feed by feed name.
func (f *Follower) FeedAges() map[string]FeedAge {
	ages := make(map[string]FeedAge, len(f.callTimes))
	for name, times := range f.callTimes {
		ages[name] = times.feedAge()
	}
	return ages
}

func (c *callTimes) feedAge() FeedAge {
	answer, call := c.ages()
	age := FeedAge{Answer: answer, Call: call}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.overdue {
		age.Stale = since(c.lastAnswer)
	}
	return age
}
