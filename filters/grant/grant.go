// Package grant is the filter that waits for a slot of a target. It requests one
// from the control goroutine through a Source and continues once a slot is granted.
package grant

import (
	"context"
	"log/slog"
	"time"

	"github.com/walnutcove/walnutcove/pipeline"
)

// Source provides slots. The router implements it with its control loop.
type Source interface {
	// Acquire waits for a slot for the exchange's current attempt and sets
	// ex.Target, ex.Address and ex.Run. Its errors are *result.Error.
	Acquire(ctx context.Context, ex *pipeline.Exchange) error
}

// Filter waits for a grant before the rest of the pipeline runs.
type Filter struct {
	// Source provides the slots.
	Source Source
	// Log gets an info line for each grant.
	Log *slog.Logger
}

// placementAttrs returns log attributes about the wait for the slot and about why the
// target was chosen.
func placementAttrs(ex *pipeline.Exchange, asked time.Time) []slog.Attr {
	attrs := []slog.Attr{
		slog.Duration("waited", time.Since(asked)),
		slog.String("as_of", ex.Snapshot.Order().String()),
	}
	if ex.Placement.UncachedTokens > 0 {
		attrs = append(attrs, slog.Duration("start_predicted", ex.Placement.PredictedStart), slog.Int("reads", ex.Placement.UncachedTokens), slog.Int("prompt", ex.Work.PromptTokens), slog.Int("tokens_expected", ex.Work.OutputTokens))
	}
	if ex.Placement.FetchFrom != "" {
		attrs = append(attrs, slog.String("fetch_from", ex.Placement.FetchFrom))
	}
	return attrs
}

// Name implements pipeline.Filter.
func (f *Filter) Name() string { return "grant" }

// Serve implements pipeline.Filter.
func (f *Filter) Serve(ctx context.Context, ex *pipeline.Exchange, next pipeline.Handler) error {
	asked := time.Now()
	if err := f.Source.Acquire(ctx, ex); err != nil {
		return err
	}
	pipeline.Log(ctx, f.Log, slog.LevelInfo, ex, "grant: Slot granted.", placementAttrs(ex, asked)...)
	return next(ctx, ex)
}
