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

// HashKey returns the digest of a key in the form in which callers send it.
func HashKey(key []byte) KeyHash { return sha256.Sum256(key) }

// Index holds the lookup tables that the request path needs for one version.
// It is immutable, so readers share it without locks.
type Index struct {
	keysByHashPrefix  map[uint64][]keyOwner // by the first eight bytes of the hash
	poolsByModel      map[string]string
	poolsByPathPrefix []pathPrefixPool               // longest first
	targetsByPool     map[string]map[string][]string // target names by pool and data centre
	routes            routeTable
}

type keyOwner struct {
	hash      KeyHash
	workspace string
}

type pathPrefixPool struct {
	prefix string
	pool   string
}

func newEmptyIndex() *Index {
	return &Index{keysByHashPrefix: map[uint64][]keyOwner{}}
}

// Index returns the index of the snapshot, building it on the first call.
func (s *Snapshot) Index() *Index {
	s.indexOnce.Do(func() {
		index := newEmptyIndex()
		index.addKeys(s.Declarations.Workspaces)
		index.setPools(s.Declarations.Pools)
		index.setTargets(s.Declarations.Targets)
		index.routes = newRouteTable(s.Declarations.Routes)
		s.index = index
	})
	return s.index
}

// derive returns the index of next. Tables without changes are shared with x.
func (x *Index) derive(old, next Declarations, touched rawDocument) *Index {
	derived := &Index{keysByHashPrefix: x.keysByHashPrefix, poolsByModel: x.poolsByModel, poolsByPathPrefix: x.poolsByPathPrefix, targetsByPool: x.targetsByPool, routes: x.routes}
	if changed := workspacesWithChangedKeys(old, next, touched); len(changed) > 0 {
		derived.keysByHashPrefix = maps.Clone(x.keysByHashPrefix)
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

// workspacesWithChangedKeys returns the touched workspaces whose key hashes
// differ between old and next.
func workspacesWithChangedKeys(old, next Declarations, touched rawDocument) []string {
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
		bucket := hash.bucket()
		x.keysByHashPrefix[bucket] = append(slices.Clip(x.keysByHashPrefix[bucket]), keyOwner{hash: hash, workspace: workspace})
	}
}

func (x *Index) removeKeys(workspace string, hashes []string) {
	for _, text := range hashes {
		hash, ok := parseKeyHash(text)
		if !ok {
			continue
		}
		bucket := hash.bucket()
		kept := make([]keyOwner, 0, len(x.keysByHashPrefix[bucket]))
		for _, owner := range x.keysByHashPrefix[bucket] {
			if owner.hash != hash || owner.workspace != workspace {
				kept = append(kept, owner)
			}
		}
		if len(kept) == 0 {
			delete(x.keysByHashPrefix, bucket)
			continue
		}
		x.keysByHashPrefix[bucket] = kept
	}
}

func (x *Index) setPools(pools map[string]Pool) {
	x.poolsByModel = make(map[string]string)
	x.poolsByPathPrefix = nil
	for _, name := range sortedNames(pools) {
		pool := pools[name]
		for _, model := range pool.Models {
			x.poolsByModel[model] = name
		}
		if pool.PathPrefix != "" {
			x.poolsByPathPrefix = append(x.poolsByPathPrefix, pathPrefixPool{prefix: pool.PathPrefix, pool: name})
		}
	}
	sort.SliceStable(x.poolsByPathPrefix, func(i, j int) bool {
		return len(x.poolsByPathPrefix[i].prefix) > len(x.poolsByPathPrefix[j].prefix)
	})
}

func (x *Index) setTargets(targets map[string]Target) {
	x.targetsByPool = make(map[string]map[string][]string)
	for _, name := range sortedNames(targets) {
		target := targets[name]
		dataCentres := x.targetsByPool[target.Pool]
		if dataCentres == nil {
			dataCentres = make(map[string][]string)
			x.targetsByPool[target.Pool] = dataCentres
		}
		dataCentres[target.DataCentre] = append(dataCentres[target.DataCentre], name)
	}
}

func (h KeyHash) bucket() uint64 { return binary.BigEndian.Uint64(h[:8]) }

// WorkspaceByKey returns the workspace that a key belongs to.
func (x *Index) WorkspaceByKey(key []byte) (string, bool) {
	return x.WorkspaceByKeyHash(HashKey(key))
}

// WorkspaceByKeyHash returns the workspace that a key with this hash belongs
// to. The hash is looked up by its first eight bytes and then compared in
// constant time, even if the lookup found no candidate.
func (x *Index) WorkspaceByKeyHash(hash KeyHash) (string, bool) {
	candidates := x.keysByHashPrefix[hash.bucket()]
	if len(candidates) == 0 {
		candidates = dummyOwner
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

// dummyOwner is the comparison candidate for hashes without candidates.
var dummyOwner = []keyOwner{{}}

// PoolByModel returns the engine pool that serves a model.
func (x *Index) PoolByModel(model string) (string, bool) {
	pool, ok := x.poolsByModel[model]
	return pool, ok
}

// PoolByPath returns the service pool with the longest path prefix that
// contains the path. Prefixes match whole path segments: "/svc/deploy" contains
// "/svc/deploy/site" but not "/svc/deployer". A query is ignored. The path must
// not contain "." or ".." segments.
func (x *Index) PoolByPath(path string) (string, bool) {
	path, _, _ = strings.Cut(path, "?")
	for _, p := range x.poolsByPathPrefix {
		rest, ok := strings.CutPrefix(path, p.prefix)
		if ok && (rest == "" || rest[0] == '/') {
			return p.pool, true
		}
	}
	return "", false
}

// TargetsByDataCentre returns a pool's target names by data centre, each list
// sorted. It must not be modified.
func (x *Index) TargetsByDataCentre(pool string) map[string][]string { return x.targetsByPool[pool] }

// Models returns the names of all served models, sorted.
func (x *Index) Models() []string { return sortedNames(x.poolsByModel) }

func sortedNames[T any](objects map[string]T) []string {
	return slices.Sorted(maps.Keys(objects))
}
