package dispatch

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/control/speed"
	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/result"
	"github.com/walnutcove/walnutcove/targets"
)

// fakeTarget answers each call by calling do and records the calls.
type fakeTarget struct {
	do    func(ctx context.Context) (*targets.Response, error)
	calls []targets.Request
}

// Do implements targets.Client.
func (f *fakeTarget) Do(ctx context.Context, r targets.Request) (*targets.Response, error) {
	f.calls = append(f.calls, r)
	return f.do(ctx)
}

// Load implements targets.Client.
func (f *fakeTarget) Load(context.Context, string) (targets.Load, error) {
	return targets.Load{}, errors.New("not used in this test")
}

// recordedRun records the outcomes that a run was ended with; only the first counts.
type recordedRun struct {
	outcomes []control.Outcome
	loads    []speed.Reading
}

// Begin implements pipeline.Run.
func (e *recordedRun) Begin() {}

// Overdue implements pipeline.Run.
func (e *recordedRun) Overdue() {}

// Silent implements pipeline.Run.
func (e *recordedRun) Silent() {}

// SetLoad implements pipeline.Run.
func (e *recordedRun) SetLoad(reading speed.Reading) { e.loads = append(e.loads, reading) }

// End implements pipeline.Run.
func (e *recordedRun) End(outcome control.Outcome) { e.outcomes = append(e.outcomes, outcome) }

type closedBody struct {
	io.Reader
	closed bool
}

// Close implements io.Closer.
func (c *closedBody) Close() error {
	c.closed = true
	return nil
}

// serve runs the filter and returns the refusal, if there is one.
func serve(ctx context.Context, f *Filter, ex *pipeline.Exchange) (*result.Error, *recordedRun) {
	run := &recordedRun{}
	ex.ID, ex.Address, ex.Path, ex.Run = "r-1", "127.0.0.1:1", "/x", run
	f.Log = slog.New(slog.DiscardHandler)
	if f.FirstByteTimeout == 0 {
		f.FirstByteTimeout = time.Hour
	}
	var refusal *result.Error
	errors.As(f.Serve(ctx, ex, nil), &refusal)
	return refusal, run
}

func TestFailureOutcomes(t *testing.T) {
	notRun := result.New(result.TargetError, "Bad head.")
	notRun.Ran = result.RanNo
	for _, c := range []struct {
		err     error
		code    result.Code
		ran     result.Ran
		outcome control.Outcome
	}{
		{result.New(result.ConnectFailed, "No."), result.ConnectFailed, result.RanNo, control.OutcomeUnreachable},
		{result.New(result.TargetRefused, "Full."), result.TargetRefused, result.RanNo, control.OutcomeRefused},
		{result.New(result.TargetLostRequest, "Reset."), result.TargetLostRequest, result.RanUnknown, control.OutcomeLost},
		{result.New(result.FirstByteTimeout, "Slow."), result.FirstByteTimeout, result.RanUnknown, control.OutcomeFailed},
		{notRun, result.TargetError, result.RanNo, control.OutcomeNotRun},
		{errors.New("no code"), result.TargetLostRequest, result.RanUnknown, control.OutcomeLost},
	} {
		f := &Filter{Client: &fakeTarget{do: func(context.Context) (*targets.Response, error) { return nil, c.err }}}
		before := refusals.Get(c.code)
		refusal, run := serve(context.Background(), f, &pipeline.Exchange{})
		if refusal == nil || refusal.Code != c.code || refusal.Ran != c.ran {
			t.Errorf("%v: got %v", c.err, refusal)
		}
		if len(run.outcomes) != 1 || run.outcomes[0] != c.outcome {
			t.Errorf("%v: outcomes %v", c.err, run.outcomes)
		}
		if refusals.Get(c.code) != before+1 {
			t.Errorf("%v: not counted", c.err)
		}
	}
}

func TestRefusalByBeforeDispatchCheck(t *testing.T) {
	client := &fakeTarget{}
	lapsed := result.New(result.RecordLapsed, "Lapsed.")
	ex := &pipeline.Exchange{BeforeDispatch: []func() error{
		func() error { return nil },
		func() error { return lapsed },
	}}
	refusal, run := serve(context.Background(), &Filter{Client: client}, ex)
	if refusal != lapsed || len(client.calls) != 0 || run.outcomes[0] != control.OutcomeNotRun {
		t.Errorf("got %v after %d calls, outcomes %v", refusal, len(client.calls), run.outcomes)
	}
}

// blockUntilCancelled returns a target that does not answer: its call ends with ctx.
func blockUntilCancelled(started chan<- struct{}, ran result.Ran) func(context.Context) (*targets.Response, error) {
	return func(ctx context.Context) (*targets.Response, error) {
		close(started)
		<-ctx.Done()
		err := result.New(result.CallerGone, "Cancelled.")
		err.Ran = ran
		return nil, err
	}
}

