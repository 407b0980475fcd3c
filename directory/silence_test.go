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

// What was seen: versions that the platform had accepted were not in force at any
// router for 24 s after its store had been silent for 5 s, and requests reached targets
// that had left more than two seconds before. No router said that it had lost anything.
//
// How it came about: a router waits for changes by a call that the store answers at the
// next change, or after 30 s. It makes the next such call some 90 ms after a change. When
// changes come close behind one another and the store falls silent between two of them,
// that call meets the silence. The store never answers it, also not after its return;
// calls that waited since before the silence it does answer.
//
// What caused it: no answer meant "no change". Nothing showed whether the store had taken
// the call, so the loss was noticed at the end of the 30 s only. The gauges of the calls'
// age proved it: each router's call for versions had waited 31.0 s when it gave up, while
// its call for targets, made before the silence, was answered in time.

// soon is how long after the store's first answer its news may take to be in force.
const soon = time.Second

// silentStore is when a feed's store is silent, for all feeds on it.
type silentStore struct {
	mu    sync.Mutex
	until time.Time
	// waiting is closed when the calls that wait are lost.
	waiting chan struct{}
	calls   int
}

func newSilentStore() *silentStore { return &silentStore{waiting: make(chan struct{})} }

func (s *silentStore) begin(length time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.until = time.Now().Add(length)
}

// loseWaiting loses the calls that wait, as a store does that starts anew behind
// connections that live on.
func (s *silentStore) loseWaiting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.waiting)
	s.waiting = make(chan struct{})
}

// count counts a call and returns a channel that is closed when it is lost.
func (s *silentStore) count() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	return s.waiting
}

func (s *silentStore) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// left is how long the store stays silent.
func (s *silentStore) left() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Until(s.until)
}

// silencedFeed is a feed on a store that falls silent: calls that meet the silence are
// never answered, calls that waited before it are answered at its end.
type silencedFeed[T any] struct {
	*fakeFeed[T]
	store *silentStore
}

// Load implements Feed.
func (f silencedFeed[T]) Load(ctx context.Context) (Listing[T], error) {
	f.store.count()
	if f.store.left() > 0 {
		<-ctx.Done()
		return Listing[T]{}, ctx.Err()
	}
	return f.fakeFeed.Load(ctx)
}

// Follow implements Feed.
func (f silencedFeed[T]) Follow(ctx context.Context, after config.Revision, hold time.Duration) (Listing[T], error) {
	lost := f.store.count()
	if f.store.left() > 0 {
		<-ctx.Done()
		return Listing[T]{}, ctx.Err()
	}
	for {
		listing, err := f.fakeFeed.Follow(ctx, after, hold)
		silent := f.store.left()
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

// startSilenced starts a populated scene on a store that can fall silent, as one of some
// routers.
func startSilenced(t *testing.T) (*scene, *silentStore) {
	t.Helper()
	s := &scene{configurations: newFeed[Directive](), targets: newFeed[config.Target](), shared: true}
	store := newSilentStore()
	s.populate()
	s.runWith(t, Options{
		Directives: silencedFeed[Directive]{s.configurations, store},
		Targets:    silencedFeed[config.Target]{s.targets, store},
		Routers:    func() int { return 9 },
	})
	time.Sleep(3 * time.Second) // until it follows
	return s, store
}

// version returns the newest version in force.
func (s *scene) version() config.Version {
	synctest.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.snapshots) == 0 {
		return 0
	}
	return s.snapshots[len(s.snapshots)-1].Version
}

// TestNewsSoonAfterSilence: whatever was under way when the store fell silent, the
// newest version and the targets that left meanwhile are known soon after its return.
func TestNewsSoonAfterSilence(t *testing.T) {
	const (
		step    = 40 * time.Millisecond
		longest = 1200 * time.Millisecond
	)
	for _, length := range []time.Duration{200 * time.Millisecond, time.Second, 5 * time.Second, 40 * time.Second} {
		for begins := time.Duration(0); begins < longest; begins += step {
			t.Run(fmt.Sprintf("%s/%s", length, begins), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { newsAfterSilence(t, begins, length) })
			})
		}
	}
}

// newsAfterSilence makes the store silent some time after a change of each feed, changes
// both during the silence and again after it, and looks whether that is known.
func newsAfterSilence(t *testing.T, begins, length time.Duration) {
	s, store := startSilenced(t)
	s.configurations.set(version(5))
	leaving := targetEntry("a")
	leaving.Value.Leaving = true
	s.targets.set(leaving)
	time.Sleep(begins)
	store.begin(length)
	time.Sleep(length / 2)
	s.configurations.set(version(6))
	time.Sleep(length - length/2)

	s.configurations.set(version(7))
	leaving = targetEntry("b")
	leaving.Value.Leaving = true
	s.targets.set(leaving)
	time.Sleep(soon)
	if got := s.version(); got != 7 {
		t.Errorf("%s after the return version %d is in force", soon, got)
	}
	if s.offers("b") {
		t.Errorf("%s after the return a target that leaves is still offered", soon)
	}
	time.Sleep(4 * time.Second)
	s.targets.set(gone("c"))
	if s.serves("c") {
		t.Error("a target that left long after the return is still served")
	}
}

// offers says whether the newest snapshot has a target that does not leave.
func (s *scene) offers(name string) bool {
	synctest.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.snapshots) == 0 {
		return false
	}
	found, ok := s.snapshots[len(s.snapshots)-1].Declarations.Targets[name]
	return ok && !found.Leaving
}

