package store

import (
	"errors"
	"fmt"
)

// operation identifies a kind of call in metrics and errors.
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

// reason identifies why a call failed, in metrics and errors.
type reason string

// The reasons of a failure.
const (
	reasonNotFound    reason = "not_found"    // the row or object does not exist
	reasonConflict    reason = "conflict"     // a condition failed
	reasonInvalid     reason = "invalid"      // the platform rejected the call as malformed
	reasonConnect     reason = "connect"      // no connection could be opened
	reasonBusy        reason = "busy"         // no connection became free in time
	reasonBudget      reason = "budget"       // this client's write budget is exhausted
	reasonRefused     reason = "refused"      // the platform refused the call without applying it
	reasonRateLimited reason = "rate_limited" // the platform's own limit is reached
	reasonReadOnly    reason = "read_only"    // the platform takes no writes
	reasonTimeout     reason = "timeout"      // no response in time
	reasonCancelled   reason = "cancelled"    // the caller cancelled the call
	reasonReplyLost   reason = "reply_lost"   // the connection broke before the response was complete
	reasonBadReply    reason = "bad_reply"    // the response did not come from the platform
)

// Failure is the error of a platform call. errors.Is matches its kind (one of
// the package's errors) and its cause.
type Failure struct {
	// Kind is ErrNotFound, ErrConflict, ErrUnavailable, ErrUnknown or ErrInvalid.
	Kind error
	// Cause is the underlying error; it may be nil.
	Cause error

	op        operation
	reason    reason
	retryRead bool // whether a read may be retried after this failure
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

// Reason returns the reason as labelled in the metrics, for example "reply_lost".
func (f *Failure) Reason() string { return string(f.reason) }

// asReadFailure changes the kind ErrUnknown to ErrUnavailable, since a read has
// no effect.
func (f *Failure) asReadFailure() *Failure {
	if errors.Is(f.Kind, ErrUnknown) {
		f.Kind = ErrUnavailable
	}
	return f
}

// newFailure returns a failure and counts it.
func (c *Client) newFailure(op operation, kind error, reason reason, cause error) *Failure {
	c.counters.incFailures(op, reason)
	return &Failure{Kind: kind, Cause: cause, op: op, reason: reason, retryRead: isReadRetryable(kind, reason)}
}

func isReadRetryable(kind error, reason reason) bool {
	if reason == reasonCancelled {
		return false
	}
	return errors.Is(kind, ErrUnavailable) || errors.Is(kind, ErrUnknown)
}
