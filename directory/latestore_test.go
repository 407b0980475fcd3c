package directory

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/walnutcove/walnutcove/config"
)

// TestStoreThatAnswersLateIsRead guards against a router that never learns of a version, because it
// gives up each call that takes longer than a limit and makes another one.
func TestStoreThatAnswersLateIsRead(t *testing.T) {
	const delay = callTimeout + time.Second
	synctest.Test(t, func(t *testing.T) {
		s := &harness{configurations: newFeed[Directive](), targets: newFeed[config.Target]()}
		s.configurations.delay, s.targets.delay = delay, delay
		s.populate()
		s.run(t)
		time.Sleep(delay + maxRetryPause)
		if !s.isReady() {
			t.Fatal("nothing is known although the store has answered")
		}
		for number := config.Version(5); number < 8; number++ {
			s.configurations.set(version(number))
			time.Sleep(2*delay + maxRetryPause)
			if got := s.follower.Cursor().Version; got != number {
				t.Errorf("version %d is known, want %d", got, number)
			}
		}
	})
}
