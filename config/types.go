// Package config holds the operators' declarations of workspaces, pools,
// targets and routes as numbered versions. A patch names the version that it
// was made against; accepting it creates the next version. A Snapshot is
// immutable once built: readers use it without locks, and a router replaces it
// as a whole and only by a newer one.
//
// A patch is a JSON merge patch (RFC 7396) over the Declarations document:
//
//	{"workspaces": {"bakery": {"share": 2}}, "targets": {"old-1": null}}
package config

import (
	"sync"
	"time"
)

// Version is the number of an accepted configuration. The first accepted
// version is 1; zero means "none yet".
type Version uint64

// PoolKind determines how a pool's targets are called.
type PoolKind string

// The kinds of pool.
const (
	// KindEngine is a pool of model engines (chat and completions calls).
	KindEngine PoolKind = "engine"
	// KindService is a pool of plain HTTP services at a path prefix.
	KindService PoolKind = "service"
)

// Declarations is the complete configuration document, with objects keyed by
// name.
type Declarations struct {
	Workspaces map[string]Workspace `json:"workspaces" toml:"workspaces"`
	Pools      map[string]Pool      `json:"pools" toml:"pools"`
	Targets    map[string]Target    `json:"targets" toml:"targets"`
	// Routes may be empty: requests then select pools by model and path prefix;
	// see Pool.
	Routes map[string]Route `json:"routes,omitempty" toml:"routes,omitempty"`
	// Callers is only set in versions that a managed platform publishes.
	Callers CallerLimits `json:"callers,omitzero" toml:"-"`
}

// CallerLimits holds what callers may rely on with their connections.
type CallerLimits struct {
	// IdleMillis is how long, in milliseconds, a caller may keep a connection idle before it uses it
	// again; zero if not stated.
	IdleMillis int `json:"idle_millis,omitempty" toml:"-"`
}

// Workspace is one tenant.
type Workspace struct {
	// Share is the workspace's scheduling weight, over 0. Default 1.
	Share float64 `json:"share" toml:"share"`
	// KeyHashes are hex SHA-256 digests of the workspace's keys.
	KeyHashes []string `json:"key_hashes" toml:"key_hashes"`
	// Pools are the pools that the workspace may use.
	Pools []string `json:"pools" toml:"pools"`
	// Targets, if not empty, restricts the workspace's requests to these targets.
	Targets []string `json:"targets,omitempty" toml:"targets,omitempty"`
	// Regions, if not empty, restricts the workspace's requests to targets in these regions.
	Regions []string `json:"regions,omitempty" toml:"regions,omitempty"`
	// MaxQueued limits the requests queued at one router. Default 256.
	MaxQueued int `json:"max_queued,omitempty" toml:"max_queued,omitempty"`
	// MaxQueuedBytes limits the body bytes queued at one router. Default 64 MiB.
	MaxQueuedBytes int64 `json:"max_queued_bytes,omitempty" toml:"max_queued_bytes,omitempty"`
}

// Pool is a set of targets that can serve the same requests.
type Pool struct {
	// Kind determines how the targets are called.
	Kind PoolKind `json:"kind" toml:"kind"`
	// Models are the model names served by an engine pool.
	Models []string `json:"models,omitempty" toml:"models,omitempty"`
	// PathPrefix is where a service pool is mounted, for example "/svc/deploy".
	PathPrefix string `json:"path_prefix,omitempty" toml:"path_prefix,omitempty"`
	// NonIdempotent makes every call to the pool non-idempotent, even if the
	// caller does not mark it so.
	NonIdempotent bool `json:"non_idempotent,omitempty" toml:"non_idempotent,omitempty"`
	// TypicalMillis is the slot time charged at grant when the caller gives no
	// hint. Default 1000.
	TypicalMillis int `json:"typical_millis,omitempty" toml:"typical_millis,omitempty"`
	// OneQueue schedules all targets of the pool in one queue across data centres,
	// so that one scheduler makes every placement. It suits a pool whose data
	// centres are close to each other.
	OneQueue bool `json:"one_queue,omitempty" toml:"one_queue,omitempty"`
	// ColdStartMillis is how long a target stays cold after a start. A cold target is slow and
	// tolerates about ColdPerSecond requests per second. If either is zero, targets start warm.
	ColdStartMillis int     `json:"cold_start_millis,omitempty" toml:"cold_start_millis,omitempty"`
	ColdPerSecond   float64 `json:"cold_per_second,omitempty" toml:"cold_per_second,omitempty"`
	// Tokens, if set, makes scheduling account for the targets' work in tokens
	// instead of slot time.
	Tokens *TokenWork `json:"tokens,omitempty" toml:"tokens,omitempty"`
}

