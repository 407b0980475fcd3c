package directory

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/config"
)

// announcementLifetime is how long an announcement counts. Peers repeat theirs while this router
// is behind; a version that nobody announces any more may have been lost with its store.
const announcementLifetime = 2 * time.Second

// versionDelay measures how late versions arrive that peers announced.
var versionDelay = metrics.GetOrCreateHistogram(`walnut_directory_version_delay_seconds`)

// announcement is the newest configuration version that peers announced, and when they last did.
type announcement struct {
	order config.SnapshotOrder
	at    time.Time
	// behindSince is when they began to announce versions that this router did not have.
	behindSince time.Time
}

// Announced records that a peer announced a directory of the given order. It does not block.
func (f *Follower) Announced(order config.SnapshotOrder) {
	for {
		latest := f.announced.Load()
		if latest != nil && latest.order.Version > order.Version && time.Since(latest.at) < announcementLifetime {
			return
		}
		now := time.Now()
		next := &announcement{order: order, at: now, behindSince: now}
		if missing := f.missing(); missing != nil {
			next.behindSince = missing.behindSince
		}
		if f.announced.CompareAndSwap(latest, next) {
			return
		}
	}
}

// missing returns the latest announcement if it is of a newer configuration version than this
// router has and was made a short time ago; otherwise nil.
func (f *Follower) missing() *announcement {
	latest, own := f.announced.Load(), f.known.Load()
	if latest == nil || own == nil || latest.order.Version <= own.order.Version || time.Since(latest.at) >= announcementLifetime {
		return nil
	}
	return latest
}

// IsBehind reports whether a peer announced a newer configuration version a short time ago. It
// does not block.
func (f *Follower) IsBehind() bool { return f.missing() != nil }

// BehindFor returns for how long peers have announced newer configuration versions; zero if none
// did a short time ago. It does not block.
func (f *Follower) BehindFor() time.Duration {
	missing := f.missing()
	if missing == nil {
		return 0
	}
	return time.Since(missing.behindSince)
}

// noteArrival measures how late a version is that has just become known. missing is what was
// missing before.
func (f *Follower) noteArrival(missing *announcement) {
	if missing != nil && f.missing() == nil {
		versionDelay.UpdateDuration(missing.behindSince)
	}
}
