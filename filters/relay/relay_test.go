package relay

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"strings"
	"testing"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/control/speed"
	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/targets"
)

var errBroken = errors.New("cut")

// fakeBody is a body that returns its text and then err, in the same read if
// errWithText is set.
type fakeBody struct {
	text        string
	err         error
	errWithText bool
	closeCount  int
}

func (p *fakeBody) Read(b []byte) (int, error) {
	n := copy(b, p.text)
	p.text = p.text[n:]
	if n > 0 && !p.errWithText {
		return n, nil
	}
	return n, p.err
}

func (p *fakeBody) Close() error {
	p.closeCount++
	return nil
}

// scriptedClient answers each call with the next of its answers.
type scriptedClient struct {
	answers  []*targets.Response
	requests []targets.Request
}

func (s *scriptedClient) Do(_ context.Context, r targets.Request) (*targets.Response, error) {
	s.requests = append(s.requests, r)
	if len(s.answers) == 0 {
		return nil, errBroken
	}
	next := s.answers[0]
	s.answers = s.answers[1:]
	return next, nil
}

func (s *scriptedClient) Load(context.Context, string) (targets.Load, error) {
	return targets.Load{}, errBroken
}

type recordedRun struct{ outcomes []control.Outcome }

func (c *recordedRun) Begin() {}

func (c *recordedRun) Overdue() {}

// Silent implements pipeline.Run.
func (c *recordedRun) Silent() {}

func (c *recordedRun) SetLoad(speed.Reading) {}

func (c *recordedRun) End(outcome control.Outcome) { c.outcomes = append(c.outcomes, outcome) }

// firstOutcome returns the outcome that counts, which is the first; see pipeline.Run.
func (c *recordedRun) firstOutcome(t *testing.T) control.Outcome {
	t.Helper()
	if len(c.outcomes) == 0 {
		t.Fatal("the run was not ended")
	}
	return c.outcomes[0]
}

func newExchange(resumes bool) (*pipeline.Exchange, *recordedRun) {
	run := &recordedRun{}
	ex := &pipeline.Exchange{Stream: true, Target: "t", Run: run}
	ex.Snapshot = &config.Snapshot{}
	ex.Snapshot.Declarations.Targets = map[string]config.Target{"t": {Resumes: resumes}}
	return ex, run
}

func newRelay(client targets.Client) *Relay {
	return &Relay{
		Client: client,
		Log:    slog.New(slog.DiscardHandler),
		Request: func(_ *pipeline.Exchange, offset int64) targets.Request {
			return targets.Request{Offset: offset}
		},
	}
}

func newAnswer(status int, body io.ReadCloser) *targets.Response {
	return &targets.Response{Status: status, Body: body}
}

func TestStreamResumesAtOffset(t *testing.T) {
	for _, errWithText := range []bool{false, true} {
		client := &scriptedClient{answers: []*targets.Response{newAnswer(200, &fakeBody{text: "world", err: io.EOF})}}
		ex, run := newExchange(true)
		err := newRelay(client).Answer(context.Background(), ex, newAnswer(200, &fakeBody{text: "hello ", err: errBroken, errWithText: errWithText}))
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(ex.AnswerStream)
		if err != nil || string(got) != "hello world" {
			t.Errorf("read %q, %v", got, err)
		}
		if len(client.requests) != 1 || client.requests[0].Offset != int64(len("hello ")) {
			t.Errorf("requested %+v", client.requests)
		}
		if outcome := run.firstOutcome(t); outcome != control.OutcomeAnswered {
			t.Errorf("outcome %v", outcome)
		}
	}
}

func TestBrokenStreamReturnsError(t *testing.T) {
	ex, run := newExchange(false)
	err := newRelay(&scriptedClient{}).Answer(context.Background(), ex, newAnswer(200, &fakeBody{text: "half", err: errBroken}))
	if err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(ex.AnswerStream)
	if !errors.Is(err, errBroken) || string(got) != "half" {
		t.Errorf("read %q, %v", got, err)
	}
	if outcome := run.firstOutcome(t); outcome != control.OutcomeLost {
		t.Errorf("outcome %v", outcome)
	}
}

func TestBreakBeforeFirstPartIsReturned(t *testing.T) {
	ex, run := newExchange(true)
	client := &scriptedClient{}
	err := newRelay(client).Answer(context.Background(), ex, newAnswer(200, &fakeBody{err: errBroken}))
	if err == nil || ex.AnswerStream != nil {
		t.Fatalf("error %v, stream %v", err, ex.AnswerStream)
	}
	if len(client.requests) != 0 {
		t.Error("a new run was requested")
	}
	if outcome := run.firstOutcome(t); outcome != control.OutcomeLost {
		t.Errorf("outcome %v", outcome)
	}
}

