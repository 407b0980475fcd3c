// Package requestlog is the filter that logs how each request ended: answers and
// refusals at level info, failures of a target or the platform at warn, and internal
// failures of the router at error. It is the first filter, so that it sees the outcome
// of all others.
package requestlog

import (
	"context"
	"errors"
	"log/slog"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/time/rate"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/result"
)

// Rate limits of warnings. Warnings over the limits are logged at level debug and
// counted, so that a failing pool does not flood the log.
const (
	warningsPerSecond = 100
	warningsBurst     = 500
)

var demotedCount = metrics.NewCounter("walnut_requestlog_demoted_total")

// Filter logs the arrival and the outcome of each request.
type Filter struct {
	log      *slog.Logger
	warnings *rate.Limiter
	// inForce returns the configuration in force.
	inForce func() *config.Snapshot
}

// New returns a filter that writes to log. inForce returns the configuration in force, nil if there
// is none.
func New(log *slog.Logger, inForce func() *config.Snapshot) *Filter {
	return &Filter{log: log, warnings: rate.NewLimiter(warningsPerSecond, warningsBurst), inForce: inForce}
}

// Name implements pipeline.Filter.
func (f *Filter) Name() string { return "requestlog" }

// Serve implements pipeline.Filter.
func (f *Filter) Serve(ctx context.Context, ex *pipeline.Exchange, next pipeline.Handler) error {
	path, _, _ := strings.Cut(ex.Path, "?") // a query may contain secrets
	pipeline.Log(ctx, f.log, slog.LevelDebug, ex, "request: Arrived.",
		slog.String("method", ex.Method), slog.String("path", path), slog.Int("bytes", len(ex.Body)))
	ex.OnEnd(func(err error) { f.logEnd(ex, err) })
	return next(ctx, ex)
}

// logEnd logs how the exchange ended. It uses a context of its own because the
// request's context may have ended.
func (f *Filter) logEnd(ex *pipeline.Exchange, err error) {
	ctx := context.Background()
	now := time.Now()
	took := slog.Duration("took", now.Sub(ex.Arrived))
	if err == nil {
		attrs := []slog.Attr{slog.Int("status", ex.Status), slog.Duration("began", ex.TimeToAnswer()), took}
		pipeline.Log(ctx, f.log, slog.LevelInfo, ex, "request: Answered.", append(attrs, progressAttrs(ex)...)...)
		return
	}
	var cut []slog.Attr
	if isCut(ex, err) {
		cause := cutCauseOf(ex, err, now)
		cutCounters[cause].Inc()
		cut = f.cutAttrs(ex, cause, now)
	}
	var refusal *result.Error
	if !errors.As(err, &refusal) {
		pipeline.Log(ctx, f.log, slog.LevelInfo, ex, "request: Answer did not reach the caller.", append(cut, took, slog.Any("error", err))...)
		return
	}
	level, message := levelAndMessage(refusal.Code)
	if cut != nil {
		message = "request: Answer was cut off."
	}
	if level >= slog.LevelWarn && !f.warnings.Allow() {
		demotedCount.Inc()
		level = slog.LevelDebug
	}
	attrs := append(cut,
		slog.Int("code", int(refusal.Code)),
		slog.String("reason", refusal.Code.Info().Name),
		slog.String("ran", refusal.Ran.String()),
		took,
	)
	if cut == nil && ex.Work.OutputTokens > 0 {
		attrs = append(attrs, slog.Int("tokens_expected", ex.Work.OutputTokens))
	}
	attrs = append(attrs, versionAttrs(ex, refusal.Code)...)
	pipeline.Log(ctx, f.log, level, ex, message, append(attrs, slog.Any("error", err))...)
}

// versionAttrs describes the configuration version by which a request was refused, for the
// codes that a newer version may turn into an answer.
func versionAttrs(ex *pipeline.Exchange, code result.Code) []slog.Attr {
	isByVersion := code == result.UnknownPath || code == result.KeyWrong || code == result.VersionBehind
	if !isByVersion || ex.Snapshot == nil {
		return nil
	}
	attrs := []slog.Attr{slog.Uint64("version", uint64(ex.Snapshot.Version))}
	if origin := ex.Snapshot.Origin; !origin.At.IsZero() {
		attrs = append(attrs, slog.Duration("version_age", time.Since(origin.At)), slog.String("version_from", origin.Source))
	}
	return attrs
}

// levelAndMessage returns the log level and message for a result code: failures of the
// system are logged at warn or error, refusals caused by the caller or the load at info.
func levelAndMessage(code result.Code) (slog.Level, string) {
	switch code {
	case result.Internal:
		return slog.LevelError, "request: Failed."
	case result.RecordUnavailable, result.RecordLapsed, result.NoTarget, result.TargetsEvacuated, result.NoHomeTarget, result.TargetsUnavailable, result.SoftwareUnavailable, result.StreamUnknown, result.SchedulerUnreachable,
		result.ConnectFailed, result.TargetRefused, result.RetryBudgetEmpty, result.FirstByteTimeout,
		result.TargetLostRequest, result.ExecutorLost, result.StreamBroken, result.TargetError, result.AnswerTooSlow,
		result.AnswerBytesFull:
		return slog.LevelWarn, "request: Failed."
	default:
		return slog.LevelInfo, "request: Refused."
	}
}
