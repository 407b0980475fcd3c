package managedtest

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/router"
	"github.com/walnutcove/walnutcove/standin/managed"
)

// maxUpdateDelay is how long changes may take to be in force at every router; after an
// outage, from the store's first answer on.
const maxUpdateDelay = time.Second

// outageTime is how long the store does not answer in these tests; versions and targets
// change meanwhile.
const outageTime = 1500 * time.Millisecond

// TestFleetIsUpToDateSoonAfterStoreWasUnresponsive guards against changes that come into
// force late after an outage in which the store did not answer, because each router's next
// call for changes got no answer. Changes made during the outage and right after it must be
// in force at every router soon after the store answers again.
// directory.TestUpToDateSoonAfterStoreWasUnresponsive covers this for one router and many
// moments of the outage; this test uses real routers and calls.
func TestFleetIsUpToDateSoonAfterStoreWasUnresponsive(t *testing.T) {
	f := startFleet(t, 3, opsReplica("o1"), opsReplica("o2"))
	leaving := f.addReplica(opsReplica("o3"))
	f.waitJoined()
	time.Sleep(2 * time.Second) // until the routers follow the store
	for range 3 {
		f.publishConfig(nil)
		time.Sleep(80 * time.Millisecond)
	}
	f.publishConfig(nil)
	leaving.StartLeaving()
	// The routers have received both changes. Before they call again, they collect further
	// changes for 10 ms per router of the fleet.
	time.Sleep(10 * time.Millisecond)
	f.store.SetFault(managed.Unresponsive)
	time.Sleep(outageTime / 2)
	f.publishConfig(nil)
	time.Sleep(outageTime / 2)
	f.store.SetFault(managed.Healthy)
	outageEnd := time.Now()
	f.publishConfig(nil)
	alsoLeaving := f.addReplica(opsReplica("o4"))
	alsoLeaving.StartLeaving()
	for n, r := range f.routers {
		for !hasUpdate(r, f.version, "o4") && time.Since(outageEnd) < testTimeout {
			time.Sleep(5 * time.Millisecond)
		}
		took := time.Since(outageEnd)
		t.Logf("router %d was up to date %s after the outage", n, took)
		if took > maxUpdateDelay {
			t.Errorf("router %d was up to date %s after the outage", n, took)
		}
	}
}

// TestUnresponsiveStoreIsReportedToOthers guards against a router that keeps waiting for a
// call that the store has lost, although another router has found the store unavailable. It
// must repeat the call, whichever of the two routers is the one that probes the feeds.
func TestUnresponsiveStoreIsReportedToOthers(t *testing.T) {
	for finder := range 2 {
		t.Run("router "+strconv.Itoa(finder), func(t *testing.T) {
			f := startFleet(t, 2, opsReplica("o1"))
			f.waitJoined()
			time.Sleep(2 * time.Second) // until the routers follow the store with long-polling calls
			other := f.routers[1-finder]
			f.store.LoseWaitingFeeds(f.settings[1-finder].Platform.Address)
			f.store.SetFaultAt(f.settings[finder].Platform.Address, managed.Refusing)
			f.publishConfig(nil)
			f.eventually(maxUpdateDelay, "the other router has the version", func() bool {
				return other.InForce().Version == config.Version(f.version)
			})
		})
	}
}

// hasUpdate reports whether a version is in force at a router and the router knows that a
// target is leaving.
func hasUpdate(r *router.Router, version uint64, target string) bool {
	snapshot := r.InForce()
	if snapshot == nil || snapshot.Version != config.Version(version) {
		return false
	}
	found, listed := snapshot.Declarations.Targets[target]
	return listed && found.Leaving
}

// TestFeedAgesAreExported requires that a router exports, for each feed, how old its
// information from the platform is, and that these metrics show an outage of the store.
func TestFeedAgesAreExported(t *testing.T) {
	f := startFleet(t, 1, opsReplica("o1"))
	time.Sleep(2 * time.Second) // until the router follows the store
	stale := func(feed string) float64 {
		t.Helper()
		var page bytes.Buffer
		metrics.WritePrometheus(&page, false)
		for _, kind := range []string{"answer_age", "call_age", "stale"} {
			row := fmt.Sprintf("walnut_directory_%s_seconds{node=%q,feed=%q} ", kind, f.settings[0].Node.Name, feed)
			_, value, found := strings.Cut(page.String(), row)
			if !found {
				t.Fatalf("%s is not exported", row)
			}
			value, _, _ = strings.Cut(value, "\n")
			if kind == "stale" {
				seconds, err := strconv.ParseFloat(value, 64)
				if err != nil {
					t.Fatal(err)
				}
				return seconds
			}
		}
		return 0
	}
	feeds := []string{"configurations", "targets"}
	for _, feed := range feeds {
		if got := stale(feed); got != 0 {
			t.Errorf("%s: stale by %g s without an outage", feed, got)
		}
	}
	f.publishConfig(nil)
	time.Sleep(5 * time.Millisecond)
	f.store.SetFault(managed.Unresponsive)
	time.Sleep(2 * time.Second)
	for _, feed := range feeds {
		if got := stale(feed); got < 1.5 {
			t.Errorf("%s: stale by only %g s after an outage of 2 s", feed, got)
		}
	}
	f.store.SetFault(managed.Healthy)
	f.eventually(maxUpdateDelay, "no feed is stale after the outage", func() bool {
		return stale(feeds[0]) == 0 && stale(feeds[1]) == 0
	})
}
