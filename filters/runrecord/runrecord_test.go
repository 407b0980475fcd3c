package runrecord

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/result"
	"github.com/walnutcove/walnutcove/runrecord"
	"github.com/walnutcove/walnutcove/store/memory"
)

// harness runs the filter in front of a fake target whose answers come from answer.
type harness struct {
	t       *testing.T
	store   *memory.Store
	handler pipeline.Handler
	answer  func(ex *pipeline.Exchange) error
	runs    int
}

func newHarness(t *testing.T) *harness {
	b := &harness{t: t, store: memory.New(memory.Options{})}
	manager := runrecord.New(runrecord.Options{
		Table: b.store, Node: "a", Incarnation: 1, MaxStoredBytes: 100, Metrics: metrics.NewSet(),
	})
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		defer cancel()
		if err := manager.Close(ctx); err != nil {
			t.Error(err)
		}
	})
	b.handler = pipeline.Chain(&Filter{Manager: manager}, b)
	return b
}

// Name implements pipeline.Filter.
func (b *harness) Name() string { return "bench" }

// Serve implements pipeline.Filter in place of the rest of the pipeline.
func (b *harness) Serve(_ context.Context, ex *pipeline.Exchange, _ pipeline.Handler) error {
	for _, check := range ex.BeforeDispatch {
		if err := check(); err != nil {
			return err
		}
	}
	b.runs++
	ex.Status = 201
	ex.AnswerHeader = map[string]string{"Content-Type": "text/plain"}
	return b.answer(ex)
}

// send sends the request with the key "k", reads the answer and ends the exchange, as
// the caller's connection does.
func (b *harness) send() (*pipeline.Exchange, string, error) {
	ex := &pipeline.Exchange{WorkspaceName: "w", IdempotencyKey: "k", Fingerprint: 9}
	err := b.handler(context.Background(), ex)
	body := ex.AnswerBody
	if err == nil && ex.AnswerStream != nil {
		body, err = io.ReadAll(ex.AnswerStream)
	}
	ex.End(err)
	return ex, string(body), err
}

// wantRefused sends the request and requires a refusal without another run.
func (b *harness) wantRefused(code result.Code, ran result.Ran) {
	b.t.Helper()
	runs := b.runs
	_, body, err := b.send()
	var refusal *result.Error
	if !errors.As(err, &refusal) || refusal.Code != code || refusal.Ran != ran {
		b.t.Fatalf("got %q, %v", body, err)
	}
	if b.runs != runs {
		b.t.Fatal("the request ran again")
	}
}

// wantAnswer sends the request and requires the answer "done", with the given
// replay header and the given number of runs so far.
func (b *harness) wantAnswer(replayed string, runs int) {
	b.t.Helper()
	ex, body, err := b.send()
	if err != nil || body != "done" || ex.Status != 201 || ex.AnswerHeader["Content-Type"] != "text/plain" {
		b.t.Fatalf("got %d %q %v, %v", ex.Status, body, ex.AnswerHeader, err)
	}
	if ex.AnswerHeader[ReplayedHeader] != replayed || b.runs != runs {
		b.t.Fatalf("header %v, %d runs", ex.AnswerHeader, b.runs)
	}
}

func answerWhole(ex *pipeline.Exchange) error {
	ex.AnswerBody = []byte("done")
	return nil
}

func answerStream(readers ...io.Reader) func(*pipeline.Exchange) error {
	return func(ex *pipeline.Exchange) error {
		ex.AnswerStream = io.NopCloser(iotest.OneByteReader(io.MultiReader(readers...)))
		return nil
	}
}

func TestResendGetsTheSameAnswer(t *testing.T) {
	for _, answer := range []func(*pipeline.Exchange) error{answerWhole, answerStream(strings.NewReader("done"))} {
		b := newHarness(t)
		b.answer = answer
		b.wantAnswer("", 1)
		b.wantAnswer("true", 1)
	}
}

func TestResendOfBrokenStreamIsNotRun(t *testing.T) {
	b := newHarness(t)
	b.answer = answerStream(strings.NewReader("do"), iotest.ErrReader(errors.New("reset")))
	if _, body, err := b.send(); err == nil || body != "do" {
		t.Fatalf("got %q, %v", body, err)
	}
	b.wantRefused(result.RecordUnknown, result.RanUnknown)
}

// TestStreamIsReadToEndAfterCallerLeft checks that the rest of a stream is read after its
// caller disconnects, and that a resend gets the complete answer.
func TestStreamIsReadToEndAfterCallerLeft(t *testing.T) {
	b := newHarness(t)
	b.answer = answerStream(strings.NewReader("done"))
	ex := &pipeline.Exchange{WorkspaceName: "w", IdempotencyKey: "k", Fingerprint: 9, ServingContext: context.Background()}
	if err := b.handler(context.Background(), ex); err != nil {
		t.Fatal(err)
	}
	if _, err := ex.AnswerStream.Read(make([]byte, 2)); err != nil {
		t.Fatal(err)
	}
	if err := ex.AnswerStream.Close(); err != nil {
		t.Fatal(err)
	}
	ex.End(errors.New("connection closed"))
	b.wantAnswer("true", 1)
}

func TestLargeStreamIsNotKept(t *testing.T) {
	b := newHarness(t)
	b.answer = answerStream(strings.NewReader(strings.Repeat("x", 101)))
	if _, body, err := b.send(); err != nil || len(body) != 101 {
		t.Fatalf("got %d bytes, %v", len(body), err)
	}
	b.wantRefused(result.RecordNotKept, result.RanYes)
}

func TestResendOfFailure(t *testing.T) {
	b := newHarness(t)
	b.answer = func(*pipeline.Exchange) error { return result.New(result.TargetRefused, "Busy.") }
	if _, _, err := b.send(); err == nil {
		t.Fatal("no error")
	}
	b.answer = func(*pipeline.Exchange) error { return result.New(result.TargetLostRequest, "Reset.") }
	if _, _, err := b.send(); err == nil || b.runs != 2 {
		t.Fatalf("a request that is known not to have run was not run on resend: %v", err)
	}
	b.wantRefused(result.RecordUnknown, result.RanUnknown)
}

func TestOnlyNonIdempotentRequestsAreRecorded(t *testing.T) {
	b := newHarness(t)
	b.answer = answerWhole
	ex := &pipeline.Exchange{WorkspaceName: "w", IdempotencyKey: "k", Idempotent: true}
	if err := b.handler(context.Background(), ex); err != nil || b.runs != 1 || len(ex.BeforeDispatch) != 0 {
		t.Fatalf("%d runs, %v", b.runs, err)
	}
	if rows, _ := b.store.Scan(context.Background(), runrecord.Table, "", 1); len(rows) != 0 {
		t.Fatal("an idempotent request was recorded")
	}
	err := b.handler(context.Background(), &pipeline.Exchange{WorkspaceName: "w"})
	var refusal *result.Error
	if !errors.As(err, &refusal) || refusal.Code != result.IdempotencyKeyMissing {
		t.Fatalf("got %v", err)
	}
}
