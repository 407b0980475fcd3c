// Package requestlog is the filter that logs how each request ended: answers
// and refusals at info, failures of the router, a target or the platform at
// warn. It is the first filter, so that it sees every other's outcome.
package requestlog

import (
	"context"
	"errors"
	"log/slog"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/time/rate"

	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/result"
)

// Bounds of the warnings. What is over them is logged at debug and counted, so
// that a pool that is down does not drown the log.
const (
	warningsPerSecond = 100
	warningsBurst     = 500
)

var demoted = metrics.NewCounter("walnut_requestlog_demoted_total")

// Filter logs the ends of requests.
type Filter struct {
	log      *slog.Logger
	warnings *rate.Limiter
}

// New returns a filter that writes to log.
func New(log *slog.Logger) *Filter {
	return &Filter{log: log, warnings: rate.NewLimiter(warningsPerSecond, warningsBurst)}
}

// Name implements pipeline.Filter.
func (f *Filter) Name() string { return "requestlog" }

// Serve implements pipeline.Filter.
func (f *Filter) Serve(ctx context.Context, ex *pipeline.Exchange, next pipeline.Handler) error {
	path, _, _ := strings.Cut(ex.Path, "?") // a query may hold what is secret
	pipeline.Log(ctx, f.log, slog.LevelDebug, ex, "request: Arrived.",
		slog.String("method", ex.Method), slog.String("path", path), slog.Int("bytes", len(ex.Body)))
	ex.OnEnd(func(err error) { f.logEnd(ex, err) })
	return next(ctx, ex)
}

// logEnd logs how the exchange ended. The request's own context may be over.
func (f *Filter) logEnd(ex *pipeline.Exchange, err error) {
	ctx := context.Background()
	took := slog.Duration("took", time.Since(ex.Arrived))
	if err == nil {
		pipeline.Log(ctx, f.log, slog.LevelInfo, ex, "request: Answered.", slog.Int("status", ex.Status), slog.Duration("began", ex.Began()), took)
		return
	}
	var numbered *result.Error
	if !errors.As(err, &numbered) {
		pipeline.Log(ctx, f.log, slog.LevelInfo, ex, "request: Answer did not reach the caller.", took, slog.Any("error", err))
		return
	}
	level, message := judge(numbered.Code)
	if level >= slog.LevelWarn && !f.warnings.Allow() {
		demoted.Inc()
		level = slog.LevelDebug
	}
	pipeline.Log(ctx, f.log, level, ex, message,
		slog.Int("code", int(numbered.Code)),
		slog.String("reason", numbered.Code.Info().Name),
		slog.String("ran", numbered.Ran.String()),
		took,
		slog.Any("error", err))
}

// judge says whether a code is a failure here, or a refusal for which the
// caller or the load is the cause.
func judge(code result.Code) (slog.Level, string) {
	switch code {
	case result.Internal:
		return slog.LevelError, "request: Failed."
	case result.RecordUnavailable, result.RecordLapsed, result.NoTarget, result.TargetsEvacuated, result.NoHomeTarget, result.TargetsUnavailable, result.SchedulerUnreachable,
		result.ConnectFailed, result.TargetRefused, result.RetryBudgetEmpty, result.FirstByteTimeout,
		result.TargetLostRequest, result.StreamBroken, result.TargetError, result.AnswerTooSlow:
		return slog.LevelWarn, "request: Failed."
	default:
		return slog.LevelInfo, "request: Refused."
	}
}
