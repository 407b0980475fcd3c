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

// TestDelayOfVersionsIsMeasured guards against a router whose metrics do not show how late it is.
func TestDelayOfVersionsIsMeasured(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := followerWith(configurationOf(3, config.Declarations{}))
		expect := func(want time.Duration) {
			t.Helper()
			if got := f.BehindFor(); got != want {
				t.Errorf("behind for %s, want %s", got, want)
			}
		}
		measured := func() (count uint64) {
			versionDelay.VisitNonZeroBuckets(func(_ string, inBucket uint64) { count += inBucket })
			return count
		}
		before := measured()
		f.Announced(config.SnapshotOrder{Version: 3})
		expect(0)
		f.Announced(config.SnapshotOrder{Version: 4})
		time.Sleep(time.Second)
		expect(time.Second)
		f.Announced(config.SnapshotOrder{Version: 5})
		f.setConfiguration(configurationOf(4, config.Declarations{}))
		time.Sleep(time.Second)
		expect(2 * time.Second)
		f.setConfiguration(configurationOf(5, config.Declarations{}))
		expect(0)
		if count := measured() - before; count != 1 {
			t.Errorf("%d delays were measured, want that of version 5", count)
		}
		f.Announced(config.SnapshotOrder{Version: 6})
		time.Sleep(announcementLifetime)
		expect(0)
		f.Announced(config.SnapshotOrder{Version: 6})
		time.Sleep(time.Second)
		expect(time.Second)
	})
}
