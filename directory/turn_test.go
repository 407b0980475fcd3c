package directory

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/walnutcove/walnutcove/config"
)

// startShared starts a follower that shares the feeds with others, with the directory
// loaded.
func startShared(t *testing.T) *scene {
	t.Helper()
	s := &scene{configurations: newFeed[Directive](), targets: newFeed[config.Target](), shared: true}
	s.populate()
	s.run(t)
	synctest.Wait()
	if !s.serves("a") {
		t.Fatal("the directory was not loaded")
	}
	return s
}

// TestStandsByWhileOthersFollow: a router makes no call while others follow the feeds,
// and knows what changed meanwhile once its turn comes.
func TestStandsByWhileOthersFollow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startShared(t)
		s.follower.SetTurn(Turn{})
		time.Sleep(time.Minute)
		s.targets.set(gone("a"))
		if !s.serves("a") || s.live {
			t.Errorf("follows although others do, live %v", s.live)
		}
		loads := s.targets.loads
		s.follower.SetTurn(Turn{Wanted: true, Ahead: 2})
		time.Sleep(3 * standByEach)
		if s.serves("a") || !s.live || s.targets.loads != loads+1 {
			t.Errorf("does not follow, live %v, %d loads", s.live, s.targets.loads-loads)
		}
		s.targets.set(gone("b"))
		if s.serves("b") {
			t.Error("a change was not followed")
		}
	})
}

// TestFollowsByItselfIfNobodyTellsOtherwise: soon after its start a router follows the
// feeds, with what changed since its load.
func TestFollowsByItselfIfNobodyTellsOtherwise(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startShared(t)
		s.targets.set(gone("a"))
		time.Sleep(firstStandBy + time.Millisecond)
		if s.serves("a") || !s.live {
			t.Errorf("does not follow, live %v", s.live)
		}
	})
}

// TestTellsThatItsFeedIsLost: others take over then, and no longer than it is lost.
func TestTellsThatItsFeedIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startShared(t)
		time.Sleep(2 * firstStandBy)
		s.targets.setDown(true)
		synctest.Wait()
		if s.live {
			t.Error("follows a feed that is down")
		}
		s.targets.setDown(false)
		time.Sleep(2 * longestPause)
		if !s.live {
			t.Error("does not tell that its feeds answer again")
		}
	})
}

// TestTurnChangesWhileItIsTold: a turn can be set while OnFollowing runs, as it waits
// for the one who sets turns.
func TestTurnChangesWhileItIsTold(t *testing.T) {
	turns := newTurn(Options{Shared: true})
	told, turnSet := make(chan struct{}), make(chan struct{})
	turns.onFollowing = func(bool) { close(told); <-turnSet }
	go func() {
		turns.setLive(feedConfigurations, true)
		turns.setLive(feedTargets, true)
	}()
	<-told
	go func() {
		turns.set(Turn{})
		close(turnSet)
	}()
	select {
	case <-turnSet:
	case <-time.After(5 * time.Second):
		t.Fatal("the turn cannot be set while OnFollowing runs")
	}
}
