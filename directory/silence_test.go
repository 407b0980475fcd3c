package directory

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/walnutcove/walnutcove/config"
)

// Versions that the platform had accepted were not in force at any router for 24 s after its
// store had been silent for 5 s, and requests reached targets that had left more than two
// seconds before. No router reported that it had lost anything.
//
// A router waits for changes with a call that the store answers at the next change, or after 30
// s, and makes the next such call about 90 ms after a change. If changes follow each other
// closely and the store falls silent between two of them, that call is made during the silence.
// The store never answers it, not even after its recovery; calls that were waiting before the
// silence are answered.
//
// The router took the missing answer for "no change". Nothing showed whether the store had
// received the call, so the loss was noticed only at the end of the 30 s. The gauges of the
// calls' age proved it: each router's call for versions had waited 31.0 s when the router gave
// up, while its call for targets, made before the silence, was answered in time.

// maxUpdateDelay is how long after the store's first answer its changes may take to be in
// force.
const maxUpdateDelay = time.Second

// silentStore controls when a store and all feeds on it are silent.
type silentStore struct {
	mu    sync.Mutex
	until time.Time
	// callsLost is closed and replaced when the waiting calls are lost.
	callsLost chan struct{}
	calls     int
}

func newSilentStore() *silentStore { return &silentStore{callsLost: make(chan struct{})} }

func (s *silentStore) begin(length time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.until = time.Now().Add(length)
}

// loseWaiting loses the waiting calls, as a store does that restarts behind connections that
// stay open.
func (s *silentStore) loseWaiting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.callsLost)
	s.callsLost = make(chan struct{})
}

// count counts a call and returns a channel that is closed when it is lost.
func (s *silentStore) count() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	return s.callsLost
}

func (s *silentStore) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// silenceLeft returns how long the store stays silent.
func (s *silentStore) silenceLeft() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Until(s.until)
}

// silentStoreFeed is a feed on a store that falls silent: calls made during the silence are
// never answered, calls that were waiting before it are answered at its end.
type silentStoreFeed[T any] struct {
	*fakeFeed[T]
	store *silentStore
}

// Load implements Feed.
func (f silentStoreFeed[T]) Load(ctx context.Context) (Listing[T], error) {
	f.store.count()
	if f.store.silenceLeft() > 0 {
		<-ctx.Done()
		return Listing[T]{}, ctx.Err()
	}
	return f.fakeFeed.Load(ctx)
}

// Follow implements Feed.
func (f silentStoreFeed[T]) Follow(ctx context.Context, after config.Revision, hold time.Duration) (Listing[T], error) {
	lost := f.store.count()
	if f.store.silenceLeft() > 0 {
		<-ctx.Done()
		return Listing[T]{}, ctx.Err()
	}
	for {
		listing, err := f.fakeFeed.Follow(ctx, after, hold)
		silent := f.store.silenceLeft()
		select {
		case <-lost:
			<-ctx.Done()
			return Listing[T]{}, ctx.Err()
		default:
		}
		if err != nil || silent <= 0 {
			return listing, err
		}
		select {
		case <-time.After(silent):
		case <-ctx.Done():
			return Listing[T]{}, ctx.Err()
		}
	}
}

// startOnSilentStore starts a populated harness on a store that can fall silent, as one of
// several routers.
func startOnSilentStore(t *testing.T) (*harness, *silentStore) {
	t.Helper()
	s := &harness{configurations: newFeed[Directive](), targets: newFeed[config.Target](), shared: true}
	store := newSilentStore()
	s.populate()
	s.runWith(t, Options{
		Directives: silentStoreFeed[Directive]{s.configurations, store},
		Targets:    silentStoreFeed[config.Target]{s.targets, store},
		Routers:    func() int { return 9 },
	})
	time.Sleep(3 * time.Second) // until it follows the feeds
	return s, store
}

// version returns the newest version in force.
func (s *harness) version() config.Version {
	synctest.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.snapshots) == 0 {
		return 0
	}
	return s.snapshots[len(s.snapshots)-1].Version
}

