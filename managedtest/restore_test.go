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

// restoreRouters is the number of routers in TestStoreCallsAfterRestore.
var restoreRouters = flag.Int("restore.routers", 24, "number of routers in TestStoreCallsAfterRestore")

// restoreCount is how often TestStoreIsRestoredFromAnOlderBackup restores the store.
const restoreCount = 20

// TestStoreIsRestoredFromAnOlderBackup guards against trusting the store's revisions across its
// restore from an older backup: the restored store gives the same revisions out again. New
// versions, targets that start and targets that leave must be in force at every router soon
// after the restore.
func TestStoreIsRestoredFromAnOlderBackup(t *testing.T) {
	f := startFleet(t, 3, opsReplica("o1"), opsReplica("o2"), genReplica("g1"))
	f.waitJoined()
	time.Sleep(2 * time.Second) // until the routers follow the store
	for n := range restoreCount {
		t.Run("restore "+strconv.Itoa(n), func(t *testing.T) {
			f.t = t
			f.checkRestore(n)
		})
	}
}

// outageBeforeRestore is how long the store is unavailable before it is restored.
const outageBeforeRestore = 50 * time.Millisecond

// checkRestore restores the store from a backup and thereby loses what was written since: two
// versions, a target that started and one that left. Then the operator writes its newest version
// again, and running targets write their entries again.
func (f *fleet) checkRestore(n int) {
	leaving := f.startReplicaWithoutCleanup(fmt.Sprintf("leaves-%d", n))
	f.awaitTarget(leaving.ID(), false)
	backup := f.store.Backup()
	f.publishConfig(nil)
	f.publishConfig(nil)
	written := time.Now()
	lost := f.startReplicaWithoutCleanup(fmt.Sprintf("lost-%d", n))
	f.awaitTarget(lost.ID(), false)
	leaving.StartLeaving()
	f.awaitTarget(leaving.ID(), true)

	// The newest version may have been written too recently to be in force.
	highest := make([]config.Version, len(f.routers))
	for i, r := range f.routers {
		highest[i] = r.InForce().Version
	}
	f.store.SetFault([]managed.Fault{managed.Refusing, managed.Unresponsive}[n%2])
	for i, version := range highest {
		if version < config.Version(f.version) {
			f.t.Logf("router %d had version %d in force when the store became unavailable, %s after version %d was written", i, version, time.Since(written), f.version)
		}
	}
	time.Sleep(outageBeforeRestore)
	f.store.Restore(backup)
	f.store.SetFault(managed.Healthy)
	restoredAt := time.Now()
	f.publishConfig(nil)
	started := f.startReplicaWithoutCleanup(fmt.Sprintf("starts-%d", n))
	leaving.Renew()
	lost.Renew()
	for i, r := range f.routers {
		for !f.isUpToDateAfterRestore(r, started.ID(), leaving.ID(), lost.ID()) && time.Since(restoredAt) < testTimeout {
			known := r.InForce().Version
			if known < highest[i] {
				f.t.Fatalf("router %d returned to version %d from %d", i, known, highest[i])
			}
			highest[i] = known
			time.Sleep(5 * time.Millisecond)
		}
		if took := time.Since(restoredAt); took > maxUpdateDelay {
			f.t.Errorf("router %d was up to date %s after the restore", i, took)
		}
		got := f.send(r, pathNonIdempotent)
		if runs := f.journal.Runs(got.ID); got.Status != http.StatusOK || len(runs) != 1 || runs[0].LeavingFor > 0 {
			f.t.Errorf("router %d: status %d, %s, runs %+v", i, got.Status, got.Body, runs)
		}
	}
	for _, r := range []*managed.Replica{leaving, lost, started} {
		r.StartLeaving()
		f.awaitTarget(r.ID(), true)
		r.Close()
	}
	f.checkVersionsRise()
}

// checkVersionsRise checks all versions that the routers have put in force since they started.
// It reads them from the logs, so that it also finds an older version that was in force only
// briefly, between two polls.
func (f *fleet) checkVersionsRise() {
	f.t.Helper()
	for i, log := range f.logs {
		versions := versionsInForce(f.t, log)
		if len(versions) == 0 {
			f.t.Errorf("router %d put no version in force", i)
		}
		if from, to, found := firstDecrease(versions); found {
			f.t.Fatalf("router %d returned to version %d from %d", i, to, from)
		}
	}
}

