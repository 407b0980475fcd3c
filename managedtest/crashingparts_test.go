package managedtest

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/platform/wire"
	"github.com/walnutcove/walnutcove/standin/managed"
)

const (
	// crashingPart is a prompt part that crashes replicas, and soundPart one that all
	// requests have before it.
	crashingPart = "bad1"
	soundPart    = "50f7"
	// crashContact is the time after the fifth crash after which requests with the part
	// count as late, and maxLateRuns how many of them may reach a replica.
	crashContact = 3 * time.Second
	maxLateRuns  = 3
	// replicaDownTime is how long after a crash another replica starts in its place, and
	// entryLapseTime how long the entry stays.
	replicaDownTime = 1500 * time.Millisecond
	entryLapseTime  = 3300 * time.Millisecond
)

// crashingFleet is a fleet whose replicas crash on crashingPart.
type crashingFleet struct {
	*fleet
	mu      sync.Mutex
	crashes []time.Time
	started int
	stopped bool
}

func startCrashingFleet(t *testing.T, routers, replicas int) *crashingFleet {
	t.Helper()
	f := &crashingFleet{fleet: startFleet(t, routers)}
	t.Cleanup(func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.stopped = true
	})
	for range replicas {
		f.startReplica()
	}
	f.waitJoined()
	for _, r := range f.routers {
		f.eventually(testTimeout, "the fleet serves", func() bool { return f.send(r, pathStream).Status == http.StatusOK })
	}
	return f
}

// startReplica starts a replica with an id of its own.
func (f *crashingFleet) startReplica() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopped {
		return
	}
	f.started++
	options := genReplica(fmt.Sprintf("g%d", f.started))
	options.Slots, options.Pause, options.Events, options.CrashOnPart = 16, 30*time.Millisecond, 30, crashingPart
	options.OnCrash = f.replicaCrashed
	f.addReplica(options)
}

func (f *crashingFleet) replicaCrashed(r *managed.Replica) {
	f.mu.Lock()
	f.crashes = append(f.crashes, time.Now())
	f.mu.Unlock()
	time.AfterFunc(replicaDownTime, f.startReplica)
	time.AfterFunc(entryLapseTime, func() { f.store.Delete(wire.TableReplicas, r.ID()) })
}

// crashTimes returns the times of the crashes so far.
func (f *crashingFleet) crashTimes() []time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]time.Time(nil), f.crashes...)
}

// sendEvery sends streams with the given shared parts at a rate, one router after the other,
// until ctx ends. began is called with the time of each and whether it began.
func (f *crashingFleet) sendEvery(ctx context.Context, pause time.Duration, parts string, began func(at time.Time, began bool)) {
	var callers sync.WaitGroup
	defer callers.Wait()
	for n := 0; ctx.Err() == nil; n++ {
		callers.Go(func() {
			at := time.Now()
			request := managed.Request{Path: pathStream, Key: key, Parts: fmt.Sprintf("%s,%x:20", parts, at.UnixNano())}
			answer := f.caller.SendRequest(context.Background(), f.routers[n%len(f.routers)].CallersAddress(), request)
			began(at, answer.Status == http.StatusOK)
		})
		time.Sleep(pause)
	}
}

// TestCrashingPartIsRefusedByAllRouters guards against requests with one part in their prompts,
// no two alike, that crash one replica after the other, and against refusing the other requests of
// the same caller.
func TestCrashingPartIsRefusedByAllRouters(t *testing.T) {
	f := startCrashingFleet(t, 3, 10)
	ctx, cancel := context.WithTimeout(t.Context(), 13*time.Second)
	defer cancel()
	var mu sync.Mutex
	var sound []struct {
		at    time.Time
		began bool
	}
	var running sync.WaitGroup
	running.Go(func() {
		f.sendEvery(ctx, 25*time.Millisecond, soundPart+":80", func(at time.Time, began bool) {
			mu.Lock()
			defer mu.Unlock()
			sound = append(sound, struct {
				at    time.Time
				began bool
			}{at, began})
		})
	})
	running.Go(func() {
		time.Sleep(2 * time.Second)
		f.sendEvery(ctx, 200*time.Millisecond, soundPart+":80,"+crashingPart+":40", func(time.Time, bool) {})
	})
	running.Wait()

	crashes := f.crashTimes()
	if len(crashes) < 3 {
		t.Fatalf("%d replicas crashed: the test shows nothing", len(crashes))
	}
	fifth := crashes[min(4, len(crashes)-1)]
	late := 0
	for _, run := range f.journal.Runs("") {
		if strings.Contains(run.Parts, crashingPart) && run.StartedAt.After(fifth.Add(crashContact)) {
			late++
		}
	}
	if late > maxLateRuns {
		t.Errorf("%d requests with the part reached replicas later than %s after the fifth crash, %d replicas crashed", late, crashContact, len(crashes))
	}
	share := func(from, to time.Time) float64 {
		all, began := 0, 0
		for _, s := range sound {
			if s.at.After(from) && s.at.Before(to) {
				all++
				if s.began {
					began++
				}
			}
		}
		return float64(began) / float64(max(all, 1))
	}
	before, after := share(time.Time{}, crashes[0]), share(fifth.Add(2*crashContact), time.Now())
	t.Logf("%d crashes, %d late, sound requests begun: %.2f before, %.2f after", len(crashes), late, before, after)
	if after < before/2 {
		t.Errorf("a share of %.2f of the sound requests begins after the crashes, %.2f before", after, before)
	}
}

// TestPartIsNotRefusedWhereReplicasCrashOfThemselves guards against convicting the part that all
// requests have in common.
func TestPartIsNotRefusedWhereReplicasCrashOfThemselves(t *testing.T) {
	f := startCrashingFleet(t, 3, 10)
	ctx, cancel := context.WithTimeout(t.Context(), 9*time.Second)
	defer cancel()
	var running sync.WaitGroup
	running.Go(func() { f.sendEvery(ctx, 25*time.Millisecond, soundPart+":80", func(time.Time, bool) {}) })
	for n := range 10 {
		time.Sleep(600 * time.Millisecond)
		f.mu.Lock()
		victim := f.replicas[n]
		f.mu.Unlock()
		victim.Crash()
	}
	running.Wait()
	for n, log := range f.logs {
		for _, line := range log.linesWith("part_quarantined") {
			t.Errorf("router %d: %s", n, line)
		}
	}
}
