package requestlog

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/result"
)

// cutCause is why an answer ended before its caller had all of it.
type cutCause string

// The causes of cut answers. On a day without faults only those of the callers and the limits occur.
const (
	cutCallerGone    cutCause = "caller_gone"
	cutCallerStalled cutCause = "caller_stalled"
	// cutCallerDeadline and cutRouteLimit are the two limits of a request's time.
	cutCallerDeadline cutCause = "caller_deadline"
	cutRouteLimit     cutCause = "route_limit"
	// cutTargetSilent: the target sent nothing for a time, and the limits were not reached.
	cutTargetSilent cutCause = "target_silent"
	cutTargetBroke  cutCause = "target_broke"
	cutExecutorLost cutCause = "executor_lost"
	cutMemory       cutCause = "answer_bytes_full"
	cutShutdown     cutCause = "shutdown"
	cutOther        cutCause = "other"
)

// cutCounters counts cut answers by cause.
var cutCounters = newCutCounters()

func newCutCounters() map[cutCause]*metrics.Counter {
	counters := make(map[cutCause]*metrics.Counter)
	for _, cause := range []cutCause{
		cutCallerGone, cutCallerStalled, cutCallerDeadline, cutRouteLimit, cutTargetSilent, cutTargetBroke,
		cutExecutorLost, cutMemory, cutShutdown, cutOther,
	} {
		counters[cause] = metrics.GetOrCreateCounter(fmt.Sprintf("walnut_requestlog_cut_answers_total{cause=%q}", cause))
	}
	return counters
}

// isCut reports whether an exchange that ended with err left its caller without a complete answer.
// A refusal is complete unless an answer had begun.
func isCut(ex *pipeline.Exchange, err error) bool {
	var refusal *result.Error
	return !errors.Is(err, pipeline.ErrRefusedAtDeadline) && (ex.AnswerStream != nil || !errors.As(err, &refusal))
}

// cutCauseOf returns why the answer of an exchange that ended with err at a time is incomplete.
func cutCauseOf(ex *pipeline.Exchange, err error, at time.Time) cutCause {
	var refusal *result.Error
	switch {
	case ex.ServingContext != nil && ex.ServingContext.Err() != nil:
		return cutShutdown
	case errors.Is(err, os.ErrDeadlineExceeded) && !errors.As(err, &refusal):
		return cutCallerStalled
	case ex.IsCallerGone() || !errors.As(err, &refusal):
		return cutCallerGone
	case !ex.Deadline.IsZero() && !at.Before(ex.Deadline) && ex.LimitedByRoute:
		return cutRouteLimit
	case !ex.Deadline.IsZero() && !at.Before(ex.Deadline):
		return cutCallerDeadline
	}
	switch refusal.Code {
	case result.AnswerTooSlow, result.FirstByteTimeout:
		return cutTargetSilent
	case result.StreamBroken, result.TargetLostRequest, result.TargetError, result.TargetLeft:
		return cutTargetBroke
	case result.ExecutorLost:
		return cutExecutorLost
	case result.AnswerBytesFull:
		return cutMemory
	case result.CallerGone:
		return cutCallerGone
	}
	return cutOther
}

// cutAttrs describes a cut answer: how much time was left, how long the target had been silent, and
// the configuration versions by which the request began and ended.
func (f *Filter) cutAttrs(ex *pipeline.Exchange, cause cutCause, at time.Time) []slog.Attr {
	attrs := []slog.Attr{
		slog.String("cause", string(cause)),
		slog.Int("status", ex.Status),
		slog.Duration("began", ex.TimeToAnswer()),
		slog.Duration("silent", ex.TargetSilence(at)),
	}
	if !ex.Deadline.IsZero() {
		attrs = append(attrs, slog.Duration("left", ex.Deadline.Sub(at)), slog.Bool("limited_by_route", ex.LimitedByRoute))
	}
	attrs = append(attrs, progressAttrs(ex)...)
	if ex.Snapshot != nil {
		attrs = append(attrs, slog.Uint64("version", uint64(ex.Snapshot.Version)))
	}
	if f.inForce != nil {
		if current := f.inForce(); current != nil {
			attrs = append(attrs, slog.Uint64("version_now", uint64(current.Version)))
		}
	}
	return attrs
}

// progressAttrs says how far an event stream got; nil for other answers.
func progressAttrs(ex *pipeline.Exchange) []slog.Attr {
	progress := ex.EventProgress()
	if progress.Events == 0 {
		return nil
	}
	return []slog.Attr{
		slog.Int("tokens_expected", ex.Work.OutputTokens),
		slog.Int("events", progress.Events),
		slog.Duration("target_wait", progress.TargetWait),
		slog.Duration("longest_gap", progress.LongestGap),
	}
}
