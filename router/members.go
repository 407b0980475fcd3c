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
	// memberRetry is the mean pause between tries at announcing this router and
	// reading the others; it doubles up to maxMemberRetry, so that each is done within a
	// timeout and 0.75 s of the platform's return. 340 routers that start meanwhile make
	// 340 calls a second, of 2,000 that the platform allows.
	memberRetry    = 100 * time.Millisecond
	maxMemberRetry = 500 * time.Millisecond
	// listTimeout bounds a reading of the others; the store answers in milliseconds.
	listTimeout = 500 * time.Millisecond
	// announceTimeout bounds an announcement. The store runs the transactions of a part one
	// after another and queues them for up to a second. A shorter timeout would repeat
	// announcements that are still queued, and so keep the queue full when many routers
	// start together.
	announceTimeout = 1500 * time.Millisecond
	// joinWait is how long a router that could serve waits for its first list of the
	// others before it says that it is ready. The list takes one call of some
	// milliseconds; a platform that lists nobody for this long may do so for minutes.
	joinWait = 2 * time.Second
	// strangerPause gathers routers that turn up together, so that the list is
	// read once for all of them, and strangerPauseEach adds to it for each router that is
	// known or listed: a large fleet that starts together takes longer to be announced.
	strangerPause     = 200 * time.Millisecond
	strangerPauseEach = 3 * time.Millisecond
	// announceEach is, for each router, the time over which routers announce themselves again:
	// a part of the store takes 200 transactions a second.
	announceEach = 10 * time.Millisecond
	// withdrawTimeout bounds the removal of this router's row at its end.
	withdrawTimeout = 300 * time.Millisecond
)

var memberFailures = metrics.GetOrCreateCounter(`walnut_router_member_call_failures_total`)

// followMembers announces this router, reads the others, and reads them again
// when one turns up that is not listed, until ctx ends.
func (r *Router) followMembers(ctx context.Context) {
	r.untilDone(ctx, "announce this router", announceTimeout, r.announce)
	for ctx.Err() == nil {
		r.untilDone(ctx, "read the routers", listTimeout, r.readMembers)
		r.awaitStrangers(ctx)
	}
}

// awaitStrangers waits until the list has to be read again, and keeps this router on it.
func (r *Router) awaitStrangers(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-r.strangers:
			wait.For(ctx, r.strangersGather())
			return
		case <-r.restored:
			r.announceAgain(ctx)
		case <-ctx.Done():
		}
	}
}

// storeRestored takes in that the store came back from an older copy.
func (r *Router) storeRestored() {
	select {
	case r.restored <- struct{}{}:
	default:
	}
}

// announceAgain writes this router's row again. Routers hear of the store's return within
// milliseconds of each other, so each waits for a random part of the time that all need.
func (r *Router) announceAgain(ctx context.Context) {
	wait.For(ctx, rand.N(time.Duration(r.members.Load()+1)*announceEach))
	r.untilDone(ctx, "announce this router", announceTimeout, r.announce)
}

// strangersGather is how long routers that turn up are gathered before the list is read.
func (r *Router) strangersGather() time.Duration {
	known := int(r.members.Load())
	if listed := r.vms.Load(); listed != nil {
		known = max(known, len(*listed))
	}
	return strangerPause + time.Duration(known)*strangerPauseEach
}

// untilDone repeats a call until it succeeds or ctx ends.
func (r *Router) untilDone(ctx context.Context, what string, timeout time.Duration, call func(context.Context) error) {
	between := memberRetry
	for try := 1; ctx.Err() == nil; try++ {
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		err := call(callCtx)
		cancel()
		if err == nil {
			return
		}
		memberFailures.Inc()
		if try == 1 {
			r.log.Warn("member: Platform did not answer, trying on.", "call", what, "error", err)
		}
		wait.For(ctx, between/2+rand.N(between))
		between = min(2*between, maxMemberRetry)
	}
}

