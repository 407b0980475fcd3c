package router

import (
	"slices"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/control"
)

func TestDiffSorted(t *testing.T) {
	before := []control.NodeID{"a", "b", "d"}
	joined, gone := diffSorted(before, []control.NodeID{"b", "c", "d", "e"})
	if !slices.Equal(joined, []control.NodeID{"c", "e"}) || !slices.Equal(gone, []control.NodeID{"a"}) {
		t.Errorf("joined %v, gone %v", joined, gone)
	}
	if joined, gone := diffSorted(before, before); len(joined)+len(gone) > 0 {
		t.Errorf("joined %v, gone %v although nothing changed", joined, gone)
	}
}

// TestAnnouncementsAreSpreadWhileCutOff guards against routers that are cut off from one another,
// and so each see themselves alone, announcing themselves to the store at the same time.
func TestAnnouncementsAreSpreadWhileCutOff(t *testing.T) {
	r := &Router{fleet: newFleetSize(time.Now)}
	r.fleet.setListed(fleetNames(0, 340))
	r.fleet.setAlive(fleetNames(0, 1))
	r.liveRouterCount.Store(1)
	if got, want := r.reannounceSpread(), 340*reannounceSpreadPerRouter; got < want {
		t.Errorf("announcements are spread over %v, want at least %v", got, want)
	}
}
