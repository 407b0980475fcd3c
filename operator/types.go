package operator

import (
	"time"

	"github.com/walnutcove/walnutcove/config"
)

// Paths of the API.
const (
	PathHealthz  = "/healthz"
	PathReadyz   = "/readyz"
	PathMetrics  = "/metrics"
	PathProfile  = "/debug/pprof/profile"
	PathHeap     = "/debug/pprof/heap"
	PathConfig   = "/operator/v1/config"
	PathPatches  = "/operator/v1/patches"
	PathHistory  = "/operator/v1/history"
	PathRollback = "/operator/v1/rollback"
	PathStatus   = "/operator/v1/status"
	PathDrain    = "/operator/v1/drain"
)

// MaxChangedNames is the maximum length of HistoryEntry.Changed.
const MaxChangedNames = 20

// Readiness is the answer to GET /readyz: whether a router takes callers' requests.
type Readiness struct {
	Ready bool `json:"ready"`
	// Reason explains in one short sentence why the router is not ready.
	Reason string `json:"reason,omitempty"`
	// Version is the configuration version in force; zero if none.
	Version config.Version `json:"version"`
}

// PatchAccepted answers an accepted patch or rollback.
type PatchAccepted struct {
	ID      string         `json:"id"`
	Version config.Version `json:"version"`
}

// RollbackRequest asks for a new version with the declarations of an older one.
type RollbackRequest struct {
	// ID is a UUID that makes a resend idempotent. Required.
	ID string `json:"id"`
	// Base is the newest version that the operator has seen.
	Base config.Version `json:"base"`
	// To is the version whose declarations are restored.
	To config.Version `json:"to"`
	// Author and Note are kept in the history. Optional.
	Author string `json:"author,omitempty"`
	Note   string `json:"note,omitempty"`
}

// HistoryEntry describes an accepted version, without the changes themselves.
type HistoryEntry struct {
	Version    config.Version `json:"version"`
	PatchID    string         `json:"patch_id"`
	Author     string         `json:"author,omitempty"`
	Note       string         `json:"note,omitempty"`
	AcceptedAt time.Time      `json:"accepted_at"`
	Digest     config.Digest  `json:"digest"`
	// Objects counts the objects that the patch named.
	Objects int `json:"objects"`
	// Changed names the first MaxChangedNames of them, sorted, for example
	// "workspaces.bakery".
	Changed []string `json:"changed"`
}

// HistoryAnswer answers GET history.
type HistoryAnswer struct {
	// Versions are sorted newest first.
	Versions []HistoryEntry `json:"versions"`
}

// DrainRequest asks a router to shut down gracefully.
type DrainRequest struct {
	// Node is the router's name; empty for the one that is asked.
	Node string `json:"node,omitempty"`
}

// DrainStarted answers a DrainRequest.
type DrainStarted struct {
	Node string `json:"node,omitempty"`
}

// ErrorBody is the JSON document of every refusal and failure.
type ErrorBody struct {
	// Code is the numbered result code; see docs/RESULTS.md.
	Code int `json:"code"`
	// Name is the code's name, as in metric labels.
	Name string `json:"name"`
	// Detail is one short sentence for the operator.
	Detail string `json:"detail"`
	// Ran reports whether the request took effect: "no" if nothing was changed, "yes" or "unknown".
	Ran string `json:"ran"`
	// Retry reports whether the same request may be sent again.
	Retry bool `json:"retry"`
	// Newest and WinnerPatchID are set for a conflict (1001): the newest version,
	// and the patch that made the version after the base.
	Newest        config.Version `json:"newest,omitempty"`
	WinnerPatchID string         `json:"winner_patch_id,omitempty"`
	// Problems lists every problem of an invalid declaration (1003).
	Problems []config.Problem `json:"problems,omitempty"`
}
