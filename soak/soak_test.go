package soak

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/standin/managed"
)

const (
	// maxRecoveryTime is how long after the last fault a router may take to serve again
	// on the newest version.
	maxRecoveryTime = 6 * time.Second
	// maxLeavingDelay is how long after a replica announced that it leaves it may still
	// get requests.
	maxLeavingDelay = 2 * time.Second
	// inFlightTime lets requests that were already sent arrive before the runs are
	// checked.
	inFlightTime = time.Second
	// minServedPart is the least part of the requests that must have been served, so
	// that the checks are meaningful.
	minServedPart = 0.2
)

// TestSoak makes one run for each seed, with the faults that all runs share, while replicas fall
// silent and go on.
func TestSoak(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) { soak(t, seed, soakOptions{silences: true}) })
}

// TestSoakUnframed is TestSoak with answers that end with their connections. It guards against
// taking answers that break off for whole ones.
func TestSoakUnframed(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) { soak(t, seed, soakOptions{unframed: true}) })
}

// soakOptions enables additional fault kinds.
type soakOptions struct {
	// restores lets the store be restored from older backups.
	restores bool
	// evacuates places replicas in two zones and lets the operator evacuate them.
	evacuates bool
	// notices has replicas announce in their answers that they leave or want no
	// requests for a while.
	notices bool
	// unframed has replicas answer without a length or chunks, so that only the close of
	// the connection ends an answer.
	unframed bool
	// software gives the engines one of two software versions in turn, and has callers
	// reconnect to their streams.
	software bool
	// crashingParts has callers send requests with a prompt part that crashes engines.
	crashingParts bool
	// silences has replicas fall silent and go on, beside the other faults.
	silences bool
	// planned has planned work alone take place: versions, reloads and shutdowns.
	planned bool
}

// soak makes the run of one seed with the given options.
func soak(t *testing.T, seed uint64, options soakOptions) {
	f := startFleet(t, *routersFlag, options)
	c := startChecker(f, fmt.Sprintf("seed%d", seed))
	if options.crashingParts {
		c.workers.Go(c.sendCrashing)
	}
	injector := newFaultInjector(f, seed)
	injector.soakOptions = options
	injector.run(*lengthFlag)
	if !t.Failed() {
		c.awaitRecovery()
		if options.evacuates {
			c.checkEvacuation()
		}
		if options.notices {
			c.checkNotices()
		}
		if options.software {
			c.checkReconnectAfterKill()
		}
		if options.crashingParts {
			c.checkCrashingParts()
		}
		c.checkLeaving()
	}
	c.finish()
	time.Sleep(inFlightTime)
	c.checkRuns()
	if options.software {
		c.checkSoftware()
	}
	if options.planned {
		c.checkSilence()
	}
	counts := c.counts()
	total := 0
	for _, n := range counts {
		total += n
	}
	if served := c.served.Load(); float64(served) < minServedPart*float64(total) {
		t.Errorf("%d of %d requests were served", served, total)
	}
	t.Logf("seed %d: faults %v, answers by status %v", seed, injector.begunByKind, counts)
}

// awaitRecovery waits until every router serves each kind of request and accepts the
// keys of the newest version only.
func (c *checker) awaitRecovery() {
	version := c.newestVersion()
	until := time.Now().Add(maxRecoveryTime)
	for _, r := range c.routers {
		for !c.hasRecovered(r, version) {
			if time.Now().After(until) {
				c.t.Errorf("%s did not serve on version %d within %s", r.Name, version, maxRecoveryTime)
				return
			}
			time.Sleep(pollPause)
		}
	}
}

// hasRecovered reports whether a router serves each kind of request, accepts the key of
// a version and does not accept the key of the version before.
func (c *checker) hasRecovered(r *router, version uint64) bool {
	if !c.acceptsVersion(r, version) || version > 2 && c.acceptsVersion(r, version-2) {
		return false
	}
	for _, path := range []string{pathNonIdempotent, pathIdempotent, pathStream} {
		if !c.serves(r, path) {
			return false
		}
	}
	return true
}

// serves reports whether a router answers a request to a path completely.
func (c *checker) serves(r *router, path string) bool {
	got := c.caller.Send(c.t.Context(), r.Settings.Listen.Callers, path, managed.DemoKey)
	return got.Status == http.StatusOK && got.Complete
}

// checkLeaving has a replica announce that it leaves while no faults are active. It
// guards against routers that keep sending requests to it.
func (c *checker) checkLeaving() {
	leaving := c.replicas[0]
	leaving.StartLeaving()
	time.Sleep(maxLeavingDelay + inFlightTime)
	for _, run := range c.journal.Runs("") {
		if run.Replica == leaving.options.ID && run.LeavingFor > maxLeavingDelay {
			c.t.Errorf("%s reached %s %s after it announced that it leaves", run.ID, run.Replica, run.LeavingFor)
			return
		}
	}
}
