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

func ops(id string) managed.ReplicaOptions {
	return managed.ReplicaOptions{ID: id, Service: "ops", Slots: 4, Pause: 5 * time.Millisecond}
}

func gen(id string) managed.ReplicaOptions {
	return managed.ReplicaOptions{ID: id, Service: "gen", Slots: 8, Events: events, Pause: 5 * time.Millisecond}
}

// TestMixedRequests: every caller gets the whole answer to its own request, each
// with its seal, and what may not be repeated runs once.
func TestMixedRequests(t *testing.T) {
	f := startFleet(t, 3, ops("o1"), ops("o2"), gen("g1"), gen("g2"))
	paths := []string{pathOps, pathSafe, pathGen}
	var callers sync.WaitGroup
	for n := range 300 {
		callers.Go(func() {
			path := paths[n%len(paths)]
			got := f.send(f.routers[n%len(f.routers)], path)
			want := managed.ExpectedAnswer(got.ID)
			if path == pathGen {
				want = wholeStream(got.ID)
			}
			switch {
			case got.Status == http.StatusServiceUnavailable:
				if runs := f.journal.Runs(got.ID); len(runs) != 0 {
					t.Errorf("%s was told that it did not run, and ran at %s", got.ID, runs[0].Replica)
				}
				return
			case got.Status != http.StatusOK || !got.Complete || got.Body != want:
				t.Errorf("%s: status %d, whole %v, %q", path, got.Status, got.Complete, got.Body)
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

// TestBrokenStreamGoesOnElsewhere: a stream whose replica breaks off in the middle
// of an event goes on at another one, without a gap, a repetition or a torn event.
func TestBrokenStreamGoesOnElsewhere(t *testing.T) {
	breaking := gen("breaks")
	breaking.BreakAfterEvents = 3
	f := startFleet(t, 2, breaking, gen("sound"))
	resumed := 0
	for range 20 {
		got := f.send(f.routers[0], pathGen)
		if got.Status != http.StatusOK || !got.Complete || got.Body != wholeStream(got.ID) {
			t.Fatalf("status %d, whole %v:\n%s", got.Status, got.Complete, got.Body)
		}
		if runs := f.journal.Runs(got.ID); len(runs) == 2 && runs[1].AfterEvent == "3" {
			resumed++
		}
	}
	if resumed == 0 {
		t.Error("no stream met the replica that breaks off")
	}
}

// TestVersionsComeIntoForce: keys that are taken away are refused, and new routes
// served, at every router soon after the version was written.
func TestVersionsComeIntoForce(t *testing.T) {
	f := startFleet(t, 3, ops("o1"), ops("o2"))
	f.configure(func(c *wire.Config) {
		c.Tenants[0].Keys = []string{"another"}
		c.Routes = append(c.Routes, wire.Route{Name: "new", Host: managed.DemoHost, Prefix: "/new/", Kind: wire.Idempotent, Service: "ops", Public: true})
	})
	for n, r := range f.routers {
		f.eventually(2*time.Second, "the version is in force at router "+strconv.Itoa(n), func() bool {
			return f.send(r, pathOps).Status == http.StatusUnauthorized && f.send(r, "/new/x").Status == http.StatusOK
		})
		if got := f.send(r, "/nowhere/x"); got.Status != http.StatusNotFound {
			t.Errorf("unknown path: status %d", got.Status)
		}
	}
}

// TestTurnedAwayRouterKeepsUp: a router that the store turns away learns of keys
// taken away and of replicas that leave by its peers.
func TestTurnedAwayRouterKeepsUp(t *testing.T) {
	f := startFleet(t, 3, ops("o1"), ops("o2"))
	f.store.SetFaultAt(f.settings[0].Platform.Address, managed.Refusing)
	f.configure(func(c *wire.Config) { c.Tenants[0].Keys = []string{"another"} })
	cut := f.routers[0]
	f.eventually(3*time.Second, "a router that is turned away refuses a key taken away", func() bool {
		return f.send(cut, pathOps).Status == http.StatusUnauthorized
	})
}

// TestReadyOnceOthersAreKnown: a router that cannot list the others does not ask for
// callers, as it could not follow changes by them; but not for long.
func TestReadyOnceOthersAreKnown(t *testing.T) {
	f := startFleet(t, 2, ops("o1"))
	f.store.RefuseReads(platform.TableRouters)
	late, lonely := f.router(), f.router()
	f.eventually(testTimeout, "the late router has a version", func() bool { return late.InForce() != nil })
	if late.Ready() {
		t.Error("ready without knowing the others")
	}
	f.eventually(4*time.Second, "a router that never learns of the others is ready", lonely.Ready)

	f.store.RefuseReads(platform.TableRouters)
	late = f.router()
	f.eventually(testTimeout, "the late router has a version", func() bool { return late.InForce() != nil })
	f.store.RefuseReads("")
	f.eventually(time.Second, "the late router is ready once it knows the others", late.Ready)
}

// TestTurnedAwayMemberKeepsUp is the same for a router that had joined the others
// before the store turned it away.
func TestTurnedAwayMemberKeepsUp(t *testing.T) {
	f := startFleet(t, 3, ops("o1"), ops("o2"))
	f.waitJoined()
	f.store.SetFaultAt(f.settings[0].Platform.Address, managed.Refusing)
	f.configure(func(c *wire.Config) { c.Tenants[0].Keys = []string{"another"} })
	cut := f.routers[0]
	f.eventually(3*time.Second, "a member that is turned away refuses a key taken away", func() bool {
		return f.send(cut, pathOps).Status == http.StatusUnauthorized
	})
}

// TestLeavingReplicaGetsNothing: soon after a replica told that it leaves, or was
// taken off the list, no router sends it anything.
func TestLeavingReplicaGetsNothing(t *testing.T) {
	f := startFleet(t, 3, ops("o1"))
	leaving := f.replica(ops("o2"))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var callers sync.WaitGroup
	for _, r := range f.routers {
		callers.Go(func() {
			for ctx.Err() == nil {
				f.sendWith(ctx, r, pathSafe, key)
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
			t.Fatalf("%s reached the replica %s after it told that it leaves", run.ID, run.LeavingFor)
		}
	}
}

// TestOutageOfTheStore: requests are served while the store is silent, and a router
// that starts meanwhile has its configuration soon after the store's return.
func TestOutageOfTheStore(t *testing.T) {
	f := startFleet(t, 2, ops("o1"))
	f.store.SetFault(managed.Unresponsive)
	for _, r := range f.routers {
		if got := f.send(r, pathSafe); got.Status != http.StatusOK {
			t.Errorf("status %d while the store is silent", got.Status)
		}
	}
	late := f.router()
	if got := f.send(late, pathSafe); got.Status != http.StatusServiceUnavailable {
		t.Errorf("status %d without a configuration", got.Status)
	}
	f.store.SetFault(managed.Healthy)
	f.eventually(3*time.Second, "the late router serves", func() bool { return f.send(late, pathSafe).Status == http.StatusOK })
}

// TestForgottenHistory: a feed whose history is gone is loaded anew.
func TestForgottenHistory(t *testing.T) {
	f := startFleet(t, 2, ops("o1"))
	f.store.SetFault(managed.HistoryLost)
	f.configure(func(c *wire.Config) { c.Tenants[0].Keys = []string{"another"} })
	f.eventually(3*time.Second, "the version is in force", func() bool {
		return f.send(f.routers[0], pathOps).Status == http.StatusUnauthorized
	})
	f.store.SetFault(managed.Healthy)
}

// TestCallersThatLeaveEndTheirRuns: the run of a stream ends within half a second
// of its caller's leaving.
func TestCallersThatLeaveEndTheirRuns(t *testing.T) {
	slow := gen("g1")
	slow.Pause = 100 * time.Millisecond
	f := startFleet(t, 2, slow)
	for _, resumes := range []bool{true, false} {
		f.configure(func(c *wire.Config) { c.Routes[2].Resumable = resumes })
		time.Sleep(500 * time.Millisecond) // until the version is in force
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(250*time.Millisecond, cancel)
		got := f.sendWith(ctx, f.routers[0], pathGen, key)
		if got.Complete {
			t.Fatal("the stream ended before its caller left")
		}
		f.eventually(500*time.Millisecond, "the run is cancelled", func() bool {
			runs := f.journal.Runs(got.ID)
			return len(runs) == 1 && runs[0].Cancelled
		})
	}
}

// TestQuietRouterMakesFewCalls: with nothing changing, routers wait for changes, and the only
// other calls are era probes, at most one per second across the fleet.
func TestQuietRouterMakesFewCalls(t *testing.T) {
	f := startFleet(t, 3, ops("o1"))
	time.Sleep(2 * time.Second) // the routers find each other and begin to follow
	before, probesBefore, start := f.store.CallsExceptEraProbes(), f.store.EraProbes(), time.Now()
	time.Sleep(2 * time.Second)
	if made := f.store.CallsExceptEraProbes() - before; made > 0 {
		t.Errorf("%d calls in 2 s of quiet", made)
	}
	f.checkEraProbes(f.store.EraProbes()-probesBefore, time.Since(start))
}

// checkEraProbes checks that the fleet made at most one era probe per second.
func (f *fleet) checkEraProbes(probes int, elapsed time.Duration) {
	f.t.Helper()
	if most := int(elapsed.Seconds()) + 1; probes > most {
		f.t.Errorf("%d era probes in %s", probes, elapsed)
	}
}

// TestGracefulShutdownCutsNothing: streams in progress at a router that shuts down
// end whole.
func TestGracefulShutdownCutsNothing(t *testing.T) {
	slow := gen("g1")
	slow.Pause = 60 * time.Millisecond
	f := startFleet(t, 2, slow)
	var callers sync.WaitGroup
	for range 6 {
		callers.Go(func() {
			if got := f.send(f.routers[0], pathGen); got.Status != http.StatusOK || !got.Complete || got.Body != wholeStream(got.ID) {
				t.Errorf("status %d, whole %v: %q", got.Status, got.Complete, got.Body)
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

// TestLostAnswers: a run whose answer is lost is repeated only if it may be, and is
// never called "not run".
func TestLostAnswers(t *testing.T) {
	losing := ops("loses")
	losing.LoseAnswers = true
	f := startFleet(t, 2, losing, ops("sound"))
	lost, repeated := 0, 0
	sendOnce := func() {
		got := f.send(f.routers[0], pathOps)
		runs := f.journal.Runs(got.ID)
		switch {
		case len(runs) > 1:
			t.Errorf("%s ran %d times", got.ID, len(runs))
		case got.Status == http.StatusServiceUnavailable && len(runs) != 0:
			t.Errorf("%s was told that it did not run, and ran", got.ID)
		case got.Status == http.StatusBadGateway:
			lost++
		}
	}
	sendSafe := func() {
		safe := f.send(f.routers[0], pathSafe)
		if safeRuns := f.journal.Runs(safe.ID); len(safeRuns) == 2 && safe.Status == http.StatusOK {
			repeated++
		}
	}
	// A replica that fails is passed over for a while, so it gets a few of them only:
	// mostly the first after a pause. Once that was one kind, the other goes first.
	for end := time.Now().Add(testTimeout); (lost == 0 || repeated == 0) && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if lost == 0 {
			sendOnce()
			sendSafe()
		} else {
			sendSafe()
			sendOnce()
		}
	}
	if lost == 0 || repeated == 0 {
		t.Errorf("%d answers lost, %d requests repeated", lost, repeated)
	}
}

// TestUnsealedSuccessIsNotPassedOn: a success that is not marked as the replica's own
// is not given to the caller as one.
func TestUnsealedSuccessIsNotPassedOn(t *testing.T) {
	forging := ops("forges")
	forging.Unsealed = true
	f := startFleet(t, 1, forging)
	for _, path := range []string{pathOps, pathSafe} {
		if got := f.send(f.routers[0], path); got.Status < http.StatusInternalServerError {
			t.Errorf("%s: status %d", path, got.Status)
		}
	}
}

// TestFewRoutersFollowTheStore: a change costs a call of three routers, all others have
// it from their peers; and it reaches all when the store turns half of them away.
func TestFewRoutersFollowTheStore(t *testing.T) {
	const (
		routers   = 8
		followers = 3
	)
	f := startFleet(t, routers, ops("o1"))
	f.waitJoined()
	time.Sleep(3 * time.Second) // until the routers know who follows
	inForce := func(key string) {
		t.Helper()
		f.configure(func(c *wire.Config) { c.Tenants[0].Keys = []string{key} })
		for n, r := range f.routers {
			f.eventually(3*time.Second, "the version is in force at router "+strconv.Itoa(n), func() bool {
				return f.sendWith(context.Background(), r, pathOps, key).Status == http.StatusOK
			})
		}
	}
	before, probesBefore, start := f.store.CallsExceptEraProbes(), f.store.EraProbes(), time.Now()
	inForce("second")
	time.Sleep(time.Second) // until the followers have asked again
	if calls := f.store.CallsExceptEraProbes() - before; calls > followers {
		t.Errorf("%d calls for a change", calls)
	}
	f.checkEraProbes(f.store.EraProbes()-probesBefore, time.Since(start))
	for n := range routers / 2 {
		f.store.SetFaultAt(f.settings[n].Platform.Address, managed.Refusing)
	}
	inForce("third")
	for n := range routers / 2 {
		f.store.SetFaultAt(f.settings[n].Platform.Address, managed.Healthy)
		f.store.SetFaultAt(f.settings[n+routers/2].Platform.Address, managed.Refusing)
	}
	inForce("fourth")
}
