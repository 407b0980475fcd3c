package soak

import (
	"fmt"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/platform/wire"
	"github.com/walnutcove/walnutcove/standin/managed"
)

// outageBeforeRestore is how long the store is unavailable before it is restored.
const outageBeforeRestore = 100 * time.Millisecond

// TestSoakRestores is TestSoak with restores of the store from older backups among the faults.
// It is a separate test because an additional fault kind changes the faults that a seed draws.
func TestSoakRestores(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) { soak(t, seed, soakOptions{restores: true}) })
}

// restore backs up the store and restores that backup when the fault ends: what was written
// meanwhile is lost, and the operator and the replicas write their current entries again.
func (f *faultInjector) restore() (string, func() bool) {
	if f.busy["store"] {
		return "", nil
	}
	backup := f.store.Backup()
	return "store", func() bool {
		f.store.SetFault(managed.Refusing)
		time.Sleep(outageBeforeRestore)
		f.store.Restore(backup)
		f.store.SetFault(managed.Healthy)
		f.note("store restored, era %d", f.store.Era())
		f.writeNewestVersion()
		for _, r := range f.replicas {
			r.Renew()
		}
		f.deleteEndedReplicas(backup)
		return true
	}
}

// deleteEndedReplicas deletes the entries of replicas that ended since a backup, as nobody
// renews these entries.
func (f *faultInjector) deleteEndedReplicas(backup managed.Backup) {
	running := make(map[string]bool, len(f.replicas))
	for _, r := range f.replicas {
		running[r.options.ID] = true
	}
	for _, id := range backup.Keys(wire.TableReplicas) {
		if !running[id] {
			f.store.Delete(wire.TableReplicas, id)
		}
	}
}

// forSeeds runs a test for each seed that the flags give.
func forSeeds(t *testing.T, run func(t *testing.T, seed uint64)) {
	seeds, err := parseSeeds(*seedsFlag)
	if err != nil {
		t.Fatal(err)
	}
	slots := make(chan struct{}, *parallelFlag)
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			run(t, seed)
		})
	}
}
