package soak

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/standin/managed"
)

const (
	// recoveryLimit is how long after the last fault every router must serve again
	// on the newest version.
	recoveryLimit = 6 * time.Second
	// leavingBound is how long after a replica told that it leaves it may still get
	// requests.
	leavingBound = 2 * time.Second
	// quietTime lets what was sent arrive before the runs are judged.
	quietTime = time.Second
	// leastServed is the least part of the requests that must have been served, so
	// that the checks have something to check.
	leastServed = 0.2
)

// TestSoak is one run a seed.
func TestSoak(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) { soak(t, seed, soakOptions{}) })
}

// soakOptions enables additional fault kinds.
type soakOptions struct {
	// restores lets the store come back from older copies.
	restores bool
	// evacuates places replicas in two zones and lets the operator evacuate them.
	evacuates bool
	// notices has replicas say in their answers that they leave or want no requests.
	notices bool
}

// soak runs the test for one seed with the given options.
func soak(t *testing.T, seed uint64, options soakOptions) {
	f := startFleet(t, *routersFlag, options)
	j := startJudge(f, fmt.Sprintf("seed%d", seed))
	series := newFaults(f, seed)
	series.soakOptions = options
	series.run(*lengthFlag)
	if !t.Failed() {
		j.awaitRecovery()
		if options.evacuates {
			j.judgeEvacuation()
		}
		if options.notices {
			j.judgeNotices()
		}
		j.judgeLeaving()
	}
	j.end()
	time.Sleep(quietTime)
	j.judgeRuns()
	counts := j.counts()
	total := 0
	for _, n := range counts {
		total += n
	}
	if served := j.served.Load(); float64(served) < leastServed*float64(total) {
		t.Errorf("%d of %d requests were served", served, total)
	}
	t.Logf("seed %d: faults %v, answers by status %v", seed, series.begun, counts)
}

// awaitRecovery waits until every router serves each kind of request and is on the
// newest version alone.
func (j *judge) awaitRecovery() {
	version := j.newest()
	until := time.Now().Add(recoveryLimit)
	for _, r := range j.routers {
		for !j.isWell(r, version) {
			if time.Now().After(until) {
				j.t.Errorf("%s does not serve on version %d within %s", r.Name, version, recoveryLimit)
				return
			}
			time.Sleep(step)
		}
	}
}

func (j *judge) isWell(r *router, version uint64) bool {
	if !j.accepts(r, version) || version > 2 && j.accepts(r, version-2) {
		return false
	}
	for _, path := range []string{pathOnce, pathSafe, pathStream} {
		if !j.serves(r, path) {
			return false
		}
	}
	return true
}

func (j *judge) serves(r *router, path string) bool {
	got := j.caller.Send(j.t.Context(), r.Settings.Listen.Callers, path, managed.DemoKey)
	return got.Status == http.StatusOK && got.Complete
}

// judgeLeaving lets a replica leave in quiet: soon after, no router sends it anything.
func (j *judge) judgeLeaving() {
	leaving := j.replicas[0]
	leaving.StartLeaving()
	time.Sleep(leavingBound + quietTime)
	for _, run := range j.journal.Runs("") {
		if run.Replica == leaving.options.ID && run.LeavingFor > leavingBound {
			j.t.Errorf("%s reached %s %s after it told that it leaves", run.ID, run.Replica, run.LeavingFor)
			return
		}
	}
}
