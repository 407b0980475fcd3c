// Package operator is the HTTP API that operators use on a router. It has its
// own listener, apart from the callers' one:
//
//	GET  /healthz                      the process answers
//	GET  /readyz                       the router takes callers' requests
//	GET  /metrics                      counters in Prometheus text format
//	GET  /debug/pprof/profile          ?seconds=N; CPU profile
//	GET  /debug/pprof/heap             memory profile
//	GET  /operator/v1/config           ?version=N; the newest if absent
//	POST /operator/v1/patches          body: config.Patch; answers PatchAccepted
//	GET  /operator/v1/history          ?before=N&limit=N; newest first
//	POST /operator/v1/rollback         body: RollbackRequest; answers PatchAccepted
//	GET  /operator/v1/status           ?fleet=1 for all routers, ?detail=0 for routers only
//	POST /operator/v1/drain            body: DrainRequest; answers DrainStarted
//
// /healthz and /readyz need no key. Everything else needs an operator key
// ("Authorization: Bearer KEY") unless none is configured, which is allowed only
// on loopback or if Options.Open is set. Errors are ErrorBody documents with
// numbered result codes.
//
// The package does not depend on how a router works: the router implements Backend.
package operator

import (
	"context"

	"github.com/walnutcove/walnutcove/config"
)

// Backend is what the API needs from a router. Methods are called from many
// goroutines at once, with a context that ends at the time limit of the
// request. Errors are *result.Error, the error types of packages config and
// config/store, or wrap ErrUnavailable of package store; they get the codes stated
// with each method. Any other error is answered as 1004 (reads) or 1008 (writes).
type Backend interface {
	// Ready returns whether the router takes callers' requests. It must not block.
	Ready() Readiness

	// Config returns an accepted version. Zero asks for the newest one of the
	// table, or, while the table cannot be reached, for the version in force on
	// this router. If no version was ever accepted, it returns a snapshot with
	// Version zero and empty declarations. Errors: store.ErrUnavailable
	// (1004), *configstore.UnknownVersionError (1005).
	Config(ctx context.Context, version config.Version) (*config.Snapshot, error)

	// Apply commits a patch as version Base+1 and returns that version. It is
	// idempotent by Patch.ID: for a patch that was accepted before, it returns
	// the version that the patch made. Errors: *config.VersionConflictError (1001),
	// *config.PatchError (1002), *config.ValidationError (1003),
	// store.ErrUnavailable (1004: nothing was changed),
	// *configstore.CommitUnknownError (1008: outcome unknown).
	Apply(ctx context.Context, patch config.Patch) (config.Version, error)

	// History returns up to limit accepted versions below before, newest
	// first. A before of zero starts with the newest. Errors: 1004.
	History(ctx context.Context, before config.Version, limit int) ([]config.Entry, error)

	// Members returns every router of the platform's list, this one included.
	Members(ctx context.Context) ([]Member, error)

	// Status returns the status of one router: this one if the request's
	// Node is empty, otherwise it asks that router over its peer session.
	// Errors: 1009, 1010.
	Status(ctx context.Context, request StatusRequest) (Status, error)

	// Drain starts the graceful shutdown of a router: this one if node is
	// empty. It returns when the drain has started. Draining a router twice is
	// not an error. Errors: 1009, 1010.
	Drain(ctx context.Context, node string) error
}
