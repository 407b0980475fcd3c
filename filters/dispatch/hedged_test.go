package dispatch

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/filters/hedge"
	"github.com/walnutcove/walnutcove/filters/retry"
	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/result"
	"github.com/walnutcove/walnutcove/targets"
)

// newHedgedExchange returns an exchange that may run on another target while the first one is silent.
func newHedgedExchange() *pipeline.Exchange {
	return &pipeline.Exchange{
		ID: "r-1", Address: "127.0.0.1:1", Path: "/x", Target: "t1", Run: &recordedRun{}, Idempotent: true, Deadline: time.Now().Add(time.Hour),
		Route: &config.NamedRoute{Route: config.Route{Kind: config.RouteIdempotent, Attempts: 3}},
	}
}

// newHedgedFilter returns a filter for it.
func newHedgedFilter(client targets.Client, open hedge.Opener) *Filter {
	return &Filter{
		Client: client, Hedge: open, FirstByteTimeout: time.Hour, Log: slog.New(slog.DiscardHandler),
		Relay: func(context.Context, *pipeline.Exchange, *targets.Response) error { return nil },
	}
}

// TestAttemptsWithoutATargetLeaveRetries guards against a request that is refused after one failed run
// because another target was asked for in vain while that one was silent.
func TestAttemptsWithoutATargetLeaveRetries(t *testing.T) {
	asked, calls := make(chan struct{}, 10), 0
	client := &fakeTarget{do: func(context.Context) (*targets.Response, error) {
		if calls++; calls > 1 {
			return &targets.Response{Status: 200, Body: &closedBody{}}, nil
		}
		<-asked
		<-asked
		time.Sleep(50 * time.Millisecond)
		return nil, result.New(result.TargetLostRequest, "Reset.")
	}}
	open := func(context.Context, *pipeline.Exchange) (*targets.Response, error) {
		asked <- struct{}{}
		return nil, result.New(result.Overloaded, "Full.")
	}
	handler := pipeline.Chain(retry.New(slog.New(slog.DiscardHandler)), newHedgedFilter(client, open))
	if err := handler(context.Background(), newHedgedExchange()); err != nil || calls != 2 {
		t.Errorf("%d targets ran the request, of 3 that may; %v", calls, err)
	}
}

// TestRefusalTellsOfARunOnAnotherTarget guards against a request that is reported as not run although
// another target, which was asked while the first one was silent, may have run it.
func TestRefusalTellsOfARunOnAnotherTarget(t *testing.T) {
	failed := make(chan struct{})
	client := &fakeTarget{do: func(context.Context) (*targets.Response, error) {
		<-failed
		return nil, result.New(result.TargetRefused, "Full.")
	}}
	open := func(_ context.Context, attempt *pipeline.Exchange) (*targets.Response, error) {
		attempt.BeginSend()
		defer close(failed)
		return nil, result.New(result.TargetLostRequest, "Reset.")
	}
	err := newHedgedFilter(client, open).Serve(context.Background(), newHedgedExchange(), nil)
	var refusal *result.Error
	if !errors.As(err, &refusal) || refusal.Ran == result.RanNo {
		t.Errorf("got %v, ran %v", err, refusal.Ran)
	}
}
