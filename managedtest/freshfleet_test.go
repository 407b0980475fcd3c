package managedtest

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

// freshFleets is the number of fleets that TestFreshFleetUsesFreeSlots starts.
const freshFleets = 8

// TestFreshFleetUsesFreeSlots guards against requests that wait until others end, while most slots
// of their service are free, because the targets are new to the schedulers.
func TestFreshFleetUsesFreeSlots(t *testing.T) {
	for n := range freshFleets {
		t.Run(fmt.Sprint("fleet ", n), func(t *testing.T) {
			t.Parallel()
			slow, slowToo := opsReplica("o1"), opsReplica("o2")
			slow.Pause, slowToo.Pause = 2*time.Second, 2*time.Second
			f := startFleet(t, 2, slow, slowToo)
			var callers sync.WaitGroup
			for _, r := range f.routers {
				for range 2 {
					callers.Go(func() {
						sent := time.Now()
						got := f.send(r, pathNonIdempotent)
						if took := time.Since(sent); took > slow.Pause+targetSettleTime+endMargin {
							t.Errorf("%s took %s:\n%s", got.ID, took, f.logOf(got.ID))
						}
					})
				}
			}
			callers.Wait()
		})
	}
}
