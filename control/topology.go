package control

import (
	"slices"
	"sort"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/control/member"
	"github.com/walnutcove/walnutcove/result"
)

// topology is the state that the machine derives from a configuration version.
type topology struct {
	order config.SnapshotOrder
	decl  *config.Declarations
	// pools maps a pool to its shards, in order of data centre.
	pools  map[string][]ShardID
	shards map[ShardID]*shardDecl
	// objectives holds the tightest objective of the routes to each pool.
	objectives map[string]time.Duration
	// software holds the software versions of each pool's targets.
	software map[string]map[string]bool
	// streamLife is how long after its first event a caller may reconnect to a stream.
	streamLife time.Duration
	// groups is the number of groups into which workspaces are divided for accounting.
	groups uint64
}

// accountGroupSize is the approximate number of declared workspaces accounted for at one
// node, so that a scheduler exchanges few messages.
const accountGroupSize = 64

// accountGroups returns the number of account groups. It is a power of two, so that a few
// more workspaces do not change it.
func accountGroups(workspaces int) uint64 {
	groups := uint64(1)
	for groups*accountGroupSize < uint64(workspaces) {
		groups *= 2
	}
	return groups
}

// shardDecl is the declared part of a shard.
type shardDecl struct {
	id ShardID
	// hash is the shard's key for rendezvous hashing.
	hash uint64
	// targets and accepting hold the names of all targets and of those that accept new
	// requests.
	targets   []string
	accepting []string
	// slots is the declared number of runs that the shard serves at once.
	slots int
}

func newTopology(s *config.Snapshot) *topology {
	t := &topology{
		order:      s.Order(),
		decl:       &s.Declarations,
		pools:      make(map[string][]ShardID),
		shards:     make(map[ShardID]*shardDecl),
		objectives: make(map[string]time.Duration),
		software:   make(map[string]map[string]bool),
		streamLife: minStreamLife,
		groups:     accountGroups(len(s.Declarations.Workspaces)),
	}
	for name, target := range s.Declarations.Targets {
		t.addTarget(name, target)
	}
	for _, route := range s.Declarations.Routes {
		t.addObjective(route)
		t.addStreamLife(route)
	}
	for _, shards := range t.pools {
		sort.Slice(shards, func(i, j int) bool { return shards[i].DataCentre < shards[j].DataCentre })
	}
	for _, d := range t.shards {
		slices.Sort(d.targets)
		slices.Sort(d.accepting)
	}
	return t
}

func (t *topology) addTarget(name string, target config.Target) {
	if t.software[target.Pool] == nil {
		t.software[target.Pool] = make(map[string]bool)
	}
	t.software[target.Pool][target.Software] = true
	id := t.shardFor(target)
	d := t.shards[id]
	if d == nil {
		d = &shardDecl{id: id, hash: shardHash(id)}
		t.shards[id] = d
		t.pools[id.Pool] = append(t.pools[id.Pool], id)
	}
	d.targets = append(d.targets, name)
	d.slots += max(1, target.Slots)
	if target.TakesWork() {
		d.accepting = append(d.accepting, name)
	}
}

func (t *topology) addObjective(route config.Route) {
	objective := route.Objective()
	if objective <= 0 {
		return
	}
	for _, share := range route.Split {
		if known := t.objectives[share.Pool]; known == 0 || objective < known {
			t.objectives[share.Pool] = objective
		}
	}
}

const (
	// A caller may reconnect to a stream until its deadline, which the limit of the route
	// bounds for each request. streamLifeFactor allows for the request that began the stream
	// and one that waits; each request that continues it starts the time anew.
	streamLifeFactor = 2
	minStreamLife    = 30 * time.Second
	maxStreamLife    = 10 * time.Minute
)

func (t *topology) addStreamLife(route config.Route) {
	if !route.Resumes {
		return
	}
	life := maxStreamLife
	if limit := route.Timeout(); limit > 0 {
		life = min(maxStreamLife, streamLifeFactor*limit)
	}
	t.streamLife = max(t.streamLife, life)
}

func shardHash(id ShardID) uint64 {
	return member.HashOf(id.Pool + "\x00" + id.DataCentre)
}

// shardOf returns the shard of a target; false if the target is not declared.
func (t *topology) shardOf(target string) (ShardID, bool) {
	decl, ok := t.decl.Targets[target]
	return t.shardFor(decl), ok
}

