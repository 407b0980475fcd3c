package hedge

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/control/speed"
	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/result"
	"github.com/walnutcove/walnutcove/targets"
)

const (
	// testLimit is the limit on a target's silence.
	testLimit = 20 * time.Millisecond
	// testTimeout limits every wait for an event that must come.
	testTimeout = 5 * time.Second
)

// countedRun counts what is reported of a run.
type countedRun struct{ silences, ends atomic.Int32 }

// Begin implements pipeline.Run.
func (*countedRun) Begin() {}

// Silent implements pipeline.Run.
func (r *countedRun) Silent() { r.silences.Add(1) }

// Overdue implements pipeline.Run.
func (*countedRun) Overdue() {}

// SetLoad implements pipeline.Run.
func (*countedRun) SetLoad(speed.Reading) {}

// End implements pipeline.Run.
func (r *countedRun) End(control.Outcome) { r.ends.Add(1) }

// fixture is a watch whose other target is opened by a test.
type fixture struct {
	ex       *pipeline.Exchange
	run      *countedRun
	watch    *Watch
	attempts chan *pipeline.Exchange
	// open is how the other target answers.
	open Opener
}

func newFixture(t *testing.T, open Opener) *fixture {
	f := &fixture{run: &countedRun{}, attempts: make(chan *pipeline.Exchange, 100), open: open}
	f.ex = &pipeline.Exchange{
		ID: "r-1", Attempt: 1, Target: "engine-1", Run: f.run, Route: &config.NamedRoute{},
		Deadline: time.Now().Add(time.Hour), CallerGone: make(chan struct{}),
	}
	f.watch = New(context.Background(), f.ex, Options{
		Open: func(ctx context.Context, attempt *pipeline.Exchange) (*targets.Response, error) {
			attempt.Run = &countedRun{}
			f.attempts <- attempt
			return f.open(ctx, attempt)
		},
		Limit: func() time.Duration { return testLimit },
		Log:   slog.New(slog.DiscardHandler),
	})
	t.Cleanup(f.watch.Stop)
	return f
}

// answerOf returns an opener whose target answers with a body.
func answerOf(body string) Opener {
	return func(_ context.Context, attempt *pipeline.Exchange) (*targets.Response, error) {
		attempt.Target = "engine-2"
		attempt.BeginSend()
		return &targets.Response{Status: 200, Body: io.NopCloser(strings.NewReader(body))}, nil
	}
}

// silentTarget is an opener whose target does not answer until its call ends.
func silentTarget(ctx context.Context, attempt *pipeline.Exchange) (*targets.Response, error) {
	attempt.BeginSend()
	<-ctx.Done()
	cancelled := result.New(result.CallerGone, "Cancelled.")
	cancelled.Ran = result.RanUnknown
	return nil, cancelled
}

// failingWith returns an opener whose target fails the request.
func failingWith(target string, code result.Code) Opener {
	return func(_ context.Context, attempt *pipeline.Exchange) (*targets.Response, error) {
		attempt.Target = target
		attempt.BeginSend()
		return nil, result.New(code, "Failed.")
	}
}

// refusing is an opener that has no target.
func refusing(context.Context, *pipeline.Exchange) (*targets.Response, error) {
	return nil, result.New(result.Overloaded, "Full.")
}

// wait waits for the target until ended or interrupted, and returns the other answer.
func (f *fixture) wait(t *testing.T, ended <-chan struct{}, broke bool) *Answer {
	t.Helper()
	interrupted := make(chan struct{}, 1)
	f.watch.Begin(func() { interrupted <- struct{}{} })
	select {
	case <-ended:
	case <-interrupted:
	case <-time.After(testTimeout):
		t.Fatal("the wait did not end")
	}
	return f.watch.End(broke)
}

// TestOtherTargetContinuesWhileTheFirstIsSilent checks that the answer of another target, once it has
// begun, ends the wait for a silent one, with all of its bytes.
func TestOtherTargetContinuesWhileTheFirstIsSilent(t *testing.T) {
	f := newFixture(t, answerOf("id: 3\n\n"))
	other := f.wait(t, nil, false)
	if other == nil || !other.Interrupted {
		t.Fatalf("got %+v", other)
	}
	if body, err := io.ReadAll(other.Response.Body); string(body) != "id: 3\n\n" || err != nil {
		t.Errorf("body %q, %v", body, err)
	}
	a := other.Attempt
	if a.Attempt != 2 || a.EarlierRuns != 1 || len(a.Excluded) != 1 || a.Excluded[0] != "engine-1" {
		t.Errorf("attempt %d, %d earlier runs, excluded %v", a.Attempt, a.EarlierRuns, a.Excluded)
	}
	if f.run.silences.Load() != 1 || f.run.ends.Load() != 0 {
		t.Errorf("%d silences reported, run ended %d times", f.run.silences.Load(), f.run.ends.Load())
	}
	f.ex.Adopt(a)
	f.ex.End(nil)
	if a.Run.(*countedRun).ends.Load() != 0 || f.ex.Target != "engine-2" || f.ex.Run != a.Run {
		t.Errorf("adopted target %s", f.ex.Target)
	}
}

