package directory

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/walnutcove/walnutcove/config"
)

// On a fleet of 81 routers, eleven targets that had been removed from the list kept receiving
// requests for seconds, from 74 of the routers.
//
// Their entries vanished right after the platform's recovery, so the routers that follow it
// deferred the removals for 2.5 s. Meanwhile later changes arrived and were passed on. When the
// removals took effect, they still had their own, older revisions. Peers only ask for what is
// newer than the newest revision they have, so they never learned of the removals; and the
// package control of each router, which only accepts newer listings, ignored the smaller one.
//
// The log lines of the followers showed 136 targets at revision 263, those of the other routers
// 147 at the same revision, and grants to one of the eleven targets carried that revision.

// TestPendingRemovalReachesPeers guards against a peer that never applies a deferred removal. A
// router that receives it from a peer defers the removal as well, and applies it when the peer
// does, also if later changes arrived in between.
func TestPendingRemovalReachesPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one, other := startPair(t)
		one.targets.setDown(true)
		time.Sleep(4 * time.Second)
		one.targets.set(removalOf("a"))
		one.targets.set(targetEntry("e"))
		one.targets.setDown(false)
		time.Sleep(time.Second)
		encoded, err := one.follower.Export(t.Context(), other.follower.Cursor())
		if err != nil {
			t.Fatal(err)
		}
		if err := other.follower.Import("one", encoded); err != nil {
			t.Fatal(err)
		}
		if !other.serves("e") || !other.serves("a") {
			t.Fatal("the peer did not defer the removal, or lacks the new target")
		}
		time.Sleep(3 * time.Second)
		if one.serves("a") {
			t.Error("a target that did not return is still served")
		}
		if other.serves("a") {
			t.Error("a peer still serves a target that did not return")
		}
	})
}

// TestAcceptedRemovalAdvancesOrder guards against ignoring the snapshot without a target that
// did not return, because the platform's revision is the same as that of the snapshot with it.
func TestAcceptedRemovalAdvancesOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startPopulated(t)
		s.targets.setDown(true)
		time.Sleep(4 * time.Second)
		s.targets.set(removalOf("a"))
		s.targets.set(targetEntry("e"))
		s.targets.setDown(false)
		time.Sleep(5 * time.Second)
		if s.serves("a") || !s.serves("e") {
			t.Fatal("the removal was not applied")
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		var before config.SnapshotOrder
		for n, snapshot := range s.snapshots {
			if n > 0 && !snapshot.Order().After(before) {
				t.Errorf("snapshot %d of %s does not come after %s", n, snapshot.Order(), before)
			}
			before = snapshot.Order()
		}
	})
}
