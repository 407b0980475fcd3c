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

// fakeFeed gives what the test puts into it.
type fakeFeed[T any] struct {
	mu       sync.Mutex
	entries  map[string]Entry[T]
	revision config.Revision
	down     bool
	// silent makes calls to Load that come before it ends hang until they give up.
	silent time.Time
	// forgetful makes every call to Follow find its history gone; loads counts loads.
	forgetful bool
	loads     int
	changed   chan struct{}
}

func newFeed[T any]() *fakeFeed[T] {
	return &fakeFeed[T]{entries: make(map[string]Entry[T]), changed: make(chan struct{})}
}

var errDown = errors.New("down")

// set changes entries together and returns their revision.
func (f *fakeFeed[T]) set(entries ...Entry[T]) config.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision++
	for _, entry := range entries {
		entry.Revision = f.revision
		f.entries[entry.Key] = entry
	}
	f.wake()
	return f.revision
}

func (f *fakeFeed[T]) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
	f.wake()
}

func (f *fakeFeed[T]) wake() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// Load implements Feed.
func (f *fakeFeed[T]) Load(ctx context.Context) (Listing[T], error) {
	if time.Now().Before(f.silent) {
		<-ctx.Done()
		return Listing[T]{}, ctx.Err()
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
		down, forgetful, changed := f.down, f.forgetful, f.changed
		f.mu.Unlock()
		switch {
		case !down && listing.Revision.Era() != after.Era():
			return Listing[T]{}, ErrRestored
		case !down && after > listing.Revision:
			return Listing[T]{}, ErrHistoryLost
		}
		if forgetful {
			return Listing[T]{}, ErrHistoryLost
		}
		if down {
			return Listing[T]{}, errDown
		}
		if len(listing.Entries) > 0 {
			return listing, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return listing, nil
		case <-ctx.Done():
			return Listing[T]{}, ctx.Err()
		}
	}
}

// scene is a follower with feeds of its own.
type scene struct {
	configurations *fakeFeed[Directive]
	targets        *fakeFeed[config.Target]
	follower       *Follower
	// shared is Options.Shared, and live what OnFollowing was told last.
	shared    bool
	live      bool
	mu        sync.Mutex
	snapshots []*config.Snapshot
}

func startScene(t *testing.T) *scene {
	t.Helper()
	s := &scene{configurations: newFeed[Directive](), targets: newFeed[config.Target]()}
	s.run(t)
	return s
}

// startPopulated starts a scene whose directory is known.
func startPopulated(t *testing.T) *scene {
	t.Helper()
	s := startScene(t)
	s.populate()
	synctest.Wait()
	return s
}

// run starts the follower until the test ends.
func (s *scene) run(t *testing.T) {
	s.runWith(t, Options{Directives: s.configurations, Targets: s.targets})
}

// runWith does the same with options of the test's own; the scene's are added.
func (s *scene) runWith(t *testing.T, options Options) {
	options.OnChange = func(snapshot *config.Snapshot) {
		s.mu.Lock()
		s.snapshots = append(s.snapshots, snapshot)
		s.mu.Unlock()
	}
	options.Shared = s.shared
	options.OnFollowing = func(live bool) { s.live = live }
	options.ReturnGrace = 2 * time.Second
	options.ShortestLapse = 2 * time.Second
	options.LongestLapse = longestLapse
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
	})
}

// longestLapse is how long the platform lists a target that is gone.
const longestLapse = 4 * time.Second

func version(number config.Version) Entry[Directive] {
	return Entry[Directive]{Key: "config", Value: Directive{Configuration: Configuration{
		Version:      number,
		Declarations: config.Declarations{Pools: map[string]config.Pool{"ops": {}}},
	}}}
}

func targetEntry(name string) Entry[config.Target] {
	return Entry[config.Target]{Key: name, Value: config.Target{Pool: "ops", Address: "127.0.0.1:1"}}
}

func gone(name string) Entry[config.Target] { return Entry[config.Target]{Key: name, Gone: true} }

// serves says whether the newest snapshot has a target.
func (s *scene) serves(name string) bool {
	synctest.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.snapshots) == 0 {
		return false
	}
	_, ok := s.snapshots[len(s.snapshots)-1].Declarations.Targets[name]
	return ok
}

func (s *scene) populate() {
	s.configurations.set(version(4))
	s.targets.set(targetEntry("a"), targetEntry("b"), targetEntry("c"), targetEntry("d"))
}

func TestRemovalIsBelievedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startScene(t)
		s.populate()
		if !s.serves("a") {
			t.Fatal("the target is not served")
		}
		s.targets.set(gone("a"))
		if s.serves("a") {
			t.Error("a removed target is still served")
		}
	})
}

// TestLapsesHaveTimeToReturn: entries that are missing when the platform returns
// are kept for the grace, and go then if they have not come back.
func TestLapsesHaveTimeToReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startPopulated(t)
		s.targets.setDown(true)
		time.Sleep(4 * time.Second)
		s.targets.set(gone("a"))
		s.targets.set(gone("b"))
		s.targets.setDown(false)
		time.Sleep(1500 * time.Millisecond)
		if !s.serves("a") || !s.serves("b") {
			t.Error("a lapsed target went before it had time to return")
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

// startPair returns two scenes that know the same.
func startPair(t *testing.T) (one, other *scene) {
	one, other = startScene(t), startScene(t)
	one.populate()
	other.populate()
	synctest.Wait()
	return one, other
}

// TestRemovalSoonAfterReturnIsMeant: a target that leaves a while after the
// platform's return is not doubted, as it did not lapse.
func TestRemovalSoonAfterReturnIsMeant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startPopulated(t)
		s.targets.setDown(true)
		time.Sleep(4 * time.Second)
		s.targets.setDown(false)
		time.Sleep(2400 * time.Millisecond)
		s.targets.set(gone("a"))
		if s.serves("a") {
			t.Error("a target that left is still served")
		}
	})
}