func TestRefusedResumeIsClosed(t *testing.T) {
	refused := &fakeBody{text: "unknown run", err: io.EOF}
	client := &scriptedClient{answers: []*targets.Response{newAnswer(410, refused)}}
	ex, _ := newExchange(true)
	if err := newRelay(client).Answer(context.Background(), ex, newAnswer(200, &fakeBody{text: "half", err: errBroken})); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(ex.AnswerStream); !errors.Is(err, errBroken) {
		t.Errorf("error %v", err)
	}
	if refused.closeCount == 0 {
		t.Error("the refusal's body was not closed")
	}
}

func TestSmallAnswerIsBufferedAndLargeOneStreamed(t *testing.T) {
	ex, run := newExchange(false)
	ex.Stream = false
	if err := newRelay(&scriptedClient{}).Answer(context.Background(), ex, newAnswer(200, &fakeBody{text: "all", err: io.EOF})); err != nil {
		t.Fatal(err)
	}
	if string(ex.AnswerBody) != "all" || run.firstOutcome(t) != control.OutcomeAnswered {
		t.Errorf("body %q, outcomes %v", ex.AnswerBody, run.outcomes)
	}
	large := strings.Repeat("x", maxWholeBytes+1)
	ex, _ = newExchange(false)
	ex.Stream = false
	if err := newRelay(&scriptedClient{}).Answer(context.Background(), ex, newAnswer(200, &fakeBody{text: large, err: errBroken})); err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(ex.AnswerStream)
	if len(got) != len(large) || !errors.Is(err, errBroken) {
		t.Errorf("read %d bytes, %v", len(got), err)
	}
}

// TestAnswerWithoutRoomIsStreamed guards against an answer that is cut, or whose run is cut off when
// the caller goes away, because there is no room to hold the answer whole; and against bytes that
// stay reserved for an answer that broke.
func TestAnswerWithoutRoomIsStreamed(t *testing.T) {
	text := strings.Repeat("0123456789", 20<<10)
	for _, room := range []int64{0, 64 << 10, 1 << 20} {
		for _, bodyErr := range []error{io.EOF, errBroken} {
			held := int64(0)
			ex, run := newExchange(false)
			ex.Stream = false
			ex.HoldAnswer = func(bytes int64) bool {
				if held+bytes > room {
					return false
				}
				held += bytes
				return true
			}
			err := newRelay(&scriptedClient{}).Answer(context.Background(), ex, newAnswer(200, &fakeBody{text: text, err: bodyErr}))
			got := string(ex.AnswerBody)
			if ex.AnswerStream != nil {
				var read []byte
				read, err = io.ReadAll(ex.AnswerStream)
				got = string(read)
			}
			whole := room >= int64(len(text))
			if (ex.AnswerStream == nil) != whole || (err == nil) != (bodyErr == io.EOF) || err == nil && got != text {
				t.Errorf("room %d, %v: %d bytes, %v", room, bodyErr, len(got), err)
			}
			if whole && err != nil && held != 0 {
				t.Errorf("%d bytes reserved for an answer that broke", held)
			}
			_ = run.firstOutcome(t)
		}
	}
}

// TestStreamedAnswerOutlivesCaller guards against a non-idempotent run that is cut off with its
// caller because its answer was streamed for want of room.
func TestStreamedAnswerOutlivesCaller(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		ex, run := newExchange(false)
		ex.Stream, ex.Idempotent, ex.ServingContext = false, idempotent, context.Background()
		ex.HoldAnswer = func(int64) bool { return false }
		body := &fakeBody{text: strings.Repeat("x", 1<<20), err: io.EOF}
		if err := newRelay(&scriptedClient{}).Answer(context.Background(), ex, newAnswer(200, body)); err != nil {
			t.Fatal(err)
		}
		if err := ex.AnswerStream.Close(); err != nil {
			t.Fatal(err)
		}
		want := control.OutcomeAnswered
		if idempotent {
			want = control.OutcomeCancelled
		}
		if outcome := run.firstOutcome(t); outcome != want || (body.text == "") == idempotent {
			t.Errorf("idempotent %t: outcome %v, %d bytes unread", idempotent, outcome, len(body.text))
		}
	}
}
