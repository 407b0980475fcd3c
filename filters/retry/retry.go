// Package retry is the filter that runs grant and dispatch again on another
// target when an idempotent request failed, or when any request is known not to
// have run. Retries are limited by a budget, so that a partial outage does not
// multiply the load. In the budget of New, each request adds a fraction of a retry, up to
// a limit per workspace and one per router; that of NewWindowed bounds the retries of
// each pool in a sliding window, so that those of a fleet stay within its limits whichever
// routers restart.
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
	// maxPause bounds the pause before a request's first retry; the bound grows
	// linearly with the attempts. Pauses are random, so that the requests that one
	// target lost are not all retried at the same time.
	maxPause = 25 * time.Millisecond
	// When the budget is exhausted, callers are told to retry after a random time
	// between these.
	minRetryAfter = time.Second
	maxRetryAfter = 2 * time.Second
)

// Counters of this package: retries by the code of the failure that caused them, and
// retries that the budget did not allow.
var (
	retries = codecounter.New("walnut_retry_retries_total",
		result.ConnectFailed, result.TargetRefused, result.TargetLeft, result.TargetLostRequest, result.StreamBroken, result.TargetError,
		result.FirstByteTimeout, result.AnswerTooSlow)
	refusals = codecounter.New("walnut_retry_refusals_total", result.RetryBudgetEmpty)
)

// Filter retries failed requests.
type Filter struct {
	log    *slog.Logger
	budget interface {
		// recordRequest counts a request towards the budget.
		recordRequest(pool, workspace string)
		// takeRetry takes one retry. It returns false if none is left.
		takeRetry(pool, workspace string) bool
		// hasRetry reports whether takeRetry would return true.
		hasRetry(pool, workspace string) bool
	}
}

// New returns a filter with a budget of its own, which starts full. It logs each
// retry to log.
func New(log *slog.Logger) *Filter { return &Filter{log: log, budget: newSavedBudget()} }

// NewWindowed returns a filter whose retries are bounded in a sliding window. limits
// is called for each request and each retry.
func NewWindowed(log *slog.Logger, limits func() Limits) *Filter {
	return &Filter{log: log, budget: newWindowBudget(limits, time.Now)}
}

// Name implements pipeline.Filter.
func (f *Filter) Name() string { return "retry" }

// Serve implements pipeline.Filter.
func (f *Filter) Serve(ctx context.Context, ex *pipeline.Exchange, next pipeline.Handler) error {
	f.budget.recordRequest(ex.PoolName, ex.WorkspaceName)
	ran := result.RanNo
	for tries := 1; ; tries++ {
		ex.Attempt++
		err := next(ctx, ex)
		if err == nil {
			return nil
		}
		refusal, retriable := f.retriable(ex, err)
		if refusal != nil {
			refusal = raiseRan(refusal, ran)
			ran = refusal.Ran
			if finalError(err) != nil {
				err = refusal
			}
		}
		if !retriable {
			return err
		}
		if refusal.Ran != result.RanNo {
			ex.EarlierRuns++
		}
		if tries >= maxAttempts || ex.EarlierRuns >= maxRuns(ex) || !time.Now().Before(ex.Deadline) {
			return finalError(err)
		}
		// An attempt that was never sent put no load on any target, so its retry is free.
		if refusal.Code != result.TargetLeft && !f.budget.takeRetry(ex.PoolName, ex.WorkspaceName) {
			return budgetExhausted(err, refusal)
		}
		retries.Inc(refusal.Code)
		f.logRetry(ctx, ex, refusal)
		ex.Excluded = append(ex.Excluded, ex.Target)
		if !wait.For(ctx, rand.N(maxPause*time.Duration(ex.Attempt))) {
			return err
		}
	}
}

// failedAnswerError reports that a target answered completely, but with an error
// status. The exchange holds the answer.
type failedAnswerError struct{ failure *result.Error }

// Error implements error.
func (f failedAnswerError) Error() string { return f.failure.Error() }

// Unwrap returns the error with its result code.
func (f failedAnswerError) Unwrap() error { return f.failure }

