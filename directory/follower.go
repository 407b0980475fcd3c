package directory

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/wait"
)

const (
	// lapseWindow is how long after the platform's recovery a removal may be a lapse: the
	// platform dropped the entry because the target could not renew it during the outage. Later
	// removals are intentional.
	lapseWindow = time.Second
	// graceMargin is added to ReturnGrace for the delays of the platform and of this router.
	graceMargin = 500 * time.Millisecond
	// batchDelayPerRouter, times the number of routers, is how long changes are batched after an
	// answer that held some; maxBatchDelay is the upper limit. Without the delay, many targets
	// that start together would cost one call of every router per change. The first change is
	// applied at once; peers report the others in between.
	batchDelayPerRouter = 10 * time.Millisecond
	maxBatchDelay       = 800 * time.Millisecond
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
	removalsDeferred = metrics.GetOrCreateCounter(`walnut_directory_removals_doubted_total`)
)

// sourcePlatform is the value of the log attribute source for changes that come from the
// platform rather than from a peer.
const sourcePlatform = "platform"

// Options configure a Follower.
type Options struct {
	// Directives and Targets are the feeds. Required.
	Directives Feed[Directive]
	Targets    Feed[config.Target]
	// OnChange receives each new snapshot, in order, on one goroutine at a time. Required.
	OnChange func(*config.Snapshot)
	// ReturnGrace is how long targets whose entries lapsed during an outage of the platform may
	// take to register again after it; see settings.Platform.
	ReturnGrace time.Duration
	// MinLapseTime is the shortest outage of the platform in which entries can lapse; see
	// settings.Platform.
	MinLapseTime time.Duration
	// MaxLapseTime is the longest time that the platform lists a target that no longer renews
	// its entry; see settings.Platform.
	MaxLapseTime time.Duration
	// OnRestored is called when the platform's store was restored from an older copy, which
	// lacks what routers have written since; may be nil. It must not block.
	OnRestored func()
	// ProbeEra returns the platform's current era; nil disables era probes.
	ProbeEra func(context.Context) (era uint64, err error)
	// Shared reports whether routers share the feeds: this router follows them while SetFeedRole
	// requires it, and otherwise learns from its peers through Import.
	Shared bool
	// OnLiveChange is called at each change with whether this router follows both feeds and
	// they answer; may be nil.
	OnLiveChange func(live bool)
	// Routers returns the number of routers in the fleet; nil means one.
	Routers func() int
	// Log receives a line for each change and whenever a feed is lost or recovered. Required.
	Log *slog.Logger
}

// Follower maintains the newest snapshot. Create it with New.
type Follower struct {
	options Options

	mu    sync.Mutex
	state state
	// known summarizes state for readers that must not wait for an update: mu is held while a
	// snapshot is delivered.
	known atomic.Pointer[summary]
	// announced is the newest version that peers announced; nil if there is none.
	announced atomic.Pointer[announcement]
	// generation counts the updates of state.
	generation uint64
	exports    *exports
	// delivered is the order of the last snapshot passed to OnChange; zero before the first.
	delivered config.SnapshotOrder
	// recoveredAt is when the targets feed last recovered from an outage in which entries may
	// have lapsed, or was restored from an older copy; zero if it never did.
	recoveredAt time.Time
	// role tracks whether this router follows the feeds.
	role *roleTracker
	// callTimes holds the call and answer times of each feed. The map itself is not modified.
	callTimes map[string]*callTimes
	reprobes  *reprobes
	// wake interrupts the wait of runExpiry.
	wake chan struct{}
	// ready is closed with the first snapshot.
	ready     chan struct{}
	readyOnce sync.Once
}

// summary describes how much of the directory is known.
type summary struct {
	order              config.SnapshotOrder
	listed, peerSynced bool
}

// New returns a follower that does nothing before Run.
func New(options Options) *Follower {
	return &Follower{
		options:   options,
		state:     newState(),
		role:      newRoleTracker(options),
		callTimes: map[string]*callTimes{feedConfigurations: {}, feedTargets: {}},
		reprobes:  newReprobes(),
		exports:   newExports(),
		wake:      make(chan struct{}, 1),
		ready:     make(chan struct{}),
	}
}

// Ready returns a channel that is closed once there is a snapshot.
func (f *Follower) Ready() <-chan struct{} { return f.ready }

// Run follows both feeds until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { newPoller(f, feedConfigurations, f.options.Directives, f.applyDirectives).run(ctx) })
	running.Go(func() { newPoller(f, feedTargets, f.options.Targets, f.applyTargets).run(ctx) })
	running.Go(func() { f.runExpiry(ctx) })
	running.Go(func() { f.runEraProbes(ctx) })
	running.Wait()
}

// listingInfo describes how a listing was obtained.
type listingInfo struct {
	// complete reports that the listing holds all entries, not just the changed ones.
	complete bool
	// afterOutage reports that the platform was unavailable before the listing for so long that
	// entries may have lapsed.
	afterOutage bool
}

// batchDelay returns how long to wait after a change before the next call.
func (f *Follower) batchDelay() time.Duration {
	if f.options.Routers == nil {
		return 0
	}
	return min(maxBatchDelay, time.Duration(f.options.Routers())*batchDelayPerRouter)
}

