package control

import (
	"slices"
	"sort"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/control/member"
	"github.com/walnutcove/walnutcove/result"
)

// topology is what the machine derives from a configuration version.
type topology struct {
	order config.Order
	decl  *config.Declarations
	// pools maps a pool to its shards, in order of data centre.
	pools  map[string][]ShardID
	shards map[ShardID]*shardDecl
	// objectives holds the tightest objective of the routes to each pool.
	objectives map[string]time.Duration
	// groups is how many groups the workspaces are accounted for in.
	groups uint64
}

// accountGroupSize is about how many declared workspaces are accounted for at
// one node, so that a scheduler exchanges few messages.
const accountGroupSize = 64

// accountGroups is a power of two, so that a few more workspaces move nothing.
func accountGroups(workspaces int) uint64 {
	groups := uint64(1)
	for groups*accountGroupSize < uint64(workspaces) {
		groups *= 2
	}
	return groups
}

// shardDecl is the declared side of a shard.
type shardDecl struct {
	id ShardID
	// hash is the shard's key for rendezvous hashing.
	hash uint64
	// targets and open hold the names of all targets and of those that take work.
	targets []string
	open    []string
	// slots is how many runs the shard serves at once, as declared.
	slots int
}

func newTopology(s *config.Snapshot) *topology {
	t := &topology{
		order:      s.Order(),
		decl:       &s.Declarations,
		pools:      make(map[string][]ShardID),
		shards:     make(map[ShardID]*shardDecl),
		objectives: make(map[string]time.Duration),
		groups:     accountGroups(len(s.Declarations.Workspaces)),
	}
	for name, target := range s.Declarations.Targets {
		t.add(name, target)
	}
	for _, route := range s.Declarations.Routes {
		t.addObjective(route)
	}
	for _, shards := range t.pools {
		sort.Slice(shards, func(i, j int) bool { return shards[i].DataCentre < shards[j].DataCentre })
	}
	for _, d := range t.shards {
		slices.Sort(d.targets)
		slices.Sort(d.open)
	}
	return t
}

func (t *topology) add(name string, target config.Target) {
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
		d.open = append(d.open, name)
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

func shardHash(id ShardID) uint64 {
	return member.HashOf(id.Pool + "\x00" + id.DataCentre)
}

// shardOf returns the shard of a target; false if the target is not declared.
func (t *topology) shardOf(target string) (ShardID, bool) {
	decl, ok := t.decl.Targets[target]
	return t.shardFor(decl), ok
}

// shardFor returns the shard that schedules a target: that of its pool in its
// data centre, or the only one of a pool with one queue.
func (t *topology) shardFor(target config.Target) ShardID {
	if t.decl.Pools[target.Pool].OneQueue {
		return ShardID{Pool: target.Pool}
	}
	return ShardID{Pool: target.Pool, DataCentre: target.DataCentre}
}

// share returns the weight of a workspace; 1 if it is unknown.
func (t *topology) share(workspace string) float64 {
	if ws, ok := t.decl.Workspaces[workspace]; ok && ws.Share > 0 {
		return ws.Share
	}
	return 1
}

// mayRun reports whether a target is declared, takes work and may serve a workspace.
func (t *topology) mayRun(target, workspace string, excluded []string) bool {
	return t.decl.Targets[target].TakesWork() && t.isAllowed(target, workspace, excluded)
}

// isAllowed reports whether a target is declared and may serve a workspace, regardless of
// whether it takes work.
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

// serves reports whether a shard has a target that takes work, may serve a request and is in
// one of the allowed regions.
func (t *topology) serves(id ShardID, ev RequestArrived, regions config.AllowedRegions) bool {
	names := t.shards[id].open
	if only := t.decl.Workspaces[ev.Workspace].Targets; len(only) > 0 {
		names = only
	}
	for _, name := range names {
		shard, ok := t.shardOf(name)
		if ok && shard == id && t.mayRun(name, ev.Workspace, ev.Excluded) && regions.Allows(t.decl.Targets[name].Region) {
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
			case decl.Evacuated:
				return result.TargetsEvacuated
			default:
				code = result.TargetsUnavailable // only the request excludes it
			}
		}
	}
	return code
}

// allowedRegions returns the regions that the route and the workspace of a request allow.
func (t *topology) allowedRegions(ev RequestArrived) config.AllowedRegions {
	return t.decl.AllowedRegions(ev.Route, ev.Workspace)
}

// mayServe reports whether a target is declared, takes work, may serve the workspace of a
// request and is in a region allowed for it.
func (t *topology) mayServe(target string, ev RequestArrived) bool {
	return t.mayRun(target, ev.Workspace, ev.Excluded) && t.allowedRegions(ev).Allows(t.decl.Targets[target].Region)
}

// candidates returns the shards of a pool that may serve a workspace: the near
// one first, then the others in an order that differs between requests.
func (t *topology) candidates(ev RequestArrived, near string) []ShardID {
	var ids []ShardID
	regions := t.allowedRegions(ev)
	for _, id := range t.pools[ev.Pool] {
		if t.serves(id, ev, regions) {
			ids = append(ids, id)
		}
	}
	turn := uint64(ev.Request)
	sort.SliceStable(ids, func(i, j int) bool {
		if a, b := ids[i].DataCentre == near, ids[j].DataCentre == near; a != b {
			return a
		}
		return member.Score(t.shards[ids[i]].hash, turn) > member.Score(t.shards[ids[j]].hash, turn)
	})
	return ids
}
