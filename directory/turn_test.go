package directory

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/walnutcove/walnutcove/config"
)

// startShared starts a follower that shares the feeds with others and has loaded the directory.
func startShared(t *testing.T) *harness {
	t.Helper()
	s := &harness{configurations: newFeed[Directive](), targets: newFeed[config.Target](), shared: true}
	s.populate()
	s.run(t)
	synctest.Wait()
	if !s.serves("a") {
		t.Fatal("the directory was not loaded")
	}
	return s
}

// TestStandsByWhileOthersFollow checks that a router makes no call while others follow the
// feeds, and knows what changed meanwhile once its turn comes.
func TestStandsByWhileOthersFollow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startShared(t)
		s.follower.SetTurn(Turn{})
		time.Sleep(time.Minute)
		s.targets.set(removalOf("a"))
		if !s.serves("a") || s.live {
			t.Errorf("follows although others do, live %v", s.live)
		}
		loads := s.targets.loads
		s.follower.SetTurn(Turn{Wanted: true, Ahead: 2})
		time.Sleep(3 * standByPerRouter)
		if s.serves("a") || !s.live || s.targets.loads != loads+1 {
			t.Errorf("does not follow, live %v, %d loads", s.live, s.targets.loads-loads)
		}
		s.targets.set(removalOf("b"))
		if s.serves("b") {
			t.Error("a change was not followed")
		}
	})
}

// TestFollowsWithoutTurn checks that soon after its start a router follows the feeds on its
// own, including what changed since its load.
func TestFollowsWithoutTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startShared(t)
		s.targets.set(removalOf("a"))
		time.Sleep(initialStandBy + time.Millisecond)
		if s.serves("a") || !s.live {
			t.Errorf("does not follow, live %v", s.live)
		}
	})
}

// TestReportsLostFeed checks that a router reports its lost feed, so that others take over, and
// for no longer than the feed is lost.
func TestReportsLostFeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startShared(t)
		time.Sleep(2 * initialStandBy)
		s.targets.setDown(true)
		synctest.Wait()
		if s.live {
			t.Error("follows a feed that is down")
		}
		s.targets.setDown(false)
		time.Sleep(2 * maxRetryPause)
		if !s.live {
			t.Error("does not report that its feeds answer again")
		}
	})
}

// TestSetTurnDuringCallback guards against a deadlock: a turn can be set while OnLiveChange
// runs, because OnLiveChange may wait for the caller of SetTurn.
func TestSetTurnDuringCallback(t *testing.T) {
	turns := newTurn(Options{Shared: true})
	inCallback, turnSet := make(chan struct{}), make(chan struct{})
	turns.onLiveChange = func(bool) { close(inCallback); <-turnSet }
	go func() {
		turns.setLive(feedConfigurations, true)
		turns.setLive(feedTargets, true)
	}()
	<-inCallback
	go func() {
		turns.set(Turn{})
		close(turnSet)
	}()
	select {
	case <-turnSet:
	case <-time.After(5 * time.Second):
		t.Fatal("the turn cannot be set while OnLiveChange runs")
	}
}
