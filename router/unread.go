package router

import (
	"context"
	"sync"
	"time"

	"github.com/walnutcove/walnutcove/control"
)

// unreadReportInterval is the interval at which the counts of requests refused unread are
// reported to the schedulers: several times within the second for which a refusal counts there.
const unreadReportInterval = 200 * time.Millisecond

// unreadCounts counts the requests that this router refused before reading them, by pool and
// workspace. It is safe for concurrent use.
type unreadCounts struct {
	mu     sync.Mutex
	counts map[unreadKey]int
}

type unreadKey struct{ pool, workspace string }

func (u *unreadCounts) add(key unreadKey) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.counts == nil {
		u.counts = make(map[unreadKey]int)
	}
	u.counts[key]++
}

// take returns the counts since the last call and resets them.
func (u *unreadCounts) take() map[unreadKey]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	counts := u.counts
	u.counts = nil
	return counts
}

// run reports the counts to the control goroutine until ctx ends.
func (u *unreadCounts) run(ctx context.Context, to *loop) {
	ticker := time.NewTicker(unreadReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for key, count := range u.take() {
			to.post(control.RequestsRefusedUnread{Pool: key.pool, Workspace: key.workspace, Count: count})
		}
	}
}

// countUnread counts a request that is refused unread, once for each pool of its route, if
// its route and key are known.
func (r *Router) countUnread(host, path []byte, header func(name string) []byte) {
	snapshot := r.InForce()
	if snapshot == nil {
		return
	}
	route := snapshot.Index().RouteOf(string(host), string(path))
	if route == nil {
		return
	}
	workspace, known := snapshot.Index().WorkspaceByKey(header(r.dialect().Key))
	if !known {
		return
	}
	for _, share := range route.Split {
		r.unread.add(unreadKey{share.Pool, workspace})
	}
}
