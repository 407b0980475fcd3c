// Package dispatch is the filter that sends a granted request to its target
// and waits for the head of the answer. It never retries: see filters/retry.
package dispatch

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/result"
	"github.com/walnutcove/walnutcove/result/codecounter"
	"github.com/walnutcove/walnutcove/target"
)

// refusals counts the calls to targets that gave no answer.
var refusals = codecounter.New("walnut_dispatch_refusals_total",
	result.ConnectFailed,
	result.TargetRefused,
	result.FirstByteTimeout,
	result.TargetLostRequest,
	result.TargetError,
	result.CallerGone,
)

// Filter sends the request to ex.Address and hands the answer to Relay.
type Filter struct {
	// Client calls targets.
	Client target.Client
	// Relay takes the answer's body over; see filters/relay.
	Relay func(ctx context.Context, ex *pipeline.Exchange, answer *target.Response) error
	// FirstByteTimeout bounds the wait for the answer's head.
	FirstByteTimeout time.Duration
	// Log gets a line at debug for each answer that begins.
	Log *slog.Logger
}

// Name implements pipeline.Filter.
func (f *Filter) Name() string { return "dispatch" }

// Serve implements pipeline.Filter.
func (f *Filter) Serve(ctx context.Context, ex *pipeline.Exchange, _ pipeline.Handler) error {
	if err := checkBeforeDispatch(ex); err != nil {
		ex.Run.End(control.OutcomeNotRun)
		return err
	}
	ctx = ex.RunContext(ctx)
	answer, err := f.send(ctx, ex)
	if err != nil {
		refusal := asResult(err)
		refusals.Inc(refusal.Code)
		ex.Run.End(OutcomeOf(refusal))
		return refusal
	}
	pipeline.Log(ctx, f.Log, slog.LevelDebug, ex, "dispatch: Answer began.", slog.Int("status", answer.Status))
	return f.Relay(ctx, ex, answer)
}

// send calls the target. A head that has arrived stays open until the exchange
// ends or ctx does, as it does when the caller of an idempotent request goes
// away.
func (f *Filter) send(ctx context.Context, ex *pipeline.Exchange) (*target.Response, error) {
	if ex.IsCallerGone() {
		return nil, result.New(result.CallerGone, "The caller went away.")
	}
	callCtx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(f.FirstByteTimeout, cancel)
	answer, err := f.Client.Do(callCtx, Request(ex, 0))
	timedOut := !timer.Stop()
	if err == nil && timedOut {
		answer.Body.Close()
		err = result.New(result.FirstByteTimeout, "The target did not answer within %s.", f.FirstByteTimeout)
	}
	if err == nil {
		ex.OnEnd(func(error) { cancel() })
		return answer, nil
	}
	cancel()
	if ex.IsAbandoned() {
		return nil, rename(err, result.CallerGone, "The caller went away.")
	}
	if timedOut {
		return nil, rename(err, result.FirstByteTimeout, "The target did not answer in time.")
	}
	return nil, err
}

// Request builds the call to the exchange's target. A resumed call starts at
// offset.
func Request(ex *pipeline.Exchange, offset int64) target.Request {
	request := target.Request{
		ID:      ex.ID,
		Address: ex.Address,
		Method:  ex.Method,
		Path:    ex.Path,
		Header:  ex.Header,
		Body:    ex.Body,
		Offset:  offset,
	}
	if ex.Route != nil {
		request.Host = ex.Host
		request.Workspace = ex.WorkspaceName
		request.Target = ex.Target
		request.Deadline = ex.Deadline
		request.AfterEvent = ex.AfterEvent
		request.FetchAddress = ex.FetchAddress
	}
	return request
}

// checkBeforeDispatch runs the last checks before any byte is written.
func checkBeforeDispatch(ex *pipeline.Exchange) error {
	for _, check := range ex.BeforeDispatch {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// OutcomeOf maps a failed call to the outcome that the scheduler is told.
func OutcomeOf(refusal *result.Error) control.Outcome {
	switch {
	case refusal.Code == result.ConnectFailed:
		return control.OutcomeUnreachable
	case refusal.Code == result.TargetRefused:
		return control.OutcomeRefused
	case refusal.Code == result.CallerGone:
		return control.OutcomeCancelled
	case refusal.Ran == result.RanNo:
		return control.OutcomeNotRun
	case refusal.Code == result.FirstByteTimeout:
		return control.OutcomeFailed
	default:
		return control.OutcomeLost
	}
}

// rename names a cancelled call after its cause, and keeps its outcome.
func rename(err error, code result.Code, detail string) error {
	renamed := result.Wrap(code, err, "%s", detail)
	renamed.Ran = asResult(err).Ran
	return renamed
}

func asResult(err error) *result.Error {
	var refusal *result.Error
	if errors.As(err, &refusal) {
		return refusal
	}
	return result.Wrap(result.TargetLostRequest, err, "The call to the target failed.")
}
