// Package detach is the filter that lets a run continue after its caller was refused. The
// run of a non-idempotent request is not stopped at its caller's deadline, because it must
// not be left half done; its caller is refused at the deadline nevertheless.
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

// answerGrace is how long after the deadline an answer is still delivered: without the
// answer the caller does not know whether the request ran.
const answerGrace = 150 * time.Millisecond

var (
	// refusals counts the requests whose callers were refused before their runs ended.
	refusals = codecounter.New("walnut_detach_refusals_total",
		result.DeadlineBeforeGrant, result.FirstByteTimeout, result.AnswerTooSlow)
	answeredCount = metrics.GetOrCreateCounter(`walnut_detach_runs_total{result="answered"}`)
	failedCount   = metrics.GetOrCreateCounter(`walnut_detach_runs_total{result="failed"}`)
)

// Filter refuses callers at their deadlines while the runs of their requests continue.
type Filter struct{ log *slog.Logger }

// New returns a filter. It logs to log how the runs of refused callers end.
func New(log *slog.Logger) *Filter { return &Filter{log: log} }

// Name implements pipeline.Filter.
func (f *Filter) Name() string { return "detach" }

// Serve implements pipeline.Filter. The exchange's deadline must be set.
func (f *Filter) Serve(ctx context.Context, ex *pipeline.Exchange, next pipeline.Handler) error {
	if !ex.OutlivesCaller() || ex.EndBy == nil {
		return next(ctx, ex)
	}
	stop := ex.EndBy(ex.Deadline.Add(answerGrace), func() error { return f.refuse(ex) })
	err := next(ctx, ex)
	if !stop() {
		f.recordEnd(ex, err)
	}
	return err
}

// refuse returns the refusal for a caller at its deadline. The run continues, or is never
// begun if the request has not been sent. The exchange's own goroutine keeps running.
func (f *Filter) refuse(ex *pipeline.Exchange) error {
	if ex.CancelSend() {
		refusals.Inc(result.DeadlineBeforeGrant)
		return result.New(result.DeadlineBeforeGrant, "The deadline passed before the request was sent.")
	}
	refusal := result.New(result.FirstByteTimeout, "The target did not answer by the deadline.")
	if ex.TimeToAnswer() > 0 {
		refusal = result.New(result.AnswerTooSlow, "The answer was not whole by the deadline.")
	}
	refusals.Inc(refusal.Code)
	f.log.Info("detach: Deadline passed, run continues without its caller.", "request", ex.ID)
	return refusal
}

// recordEnd counts and logs the end of a run whose caller had been refused.
func (f *Filter) recordEnd(ex *pipeline.Exchange, err error) {
	took := slog.Duration("took", time.Since(ex.Arrived))
	if err != nil {
		failedCount.Inc()
		pipeline.Log(context.Background(), f.log, slog.LevelInfo, ex, "detach: Run without its caller failed.", took, slog.Any("error", err))
		return
	}
	answeredCount.Inc()
	pipeline.Log(context.Background(), f.log, slog.LevelInfo, ex, "detach: Run without its caller was answered.", took, slog.Int("status", ex.Status))
}
