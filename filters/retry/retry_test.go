package retry_test

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/filters/retry"
	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/result"
)

// serve runs the filter over attempts that fail one after another.
func serve(t *testing.T, failures ...*result.Error) *result.Error {
	t.Helper()
	ex := &pipeline.Exchange{Idempotent: true, Deadline: time.Now().Add(time.Hour)}
	attempt := 0
	err := retry.New(slog.New(slog.DiscardHandler)).Serve(context.Background(), ex, func(context.Context, *pipeline.Exchange) error {
		attempt++
		return failures[attempt-1]
	})
	var refusal *result.Error
	if !errors.As(err, &refusal) || attempt != len(failures) {
		t.Fatalf("after %d attempts: %v", attempt, err)
	}
	return refusal
}

// TestNotRunSpeaksForEveryAttempt: a request that a target lost may have run,
// whatever a later attempt says.
func TestNotRunSpeaksForEveryAttempt(t *testing.T) {
	lost := result.New(result.TargetLostRequest, "lost")
	noTarget := result.New(result.NoTarget, "none")
	unreached := result.New(result.ConnectFailed, "unreached")
	if got := serve(t, lost, noTarget); got.Code != result.NoTarget || got.Ran != result.RanUnknown {
		t.Errorf("lost, no target: %v, ran %v", got, got.Ran)
	}
	if got := serve(t, unreached, lost, unreached); got.Code != result.ConnectFailed || got.Ran != result.RanUnknown {
		t.Errorf("unreached, lost, unreached: %v, ran %v", got, got.Ran)
	}
	if got := serve(t, unreached, noTarget); got.Ran != result.RanNo {
		t.Errorf("unreached, no target: %v, ran %v", got, got.Ran)
	}
	if noTarget.Ran != result.RanNo {
		t.Error("a refusal of an earlier request was changed")
	}
}
