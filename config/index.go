package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"maps"
	"slices"
	"sort"
	"strings"
)

// KeyHash is the SHA-256 digest of a workspace key.
type KeyHash [sha256.Size]byte

// HashKey returns the digest of a key as callers send it.
func HashKey(key []byte) KeyHash { return sha256.Sum256(key) }

// Index answers the request path's questions about one version. It is
// immutable: readers share it without locks.
type Index struct {
	keys     map[uint64][]keyOwner // by the first eight bytes of the hash
	models   map[string]string
	prefixes []prefixPool // longest first
	targets  map[string]map[string][]string
	routes   routeTable
}

type keyOwner struct {
	hash      KeyHash
	workspace string
}

type prefixPool struct {
	prefix string
	pool   string
}

func newIndex() *Index {
	return &Index{keys: map[uint64][]keyOwner{}}
}

// Index returns the index of the snapshot. It is built once.
func (s *Snapshot) Index() *Index {
	s.indexOnce.Do(func() {
		index := newIndex()
		index.addKeys(s.Declarations.Workspaces)
		index.setPools(s.Declarations.Pools)
		index.setTargets(s.Declarations.Targets)
		index.routes = newRouteTable(s.Declarations.Routes)
		s.index = index
	})
	return s.index
}

// derive returns the index of next. Parts that did not change are shared.
func (x *Index) derive(old, next Declarations, touched rawDocument) *Index {
	derived := &Index{keys: x.keys, models: x.models, prefixes: x.prefixes, targets: x.targets, routes: x.routes}
	if changed := changedKeys(old, next, touched); len(changed) > 0 {
		derived.keys = maps.Clone(x.keys)
		for _, name := range changed {
			derived.removeKeys(name, old.Workspaces[name].KeyHashes)
		}
		for _, name := range changed {
			derived.addWorkspaceKeys(name, next.Workspaces[name].KeyHashes)
		}
	}
	if len(touched.Pools) > 0 {
		derived.setPools(next.Pools)
	}
	if len(touched.Targets) > 0 {
		derived.setTargets(next.Targets)
	}
	if len(touched.Routes) > 0 {
		derived.routes = newRouteTable(next.Routes)
	}
	return derived
}

// changedKeys names the workspaces whose key hashes differ.
func changedKeys(old, next Declarations, touched rawDocument) []string {
	var changed []string
	for name := range touched.Workspaces {
		if !slices.Equal(old.Workspaces[name].KeyHashes, next.Workspaces[name].KeyHashes) {
			changed = append(changed, name)
		}
	}
	return changed
}

func (x *Index) addKeys(workspaces map[string]Workspace) {
	for name, workspace := range workspaces {
		x.addWorkspaceKeys(name, workspace.KeyHashes)
	}
}

func (x *Index) addWorkspaceKeys(workspace string, hashes []string) {
	for _, text := range hashes {
		hash, ok := parseKeyHash(text)
		if !ok {
			continue // Not a hash: no key can match it.
		}
		slot := hash.slot()
		x.keys[slot] = append(slices.Clip(x.keys[slot]), keyOwner{hash: hash, workspace: workspace})
	}
}

func (x *Index) removeKeys(workspace string, hashes []string) {
	for _, text := range hashes {
		hash, ok := parseKeyHash(text)
		if !ok {
			continue
		}
		slot := hash.slot()
		kept := make([]keyOwner, 0, len(x.keys[slot]))
		for _, owner := range x.keys[slot] {
			if owner.hash != hash || owner.workspace != workspace {
				kept = append(kept, owner)
			}
		}
		if len(kept) == 0 {
			delete(x.keys, slot)
			continue
		}
		x.keys[slot] = kept
	}
}

func (x *Index) setPools(pools map[string]Pool) {
	x.models = make(map[string]string)
	x.prefixes = nil
	for _, name := range sortedNames(pools) {
		pool := pools[name]
		for _, model := range pool.Models {
			x.models[model] = name
		}
		if pool.PathPrefix != "" {
			x.prefixes = append(x.prefixes, prefixPool{prefix: pool.PathPrefix, pool: name})
		}
	}
	sort.SliceStable(x.prefixes, func(i, j int) bool {
		return len(x.prefixes[i].prefix) > len(x.prefixes[j].prefix)
	})
}

func (x *Index) setTargets(targets map[string]Target) {
	x.targets = make(map[string]map[string][]string)
	for _, name := range sortedNames(targets) {
		target := targets[name]
		dataCentres := x.targets[target.Pool]
		if dataCentres == nil {
			dataCentres = make(map[string][]string)
			x.targets[target.Pool] = dataCentres
		}
		dataCentres[target.DataCentre] = append(dataCentres[target.DataCentre], name)
	}
}

func (h KeyHash) slot() uint64 { return binary.BigEndian.Uint64(h[:8]) }

// WorkspaceByKey returns the workspace that a key belongs to.
func (x *Index) WorkspaceByKey(key []byte) (string, bool) {
	return x.WorkspaceByKeyHash(HashKey(key))
}

// WorkspaceByKeyHash returns the workspace that a key with this hash belongs
// to. The hash is looked up by its first eight bytes and then compared in
// constant time, also when nothing was found.
func (x *Index) WorkspaceByKeyHash(hash KeyHash) (string, bool) {
	candidates := x.keys[hash.slot()]
	if len(candidates) == 0 {
		candidates = noOwner
	}
	name := ""
	found := false
	for i := range candidates {
		equal := subtle.ConstantTimeCompare(candidates[i].hash[:], hash[:]) == 1
		if equal && candidates[i].workspace != "" {
			name = candidates[i].workspace
			found = true
		}
	}
	return name, found
}

// noOwner is compared against when a hash has no candidate.
var noOwner = []keyOwner{{}}

// PoolByModel returns the engine pool that serves a model.
func (x *Index) PoolByModel(model string) (string, bool) {
	pool, ok := x.models[model]
	return pool, ok
}

// PoolByPath returns the service pool with the longest path prefix that
// contains the path. Prefixes end at a slash: "/svc/deploy" contains
// "/svc/deploy/site" and not "/svc/deployer". A query is ignored. The path
// must have been cleaned of "." and ".." parts.
func (x *Index) PoolByPath(path string) (string, bool) {
	path, _, _ = strings.Cut(path, "?")
	for _, p := range x.prefixes {
		rest, ok := strings.CutPrefix(path, p.prefix)
		if ok && (rest == "" || rest[0] == '/') {
			return p.pool, true
		}
	}
	return "", false
}

// TargetsByDataCentre returns a pool's target names by data centre, each list
// sorted. It must not be modified.
func (x *Index) TargetsByDataCentre(pool string) map[string][]string { return x.targets[pool] }

// Models returns every served model, sorted.
func (x *Index) Models() []string { return sortedNames(x.models) }

func sortedNames[T any](objects map[string]T) []string {
	return slices.Sorted(maps.Keys(objects))
}
