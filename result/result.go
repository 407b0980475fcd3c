// Package result holds the numbered result codes that walnutcove gives to
// callers and operators. Each code belongs to the filter that gives it: the
// hundreds digit names the filter. docs/RESULTS.md is the same table as prose,
// and a test keeps the two equal.
package result

import (
	"fmt"
	"time"
)

// Code is a numbered result. Zero means "answered".
type Code int

// Ran says whether the request may have run on a target.
type Ran int

// The three outcomes of a request.
const (
	// RanNo means that the request truly did not run: no byte of it was
	// written to a target connection, or the target refused it before running.
	RanNo Ran = iota
	// RanUnknown means that the request may have run.
	RanUnknown
	// RanYes means that the request ran.
	RanYes
)

// String returns the outcome as it stands in the Walnut-Ran response header.
func (r Ran) String() string {
	switch r {
	case RanNo:
		return "no"
	case RanYes:
		return "yes"
	default:
		return "unknown"
	}
}

// Error is a numbered refusal or failure. It is the only error type that
// filters return to the pipeline.
type Error struct {
	// Code is the numbered result.
	Code Code
	// Ran says whether the request may have run. It defaults to the code's
	// own value; see New.
	Ran Ran
	// RetryAfter is when the caller should come back; zero means no advice.
	RetryAfter time.Duration
	// Detail is one short sentence for the caller. It never names another
	// workspace, a key or a target address.
	Detail string
	// Cause is the underlying error, for logs only.
	Cause error
}

// New returns an Error for code with the code's own Ran value.
func New(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Ran: code.Info().Ran, Detail: fmt.Sprintf(format, args...)}
}

// Wrap returns an Error for code that keeps cause for the logs.
func Wrap(code Code, cause error, format string, args ...any) *Error {
	e := New(code, format, args...)
	e.Cause = cause
	return e
}

// After sets the advice when to come back and returns e.
func (e *Error) After(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// Error implements error.
func (e *Error) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("result %d (%s): %s: %v", e.Code, e.Code.Info().Name, e.Detail, e.Cause)
	}
	return fmt.Sprintf("result %d (%s): %s", e.Code, e.Code.Info().Name, e.Detail)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Cause }
