package directory

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/wait"
)

const (
	// patience is how long one call for changes waits: the longest that the
	// platform allows, as each call has its price.
	patience = 30 * time.Second
	// firstPause and longestPause bound the pause after a failed call. The pause
	// doubles and is jittered by half, so that routers do not come back in step.
	firstPause   = 50 * time.Millisecond
	longestPause = time.Second
	// lapseShown is how long after the platform's return removals that it shows
	// may be lapses of while it was away. What is removed later is meant.
	lapseShown = time.Second
	// returnMargin is added to ReturnGrace for the platform's and our own delay.
	returnMargin = 500 * time.Millisecond
	// gatherEach is how long changes are gathered behind an answer that held some,
	// for each router of the fleet, and mostGather the longest: where many targets
	// start together, each change would cost a call of every router. A first change
	// is told at once; peers tell of the others in between.
	gatherEach = 10 * time.Millisecond
	mostGather = 800 * time.Millisecond
	// firstLoadTimeout bounds the first call that loads everything; it doubles with
	// each failure up to loadTimeout. The store answers in some milliseconds. A call
	// that meets it silent may stay unanswered after its return, so the next one has
	// to come soon; a slow store is given more time each try.
	firstLoadTimeout = 300 * time.Millisecond
	loadTimeout      = 2 * time.Second
	// followMargin is how much longer than patience a call for changes may take.
	followMargin = time.Second
)

var (
	feedFailures = metrics.GetOrCreateCounter(`walnut_directory_feed_failures_total`)
	reloads      = metrics.GetOrCreateCounter(`walnut_directory_reloads_total`)
	doubted      = metrics.GetOrCreateCounter(`walnut_directory_removals_doubted_total`)
)

// Options configure a Follower.
type Options struct {
	// Configurations and Targets are the feeds. Required.
	Configurations Feed[Configuration]
	Targets        Feed[config.Target]
	// OnChange gets each new snapshot, in order, on one goroutine at a time.
	// Required.
	OnChange func(*config.Snapshot)
	// ReturnGrace is how long entries of targets that lapsed while the platform
	// was away may take to return once it is back; see settings.Platform.
	ReturnGrace time.Duration
	// Shared says that routers take turns: this one follows the feeds while SetTurn
	// says so, and learns from peers by Import otherwise.
	Shared bool
	// OnFollowing is told whether this router follows both feeds and they answer, at
	// each change; nil: nobody is.
	OnFollowing func(live bool)
	// Routers returns how many routers the fleet has; nil: one.
	Routers func() int
	// Log gets a line for each change, and one when a feed is lost or regained.
	// Required.
	Log *slog.Logger
}

// Follower keeps the newest snapshot. Create it with New.
type Follower struct {
	options Options

	mu    sync.Mutex
	state state
	// returnedAt is when the feed of targets last came back after it was lost;
	// zero: it never did.
	returnedAt time.Time
	// turn is whether this router follows.
	turn *turn
	// answers holds when each feed was asked for and answered. The map is not changed.
	answers map[string]*answers
	// wake ends the pause of expireLapsed.
	wake chan struct{}
	// ready is closed with the first snapshot.
	ready     chan struct{}
	readyOnce sync.Once
}

// New returns a follower that does nothing before Run.
func New(options Options) *Follower {
	return &Follower{
		options: options,
		state:   newState(),
		turn:    newTurn(options),
		answers: map[string]*answers{feedConfigurations: {}, feedTargets: {}},
		wake:    make(chan struct{}, 1),
		ready:   make(chan struct{}),
	}
}

// Ready is closed once there is a snapshot.
func (f *Follower) Ready() <-chan struct{} { return f.ready }

// Run follows both feeds until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() {
		follow(ctx, f, feedConfigurations, f.options.Configurations, f.configured)
	})
	running.Go(func() {
		follow(ctx, f, feedTargets, f.options.Targets, f.targetsChanged)
	})
	running.Go(func() { f.expireLapsed(ctx) })
	running.Wait()
}

// arrival says how a listing came.
type arrival struct {
	// whole says that it holds all entries, not just changed ones.
	whole bool
	// afterLoss says that the call before it failed.
	afterLoss bool
}