// shardFor returns the shard that schedules a target: that of its pool in its data centre,
// or the only one of a pool with a single queue.
func (t *topology) shardFor(target config.Target) ShardID {
	if t.decl.Pools[target.Pool].OneQueue {
		return ShardID{Pool: target.Pool}
	}
	return ShardID{Pool: target.Pool, DataCentre: target.DataCentre}
}

// mayRun reports whether a target is declared, accepts new requests and may serve a
// workspace.
func (t *topology) mayRun(target, workspace string, excluded []string) bool {
	return t.decl.Targets[target].TakesWork() && t.isAllowed(target, workspace, excluded)
}

// isAllowed reports whether a target is declared and may serve a workspace, regardless of
// whether it accepts new requests.
func (t *topology) isAllowed(target, workspace string, excluded []string) bool {
	decl, ok := t.decl.Targets[target]
	if !ok || slices.Contains(excluded, target) {
		return false
	}
	ws, known := t.decl.Workspaces[workspace]
	if !known {
		return true // declared by a newer version than this one
	}
	if !slices.Contains(ws.Pools, decl.Pool) {
		return false
	}
	return len(ws.Targets) == 0 || slices.Contains(ws.Targets, target)
}

// serves reports whether a shard has a target that accepts new requests, may serve a
// request, is in one of the allowed regions and runs an allowed software version.
func (t *topology) serves(id ShardID, ev RequestArrived, regions config.AllowedRegions) bool {
	names := t.shards[id].accepting
	if only := t.decl.Workspaces[ev.Workspace].Targets; len(only) > 0 {
		names = only
	}
	for _, name := range names {
		shard, ok := t.shardOf(name)
		if ok && shard == id && t.mayRun(name, ev.Workspace, ev.Excluded) && regions.Allows(t.decl.Targets[name].Region) && ev.Software.Allows(t.decl.Targets[name].Software) {
			return true
		}
	}
	return false
}

// noCandidateCode returns the result code for a request that no target may serve.
func (t *topology) noCandidateCode(ev RequestArrived) result.Code {
	regions := t.allowedRegions(ev)
	code := result.NoTarget
	for _, id := range t.pools[ev.Pool] {
		for _, name := range t.shards[id].targets {
			decl := t.decl.Targets[name]
			switch {
			case decl.Leaving || !t.isAllowed(name, ev.Workspace, nil):
			case !regions.Allows(decl.Region):
				code = result.NoHomeTarget
			case !ev.Software.Allows(decl.Software):
				if code == result.NoTarget {
					code = result.SoftwareUnavailable
				}
			case decl.Evacuated:
				return result.TargetsEvacuated
			default:
				code = result.TargetsUnavailable // excluded only by the request itself
			}
		}
	}
	return code
}

// allowedRegions returns the regions that the route and the workspace of a request allow.
func (t *topology) allowedRegions(ev RequestArrived) config.AllowedRegions {
	return t.decl.AllowedRegions(ev.Route, ev.Workspace)
}

// mayServe reports whether a target is declared, accepts new requests, may serve the
// workspace of a request, is in a region allowed for it and runs a software version allowed
// for it.
func (t *topology) mayServe(target string, ev RequestArrived) bool {
	decl := t.decl.Targets[target]
	return t.mayRun(target, ev.Workspace, ev.Excluded) && t.allowedRegions(ev).Allows(decl.Region) && ev.Software.Allows(decl.Software)
}

// candidateShards returns the shards that may serve a request: the one in the near data
// centre first, then the others in an order that differs between requests.
func (t *topology) candidateShards(ev RequestArrived, near string) []ShardID {
	var ids []ShardID
	regions := t.allowedRegions(ev)
	for _, id := range t.pools[ev.Pool] {
		if t.serves(id, ev, regions) {
			ids = append(ids, id)
		}
	}
	seed := uint64(ev.Request)
	sort.SliceStable(ids, func(i, j int) bool {
		if a, b := ids[i].DataCentre == near, ids[j].DataCentre == near; a != b {
			return a
		}
		return member.Score(t.shards[ids[i]].hash, seed) > member.Score(t.shards[ids[j]].hash, seed)
	})
	return ids
}
