package managedtest

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/platform"
	"github.com/walnutcove/walnutcove/platform/wire"
	"github.com/walnutcove/walnutcove/standin/managed"
)

// opsReplica describes a replica of the plain service.
func opsReplica(id string) managed.ReplicaOptions {
	return managed.ReplicaOptions{ID: id, Service: "ops", Slots: 4, Pause: 5 * time.Millisecond}
}

// genReplica describes a replica of the engine, which answers with streams.
func genReplica(id string) managed.ReplicaOptions {
	return managed.ReplicaOptions{ID: id, Service: "gen", Slots: 8, Events: streamEvents, Pause: 5 * time.Millisecond}
}

// TestMixedRequests guards against answers that are incomplete, belong to another
// request or lack their seal, and against requests that run more than once.
func TestMixedRequests(t *testing.T) {
	f := startFleet(t, 3, opsReplica("o1"), opsReplica("o2"), genReplica("g1"), genReplica("g2"))
	paths := []string{pathNonIdempotent, pathIdempotent, pathStream}
	var callers sync.WaitGroup
	for n := range 300 {
		callers.Go(func() {
			path := paths[n%len(paths)]
			got := f.send(f.routers[n%len(f.routers)], path)
			want := managed.ExpectedAnswer(got.ID)
			if path == pathStream {
				want = expectedStream(got.ID)
			}
			switch {
			case got.Status == http.StatusServiceUnavailable:
				if runs := f.journal.Runs(got.ID); len(runs) != 0 {
					t.Errorf("%s was refused as not run, but ran at %s", got.ID, runs[0].Replica)
				}
				return
			case got.Status != http.StatusOK || !got.Complete || got.Body != want:
				t.Errorf("%s: status %d, complete %v, %q", path, got.Status, got.Complete, got.Body)
			case got.Header.Get(wire.HeaderSeal) == "":
				t.Errorf("%s has no seal", got.ID)
			}
			if runs := f.journal.Runs(got.ID); len(runs) != 1 || runs[0].Workspace != "bakery" {
				t.Errorf("%s ran %d times: %+v", got.ID, len(runs), runs)
			}
		})
	}
	callers.Wait()
}

// TestBrokenStreamResumesElsewhere guards against gaps, repeated events and
// truncated events when a replica breaks off a stream in the middle of an event
// and the stream is resumed at another replica.
func TestBrokenStreamResumesElsewhere(t *testing.T) {
	breaking := genReplica("breaks")
	breaking.BreakAfterEvents = 3
	f := startSettledFleet(t, unlimitedSlack, 2, breaking, genReplica("sound"))
	f.checkStreamsResume(breaking.BreakAfterEvents)
}

// checkStreamsResume sends requests for streams and checks that all are whole, and that one at
// least was resumed after the given event.
func (f *fleet) checkStreamsResume(afterEvent int) {
	f.t.Helper()
	resumed := 0
	for range 20 {
		got := f.send(f.routers[0], pathStream)
		if got.Status != http.StatusOK || !got.Complete || got.Body != expectedStream(got.ID) {
			f.t.Fatalf("status %d, complete %v:\n%s\n%v", got.Status, got.Complete, got.Body, f.logs[0].linesWith("request="+got.ID+" "))
		}
		if runs := f.journal.Runs(got.ID); len(runs) == 2 && runs[1].AfterEvent == strconv.Itoa(afterEvent) {
			resumed++
		}
	}
	if resumed == 0 {
		f.t.Error("no stream was resumed after the replica broke it off")
	}
}

// TestNewVersionIsInForceEverywhere requires that, soon after a version was
// written, every router refuses the keys that it removes and serves the routes
// that it adds.
func TestNewVersionIsInForceEverywhere(t *testing.T) {
	f := startFleet(t, 3, opsReplica("o1"), opsReplica("o2"))
	f.publishConfig(func(c *wire.Config) {
		c.Tenants[0].Keys = []string{"another"}
		c.Routes = append(c.Routes, wire.Route{Name: "new", Host: managed.DemoHost, Prefix: "/new/", Kind: wire.Idempotent, Service: "ops", Public: true})
	})
	for n, r := range f.routers {
		f.eventually(2*time.Second, "the version is in force at router "+strconv.Itoa(n), func() bool {
			return f.send(r, pathNonIdempotent).Status == http.StatusUnauthorized && f.send(r, "/new/x").Status == http.StatusOK
		})
		if got := f.send(r, "/nowhere/x"); got.Status != http.StatusNotFound {
			t.Errorf("unknown path: status %d", got.Status)
		}
	}
}