// TestSilentTargetIsKeptUntilAnotherAnswers guards against giving up a target that is silent for a time
// and then goes on, because another one was asked, is silent too, or cannot be had.
func TestSilentTargetIsKeptUntilAnotherAnswers(t *testing.T) {
	for name, open := range map[string]Opener{"other is silent": silentTarget, "no other": refusing} {
		f := newFixture(t, open)
		speaks := make(chan struct{})
		go func() {
			<-f.attempts
			time.Sleep(2 * testLimit)
			close(speaks)
		}()
		if other := f.wait(t, speaks, false); other != nil {
			t.Errorf("%s: the first target was given up for %s", name, other.Attempt.Target)
		}
		f.watch.Stop()
		if f.run.ends.Load() != 0 {
			t.Errorf("%s: the run of the first target was ended", name)
		}
	}
}

// TestAttemptIsCancelledOnceTheFirstTargetContinues guards against two targets that work on one request
// after the first has gone on, and against a retry limit that does not count the second.
func TestAttemptIsCancelledOnceTheFirstTargetContinues(t *testing.T) {
	ended := make(chan struct{})
	f := newFixture(t, func(ctx context.Context, attempt *pipeline.Exchange) (*targets.Response, error) {
		defer close(ended)
		return silentTarget(ctx, attempt)
	})
	speaks := make(chan struct{})
	go func() {
		<-f.attempts
		close(speaks)
	}()
	f.wait(t, speaks, false)
	select {
	case <-ended:
	case <-time.After(testTimeout):
		t.Fatal("the attempt was not cancelled")
	}
	f.watch.Stop()
	f.watch.Account()
	if f.ex.Attempt != 2 || f.ex.EarlierRuns != 1 {
		t.Errorf("attempt %d, %d earlier runs", f.ex.Attempt, f.ex.EarlierRuns)
	}
}

// TestBreakWaitsForTheAttemptInProgress guards against a stream that is cut because its target broke off
// just before another one, which had been asked, answered.
func TestBreakWaitsForTheAttemptInProgress(t *testing.T) {
	broken := make(chan struct{})
	f := newFixture(t, func(ctx context.Context, attempt *pipeline.Exchange) (*targets.Response, error) {
		close(broken)
		time.Sleep(testLimit)
		return answerOf("rest")(ctx, attempt)
	})
	if other := f.wait(t, broken, true); other == nil || other.Interrupted {
		t.Errorf("got %+v", other)
	}
}

// TestFailedAttemptIsRepeated checks that a target that stays silent has another one asked for again,
// beside those that failed the request, and not counted as run where they refused it.
func TestFailedAttemptIsRepeated(t *testing.T) {
	f := newFixture(t, nil)
	tries := 0
	f.open = func(ctx context.Context, attempt *pipeline.Exchange) (*targets.Response, error) {
		if tries++; tries < 3 {
			return refusing(ctx, attempt)
		}
		return answerOf("x")(ctx, attempt)
	}
	other := f.wait(t, nil, false)
	if other == nil || other.Attempt.Attempt != 4 || other.Attempt.EarlierRuns != 1 {
		t.Errorf("got %+v", other)
	}
}

// TestNextTargetIsAskedWhereOneFails guards against a stream that is cut, or that waits for a silent
// target, because the first other target that was asked refused the request or failed it.
func TestNextTargetIsAskedWhereOneFails(t *testing.T) {
	for _, c := range []struct {
		code result.Code
		runs int
	}{{result.ConnectFailed, 1}, {result.TargetRefused, 1}, {result.TargetLeft, 1}, {result.TargetLostRequest, 2}, {result.StreamBroken, 2}} {
		f := newFixture(t, nil)
		tries := 0
		f.open = func(ctx context.Context, attempt *pipeline.Exchange) (*targets.Response, error) {
			if tries++; tries == 1 {
				return failingWith("engine-3", c.code)(ctx, attempt)
			}
			return answerOf("x")(ctx, attempt)
		}
		other, err := f.watch.Open()
		if err != nil || other.Attempt.EarlierRuns != c.runs || !slices.Equal(other.Attempt.Excluded, []string{"engine-1", "engine-3"}) {
			t.Errorf("%v: got %+v, %v", c.code, other, err)
		}
	}
}

// TestOpenReturnsWhyThereIsNoTarget checks the attempt after a break.
func TestOpenReturnsWhyThereIsNoTarget(t *testing.T) {
	f := newFixture(t, refusing)
	var refusal *result.Error
	if _, err := f.watch.Open(); !errors.As(err, &refusal) || refusal.Code != result.Overloaded {
		t.Errorf("got %v", err)
	}
	f.open = answerOf("x")
	if other, err := f.watch.Open(); err != nil || other.Interrupted {
		t.Errorf("got %+v, %v", other, err)
	}
}

// TestStopCancelsTheAttempt guards against an attempt that outlives its request.
func TestStopCancelsTheAttempt(t *testing.T) {
	f := newFixture(t, silentTarget)
	f.watch.Begin(func() {})
	attempt := <-f.attempts
	f.watch.Stop()
	deadline := time.Now().Add(testTimeout)
	for attempt.Run.(*countedRun).ends.Load() == 0 && time.Now().Before(deadline) {
		f.watch.mu.Lock()
		left := len(f.watch.openings)
		f.watch.mu.Unlock()
		if left == 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Error("the attempt did not end")
}
