package router

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/store"
	"github.com/walnutcove/walnutcove/wait"
)

const (
	// memberRetryDelay is the mean delay between attempts to announce this router and
	// to list the others. It doubles up to maxMemberRetryDelay, so that each call succeeds
	// within its timeout plus 0.75 s of the platform's return. 340 routers that start during
	// an outage make 340 calls per second, of 2,000 that the platform allows.
	memberRetryDelay    = 100 * time.Millisecond
	maxMemberRetryDelay = 500 * time.Millisecond
	// listTimeout limits a call that lists the routers; the store answers in milliseconds.
	listTimeout = 500 * time.Millisecond
	// announceTimeout limits an announcement. The store runs the transactions of a partition
	// one after another and queues them for up to a second. A shorter timeout would repeat
	// announcements that are still queued, and so keep the queue full when many routers
	// start at the same time.
	announceTimeout = 1500 * time.Millisecond
	// maxJoinWait is how long a router that could serve waits for its first list of the
	// others before it reports that it is ready. The list takes one call of some
	// milliseconds; a platform that cannot list them for this long may fail for minutes.
	maxJoinWait = 2 * time.Second
	// minRelistDelay is the delay before the list is read again for a router that is not
	// listed, so that it is read once for all routers that start together.
	// relistDelayPerRouter is added for each router that is known or listed, as a larger
	// fleet takes longer to announce itself.
	minRelistDelay       = 200 * time.Millisecond
	relistDelayPerRouter = 3 * time.Millisecond
	// reannounceSpreadPerRouter, times the number of routers, is the period over which they
	// spread their repeated announcements: a partition of the store takes 200 transactions per
	// second.
	reannounceSpreadPerRouter = 10 * time.Millisecond
	// withdrawTimeout limits the removal of this router's row at shutdown.
	withdrawTimeout = 300 * time.Millisecond
)

var memberFailures = metrics.GetOrCreateCounter(`walnut_router_member_call_failures_total`)

// followMembers announces this router, lists the others, and lists them again
// when a router connects that is not listed, until ctx ends.
func (r *Router) followMembers(ctx context.Context) {
	r.retryUntilDone(ctx, "announce this router", announceTimeout, r.announce)
	for ctx.Err() == nil {
		r.retryUntilDone(ctx, "read the routers", listTimeout, r.readMembers)
		r.awaitRelist(ctx)
	}
}

// awaitRelist waits until the list has to be read again. Meanwhile it announces this router
// again if the store is restored.
func (r *Router) awaitRelist(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-r.unlistedRouter:
			wait.For(ctx, r.relistDelay())
			return
		case <-r.restored:
			r.reannounce(ctx)
		case <-ctx.Done():
		}
	}
}

// onStoreRestored is called when the store was restored from an older copy.
func (r *Router) onStoreRestored() {
	select {
	case r.restored <- struct{}{}:
	default:
	}
}

// reannounce writes this router's row again. All routers learn of a restored store within
// milliseconds of each other, so each waits for a random part of the time that all need.
func (r *Router) reannounce(ctx context.Context) {
	wait.For(ctx, rand.N(r.reannounceSpread()))
	r.retryUntilDone(ctx, "announce this router", announceTimeout, r.announce)
}

// reannounceSpread returns the period over which the routers spread their repeated
// announcements. It includes those that are cut off from this one: they reach the same store.
func (r *Router) reannounceSpread() time.Duration {
	return time.Duration(r.fleet.count()+1) * reannounceSpreadPerRouter
}

// relistDelay returns how long to wait for further unlisted routers before reading the list.
func (r *Router) relistDelay() time.Duration {
	routers := int(r.liveRouterCount.Load())
	if listed := r.vms.Load(); listed != nil {
		routers = max(routers, len(*listed))
	}
	return minRelistDelay + time.Duration(routers)*relistDelayPerRouter
}

// retryUntilDone repeats a call until it succeeds or ctx ends.
func (r *Router) retryUntilDone(ctx context.Context, callName string, timeout time.Duration, call func(context.Context) error) {
	delay := memberRetryDelay
	for attempt := 1; ctx.Err() == nil; attempt++ {
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		err := call(callCtx)
		cancel()
		if err == nil {
			return
		}
		memberFailures.Inc()
		if attempt == 1 {
			r.log.Warn("member: Platform did not answer, retrying.", "call", callName, "error", err)
		}
		wait.For(ctx, delay/2+rand.N(delay))
		delay = min(2*delay, maxMemberRetryDelay)
	}
}

// announce writes this router's row to the list.
func (r *Router) announce(ctx context.Context) error {
	return r.routers.Announce(ctx, store.VM{
		Name:        r.settings.Node.Name,
		DataCentre:  r.settings.Node.DataCentre,
		PeerAddress: r.mesh.Address(),
		Cores:       r.settings.Node.Cores,
	})
}

