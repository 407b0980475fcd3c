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

// soon is how long after the store's first answer its news may take to be in force at
// every router.
const soon = time.Second

// silenceLength is how long the store is silent here; versions and targets change
// meanwhile.
const silenceLength = 1500 * time.Millisecond

// TestFleetHasNewsSoonAfterSilence: what changed while the store was silent, and right
// after it, is in force at every router soon after the store's return, although each
// router's next call for changes met the silence. directory.TestNewsSoonAfterSilence
// tells what was seen of this; here are real routers and calls.
func TestFleetHasNewsSoonAfterSilence(t *testing.T) {
	f := startFleet(t, 3, ops("o1"), ops("o2"))
	leaving := f.replica(ops("o3"))
	f.waitJoined()
	time.Sleep(2 * time.Second) // until the routers follow the store
	for range 3 {
		f.configure(nil)
		time.Sleep(80 * time.Millisecond)
	}
	f.configure(nil)
	leaving.StartLeaving()
	// The routers have both changes, and gather more for 10 ms a router before they ask
	// again.
	time.Sleep(10 * time.Millisecond)
	f.store.SetFault(managed.Unresponsive)
	time.Sleep(silenceLength / 2)
	f.configure(nil)
	time.Sleep(silenceLength / 2)
	f.store.SetFault(managed.Healthy)
	returned := time.Now()
	f.configure(nil)
	alsoLeaving := f.replica(ops("o4"))
	alsoLeaving.StartLeaving()
	for n, r := range f.routers {
		for !knowsNews(r, f.version, "o4") && time.Since(returned) < testTimeout {
			time.Sleep(5 * time.Millisecond)
		}
		took := time.Since(returned)
		t.Logf("router %d has the news %s after the store's return", n, took)
		if took > soon {
			t.Errorf("router %d has the news %s after the store's return", n, took)
		}
	}
}

// TestSilenceIsToldToOthers: calls that the store has lost are made anew when another
// router finds the store away, whichever of the two proves its calls.
func TestSilenceIsToldToOthers(t *testing.T) {
	for finder := range 2 {
		t.Run("router "+strconv.Itoa(finder), func(t *testing.T) {
			f := startFleet(t, 2, ops("o1"))
			f.waitJoined()
			time.Sleep(2 * time.Second) // until the routers follow the store, and wait for long
			other := f.routers[1-finder]
			f.store.LoseWaitingFeeds(f.settings[1-finder].Platform.Address)
			f.store.SetFaultAt(f.settings[finder].Platform.Address, managed.Refusing)
			f.configure(nil)
			f.eventually(soon, "the other router has the version", func() bool {
				return other.InForce().Version == config.Version(f.version)
			})
		})
	}
}

// knowsNews says whether a version is in force at a router, and a target known as
// leaving.
func knowsNews(r *router.Router, version uint64, target string) bool {
	snapshot := r.InForce()
	if snapshot == nil || snapshot.Version != config.Version(version) {
		return false
	}
	found, listed := snapshot.Declarations.Targets[target]
	return listed && found.Leaving
}

// TestFeedAgesAreExported: how old a router's word of the platform is can be read from its
// metrics, feed by feed, and tells a silence of the store.
func TestFeedAgesAreExported(t *testing.T) {
	f := startFleet(t, 1, ops("o1"))
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
			t.Errorf("%s: %g s old on a calm day", feed, got)
		}
	}
	f.configure(nil)
	time.Sleep(5 * time.Millisecond)
	f.store.SetFault(managed.Unresponsive)
	time.Sleep(2 * time.Second)
	for _, feed := range feeds {
		if got := stale(feed); got < 1.5 {
			t.Errorf("%s: %g s old after two seconds of silence", feed, got)
		}
	}
	f.store.SetFault(managed.Healthy)
	f.eventually(soon, "nothing counts as old after the silence", func() bool {
		return stale(feeds[0]) == 0 && stale(feeds[1]) == 0
	})
}
