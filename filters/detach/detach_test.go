package detach

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/result"
)

// fakeServer stands in for the server that sets Exchange.EndBy: the caller gets either the
// refusal or the answer, never both.
type fakeServer struct {
	at     time.Time
	refuse func() error
	ended  bool
}

// newExchange returns a non-idempotent exchange and the server behind its EndBy.
func newExchange() (*pipeline.Exchange, *fakeServer) {
	server := &fakeServer{}
	return &pipeline.Exchange{
		Deadline:       time.Now().Add(time.Second),
		ServingContext: context.Background(),
		EndBy: func(at time.Time, refuse func() error) func() bool {
			server.at, server.refuse = at, refuse
			return func() bool { return !server.ended }
		},
	}, server
}

// TestCallerIsRefusedAtDeadline guards against a refusal that comes late or reports wrongly
// whether the request ran.
func TestCallerIsRefusedAtDeadline(t *testing.T) {
	for name, c := range map[string]struct {
		before func(ex *pipeline.Exchange)
		code   result.Code
		ran    result.Ran
	}{
		"waits for a target": {func(*pipeline.Exchange) {}, result.DeadlineBeforeGrant, result.RanNo},
		"sent":               {func(ex *pipeline.Exchange) { ex.BeginSend() }, result.FirstByteTimeout, result.RanUnknown},
		"answer has begun": {func(ex *pipeline.Exchange) {
			ex.BeginSend()
			ex.MarkAnswerBegan()
		}, result.AnswerTooSlow, result.RanUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			ex, server := newExchange()
			answeredBefore := answeredCount.Get()
			err := New(slog.New(slog.DiscardHandler)).Serve(t.Context(), ex, func(_ context.Context, ex *pipeline.Exchange) error {
				c.before(ex)
				var refusal *result.Error
				if err := server.refuse(); !errors.As(err, &refusal) || refusal.Code != c.code || refusal.Ran != c.ran {
					t.Errorf("%v, want code %d", err, c.code)
				}
				server.ended = true
				return nil
			})
			if late := server.at.Sub(ex.Deadline); late < 0 || late > answerGrace {
				t.Errorf("the refusal is %s after the deadline", late)
			}
			if err != nil || answeredCount.Get() != answeredBefore+1 {
				t.Errorf("%v; %d runs were answered after their callers were refused", err, answeredCount.Get()-answeredBefore)
			}
		})
	}
}

// TestIdempotentRequestHasNoTimer guards against a second refusal of a request whose run
// ends at its deadline anyway.
func TestIdempotentRequestHasNoTimer(t *testing.T) {
	ex, server := newExchange()
	ex.Idempotent = true
	err := New(slog.New(slog.DiscardHandler)).Serve(t.Context(), ex, func(context.Context, *pipeline.Exchange) error { return nil })
	if err != nil || server.refuse != nil {
		t.Errorf("%v, timer set: %v", err, server.refuse != nil)
	}
}
