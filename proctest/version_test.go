package proctest

import (
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/load"
	"github.com/walnutcove/walnutcove/result"
	standin "github.com/walnutcove/walnutcove/standin/platform"
)

// inForceWithin is how soon an accepted version must be in force everywhere.
const inForceWithin = 7 * time.Second

// watchPause is the pause between two looks at the routers' versions.
const watchPause = 20 * time.Millisecond

// TestVersionWhenOperatorsRace lets three operators at three routers send
// patches against the same version, round after round: one wins each.
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
			case codeOf(err) != result.VersionConflict:
				t.Errorf("a losing patch was answered: %v", err)
			}
		}
		if won != 1 {
			t.Errorf("%d patches against version %d were accepted", won, base)
		}
	}
	f.inForce(0, 1, 2)
	w.judge()
	f.judgeSame()
}

// TestVersionWhenRepliesAreLost loses the store's reply to each accepted
// version. The operator sends the same patch again; it makes one version.
func TestVersionWhenRepliesAreLost(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{})
	w := f.watchVersions()
	for n := range 6 {
		f.platformFaults(standin.Faults{LoseReplies: 1 + n%2, LoseTablePrefix: "config_"})
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
		f.platformFaults(standin.Faults{})
	}
	f.inForce(0, 1, 2)
	w.judge()
	f.judgeSame()
}

// TestVersionSpreadsWhileTheStoreIsOut cuts two routers from the store before a
// version is accepted at the third, and then takes the store away for all. A
// router that restarts meanwhile with empty memory gets the version from its
// peers too.
func TestVersionSpreadsWhileTheStoreIsOut(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{})
	w := f.watchVersions()
	f.platformWays[1].Cut()
	f.platformWays[2].Cut()
	_, err := f.patch(0, newPatch(f.newest(), 5))
	f.must(err)
	f.platformFaults(standin.Faults{Outage: standin.OutageDrop})
	f.inForce(0, 1, 2)
	f.note("kill %s", routerName(1))
	f.routers[1].Kill()
	w.judgeLog(1)
	f.restart(1)
	f.inForce(0, 1, 2)
	got := <-f.send(1, request(load.NonStreaming, "bakery", "after-restart", 3))
	if got.Verdict != load.Answered {
		t.Errorf("the restarted router answered: %s, code %d %s", got.Verdict, got.Code, got.Detail)
	}
	w.judge()
}

// TestVersionAcrossAPartition cuts a router from the others and the store while
// versions are accepted. It keeps its version and serves by it; restarted while
// it is cut off, it serves nobody; rejoined, it is on the newest.
func TestVersionAcrossAPartition(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{})
	w := f.watchVersions()
	before := f.newest()
	f.isolate(2)
	f.platformWays[2].Cut()
	for n := range 3 {
		_, err := f.patch(n%2, newPatch(f.newest(), float64(20+n)))
		f.must(err)
	}
	f.inForce(0, 1)
	if got, ready := f.versionAt(2); got != before || !ready {
		t.Errorf("the router that is cut off is on version %d, ready %v", got, ready)
	}
	got := <-f.send(2, request(load.NonStreaming, "bakery", "cut-off", 3))
	if got.Verdict != load.Answered {
		t.Errorf("the router that is cut off answered: %s, code %d %s", got.Verdict, got.Code, got.Detail)
	}
	f.rejoin(2) // the store stays cut off, so that only the peers can tell
	f.inForce(0, 1, 2)
	f.platformWays[2].heal()

	f.isolate(2)
	f.platformWays[2].Cut()
	f.routers[2].Kill()
	w.judgeLog(2)
	f.restart(2)
	got = <-f.send(2, request(load.NonStreaming, "bakery", "empty", 3))
	if !hasCode(result.NotReady)(got) || got.Ran != ranNo {
		t.Errorf("a router without a version answered: %s, code %d %s", got.Verdict, got.Code, got.Detail)
	}
	f.rejoin(2)
	f.platformWays[2].heal()
	f.inForce(0, 1, 2)
	w.judge()
	f.judgeSame()
}

// TestVersionUnderManyFaults lets operators patch at all routers without a
// pause while replies are lost, the store fails, routers are cut off, killed
// and restarted. Every version that an operator was told of stands in the
// history, under its own number, and no router ever goes back.
func TestVersionUnderManyFaults(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{})
	w := f.watchVersions()
	operators := f.startOperators()
	faults := []func(){
		func() { f.platformFaults(standin.Faults{LoseReplies: 5, LoseTablePrefix: "config_"}) },
		func() { f.isolate(0) },
		func() { f.platformFaults(standin.Faults{Outage: standin.OutageFreeze}) },
		func() { f.platformWays[1].Cut() },
		func() { f.routers[2].Kill(); w.judgeLog(2); f.restart(2) },
		func() { f.platformFaults(standin.Faults{ReplyDelayMillis: 1200}) },
		func() { f.must(f.routers[1].Freeze()) },
		func() { f.isolate(2); f.platformWays[2].Cut() },
	}
	for n, fault := range faults {
		f.note("fault %d", n)
		fault()
		f.holdShortly()
		if n%2 == 0 {
			continue // so that two faults stand together
		}
		f.heal()
		operators.more(f, 5)
	}
	f.heal()
	accepted := operators.end()
	f.inForce(0, 1, 2)
	w.judge()
	f.judgeSame()
	f.judgeHistory(accepted)
	if len(operators.twice) > 0 {
		t.Errorf("versions %v were given to two patches", operators.twice)
	}
	t.Logf("%d versions accepted", len(accepted))
}