// versionsInForce returns the versions that a router has put in force, in the order of its log.
func versionsInForce(t *testing.T, log *logBuffer) []uint64 {
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

// firstDecrease returns the first version that is lower than its predecessor, as to, and the
// predecessor, as from.
func firstDecrease(versions []uint64) (from, to uint64, found bool) {
	for n := 1; n < len(versions); n++ {
		if versions[n] < versions[n-1] {
			return versions[n-1], versions[n], true
		}
	}
	return 0, 0, false
}

// TestVersionDecreaseIsDetected guards against a checkVersionsRise that misses an older version
// that was in force only between two polls.
func TestVersionDecreaseIsDetected(t *testing.T) {
	log := &logBuffer{}
	for _, version := range []uint64{96, 99, 99, 96, 102} {
		fmt.Fprintf(log, "level=INFO msg=\"config: Version in force.\" node=vm-1 version=%d\n", version)
	}
	if from, to, found := firstDecrease(versionsInForce(t, log)); !found || from != 99 || to != 96 {
		t.Errorf("found %v, from %d to %d", found, from, to)
	}
}

// isUpToDateAfterRestore reports whether a router has the newest version in force, lists the
// targets started and lost, and knows that the target leaving is leaving.
func (f *fleet) isUpToDateAfterRestore(r *router.Router, started, leaving, lost string) bool {
	snapshot := r.InForce()
	targets := snapshot.Declarations.Targets
	_, listsStarted := targets[started]
	_, listsLost := targets[lost]
	return snapshot.Version == config.Version(f.version) && listsStarted && listsLost && targets[leaving].Leaving
}

// startReplicaWithoutCleanup starts a replica that the test closes itself.
func (f *fleet) startReplicaWithoutCleanup(id string) *managed.Replica {
	f.t.Helper()
	r, err := managed.StartReplica(f.store, f.journal, opsReplica(id))
	if err != nil {
		f.t.Fatal(err)
	}
	return r
}

// awaitTarget waits until every router lists a target with the given leaving state.
func (f *fleet) awaitTarget(id string, leaving bool) {
	f.t.Helper()
	for n, r := range f.routers {
		f.eventually(2*maxUpdateDelay, fmt.Sprintf("router %d knows %s", n, id), func() bool {
			target, listed := r.InForce().Declarations.Targets[id]
			return listed && target.Leaving == leaving
		})
	}
}

// TestRestoredStoreDoesNotReviveRemovedTarget guards against using a target whose removal was
// known to the routers, but which the store lists again after a restore from an older backup.
func TestRestoredStoreDoesNotReviveRemovedTarget(t *testing.T) {
	f := startFleet(t, 2, opsReplica("o1"))
	f.waitJoined()
	removed := f.startReplicaWithoutCleanup("removed")
	f.awaitTarget("removed", false)
	time.Sleep(2 * time.Second)
	backup := f.store.Backup()
	removed.Close()
	for n, r := range f.routers {
		f.eventually(2*maxUpdateDelay, fmt.Sprintf("router %d knows the removal", n), func() bool {
			_, listed := r.InForce().Declarations.Targets["removed"]
			return !listed
		})
	}
	f.store.Restore(backup)
	f.publishConfig(nil) // so that the waiting calls of the feeds are answered
	for end := time.Now().Add(maxUpdateDelay); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for n, r := range f.routers {
			if _, listed := r.InForce().Declarations.Targets["removed"]; listed {
				t.Fatalf("router %d uses a removed target again", n)
			}
		}
	}
	f.store.Delete(wire.TableReplicas, "removed") // the entry expires, as no replica renews it
}

// TestStoreCallsAfterRestore guards against all routers of a fleet loading the feeds from the
// store after it was restored from an older backup. Only a few may load them; each router
// registers itself again, and makes hardly any other call.
func TestStoreCallsAfterRestore(t *testing.T) {
	const (
		// maxCallsPerRouter is how many calls to the store each router may make on average.
		maxCallsPerRouter = 3
		watchTime         = 5 * time.Second
	)
	routers := *restoreRouters
	f := startFleet(t, routers, opsReplica("o1"), genReplica("g1"))
	f.waitJoined()
	time.Sleep(2 * time.Second) // until the routers follow the store
	backup := f.store.Backup()
	f.publishConfig(nil)
	time.Sleep(time.Second)
	before := f.storeCalls()
	f.store.Restore(backup)
	f.publishConfig(nil)
	time.Sleep(watchTime)
	calls := f.storeCalls() - before
	t.Logf("%d calls of %d routers", calls, routers)
	if calls > maxCallsPerRouter*routers {
		t.Errorf("%d routers made %d calls", routers, calls)
	}
	for n, log := range f.logs {
		if !log.contains("directory: Platform store was restored from an older copy.") {
			t.Errorf("router %d did not learn of the restore", n)
		}
		if f.routers[n].InForce().Version != config.Version(f.version) {
			t.Errorf("router %d has version %d", n, f.routers[n].InForce().Version)
		}
	}
}

func (f *fleet) storeCalls() int {
	return f.store.Calls(wire.PathRead) + f.store.Calls(wire.PathChanges) + f.store.Calls(wire.PathTransact)
}
