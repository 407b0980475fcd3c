// Package config holds what operators declare: workspaces, pools and targets,
// as numbered versions. A patch names the version it was made against; the
// accepted result is the next version. A Snapshot is immutable once built:
// readers keep it without locks, and a node swaps it whole and only upwards.
//
// A patch is a JSON merge patch (RFC 7396) over the Declarations document:
//
//	{"workspaces": {"bakery": {"share": 2}}, "targets": {"old-1": null}}
package config

import "sync"

// Version numbers an accepted configuration. The first accepted version is 1;
// zero means "none yet".
type Version uint64

// PoolKind says how a pool's targets are called.
type PoolKind string

// The kinds of pool.
const (
	// KindEngine is a pool of model engines (chat and completions calls).
	KindEngine PoolKind = "engine"
	// KindService is a pool of plain HTTP services at a path prefix.
	KindService PoolKind = "service"
)

// Declarations is the whole configuration document. Objects are keyed by name.
type Declarations struct {
	// Workspaces by name.
	Workspaces map[string]Workspace `json:"workspaces" toml:"workspaces"`
	// Pools by name.
	Pools map[string]Pool `json:"pools" toml:"pools"`
	// Targets by name.
	Targets map[string]Target `json:"targets" toml:"targets"`
	// Routes by name. A fleet without routes finds pools by model and path
	// prefix; see Pool.
	Routes map[string]Route `json:"routes,omitempty" toml:"routes,omitempty"`
}

// Workspace is one tenant.
type Workspace struct {
	// Share is the workspace's weight, over 0. Default 1.
	Share float64 `json:"share" toml:"share"`
	// KeyHashes are hex SHA-256 digests of the workspace's keys.
	KeyHashes []string `json:"key_hashes" toml:"key_hashes"`
	// Pools are the pools that the workspace may reach.
	Pools []string `json:"pools" toml:"pools"`
	// Targets, if not empty, narrows the workspace to these targets.
	Targets []string `json:"targets,omitempty" toml:"targets,omitempty"`
	// Regions, if not empty, restricts its requests to targets in these regions.
	Regions []string `json:"regions,omitempty" toml:"regions,omitempty"`
	// MaxQueued bounds the requests waiting at one router. Default 256.
	MaxQueued int `json:"max_queued,omitempty" toml:"max_queued,omitempty"`
	// MaxQueuedBytes bounds the body bytes waiting at one router. Default 64 MiB.
	MaxQueuedBytes int64 `json:"max_queued_bytes,omitempty" toml:"max_queued_bytes,omitempty"`
}

// Pool is a set of targets that can serve the same requests.
type Pool struct {
	// Kind says how the targets are called.
	Kind PoolKind `json:"kind" toml:"kind"`
	// Models are the model names served by an engine pool.
	Models []string `json:"models,omitempty" toml:"models,omitempty"`
	// PathPrefix is where a service pool is mounted, for example "/svc/deploy".
	PathPrefix string `json:"path_prefix,omitempty" toml:"path_prefix,omitempty"`
	// NonIdempotent marks every call to the pool as non-idempotent, whether
	// or not the caller marks it.
	NonIdempotent bool `json:"non_idempotent,omitempty" toml:"non_idempotent,omitempty"`
	// TypicalMillis is the slot time charged at grant when the caller gives no
	// hint. Default 1000.
	TypicalMillis int `json:"typical_millis,omitempty" toml:"typical_millis,omitempty"`
	// OneQueue schedules all targets of the pool in one queue, whatever their
	// data centre. It suits a pool whose data centres are near to each other: one
	// scheduler then sees every placement.
	OneQueue bool `json:"one_queue,omitempty" toml:"one_queue,omitempty"`
	// ColdStartMillis is how long a target is cold after a start. A cold target is slow and
	// tolerates about ColdPerSecond requests per second. If either is zero, targets start warm.
	ColdStartMillis int     `json:"cold_start_millis,omitempty" toml:"cold_start_millis,omitempty"`
	ColdPerSecond   float64 `json:"cold_per_second,omitempty" toml:"cold_per_second,omitempty"`
	// Tokens says that the work of the pool's targets is counted in tokens; nil:
	// in slot time.
	Tokens *TokenWork `json:"tokens,omitempty" toml:"tokens,omitempty"`
}