// TestPeersRemovalIsBelieved: a router that the platform turns away believes a
// removal that another one tells of.
func TestPeersRemovalIsBelieved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, other := startPair(t)
		s.targets.setDown(true)
		time.Sleep(time.Second)
		other.targets.set(gone("a"))
		synctest.Wait()
		encoded, err := other.follower.Export(Known{})
		if err != nil {
			t.Fatal(err)
		}
		if err := s.follower.Import("other", encoded); err != nil {
			t.Fatal(err)
		}
		if s.serves("a") {
			t.Error("a target that another router knows to be gone is served")
		}
	})
}

// TestWholePoolMissingIsDoubted: where most of a pool goes at once without
// notice, the platform stood still.
func TestWholePoolMissingIsDoubted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startPopulated(t)
		s.targets.set(gone("a"), gone("b"), gone("c"))
		if !s.serves("a") {
			t.Error("most of the pool was given up at once")
		}
		time.Sleep(3 * time.Second)
		if s.serves("a") {
			t.Error("a target that did not return is still served")
		}
	})
}

// TestVersionsOnlyRise: an older version, or an older listing, from a peer
// changes nothing.
func TestVersionsOnlyRise(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, other := startPair(t)
		old, err := other.follower.Export(Known{})
		if err != nil {
			t.Fatal(err)
		}
		s.configurations.set(version(9))
		s.targets.set(gone("a"))
		synctest.Wait()
		if err := s.follower.Import("other", old); err != nil {
			t.Fatal(err)
		}
		if s.serves("a") {
			t.Error("an older listing brought a target back")
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if newest := s.snapshots[len(s.snapshots)-1]; newest.Version != 9 {
			t.Errorf("version %d is in force", newest.Version)
		}
	})
}

// TestStartSoonAfterSilence: a router that starts while the platform is silent has
// its snapshot soon after the platform's return, though its first call stays
// unanswered.
func TestStartSoonAfterSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scene{configurations: newFeed[Directive](), targets: newFeed[config.Target]()}
		returns := time.Now().Add(200 * time.Millisecond)
		s.configurations.silent, s.targets.silent = returns, returns
		s.populate()
		s.run(t)
		select {
		case <-s.follower.Ready():
		case <-time.After(10 * time.Second):
			t.Fatal("no snapshot")
		}
		if late := time.Since(returns); late > 300*time.Millisecond {
			t.Errorf("ready %s after the platform's return", late)
		}
	})
}

// TestExportHoldsWhatIsNew: a router that knows most is told the rest alone, and
// has the same snapshot afterwards.
func TestExportHoldsWhatIsNew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, other := startPair(t)
		known := s.follower.Known()
		other.targets.set(targetEntry("e"))
		other.targets.set(gone("a"))
		synctest.Wait()
		encoded, err := other.follower.Export(known)
		if err != nil {
			t.Fatal(err)
		}
		if strings.Contains(string(encoded), `"b"`) || strings.Contains(string(encoded), "ops\":{") {
			t.Errorf("what is known is told again: %s", encoded)
		}
		if err := s.follower.Import("other", encoded); err != nil {
			t.Fatal(err)
		}
		if !s.serves("e") || s.serves("a") || !s.serves("b") {
			t.Error("the snapshots differ")
		}
	})
}

// TestForgottenHistoryIsNoStorm: a platform that drops its history again and again is
// not asked in a loop without a pause.
func TestForgottenHistoryIsNoStorm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startPopulated(t)
		s.targets.mu.Lock()
		s.targets.forgetful, s.targets.loads = true, 0
		s.targets.wake()
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

// TestMissingFromAListingIsDoubtedToo: where a new listing lacks most of a pool, the
// platform may have stood still.
func TestMissingFromAListingIsDoubtedToo(t *testing.T) {
	s := newState()
	for _, name := range []string{"a", "b", "c"} {
		entry := targetEntry(name)
		entry.Revision = 1
		s.apply([]Entry[config.Target]{entry}, time.Time{})
	}
	entries := s.withMissing(Listing[config.Target]{Revision: 9})
	if len(entries) != 3 || !s.emptiesPool(entries) {
		t.Errorf("%+v", entries)
	}
}

// TestAgesTellWhenTheFeedsAnswered: a call that waits for changes shows how long it
// has waited, and when the answer before it came: that of the call that proved it.
func TestAgesTellWhenTheFeedsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startPopulated(t)
		s.targets.set(targetEntry("e"))
		time.Sleep(7 * time.Second)
		s.configurations.set(version(5))
		time.Sleep(2 * time.Second)
		ages := s.follower.Ages()
		if got := ages[feedConfigurations]; got.Answer != 2*time.Second-provingHold || got.Call != got.Answer || got.Stale != 0 {
			t.Errorf("configurations: %+v", got)
		}
		if got := ages[feedTargets]; got.Answer != 9*time.Second-provingHold {
			t.Errorf("targets: %+v", got)
		}
	})
}