// TestDoubtFindsLostCalls: calls that waited since before a silence, and that the store
// lost in it, are made anew when another router tells of the silence.
func TestDoubtFindsLostCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, store := startSilenced(t)
		time.Sleep(5 * time.Second) // until the calls wait for long
		store.loseWaiting()
		s.configurations.set(version(6))
		time.Sleep(soon)
		if got := s.version(); got != 4 {
			t.Fatalf("version %d is in force, though the calls were lost", got)
		}
		s.follower.Reprobe()
		time.Sleep(soon)
		if got := s.version(); got != 6 {
			t.Errorf("version %d is in force %s after the doubt", got, soon)
		}
	})
}

// TestLostCallsAreFoundInTime: without such a word they are found when they should have
// been answered.
func TestLostCallsAreFoundInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, store := startSilenced(t)
		time.Sleep(5 * time.Second)
		store.loseWaiting()
		s.configurations.set(version(6))
		time.Sleep(provingLongHold + soon)
		if got := s.version(); got != 6 {
			t.Errorf("version %d is in force", got)
		}
	})
}

// TestOneRouterProvesItsCalls: a change costs a router one call of its feed, and the one
// that proves for the others a second one; without changes nobody makes any.
func TestOneRouterProvesItsCalls(t *testing.T) {
	for proves, want := range map[bool]int{true: 2, false: 1} {
		synctest.Test(t, func(t *testing.T) {
			s, store := startSilenced(t)
			s.follower.SetTurn(Turn{Wanted: true, Proves: proves})
			time.Sleep(5 * time.Second)
			before := store.callCount()
			s.configurations.set(version(5))
			time.Sleep(3 * time.Second)
			if calls := store.callCount() - before; calls != want {
				t.Errorf("proves %v: %d calls for a change", proves, calls)
			}
		})
	}
}

// TestWhoComesToProveCallsAnew: a router that has to prove from now on does not trust the
// calls that another one proved before.
func TestWhoComesToProveCallsAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, store := startSilenced(t)
		s.follower.SetTurn(Turn{Wanted: true})
		time.Sleep(5 * time.Second)
		store.loseWaiting()
		s.configurations.set(version(6))
		s.follower.SetTurn(Turn{Wanted: true, Proves: true})
		time.Sleep(soon)
		if got := s.version(); got != 6 {
			t.Errorf("version %d is in force", got)
		}
	})
}

// TestShortAbsenceDoubtsNoRemoval: entries cannot have lapsed while the store was away
// for less than a lapse takes, so a target that is missing after that has left.
func TestShortAbsenceDoubtsNoRemoval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, store := startSilenced(t)
		s.targets.set(targetEntry("e"))
		time.Sleep(50 * time.Millisecond)
		store.begin(time.Second)
		time.Sleep(1200 * time.Millisecond)
		s.targets.set(gone("a"))
		time.Sleep(soon)
		if s.serves("a") {
			t.Error("a target that left is still served")
		}
	})
}

// TestStaleTellsHowOld: what a router has counts as old from the moment at which its call
// should have been answered, since the last answer; and no more once there is one.
func TestStaleTellsHowOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, store := startSilenced(t)
		stale := func() time.Duration { return s.follower.Ages()[feedConfigurations].Stale }
		if got := stale(); got != 0 {
			t.Errorf("%s old before the silence", got)
		}
		s.configurations.set(version(5))
		time.Sleep(50 * time.Millisecond)
		store.begin(10 * time.Second)
		time.Sleep(9 * time.Second)
		if got := stale(); got != 9050*time.Millisecond {
			t.Errorf("%s old 9 s into the silence", got)
		}
		time.Sleep(2 * time.Second)
		if got := stale(); got != 0 {
			t.Errorf("%s old after the silence", got)
		}
	})
}

// TestLoadsOfALargeFleetAreSpread: a router that has to load everything from a silent
// store tries seldom if there are many of them.
func TestLoadsOfALargeFleetAreSpread(t *testing.T) {
	const silence = time.Minute
	for routers, most := range map[int]int{9: 300, 340: 60} {
		synctest.Test(t, func(t *testing.T) {
			s := &scene{configurations: newFeed[Directive](), targets: newFeed[config.Target](), shared: true}
			store := newSilentStore()
			store.begin(silence)
			s.populate()
			s.runWith(t, Options{
				Directives: silencedFeed[Directive]{s.configurations, store},
				Targets:    silencedFeed[config.Target]{s.targets, store},
				Routers:    func() int { return routers },
			})
			time.Sleep(silence)
			if calls := store.callCount(); calls > most {
				t.Errorf("%d routers: %d calls of one in %s", routers, calls, silence)
			}
		})
	}
}

// TestLossIsNotedInTime guards against a pause between calls that outlasts lostAfter: the feed
// whose call met a silence counts as lost in time, and the other one is found out by that.
func TestLossIsNotedInTime(t *testing.T) {
	const noted = 2*(provingHold+answerMargin) + lostAfter + 50*time.Millisecond
	for range 50 {
		synctest.Test(t, func(t *testing.T) {
			s, store := startSilenced(t)
			s.configurations.set(version(5))
			time.Sleep(100 * time.Millisecond) // until the next call is made
			store.begin(10 * time.Second)
			time.Sleep(noted)
			synctest.Wait()
			for feed, age := range s.follower.Ages() {
				if age.Stale == 0 {
					t.Errorf("%s: not known to be old after %s of silence", feed, noted)
				}
			}
		})
	}
}
