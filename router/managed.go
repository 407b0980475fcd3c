package router

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/directory"
	"github.com/walnutcove/walnutcove/platform"
	"github.com/walnutcove/walnutcove/result"
	"github.com/walnutcove/walnutcove/store"
	"github.com/walnutcove/walnutcove/target/cachewatch"
	"github.com/walnutcove/walnutcove/wait"
)

const (
	// memberRetry is the mean pause between tries at announcing this router and
	// reading the others; it doubles up to maxMemberRetry, so that it is done within 1.25 s
	// of the platform's return. 340 routers that start meanwhile make 340 calls a second,
	// of 2,000 that the platform allows.
	memberRetry    = 100 * time.Millisecond
	maxMemberRetry = 500 * time.Millisecond
	// memberCallTimeout bounds one such call; the store answers in milliseconds.
	memberCallTimeout = 500 * time.Millisecond
	// heartbeatsToLapse is the least number of a target's heartbeats that the platform has
	// to be away for before entries lapse. They do after three without one, and the last
	// came up to one before.
	heartbeatsToLapse = 2
	// peerFetchTimeout bounds the fetch of a peer's directory.
	peerFetchTimeout = time.Second
	// joinWait is how long a router that could serve waits for its first list of the
	// others before it says that it is ready. The list takes one call of some
	// milliseconds; a platform that lists nobody for this long may do so for minutes.
	joinWait = 2 * time.Second
	// strangerPause gathers routers that turn up together, so that the list is
	// read once for all of them.
	strangerPause = 200 * time.Millisecond
	// withdrawTimeout bounds the removal of this router's row at its end.
	withdrawTimeout = 300 * time.Millisecond
)

var (
	memberFailures = metrics.GetOrCreateCounter(`walnut_router_member_call_failures_total`)
	peerFetches    = metrics.GetOrCreateCounter(`walnut_router_directory_fetches_total{result="ok"}`)
	peerFetchFails = metrics.GetOrCreateCounter(`walnut_router_directory_fetches_total{result="failed"}`)
)

// errNotPatched answers operators of a fleet whose configuration is written to
// the platform.
var errNotPatched = result.New(result.InvalidPatch, "This fleet's configuration is written to the platform, not patched through routers.")

// managed holds what serves a fleet on a managed platform.
type managed struct {
	rows      *platform.Store
	routers   *platform.Routers
	directory *directory.Follower
	// othersKnown is closed with the first list of the routers, and joined once this
	// router may say that it is ready; see awaitJoined.
	othersKnown chan struct{}
	othersOnce  sync.Once
	joined      chan struct{}
	// strangers gets a token when a router that is not listed turned up.
	strangers chan struct{}
	// caches follows what the targets that are scheduled here keep of prompts.
	caches *cachewatch.Watcher
	// overload says when this router asks for no new connections.
	overload *overload
	// fetches are the peers that are asked for their directory.
	fetches fetches
}

func (r *Router) newManaged() *managed {
	s := platform.NewStore(r.settings.Platform.Address)
	return &managed{
		rows:    s,
		routers: platform.NewRouters(s, r.log),
		directory: directory.New(directory.Options{
			Configurations: platform.NewConfigurations(s, r.log),
			Targets:        platform.NewReplicas(s, r.log),
			OnChange:       r.configChanged,
			ReturnGrace:    time.Duration(r.settings.Platform.ReturnGrace),
			ShortestLapse:  heartbeatsToLapse * time.Duration(r.settings.Platform.TargetHeartbeat),
			Routers:        func() int { return int(r.members.Load()) },
			Shared:         true,
			OnFollowing:    func(live bool) { r.loop.post(control.FeedsFollowed{Live: live}) },
			Log:            r.log,
		}),
		othersKnown: make(chan struct{}),
		joined:      make(chan struct{}),
		strangers:   make(chan struct{}, 1),
		overload:    &overload{log: r.log, crowded: func() bool { return r.front.IsCrowded() }},
	}
}