// TestUpToDateSoonAfterStoreWasUnresponsive checks that, whatever calls were pending when the
// store stopped answering, the newest version and the targets that left meanwhile are known soon
// after its recovery.
func TestUpToDateSoonAfterStoreWasUnresponsive(t *testing.T) {
	const (
		step     = 40 * time.Millisecond
		maxDelay = 1200 * time.Millisecond
	)
	for _, length := range []time.Duration{200 * time.Millisecond, time.Second, 5 * time.Second, 40 * time.Second} {
		for delay := time.Duration(0); delay < maxDelay; delay += step {
			t.Run(fmt.Sprintf("%s/%s", length, delay), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { checkUpdatesAfterSilence(t, delay, length) })
			})
		}
	}
}

// checkUpdatesAfterSilence silences the store for a length of time, which begins with a delay
// after a change of each feed. It changes the feeds during the silence and after it, and checks
// that the changes become known.
func checkUpdatesAfterSilence(t *testing.T, delay, length time.Duration) {
	s, store := startOnSilentStore(t)
	s.configurations.set(version(5))
	leaving := targetEntry("a")
	leaving.Value.Leaving = true
	s.targets.set(leaving)
	time.Sleep(delay)
	store.begin(length)
	time.Sleep(length / 2)
	s.configurations.set(version(6))
	time.Sleep(length - length/2)

	s.configurations.set(version(7))
	leaving = targetEntry("b")
	leaving.Value.Leaving = true
	s.targets.set(leaving)
	time.Sleep(maxUpdateDelay)
	if got := s.version(); got != 7 {
		t.Errorf("%s after the recovery version %d is in force", maxUpdateDelay, got)
	}
	if s.hasServing("b") {
		t.Errorf("%s after the recovery a leaving target still counts as serving", maxUpdateDelay)
	}
	time.Sleep(4 * time.Second)
	s.targets.set(removalOf("c"))
	if s.serves("c") {
		t.Error("a target that left long after the recovery is still served")
	}
}

// hasServing reports whether the newest snapshot contains a target that is not leaving.
func (s *harness) hasServing(name string) bool {
	synctest.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.snapshots) == 0 {
		return false
	}
	found, ok := s.snapshots[len(s.snapshots)-1].Declarations.Targets[name]
	return ok && !found.Leaving
}

// TestReprobeReplacesLostCalls checks that calls that were waiting before a silence, and that
// the store lost in it, are reissued when another router reports the silence.
func TestReprobeReplacesLostCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, store := startOnSilentStore(t)
		time.Sleep(5 * time.Second) // until the calls use the long hold
		store.loseWaiting()
		s.configurations.set(version(6))
		time.Sleep(maxUpdateDelay)
		if got := s.version(); got != 4 {
			t.Fatalf("version %d is in force, though the calls were lost", got)
		}
		s.follower.Reprobe()
		time.Sleep(maxUpdateDelay)
		if got := s.version(); got != 6 {
			t.Errorf("version %d is in force %s after the reprobe", got, maxUpdateDelay)
		}
	})
}

// TestLostCallsExpire checks that without such a report lost calls are detected when they
// should have been answered.
func TestLostCallsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, store := startOnSilentStore(t)
		time.Sleep(5 * time.Second)
		store.loseWaiting()
		s.configurations.set(version(6))
		time.Sleep(proberMaxHold + maxUpdateDelay)
		if got := s.version(); got != 6 {
			t.Errorf("version %d is in force", got)
		}
	})
}

// TestOnlyProberVerifiesCalls checks that a change costs a router one call of its feed, and the
// prober, which verifies calls for the others, a second one; without changes no router makes
// any.
func TestOnlyProberVerifiesCalls(t *testing.T) {
	for probe, want := range map[bool]int{true: 2, false: 1} {
		synctest.Test(t, func(t *testing.T) {
			s, store := startOnSilentStore(t)
			s.follower.SetFeedRole(FeedRole{Follow: true, Probe: probe})
			time.Sleep(5 * time.Second)
			before := store.callCount()
			s.configurations.set(version(5))
			time.Sleep(3 * time.Second)
			if calls := store.callCount() - before; calls != want {
				t.Errorf("probe %v: %d calls for a change", probe, calls)
			}
		})
	}
}

