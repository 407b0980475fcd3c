package retry

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/result"
)

func newFilter() *Filter { return New(slog.New(slog.DiscardHandler)) }

// serveAttempts runs the filter with attempts that fail one after another, on targets
// named t1, t2 and so on; attempts after the last failure are answered. It returns the
// refusal, if any, and the number of attempts.
func serveAttempts(ctx context.Context, f *Filter, ex *pipeline.Exchange, failures ...*result.Error) (*result.Error, int) {
	count := 0
	err := f.Serve(ctx, ex, func(context.Context, *pipeline.Exchange) error {
		count++
		ex.Target = fmt.Sprintf("t%d", count)
		if count > len(failures) {
			return nil
		}
		return failures[count-1]
	})
	var refusal *result.Error
	errors.As(err, &refusal)
	return refusal, count
}

func newExchange(idempotent bool) *pipeline.Exchange {
	return &pipeline.Exchange{Idempotent: idempotent, Deadline: time.Now().Add(time.Hour)}
}

// TestRanCoversAllAttempts guards against reporting a request as not run because a later
// attempt did not run, although an earlier attempt was lost and may have run.
func TestRanCoversAllAttempts(t *testing.T) {
	lost := result.New(result.TargetLostRequest, "lost")
	noTarget := result.New(result.NoTarget, "none")
	unreached := result.New(result.ConnectFailed, "unreached")
	for _, c := range []struct {
		failures []*result.Error
		code     result.Code
		ran      result.Ran
	}{
		{[]*result.Error{lost, noTarget}, result.NoTarget, result.RanUnknown},
		{[]*result.Error{unreached, lost, unreached}, result.ConnectFailed, result.RanUnknown},
		{[]*result.Error{unreached, noTarget}, result.NoTarget, result.RanNo},
	} {
		got, count := serveAttempts(context.Background(), newFilter(), newExchange(true), c.failures...)
		if got == nil || got.Code != c.code || got.Ran != c.ran || count != len(c.failures) {
			t.Errorf("%v: got %v, ran %v after %d attempts", c.failures, got, got.Ran, count)
		}
	}
	if noTarget.Ran != result.RanNo {
		t.Error("a refusal of an earlier request was changed")
	}
}

// TestRetriedCodes checks for every result code whether it leads to a retry.
func TestRetriedCodes(t *testing.T) {
	always := []result.Code{result.ConnectFailed, result.TargetRefused, result.TargetLeft}
	ifIdempotent := []result.Code{result.TargetLostRequest, result.StreamBroken, result.TargetError}
	for _, row := range result.Table() {
		for _, idempotent := range []bool{false, true} {
			failure := result.New(row.Code, "failed")
			want := slices.Contains(always, row.Code) || idempotent && slices.Contains(ifIdempotent, row.Code)
			before := retries.Get(row.Code)
			got, count := serveAttempts(context.Background(), newFilter(), newExchange(idempotent), failure)
			if retried := count == 2 && got == nil; retried != want {
				t.Errorf("%s, idempotent %t: %d attempts, %v", row.Name, idempotent, count, got)
			}
			if counted := retries.Get(row.Code) - before; counted != uint64(count-1) {
				t.Errorf("%s, idempotent %t: %d retries counted", row.Name, idempotent, counted)
			}
		}
	}
	// A request that is known not to have run may be retried even if it is not idempotent.
	notRun := result.New(result.TargetLostRequest, "lost")
	notRun.Ran = result.RanNo
	if got, count := serveAttempts(context.Background(), newFilter(), newExchange(false), notRun); got != nil || count != 2 {
		t.Errorf("not run: %d attempts, %v", count, got)
	}
}

// TestNonIdempotentIsNotRetriedAfterPossibleRun checks that an attempt that may have run
// ends the retries, even if an earlier attempt is known not to have run.
func TestNonIdempotentIsNotRetriedAfterPossibleRun(t *testing.T) {
	refused, lost := result.New(result.TargetRefused, "full"), result.New(result.TargetLostRequest, "lost")
	got, count := serveAttempts(context.Background(), newFilter(), newExchange(false), refused, lost)
	if count != 2 || got == nil || got.Ran != result.RanUnknown {
		t.Errorf("%d attempts, %v", count, got)
	}
}

func TestFailedTargetsAreExcluded(t *testing.T) {
	lost := result.New(result.TargetLostRequest, "lost")
	ex := newExchange(true)
	if got, count := serveAttempts(context.Background(), newFilter(), ex, lost, lost); got != nil || count != 3 {
		t.Fatalf("%d attempts, %v", count, got)
	}
	if !slices.Equal(ex.Excluded, []string{"t1", "t2"}) || ex.Attempt != 3 {
		t.Errorf("excluded %q, attempt %d", ex.Excluded, ex.Attempt)
	}
}