// TestCallerGoneCancelsTheCall checks that a call ends with its context. The server for
// callers ends that context when the caller disconnects; nothing else watches for it.
func TestCallerGoneCancelsTheCall(t *testing.T) {
	for _, ran := range []result.Ran{result.RanNo, result.RanUnknown} {
		ctx, cancel := context.WithCancel(context.Background())
		gone, started := make(chan struct{}), make(chan struct{})
		go func() {
			<-started
			close(gone)
			cancel()
		}()
		f := &Filter{Client: &fakeTarget{do: blockUntilCancelled(started, ran)}}
		refusal, run := serve(ctx, f, &pipeline.Exchange{CallerGone: gone})
		if refusal == nil || refusal.Code != result.CallerGone || refusal.Ran != ran || run.outcomes[0] != control.OutcomeCancelled {
			t.Errorf("ran %s: got %v, outcomes %v", ran, refusal, run.outcomes)
		}
	}
}

// TestNonIdempotentRunOutlivesItsCaller checks that only a forced stop of the router ends
// the call of a non-idempotent request, and that an idempotent one ends with its caller.
func TestNonIdempotentRunOutlivesItsCaller(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		serving, stop := context.WithCancel(context.Background())
		ctx, cancel := context.WithCancel(serving)
		gone, wasCallAlive := make(chan struct{}), false
		f := &Filter{Client: &fakeTarget{do: func(call context.Context) (*targets.Response, error) {
			close(gone)
			cancel()
			wasCallAlive = call.Err() == nil
			stop()
			<-call.Done()
			return nil, result.New(result.TargetLostRequest, "Cut.")
		}}}
		ex := &pipeline.Exchange{CallerGone: gone, ServingContext: serving, Idempotent: idempotent}
		refusal, run := serve(ctx, f, ex)
		code, outcome := result.TargetLostRequest, control.OutcomeLost
		if idempotent {
			code, outcome = result.CallerGone, control.OutcomeCancelled
		}
		if wasCallAlive == idempotent || refusal == nil || refusal.Code != code || run.outcomes[0] != outcome {
			t.Errorf("idempotent %t: call alive %t, got %v, outcomes %v", idempotent, wasCallAlive, refusal, run.outcomes)
		}
	}
}

// TestOverdueRunIsReported guards against a scheduler that is not told that a target has not
// answered a non-idempotent request by its deadline, which the run outlives.
func TestOverdueRunIsReported(t *testing.T) {
	overdue := make(signallingRun, 1)
	f := &Filter{Client: &fakeTarget{do: func(context.Context) (*targets.Response, error) {
		select {
		case <-overdue:
		case <-time.After(10 * time.Second):
			t.Error("not reported 10 s after the deadline")
		}
		return nil, result.New(result.FirstByteTimeout, "Slow.")
	}}, Log: slog.New(slog.DiscardHandler), FirstByteTimeout: time.Hour}
	ex := &pipeline.Exchange{
		ID: "r-1", Route: &config.NamedRoute{Route: config.Route{Kind: config.RouteNonIdempotent}}, Deadline: time.Now().Add(10 * time.Millisecond),
		ServingContext: context.Background(), Run: overdue,
	}
	if err := f.Serve(context.Background(), ex, nil); err == nil {
		t.Error("the call did not fail")
	}
}

// signallingRun signals that it is overdue.
type signallingRun chan struct{}

// Begin implements pipeline.Run.
func (signallingRun) Begin() {}

// Overdue implements pipeline.Run.
func (r signallingRun) Overdue() { close(r) }

// Silent implements pipeline.Run.
func (signallingRun) Silent() {}

// SetLoad implements pipeline.Run.
func (signallingRun) SetLoad(speed.Reading) {}

// End implements pipeline.Run.
func (signallingRun) End(control.Outcome) {}

// TestNoCallForKnownGoneCaller checks that a request whose caller is known to have
// disconnected is refused as not run.
func TestNoCallForKnownGoneCaller(t *testing.T) {
	gone := make(chan struct{})
	close(gone)
	client := &fakeTarget{}
	ex := &pipeline.Exchange{CallerGone: gone, ServingContext: context.Background()}
	refusal, run := serve(context.Background(), &Filter{Client: client}, ex)
	if refusal == nil || refusal.Code != result.CallerGone || refusal.Ran != result.RanNo || len(client.calls) != 0 || len(run.outcomes) != 1 {
		t.Errorf("got %v after %d calls, outcomes %v", refusal, len(client.calls), run.outcomes)
	}
}

