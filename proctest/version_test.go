package proctest

import (
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/load"
	"github.com/walnutcove/walnutcove/result"
	standin "github.com/walnutcove/walnutcove/standin/platform"
)

// maxVersionDelay is how long an accepted version may take to come into force at
// every router.
const maxVersionDelay = 7 * time.Second

// versionPollPause is the pause between two queries of a router's version.
const versionPollPause = 20 * time.Millisecond

// TestVersionWhenOperatorsRace lets three operators at three routers send
// patches based on the same version, round after round. Exactly one patch of
// each round must be accepted, and the others refused as a version conflict.
func TestVersionWhenOperatorsRace(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{})
	w := f.watchVersions()
	for round := range 10 {
		base := f.newest()
		outcomes := make(chan error, routerCount)
		for n := range routerCount {
			go func() {
				_, err := f.patch(n, newPatch(base, float64(1+round*routerCount+n)))
				outcomes <- err
			}()
		}
		won := 0
		for range routerCount {
			err := <-outcomes
			switch {
			case err == nil:
				won++
			case resultCode(err) != result.VersionConflict:
				t.Errorf("a losing patch was answered: %v", err)
			}
		}
		if won != 1 {
			t.Errorf("%d patches against version %d were accepted", won, base)
		}
	}
	f.checkVersionInForce(0, 1, 2)
	w.stopAndCheck()
	f.checkSameVersion()
}

// TestVersionWhenRepliesAreLost loses the store's replies to the write of each
// version, so that the operator sends the same patch again. Each patch must make
// exactly one version.
func TestVersionWhenRepliesAreLost(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{})
	w := f.watchVersions()
	for n := range 6 {
		f.setPlatformFaults(standin.Faults{LoseReplies: 1 + n%2, LoseTablePrefix: "config_"})
		base := f.newest()
		patch := newPatch(base, float64(10+n))
		var accepted config.Version
		f.eventually("the patch is accepted", func() bool {
			var err error
			accepted, err = f.patch(n%routerCount, patch)
			return err == nil
		})
		if accepted != base+1 {
			t.Errorf("a patch against version %d was accepted as %d", base, accepted)
		}
		f.setPlatformFaults(standin.Faults{})
	}
	f.checkVersionInForce(0, 1, 2)
	w.stopAndCheck()
	f.checkSameVersion()
}

// TestVersionSpreadsWhileTheStoreIsOut cuts two routers off from the store before
// a version is accepted at the third router, and then makes the store fail for
// all. The routers must get the version from their peers, and so must a router
// that restarts with empty memory during the outage.
func TestVersionSpreadsWhileTheStoreIsOut(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{})
	w := f.watchVersions()
	f.platformProxies[1].Cut()
	f.platformProxies[2].Cut()
	_, err := f.patch(0, newPatch(f.newest(), 5))
	f.must(err)
	f.setPlatformFaults(standin.Faults{Outage: standin.OutageDrop})
	f.checkVersionInForce(0, 1, 2)
	f.note("kill %s", routerName(1))
	f.routers[1].Kill()
	w.checkLog(1)
	f.restart(1)
	f.checkVersionInForce(0, 1, 2)
	got := <-f.sendAsync(1, request(load.NonStreaming, "bakery", "after-restart", 3))
	if got.Verdict != load.Answered {
		t.Errorf("the restarted router answered: %s, code %d %s", got.Verdict, got.Code, got.Detail)
	}
	w.stopAndCheck()
}

// TestVersionAcrossAPartition cuts a router off from the others and from the
// store while versions are accepted. The router must keep its version and serve
// by it. Restarted while cut off, it must refuse every request as not run.
// Reconnected, it must get to the newest version.
func TestVersionAcrossAPartition(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{})
	w := f.watchVersions()
	before := f.newest()
	f.isolate(2)
	f.platformProxies[2].Cut()
	for n := range 3 {
		_, err := f.patch(n%2, newPatch(f.newest(), float64(20+n)))
		f.must(err)
	}
	f.checkVersionInForce(0, 1)
	if got, ready := f.versionAt(2); got != before || !ready {
		t.Errorf("the router that is cut off is on version %d, ready %v", got, ready)
	}
	got := <-f.sendAsync(2, request(load.NonStreaming, "bakery", "cut-off", 3))
	if got.Verdict != load.Answered {
		t.Errorf("the router that is cut off answered: %s, code %d %s", got.Verdict, got.Code, got.Detail)
	}
	f.rejoin(2) // still cut off from the store, so it can learn only from peers
	f.checkVersionInForce(0, 1, 2)
	f.platformProxies[2].heal()

	f.isolate(2)
	f.platformProxies[2].Cut()
	f.routers[2].Kill()
	w.checkLog(2)
	f.restart(2)
	got = <-f.sendAsync(2, request(load.NonStreaming, "bakery", "empty", 3))
	if !refusedWith(result.NotReady)(got) || got.Ran != ranNo {
		t.Errorf("a router without a version answered: %s, code %d %s", got.Verdict, got.Code, got.Detail)
	}
	f.rejoin(2)
	f.platformProxies[2].heal()
	f.checkVersionInForce(0, 1, 2)
	w.stopAndCheck()
	f.checkSameVersion()
}

// TestVersionUnderManyFaults lets operators submit patches at all routers
// continuously while replies are lost, the store fails, and routers are cut off,
// frozen, killed and restarted. Every version that an operator was told of must
// be in the history under its own number, and no router may ever return to an
// older version.
func TestVersionUnderManyFaults(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{})
	w := f.watchVersions()
	operators := f.startOperators()
	faults := []func(){
		func() { f.setPlatformFaults(standin.Faults{LoseReplies: 5, LoseTablePrefix: "config_"}) },
		func() { f.isolate(0) },
		func() { f.setPlatformFaults(standin.Faults{Outage: standin.OutageFreeze}) },
		func() { f.platformProxies[1].Cut() },
		func() { f.routers[2].Kill(); w.checkLog(2); f.restart(2) },
		func() { f.setPlatformFaults(standin.Faults{ReplyDelayMillis: 1200}) },
		func() { f.must(f.routers[1].Freeze()) },
		func() { f.isolate(2); f.platformProxies[2].Cut() },
	}
	for n, fault := range faults {
		f.note("fault %d", n)
		fault()
		f.pauseBriefly()
		if n%2 == 0 {
			continue // two faults are in force together
		}
		f.heal()
		operators.awaitAccepted(f, 5)
	}
	f.heal()
	accepted := operators.stop()
	f.checkVersionInForce(0, 1, 2)
	w.stopAndCheck()
	f.checkSameVersion()
	f.checkHistory(accepted)
	if len(operators.duplicates) > 0 {
		t.Errorf("versions %v were given to two patches", operators.duplicates)
	}
	t.Logf("%d versions accepted", len(accepted))
}
