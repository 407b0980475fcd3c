package control

import (
	"sort"

	"github.com/walnutcove/walnutcove/config"
)

// topology is what the machine derives from a configuration version.
type topology struct {
	version config.Version
	decl    *config.Declarations
	// pools maps a pool to its shards, in order of data centre.
	pools map[string][]ShardID
	// targets maps a shard to its targets, in order of name.
	targets map[ShardID][]string
}

func newTopology(s *config.Snapshot) *topology {
	t := &topology{
		version: s.Version,
		decl:    &s.Declarations,
		pools:   make(map[string][]ShardID),
		targets: make(map[ShardID][]string),
	}
	for name, target := range s.Declarations.Targets {
		id := ShardID{Pool: target.Pool, DataCentre: target.DataCentre}
		if _, ok := t.targets[id]; !ok {
			t.pools[id.Pool] = append(t.pools[id.Pool], id)
		}
		t.targets[id] = append(t.targets[id], name)
	}
	for _, shards := range t.pools {
		sort.Slice(shards, func(i, j int) bool { return shards[i].DataCentre < shards[j].DataCentre })
	}
	for _, names := range t.targets {
		sort.Strings(names)
	}
	return t
}

// shardOf returns the shard of a target; false if the target is not declared.
func (t *topology) shardOf(target string) (ShardID, bool) {
	decl, ok := t.decl.Targets[target]
	return ShardID{Pool: decl.Pool, DataCentre: decl.DataCentre}, ok
}

// share returns the weight of a workspace; 1 if it is unknown.
func (t *topology) share(workspace string) float64 {
	if ws, ok := t.decl.Workspaces[workspace]; ok && ws.Share > 0 {
		return ws.Share
	}
	return 1
}