// followMembers announces this router, reads the others, and reads them again
// when one turns up that is not listed, until ctx ends.
func (r *Router) followMembers(ctx context.Context) {
	r.untilDone(ctx, "announce this router", r.announce)
	for ctx.Err() == nil {
		r.untilDone(ctx, "read the routers", r.readMembers)
		select {
		case <-r.strangers:
		case <-ctx.Done():
			return
		}
		wait.For(ctx, strangerPause)
	}
}

// untilDone repeats a call until it succeeds or ctx ends.
func (r *Router) untilDone(ctx context.Context, what string, call func(context.Context) error) {
	between := memberRetry
	for try := 1; ctx.Err() == nil; try++ {
		callCtx, cancel := context.WithTimeout(ctx, memberCallTimeout)
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
	r.log.Info("member: Routers listed.", "count", len(vms))
	r.vmsListed(vms)
	r.othersOnce.Do(func() { close(r.othersKnown) })
	return nil
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

// feedTurn implements shell.
func (r *Router) feedTurn(turn control.FeedTurn) {
	if r.managed == nil {
		return
	}
	r.log.Info("directory: Turn to follow the platform's feeds changed.", "wanted", turn.Wanted, "proves", turn.Proves, "ahead", turn.Ahead)
	r.directory.SetTurn(directory.Turn{Wanted: turn.Wanted, Proves: turn.Proves, Ahead: turn.Ahead})
}

// feedsDoubted implements shell.
func (r *Router) feedsDoubted() {
	if r.managed != nil {
		r.directory.Doubt()
	}
}

// peerConnected reads the routers again if one turned up that is not listed.
func (r *Router) peerConnected(node control.NodeID) {
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

// withdraw takes this router off the list at its end.
func (r *Router) withdraw() {
	ctx, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
	defer cancel()
	if err := r.routers.Withdraw(ctx, r.settings.Node.Name); err != nil {
		memberFailures.Inc()
		r.log.Warn("member: This router could not be taken off the list.", "error", err)
	}
}

// fetchFrom gets the directory of a peer that has a newer one. It does not block.
func (r *Router) fetchFrom(node control.NodeID) {
	if !r.fetches.begin(node) {
		return // the next heartbeat tells again
	}
	go func() {
		defer r.fetches.end(node)
		ctx, cancel := context.WithTimeout(context.Background(), peerFetchTimeout)
		defer cancel()
		err := r.fetch(ctx, node)
		if err != nil {
			peerFetchFails.Inc()
			r.log.Warn("directory: Peer's directory could not be had.", "node", node, "error", err)
			return
		}
		peerFetches.Inc()
	}()
}

func (r *Router) fetch(ctx context.Context, node control.NodeID) error {
	known, err := json.Marshal(r.directory.Known())
	if err != nil {
		return err
	}
	encoded, err := r.mesh.Call(ctx, node, methodConfig, known)
	if err != nil {
		return err
	}
	return r.directory.Import(string(node), encoded)
}

// watchCaches follows the targets scheduled here that count in tokens.
func (r *Router) watchCaches() {
	r.watched.mu.Lock()
	defer r.watched.mu.Unlock()
	snapshot := r.inForce.Load()
	if snapshot == nil {
		return
	}
	addresses := make(map[string]string)
	for _, name := range r.watched.names {
		declared, known := snapshot.Declarations.Targets[name]
		if known && !declared.Leaving && snapshot.Declarations.Pools[declared.Pool].Tokens != nil {
			addresses[name] = declared.Address
		}
	}
	r.caches.SetTargets(addresses)
}

// targetKept hands what a target keeps to the control goroutine.
func (r *Router) targetKept(kept control.TargetKept) { r.loop.post(kept) }

// managedConfig is the configuration in force, for operators.
func (b backend) managedConfig(known *config.Snapshot, version config.Version) (*config.Snapshot, error) {
	if known == nil {
		return nil, result.New(result.PlatformUnavailable, "No configuration version is in force yet.")
	}
	if version != 0 && version != known.Version {
		return nil, result.New(result.UnknownVersion, "Only the version in force is known here.")
	}
	return known, nil
}
