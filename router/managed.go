package router

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/directory"
	"github.com/walnutcove/walnutcove/directory/fetch"
	"github.com/walnutcove/walnutcove/peer"
	"github.com/walnutcove/walnutcove/platform"
	"github.com/walnutcove/walnutcove/result"
	"github.com/walnutcove/walnutcove/targets/cachewatch"
)

const (
	// minLapseHeartbeats is the minimum length of a platform outage, in target heartbeats,
	// after which entries can lapse. An entry lapses after three missed heartbeats, and its
	// last one came up to one heartbeat before the outage.
	minLapseHeartbeats = 2
	// maxLapseHeartbeats is the time, in target heartbeats, after which an entry that is
	// still listed must have been renewed: entries are removed after three missed ones.
	maxLapseHeartbeats = 4
)

// errConfigNotPatchable answers requests that concern patches or commits in a fleet
// whose configuration is written to the platform.
var errConfigNotPatchable = result.New(result.InvalidPatch, "This fleet's configuration is written to the platform, not patched through routers.")

// managed holds the parts of a router that only a fleet on a managed platform needs.
type managed struct {
	platformStore *platform.Store
	routers       *platform.Routers
	directory     *directory.Follower
	// routersKnown is closed once the routers have been listed for the first time, and joined
	// once this router may report that it is ready; see awaitJoined.
	routersKnown     chan struct{}
	routersKnownOnce sync.Once
	joined           chan struct{}
	// unlistedRouter gets a token when a router that is not listed has connected.
	unlistedRouter chan struct{}
	// restored gets a token when the store was restored from an older copy, which may lack
	// this router's row.
	restored chan struct{}
	// cacheWatcher follows the prompt caches of the targets scheduled here.
	cacheWatcher *cachewatch.Watcher
	// overload decides when this router asks for no new connections and sheds load.
	overload *overload
	// unread counts the requests refused unread, for the schedulers.
	unread unreadCounts
	// fairShed divides what this router can serve between workspaces while it sheds load.
	fairShed fairShed
	// offloading sends requests that this router would refuse to other routers.
	// startedExecutor is its executor once the router serves requests.
	offloading      offloading
	startedExecutor atomic.Pointer[offloadExecutor]
	// fetcher fetches the directories of peers.
	fetcher *fetch.Fetcher
}

func (r *Router) newManaged() *managed {
	s := platform.NewStore(r.settings.Platform.Address, r.log)
	return &managed{
		platformStore: s,
		routers:       platform.NewRouters(s, r.log),
		directory: directory.New(directory.Options{
			Directives:   platform.NewDirectives(s, r.log),
			Targets:      platform.NewReplicas(s, r.settings.Node.Regions, r.log),
			OnChange:     r.configChanged,
			ReturnGrace:  time.Duration(r.settings.Platform.ReturnGrace),
			MinLapseTime: minLapseHeartbeats * time.Duration(r.settings.Platform.TargetHeartbeat),
			MaxLapseTime: maxLapseHeartbeats * time.Duration(r.settings.Platform.TargetHeartbeat),
			OnRestored:   r.onStoreRestored,
			ProbeEra:     s.Era,
			Routers:      r.fleet.count,
			Shared:       true,
			OnLiveChange: func(live bool) { r.loop.post(control.FeedState{Live: live}) },
			Log:          r.log,
		}),
		fetcher:        r.newFetcher(),
		routersKnown:   make(chan struct{}),
		joined:         make(chan struct{}),
		unlistedRouter: make(chan struct{}, 1),
		restored:       make(chan struct{}, 1),
		overload: &overload{
			log:             r.log,
			admissions:      newAdmissionBound(r.settings.Node.Cores),
			hasTooManyConns: func() bool { return r.front.HasTooManyConns() },
			callerCount:     func() int { return r.front.ConnCount() },
		},
	}
}

// setFeedRole implements shell.
func (r *Router) setFeedRole(role control.FeedRole) {
	if r.managed == nil {
		return
	}
	r.log.Info("directory: Role in following the platform's feeds changed.", "wanted", role.Follow, "proves", role.Probe, "ahead", role.Ahead)
	r.directory.SetFeedRole(directory.FeedRole{Follow: role.Follow, Probe: role.Probe, Ahead: role.Ahead})
}

// recheckFeeds implements shell.
func (r *Router) recheckFeeds() {
	if r.managed != nil {
		r.directory.Reprobe()
	}
}

// newFetcher returns the fetcher of directories from peers.
func (r *Router) newFetcher() *fetch.Fetcher {
	return fetch.New(fetch.Options{
		Call:  r.callForDirectory,
		Merge: func(node control.NodeID, encoded []byte) error { return r.directory.Import(string(node), encoded) },
		Log:   r.log,
	})
}

// callForDirectory asks a peer for what its directory has and this router's has not.
func (r *Router) callForDirectory(ctx context.Context, node control.NodeID, onBytes func(count int)) ([]byte, error) {
	cursor, err := json.Marshal(r.directory.Cursor())
	if err != nil {
		return nil, err
	}
	return r.mesh.Call(peer.WithProgress(ctx, onBytes), node, methodConfig, cursor)
}

// watchCaches makes the cache watcher follow the targets scheduled here whose pools
// account in tokens.
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
	r.cacheWatcher.SetTargets(addresses)
}

// targetCacheReported passes a report of what a target has cached to the control goroutine.
func (r *Router) targetCacheReported(report control.TargetCacheReported) { r.loop.post(report) }

// managedConfig returns the configuration in force, for operators.
func (b backend) managedConfig(inForce *config.Snapshot, version config.Version) (*config.Snapshot, error) {
	if inForce == nil {
		return nil, result.New(result.PlatformUnavailable, "No configuration version is in force yet.")
	}
	if version != 0 && version != inForce.Version {
		return nil, result.New(result.UnknownVersion, "Only the version in force is known here.")
	}
	return inForce, nil
}
