package router

import (
	"context"
	"sync"
	"time"

	"github.com/walnutcove/walnutcove/control"
)

// unreadEvery is the period of telling the schedulers what was refused unread: several
// times within the second in which a refusal counts there.
const unreadEvery = 200 * time.Millisecond

// unread counts the requests that this router refused before it read them, by pool and
// workspace. It is safe for concurrent use.
type unread struct {
	mu     sync.Mutex
	counts map[unreadKey]int
}

type unreadKey struct{ pool, workspace string }

func (u *unread) add(key unreadKey) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.counts == nil {
		u.counts = make(map[unreadKey]int)
	}
	u.counts[key]++
}

// take returns the counts since the last call.
func (u *unread) take() map[unreadKey]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	counts := u.counts
	u.counts = nil
	return counts
}

// run tells the control goroutine until ctx ends.
func (u *unread) run(ctx context.Context, to *loop) {
	ticker := time.NewTicker(unreadEvery)
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

// noteUnread counts a request that is refused unread, if its route and key are known.
func (r *Router) noteUnread(host, path []byte, header func(name string) []byte) {
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
