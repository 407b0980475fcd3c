package hedge

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/targets"
)

// firstSilent is an opener whose first target is silent; all others answer.
func firstSilent() Opener {
	var calls atomic.Int32
	return func(ctx context.Context, attempt *pipeline.Exchange) (*targets.Response, error) {
		if calls.Add(1) == 1 {
			return silentTarget(ctx, attempt)
		}
		return answerOf("x")(ctx, attempt)
	}
}

// TestOpenDoesNotWaitForASilentTarget guards against a broken stream that waits to its deadline for the
// one target that was asked, while others would answer.
func TestOpenDoesNotWaitForASilentTarget(t *testing.T) {
	f := newFixture(t, firstSilent())
	opened := make(chan *Answer, 1)
	go func() {
		other, _ := f.watch.Open()
		opened <- other
	}()
	select {
	case other := <-opened:
		if other == nil {
			t.Error("no other target answered")
		}
	case <-time.After(50 * testLimit):
		t.Errorf("still waits for a silent target after 50 limits, %d targets asked", len(f.attempts))
	}
}

// TestThirdTargetIsAskedWhileTwoAreSilent guards against a request that waits to its deadline for two
// silent targets, while others would answer.
func TestThirdTargetIsAskedWhileTwoAreSilent(t *testing.T) {
	f := newFixture(t, firstSilent())
	interrupted := make(chan struct{}, 1)
	f.watch.Begin(func() { interrupted <- struct{}{} })
	select {
	case <-interrupted:
	case <-time.After(50 * testLimit):
		t.Errorf("two silent targets after 50 limits, %d other targets asked", len(f.attempts))
	}
}

// TestLimitIsNotCalledBetweenWaits guards against a data race: the limit depends on the exchange, which
// the owner of the watch changes between its waits.
func TestLimitIsNotCalledBetweenWaits(t *testing.T) {
	var owned atomic.Bool
	var calls atomic.Int32
	ex := newFixture(t, refusing).ex
	watch := New(context.Background(), ex, Options{Open: refusing, Limit: func() time.Duration {
		if owned.Load() {
			calls.Add(1)
		}
		return testLimit + ex.Placement.PredictedStart
	}})
	defer watch.Stop()
	watch.Begin(func() {})
	watch.End(false)
	owned.Store(true)
	ex.Adopt(&pipeline.Exchange{})
	time.Sleep(5 * testLimit)
	if n := calls.Load(); n > 0 {
		t.Errorf("the limit was asked for %d times while the owner had the exchange", n)
	}
}

// TestStoppedWatchAsksNoTarget guards against an attempt for a caller that has left: a watch stops when
// its stream is closed, which looks like a target that broke off.
func TestStoppedWatchAsksNoTarget(t *testing.T) {
	f := newFixture(t, answerOf("x"))
	f.watch.Stop()
	if _, err := f.watch.Open(); err == nil || len(f.attempts) > 0 {
		t.Errorf("%d targets asked after Stop, error %v", len(f.attempts), err)
	}
}

// TestSilenceIsReportedOnce guards against a target that rests ever longer for one silence.
func TestSilenceIsReportedOnce(t *testing.T) {
	f := newFixture(t, refusing)
	f.watch.Begin(func() {})
	time.Sleep(10 * testLimit)
	f.watch.End(false)
	if n := f.run.silences.Load(); n != 1 {
		t.Errorf("one silence was reported %d times", n)
	}
}