// TestRouterRefusedByTheStoreKeepsUpToDate guards against a router that keeps
// accepting removed keys while the store refuses its calls. It must learn of the
// removal from its peers.
func TestRouterRefusedByTheStoreKeepsUpToDate(t *testing.T) {
	f := startFleet(t, 3, opsReplica("o1"), opsReplica("o2"))
	f.store.SetFaultAt(f.settings[0].Platform.Address, managed.Refusing)
	f.publishConfig(func(c *wire.Config) { c.Tenants[0].Keys = []string{"another"} })
	refused := f.routers[0]
	f.eventually(3*time.Second, "a router that the store refuses rejects a removed key", func() bool {
		return f.send(refused, pathNonIdempotent).Status == http.StatusUnauthorized
	})
}

// TestReadyOnceOthersAreKnown requires that a router that cannot list the other
// routers is not ready at first, because it could not learn of changes from them.
// It becomes ready as soon as it gets the list, or else after a while.
func TestReadyOnceOthersAreKnown(t *testing.T) {
	f := startFleet(t, 2, opsReplica("o1"))
	f.store.RefuseReads(platform.TableRouters)
	late, neverJoined := f.addRouter(), f.addRouter()
	f.eventually(testTimeout, "the late router has a version", func() bool { return late.InForce() != nil })
	if late.Ready() {
		t.Error("ready without knowing the others")
	}
	f.eventually(4*time.Second, "a router that never gets the list of the others is ready", neverJoined.Ready)

	f.store.RefuseReads(platform.TableRouters)
	late = f.addRouter()
	f.eventually(testTimeout, "the late router has a version", func() bool { return late.InForce() != nil })
	f.store.RefuseReads("")
	f.eventually(time.Second, "the late router is ready once it knows the others", late.Ready)
}

// TestMemberRefusedByTheStoreKeepsUpToDate is the same as
// TestRouterRefusedByTheStoreKeepsUpToDate for a router that had joined the
// others before the store refused it.
func TestMemberRefusedByTheStoreKeepsUpToDate(t *testing.T) {
	f := startFleet(t, 3, opsReplica("o1"), opsReplica("o2"))
	f.waitJoined()
	f.store.SetFaultAt(f.settings[0].Platform.Address, managed.Refusing)
	f.publishConfig(func(c *wire.Config) { c.Tenants[0].Keys = []string{"another"} })
	refused := f.routers[0]
	f.eventually(3*time.Second, "a member that the store refuses rejects a removed key", func() bool {
		return f.send(refused, pathNonIdempotent).Status == http.StatusUnauthorized
	})
}

// TestLeavingReplicaGetsNothing guards against requests that a router sends to a
// replica long after the replica announced that it leaves.
func TestLeavingReplicaGetsNothing(t *testing.T) {
	f := startFleet(t, 3, opsReplica("o1"))
	leaving := f.addReplica(opsReplica("o2"))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var callers sync.WaitGroup
	for _, r := range f.routers {
		callers.Go(func() {
			for ctx.Err() == nil {
				f.sendWith(ctx, r, pathIdempotent, key)
			}
		})
	}
	f.eventually(testTimeout, "the second replica is used", func() bool {
		for _, run := range f.journal.Runs("") {
			if run.Replica == "o2" {
				return true
			}
		}
		return false
	})
	leaving.StartLeaving()
	time.Sleep(1500 * time.Millisecond)
	cancel()
	callers.Wait()
	for _, run := range f.journal.Runs("") {
		if run.LeavingFor > time.Second {
			t.Fatalf("%s reached the replica %s after it announced that it leaves", run.ID, run.LeavingFor)
		}
	}
}

