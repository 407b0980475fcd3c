package managedtest

import (
	"flag"
	"strconv"
	"testing"
	"time"
)

// TestRoutersThatStartTogetherFindEachOther guards against routers that never learn of each
// other because too many of them start at the same time, as when a large fleet gets its power
// back: the store lets only some registrations wait and refuses the others. All must know each
// other soon after the store could have written all registrations.
func TestRoutersThatStartTogetherFindEachOther(t *testing.T) {
	const (
		routers         = 24
		writesPerSecond = 8
		// maxTime is twice the time that the registrations take.
		maxTime = 2 * routers / writesPerSecond * time.Second
	)
	f := startFleet(t, 0)
	f.store.LimitWrites(writesPerSecond)
	began := time.Now()
	for range routers {
		f.addRouter()
	}
	f.waitJoined()
	if took := time.Since(began); took > maxTime {
		t.Errorf("the routers knew each other after %s", took)
	}
}

var emptyFleets = flag.Int("together.fleets", 4, "number of fleets in TestRoutersWithoutTargetsAreReady")

// TestRoutersWithoutTargetsAreReady guards against a router that never gets a configuration because
// it learned from a peer, before its own listing, that no target is registered.
func TestRoutersWithoutTargetsAreReady(t *testing.T) {
	for n := range *emptyFleets {
		t.Run(strconv.Itoa(n), func(t *testing.T) {
			t.Parallel()
			startFleet(t, 3)
		})
	}
}
