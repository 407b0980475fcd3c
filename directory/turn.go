package directory

import (
	"context"
	"sync"
	"time"
)

const (
	// initialStandBy is how long a router that has just loaded the directory waits for its
	// peers to report who follows the feeds. Heartbeats are sent every quarter of a second, and
	// routers that start together need some time to find each other.
	initialStandBy = time.Second
	// standByPerRouter is how long a router waits for each router that comes before it in the
	// order of followers, so that a lost follower is replaced by one router and not by all.
	standByPerRouter = 100 * time.Millisecond
	// maxStandBy bounds that wait: changes may be late by it if all routers before are gone.
	maxStandBy = time.Second
)

// Turn describes whether a router follows the feeds.
type Turn struct {
	// Wanted reports that this router has to follow the feeds.
	Wanted bool
	// Proves reports that this router is the prover: it verifies for the others that calls
	// waiting for changes wait at a platform that answers.
	Proves bool
	// Ahead counts the routers that would follow before this one but do not follow yet.
	Ahead int
}

// Names of the feeds in logs and metrics.
const (
	feedConfigurations = "configurations"
	feedTargets        = "targets"
)

// turn tracks whether this router follows the feeds. It is safe for concurrent use.
type turn struct {
	shared       bool
	onLiveChange func(bool)
	// callbackMu is held while onLiveChange runs, so that its calls are in order. mu is not
	// held then, because onLiveChange may wait for the caller of SetTurn.
	callbackMu sync.Mutex

	mu     sync.Mutex
	wanted bool
	proves bool
	// followFrom is when this router may start to follow; zero until the first load.
	followFrom time.Time
	// changed is closed and replaced when wanted or followFrom changes.
	changed chan struct{}
	// live holds the feeds that are followed and answer, and reportedLive the state last passed
	// to onLiveChange.
	live         map[string]bool
	reportedLive bool
}

func newTurn(options Options) *turn {
	return &turn{
		shared:       options.Shared,
		onLiveChange: options.OnLiveChange,
		wanted:       true,
		proves:       true,
		changed:      make(chan struct{}),
		live:         make(map[string]bool),
	}
}

// SetTurn sets whether this router follows the feeds from now on. A router that becomes the
// prover reissues its calls, because the previous prover was lost, possibly while the platform
// was silent and lost calls.
func (f *Follower) SetTurn(to Turn) {
	if f.turn.set(to) {
		f.Reprobe()
	}
}

// set reports whether this router has to verify its calls from now on.
func (t *turn) set(to Turn) (mustVerify bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	mustVerify = to.Proves && !t.proves
	t.proves = to.Proves
	t.setWanted(to)
	return mustVerify
}

// setWanted updates wanted and followFrom. t.mu must be held.
func (t *turn) setWanted(to Turn) {
	if t.wanted == to.Wanted {
		return
	}
	t.wanted = to.Wanted
	t.followFrom = time.Now().Add(min(maxStandBy, time.Duration(to.Ahead)*standByPerRouter))
	close(t.changed)
	t.changed = make(chan struct{})
}

// standBy waits until it is this router's turn to follow a feed. It reports whether other
// routers followed it meanwhile, so that the feed has to be loaded again.
func (t *turn) standBy(ctx context.Context, feed string) (stoodBy bool) {
	for t.shared && ctx.Err() == nil {
		wanted, pause, changed := t.followState()
		if wanted && pause <= 0 {
			break
		}
		if !wanted {
			stoodBy = true
			t.setLive(feed, false)
			pause = foreverPause
		}
		awaitChange(ctx, changed, pause)
	}
	return stoodBy
}

// mustFollow reports whether this router has to follow; the result is valid until changed is
// closed.
func (t *turn) mustFollow() (wanted bool, changed <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.wanted || !t.shared, t.changed
}

// isProver reports whether this router verifies its calls for the others.
func (t *turn) isProver() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.proves
}

// isLiveProver reports whether this router is the prover and both of its feeds are live.
func (t *turn) isLiveProver() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.proves && t.reportedLive
}

// foreverPause is a pause that only a change ends.
const foreverPause = time.Hour

// awaitChange returns at a change, after a pause, or when ctx ends.
func awaitChange(ctx context.Context, changed <-chan struct{}, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// followState returns whether this router has to follow, and how long it waits before it does.
func (t *turn) followState() (wanted bool, pause time.Duration, changed <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.followFrom.IsZero() {
		t.followFrom = time.Now().Add(initialStandBy)
	}
	return t.wanted, time.Until(t.followFrom), t.changed
}

// setLive records whether a feed is followed and answers.
func (t *turn) setLive(feed string, live bool) {
	t.callbackMu.Lock()
	defer t.callbackMu.Unlock()
	if both, changed := t.updateLive(feed, live); changed && t.onLiveChange != nil {
		t.onLiveChange(both)
	}
}

// updateLive returns whether both feeds are live, and whether that has changed.
func (t *turn) updateLive(feed string, live bool) (both, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.live[feed] = live
	both = t.live[feedConfigurations] && t.live[feedTargets]
	changed = both != t.reportedLive
	t.reportedLive = both
	return both, changed
}
