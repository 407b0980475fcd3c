package directory

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/walnutcove/walnutcove/config"
)

// TestRouterIsBehindWhilePeersAnnounceMore guards against a router that counts as behind for good
// because of a version that was lost before it arrived.
func TestRouterIsBehindWhilePeersAnnounceMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := followerWith(configurationOf(3, config.Declarations{}))
		expect := func(want bool) {
			t.Helper()
			if got := f.IsBehind(); got != want {
				t.Errorf("behind %v, want %v", got, want)
			}
		}
		expect(false)
		f.Announced(config.SnapshotOrder{Version: 3, Targets: 99})
		expect(false)
		f.Announced(config.SnapshotOrder{Version: 5})
		f.Announced(config.SnapshotOrder{Version: 4})
		expect(true)
		f.setConfiguration(configurationOf(4, config.Declarations{}))
		expect(true)
		f.setConfiguration(configurationOf(5, config.Declarations{}))
		expect(false)
		f.Announced(config.SnapshotOrder{Version: 7})
		time.Sleep(announcementLifetime)
		expect(false)
		f.Announced(config.SnapshotOrder{Version: 6})
		expect(true)
	})
}