func (r *Router) announce(ctx context.Context) error {
	return r.routers.Announce(ctx, store.VM{
		Name:        r.settings.Node.Name,
		DataCentre:  r.settings.Node.DataCentre,
		PeerAddress: r.mesh.Address(),
		Cores:       r.settings.Node.Cores,
	})
}

func (r *Router) readMembers(ctx context.Context) error {
	vms, err := r.routers.List(ctx)
	if err != nil {
		return err
	}
	listed := len(vms)
	vms = r.withLive(vms)
	r.log.Info("member: Routers listed.", "count", listed, "live_unlisted", len(vms)-listed)
	r.vmsListed(vms)
	r.othersOnce.Do(func() { close(r.othersKnown) })
	return nil
}

// withLive adds the routers that were listed before and still live: a list that lacks them
// comes from a copy of the store from before they announced themselves. Routers that leave
// say so to the others.
func (r *Router) withLive(vms []store.VM) []store.VM {
	before, alive := r.vms.Load(), r.lastAlive.Load()
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

// awaitJoined lets this router say that it is ready, once it has a directory and
// the list of the others. It announces itself before it reads the list, so of two
// ready routers one at least knows the other, and both can have the directory from
// their peers when the platform turns them away. Without the wait, a router turned
// away between the two calls keeps the version that it has until the platform
// answers again.
func (r *Router) awaitJoined(ctx context.Context) {
	defer close(r.joined)
	select {
	case <-r.directory.Ready():
	case <-ctx.Done():
		return
	}
	timeout := time.NewTimer(joinWait)
	defer timeout.Stop()
	select {
	case <-r.othersKnown:
	case <-timeout.C:
		r.log.Warn("member: Ready without knowing the other routers.", "waited", joinWait)
	case <-ctx.Done():
	}
}

// isJoined says whether awaitJoined is over.
func (m *managed) isJoined() bool {
	select {
	case <-m.joined:
		return true
	default:
		return false
	}
}

// peerConnected reads the routers again if one turned up that is not listed, and asks the
// first one what the platform may not list.
func (r *Router) peerConnected(node control.NodeID) {
	if r.directory.NeedsPeerSync() {
		r.fetchFrom(node)
	}
	if listed := r.vms.Load(); listed != nil {
		for _, vm := range *listed {
			if vm.Name == string(node) {
				return
			}
		}
	}
	select {
	case r.strangers <- struct{}{}:
	default:
	}
}

// noteMembers takes in which routers live. Only the control goroutine calls it.
func (r *Router) noteMembers(alive []control.NodeID) {
	before := r.members.Swap(int64(len(alive)))
	now := slices.Clone(alive)
	var aliveBefore []control.NodeID
	if previous := r.lastAlive.Swap(&now); previous != nil {
		aliveBefore = *previous
	}
	joined, gone := changes(aliveBefore, now)
	if len(joined)+len(gone) > 0 {
		r.log.Info("member: Live routers changed.", "count", len(alive), "before", before,
			"joined", len(joined), "gone", len(gone), "first_joined", first(joined), "first_gone", first(gone))
	}
}

// namesLogged bounds the routers that a log line names: in a large fleet hundreds join
// together, and each of them writes the line.
const namesLogged = 5

// first returns the first few of a list for the log.
func first(names []control.NodeID) []control.NodeID { return names[:min(len(names), namesLogged)] }

// changes returns what is in one sorted list alone: in now what joined, in before what is
// gone.
func changes(before, now []control.NodeID) (joined, gone []control.NodeID) {
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

// withdraw takes this router off the list at its end.
func (r *Router) withdraw() {
	ctx, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
	defer cancel()
	if err := r.routers.Withdraw(ctx, r.settings.Node.Name); err != nil {
		memberFailures.Inc()
		r.log.Warn("member: This router could not be taken off the list.", "error", err)
	}
}
