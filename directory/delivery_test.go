package directory

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/walnutcove/walnutcove/config"
)

// startWithoutTargets starts a harness that knows the configuration and that no target is listed.
func startWithoutTargets(t *testing.T) *harness {
	t.Helper()
	s := startHarness(t)
	s.configurations.set(version(4))
	synctest.Wait()
	return s
}

// isReady reports whether there is a snapshot.
func (s *harness) isReady() bool {
	synctest.Wait()
	select {
	case <-s.follower.Ready():
		return true
	default:
		return false
	}
}

// TestEmptyListingFromPeerIsDelivered guards against a router that never gets a snapshot: it learns
// from a peer, after it has loaded the configuration, that no target is registered.
func TestEmptyListingFromPeerIsDelivered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &harness{configurations: newFeed[Directive](), targets: newFeed[config.Target]()}
		s.targets.silentUntil = time.Now().Add(time.Second)
		s.configurations.set(version(4))
		s.run(t)
		other := startWithoutTargets(t)
		sendUpdates(t, other, s)
		if !s.isReady() {
			t.Error("not ready although a peer reported the listing")
		}
		time.Sleep(time.Minute)
		if !s.isReady() {
			t.Error("not ready although the platform answered")
		}
	})
}

// TestPastEvacuationIsDelivered guards against fetching a peer's directory at each of its heartbeats
// because of an evacuation that ended before this router knew of it.
func TestPastEvacuationIsDelivered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, other := startPair(t)
		other.configurations.set(evacuationEntry("north"))
		synctest.Wait()
		other.configurations.set(evacuationRemoval("north"))
		synctest.Wait()
		sendUpdates(t, other, s)
	})
}

// TestEraWithoutTargets guards against missing the first restore of the platform's store
// while no target is registered.
func TestEraWithoutTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, other := startWithoutTargets(t), startWithoutTargets(t)
		other.targets.restore(other.targets.copy())
		other.configurations.restore(other.configurations.copy())
		time.Sleep(time.Second)
		sendUpdates(t, other, s)
		for name, router := range map[string]*harness{"platform": other, "peer": s} {
			if router.restorations != 1 {
				t.Errorf("the %s's new era was reported %d times", name, router.restorations)
			}
		}
	})
}

// TestSuspendedTargetIsDelivered guards against using a target that left after the copy was made
// from which the platform's store was restored, and that a peer reports as unconfirmed.
func TestSuspendedTargetIsDelivered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := startRestoreHarness(t)
		d.write(removalOf("a"))
		d.restoreStore()
		late := &harness{configurations: d.harness.configurations, targets: d.harness.targets}
		late.run(t)
		time.Sleep(100 * time.Millisecond)
		sendUpdates(t, d.harness, late)
		if late.serves("a") {
			t.Error("a target that was removed is used")
		}
	})
}

// TestChangeDuringListingIsDelivered guards against ignoring a change that was made while a listing
// was read, and is older than an entry on a later page of it.
func TestChangeDuringListingIsDelivered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startWithoutTargets(t)
		first, later, changed := targetEntry("a"), targetEntry("b"), leavingEntry("a")
		first.Revision, later.Revision, changed.Revision = 5, 20, 15
		s.follower.applyTargets(Listing[config.Target]{Entries: []Entry[config.Target]{first, later}, Revision: 10}, listingInfo{complete: true})
		s.follower.applyTargets(Listing[config.Target]{Entries: []Entry[config.Target]{changed}, Revision: 20}, listingInfo{})
		if !s.last().Declarations.Targets["a"].Leaving {
			t.Error("the change is not delivered")
		}
	})
}

// TestExportBeforeListing guards against serving without targets, and against never asking the peers
// for what the platform does not list, because of the export of a router that has not listed them.
func TestExportBeforeListing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &harness{configurations: newFeed[Directive](), targets: newFeed[config.Target]()}
		s.targets.silentUntil = time.Now().Add(time.Second)
		s.populate()
		s.run(t)
		restarted := &harness{configurations: s.configurations, targets: s.targets}
		restarted.run(t)
		synctest.Wait()
		sendUpdates(t, restarted, s)
		if s.isReady() {
			t.Errorf("in force are the targets %v", s.last().Declarations.Targets)
		}
		time.Sleep(time.Minute)
		if !s.serves("a") || !s.follower.NeedsPeerSync() {
			t.Error("targets listed by the platform alone count as those that a peer knows")
		}
	})
}
