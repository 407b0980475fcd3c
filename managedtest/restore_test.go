package managedtest

import (
	"flag"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/platform/wire"
	"github.com/walnutcove/walnutcove/router"
	"github.com/walnutcove/walnutcove/standin/managed"
)

// restoreRouters is how many routers TestStoreCallsAfterRestore runs.
var restoreRouters = flag.Int("restore.routers", 24, "routers of TestStoreCallsAfterRestore")

// drills is how often the store comes back from an older copy in one test.
const drills = 20

// TestStoreComesBackFromAnOlderCopy guards against believing the store's revisions across its
// return from an older copy, which gives them out again: versions, targets that start and
// targets that leave are in force at every router soon after the return.
func TestStoreComesBackFromAnOlderCopy(t *testing.T) {
	f := startFleet(t, 3, ops("o1"), ops("o2"), gen("g1"))
	f.waitJoined()
	time.Sleep(2 * time.Second) // until the routers follow the store
	for n := range drills {
		t.Run("drill "+strconv.Itoa(n), func(t *testing.T) {
			f.t = t
			f.drill(n)
		})
	}
}

// awayBeforeReturn is how long the store is away before it comes back.
const awayBeforeReturn = 50 * time.Millisecond

// drill loses what was written since a copy: two versions, a target that started and one
// that left. The operator writes its newest again, and targets that live do.
func (f *fleet) drill(n int) {
	leaving := f.lasting(fmt.Sprintf("leaves-%d", n))
	f.awaitTarget(leaving.ID(), false)
	from := f.store.Backup()
	f.configure(nil)
	f.configure(nil)
	written := time.Now()
	lost := f.lasting(fmt.Sprintf("lost-%d", n))
	f.awaitTarget(lost.ID(), false)
	leaving.StartLeaving()
	f.awaitTarget(leaving.ID(), true)

	// The newest version may have been written too shortly before to be in force.
	highest := make([]config.Version, len(f.routers))
	for i, r := range f.routers {
		highest[i] = r.InForce().Version
	}
	f.store.SetFault([]managed.Fault{managed.Refusing, managed.Unresponsive}[n%2])
	for i, version := range highest {
		if version < config.Version(f.version) {
			f.t.Logf("router %d had version %d in force as the store went away, %s after %d was written", i, version, time.Since(written), f.version)
		}
	}
	time.Sleep(awayBeforeReturn)
	f.store.Restore(from)
	f.store.SetFault(managed.Healthy)
	returned := time.Now()
	f.configure(nil)
	started := f.lasting(fmt.Sprintf("starts-%d", n))
	leaving.Renew()
	lost.Renew()
	for i, r := range f.routers {
		for !f.knowsAfterDrill(r, started.ID(), leaving.ID(), lost.ID()) && time.Since(returned) < testTimeout {
			known := r.InForce().Version
			if known < highest[i] {
				f.t.Fatalf("router %d went back to version %d from %d", i, known, highest[i])
			}
			highest[i] = known
			time.Sleep(5 * time.Millisecond)
		}
		if took := time.Since(returned); took > soon {
			f.t.Errorf("router %d has the news %s after the store's return", i, took)
		}
		got := f.send(r, pathOps)
		if runs := f.journal.Runs(got.ID); got.Status != http.StatusOK || len(runs) != 1 || runs[0].LeavingFor > 0 {
			f.t.Errorf("router %d: status %d, %s, runs %+v", i, got.Status, got.Body, runs)
		}
	}
	for _, r := range []*managed.Replica{leaving, lost, started} {
		r.StartLeaving()
		f.awaitTarget(r.ID(), true)
		r.Close()
	}
	f.judgeVersions()
}

// judgeVersions checks each change of the version in force, from the routers' starts on: a
// version that came into force and went back between two looks counts too.
func (f *fleet) judgeVersions() {
	f.t.Helper()
	for i, log := range f.logs {
		versions := versionsInForce(f.t, log)
		if len(versions) == 0 {
			f.t.Errorf("router %d has put no version in force", i)
		}
		if from, to, fell := firstFall(versions); fell {
			f.t.Fatalf("router %d went back to version %d from %d", i, to, from)
		}
	}
}

// versionsInForce returns the versions that a router has put in force, in order.
func versionsInForce(t *testing.T, log *logged) []uint64 {
	t.Helper()
	var versions []uint64
	for _, line := range log.linesWith("config: Version in force.") {
		_, text, _ := strings.Cut(line, " version=")
		version, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatalf("%q: %v", line, err)
		}
		versions = append(versions, version)
	}
	return versions
}