// readMembers reads the list of routers and distributes it.
func (r *Router) readMembers(ctx context.Context) error {
	vms, err := r.routers.List(ctx)
	if err != nil {
		return err
	}
	listed := len(vms)
	vms = r.addLiveRouters(vms)
	r.log.Info("member: Routers listed.", "count", listed, "live_unlisted", len(vms)-listed)
	r.vmsListed(vms)
	r.routersKnownOnce.Do(func() { close(r.routersKnown) })
	return nil
}

// addLiveRouters adds the routers that were listed before and are still alive: a list without
// them comes from a copy of the store from before they announced themselves. Routers that
// leave announce that to the others.
func (r *Router) addLiveRouters(vms []store.VM) []store.VM {
	before, alive := r.vms.Load(), r.lastLiveRouters.Load()
	if before == nil || alive == nil {
		return vms
	}
	listed := make(map[string]bool, len(vms))
	for _, vm := range vms {
		listed[vm.Name] = true
	}
	for _, vm := range *before {
		if !listed[vm.Name] && slices.Contains(*alive, control.NodeID(vm.Name)) {
			vms = append(vms, vm)
		}
	}
	return vms
}

// awaitJoined lets this router report that it is ready once it has a directory and
// the list of the others, or has waited maxJoinWait for the list. Routers announce
// themselves before they read the list, so of any two ready routers at least one knows
// the other, and both can get the directory from their peers when the platform refuses
// their calls. Without the wait, a router refused between the two calls would keep its
// version of the directory until the platform answers again.
func (r *Router) awaitJoined(ctx context.Context) {
	defer close(r.joined)
	select {
	case <-r.directory.Ready():
	case <-ctx.Done():
		return
	}
	timeout := time.NewTimer(maxJoinWait)
	defer timeout.Stop()
	select {
	case <-r.routersKnown:
	case <-timeout.C:
		r.log.Warn("member: Ready without knowing the other routers.", "waited", maxJoinWait)
	case <-ctx.Done():
	}
}

// isJoined reports whether awaitJoined has returned.
func (m *managed) isJoined() bool {
	select {
	case <-m.joined:
		return true
	default:
		return false
	}
}

// peerConnected has the routers listed again if the connected one is not listed. If all that
// this router knows comes from the platform, it fetches the peer's directory, which may
// contain entries that the platform does not list.
func (r *Router) peerConnected(node control.NodeID) {
	if r.directory.NeedsPeerSync() {
		r.fetcher.Announced(node, r.directory.NeedsPeerSync)
	}
	if listed := r.vms.Load(); listed != nil {
		for _, vm := range *listed {
			if vm.Name == string(node) {
				return
			}
		}
	}
	select {
	case r.unlistedRouter <- struct{}{}:
	default:
	}
}

// recordLiveRouters records and logs which routers are alive. Only the control goroutine
// calls it.
func (r *Router) recordLiveRouters(alive []control.NodeID) {
	r.fleet.setAlive(alive)
	before := r.liveRouterCount.Swap(int64(len(alive)))
	now := slices.Clone(alive)
	var aliveBefore []control.NodeID
	if previous := r.lastLiveRouters.Swap(&now); previous != nil {
		aliveBefore = *previous
	}
	joined, gone := diffSorted(aliveBefore, now)
	if len(joined)+len(gone) > 0 {
		r.log.Info("member: Live routers changed.", "count", len(alive), "before", before, "sharing", r.fleet.count(),
			"joined", len(joined), "gone", len(gone), "first_joined", firstNames(joined), "first_gone", firstNames(gone))
	}
}

// maxLoggedNames limits the routers that a log line names: in a large fleet hundreds join
// at the same time, and each of them writes the line.
const maxLoggedNames = 5

// firstNames returns the beginning of a list, with at most maxLoggedNames names.
func firstNames(names []control.NodeID) []control.NodeID {
	return names[:min(len(names), maxLoggedNames)]
}

// diffSorted compares two sorted lists: joined holds the names that are only in now, gone
// those that are only in before.
func diffSorted(before, now []control.NodeID) (joined, gone []control.NodeID) {
	for len(before) > 0 || len(now) > 0 {
		switch {
		case len(before) == 0 || len(now) > 0 && now[0] < before[0]:
			joined, now = append(joined, now[0]), now[1:]
		case len(now) == 0 || before[0] < now[0]:
			gone, before = append(gone, before[0]), before[1:]
		default:
			before, now = before[1:], now[1:]
		}
	}
	return joined, gone
}

// withdrawMember removes this router from the list at shutdown.
func (r *Router) withdrawMember() {
	ctx, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
	defer cancel()
	if err := r.routers.Withdraw(ctx, r.settings.Node.Name); err != nil {
		memberFailures.Inc()
		r.log.Warn("member: Could not remove this router from the list.", "error", err)
	}
}
