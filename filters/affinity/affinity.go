// Package affinity is the filter for callers that reconnect to a stream. It finds out which
// pool and software version began the stream, and limits the request to targets of that
// version. If no router knows the version, the request is refused as not run.
package affinity

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/result"
	"github.com/walnutcove/walnutcove/result/codecounter"
)

// A caller whose stream is unknown is asked to retry after a random time between these, in
// case a router that has the record is temporarily unreachable.
const (
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 1500 * time.Millisecond
)

var refusals = codecounter.New("walnut_affinity_refusals_total",
	result.StreamUnknown, result.SoftwareUnavailable, result.CallerGone, result.DeadlineBeforeGrant, result.Draining)

// Source knows where streams began. The router implements it with its control loop.
type Source interface {
	// Find looks up where the stream began to which the caller reconnects. It returns a
	// refusal if the caller left or the time ran out meanwhile.
	Find(ctx context.Context, ex *pipeline.Exchange) (control.AffinityFound, *result.Error)
}

// Filter limits requests that continue a stream to the version that began it.
type Filter struct {
	// Source knows where streams began.
	Source Source
	// Log gets an info line for each stream that is found.
	Log *slog.Logger
}

// Name implements pipeline.Filter.
func (f *Filter) Name() string { return "affinity" }

// Serve implements pipeline.Filter.
func (f *Filter) Serve(ctx context.Context, ex *pipeline.Exchange, next pipeline.Handler) error {
	if ex.ResumedRequest == "" && ex.CallerEventID == "" {
		return next(ctx, ex)
	}
	if refusal := f.limit(ctx, ex); refusal != nil {
		refusals.Inc(refusal.Code)
		return refusal
	}
	return next(ctx, ex)
}

// limit limits the exchange to the pool and the version that began its stream.
func (f *Filter) limit(ctx context.Context, ex *pipeline.Exchange) *result.Error {
	found, refusal := f.Source.Find(ctx, ex)
	if refusal != nil {
		return refusal
	}
	if !found.Known {
		cause := fmt.Errorf("%d routers asked, %d did not answer, versions %q", found.Asked, found.Silent, found.Software)
		return result.Wrap(result.StreamUnknown, cause, "No router in reach knows which software version began the stream.").WithRetryAfter(retryAfter())
	}
	pool := found.Affinity.Pool
	if !ex.Route.Uses(pool) {
		return result.New(result.SoftwareUnavailable, "The route does not lead to the pool that began the stream any more.").WithRetryAfter(retryAfter())
	}
	ex.PoolName = pool
	ex.Pool = ex.Snapshot.Declarations.Pools[pool]
	ex.Software = config.OnlySoftware(found.Affinity.Software)
	ex.Continues = ex.ResumedRequest != ""
	pipeline.Log(ctx, f.Log, slog.LevelInfo, ex, "affinity: Caller reconnects to a stream.",
		slog.String("began_at", found.Affinity.Software), slog.Int("asked", found.Asked))
	return nil
}

func retryAfter() time.Duration { return minRetryAfter + rand.N(maxRetryAfter-minRetryAfter) }
