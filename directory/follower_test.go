package directory

import (
	"context"
	"errors"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/walnutcove/walnutcove/config"
)

// fakeFeed is a feed with the entries that the test sets.
type fakeFeed[T any] struct {
	mu       sync.Mutex
	entries  map[string]Entry[T]
	revision config.Revision
	down     bool
	// silentUntil makes calls to Load before this time hang until they are cancelled.
	silentUntil time.Time
	// historyLost makes every call to Follow return ErrHistoryLost; loads counts the calls to
	// Load.
	historyLost bool
	loads       int
	changed     chan struct{}
	// delay is how long after it is due each answer arrives.
	delay time.Duration
}

// late waits for the delay of an answer; the error is that of ctx.
func (f *fakeFeed[T]) late(ctx context.Context) error {
	f.mu.Lock()
	delay := f.delay
	f.mu.Unlock()
	if delay == 0 {
		return nil
	}
	select {
	case <-time.After(delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func newFeed[T any]() *fakeFeed[T] {
	return &fakeFeed[T]{entries: make(map[string]Entry[T]), changed: make(chan struct{})}
}

var errDown = errors.New("down")

// set changes entries in one revision, which it returns.
func (f *fakeFeed[T]) set(entries ...Entry[T]) config.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision++
	for _, entry := range entries {
		entry.Revision = f.revision
		f.entries[entry.Key] = entry
	}
	f.notify()
	return f.revision
}

func (f *fakeFeed[T]) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
	f.notify()
}

func (f *fakeFeed[T]) notify() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// Load implements Feed.
func (f *fakeFeed[T]) Load(ctx context.Context) (Listing[T], error) {
	if time.Now().Before(f.silentUntil) {
		<-ctx.Done()
		return Listing[T]{}, ctx.Err()
	}
	if err := f.late(ctx); err != nil {
		return Listing[T]{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loads++
	if f.down {
		return Listing[T]{}, errDown
	}
	listing := Listing[T]{Revision: f.revision}
	for _, entry := range f.entries {
		if !entry.Gone {
			listing.Entries = append(listing.Entries, entry)
		}
	}
	return listing, nil
}

// Follow implements Feed.
func (f *fakeFeed[T]) Follow(ctx context.Context, after config.Revision, hold time.Duration) (Listing[T], error) {
	timer := time.NewTimer(hold)
	defer timer.Stop()
	for {
		f.mu.Lock()
		listing := Listing[T]{Revision: f.revision}
		for _, entry := range f.entries {
			if entry.Revision > after {
				listing.Entries = append(listing.Entries, entry)
			}
		}
		down, historyLost, changed := f.down, f.historyLost, f.changed
		f.mu.Unlock()
		switch {
		case !down && listing.Revision.Era() != after.Era():
			return Listing[T]{}, ErrRestored
		case !down && after > listing.Revision:
			return Listing[T]{}, ErrHistoryLost
		}
		if historyLost {
			return Listing[T]{}, ErrHistoryLost
		}
		if down {
			return Listing[T]{}, errDown
		}
		if len(listing.Entries) > 0 {
			return listing, f.late(ctx)
		}
		select {
		case <-changed:
		case <-timer.C:
			return listing, f.late(ctx)
		case <-ctx.Done():
			return Listing[T]{}, ctx.Err()
		}
	}
}

// harness is a follower with its own feeds.
type harness struct {
	configurations *fakeFeed[Directive]
	targets        *fakeFeed[config.Target]
	follower       *Follower
	// shared is Options.Shared, and live the last value passed to OnLiveChange.
	shared bool
	live   bool
	// restorations counts the calls of OnRestored.
	restorations int
	mu           sync.Mutex
	snapshots    []*config.Snapshot
}

func startHarness(t *testing.T) *harness {
	t.Helper()
	s := &harness{configurations: newFeed[Directive](), targets: newFeed[config.Target]()}
	s.run(t)
	return s
}

// startPopulated starts a harness whose directory is populated and loaded.
func startPopulated(t *testing.T) *harness {
	t.Helper()
	s := startHarness(t)
	s.populate()
	synctest.Wait()
	return s
}

// run starts the follower, which runs until the test ends.
func (s *harness) run(t *testing.T) {
	s.runWith(t, Options{Directives: s.configurations, Targets: s.targets})
}

// runWith is run with the given options, to which it adds those of the harness.
func (s *harness) runWith(t *testing.T, options Options) {
	options.OnChange = func(snapshot *config.Snapshot) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if n := len(s.snapshots); n > 0 && !snapshot.Order().After(s.snapshots[n-1].Order()) {
			t.Errorf("a snapshot at %+v after one at %+v is ignored", snapshot.Order(), s.snapshots[n-1].Order())
		}
		s.snapshots = append(s.snapshots, snapshot)
	}
	options.Shared = s.shared
	options.OnLiveChange = func(live bool) { s.live = live }
	options.OnRestored = func() { s.restorations++ }
	options.ReturnGrace = 2 * time.Second
	options.MinLapseTime = 2 * time.Second
	options.MaxLapseTime = maxLapse
	options.Log = slog.New(slog.DiscardHandler)
	s.follower = New(options)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		s.follower.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		s.checkDelivered(t)
	})
}

