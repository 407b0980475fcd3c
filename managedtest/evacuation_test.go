package managedtest

import (
	"net/http"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/platform/wire"
	"github.com/walnutcove/walnutcove/result"
	"github.com/walnutcove/walnutcove/standin/managed"
)

// withZone returns options with the zone set.
func withZone(zone string, options managed.ReplicaOptions) managed.ReplicaOptions {
	options.Zone = zone
	return options
}

// evacuate has the operator evacuate a zone.
func (f *fleet) evacuate(zone string) {
	f.store.Put(wire.TableOperator, wire.PrefixEvacuation+zone, struct{}{})
}

func (f *fleet) endEvacuation(zone string) {
	f.store.Delete(wire.TableOperator, wire.PrefixEvacuation+zone)
}

// sendTo sends a request to a router and returns the replica that ran it, or "" if none did.
func (f *fleet) sendTo(router int) (replica string, status int) {
	got := f.send(f.routers[router], pathNonIdempotent)
	runs := f.journal.Runs(got.ID)
	if len(runs) == 0 {
		return "", got.Status
	}
	return runs[0].Replica, got.Status
}

// TestEvacuatedZoneGetsNothing guards against requests that reach an evacuated zone, including
// those of a router that the store refuses, and against aborting the runs in progress there.
func TestEvacuatedZoneGetsNothing(t *testing.T) {
	slow := withZone("north", genReplica("g-north"))
	slow.Pause = 100 * time.Millisecond
	f := startFleet(t, 3, withZone("north", opsReplica("north")), withZone("south", opsReplica("south")), slow)
	f.waitJoined()
	time.Sleep(2 * time.Second)
	f.store.SetFaultAt(f.settings[0].Platform.Address, managed.Refusing)

	streamed := make(chan managed.Answer, 1)
	go func() { streamed <- f.send(f.routers[1], pathStream) }()
	f.eventually(testTimeout, "the stream runs", func() bool { return len(f.journal.Runs("")) > 0 })
	f.evacuate("north")
	time.Sleep(maxUpdateDelay)
	for n := range 30 {
		if replica, status := f.sendTo(n % len(f.routers)); replica != "south" || status != http.StatusOK {
			t.Fatalf("router %d: ran at %q, status %d", n%len(f.routers), replica, status)
		}
	}
	if got := <-streamed; got.Status != http.StatusOK || !got.Complete || got.Body != expectedStream(got.ID) {
		t.Errorf("stream in the evacuated zone: status %d, complete %v", got.Status, got.Complete)
	}

	f.evacuate("south")
	time.Sleep(maxUpdateDelay)
	for n := range f.routers {
		begun := time.Now()
		got := f.send(f.routers[n], pathNonIdempotent)
		if got.Status != http.StatusServiceUnavailable || got.Header.Get("Retry-After") == "" || time.Since(begun) > maxUpdateDelay {
			t.Errorf("router %d, all zones evacuated: status %d after %s", n, got.Status, time.Since(begun))
		}
		f.eventually(testTimeout, "the refusal is logged with its reason", func() bool {
			return f.logs[n].contains(result.TargetsEvacuated.Info().Name)
		})
	}
	f.endEvacuation("north")
	time.Sleep(maxUpdateDelay)
	for n := range f.routers {
		if replica, status := f.sendTo(n); replica != "north" || status != http.StatusOK {
			t.Errorf("router %d after the evacuation: ran at %q, status %d", n, replica, status)
		}
	}
}