func TestRetriesAreBounded(t *testing.T) {
	lost := result.New(result.TargetLostRequest, "lost")
	if got, count := serveAttempts(context.Background(), newFilter(), newExchange(true), lost, lost, lost, lost); got != lost || count != maxAttempts {
		t.Errorf("%d attempts, %v", count, got)
	}
	late := newExchange(true)
	late.Deadline = time.Now()
	if got, count := serveAttempts(context.Background(), newFilter(), late, lost); got != lost || count != 1 {
		t.Errorf("past the deadline: %d attempts, %v", count, got)
	}
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	if got, count := serveAttempts(gone, newFilter(), newExchange(true), lost); count > 2 || (count == 1) != (got == lost) {
		t.Errorf("cancelled: %d attempts, %v", count, got)
	}
}

// TestBudget checks that many failing requests get as many retries as were saved up and
// earned, and that the other requests keep the outcome of their failure.
func TestBudget(t *testing.T) {
	const requests = 300
	f := newFilter()
	lost := result.New(result.TargetLostRequest, "lost")
	retried, refused := 0, 0
	advice := make(map[time.Duration]bool)
	for range requests {
		got, count := serveAttempts(context.Background(), f, newExchange(true), lost)
		retried += count - 1
		if got == nil {
			continue
		}
		refused++
		if got.Code != result.RetryBudgetEmpty || got.Ran != result.RanUnknown || !errors.Is(got, lost) {
			t.Fatalf("got %v, ran %v", got, got.Ran)
		}
		if got.RetryAfter < minRetryAfter || got.RetryAfter >= maxRetryAfter {
			t.Fatalf("retry after %s", got.RetryAfter)
		}
		advice[got.RetryAfter] = true
	}
	// The first request finds the budget full and adds nothing to it.
	if limit := int(maxWorkspaceSavedRetries + retriesPerRequest*requests); retried > limit || retried < limit-2 {
		t.Errorf("%d retries of %d", retried, limit)
	}
	if retried+refused != requests || len(advice) < refused/2 {
		t.Errorf("%d retried, %d refused with %d different waits", retried, refused, len(advice))
	}
}

// TestBudgetBoundsEachWorkspace checks that one workspace whose requests all fail does
// not use up the retries of the others, and that the total is bounded.
func TestBudgetBoundsEachWorkspace(t *testing.T) {
	b := newSavedBudget()
	takeRetries := func(workspace string, requests int) (taken int) {
		for range requests {
			b.recordRequest("pool", workspace)
			if b.takeRetry("pool", workspace) {
				taken++
			}
		}
		return taken
	}
	if taken := takeRetries("flood", 10_000); taken > 10_000*retriesPerRequest+maxWorkspaceSavedRetries {
		t.Errorf("the flooding workspace used %d retries", taken)
	}
	if taken := takeRetries("small", 5); taken != 5 {
		t.Errorf("the small workspace used %d retries of 5", taken)
	}
	total := 0
	for n := range 100 {
		total += takeRetries(fmt.Sprint(n), 1)
	}
	if total > maxSavedRetries+100*retriesPerRequest {
		t.Errorf("a hundred workspaces used %d retries", total)
	}
	for range int(maxWorkspaceSavedRetries / retriesPerRequest) {
		b.recordRequest("pool", "small")
	}
	if _, isTracked := b.savedByWorkspace["small"]; isTracked {
		t.Error("a workspace with a full budget still has an entry")
	}
}

// TestWindowBudgetHoldsInEveryWindow checks that in any window a pool's retries are at
// most the slack plus the ratio times the requests of this window or of the one that
// ended half a window earlier, also after a quiet time and a flood. Routers use four
// fifths of the fleet's budget; the rest covers windows that begin between those two.
func TestWindowBudgetHoldsInEveryWindow(t *testing.T) {
	fleetLimits := Limits{Ratio: 0.2, Slack: 8, Window: 10 * time.Second}
	routerLimits := Limits{Ratio: 0.8 * fleetLimits.Ratio, Slack: 0.8 * fleetLimits.Slack, Window: fleetLimits.Window}
	begin := time.Now()
	now := begin
	b := newWindowBudget(func() Limits { return routerLimits }, func() time.Time { return now })
	var requests, retries []time.Duration
	for n := range 4000 {
		step := 10 * time.Millisecond
		if n%1000 > 700 {
			step = 50 * time.Millisecond
		}
		now = now.Add(step)
		workspace := fmt.Sprint(n % 50)
		b.recordRequest("pool", workspace)
		requests = append(requests, now.Sub(begin))
		if n%1000 > 500 && b.takeRetry("pool", workspace) {
			retries = append(retries, now.Sub(begin))
		}
	}
	within := func(times []time.Duration, end time.Duration) (count float64) {
		for _, at := range times {
			if at <= end && at > end-fleetLimits.Window {
				count++
			}
		}
		return count
	}
	for _, end := range requests {
		earned := max(within(requests, end), within(requests, end-fleetLimits.Window/2))
		if taken, limit := within(retries, end), fleetLimits.Slack+fleetLimits.Ratio*earned; taken > limit {
			t.Fatalf("%.0f retries for %.0f requests, at most %.1f", taken, earned, limit)
		}
	}
	if len(retries) == 0 {
		t.Error("no retries were made")
	}
}