// TokenWork describes targets that read prompts and generate tokens.
type TokenWork struct {
	// PerSecond is about what all targets of the pool do together: each token
	// read counts once, each token generated twice. Zero: not known.
	PerSecond float64 `json:"per_second,omitempty" toml:"per_second,omitempty"`
	// MemoryTokens is how many tokens of prompts and answers one target holds.
	MemoryTokens int64 `json:"memory_tokens,omitempty" toml:"memory_tokens,omitempty"`
	// FetchedPerSecond is how many tokens a second one target fetches from what
	// another keeps; zero: targets cannot.
	FetchedPerSecond float64 `json:"fetched_per_second,omitempty" toml:"fetched_per_second,omitempty"`
	// EventTokens is how many tokens one event of a stream holds. Default 1.
	EventTokens int `json:"event_tokens,omitempty" toml:"event_tokens,omitempty"`
}

// Target is one model engine or plain service instance.
type Target struct {
	// Pool is the pool that the target belongs to.
	Pool string `json:"pool" toml:"pool"`
	// DataCentre is where the target runs.
	DataCentre string `json:"data_centre" toml:"data_centre"`
	// Region is the region of the data centre; empty: not known. Routes and workspaces that
	// declare regions use only targets in these.
	Region string `json:"region,omitempty" toml:"region,omitempty"`
	// Address is "ip:port"; host names are refused.
	Address string `json:"address" toml:"address"`
	// Slots is how many requests the target runs well at once. Default 1.
	Slots int `json:"slots" toml:"slots"`
	// ChecksFencing says that the target refuses orders with an old fencing number.
	ChecksFencing bool `json:"checks_fencing,omitempty" toml:"checks_fencing,omitempty"`
	// Resumes says that the target can resume a stream by offset.
	Resumes bool `json:"resumes,omitempty" toml:"resumes,omitempty"`
	// Start tells one start of the target from the next, where the platform lists
	// targets: its time in milliseconds; zero: not known. Operators leave it out.
	Start int64 `json:"start,omitempty" toml:"start,omitempty"`
	// ColdMillis is the remaining cold time that the target last reported. Operators leave it out.
	ColdMillis int `json:"cold_millis,omitempty" toml:"cold_millis,omitempty"`
	// Leaving says that the target takes no new work.
	Leaving bool `json:"leaving,omitempty" toml:"leaving,omitempty"`
	// Evacuated says that the target's data centre is being evacuated. The target takes no new
	// work until the evacuation ends. Routers set it; operators leave it out.
	Evacuated bool `json:"evacuated,omitempty" toml:"evacuated,omitempty"`
	// LoadModels are the models that the target shall have loaded, and no
	// others, each as "model", "model@version", "model/adapter" or
	// "model@version/adapter". Empty: the target is not ordered to load or
	// unload. Only for engine pools; see package orders.
	LoadModels []string `json:"load_models,omitempty" toml:"load_models,omitempty"`
	// Role is the role that the target shall have, for example "prefill".
	// Empty: it is not ordered to change it. Only for engine pools.
	Role string `json:"role,omitempty" toml:"role,omitempty"`
}

// TakesWork reports whether new requests may be sent to the target.
func (t Target) TakesWork() bool { return !t.Leaving && !t.Evacuated }

// Snapshot is one immutable version in force. It is shared by pointer and must
// not be copied. Apply, Empty and DecodeSnapshot make snapshots.
type Snapshot struct {
	// Version numbers the snapshot.
	Version Version `json:"version"`
	// PatchID is the id of the patch that made the version.
	PatchID string `json:"patch_id"`
	// Declarations is the whole document. It must not be modified.
	Declarations Declarations `json:"declarations"`
	// Digest chains the version to every version before it; see Digest.
	Digest Digest `json:"digest"`
	// TargetsRevision is the revision of the listing that the targets were read
	// from; zero if operators declare the targets as part of the version.
	TargetsRevision Revision `json:"targets_revision,omitempty"`
	// ConfigRevision is the highest revision among this version and the evacuations, for
	// versions that the platform publishes. It tells apart versions with the same number: one
	// that the platform lost may be rewritten with other content.
	ConfigRevision Revision `json:"-"`
	// TargetsLapsed counts the targets that this router took off the listing after it had
	// doubted their removal. The listing without them has no revision of its own.
	TargetsLapsed uint64 `json:"-"`

	link link

	contentOnce sync.Once
	content     contentSum

	indexOnce sync.Once
	index     *Index
}
