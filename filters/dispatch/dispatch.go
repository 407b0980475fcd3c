// Package dispatch is the filter that sends a granted request to its target
// and waits for the answer's header, beside another target if the first one is silent:
// see filters/hedge. It never retries: see filters/retry.
package dispatch

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/control/speed"
	"github.com/walnutcove/walnutcove/filters/hedge"
	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/result"
	"github.com/walnutcove/walnutcove/result/codecounter"
	"github.com/walnutcove/walnutcove/targets"
)

// refusals counts the calls to targets that got no answer, by result code.
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

// overdueRuns counts the runs whose targets did not begin to answer by the deadline.
var overdueRuns = metrics.GetOrCreateCounter(`walnut_dispatch_overdue_runs_total`)

// overdueGrace is how long after its deadline a run without an answer is overdue. Targets are
// told the deadline and stop working then; the rest is for their answers to arrive.
const overdueGrace = time.Second

// Filter sends the request to ex.Address and hands the answer to Relay.
type Filter struct {
	// Client calls targets.
	Client targets.Client
	// Relay takes over the answer's body; see filters/relay.
	Relay func(ctx context.Context, ex *pipeline.Exchange, answer *targets.Response) error
	// FirstByteTimeout bounds the wait for the answer's header. On a route, the deadline does if it
	// is later.
	FirstByteTimeout time.Duration
	// Hedge sends an idempotent request to another target while the first one is silent; nil
	// means that it waits for the first one.
	Hedge hedge.Opener
	// Lag returns by how much this process lags behind; nil means that it never lags.
	Lag func() time.Duration
	// Log gets a debug line for each answer that begins.
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
	if !ex.BeginSend() {
		refusals.Inc(result.DeadlineBeforeGrant)
		ex.Run.End(control.OutcomeNotRun)
		return result.New(result.DeadlineBeforeGrant, "The deadline passed before the request was sent.")
	}
	ctx = ex.RunContext(ctx)
	ex.AnswerFraming = ""
	stop := f.watchDeadline(ctx, ex)
	answer, err := f.send(ctx, ex)
	stop()
	if err != nil {
		refusal := toResultError(err)
		refusals.Inc(refusal.Code)
		ex.Run.End(OutcomeOf(refusal))
		if f.Hedge != nil {
			refusal = raiseRan(ex, refusal)
		}
		return refusal
	}
	ex.AnswerFraming = answer.Framing
	pipeline.Log(ctx, f.Log, slog.LevelDebug, ex, "dispatch: Answer began.", slog.Int("status", answer.Status))
	return f.Relay(ctx, ex, answer)
}

// watchDeadline reports the run as overdue when its deadline has passed by overdueGrace, until
// stop is called. Only a run that outlives its caller can last so long.
func (f *Filter) watchDeadline(ctx context.Context, ex *pipeline.Exchange) (stop func() bool) {
	if ex.Route == nil || !ex.OutlivesCaller() {
		return func() bool { return true }
	}
	run, id, target := ex.Run, ex.ID, ex.Target
	return time.AfterFunc(time.Until(ex.Deadline)+overdueGrace, func() {
		overdueRuns.Inc()
		f.Log.WarnContext(ctx, "dispatch: Target has not answered by the deadline.", "request", id, "target", target)
		run.Overdue()
	}).Stop
}

// send calls the target and returns the answer once its header has arrived. The
// call stays open until the exchange ends or ctx does; ctx ends, for example, when
// the caller of an idempotent request disconnects.
func (f *Filter) send(ctx context.Context, ex *pipeline.Exchange) (*targets.Response, error) {
	// On a busy router the request may have waited longer than its caller did. Probing
	// the connection is cheap compared with a run that nobody waits for.
	if ex.IsCallerGoneNow() {
		return nil, result.New(result.CallerGone, "The caller went away.")
	}
	callCtx, cancel := context.WithCancel(ctx)
	limit := f.firstByteTimeout(ex)
	timer := time.AfterFunc(limit, cancel)
	request := Request(ex, 0)
	request.FirstByteTimeout = limit
	watch := f.watchSilence(ctx, ex)
	watch.Begin(cancel)
	answer, err := f.Client.Do(callCtx, request)
	other := watch.End(err != nil)
	watch.Stop()
	if reading := targets.LoadOf(answer, err); reading != (speed.Reading{}) {
		ex.Run.SetLoad(reading)
	}
	timedOut := !timer.Stop()
	if other != nil {
		f.replace(ex, other, answer, err)
		watch.Account()
		cancel()
		return other.Response, nil
	}
	watch.Account()
	if err == nil && timedOut {
		answer.Body.Close()
		err = result.New(result.FirstByteTimeout, "The target did not answer within %s.", limit)
	}
	if err == nil {
		ex.OnEnd(func(error) { cancel() })
		return answer, nil
	}
	cancel()
	if ex.IsAbandoned() {
		return nil, withCode(err, result.CallerGone, "The caller went away.")
	}
	if timedOut {
		return nil, withCode(err, result.FirstByteTimeout, "The target did not answer in time.")
	}
	return nil, err
}