// checkDelivered checks that a peer sees in the newest snapshot's order all that is known here:
// otherwise each of its heartbeats causes another fetch.
func (s *harness) checkDelivered(t *testing.T) {
	t.Helper()
	if len(s.snapshots) == 0 {
		return
	}
	known, delivered := s.follower.Cursor(), s.snapshots[len(s.snapshots)-1].Order()
	if known.Version != delivered.Version || known.ConfigRevision != delivered.Config || known.Revision != delivered.Targets {
		t.Errorf("known is %+v, delivered %+v", known, delivered)
	}
}

// maxLapse is how long the platform lists a target that no longer renews its entry.
const maxLapse = 4 * time.Second

func version(number config.Version) Entry[Directive] {
	return Entry[Directive]{Key: "config", Value: Directive{Configuration: Configuration{
		Version:      number,
		Declarations: config.Declarations{Pools: map[string]config.Pool{"ops": {}}},
	}}}
}

func targetEntry(name string) Entry[config.Target] {
	return Entry[config.Target]{Key: name, Value: config.Target{Pool: "ops", Address: "127.0.0.1:1"}}
}

func removalOf(name string) Entry[config.Target] { return Entry[config.Target]{Key: name, Gone: true} }

// serves reports whether the newest snapshot contains a target.
func (s *harness) serves(name string) bool {
	synctest.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.snapshots) == 0 {
		return false
	}
	_, ok := s.snapshots[len(s.snapshots)-1].Declarations.Targets[name]
	return ok
}

func (s *harness) populate() {
	s.configurations.set(version(4))
	s.targets.set(targetEntry("a"), targetEntry("b"), targetEntry("c"), targetEntry("d"))
}

func TestRemovalIsAppliedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startHarness(t)
		s.populate()
		if !s.serves("a") {
			t.Fatal("the target is not served")
		}
		s.targets.set(removalOf("a"))
		if s.serves("a") {
			t.Error("a removed target is still served")
		}
	})
}

// TestLapsedTargetsMayReturn checks that entries that are missing when the platform recovers
// are kept for the grace period and then removed if they have not reappeared.
func TestLapsedTargetsMayReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startPopulated(t)
		s.targets.setDown(true)
		time.Sleep(4 * time.Second)
		s.targets.set(removalOf("a"))
		s.targets.set(removalOf("b"))
		s.targets.setDown(false)
		time.Sleep(1500 * time.Millisecond)
		if !s.serves("a") || !s.serves("b") {
			t.Error("a lapsed target was removed before it had time to return")
		}
		s.targets.set(targetEntry("a"))
		time.Sleep(3 * time.Second)
		if !s.serves("a") {
			t.Error("a target that returned is not served")
		}
		if s.serves("b") {
			t.Error("a target that did not return is still served")
		}
	})
}

// startPair returns two harnesses with the same content.
func startPair(t *testing.T) (one, other *harness) {
	one, other = startHarness(t), startHarness(t)
	one.populate()
	other.populate()
	synctest.Wait()
	return one, other
}

// TestRemovalAfterLapseWindowIsApplied checks that a target that leaves some time after the
// platform's recovery is removed at once, because its entry did not lapse.
func TestRemovalAfterLapseWindowIsApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startPopulated(t)
		s.targets.setDown(true)
		time.Sleep(4 * time.Second)
		s.targets.setDown(false)
		time.Sleep(2400 * time.Millisecond)
		s.targets.set(removalOf("a"))
		if s.serves("a") {
			t.Error("a target that left is still served")
		}
	})
}

// TestRemovalFromPeerIsApplied checks that a router that the platform refuses applies a removal
// that another router reports.
func TestRemovalFromPeerIsApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, other := startPair(t)
		s.targets.setDown(true)
		time.Sleep(time.Second)
		other.targets.set(removalOf("a"))
		synctest.Wait()
		encoded, err := other.follower.Export(t.Context(), Cursor{})
		if err != nil {
			t.Fatal(err)
		}
		if err := s.follower.Import("other", encoded); err != nil {
			t.Fatal(err)
		}
		if s.serves("a") {
			t.Error("a target that another router reported as removed is served")
		}
	})
}

