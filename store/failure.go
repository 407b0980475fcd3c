package store

import (
	"errors"
	"fmt"
)

// operation names a call in metrics and errors.
type operation string

// The operations of the client.
const (
	opGet       operation = "get"
	opScan      operation = "scan"
	opCommit    operation = "commit"
	opPutObject operation = "put_object"
	opGetObject operation = "get_object"
	opVMs       operation = "list_vms"

	opWeightsRate   operation = "weights_rate"
	opWeightsFetch  operation = "weights_fetch"
	opWeightsFinish operation = "weights_finish"
)

// reason names why a call failed, in metrics and errors.
type reason string

// The reasons of a failure.
const (
	reasonNotFound    reason = "not_found"    // the row or object does not exist
	reasonConflict    reason = "conflict"     // a condition failed
	reasonInvalid     reason = "invalid"      // the platform refused the call as malformed
	reasonConnect     reason = "connect"      // no connection could be opened
	reasonBusy        reason = "busy"         // no connection became free in time
	reasonBudget      reason = "budget"       // this client's write budget is used up
	reasonRefused     reason = "refused"      // the platform refused before applying
	reasonRateLimited reason = "rate_limited" // the platform's own limit is reached
	reasonReadOnly    reason = "read_only"    // the platform takes no writes
	reasonTimeout     reason = "timeout"      // no answer in time
	reasonCancelled   reason = "cancelled"    // the caller gave up
	reasonReplyLost   reason = "reply_lost"   // the connection broke before the answer was whole
	reasonBadReply    reason = "bad_reply"    // the answer was not the platform's
)

// Failure is the error of a platform call. errors.Is finds its kind (one of the
// package's errors) and its cause.
type Failure struct {
	// Kind is ErrNotFound, ErrConflict, ErrUnavailable, ErrUnknown or ErrInvalid.
	Kind error
	// Cause is the underlying error; it may be nil.
	Cause error

	op        operation
	reason    reason
	retryRead bool
}

// Error implements error.
func (f *Failure) Error() string {
	if f.Cause == nil {
		return fmt.Sprintf("%v (%s: %s)", f.Kind, f.op, f.reason)
	}
	return fmt.Sprintf("%v (%s: %s): %v", f.Kind, f.op, f.reason, f.Cause)
}

// Unwrap returns the kind and the cause.
func (f *Failure) Unwrap() []error {
	if f.Cause == nil {
		return []error{f.Kind}
	}
	return []error{f.Kind, f.Cause}
}

// Reason is the failure's label in the metrics, for example "reply_lost".
func (f *Failure) Reason() string { return string(f.reason) }

// forRead turns ErrUnknown into ErrUnavailable: a read has no effect.
func (f *Failure) forRead() *Failure {
	if errors.Is(f.Kind, ErrUnknown) {
		f.Kind = ErrUnavailable
	}
	return f
}

// fail counts a failure and returns it.
func (c *Client) fail(op operation, kind error, reason reason, cause error) *Failure {
	c.counters.failure(op, reason)
	return &Failure{Kind: kind, Cause: cause, op: op, reason: reason, retryRead: readMayRetry(kind, reason)}
}

func readMayRetry(kind error, reason reason) bool {
	if reason == reasonCancelled {
		return false
	}
	return errors.Is(kind, ErrUnavailable) || errors.Is(kind, ErrUnknown)
}
