// Package runrecord is the guard filter that makes a non-idempotent request
// run at most once. It claims a run record before the rest of the pipeline
// runs, answers a resend from the record, and ends the record with the run.
// Idempotent requests pass straight through.
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
	// Keeper holds the run records.
	Keeper *runrecord.Keeper
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
	decision, err := f.Keeper.Claim(ctx, runrecord.Request{
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

// run runs the rest of the pipeline under the claim and sees that it is ended,
// at the latest with the exchange.
func (f *Filter) run(ctx context.Context, ex *pipeline.Exchange, next pipeline.Handler, claim *runrecord.Claim) error {
	ex.BeforeDispatch = append(ex.BeforeDispatch, claim.BeginDispatch)
	ex.OnEnd(func(err error) { endFailed(claim, err) })
	err := next(ctx, ex)
	switch {
	case err != nil:
		endFailed(claim, err)
	case ex.AnswerStream != nil:
		ex.AnswerStream = newCapture(ex, claim, f.Keeper.MaxStoredBytes())
	default:
		claim.Answered(outcomeOf(ex, ex.AnswerBody))
	}
	return err
}

// endFailed ends the claim of a request that was not answered whole. It has no
// effect on a claim that has ended.
func endFailed(claim *runrecord.Claim, err error) {
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

// outcomeOf is the answer as it is kept.
func outcomeOf(ex *pipeline.Exchange, body []byte) runrecord.Outcome {
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