// TestNewProberReissuesCalls checks that a router that becomes the prober does not trust the
// calls that another router verified before.
func TestNewProberReissuesCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, store := startOnSilentStore(t)
		s.follower.SetFeedRole(FeedRole{Follow: true})
		time.Sleep(5 * time.Second)
		store.loseWaiting()
		s.configurations.set(version(6))
		s.follower.SetFeedRole(FeedRole{Follow: true, Probe: true})
		time.Sleep(maxUpdateDelay)
		if got := s.version(); got != 6 {
			t.Errorf("version %d is in force", got)
		}
	})
}

// TestRemovalAfterShortOutageIsApplied checks that a target that is missing after a short
// outage is removed at once: entries cannot lapse while the store is away for less than the
// lapse time.
func TestRemovalAfterShortOutageIsApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, store := startOnSilentStore(t)
		s.targets.set(targetEntry("e"))
		time.Sleep(50 * time.Millisecond)
		store.begin(time.Second)
		time.Sleep(1200 * time.Millisecond)
		s.targets.set(removalOf("a"))
		time.Sleep(maxUpdateDelay)
		if s.serves("a") {
			t.Error("a target that left is still served")
		}
	})
}

// TestStalenessDuringSilence checks that a feed counts as stale from the moment at which its
// call should have been answered, with its age taken from the last answer, until there is
// another answer.
func TestStalenessDuringSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, store := startOnSilentStore(t)
		stale := func() time.Duration { return s.follower.FeedAges()[feedConfigurations].Stale }
		if got := stale(); got != 0 {
			t.Errorf("stale by %s before the silence", got)
		}
		s.configurations.set(version(5))
		time.Sleep(50 * time.Millisecond)
		store.begin(10 * time.Second)
		time.Sleep(9 * time.Second)
		if got := stale(); got != 9050*time.Millisecond {
			t.Errorf("stale by %s 9 s into the silence", got)
		}
		time.Sleep(2 * time.Second)
		if got := stale(); got != 0 {
			t.Errorf("stale by %s after the silence", got)
		}
	})
}

// TestLoadsOfLargeFleetArePaced checks that a router that has to load everything from a silent
// store retries less often if the fleet has many routers.
func TestLoadsOfLargeFleetArePaced(t *testing.T) {
	const silence = time.Minute
	for routers, maxCalls := range map[int]int{9: 300, 340: 60} {
		synctest.Test(t, func(t *testing.T) {
			s := &harness{configurations: newFeed[Directive](), targets: newFeed[config.Target](), shared: true}
			store := newSilentStore()
			store.begin(silence)
			s.populate()
			s.runWith(t, Options{
				Directives: silentStoreFeed[Directive]{s.configurations, store},
				Targets:    silentStoreFeed[config.Target]{s.targets, store},
				Routers:    func() int { return routers },
			})
			time.Sleep(silence)
			if calls := store.callCount(); calls > maxCalls {
				t.Errorf("%d routers: %d calls of one in %s", routers, calls, silence)
			}
		})
	}
}

// TestLossIsDetectedInTime guards against a pause between calls that outlasts lostAfter: the
// feed whose call was made during a silence counts as lost in time, and that leads to the
// detection of the other feed's loss.
func TestLossIsDetectedInTime(t *testing.T) {
	const maxDetectionTime = 2*(verifyHold+answerMargin) + lostAfter + 50*time.Millisecond
	for range 50 {
		synctest.Test(t, func(t *testing.T) {
			s, store := startOnSilentStore(t)
			s.configurations.set(version(5))
			time.Sleep(100 * time.Millisecond) // until the next call is made
			store.begin(10 * time.Second)
			time.Sleep(maxDetectionTime)
			synctest.Wait()
			for feed, age := range s.follower.FeedAges() {
				if age.Stale == 0 {
					t.Errorf("%s: not known to be stale after %s of silence", feed, maxDetectionTime)
				}
			}
		})
	}
}
