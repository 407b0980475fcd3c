package managedtest

import (
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/platform/wire"
	"github.com/walnutcove/walnutcove/standin/managed"
)

// How long the replica in these tests is cold, how many requests per second it tolerates then,
// and the overshoot factor and the slack in requests that the routers' settings allow.
const (
	coldTime      = 3 * time.Second
	coldPerSecond = 10
	coldOvershoot = 1.5
	coldSlack     = 5
	// maxColdPerSecond is the limit on requests to a cold replica within any second.
	maxColdPerSecond = coldPerSecond*coldOvershoot + coldSlack
)

// TestColdReplicaIsLimited guards against several routers together exceeding the request rate that
// a cold replica tolerates, after its first start and after a restart under the same ID, and
// against refused requests while a warm replica has free slots.
func TestColdReplicaIsLimited(t *testing.T) {
	f := startFleet(t, 3, opsReplica("warm"))
	f.publishConfig(func(c *wire.Config) {
		c.Services[0].ColdSeconds, c.Services[0].ColdPerSecond = coldTime.Seconds(), coldPerSecond
	})
	f.waitJoined()
	time.Sleep(2 * time.Second)

	cold := opsReplica("cold")
	cold.ColdTime = coldTime
	for range 2 {
		start := time.Now()
		r, err := managed.StartReplica(f.store, f.journal, cold)
		if err != nil {
			t.Fatal(err)
		}
		refused := f.sendThroughAllRouters(coldTime - 500*time.Millisecond)
		starts := f.runStartTimes("cold", start)
		if peak := maxInWindow(starts, time.Second); peak > maxColdPerSecond {
			t.Errorf("the cold replica received %d requests within one second, want at most %v", peak, maxColdPerSecond)
		}
		if len(starts) == 0 {
			t.Error("the cold replica received no requests")
		}
		if refused > 0 {
			t.Errorf("%d requests were refused while the warm replica had free slots", refused)
		}
		r.Close()
		time.Sleep(maxUpdateDelay)
	}
}

// sendThroughAllRouters sends requests through all routers concurrently for the given duration, one
// at a time per router, and returns the number of requests whose status is not 200.
func (f *fleet) sendThroughAllRouters(d time.Duration) (refused int) {
	var mu sync.Mutex
	var senders sync.WaitGroup
	for n := range f.routers {
		senders.Go(func() {
			for end := time.Now().Add(d); time.Now().Before(end); {
				if _, status := f.sendTo(n); status != 200 {
					mu.Lock()
					refused++
					mu.Unlock()
				}
			}
		})
	}
	senders.Wait()
	return refused
}

// runStartTimes returns the start times of a replica's runs after the given time, in ascending order.
func (f *fleet) runStartTimes(replica string, after time.Time) []time.Time {
	var times []time.Time
	for _, run := range f.journal.Runs("") {
		if run.Replica == replica && run.StartedAt.After(after) {
			times = append(times, run.StartedAt)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// maxInWindow returns the largest number of times within any window of the given length. The times
// must be in ascending order.
func maxInWindow(times []time.Time, window time.Duration) int {
	count, first := 0, 0
	for n, at := range times {
		for at.Sub(times[first]) >= window {
			first++
		}
		count = max(count, n-first+1)
	}
	return count
}