// Request builds the call to the exchange's target. A resumed call starts after
// offset bytes of the answer's body.
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
		request.LastEventID = ex.LastEventID
		request.FetchAddress = ex.FetchAddress
		request.IsCallerGone = ex.IsCallerGoneNow
		request.TargetServes = ex.TargetServes
		if !ex.OutlivesCaller() {
			request.OnCallerGone = ex.OnCallerGone
		}
		// Silence alone ends no answer: the deadline does.
		request.StallTimeout = max(time.Until(ex.Deadline), time.Millisecond)
	}
	return request
}

// firstByteTimeout returns the limit of the wait for the answer's header.
func (f *Filter) firstByteTimeout(ex *pipeline.Exchange) time.Duration {
	if ex.Route == nil {
		return f.FirstByteTimeout
	}
	return max(f.FirstByteTimeout, time.Until(ex.Deadline))
}

// watchSilence begins to watch how long the target is silent, if the request may run on another one.
func (f *Filter) watchSilence(ctx context.Context, ex *pipeline.Exchange) *hedge.Watch {
	if f.Hedge == nil || ex.Route == nil || !ex.Idempotent {
		return nil
	}
	return hedge.New(ctx, ex, hedge.Options{
		Open:    f.Hedge,
		Limit:   func() time.Duration { return hedge.SilenceLimit(ex, f.Lag) },
		MaxRuns: ex.Route.Attempts,
		Events:  ex.Route.Kind == config.RouteStream,
		Log:     f.Log,
	})
}

// replace makes another target that of the exchange, in place of the one that answered with answer or
// failed with err.
func (f *Filter) replace(ex *pipeline.Exchange, other *hedge.Answer, answer *targets.Response, err error) {
	outcome := control.OutcomeCancelled
	if !other.Interrupted {
		refusal := toResultError(err)
		refusals.Inc(refusal.Code)
		outcome = OutcomeOf(refusal)
	}
	if answer != nil {
		_ = answer.Body.Close()
	}
	ex.Run.End(outcome)
	former := ex.Target
	ex.Adopt(other.Attempt)
	pipeline.Log(context.Background(), f.Log, slog.LevelWarn, ex, "dispatch: Another target answered first.", slog.String("silent_target", former), slog.Any("error", err))
}

// checkBeforeDispatch runs the last checks before any byte is written to the target.
func checkBeforeDispatch(ex *pipeline.Exchange) error {
	for _, check := range ex.BeforeDispatch {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// OutcomeOf maps a failed call to the outcome reported to the scheduler.
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

// raiseRan returns the refusal of a request with what is known of its other attempts: a request that
// may have run on a target that was asked beside this one is not reported as not run.
func raiseRan(ex *pipeline.Exchange, refusal *result.Error) *result.Error {
	if ex.EarlierRuns == 0 || refusal.Ran != result.RanNo {
		return refusal
	}
	raised := *refusal
	raised.Ran = result.RanUnknown
	return &raised
}

// withCode returns the error of a cancelled call with the result code of what cancelled
// it. It keeps the call's Ran value.
func withCode(err error, code result.Code, detail string) error {
	refusal := result.Wrap(code, err, "%s", detail)
	refusal.Ran = toResultError(err).Ran
	return refusal
}

func toResultError(err error) *result.Error {
	var refusal *result.Error
	if errors.As(err, &refusal) {
		return refusal
	}
	return result.Wrap(result.TargetLostRequest, err, "The call to the target failed.")
}