// removalAcceptTime returns when a removal that the platform reports now takes effect; zero for
// immediately. f.mu must be held.
func (f *Follower) removalAcceptTime() time.Time {
	if f.recoveredAt.IsZero() || time.Since(f.recoveredAt) > lapseWindow {
		return time.Time{}
	}
	removalsDeferred.Inc()
	return f.recoveredAt.Add(f.grace())
}

// grace returns how long entries may take to reappear once the platform has recovered.
func (f *Follower) grace() time.Duration { return f.options.ReturnGrace + graceMargin }

func (f *Follower) applyDirectives(listing Listing[Directive], info listingInfo) {
	f.update(sourcePlatform, func(s *state) bool {
		changed := info.complete && s.endMissingEvacuations(listing, time.Now().Add(f.grace()))
		for _, entry := range listing.Entries {
			if entry.Value.Evacuates != "" {
				changed = s.applyEvacuation(entry.Value.Evacuates, evacuation{revision: entry.Revision, ended: entry.Gone}) || changed
				continue
			}
			if entry.Gone {
				continue
			}
			if entry.Value.Version < s.configuration.Version {
				f.options.Log.Info("directory: Older configuration version ignored.", "version", uint64(entry.Value.Version),
					"in_force", uint64(s.configuration.Version), "revision", entry.Revision)
			}
			entry.Value.Revision, entry.Value.Format = entry.Revision, declarationsFormat
			changed = s.applyConfiguration(entry.Value.Configuration) || changed
		}
		return changed
	})
}

func (f *Follower) applyTargets(listing Listing[config.Target], info listingInfo) {
	f.update(sourcePlatform, func(s *state) bool {
		entries := listing.Entries
		restored := s.listed && s.revision.Era() < listing.Revision.Era()
		s.listed = true
		if info.complete {
			s.enterEra(listing.Revision)
			listing.Entries = s.withoutSuperseded(entries, time.Now().Add(f.options.MaxLapseTime))
			entries = s.withRemovals(listing)
		}
		if info.afterOutage || restored {
			f.recoveredAt = time.Now()
		}
		acceptAt := f.removalAcceptTime()
		if acceptAt.IsZero() && s.emptiesPool(entries) {
			acceptAt = time.Now().Add(f.grace())
		}
		return s.apply(entries, acceptAt)
	})
}

// update applies changes to the state, then logs and delivers the result. apply reports whether
// the content changed. Snapshots are delivered in order because the lock is held.
func (f *Follower) update(source string, apply func(*state) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before, listedBefore, revisionBefore := f.state.configuration.Version, f.state.listed, f.state.revision
	evacuatedBefore := f.state.evacuatedDataCentres()
	missing := f.missing()
	f.generation++
	f.state.change(apply)
	f.known.Store(&summary{order: f.state.order(), listed: f.state.listed, peerSynced: f.state.peerSynced})
	f.noteArrival(missing)
	if f.state.configuration.Version != before {
		f.state.origin = config.Origin{Source: source, At: time.Now()}
	}
	if listedBefore {
		f.noteEra(source, revisionBefore)
	}
	f.noteEvacuations(source, evacuatedBefore)
	f.wakeExpiry()
	f.deliver(source, before)
}

// deliver delivers a snapshot if more is known than was delivered, by whichever update it became
// known. f.mu must be held.
func (f *Follower) deliver(source string, before config.Version) {
	if f.state.order() == f.delivered {
		return
	}
	snapshot := f.state.snapshot()
	if snapshot == nil {
		return
	}
	f.delivered = snapshot.Order()
	f.options.Log.Info("directory: Snapshot updated.", "source", source, "version", uint64(snapshot.Version), "version_before", uint64(before),
		"targets", len(snapshot.Declarations.Targets), "targets_revision", snapshot.TargetsRevision.String())
	f.options.OnChange(snapshot)
	f.readyOnce.Do(func() { close(f.ready) })
}

// noteEra logs, counts and reports a new era, which shows that the platform's store was restored
// from an older copy. before is the revision of an earlier listing. f.mu must be held.
func (f *Follower) noteEra(source string, before config.Revision) {
	now := f.state.revision
	if before.Era() == now.Era() {
		return
	}
	f.options.Log.Warn("directory: Platform store was restored from an older copy.", "source", source, "era", now.Era(), "era_before", before.Era(),
		"revision", f.state.eraListed.Counter(), "revision_before", before.Counter())
	restorations.Inc()
	if source != sourcePlatform {
		f.Reprobe() // This router's calls may still wait for changes in the previous era.
	}
	if f.options.OnRestored != nil {
		f.options.OnRestored()
	}
}

// Era returns how often the platform's store was restored from an older copy, as far as is
// known here.
func (f *Follower) Era() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.revision.Era()
}

// wakeExpiry makes runExpiry recompute the next expiry.
func (f *Follower) wakeExpiry() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// runExpiry applies deferred removals, ends evacuations and confirms unconfirmed entries when
// they are due, until ctx ends.
func (f *Follower) runExpiry(ctx context.Context) {
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
		f.update("lapse", func(s *state) bool {
			changed, _ := s.expire(time.Now())
			return changed
		})
	}
}
