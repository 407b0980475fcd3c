// Package detach is the filter that separates the end of an answer from the end of a run. The
// run of a non-idempotent request is not cut off at its caller's deadline, as it must not be
// left half done; its caller gets an end by then all the same.
package detach

import (
	"context"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/result"
	"github.com/walnutcove/walnutcove/result/codecounter"
)

// answerGrace is how much later than its deadline the answer of a run may come and still be
// delivered: without it the caller does not know whether the request ran.
const answerGrace = 150 * time.Millisecond

var (
	// refusals counts the requests whose callers got an end before their runs did.
	refusals = codecounter.New("walnut_detach_refusals_total",
		result.DeadlineBeforeGrant, result.FirstByteTimeout, result.AnswerTooSlow)
	answered = metrics.GetOrCreateCounter(`walnut_detach_runs_total{result="answered"}`)
	failed   = metrics.GetOrCreateCounter(`walnut_detach_runs_total{result="failed"}`)
)

// Filter ends requests by their deadlines whose runs go on.
type Filter struct{ log *slog.Logger }

// New returns a filter that logs to log what becomes of runs behind their callers' end.
func New(log *slog.Logger) *Filter { return &Filter{log: log} }

// Name implements pipeline.Filter.
func (f *Filter) Name() string { return "detach" }

// Serve implements pipeline.Filter. The exchange must have its deadline.
func (f *Filter) Serve(ctx context.Context, ex *pipeline.Exchange, next pipeline.Handler) error {
	if !ex.OutlivesCaller() || ex.EndBy == nil {
		return next(ctx, ex)
	}
	stop := ex.EndBy(ex.Deadline.Add(answerGrace), func() error { return f.refuse(ex) })
	err := next(ctx, ex)
	if !stop() {
		f.noteEnd(ex, err)
	}
	return err
}

// refuse is the end of a request whose run goes on, or is never begun. The exchange's goroutine
// goes on meanwhile.
func (f *Filter) refuse(ex *pipeline.Exchange) error {
	if ex.EndUnsent() {
		refusals.Inc(result.DeadlineBeforeGrant)
		return result.New(result.DeadlineBeforeGrant, "The deadline passed before the request was sent.")
	}
	refusal := result.New(result.FirstByteTimeout, "The target did not answer by the deadline.")
	if ex.Began() > 0 {
		refusal = result.New(result.AnswerTooSlow, "The answer was not whole by the deadline.")
	}
	refusals.Inc(refusal.Code)
	f.log.Info("detach: Deadline passed, the run goes on without its caller.", "request", ex.ID)
	return refusal
}

// noteEnd tells what became of a run that its caller has not waited for.
func (f *Filter) noteEnd(ex *pipeline.Exchange, err error) {
	took := slog.Duration("took", time.Since(ex.Arrived))
	if err != nil {
		failed.Inc()
		pipeline.Log(context.Background(), f.log, slog.LevelInfo, ex, "detach: Run without its caller failed.", took, slog.Any("error", err))
		return
	}
	answered.Inc()
	pipeline.Log(context.Background(), f.log, slog.LevelInfo, ex, "detach: Run without its caller was answered.", took, slog.Int("status", ex.Status))
}
