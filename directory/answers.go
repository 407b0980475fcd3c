package directory

import (
	"sync"
	"time"
)

// answers keeps when the platform was asked for a feed and when it last answered, for
// logs and metrics. It is safe for concurrent use.
type answers struct {
	mu sync.Mutex
	// asked is when the oldest unanswered call was made; zero: there is none.
	asked time.Time
	// overdue says that it should have been answered.
	overdue bool
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

// noteOverdue notes that the platform should have answered by now.
func (a *answers) noteOverdue() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.overdue = true
}

// noteAnswer notes an answer. Calls made before it count no more.
func (a *answers) noteAnswer() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.asked, a.overdue = time.Time{}, false
	a.answered = time.Now()
}

// noteStandBy notes that no call is made any more, as others follow the feed.
func (a *answers) noteStandBy() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.asked, a.overdue = time.Time{}, false
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
	// Call is how long the oldest call under way has gone unanswered; zero: there is none.
	Call time.Duration
	// Stale is how old what is known of the feed may be: zero while a call waits for
	// changes at a platform that answers, or other routers do that for this one.
	Stale time.Duration
}

// Ages returns the age of each feed, by its name.
func (f *Follower) Ages() map[string]FeedAge {
	ages := make(map[string]FeedAge, len(f.answers))
	for name, a := range f.answers {
		ages[name] = a.feedAge()
	}
	return ages
}

func (a *answers) feedAge() FeedAge {
	answer, call := a.age()
	age := FeedAge{Answer: answer, Call: call}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.overdue {
		age.Stale = since(a.answered)
	}
	return age
}