// CheckAnswer returns an error if the exchange holds a target's error answer and the
// request is idempotent by its route, so that another target may succeed. If the
// request is not retried, the error answer is delivered after all.
func CheckAnswer(ex *pipeline.Exchange) error {
	if ex.Status < minServerErrorStatus || ex.Route == nil || ex.Route.Kind != config.RouteIdempotent || ex.AnswerStream != nil {
		return nil
	}
	return failedAnswerError{result.New(result.TargetError, "The target answered with status %d.", ex.Status)}
}

// minServerErrorStatus is the lowest HTTP status that means that the target failed.
const minServerErrorStatus = 500

// finalError returns the error of a request that is not retried; nil if the failure
// is a target's own error answer, which is delivered unchanged.
func finalError(err error) error {
	var answerErr failedAnswerError
	if errors.As(err, &answerErr) {
		return nil
	}
	return err
}

// maxRuns returns the maximum number of a request's attempts that may have run.
func maxRuns(ex *pipeline.Exchange) int {
	if ex.Route == nil {
		return maxAttempts
	}
	return ex.Route.Attempts
}

// CheckRetry returns an error if no retry is left for a request that is to be sent to another
// target.
func (f *Filter) CheckRetry(ex *pipeline.Exchange) error {
	if f.budget.hasRetry(ex.PoolName, ex.WorkspaceName) {
		return nil
	}
	return errNoRetry()
}

// TakeRetry takes a retry for such a request, right before it is sent. It returns an error if none
// is left.
func (f *Filter) TakeRetry(ex *pipeline.Exchange) error {
	if f.budget.takeRetry(ex.PoolName, ex.WorkspaceName) {
		return nil
	}
	refusals.Inc(result.RetryBudgetEmpty)
	return errNoRetry()
}

func errNoRetry() error {
	return result.New(result.RetryBudgetEmpty, "Too many other requests are being retried.")
}

// logRetry logs a failed attempt that is followed by a retry.
func (f *Filter) logRetry(ctx context.Context, ex *pipeline.Exchange, failure *result.Error) {
	pipeline.Log(ctx, f.log, slog.LevelWarn, ex, "retry: Attempt failed, retrying.",
		slog.Int("code", int(failure.Code)),
		slog.String("reason", failure.Code.Info().Name),
		slog.String("ran", failure.Ran.String()),
		slog.Any("error", failure))
}

// retriable returns the failure's result error, if it has one, and reports whether
// another attempt is allowed: the request is known not to have run on the target, or
// it is idempotent.
func (f *Filter) retriable(ex *pipeline.Exchange, err error) (*result.Error, bool) {
	var refusal *result.Error
	if !errors.As(err, &refusal) {
		return nil, false
	}
	var answerErr failedAnswerError
	if errors.As(err, &answerErr) {
		return refusal, true
	}
	switch refusal.Code {
	case result.ConnectFailed, result.TargetRefused, result.TargetLeft:
		return refusal, true
	case result.TargetLostRequest, result.StreamBroken, result.TargetError:
		return refusal, ex.Idempotent || refusal.Ran == result.RanNo
	case result.FirstByteTimeout, result.AnswerTooSlow:
		return refusal, ex.Route != nil && ex.Idempotent
	default:
		return refusal, false
	}
}

// raiseRan returns the refusal of the latest attempt with the highest Ran value of all
// attempts: a request that may have run in an earlier attempt is never reported as
// not run.
func raiseRan(refusal *result.Error, earlier result.Ran) *result.Error {
	if refusal.Ran >= earlier {
		return refusal
	}
	raised := *refusal
	raised.Ran = earlier
	return &raised
}

// budgetExhausted returns the error of a request that failed and was not retried for
// want of budget. It keeps the failure's Ran value.
func budgetExhausted(err error, failure *result.Error) error {
	refusals.Inc(result.RetryBudgetEmpty)
	if finalError(err) == nil {
		return nil
	}
	refusal := result.Wrap(result.RetryBudgetEmpty, failure, "The request failed and too many others are being retried.")
	refusal.Ran = failure.Ran
	return refusal.WithRetryAfter(minRetryAfter + rand.N(maxRetryAfter-minRetryAfter))
}
