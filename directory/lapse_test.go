package directory

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/walnutcove/walnutcove/config"
)

// What was seen, on a fleet of 81 routers: eleven targets that had been taken off the list
// went on getting requests for seconds, from 74 of the routers.
//
// How it came about: their entries vanished right after the platform's return, so the
// routers that follow it doubted the removals for 2.5 s. Meanwhile later changes came in and
// were passed on. When the removals were believed, they still bore their own, older
// revisions. Peers ask for what is newer than the newest they have, so they never heard of
// them; and the routers' own control, which takes in only what is newer, passed the
// smaller listing over.
//
// What proved it: the followers' lines told of 136 targets at revision 263, the others' of
// 147 at the same revision, and grants to one of the eleven bore that revision.

// TestDoubtedRemovalReachesPeers: a router that has its news from a peer doubts with it,
// and believes a removal when the peer does, also if later changes came in between.
func TestDoubtedRemovalReachesPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one, other := startPair(t)
		one.targets.setDown(true)
		time.Sleep(4 * time.Second)
		one.targets.set(gone("a"))
		one.targets.set(targetEntry("e"))
		one.targets.setDown(false)
		time.Sleep(time.Second)
		encoded, err := one.follower.Export(other.follower.Known())
		if err != nil {
			t.Fatal(err)
		}
		if err := other.follower.Import("one", encoded); err != nil {
			t.Fatal(err)
		}
		if !other.serves("e") || !other.serves("a") {
			t.Fatal("the peer has no doubt, or no news")
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

// TestBelievedRemovalIsNewer: the listing without a target that did not return may replace
// the one with it, though the platform's revision is the same.
func TestBelievedRemovalIsNewer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startPopulated(t)
		s.targets.setDown(true)
		time.Sleep(4 * time.Second)
		s.targets.set(gone("a"))
		s.targets.set(targetEntry("e"))
		s.targets.setDown(false)
		time.Sleep(5 * time.Second)
		if s.serves("a") || !s.serves("e") {
			t.Fatal("the removal was not believed")
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		var before config.Order
		for n, snapshot := range s.snapshots {
			if n > 0 && !snapshot.Order().After(before) {
				t.Errorf("snapshot %d of %s does not come after %s", n, snapshot.Order(), before)
			}
			before = snapshot.Order()
		}
	})
}
