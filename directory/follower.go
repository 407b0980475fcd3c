package directory

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/wait"
)

const (
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
)

var (
	feedFailures = metrics.GetOrCreateCounter(`walnut_directory_feed_failures_total`)
	feedLosses   = metrics.GetOrCreateCounter(`walnut_directory_feed_losses_total`)
	overdueCalls = metrics.GetOrCreateCounter(`walnut_directory_calls_overdue_total`)
	reprobesMade = metrics.GetOrCreateCounter(`walnut_directory_reprobes_total`)
	restorations = metrics.GetOrCreateCounter(`walnut_directory_restorations_total`)
	reloads      = map[error]*metrics.Counter{
		ErrHistoryLost: metrics.GetOrCreateCounter(`walnut_directory_reloads_total{reason="history_lost"}`),
		ErrRestored:    metrics.GetOrCreateCounter(`walnut_directory_reloads_total{reason="restored"}`),
	}
	removalsHeld = metrics.GetOrCreateCounter(`walnut_directory_removals_doubted_total`)
)

// sourcePlatform is the log value of source for changes from the platform rather than a peer.
const sourcePlatform = "platform"

// Options configure a Follower.
type Options struct {
	// Directives and Targets are the feeds. Required.
	Directives Feed[Directive]
	Targets    Feed[config.Target]
	// OnChange gets each new snapshot, in order, on one goroutine at a time.
	// Required.
	OnChange func(*config.Snapshot)
	// ReturnGrace is how long entries of targets that lapsed while the platform
	// was away may take to return once it is back; see settings.Platform.
	ReturnGrace time.Duration
	// ShortestLapse is how long the platform has to be away for entries to lapse; see
	// settings.Platform.
	ShortestLapse time.Duration
	// LongestLapse is how long the platform may list a target that renews its entry no more;
	// see settings.Platform.
	LongestLapse time.Duration
	// OnRestored is told when the platform came back from an older copy, which lacks what
	// routers wrote there since; nil: nobody is. It must not block.
	OnRestored func()
	// ProbeEra returns the platform's current era; nil disables era probes.
	ProbeEra func(context.Context) (era uint64, err error)
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
	answers  map[string]*answers
	reprobes *reprobes
	// wake ends the pause of expireLapsed.
	wake chan struct{}
	// ready is closed with the first snapshot.
	ready     chan struct{}
	readyOnce sync.Once
}

// New returns a follower that does nothing before Run.
func New(options Options) *Follower {
	return &Follower{
		options:  options,
		state:    newState(),
		turn:     newTurn(options),
		answers:  map[string]*answers{feedConfigurations: {}, feedTargets: {}},
		reprobes: newReprobes(),
		wake:     make(chan struct{}, 1),
		ready:    make(chan struct{}),
	}
}

// Ready is closed once there is a snapshot.
func (f *Follower) Ready() <-chan struct{} { return f.ready }

// Run follows both feeds until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { newPoller(f, feedConfigurations, f.options.Directives, f.directivesChanged).run(ctx) })
	running.Go(func() { newPoller(f, feedTargets, f.options.Targets, f.targetsChanged).run(ctx) })
	running.Go(func() { f.expireLapsed(ctx) })
	running.Go(func() { f.runEraProbes(ctx) })
	running.Wait()
}

// arrival says how a listing came.
type arrival struct {
	// whole says that it holds all entries, not just changed ones.
	whole bool
	// afterLoss says that the platform was away before it, for so long that entries may
	// have lapsed.
	afterLoss bool
}

// gather is how long to wait after a change before the next call.
func (f *Follower) gather() time.Duration {
	if f.options.Routers == nil {
		return 0
	}
	return min(mostGather, time.Duration(f.options.Routers())*gatherEach)
}

// believeAt returns when a removal that the platform shows now is believed: zero
// for at once. f.mu must be held.
func (f *Follower) believeAt() time.Time {
	if f.returnedAt.IsZero() || time.Since(f.returnedAt) > lapseShown {
		return time.Time{}
	}
	removalsHeld.Inc()
	return f.returnedAt.Add(f.grace())
}

// grace is how long entries may take to return once the platform is back.
func (f *Follower) grace() time.Duration { return f.options.ReturnGrace + returnMargin }

func (f *Follower) directivesChanged(listing Listing[Directive], how arrival) {
	f.change(sourcePlatform, func(s *state) bool {
		changed := how.whole && s.endMissingEvacuations(listing, time.Now().Add(f.grace()))
		for _, entry := range listing.Entries {
			if entry.Value.Evacuates != "" {
				changed = s.applyEvacuation(entry.Value.Evacuates, evacuation{revision: entry.Revision, ended: entry.Gone}) || changed
				continue
			}
			if entry.Gone {
				continue
			}
			if entry.Value.Version < s.configuration.Version {
				f.options.Log.Info("directory: Older version passed over.", "version", uint64(entry.Value.Version),
					"in_force", uint64(s.configuration.Version), "revision", entry.Revision)
			}
			entry.Value.Revision = entry.Revision
			changed = s.configure(entry.Value.Configuration) || changed
		}
		return changed
	})
}

func (f *Follower) targetsChanged(listing Listing[config.Target], how arrival) {
	f.change(sourcePlatform, func(s *state) bool {
		first := !s.listed
		s.listed = true
		entries := listing.Entries
		restored := s.revision > 0 && s.revision.Era() < listing.Revision.Era()
		if how.whole {
			s.enter(listing.Revision)
			listing.Entries = s.withoutContradicted(entries, time.Now().Add(f.options.LongestLapse))
			entries = s.withMissing(listing)
		}
		if how.afterLoss || restored {
			f.returnedAt = time.Now()
		}
		believeAt := f.believeAt()
		if believeAt.IsZero() && s.emptiesPool(entries) {
			believeAt = time.Now().Add(f.grace())
		}
		return s.apply(entries, believeAt) || first || restored
	})
}

// change applies news to the state and tells what came of it. Snapshots are told
// in order, as the lock is held.
func (f *Follower) change(source string, apply func(*state) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before, revisionBefore := f.state.configuration.Version, f.state.revision
	evacuatedBefore := f.state.evacuatedDataCentres()
	changed := apply(&f.state)
	f.noteEra(source, revisionBefore)
	f.noteEvacuations(source, evacuatedBefore)
	if !changed {
		f.wakeLapsed()
		return
	}
	f.wakeLapsed()
	snapshot := f.state.snapshot()
	if snapshot == nil {
		return
	}
	f.options.Log.Info("directory: Changed.", "source", source, "version", uint64(snapshot.Version), "version_before", uint64(before),
		"targets", len(snapshot.Declarations.Targets), "targets_revision", snapshot.TargetsRevision.String())
	f.options.OnChange(snapshot)
	f.readyOnce.Do(func() { close(f.ready) })
}

// noteEra tells that the platform came back from an older copy. f.mu must be held.
func (f *Follower) noteEra(source string, before config.Revision) {
	now := f.state.revision
	if before == 0 || before.Era() == now.Era() {
		return
	}
	f.options.Log.Warn("directory: Platform came back from an older copy.", "source", source, "era", now.Era(), "era_before", before.Era(),
		"revision", f.state.eraListed.Counter(), "revision_before", before.Counter())
	restorations.Inc()
	if source != sourcePlatform {
		f.Reprobe() // This router's calls may still wait for changes in the previous era.
	}
	if f.options.OnRestored != nil {
		f.options.OnRestored()
	}
}

// Era counts how often the platform came back from an older copy, as far as is known here.
func (f *Follower) Era() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.revision.Era()
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
