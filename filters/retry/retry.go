// Package retry is the filter that runs grant and dispatch again on another
// target when an idempotent request failed, or when any request surely did not
// run. Retries draw on a budget, so that a brown-out does not multiply load:
// each request earns a part of a retry, up to a limit for its workspace and one
// for the router.
package retry

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/result"
	"github.com/walnutcove/walnutcove/result/codecounter"
	"github.com/walnutcove/walnutcove/wait"
)

const (
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 3
	// maxPause bounds the pause before a request's first retry; it grows with
	// the attempts. Pauses are random, so that the requests that one target
	// lost do not come back together.
	maxPause = 25 * time.Millisecond
	// The advice after an empty budget lies between these, at random.
	minRetryAfter = time.Second
	maxRetryAfter = 2 * time.Second
)

// Counters of this package: the retries by the failure that they follow, and
// the retries that were not made.
var (
	retries = codecounter.New("walnut_retry_retries_total",
		result.ConnectFailed, result.TargetRefused, result.TargetLeft, result.TargetLostRequest, result.StreamBroken, result.TargetError,
		result.FirstByteTimeout, result.AnswerTooSlow)
	refusals = codecounter.New("walnut_retry_refusals_total", result.RetryBudgetEmpty)
)

// Filter retries.
type Filter struct {
	log    *slog.Logger
	budget interface {
		// earn counts a request.
		earn(pool, workspace string)
		// spend takes one retry. It reports false if there is none.
		spend(pool, workspace string) bool
	}
}

// New returns a filter with a full budget of this router's own. It logs each retry
// to log.
func New(log *slog.Logger) *Filter { return &Filter{log: log, budget: newBudget()} }

// NewWindowed returns a filter whose retries are bounded by rules, which are asked
// for at each use.
func NewWindowed(log *slog.Logger, rules func() Rules) *Filter {
	return &Filter{log: log, budget: newWindowed(rules, time.Now)}
}

// Name implements pipeline.Filter.
func (f *Filter) Name() string { return "retry" }

// Serve implements pipeline.Filter.
func (f *Filter) Serve(ctx context.Context, ex *pipeline.Exchange, next pipeline.Handler) error {
	f.budget.earn(ex.PoolName, ex.WorkspaceName)
	ran := result.RanNo
	runs := 0 // attempts that may have run
	for {
		ex.Attempt++
		err := next(ctx, ex)
		if err == nil {
			return nil
		}
		refusal, retriable := f.retriable(ex, err)
		if refusal != nil {
			refusal = withRan(refusal, ran)
			ran = refusal.Ran
			if final(err) != nil {
				err = refusal
			}
		}
		if !retriable {
			return err
		}
		if refusal.Ran != result.RanNo {
			runs++
		}
		if ex.Attempt >= maxAttempts || runs >= maxRuns(ex) || !time.Now().Before(ex.Deadline) {
			return final(err)
		}
		// A request that was not sent is not sent again: its next attempt costs targets nothing.
		if refusal.Code != result.TargetLeft && !f.budget.spend(ex.PoolName, ex.WorkspaceName) {
			return budgetEmpty(err, refusal)
		}
		retries.Inc(refusal.Code)
		f.logRetry(ctx, ex, refusal)
		ex.Excluded = append(ex.Excluded, ex.Target)
		if !wait.For(ctx, rand.N(maxPause*time.Duration(ex.Attempt))) {
			return err
		}
	}
}

// failedAnswer is the error of a target's whole answer that says that it failed.
// The answer stands in the exchange.
type failedAnswer struct{ failure *result.Error }

// Error implements error.
func (f failedAnswer) Error() string { return f.failure.Error() }

// Unwrap gives the numbered error.
func (f failedAnswer) Unwrap() error { return f.failure }

// FailedAnswer returns an error if the exchange holds a target's failure that
// another target may do better: the request is idempotent on its route. The answer
// is delivered after all if the request is not tried again.
func FailedAnswer(ex *pipeline.Exchange) error {
	if ex.Status < firstServerError || ex.Route == nil || ex.Route.Kind != config.RouteIdempotent || ex.AnswerStream != nil {
		return nil
	}
	return failedAnswer{result.New(result.TargetError, "The target answered with status %d.", ex.Status)}
}

// firstServerError is the first HTTP status of a target's own failure.
const firstServerError = 500

// final is what a failure comes to that is not tried again: a target's own answer
// is delivered as it is.
func final(err error) error {
	var answered failedAnswer
	if errors.As(err, &answered) {
		return nil
	}
	return err
}

// maxRuns bounds the attempts of a request that may have run.
func maxRuns(ex *pipeline.Exchange) int {
	if ex.Route == nil {
		return maxAttempts
	}
	return ex.Route.Attempts
}

// Spend takes a retry for a stream that is to go on at another target. It
// reports false if there is none left.
func (f *Filter) Spend(ex *pipeline.Exchange) bool {
	if f.budget.spend(ex.PoolName, ex.WorkspaceName) {
		return true
	}
	refusals.Inc(result.RetryBudgetEmpty)
	return false
}

// logRetry tells of a failed attempt that another one follows.
func (f *Filter) logRetry(ctx context.Context, ex *pipeline.Exchange, failure *result.Error) {
	pipeline.Log(ctx, f.log, slog.LevelWarn, ex, "retry: Attempt failed, another follows.",
		slog.Int("code", int(failure.Code)),
		slog.String("reason", failure.Code.Info().Name),
		slog.String("ran", failure.Ran.String()),
		slog.Any("error", failure))
}

// retriable says whether the failure allows another attempt: the request
// surely did not run at the target, or it is idempotent.
func (f *Filter) retriable(ex *pipeline.Exchange, err error) (*result.Error, bool) {
	var refusal *result.Error
	if !errors.As(err, &refusal) {
		return nil, false
	}
	var answered failedAnswer
	if errors.As(err, &answered) {
		return refusal, true
	}
	switch refusal.Code {
	case result.ConnectFailed, result.TargetRefused, result.TargetLeft:
		return refusal, true
	case result.TargetLostRequest, result.StreamBroken:
		return refusal, ex.Idempotent || refusal.Ran == result.RanNo
	case result.FirstByteTimeout, result.AnswerTooSlow:
		return refusal, ex.Route != nil && ex.Idempotent
	default:
		return refusal, false
	}
}

// withRan returns the refusal of the latest attempt with what is known of all:
// a request that may have run in an earlier attempt is never "not run".
func withRan(refusal *result.Error, earlier result.Ran) *result.Error {
	if refusal.Ran >= earlier {
		return refusal
	}
	raised := *refusal
	raised.Ran = earlier
	return &raised
}

// budgetEmpty says that the request failed and was not retried. It keeps the
// outcome of the failure.
func budgetEmpty(err error, failure *result.Error) error {
	refusals.Inc(result.RetryBudgetEmpty)
	if final(err) == nil {
		return nil
	}
	refusal := result.Wrap(result.RetryBudgetEmpty, failure, "The request failed and too many others are being retried.")
	refusal.Ran = failure.Ran
	return refusal.After(minRetryAfter + rand.N(maxRetryAfter-minRetryAfter))
}
