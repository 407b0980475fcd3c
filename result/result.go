// Package result defines the numbered result codes that walnutcove returns to
// callers and operators. Each code belongs to the filter that returns it: the
// hundreds identify the filter. docs/RESULTS.md documents the same table,
// and a test keeps the two equal.
package result

import (
	"fmt"
	"time"
)

// Code is a numbered result. Zero means that the request was answered.
type Code int

// Ran reports whether the request may have run on a target. A greater value means
// that a run is more certain.
type Ran int

// The values of Ran.
const (
	// RanNo means that the request certainly did not run: no byte of it was
	// written to a target connection, or the target refused it before running it.
	RanNo Ran = iota
	// RanUnknown means that the request may have run.
	RanUnknown
	// RanYes means that the request ran.
	RanYes
)

// String returns the value as written in the Walnut-Ran response header.
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
	// Ran reports whether the request may have run. New sets it to the code's default.
	Ran Ran
	// RetryAfter is how long the caller should wait before it retries; zero means that
	// no advice is given.
	RetryAfter time.Duration
	// Detail is one short sentence for the caller. It never names another
	// workspace, a key or a target address.
	Detail string
	// Cause is the underlying error, for logs only.
	Cause error
}

// New returns an Error for code with the code's default Ran value.
func New(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Ran: code.Info().Ran, Detail: fmt.Sprintf(format, args...)}
}

// Wrap returns an Error for code that keeps cause for the logs.
func Wrap(code Code, cause error, format string, args ...any) *Error {
	e := New(code, format, args...)
	e.Cause = cause
	return e
}

// WithRetryAfter sets how long the caller should wait before it retries, and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
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
