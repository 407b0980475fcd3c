package router

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/directory"
	"github.com/walnutcove/walnutcove/platform"
	"github.com/walnutcove/walnutcove/result"
	"github.com/walnutcove/walnutcove/targets/cachewatch"
)

const (
	// heartbeatsToLapse is the least number of a target's heartbeats that the platform has
	// to be away for before entries lapse. They do after three without one, and the last
	// came up to one before.
	heartbeatsToLapse = 2
	// heartbeatsToVanish is the number of a target's heartbeats after which an entry that is
	// still listed was renewed: it is removed after three without one.
	heartbeatsToVanish = 4
	// peerFetchTimeout bounds the fetch of a peer's directory.
	peerFetchTimeout = time.Second
)

var (
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
	// restored gets a token when the store came back from an older copy, which may lack this
	// router's row.
	restored chan struct{}
	// caches follows what the targets that are scheduled here keep of prompts.
	caches *cachewatch.Watcher
	// overload says when this router asks for no new connections.
	overload *overload
	// unread counts what is refused unread, for the schedulers.
	unread unread
	// fetches are the peers that are asked for their directory.
	fetches fetches
}

func (r *Router) newManaged() *managed {
	s := platform.NewStore(r.settings.Platform.Address, r.log)
	return &managed{
		rows:    s,
		routers: platform.NewRouters(s, r.log),
		directory: directory.New(directory.Options{
			Directives:    platform.NewDirectives(s, r.log),
			Targets:       platform.NewReplicas(s, r.settings.Node.Regions, r.log),
			OnChange:      r.configChanged,
			ReturnGrace:   time.Duration(r.settings.Platform.ReturnGrace),
			ShortestLapse: heartbeatsToLapse * time.Duration(r.settings.Platform.TargetHeartbeat),
			LongestLapse:  heartbeatsToVanish * time.Duration(r.settings.Platform.TargetHeartbeat),
			OnRestored:    r.storeRestored,
			ProbeEra:      s.Era,
			Routers:       func() int { return int(r.members.Load()) },
			Shared:        true,
			OnFollowing:   func(live bool) { r.loop.post(control.FeedState{Live: live}) },
			Log:           r.log,
		}),
		othersKnown: make(chan struct{}),
		joined:      make(chan struct{}),
		strangers:   make(chan struct{}, 1),
		restored:    make(chan struct{}, 1),
		overload: &overload{
			log:     r.log,
			crowded: func() bool { return r.front.IsCrowded() },
			callers: func() int { return r.front.ConnCount() },
		},
	}
}

// feedTurn implements shell.
func (r *Router) feedTurn(turn control.FeedRole) {
	if r.managed == nil {
		return
	}
	r.log.Info("directory: Turn to follow the platform's feeds changed.", "wanted", turn.Follow, "proves", turn.Probe, "ahead", turn.Ahead)
	r.directory.SetTurn(directory.Turn{Wanted: turn.Follow, Proves: turn.Probe, Ahead: turn.Ahead})
}

// feedsDoubted implements shell.
func (r *Router) feedsDoubted() {
	if r.managed != nil {
		r.directory.Reprobe()
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
		if known && declared.TakesWork() && snapshot.Declarations.Pools[declared.Pool].Tokens != nil {
			addresses[name] = declared.Address
		}
	}
	r.caches.SetTargets(addresses)
}

// targetKept hands what a target keeps to the control goroutine.
func (r *Router) targetKept(kept control.TargetCacheReported) { r.loop.post(kept) }

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
