package managedtest

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/platform/wire"
	"github.com/walnutcove/walnutcove/result"
)

// zoneRegions maps each zone to its region, in the settings of every router.
var zoneRegions = map[string]string{"north": "northern", "south": "southern"}

// restrictRoute publishes a version that sets the allowed regions of the non-idempotent route.
func (f *fleet) restrictRoute(regions ...string) {
	f.publishConfig(func(c *wire.Config) { c.Routes[0].Regions = regions })
}

// TestRequestsRunInAllowedRegions guards against requests that run outside the allowed regions
// of their route while new versions change these regions and requests wait for a slot. The ID
// of each replica is the name of its zone.
func TestRequestsRunInAllowedRegions(t *testing.T) {
	north, south := withZone("north", opsReplica("north")), withZone("south", opsReplica("south"))
	north.Slots, south.Slots = 1, 1
	north.Pause, south.Pause = 20*time.Millisecond, 20*time.Millisecond
	f := startFleet(t, 3, north, south)
	f.waitJoined()
	time.Sleep(2 * time.Second)

	const callers = 12
	for _, region := range []string{"northern", "southern", "northern"} {
		f.restrictRoute(region)
		changed := time.Now()
		var sending sync.WaitGroup
		for n := range callers {
			sending.Go(func() {
				for time.Since(changed) < 2*maxUpdateDelay {
					sent := time.Now()
					replica, status := f.sendTo(n % len(f.routers))
					if status != http.StatusOK || sent.Sub(changed) < maxUpdateDelay {
						continue
					}
					if zoneRegions[replica] != region {
						t.Errorf("sent %s after the version that allows %s only: ran at %s", sent.Sub(changed), region, replica)
					}
				}
			})
		}
		sending.Wait()
	}

	f.restrictRoute("nowhere")
	time.Sleep(maxUpdateDelay)
	for n := range f.routers {
		begun := time.Now()
		got := f.send(f.routers[n], pathNonIdempotent)
		if got.Status != http.StatusServiceUnavailable || time.Since(begun) > maxUpdateDelay || len(f.journal.Runs(got.ID)) > 0 {
			t.Errorf("router %d, no target in an allowed region: status %d after %s", n, got.Status, time.Since(begun))
		}
		f.eventually(testTimeout, "the refusal is logged with its reason", func() bool {
			return f.logs[n].contains(result.NoHomeTarget.Info().Name)
		})
	}
}
