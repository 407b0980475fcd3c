package detach

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/result"
)

// deadlineIn is the time that the requests of these tests have.
const deadlineIn = 50 * time.Millisecond

// exchange returns a non-idempotent exchange, and a channel that is closed when its hold is
// released.
func exchange() (ex *pipeline.Exchange, released <-chan struct{}) {
	done := make(chan struct{})
	return &pipeline.Exchange{
		Deadline: time.Now().Add(deadlineIn),
		Serving:  context.Background(),
		Hold:     func() func() { return func() { close(done) } },
	}, done
}

// TestEndByTheDeadline guards against a caller's end that comes late, or tells wrongly whether
// the request ran, and against a run that is cut off or not ended behind it.
func TestEndByTheDeadline(t *testing.T) {
	for name, c := range map[string]struct {
		before func(run *pipeline.Exchange)
		code   result.Code
		ran    result.Ran
	}{
		"waits for a target": {func(*pipeline.Exchange) {}, result.DeadlineBeforeGrant, result.RanNo},
		"sent":               {func(run *pipeline.Exchange) { run.BeginSend() }, result.FirstByteTimeout, result.RanUnknown},
		"answer has begun": {func(run *pipeline.Exchange) {
			run.BeginSend()
			run.MarkBegan()
		}, result.AnswerTooSlow, result.RanUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			ex, released := exchange()
			goOn := make(chan struct{})
			ends := make(chan error, 1)
			err := New(slog.New(slog.DiscardHandler)).Serve(t.Context(), ex, func(_ context.Context, run *pipeline.Exchange) error {
				c.before(run)
				run.OnEnd(func(err error) { ends <- err })
				<-goOn
				run.AnswerStream = io.NopCloser(strings.NewReader("an answer that nobody waits for"))
				return nil
			})
			var refusal *result.Error
			if !errors.As(err, &refusal) || refusal.Code != c.code || refusal.Ran != c.ran {
				t.Errorf("%v, want code %d", err, c.code)
			}
			if late := time.Since(ex.Deadline); late < 0 || late > 2*answerGrace {
				t.Errorf("ended %s after its deadline", late)
			}
			select {
			case <-released:
				t.Error("the run was not held")
			default:
			}
			close(goOn)
			if err := <-ends; err != nil {
				t.Errorf("the run ended with %v", err)
			}
			<-released
		})
	}
}

// TestAnswerInTimeIsTheExchanges guards against an answer that is lost between the run and its
// exchange, and against a run that does not end with it.
func TestAnswerInTimeIsTheExchanges(t *testing.T) {
	ex, released := exchange()
	ended := false
	err := New(slog.New(slog.DiscardHandler)).Serve(t.Context(), ex, func(_ context.Context, run *pipeline.Exchange) error {
		run.OnEnd(func(error) { ended = true })
		run.Status, run.AnswerBody = 200, []byte("answer")
		return nil
	})
	<-released
	if err != nil || ex.Status != 200 || string(ex.AnswerBody) != "answer" || ended {
		t.Errorf("%v, status %d, %q, ended %v", err, ex.Status, ex.AnswerBody, ended)
	}
	if ex.End(nil); !ended {
		t.Error("the run did not end with its exchange")
	}
}

// TestPanicOfARunIsAnError guards against a panic that ends the process.
func TestPanicOfARunIsAnError(t *testing.T) {
	ex, _ := exchange()
	err := New(slog.New(slog.DiscardHandler)).Serve(t.Context(), ex, func(context.Context, *pipeline.Exchange) error {
		panic("fault")
	})
	var refusal *result.Error
	if !errors.As(err, &refusal) || refusal.Code != result.Internal {
		t.Errorf("%v", err)
	}
}