// TestWindowBudgetAllowsBurst checks that all retries that the window's requests earned
// are available at once, for instance when a target breaks all its streams, and that one
// workspace gets at most half of them.
func TestWindowBudgetAllowsBurst(t *testing.T) {
	now := time.Now()
	b := newWindowBudget(func() Limits { return Limits{Ratio: 0.2, Window: 10 * time.Second} }, func() time.Time { return now })
	now = now.Add(10 * time.Second) // past the first window
	for range 500 {
		now = now.Add(10 * time.Millisecond)
		b.recordRequest("pool", "a")
	}
	taken := map[string]int{}
	for range 200 {
		for _, workspace := range []string{"a", "b"} {
			if b.takeRetry("pool", workspace) {
				taken[workspace]++
			}
		}
	}
	if taken["a"] != 50 || taken["b"] != 50 {
		t.Errorf("used %v of 100 retries", taken)
	}
	if b.takeRetry("other", "a") {
		t.Error("a pool without requests has retries")
	}
}

// settledWindowBudget returns a budget that is past its first window.
func settledWindowBudget(limits Limits) *windowBudget {
	b := newWindowBudget(func() Limits { return limits }, time.Now)
	b.started = b.started.Add(-limits.Window)
	return b
}

// TestFailedAnswerIsDelivered checks that an idempotent request whose target answered
// with an error is retried, and gets that answer if no retry is left.
func TestFailedAnswerIsDelivered(t *testing.T) {
	for _, slack := range []float64{0, 5} {
		f := NewWindowed(slog.New(slog.DiscardHandler), nil)
		f.budget = settledWindowBudget(Limits{Slack: slack, Window: time.Second})
		ex := newRoutedExchange(config.RouteIdempotent, 2)
		calls := 0
		err := f.Serve(context.Background(), ex, func(_ context.Context, ex *pipeline.Exchange) error {
			calls++
			ex.Status, ex.AnswerBody = 500, []byte("failed")
			if calls == 2 {
				ex.Status, ex.AnswerBody = 200, []byte("fine")
				return nil
			}
			return CheckAnswer(ex)
		})
		wantCalls, wantStatus := 1, 500
		if slack > 0 {
			wantCalls, wantStatus = 2, 200
		}
		if err != nil || calls != wantCalls || ex.Status != wantStatus || len(ex.AnswerBody) == 0 {
			t.Errorf("%g saved: %d calls, status %d, %v", slack, calls, ex.Status, err)
		}
	}
}

// TestNonIdempotentErrorIsNotRetried checks that an error answer to a non-idempotent
// request, which ran, does not lead to another run.
func TestNonIdempotentErrorIsNotRetried(t *testing.T) {
	if err := CheckAnswer(newRoutedExchange(config.RouteNonIdempotent, 3)); err != nil {
		t.Errorf("got %v", err)
	}
}

func newRoutedExchange(kind config.RouteKind, attempts int) *pipeline.Exchange {
	route := config.Route{Kind: kind, Attempts: attempts}
	return &pipeline.Exchange{
		Route:      &config.NamedRoute{Route: route},
		Idempotent: route.IsIdempotent(),
		Status:     500,
		Deadline:   time.Now().Add(time.Minute),
	}
}

// TestUnsentAttemptUsesNoBudget checks that an attempt that was abandoned before it was
// sent, because its target had announced that it was leaving, takes no retry from the budget.
func TestUnsentAttemptUsesNoBudget(t *testing.T) {
	f := newFilter()
	for range 10 * int(maxSavedRetries) {
		ex := newExchange(false)
		if refusal, count := serveAttempts(context.Background(), f, ex, result.New(result.TargetLeft, "left")); refusal != nil || count != 2 {
			t.Fatalf("%v after %d attempts", refusal, count)
		}
	}
	if refusal, _ := serveAttempts(context.Background(), f, newExchange(true), result.New(result.ConnectFailed, "unreached")); refusal != nil {
		t.Errorf("no retry is left: %v", refusal)
	}
}
