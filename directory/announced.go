package directory

import (
	"time"

	"github.com/walnutcove/walnutcove/config"
)

// announcementLifetime is how long an announcement counts. Peers repeat theirs while this router
// is behind; a version that nobody announces any more may have been lost with its store.
const announcementLifetime = 2 * time.Second

// announcement is the newest configuration version that peers announced, and when.
type announcement struct {
	order config.SnapshotOrder
	at    time.Time
}

// Announced records that a peer announced a directory of the given order. It does not block.
func (f *Follower) Announced(order config.SnapshotOrder) {
	for {
		latest := f.announced.Load()
		if latest != nil && latest.order.Version > order.Version && time.Since(latest.at) < announcementLifetime {
			return
		}
		if f.announced.CompareAndSwap(latest, &announcement{order: order, at: time.Now()}) {
			return
		}
	}
}

// IsBehind reports whether a peer announced a newer configuration version a short time ago. It
// does not block.
func (f *Follower) IsBehind() bool {
	latest, own := f.announced.Load(), f.known.Load()
	return latest != nil && own != nil && latest.order.Version > own.order.Version && time.Since(latest.at) < announcementLifetime
}
