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
// feeds, and knows what changed meanwhile once it has to follow them.
func TestStandsByWhileOthersFollow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startShared(t)
		s.follower.SetFeedRole(FeedRole{})
		time.Sleep(time.Minute)
		s.targets.set(removalOf("a"))
		if !s.serves("a") || s.live {
			t.Errorf("follows although others do, live %v", s.live)
		}
		loads := s.targets.loads
		s.follower.SetFeedRole(FeedRole{Follow: true, Ahead: 2})
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

// TestFollowsWithoutFeedRole checks that soon after its start a router follows the feeds on its
// own, including what changed since its load.
func TestFollowsWithoutFeedRole(t *testing.T) {
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
		synctest.Wait()
		if !s.live {
			t.Error("does not report that its feeds answer again")
		}
	})
}

// TestSetFeedRoleDuringCallback guards against a deadlock: the role can be set while OnLiveChange
// runs, because OnLiveChange may wait for the caller of SetFeedRole.
func TestSetFeedRoleDuringCallback(t *testing.T) {
	role := newRoleTracker(Options{Shared: true})
	inCallback, roleSet := make(chan struct{}), make(chan struct{})
	role.onLiveChange = func(bool) { close(inCallback); <-roleSet }
	go func() {
		role.setLive(feedConfigurations, true)
		role.setLive(feedTargets, true)
	}()
	<-inCallback
	go func() {
		role.set(FeedRole{})
		close(roleSet)
	}()
	select {
	case <-roleSet:
	case <-time.After(5 * time.Second):
		t.Fatal("the role cannot be set while OnLiveChange runs")
	}
}
