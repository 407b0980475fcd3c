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
	"github.com/walnutcove/walnutcove/targets"
)

// refusals counts the calls to targets that gave no answer.
var refusals = codecounter.New("walnut_dispatch_refusals_total",
	result.ConnectFailed,
	result.TargetRefused,
	result.FirstByteTimeout,
	result.TargetLostRequest,
	result.TargetLeft,
	result.TargetError,
	result.CallerGone,
	result.DeadlineBeforeGrant,
)

// Filter sends the request to ex.Address and hands the answer to Relay.
type Filter struct {
	// Client calls targets.
	Client targets.Client
	// Relay takes the answer's body over; see filters/relay.
	Relay func(ctx context.Context, ex *pipeline.Exchange, answer *targets.Response) error
	// FirstByteTimeout bounds the wait for the answer's head.
	FirstByteTimeout time.Duration
	// Lag returns how late this process runs; nil: never.
	Lag func() time.Duration
	// Log gets a line at debug for each answer that begins.
	Log *slog.Logger
}

// lagPatience is how many times its own lateness a router adds to what it lets a
// target be silent: on its way through a busy router an answer waits several times.
const lagPatience = 10

// Name implements pipeline.Filter.
func (f *Filter) Name() string { return "dispatch" }

// Serve implements pipeline.Filter.
func (f *Filter) Serve(ctx context.Context, ex *pipeline.Exchange, _ pipeline.Handler) error {
	if err := checkBeforeDispatch(ex); err != nil {
		ex.Run.End(control.OutcomeNotRun)
		return err
	}
	if !ex.BeginSend() {
		refusals.Inc(result.DeadlineBeforeGrant)
		ex.Run.End(control.OutcomeNotRun)
		return result.New(result.DeadlineBeforeGrant, "The deadline passed before the request was sent.")
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
func (f *Filter) send(ctx context.Context, ex *pipeline.Exchange) (*targets.Response, error) {
	// On a busy router a request may have waited to be read for longer than its
	// caller did; the look is cheap against a run for nobody.
	if ex.HasCallerLeft() {
		return nil, result.New(result.CallerGone, "The caller went away.")
	}
	callCtx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(f.FirstByteTimeout, cancel)
	request := Request(ex, 0)
	request.FirstByteTimeout = f.firstByteTimeout(ex)
	answer, err := f.Client.Do(callCtx, request)
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
func Request(ex *pipeline.Exchange, offset int64) targets.Request {
	request := targets.Request{
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
		request.CallerLeft = ex.HasCallerLeft
		request.TargetServes = ex.TargetServes
		if !ex.OutlivesCaller() {
			request.OnCallerGone = ex.OnCallerGone
		}
		if ex.Stream && ex.Idempotent {
			request.StallTimeout = stallLimit(ex)
		}
	}
	return request
}

const (
	// leastPatience is the shortest silence of a target after which a request that
	// may run again goes to another one. Targets under load pause for some hundred
	// milliseconds; callers give a silent stream up after two seconds or more.
	leastPatience = 1200 * time.Millisecond
	// pausesPatience is that silence in pauses that are still on time.
	pausesPatience = 4
	// startPatience is that silence in times of the predicted start, behind
	// leastPatience: predictions are rarely off by more.
	startPatience = 3
)

// stallLimit is how long a target may be silent before a request that may run again
// is taken to another one.
func stallLimit(ex *pipeline.Exchange) time.Duration {
	pauses := pausesPatience * time.Duration(ex.Route.PauseMillis) * time.Millisecond
	return max(leastPatience+startPatience*ex.Placed.Start, pauses)
}

// firstByteTimeout bounds the wait for the answer's head: for a request that may
// run again elsewhere, by what a target may be silent.
func (f *Filter) firstByteTimeout(ex *pipeline.Exchange) time.Duration {
	if ex.Route == nil || !ex.Idempotent || ex.Attempt >= ex.Route.Attempts {
		return f.FirstByteTimeout
	}
	limit := stallLimit(ex)
	if f.Lag != nil {
		limit += lagPatience * f.Lag()
	}
	return min(f.FirstByteTimeout, limit)
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
