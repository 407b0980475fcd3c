package soak

import (
	"fmt"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/platform/wire"
	"github.com/walnutcove/walnutcove/standin/managed"
)

// awayBeforeReturn is how long the store is away before it comes back from a copy.
const awayBeforeReturn = 100 * time.Millisecond

// TestSoakRestores is TestSoak with a store that comes back from older copies as well. Its
// seeds are its own, as the further fault changes what a seed draws.
func TestSoakRestores(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) { soak(t, seed, soakOptions{restores: true}) })
}

// restore copies the store, and has it come back from that copy when the fault ends: what was
// written meanwhile is lost, and written again by those who wrote it.
func (f *faults) restore() (string, func() bool) {
	if f.busy["store"] {
		return "", nil
	}
	from := f.store.Backup()
	return "store", func() bool {
		f.store.SetFault(managed.Refusing)
		time.Sleep(awayBeforeReturn)
		f.store.Restore(from)
		f.store.SetFault(managed.Healthy)
		f.note("store came back, era %d", f.store.Era())
		f.publish()
		for _, r := range f.replicas {
			r.Renew()
		}
		f.dropUnknown(from)
		return true
	}
}

// dropUnknown removes the entries of replicas that ended since a copy: nobody renews them.
func (f *faults) dropUnknown(from managed.Backup) {
	lives := make(map[string]bool, len(f.replicas))
	for _, r := range f.replicas {
		lives[r.options.ID] = true
	}
	for _, id := range from.Keys(wire.TableReplicas) {
		if !lives[id] {
			f.store.Delete(wire.TableReplicas, id)
		}
	}
}

// forSeeds runs a test for each seed that was asked for.
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
