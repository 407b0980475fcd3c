package router

import (
	"cmp"
	"context"
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/control"
)

// unreadReportInterval is the interval at which the counts of requests refused unread are
// reported to the schedulers: several times within the second for which a refusal counts there.
const unreadReportInterval = 200 * time.Millisecond

// unreadLogInterval is the interval at which the workspaces are logged whose requests were
// refused unread, and maxUnreadLogged how many of them are.
const (
	unreadLogInterval = time.Second
	maxUnreadLogged   = 3
)

// unreadCounts counts the requests that this router refused before reading them. It is safe for
// concurrent use.
type unreadCounts struct {
	mu     sync.Mutex
	counts map[unreadKey]int
	// byWorkspace counts each request once, whatever the number of pools of its route.
	byWorkspace map[string]int
}

type unreadKey struct{ pool, workspace string }

// add counts a request of a workspace on a route to the given pools.
func (u *unreadCounts) add(workspace string, pools ...string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.counts == nil {
		u.counts = make(map[unreadKey]int)
	}
	for _, pool := range pools {
		u.counts[unreadKey{pool, workspace}]++
	}
	if u.byWorkspace == nil {
		u.byWorkspace = make(map[string]int)
	}
	u.byWorkspace[workspace]++
}

// take returns the counts since the last call and resets them.
func (u *unreadCounts) take() map[unreadKey]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	counts := u.counts
	u.counts = nil
	return counts
}

// takeByWorkspace returns the counts by workspace since the last call and resets them.
func (u *unreadCounts) takeByWorkspace() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	counts := u.byWorkspace
	u.byWorkspace = nil
	return counts
}

// run reports the counts to the control goroutine, and logs them with the attributes that state
// returns, until ctx ends.
func (u *unreadCounts) run(ctx context.Context, to *loop, log *slog.Logger, state func() []any) {
	ticker := time.NewTicker(unreadReportInterval)
	defer ticker.Stop()
	loggedAt := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for key, count := range u.take() {
			to.post(control.RequestsRefusedUnread{Pool: key.pool, Workspace: key.workspace, Count: count})
		}
		if now := time.Now(); now.Sub(loggedAt) >= unreadLogInterval {
			loggedAt = now
			logUnread(log.With(state()...), u.takeByWorkspace())
		}
	}
}

// logUnread logs the workspaces with the most requests refused unread.
func logUnread(log *slog.Logger, counts map[string]int) {
	if len(counts) == 0 {
		return
	}
	total := 0
	for _, count := range counts {
		total += count
	}
	workspaces := slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
	var most []string
	for _, workspace := range workspaces[:min(len(workspaces), maxUnreadLogged)] {
		most = append(most, workspace+":"+strconv.Itoa(counts[workspace]))
	}
	log.Info("router: Requests were refused before reading them.", "requests", total, "workspaces", len(workspaces), "most", most)
}

// confirmShed decides whether a request that was selected for shedding is served here. If it is
// refused, countRefused counts it, once for each pool of its route, if its route and key are known.
func (r *Router) confirmShed(kept bool, host, path []byte, header func(name string) []byte) (shed bool, countRefused func()) {
	snapshot := r.InForce()
	if snapshot == nil {
		return true, nil
	}
	route := snapshot.Index().RouteOf(string(host), string(path))
	if route == nil {
		return true, nil
	}
	workspace, known := snapshot.Index().WorkspaceByKey(header(r.dialect().Key))
	if !known {
		return true, nil
	}
	share := snapshot.Declarations.ShareOf(workspace)
	if r.fairShed.exempts(time.Now(), workspace, share, r.overload.shedProbability(kept), r.overload.meanShedProbability(kept)) {
		if !kept {
			r.overload.admissions.note()
		}
		return false, nil
	}
	return true, func() { r.countUnread(workspace, route) }
}

// countUnread counts a request of a workspace that was refused before it was read.
func (r *Router) countUnread(workspace string, route *config.NamedRoute) {
	pools := make([]string, 0, len(route.Split))
	for _, share := range route.Split {
		pools = append(pools, share.Pool)
	}
	r.unread.add(workspace, pools...)
}
