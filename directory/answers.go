package directory

import (
	"sync"
	"time"
)

// answers keeps when the platform was asked for a feed and when it last answered, for
// logs and metrics. It is safe for concurrent use.
type answers struct {
	mu sync.Mutex
	// asked is when the oldest call under way was made; zero: none is.
	asked time.Time
	// answered is when the last answer came; zero: none did.
	answered time.Time
}

func (a *answers) noteCall() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.asked.IsZero() {
		a.asked = time.Now()
	}
}

// noteEnd notes that no call is under way any more.
func (a *answers) noteEnd(answered bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.asked = time.Time{}
	if answered {
		a.answered = time.Now()
	}
}

// age returns how long ago the last answer came, and how long the calls under way
// have gone without one; zero where there is none.
func (a *answers) age() (answer, call time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return since(a.answered), since(a.asked)
}

func since(moment time.Time) time.Duration {
	if moment.IsZero() {
		return 0
	}
	return time.Since(moment)
}

// FeedAge is how old what is known of a feed may be.
type FeedAge struct {
	// Answer is how long ago the platform last answered a call for the feed.
	Answer time.Duration
	// Call is how long the call under way has gone unanswered; zero: none is under way.
	Call time.Duration
}

// Ages returns the age of each feed, by its name.
func (f *Follower) Ages() map[string]FeedAge {
	ages := make(map[string]FeedAge, len(f.answers))
	for name, a := range f.answers {
		answer, call := a.age()
		ages[name] = FeedAge{Answer: answer, Call: call}
	}
	return ages
}
