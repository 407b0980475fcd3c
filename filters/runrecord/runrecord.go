// Package runrecord is the filter of the guard stage that ensures that a non-idempotent
// request runs at most once. It claims a run record before the rest of the pipeline
// runs, answers a resend from the record, and ends the claim with the run's outcome.
// Idempotent requests pass through unchanged.
package runrecord

import (
	"context"
	"errors"
	"maps"

	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/result"
	"github.com/walnutcove/walnutcove/runrecord"
)

// ReplayedHeader marks an answer that was given from a run record.
const ReplayedHeader = "Walnut-Replayed"

// Filter claims run records.
type Filter struct {
	// Manager claims the run records.
	Manager *runrecord.Manager
}

// Name implements pipeline.Filter.
func (f *Filter) Name() string { return "runrecord" }

// Serve implements pipeline.Filter.
func (f *Filter) Serve(ctx context.Context, ex *pipeline.Exchange, next pipeline.Handler) error {
	if ex.Idempotent {
		return next(ctx, ex)
	}
	if ex.IdempotencyKey == "" {
		return result.New(result.IdempotencyKeyMissing, "A non-idempotent request needs an Idempotency-Key.")
	}
	decision, err := f.Manager.Claim(ctx, runrecord.Request{
		Workspace:      ex.WorkspaceName,
		IdempotencyKey: ex.IdempotencyKey,
		Fingerprint:    ex.Fingerprint,
	})
	if err != nil {
		return err
	}
	if decision.Replay != nil {
		replay(ex, decision.Replay)
		return nil
	}
	return f.run(ctx, ex, next, decision.Claim)
}

// run runs the rest of the pipeline under the claim and ensures that the claim is
// ended, at the latest when the exchange ends.
func (f *Filter) run(ctx context.Context, ex *pipeline.Exchange, next pipeline.Handler, claim *runrecord.Claim) error {
	ex.BeforeDispatch = append(ex.BeforeDispatch, claim.BeginDispatch)
	ex.OnEnd(func(err error) { endClaimFailed(claim, err) })
	err := next(ctx, ex)
	switch {
	case err != nil:
		endClaimFailed(claim, err)
	case ex.AnswerStream != nil:
		ex.AnswerStream = newCapturedStream(ex, claim, f.Manager.MaxStoredBytes())
	default:
		claim.Answered(newOutcome(ex, ex.AnswerBody))
	}
	return err
}

// endClaimFailed ends the claim of a request that was not answered completely. It
// has no effect on a claim that has ended.
func endClaimFailed(claim *runrecord.Claim, err error) {
	var refusal *result.Error
	if !errors.As(err, &refusal) {
		claim.Unknown(result.StreamBroken)
		return
	}
	if refusal.Ran == result.RanNo {
		claim.NotRun(refusal.Code)
		return
	}
	claim.Unknown(refusal.Code)
}

// newOutcome returns the exchange's answer in the form stored in the run record.
func newOutcome(ex *pipeline.Exchange, body []byte) runrecord.Outcome {
	return runrecord.Outcome{Status: ex.Status, Header: maps.Clone(ex.AnswerHeader), Body: body}
}

// replay sets the answer from a run record.
func replay(ex *pipeline.Exchange, outcome *runrecord.Outcome) {
	ex.Status = outcome.Status
	ex.AnswerHeader = maps.Clone(outcome.Header)
	if ex.AnswerHeader == nil {
		ex.AnswerHeader = make(map[string]string)
	}
	ex.AnswerHeader[ReplayedHeader] = "true"
	ex.AnswerBody = outcome.Body
}
