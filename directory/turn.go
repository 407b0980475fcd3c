package directory

import (
	"context"
	"sync"
	"time"
)

const (
	// firstStandBy is how long a router that has just loaded the directory waits for
	// its peers to say who follows the feeds. Heartbeats come each quarter of a second,
	// and routers that start together need some time to find each other.
	firstStandBy = time.Second
	// standByEach is how long a router waits for each that follows before it, so that
	// one takes over from one that is lost, and not all.
	standByEach = 100 * time.Millisecond
	// mostStandBy bounds that wait: news may be late by it if all before are gone.
	mostStandBy = time.Second
)

// Turn says whether a router follows the feeds.
type Turn struct {
	Wanted bool
	// Proves says that this router proves for the others that calls which wait for
	// changes wait at a platform that answers.
	Proves bool
	// Ahead counts the routers that would follow before this one and do not yet.
	Ahead int
}

// The feeds, as logs name them.
const (
	feedConfigurations = "configurations"
	feedTargets        = "targets"
)

// turn keeps whether this router follows the feeds. It is safe for concurrent use.
type turn struct {
	shared      bool
	onFollowing func(bool)
	// telling is held while onFollowing runs, so that it is told in order. mu is not:
	// onFollowing may wait for the one who sets turns.
	telling sync.Mutex

	mu     sync.Mutex
	wanted bool
	proves bool
	// begins is when this router may begin to follow; zero until the first load.
	begins time.Time
	// changed is closed and replaced when wanted or begins changes.
	changed chan struct{}
	// live holds the feeds that are followed and answer, and told what was told last.
	live map[string]bool
	told bool
}

func newTurn(options Options) *turn {
	return &turn{
		shared:      options.Shared,
		onFollowing: options.OnFollowing,
		wanted:      true,
		proves:      true,
		changed:     make(chan struct{}),
		live:        make(map[string]bool),
	}
}

// SetTurn says whether this router follows the feeds from now on. One that is to prove its
// calls makes them anew: who did so before was lost, maybe with a silence of the platform.
func (f *Follower) SetTurn(to Turn) {
	if f.turn.set(to) {
		f.Reprobe()
	}
}

// set reports whether this router has to prove its calls from now on.
func (t *turn) set(to Turn) (mustProve bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	mustProve = to.Proves && !t.proves
	t.proves = to.Proves
	t.setWanted(to)
	return mustProve
}

// setWanted needs t.mu.
func (t *turn) setWanted(to Turn) {
	if t.wanted == to.Wanted {
		return
	}
	t.wanted = to.Wanted
	t.begins = time.Now().Add(min(mostStandBy, time.Duration(to.Ahead)*standByEach))
	close(t.changed)
	t.changed = make(chan struct{})
}

// standBy waits until it is this router's turn to follow a feed. It reports whether it
// was not before, so that the feed has to be loaded anew.
func (t *turn) standBy(ctx context.Context, feed string) (wasOthers bool) {
	for t.shared && ctx.Err() == nil {
		wanted, pause, changed := t.state()
		if wanted && pause <= 0 {
			break
		}
		if !wanted {
			wasOthers = true
			t.setLive(feed, false)
			pause = foreverPause
		}
		awaitChange(ctx, changed, pause)
	}
	return wasOthers
}

// isWanted says whether this router is to follow, until changed is closed.
func (t *turn) isWanted() (wanted bool, changed <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.wanted || !t.shared, t.changed
}

// isProver says whether this router proves its calls for others.
func (t *turn) isProver() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.proves
}

// isLiveProver reports whether this router is the prover and both of its feeds are live.
func (t *turn) isLiveProver() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.proves && t.told
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

// state returns whether this router is to follow, and how long it waits before.
func (t *turn) state() (wanted bool, pause time.Duration, changed <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.begins.IsZero() {
		t.begins = time.Now().Add(firstStandBy)
	}
	return t.wanted, time.Until(t.begins), t.changed
}

// setLive notes whether a feed is followed and answers.
func (t *turn) setLive(feed string, live bool) {
	t.telling.Lock()
	defer t.telling.Unlock()
	if both, changed := t.noteLive(feed, live); changed && t.onFollowing != nil {
		t.onFollowing(both)
	}
}

// noteLive returns whether both feeds are live, and whether that is news.
func (t *turn) noteLive(feed string, live bool) (both, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.live[feed] = live
	both = t.live[feedConfigurations] && t.live[feedTargets]
	changed = both != t.told
	t.told = both
	return both, changed
}
