package events

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/targets"
)

// countedRun counts its ends and runs a function at the second one.
type countedRun struct {
	noopRun
	atSecondEnd func()
	ends        atomic.Int32
}

// End implements pipeline.Run.
func (r *countedRun) End(control.Outcome) {
	if r.ends.Add(1) == 2 && r.atSecondEnd != nil {
		r.atSecondEnd()
	}
}

// startStream answers with a stream that has sent one event, and returns its exchange and target.
func startStream(t *testing.T, run pipeline.Run, reopen func(attempt *pipeline.Exchange) (*targets.Response, error)) (*pipeline.Exchange, *io.PipeWriter) {
	t.Helper()
	source, target := io.Pipe()
	relay := &Relay{Log: slog.New(slog.DiscardHandler), Reopen: func(_ context.Context, attempt *pipeline.Exchange) (*targets.Response, error) {
		return reopen(attempt)
	}}
	ex := &pipeline.Exchange{Run: run, Route: &config.NamedRoute{Route: config.Route{Resumes: true}}}
	go io.WriteString(target, "id: 1\ndata: a\n\n")
	if err := relay.Answer(context.Background(), ex, &targets.Response{Status: http.StatusOK, Body: source}); err != nil {
		t.Fatal(err)
	}
	if _, err := ex.AnswerStream.Read(make([]byte, 100)); err != nil {
		t.Fatal(err)
	}
	return ex, target
}

// TestClosedStreamAsksNoTarget guards against an attempt for a caller whose stream was closed while
// it waits for its target.
func TestClosedStreamAsksNoTarget(t *testing.T) {
	var asked atomic.Int32
	ex, _ := startStream(t, noopRun{}, func(*pipeline.Exchange) (*targets.Response, error) {
		asked.Add(1)
		return nil, errBroken
	})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = ex.AnswerStream.Read(make([]byte, 100))
	}()
	time.Sleep(50 * time.Millisecond)
	_ = ex.AnswerStream.Close()
	<-ended
	if n := asked.Load(); n > 0 {
		t.Errorf("%d targets were asked after the stream was closed", n)
	}
}

// TestRunTakenOverByAClosedStreamIsEnded guards against a slot that stays taken where a stream is closed,
// and its exchange ends, while it moves to another target.
func TestRunTakenOverByAClosedStreamIsEnded(t *testing.T) {
	first, second := &countedRun{}, &countedRun{}
	ex, target := startStream(t, first, func(attempt *pipeline.Exchange) (*targets.Response, error) {
		attempt.Run = second
		attempt.OnEnd(func(error) { second.End(control.OutcomeCancelled) })
		return &targets.Response{Status: http.StatusOK, Body: io.NopCloser(strings.NewReader("id: 2\ndata: b\n\n"))}, nil
	})
	// The stream ends the former run once before it asks for the other target, and once after that.
	first.atSecondEnd = func() {
		_ = ex.AnswerStream.Close()
		ex.End(io.ErrClosedPipe)
	}
	_ = target.CloseWithError(errBroken)
	_, _ = ex.AnswerStream.Read(make([]byte, 100))
	if first.ends.Load() < 2 || second.ends.Load() == 0 {
		t.Errorf("the other target's run was not ended; the first one %d times", first.ends.Load())
	}
}

// TestFirstTargetIsKeptForAWholeEvent guards against a stream that is cut because its silent target was
// left for another one, which broke off inside its first event.
func TestFirstTargetIsKeptForAWholeEvent(t *testing.T) {
	asked := make(chan struct{})
	var tries atomic.Int32
	ex, target := startStream(t, noopRun{}, func(attempt *pipeline.Exchange) (*targets.Response, error) {
		if tries.Add(1) > 1 {
			return nil, errBroken
		}
		close(asked)
		attempt.Run = noopRun{}
		return &targets.Response{Status: http.StatusOK, Body: &brokenSource{parts: []string{"id: 2\nda"}, err: errBroken}}, nil
	})
	go func() {
		<-asked
		time.Sleep(100 * time.Millisecond)
		_, _ = io.WriteString(target, "id: 2\ndata: b\n\n")
		_ = target.Close()
	}()
	if rest, err := io.ReadAll(ex.AnswerStream); err != nil || string(rest) != "id: 2\ndata: b\n\n" {
		t.Errorf("got %q, %v", rest, err)
	}
}