// follow loads one feed and follows it until ctx ends.
func follow[T any](ctx context.Context, f *Follower, name string, feed Feed[T], take func(Listing[T], arrival)) {
	pause, limit := firstPause, firstLoadTimeout
	lost := false
	loaded := false
	var after uint64
	seen := f.answers[name]
	defer f.turn.setLive(name, false)
	for ctx.Err() == nil {
		if loaded && f.turn.standBy(ctx, name) {
			// Peers told what changed meanwhile, as far as they knew.
			loaded, lost = false, false
			continue
		}
		if loaded && !lost {
			f.turn.setLive(name, true)
		}
		hold := patience
		if lost {
			hold = 0 // to learn at once that the platform is back
		}
		answerAge, _ := seen.age()
		seen.noteCall()
		listing, err := next(ctx, feed, call{load: !loaded, after: after, hold: hold, limit: limit})
		_, waited := seen.age()
		seen.noteEnd(err == nil)
		switch {
		case errors.Is(err, ErrHistoryLost):
			f.options.Log.Warn("directory: History is gone, loading everything.", "feed", name, "revision", after)
			reloads.Inc()
			loaded = false
			wait.For(ctx, pause/2+rand.N(pause))
			pause = min(2*pause, longestPause)
			continue
		case ctx.Err() != nil:
			return
		case err != nil:
			if !lost {
				f.options.Log.Warn("directory: Feed lost.", "feed", name, "revision", after, "waited", waited,
					"answered_before", answerAge+waited, "error", err)
			}
			lost = true
			f.turn.setLive(name, false)
			feedFailures.Inc()
			wait.For(ctx, pause/2+rand.N(pause))
			pause = min(2*pause, longestPause)
			limit = min(2*limit, loadTimeout)
			continue
		}
		if lost {
			f.options.Log.Info("directory: Feed regained.", "feed", name, "revision", listing.Revision,
				"answered_before", answerAge+waited)
		}
		take(listing, arrival{whole: !loaded, afterLoss: lost})
		if loaded {
			pause = firstPause // the feed works; a load alone may be followed by another
		}
		lost, limit = false, firstLoadTimeout
		loaded, after = true, max(after, listing.Revision)
		if len(listing.Entries) > 0 {
			wait.For(ctx, f.gather())
		}
	}
}

// gather is how long to wait after a change before the next call.
func (f *Follower) gather() time.Duration {
	if f.options.Routers == nil {
		return 0
	}
	return min(mostGather, time.Duration(f.options.Routers())*gatherEach)
}

// call is one call to a feed.
type call struct {
	// load says that everything is loaded, within limit.
	load  bool
	limit time.Duration
	// after and hold are after and patience of Feed.Follow.
	after uint64
	hold  time.Duration
}

// next loads the feed, or waits for its next changes.
func next[T any](ctx context.Context, feed Feed[T], c call) (Listing[T], error) {
	if c.load {
		ctx, cancel := context.WithTimeout(ctx, c.limit)
		defer cancel()
		return feed.Load(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, c.hold+followMargin)
	defer cancel()
	return feed.Follow(ctx, c.after, c.hold)
}

// believeAt returns when a removal that the platform shows now is believed: zero
// for at once. f.mu must be held.
func (f *Follower) believeAt() time.Time {
	if f.returnedAt.IsZero() || time.Since(f.returnedAt) > lapseShown {
		return time.Time{}
	}
	doubted.Inc()
	return f.returnedAt.Add(f.options.ReturnGrace + returnMargin)
}

func (f *Follower) configured(listing Listing[Configuration], _ arrival) {
	f.change("platform", func(s *state) bool {
		changed := false
		for _, entry := range listing.Entries {
			if entry.Gone {
				continue
			}
			if entry.Value.Version < s.configuration.Version {
				f.options.Log.Warn("directory: Older version passed over.", "version", uint64(entry.Value.Version),
					"in_force", uint64(s.configuration.Version), "revision", entry.Revision)
			}
			changed = s.configure(entry.Value) || changed
		}
		return changed
	})
}

func (f *Follower) targetsChanged(listing Listing[config.Target], how arrival) {
	f.change("platform", func(s *state) bool {
		first := !s.listed
		s.listed = true
		entries := listing.Entries
		if how.whole {
			entries = s.withMissing(listing)
		}
		if how.afterLoss {
			f.returnedAt = time.Now()
		}
		believeAt := f.believeAt()
		if believeAt.IsZero() && s.emptiesPool(entries) {
			believeAt = time.Now().Add(f.options.ReturnGrace + returnMargin)
		}
		return s.apply(entries, believeAt) || first
	})
}

// change applies news to the state and tells what came of it. Snapshots are told
// in order, as the lock is held.
func (f *Follower) change(source string, apply func(*state) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.state.configuration.Version
	if !apply(&f.state) {
		f.wakeLapsed()
		return
	}
	f.wakeLapsed()
	snapshot := f.state.snapshot()
	if snapshot == nil {
		return
	}
	f.options.Log.Info("directory: Changed.", "source", source, "version", uint64(snapshot.Version), "version_before", uint64(before),
		"targets", len(snapshot.Declarations.Targets), "targets_revision", snapshot.TargetsRevision)
	f.options.OnChange(snapshot)
	f.readyOnce.Do(func() { close(f.ready) })
}

// wakeLapsed lets expireLapsed look again.
func (f *Follower) wakeLapsed() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// expireLapsed believes removals once their time has come, until ctx ends.
func (f *Follower) expireLapsed(ctx context.Context) {
	for ctx.Err() == nil {
		var due time.Time
		f.mu.Lock()
		_, due = f.state.expire(time.Time{})
		f.mu.Unlock()
		if due.IsZero() {
			select {
			case <-f.wake:
			case <-ctx.Done():
			}
			continue
		}
		wait.For(ctx, time.Until(due))
		f.change("lapse", func(s *state) bool {
			changed, _ := s.expire(time.Now())
			return changed
		})
	}
}
