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

// FeedRole describes whether a router follows the feeds.
type FeedRole struct {
	// Follow reports that this router has to follow the feeds.
	Follow bool
	// Probe reports that this router is the prober: it verifies for the others that calls
	// waiting for changes wait at a platform that answers.
	Probe bool
	// Ahead counts the routers that would follow before this one but do not follow yet.
	Ahead int
}

// Names of the feeds in logs and metrics.
const (
	feedConfigurations = "configurations"
	feedTargets        = "targets"
)

// roleTracker tracks whether this router follows the feeds. It is safe for concurrent use.
type roleTracker struct {
	shared       bool
	onLiveChange func(bool)
	// callbackMu is held while onLiveChange runs, so that its calls are in order. mu is not
	// held then, because onLiveChange may wait for the caller of SetFeedRole.
	callbackMu sync.Mutex

	mu     sync.Mutex
	follow bool
	probe  bool
	// followFrom is when this router may start to follow; zero until the first load.
	followFrom time.Time
	// changed is closed and replaced when follow or followFrom changes.
	changed chan struct{}
	// live holds the feeds that are followed and answer, and reportedLive the state last passed
	// to onLiveChange.
	live         map[string]bool
	reportedLive bool
}

func newRoleTracker(options Options) *roleTracker {
	return &roleTracker{
		shared:       options.Shared,
		onLiveChange: options.OnLiveChange,
		follow:       true,
		probe:        true,
		changed:      make(chan struct{}),
		live:         make(map[string]bool),
	}
}

// SetFeedRole sets whether this router follows the feeds from now on. A router that becomes the
// prober reissues its calls, because the previous prober was lost, possibly while the platform
// was silent and lost calls.
func (f *Follower) SetFeedRole(role FeedRole) {
	if f.role.set(role) {
		f.Reprobe()
	}
}

// set reports whether this router has to verify its calls from now on.
func (r *roleTracker) set(role FeedRole) (mustVerify bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	mustVerify = role.Probe && !r.probe
	r.probe = role.Probe
	r.setFollow(role)
	return mustVerify
}

// setFollow updates follow and followFrom. r.mu must be held.
func (r *roleTracker) setFollow(role FeedRole) {
	if r.follow == role.Follow {
		return
	}
	r.follow = role.Follow
	r.followFrom = time.Now().Add(min(maxStandBy, time.Duration(role.Ahead)*standByPerRouter))
	close(r.changed)
	r.changed = make(chan struct{})
}

// standBy waits until this router has to follow a feed. It reports whether other
// routers followed it meanwhile, so that the feed has to be loaded again.
func (r *roleTracker) standBy(ctx context.Context, feed string) (stoodBy bool) {
	for r.shared && ctx.Err() == nil {
		follow, pause, changed := r.followState()
		if follow && pause <= 0 {
			break
		}
		if !follow {
			stoodBy = true
			r.setLive(feed, false)
			pause = foreverPause
		}
		awaitChange(ctx, changed, pause)
	}
	return stoodBy
}

// mustFollow reports whether this router has to follow; the result is valid until changed is
// closed.
func (r *roleTracker) mustFollow() (follow bool, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.follow || !r.shared, r.changed
}

// isProber reports whether this router verifies its calls for the others.
func (r *roleTracker) isProber() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.probe
}

// isLiveProber reports whether this router is the prober and both of its feeds are live.
func (r *roleTracker) isLiveProber() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.probe && r.reportedLive
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
func (r *roleTracker) followState() (follow bool, pause time.Duration, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.followFrom.IsZero() {
		r.followFrom = time.Now().Add(initialStandBy)
	}
	return r.follow, time.Until(r.followFrom), r.changed
}

// setLive records whether a feed is followed and answers.
func (r *roleTracker) setLive(feed string, live bool) {
	r.callbackMu.Lock()
	defer r.callbackMu.Unlock()
	if allLive, changed := r.updateLive(feed, live); changed && r.onLiveChange != nil {
		r.onLiveChange(allLive)
	}
}

// updateLive returns whether both feeds are live, and whether that has changed.
func (r *roleTracker) updateLive(feed string, live bool) (allLive, changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.live[feed] = live
	allLive = r.live[feedConfigurations] && r.live[feedTargets]
	changed = allLive != r.reportedLive
	r.reportedLive = allLive
	return allLive, changed
}