// TokenWork describes targets that read prompts and generate tokens.
type TokenWork struct {
	// PerSecond is the approximate throughput of all targets of the pool
	// together: each token read counts once, each token generated twice. Zero:
	// not known.
	PerSecond float64 `json:"per_second,omitempty" toml:"per_second,omitempty"`
	// MemoryTokens is how many tokens of prompts and answers one target can hold
	// in memory.
	MemoryTokens int64 `json:"memory_tokens,omitempty" toml:"memory_tokens,omitempty"`
	// FetchedPerSecond is how many cached tokens a second one target can fetch
	// from another; zero: targets cannot fetch.
	FetchedPerSecond float64 `json:"fetched_per_second,omitempty" toml:"fetched_per_second,omitempty"`
	// EventTokens is the number of tokens in one event of a stream. Default 1.
	EventTokens int `json:"event_tokens,omitempty" toml:"event_tokens,omitempty"`
}

// Target is one model engine or plain service instance.
type Target struct {
	// Pool is the pool that the target belongs to.
	Pool string `json:"pool" toml:"pool"`
	// DataCentre is the data centre that the target runs in.
	DataCentre string `json:"data_centre" toml:"data_centre"`
	// Region is the region of the data centre; empty: not known. Routes and workspaces that
	// declare regions use only targets in those.
	Region string `json:"region,omitempty" toml:"region,omitempty"`
	// Address is "ip:port"; host names are rejected.
	Address string `json:"address" toml:"address"`
	// Slots is the number of requests that the target runs well concurrently. Default 1.
	Slots int `json:"slots" toml:"slots"`
	// ChecksFencing declares that the target refuses orders with an old fencing number.
	ChecksFencing bool `json:"checks_fencing,omitempty" toml:"checks_fencing,omitempty"`
	// Resumes declares that the target can resume a stream by offset.
	Resumes bool `json:"resumes,omitempty" toml:"resumes,omitempty"`
	// Software is the version of the software that the target runs, as opposed to that of its
	// models; empty: not known. Targets of several versions may serve side by side.
	Software string `json:"software,omitempty" toml:"software,omitempty"`
	// Start is the target's start time in milliseconds, which distinguishes its starts if the
	// platform lists the targets; zero: not known. Operators omit it.
	Start int64 `json:"start,omitempty" toml:"start,omitempty"`
	// ColdMillis is the remaining cold time that the target last reported. Operators omit it.
	ColdMillis int `json:"cold_millis,omitempty" toml:"cold_millis,omitempty"`
	// Leaving declares that the target takes no new work.
	Leaving bool `json:"leaving,omitempty" toml:"leaving,omitempty"`
	// Evacuated is set while the target's data centre is being evacuated. The target takes no
	// new work until the evacuation ends. Routers set it; operators omit it.
	Evacuated bool `json:"evacuated,omitempty" toml:"evacuated,omitempty"`
	// LoadModels lists exactly the models that the target must have loaded,
	// each as "model", "model@version", "model/adapter" or
	// "model@version/adapter". Empty: the target is not ordered to load or
	// unload models. Only for engine pools; see package orders.
	LoadModels []string `json:"load_models,omitempty" toml:"load_models,omitempty"`
	// Role is the role that the target must have, for example "prefill".
	// Empty: the target is not ordered to change its role. Only for engine pools.
	Role string `json:"role,omitempty" toml:"role,omitempty"`
}

// TakesWork reports whether new requests may be sent to the target.
func (t Target) TakesWork() bool { return !t.Leaving && !t.Evacuated }

// Origin is the source from which a router learned of a version, and the time.
type Origin struct {
	// Source is "platform" or "peer" and the name of a router.
	Source string
	At     time.Time
}

// Snapshot is one immutable configuration version. It is shared by pointer and
// must not be copied. Apply, Empty and DecodeSnapshot create snapshots.
type Snapshot struct {
	// Version is the version's number.
	Version Version `json:"version"`
	// PatchID is the id of the patch that created the version.
	PatchID string `json:"patch_id"`
	// Declarations is the complete document. It must not be modified.
	Declarations Declarations `json:"declarations"`
	// Digest chains the version to all versions before it; see Digest.
	Digest Digest `json:"digest"`
	// TargetsRevision is the revision of the target listing that the targets were
	// read from; zero if operators declare the targets as part of the version.
	TargetsRevision Revision `json:"targets_revision,omitempty"`
	// ConfigRevision is the highest revision among this version and the evacuations, for
	// versions that the platform publishes. It distinguishes versions with the same number: a
	// version that the platform lost may be written again with different content.
	ConfigRevision Revision `json:"-"`
	// UnversionedChanges counts the changes that this router applied without a new listing
	// revision: for example, it removed targets that it had kept for a while although they were
	// missing from a listing.
	UnversionedChanges uint64 `json:"-"`
	// Origin is the source of the version at this router, for logs; zero if not recorded.
	Origin Origin `json:"-"`

	digestInputs digestInputs

	contentOnce sync.Once
	content     contentSum

	indexOnce sync.Once
	index     *Index
}