// firstFall returns the first version that is lower than the one before it.
func firstFall(versions []uint64) (from, to uint64, fell bool) {
	for n := 1; n < len(versions); n++ {
		if versions[n] < versions[n-1] {
			return versions[n-1], versions[n], true
		}
	}
	return 0, 0, false
}

// TestAVersionThatWentBackIsFound guards the check of the drills against missing a version that
// came into force and went back between two looks.
func TestAVersionThatWentBackIsFound(t *testing.T) {
	log := &logged{}
	for _, version := range []uint64{96, 99, 99, 96, 102} {
		fmt.Fprintf(log, "level=INFO msg=\"config: Version in force.\" node=vm-1 version=%d\n", version)
	}
	if from, to, fell := firstFall(versionsInForce(t, log)); !fell || from != 99 || to != 96 {
		t.Errorf("fell %v, from %d to %d", fell, from, to)
	}
}

func (f *fleet) knowsAfterDrill(r *router.Router, started, leaving, lost string) bool {
	snapshot := r.InForce()
	targets := snapshot.Declarations.Targets
	_, lists := targets[started]
	_, keeps := targets[lost]
	return snapshot.Version == config.Version(f.version) && lists && keeps && targets[leaving].Leaving
}

// lasting starts a replica that the test closes itself.
func (f *fleet) lasting(id string) *managed.Replica {
	f.t.Helper()
	r, err := managed.StartReplica(f.store, f.journal, ops(id))
	if err != nil {
		f.t.Fatal(err)
	}
	return r
}

// awaitTarget waits until every router knows a target, as leaving or not.
func (f *fleet) awaitTarget(id string, leaving bool) {
	f.t.Helper()
	for n, r := range f.routers {
		f.eventually(2*soon, fmt.Sprintf("router %d knows %s", n, id), func() bool {
			target, listed := r.InForce().Declarations.Targets[id]
			return listed && target.Leaving == leaving
		})
	}
}

// TestOlderCopyUndoesNoRemoval guards against using a target whose removal was known, and
// that an older copy of the store lists as if it were alive.
func TestOlderCopyUndoesNoRemoval(t *testing.T) {
	f := startFleet(t, 2, ops("o1"))
	f.waitJoined()
	removed := f.lasting("removed")
	f.awaitTarget("removed", false)
	time.Sleep(2 * time.Second)
	from := f.store.Backup()
	removed.Close()
	for n, r := range f.routers {
		f.eventually(2*soon, fmt.Sprintf("router %d knows the removal", n), func() bool {
			_, listed := r.InForce().Declarations.Targets["removed"]
			return !listed
		})
	}
	f.store.Restore(from)
	f.configure(nil) // wakes the feeds
	for end := time.Now().Add(soon); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for n, r := range f.routers {
			if _, listed := r.InForce().Declarations.Targets["removed"]; listed {
				t.Fatalf("router %d uses a target again that is gone", n)
			}
		}
	}
	f.store.Delete(wire.TableReplicas, "removed") // it lapses, as nobody renews it
}

// TestStoreCallsAfterRestore guards against all routers of a fleet loading from the store when
// it has come back from an older copy: a few load, each announces itself, and no more.
func TestStoreCallsAfterRestore(t *testing.T) {
	const (
		// mostEach is how many calls of the store each router may make.
		mostEach = 3
		after    = 5 * time.Second
	)
	routers := *restoreRouters
	f := startFleet(t, routers, ops("o1"), gen("g1"))
	f.waitJoined()
	time.Sleep(2 * time.Second) // until the routers follow the store
	from := f.store.Backup()
	f.configure(nil)
	time.Sleep(time.Second)
	before := f.storeCalls()
	f.store.Restore(from)
	f.configure(nil)
	time.Sleep(after)
	calls := f.storeCalls() - before
	t.Logf("%d calls of %d routers", calls, routers)
	if calls > mostEach*routers {
		t.Errorf("%d routers made %d calls", routers, calls)
	}
	for n, log := range f.logs {
		if !log.has("directory: Platform store was restored from an older copy.") {
			t.Errorf("router %d did not hear of the return", n)
		}
		if f.routers[n].InForce().Version != config.Version(f.version) {
			t.Errorf("router %d has version %d", n, f.routers[n].InForce().Version)
		}
	}
}

func (f *fleet) storeCalls() int {
	return f.store.Calls(wire.PathRead) + f.store.Calls(wire.PathChanges) + f.store.Calls(wire.PathTransact)
}