// TestRemovalOfMostOfAPoolIsDeferred checks that the removal of most of a pool at once and
// without notice is taken for a stall of the platform.
func TestRemovalOfMostOfAPoolIsDeferred(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startPopulated(t)
		s.targets.set(removalOf("a"), removalOf("b"), removalOf("c"))
		if !s.serves("a") {
			t.Error("most of the pool was removed at once")
		}
		time.Sleep(3 * time.Second)
		if s.serves("a") {
			t.Error("a target that did not return is still served")
		}
	})
}

// TestOlderPeerExportIsIgnored checks that an older version, or an older listing, from a peer
// changes nothing.
func TestOlderPeerExportIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, other := startPair(t)
		old, err := other.follower.Export(t.Context(), Cursor{})
		if err != nil {
			t.Fatal(err)
		}
		s.configurations.set(version(9))
		s.targets.set(removalOf("a"))
		synctest.Wait()
		if err := s.follower.Import("other", old); err != nil {
			t.Fatal(err)
		}
		if s.serves("a") {
			t.Error("an older listing restored a target")
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if newest := s.snapshots[len(s.snapshots)-1]; newest.Version != 9 {
			t.Errorf("version %d is in force", newest.Version)
		}
	})
}

// TestReadySoonAfterPlatformWasUnresponsive checks that a router that starts while the platform
// does not answer has its snapshot soon after the platform's recovery, although its first call is
// never answered.
func TestReadySoonAfterPlatformWasUnresponsive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &harness{configurations: newFeed[Directive](), targets: newFeed[config.Target]()}
		recovery := time.Now().Add(200 * time.Millisecond)
		s.configurations.silentUntil, s.targets.silentUntil = recovery, recovery
		s.populate()
		s.run(t)
		select {
		case <-s.follower.Ready():
		case <-time.After(10 * time.Second):
			t.Fatal("no snapshot")
		}
		if late := time.Since(recovery); late > 300*time.Millisecond {
			t.Errorf("ready %s after the platform's recovery", late)
		}
	})
}

// TestExportHoldsOnlyNewEntries checks that a router that knows most of the directory receives
// only the rest, and has the same snapshot afterwards.
func TestExportHoldsOnlyNewEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, other := startPair(t)
		cursor := s.follower.Cursor()
		other.targets.set(targetEntry("e"))
		other.targets.set(removalOf("a"))
		synctest.Wait()
		encoded, err := other.follower.Export(t.Context(), cursor)
		if err != nil {
			t.Fatal(err)
		}
		if strings.Contains(string(encoded), `"b"`) || strings.Contains(string(encoded), "ops\":{") {
			t.Errorf("known entries are exported again: %s", encoded)
		}
		if err := s.follower.Import("other", encoded); err != nil {
			t.Fatal(err)
		}
		if !s.serves("e") || s.serves("a") || !s.serves("b") {
			t.Error("the snapshots differ")
		}
	})
}

// TestReloadsArePacedAfterLostHistory guards against reloading in a tight loop from a platform
// that drops its history again and again.
func TestReloadsArePacedAfterLostHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startPopulated(t)
		s.targets.mu.Lock()
		s.targets.historyLost, s.targets.loads = true, 0
		s.targets.notify()
		s.targets.mu.Unlock()
		time.Sleep(10 * time.Second)
		s.targets.mu.Lock()
		loads := s.targets.loads
		s.targets.mu.Unlock()
		if loads < 5 || loads > 30 {
			t.Errorf("%d loads in 10 s", loads)
		}
	})
}

// TestListingWithoutMostOfAPoolIsDeferred checks that a new listing that lacks most of a pool
// is taken for a stall of the platform, too.
func TestListingWithoutMostOfAPoolIsDeferred(t *testing.T) {
	s := newState()
	for _, name := range []string{"a", "b", "c"} {
		entry := targetEntry(name)
		entry.Revision = 1
		s.apply([]Entry[config.Target]{entry}, time.Time{})
	}
	entries := s.withRemovals(Listing[config.Target]{Revision: 9})
	if len(entries) != 3 || !s.emptiesPool(entries) {
		t.Errorf("%+v", entries)
	}
}

// TestFeedAges checks that a call that waits for changes reports how long it has waited, and
// when the answer before it arrived: that of the verifying call.
func TestFeedAges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startPopulated(t)
		s.targets.set(targetEntry("e"))
		time.Sleep(7 * time.Second)
		s.configurations.set(version(5))
		time.Sleep(2 * time.Second)
		ages := s.follower.FeedAges()
		if got := ages[feedConfigurations]; got.Answer != 2*time.Second-verifyHold || got.Call != got.Answer || got.Stale != 0 {
			t.Errorf("configurations: %+v", got)
		}
		if got := ages[feedTargets]; got.Answer != 9*time.Second-verifyHold {
			t.Errorf("targets: %+v", got)
		}
	})
}