// TestOutageOfTheStore requires that requests are served while the store does not
// answer, and that a router that starts meanwhile has its configuration soon
// after the store answers again.
func TestOutageOfTheStore(t *testing.T) {
	f := startFleet(t, 2, opsReplica("o1"))
	f.store.SetFault(managed.Unresponsive)
	for _, r := range f.routers {
		if got := f.send(r, pathIdempotent); got.Status != http.StatusOK {
			t.Errorf("status %d while the store does not answer", got.Status)
		}
	}
	late := f.addRouter()
	if got := f.send(late, pathIdempotent); got.Status != http.StatusServiceUnavailable {
		t.Errorf("status %d without a configuration", got.Status)
	}
	f.store.SetFault(managed.Healthy)
	f.eventually(3*time.Second, "the late router serves", func() bool { return f.send(late, pathIdempotent).Status == http.StatusOK })
}

// TestFeedIsReloadedWhenHistoryIsLost requires that routers reload a feed in full
// when the store no longer has the history of its changes.
func TestFeedIsReloadedWhenHistoryIsLost(t *testing.T) {
	f := startFleet(t, 2, opsReplica("o1"))
	f.store.SetFault(managed.HistoryLost)
	f.publishConfig(func(c *wire.Config) { c.Tenants[0].Keys = []string{"another"} })
	f.eventually(3*time.Second, "the version is in force", func() bool {
		return f.send(f.routers[0], pathNonIdempotent).Status == http.StatusUnauthorized
	})
	f.store.SetFault(managed.Healthy)
}

// TestRunIsCancelledWhenItsCallerDisconnects requires that the run of a stream is
// cancelled within half a second after its caller has disconnected.
func TestRunIsCancelledWhenItsCallerDisconnects(t *testing.T) {
	slow := genReplica("g1")
	slow.Pause = 100 * time.Millisecond
	f := startFleet(t, 2, slow)
	for _, resumes := range []bool{true, false} {
		f.publishConfig(func(c *wire.Config) { c.Routes[2].Resumable = resumes })
		time.Sleep(500 * time.Millisecond) // until the version is in force
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(250*time.Millisecond, cancel)
		got := f.sendWith(ctx, f.routers[0], pathStream, key)
		if got.Complete {
			t.Fatal("the stream ended before its caller disconnected")
		}
		f.eventually(500*time.Millisecond, "the run is cancelled", func() bool {
			runs := f.journal.Runs(got.ID)
			return len(runs) == 1 && runs[0].Cancelled
		})
	}
}

// TestIdleRoutersMakeFewStoreCalls requires that routers only wait for changes while nothing
// changes. The only other calls are era probes, at most one per second across the fleet.
func TestIdleRoutersMakeFewStoreCalls(t *testing.T) {
	f := startFleet(t, 3, opsReplica("o1"))
	time.Sleep(2 * time.Second) // until the routers have found each other and follow the store
	before, probesBefore, start := f.store.CallsExceptEraProbes(), f.store.EraProbes(), time.Now()
	time.Sleep(2 * time.Second)
	if made := f.store.CallsExceptEraProbes() - before; made > 0 {
		t.Errorf("%d calls in 2 s without changes", made)
	}
	f.checkEraProbes(f.store.EraProbes()-probesBefore, time.Since(start))
}

// checkEraProbes checks that the fleet made at most one era probe per second.
func (f *fleet) checkEraProbes(probes int, elapsed time.Duration) {
	f.t.Helper()
	if maxProbes := int(elapsed.Seconds()) + 1; probes > maxProbes {
		f.t.Errorf("%d era probes in %s", probes, elapsed)
	}
}

