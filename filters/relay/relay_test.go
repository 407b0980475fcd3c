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
	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/targets"
)

var errCut = errors.New("cut")

// parts is a body that gives its text and then an error, in the same read if
// together is set.
type parts struct {
	text     string
	end      error
	together bool
	closed   int
}

func (p *parts) Read(b []byte) (int, error) {
	n := copy(b, p.text)
	p.text = p.text[n:]
	if n > 0 && !p.together {
		return n, nil
	}
	return n, p.end
}

func (p *parts) Close() error {
	p.closed++
	return nil
}

// scripted answers each call with the next of its answers.
type scripted struct {
	answers []*targets.Response
	asked   []targets.Request
}

func (s *scripted) Do(_ context.Context, r targets.Request) (*targets.Response, error) {
	s.asked = append(s.asked, r)
	if len(s.answers) == 0 {
		return nil, errCut
	}
	next := s.answers[0]
	s.answers = s.answers[1:]
	return next, nil
}

func (s *scripted) Load(context.Context, string) (targets.Load, error) {
	return targets.Load{}, errCut
}

type countedRun struct{ outcomes []control.Outcome }

func (c *countedRun) Begin() {}

func (c *countedRun) End(outcome control.Outcome) { c.outcomes = append(c.outcomes, outcome) }

// first returns the outcome that counts; see pipeline.Run.
func (c *countedRun) first(t *testing.T) control.Outcome {
	t.Helper()
	if len(c.outcomes) == 0 {
		t.Fatal("the run was not ended")
	}
	return c.outcomes[0]
}

func exchange(resumes bool) (*pipeline.Exchange, *countedRun) {
	run := &countedRun{}
	ex := &pipeline.Exchange{Stream: true, Target: "t", Run: run}
	ex.Snapshot = &config.Snapshot{}
	ex.Snapshot.Declarations.Targets = map[string]config.Target{"t": {Resumes: resumes}}
	return ex, run
}

func relayOf(client targets.Client) *Relay {
	return &Relay{
		Client: client,
		Log:    slog.New(slog.DiscardHandler),
		Request: func(_ *pipeline.Exchange, offset int64) targets.Request {
			return targets.Request{Offset: offset}
		},
	}
}

func answerOf(status int, body io.ReadCloser) *targets.Response {
	return &targets.Response{Status: status, Body: body}
}

func TestStreamResumesAtTheOffsetReached(t *testing.T) {
	for _, together := range []bool{false, true} {
		client := &scripted{answers: []*targets.Response{answerOf(200, &parts{text: "world", end: io.EOF})}}
		ex, run := exchange(true)
		err := relayOf(client).Answer(context.Background(), ex, answerOf(200, &parts{text: "hello ", end: errCut, together: together}))
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(ex.AnswerStream)
		if err != nil || string(got) != "hello world" {
			t.Errorf("read %q, %v", got, err)
		}
		if len(client.asked) != 1 || client.asked[0].Offset != int64(len("hello ")) {
			t.Errorf("asked %+v", client.asked)
		}
		if outcome := run.first(t); outcome != control.OutcomeAnswered {
			t.Errorf("outcome %v", outcome)
		}
	}
}

func TestBreakIsNeverAnEnd(t *testing.T) {
	ex, run := exchange(false)
	err := relayOf(&scripted{}).Answer(context.Background(), ex, answerOf(200, &parts{text: "half", end: errCut}))
	if err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(ex.AnswerStream)
	if !errors.Is(err, errCut) || string(got) != "half" {
		t.Errorf("read %q, %v", got, err)
	}
	if outcome := run.first(t); outcome != control.OutcomeLost {
		t.Errorf("outcome %v", outcome)
	}
}

func TestBreakBeforeTheFirstPartIsReturned(t *testing.T) {
	ex, run := exchange(true)
	client := &scripted{}
	err := relayOf(client).Answer(context.Background(), ex, answerOf(200, &parts{end: errCut}))
	if err == nil || ex.AnswerStream != nil {
		t.Fatalf("error %v, stream %v", err, ex.AnswerStream)
	}
	if len(client.asked) != 0 {
		t.Error("a fresh run was asked for")
	}
	if outcome := run.first(t); outcome != control.OutcomeLost {
		t.Errorf("outcome %v", outcome)
	}
}

func TestResumeThatIsRefusedIsClosed(t *testing.T) {
	refused := &parts{text: "unknown run", end: io.EOF}
	client := &scripted{answers: []*targets.Response{answerOf(410, refused)}}
	ex, _ := exchange(true)
	if err := relayOf(client).Answer(context.Background(), ex, answerOf(200, &parts{text: "half", end: errCut})); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(ex.AnswerStream); !errors.Is(err, errCut) {
		t.Errorf("error %v", err)
	}
	if refused.closed == 0 {
		t.Error("the refusal's body was not closed")
	}
}

func TestWholeAnswerIsHeldAndALargeOneStreamed(t *testing.T) {
	ex, run := exchange(false)
	ex.Stream = false
	if err := relayOf(&scripted{}).Answer(context.Background(), ex, answerOf(200, &parts{text: "all", end: io.EOF})); err != nil {
		t.Fatal(err)
	}
	if string(ex.AnswerBody) != "all" || run.first(t) != control.OutcomeAnswered {
		t.Errorf("body %q, outcomes %v", ex.AnswerBody, run.outcomes)
	}
	large := strings.Repeat("x", maxWholeBytes+1)
	ex, _ = exchange(false)
	ex.Stream = false
	if err := relayOf(&scripted{}).Answer(context.Background(), ex, answerOf(200, &parts{text: large, end: errCut})); err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(ex.AnswerStream)
	if len(got) != len(large) || !errors.Is(err, errCut) {
		t.Errorf("read %d bytes, %v", len(got), err)
	}
}
