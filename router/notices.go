package router

import (
	"sync"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/control/notice"
	"github.com/walnutcove/walnutcove/targets"
)

// targetNotices keeps what targets announced about themselves in answers to this router, for
// the last check before a request is sent: control learns of a notice by an event, and may have
// granted the slot by then. It is safe for concurrent use.
type targetNotices struct {
	mu  sync.RWMutex
	set notice.Set
}

// add records a notice and reports whether the target is now known to leave and was not before.
func (n *targetNotices) add(now time.Duration, target string, start int64, received notice.Notice) (leaves bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.set.Add(now, target, start, received)
}

// isWithheld reports whether a start of a target wants no requests from this router; see
// notice.Set.
func (n *targetNotices) isWithheld(now time.Duration, target string, start int64) bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.set.IsWithheld(now, target, start)
}

// prune removes the notices of starts that have ended.
func (n *targetNotices) prune(now time.Duration, listed map[string]config.Target) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.set.Prune(now, func(target string) (start int64, declared bool) {
		listedTarget, declared := listed[target]
		return listedTarget.Start, declared
	})
}

// targetNoticeReceived records what an answer announced about its target. It is called before the
// answer is passed on.
func (r *Router) targetNoticeReceived(target string, start int64, received notice.Notice) {
	if r.notices.add(r.loop.instant(time.Now()), target, start, received) || received.HoldOff > 0 {
		r.loop.post(control.TargetNoticeReceived{Target: target, Start: start, Notice: received})
	}
}

// snapshotListing is the listing of a configuration's targets that the HTTP client for targets
// uses. The snapshot is nil if no configuration is in force.
type snapshotListing struct{ *config.Snapshot }

// targetListing returns the listing of the targets in force.
func (r *Router) targetListing() targets.Listing { return snapshotListing{r.InForce()} }

// TargetOf implements targets.Listing. A request that names no target, such as a poll, belongs
// to the target at its address. Few answers contain notices, so an index would gain little.
func (l snapshotListing) TargetOf(req *targets.Request) (name string, start int64, listed bool) {
	if l.Snapshot == nil {
		return "", 0, false
	}
	if req.Target != "" {
		listedTarget, listed := l.Declarations.Targets[req.Target]
		return req.Target, listedTarget.Start, listed
	}
	for name, listedTarget := range l.Declarations.Targets {
		if listedTarget.Address == req.Address {
			return name, listedTarget.Start, true
		}
	}
	return "", 0, false
}