// TestGracefulShutdownCutsNothing guards against a graceful shutdown that breaks
// off streams in progress.
func TestGracefulShutdownCutsNothing(t *testing.T) {
	slow := genReplica("g1")
	slow.Pause = 60 * time.Millisecond
	f := startFleet(t, 2, slow)
	var callers sync.WaitGroup
	for range 6 {
		callers.Go(func() {
			if got := f.send(f.routers[0], pathStream); got.Status != http.StatusOK || !got.Complete || got.Body != expectedStream(got.ID) {
				t.Errorf("status %d, complete %v: %q", got.Status, got.Complete, got.Body)
			}
		})
	}
	f.eventually(testTimeout, "the streams run", func() bool { return len(f.journal.Runs("")) >= 6 })
	if runs := f.journal.Runs(""); len(runs) != 6 {
		t.Errorf("%d runs of 6 streams: %+v", len(runs), runs)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if err := f.routers[0].Shutdown(ctx); err != nil {
		t.Error(err)
	}
	callers.Wait()
}

// TestLostAnswers guards against repeating a non-idempotent request whose answer
// was lost, and against refusing it as not run.
func TestLostAnswers(t *testing.T) {
	losing := opsReplica("loses")
	losing.LoseAnswers = true
	f := startFleet(t, 2, losing, opsReplica("sound"))
	lost, repeated := 0, 0
	sendNonIdempotent := func() {
		got := f.send(f.routers[0], pathNonIdempotent)
		runs := f.journal.Runs(got.ID)
		switch {
		case len(runs) > 1:
			t.Errorf("%s ran %d times", got.ID, len(runs))
		case got.Status == http.StatusServiceUnavailable && len(runs) != 0:
			t.Errorf("%s was refused as not run, but ran", got.ID)
		case got.Status == http.StatusBadGateway:
			lost++
		}
	}
	sendIdempotent := func() {
		got := f.send(f.routers[0], pathIdempotent)
		if runs := f.journal.Runs(got.ID); len(runs) == 2 && got.Status == http.StatusOK {
			repeated++
		}
	}
	// Routers avoid a failing replica for a while, so it gets few requests: mostly the
	// first one after each such pause. Once the answer of a non-idempotent request was
	// lost, idempotent ones are sent first.
	for end := time.Now().Add(testTimeout); (lost == 0 || repeated == 0) && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if lost == 0 {
			sendNonIdempotent()
			sendIdempotent()
		} else {
			sendIdempotent()
			sendNonIdempotent()
		}
	}
	if lost == 0 || repeated == 0 {
		t.Errorf("%d answers lost, %d requests repeated", lost, repeated)
	}
}

// TestUnsealedSuccessIsNotPassedOn guards against passing on to the caller a success
// that lacks the replica's seal.
func TestUnsealedSuccessIsNotPassedOn(t *testing.T) {
	unsealed := opsReplica("forges")
	unsealed.Unsealed = true
	f := startFleet(t, 1, unsealed)
	for _, path := range []string{pathNonIdempotent, pathIdempotent} {
		if got := f.send(f.routers[0], path); got.Status < http.StatusInternalServerError {
			t.Errorf("%s: status %d", path, got.Status)
		}
	}
}

// TestFewRoutersFollowTheStore requires that a change costs at most three calls to
// the store, one of each router that follows it, while all others get the change from
// their peers. A change must also reach all routers while the store refuses half of
// them.
func TestFewRoutersFollowTheStore(t *testing.T) {
	const (
		routers   = 8
		followers = 3
	)
	f := startFleet(t, routers, opsReplica("o1"))
	f.waitJoined()
	time.Sleep(3 * time.Second) // until the routers agree on which of them follow the store
	publishAndAwait := func(key string) {
		t.Helper()
		f.publishConfig(func(c *wire.Config) { c.Tenants[0].Keys = []string{key} })
		for n, r := range f.routers {
			f.eventually(3*time.Second, "the version is in force at router "+strconv.Itoa(n), func() bool {
				return f.sendWith(context.Background(), r, pathNonIdempotent, key).Status == http.StatusOK
			})
		}
	}
	before, probesBefore, start := f.store.CallsExceptEraProbes(), f.store.EraProbes(), time.Now()
	publishAndAwait("second")
	time.Sleep(time.Second) // until the followers have asked again
	if calls := f.store.CallsExceptEraProbes() - before; calls > followers {
		t.Errorf("%d calls for a change", calls)
	}
	f.checkEraProbes(f.store.EraProbes()-probesBefore, time.Since(start))
	for n := range routers / 2 {
		f.store.SetFaultAt(f.settings[n].Platform.Address, managed.Refusing)
	}
	publishAndAwait("third")
	for n := range routers / 2 {
		f.store.SetFaultAt(f.settings[n].Platform.Address, managed.Healthy)
		f.store.SetFaultAt(f.settings[n+routers/2].Platform.Address, managed.Refusing)
	}
	publishAndAwait("fourth")
}
