package hedge

import (
	"errors"

	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/result"
)

// transientError reports that a target refused an attempt, so that it may take a later one.
type transientError struct{ error }

// Unwrap returns the refusal.
func (e *transientError) Unwrap() error { return e.error }

// IsTransient reports whether an error of Watch.Open may pass soon: a target or a scheduler refused the
// attempt for now, or no retry was left at the moment.
func IsTransient(err error) bool {
	var transient *transientError
	if errors.As(err, &transient) {
		return true
	}
	var refusal *result.Error
	return errors.As(err, &refusal) && (refusal.Code == result.Overloaded || refusal.Code == result.RetryBudgetEmpty)
}

// codeOf returns the result code of an error of an Opener.
func codeOf(err error) result.Code {
	var refusal *result.Error
	if errors.As(err, &refusal) {
		return refusal.Code
	}
	return result.Internal
}

// mayHaveRun reports whether a failed attempt may have run.
func mayHaveRun(attempt *pipeline.Exchange, err error) bool {
	var refusal *result.Error
	if errors.As(err, &refusal) && refusal.Ran == result.RanNo {
		return false
	}
	return attempt.WasSent()
}

// isTargetsFailure reports whether an attempt failed at its target, so that another target may serve
// it.
func isTargetsFailure(attempt *pipeline.Exchange, err error) bool {
	var refusal *result.Error
	if !errors.As(err, &refusal) || attempt.Target == "" {
		return false
	}
	switch refusal.Code {
	case result.ConnectFailed, result.TargetRefused, result.TargetLeft, result.TargetLostRequest, result.StreamBroken, result.TargetError:
		return true
	}
	return false
}
