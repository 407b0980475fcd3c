// Package detach is the filter that separates the end of an answer from the end of a run. The
// run of a non-idempotent request is not cut off at its caller's deadline, as it must not be
// left half done; its caller gets an end by then all the same.
package detach

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"runtime/debug"
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

// Filter runs what follows on its own, for requests whose runs outlive their callers.
type Filter struct{ log *slog.Logger }

// New returns a filter that logs to log what becomes of runs behind their callers' end.
func New(log *slog.Logger) *Filter { return &Filter{log: log} }

// Name implements pipeline.Filter.
func (f *Filter) Name() string { return "detach" }

// Serve implements pipeline.Filter. The exchange must have its deadline.
func (f *Filter) Serve(ctx context.Context, ex *pipeline.Exchange, next pipeline.Handler) error {
	if !ex.OutlivesCaller() || ex.Hold == nil {
		return next(ctx, ex)
	}
	run := ex.Fork()
	ended := make(chan error, 1)
	release := ex.Hold()
	go func() { ended <- f.guard(ctx, run, next) }()
	timer := time.NewTimer(time.Until(ex.Deadline) + answerGrace)
	defer timer.Stop()
	select {
	case err := <-ended:
		ex.Adopt(run)
		release()
		return err
	case <-timer.C:
	}
	go func() {
		defer release()
		f.finish(run, <-ended)
	}()
	return f.refuse(ctx, run)
}

// guard turns a panic into an error: there is no other guard on this goroutine.
func (f *Filter) guard(ctx context.Context, run *pipeline.Exchange, next pipeline.Handler) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			f.log.Error("detach: Pipeline panicked.", "request", run.ID, "panic", cause, "stack", string(debug.Stack()))
			err = result.New(result.Internal, "The router failed.")
		}
	}()
	return next(ctx, run)
}

// refuse is the end of a request whose run goes on, or was never begun.
func (f *Filter) refuse(ctx context.Context, run *pipeline.Exchange) error {
	if run.EndUnsent() {
		refusals.Inc(result.DeadlineBeforeGrant)
		return result.New(result.DeadlineBeforeGrant, "The deadline passed before the request was sent.")
	}
	refusal := result.New(result.FirstByteTimeout, "The target did not answer by the deadline.")
	if run.Began() > 0 {
		refusal = result.New(result.AnswerTooSlow, "The answer was not whole by the deadline.")
	}
	refusals.Inc(refusal.Code)
	f.log.LogAttrs(ctx, slog.LevelInfo, "detach: Deadline passed, the run goes on without its caller.", slog.String("request", run.ID))
	return refusal
}

// finish reads the answer of a run that nobody waits for, and ends it.
func (f *Filter) finish(run *pipeline.Exchange, err error) {
	if err == nil && run.AnswerStream != nil {
		_, err = io.Copy(io.Discard, run.AnswerStream)
		err = errors.Join(err, run.AnswerStream.Close())
	}
	run.End(err)
	took := slog.Duration("took", time.Since(run.Arrived))
	if err != nil {
		failed.Inc()
		pipeline.Log(context.Background(), f.log, slog.LevelInfo, run, "detach: Run without its caller failed.", took, slog.Any("error", err))
		return
	}
	answered.Inc()
	pipeline.Log(context.Background(), f.log, slog.LevelInfo, run, "detach: Run without its caller was answered.", took, slog.Int("status", run.Status))
}