func TestSlowTargetTimesOut(t *testing.T) {
	f := &Filter{FirstByteTimeout: time.Millisecond}
	f.Client = &fakeTarget{do: blockUntilCancelled(make(chan struct{}), result.RanUnknown)}
	refusal, run := serve(context.Background(), f, &pipeline.Exchange{})
	if refusal == nil || refusal.Code != result.FirstByteTimeout || refusal.Ran != result.RanUnknown || run.outcomes[0] != control.OutcomeFailed {
		t.Errorf("got %v, outcomes %v", refusal, run.outcomes)
	}
	// The header arrives just as the timeout fires: the answer must not be used.
	body := &closedBody{}
	f.Client = &fakeTarget{do: func(ctx context.Context) (*targets.Response, error) {
		<-ctx.Done()
		return &targets.Response{Status: 200, Body: body}, nil
	}}
	refusal, _ = serve(context.Background(), f, &pipeline.Exchange{})
	if refusal == nil || refusal.Code != result.FirstByteTimeout || !body.closed {
		t.Errorf("got %v, body closed %t", refusal, body.closed)
	}
}

// TestCallLastsUntilTheExchangeEnds guards against ending the call when Serve returns:
// the answer's body is read after that.
func TestCallLastsUntilTheExchangeEnds(t *testing.T) {
	var call context.Context
	f := &Filter{
		Client: &fakeTarget{do: func(ctx context.Context) (*targets.Response, error) {
			call = ctx
			return &targets.Response{Status: 200}, nil
		}},
		Relay: func(context.Context, *pipeline.Exchange, *targets.Response) error { return nil },
	}
	ex := &pipeline.Exchange{}
	if refusal, run := serve(context.Background(), f, ex); refusal != nil || len(run.outcomes) != 0 || call.Err() != nil {
		t.Fatalf("got %v, outcomes %v, call %v", refusal, run.outcomes, call.Err())
	}
	ex.End(nil)
	if call.Err() == nil {
		t.Error("the call's context outlives the exchange")
	}
}

// TestNoCallWhenProbeFindsCallerGone checks that no run begins for a caller whose
// connection is found closed right before the request is sent.
func TestNoCallWhenProbeFindsCallerGone(t *testing.T) {
	f := &fakeTarget{do: func(context.Context) (*targets.Response, error) {
		return nil, errors.New("called")
	}}
	ex := &pipeline.Exchange{CallerGone: make(chan struct{}), ProbeCallerGone: func() bool { return true }}
	refusal, run := serve(context.Background(), &Filter{Client: f}, ex)
	if len(f.calls) != 0 || refusal == nil || refusal.Code != result.CallerGone || refusal.Ran != result.RanNo {
		t.Errorf("%d calls, %v", len(f.calls), refusal)
	}
	if len(run.outcomes) == 0 || run.outcomes[0] != control.OutcomeCancelled {
		t.Errorf("outcomes %v", run.outcomes)
	}
}

// TestLoadIsSetAsTheHeadArrives guards against a target's load that is lost with a refusal or
// recorded too late: it must be known before the answer is relayed or the run ends.
func TestLoadIsSetAsTheHeadArrives(t *testing.T) {
	want := speed.Reading{Running: 3, Slots: 8, Percent: 250}
	loadsAtRelay := -1
	f := &Filter{
		Client: &fakeTarget{do: func(context.Context) (*targets.Response, error) {
			return &targets.Response{Load: want, Body: io.NopCloser(nil)}, nil
		}},
		Relay: func(_ context.Context, ex *pipeline.Exchange, _ *targets.Response) error {
			loadsAtRelay = len(ex.Run.(*recordedRun).loads)
			return nil
		},
	}
	if _, run := serve(context.Background(), f, &pipeline.Exchange{}); loadsAtRelay != 1 || run.loads[0] != want {
		t.Errorf("%d loads when the answer was relayed; loads %+v", loadsAtRelay, run.loads)
	}
	f.Client = &fakeTarget{do: func(context.Context) (*targets.Response, error) {
		return nil, result.New(result.ConnectFailed, "No.")
	}}
	if _, run := serve(context.Background(), f, &pipeline.Exchange{}); len(run.loads) != 0 {
		t.Errorf("loads %+v of a target that did not answer", run.loads)
	}
}

// TestSilentTargetIsAwaitedToTheDeadline guards against a request on a route that is given up before its
// deadline because its target has not answered yet.
func TestSilentTargetIsAwaitedToTheDeadline(t *testing.T) {
	f := &Filter{FirstByteTimeout: time.Millisecond, Relay: func(context.Context, *pipeline.Exchange, *targets.Response) error { return nil }}
	f.Client = &fakeTarget{do: func(ctx context.Context) (*targets.Response, error) {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(50 * time.Millisecond):
			return &targets.Response{Status: 200, Body: &closedBody{}}, nil
		}
	}}
	for _, kind := range []config.RouteKind{config.RouteIdempotent, config.RouteNonIdempotent} {
		ex := &pipeline.Exchange{Route: &config.NamedRoute{Route: config.Route{Kind: kind}}, Deadline: time.Now().Add(time.Hour), ServingContext: context.Background()}
		if refusal, _ := serve(context.Background(), f, ex); refusal != nil {
			t.Errorf("%v: %v", kind, refusal)
		}
	}
}
