package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/result"
)

const (
	// routeLimit is how long the requests of these tests have.
	routeLimit = 100 * time.Millisecond
	// longestEnd is by when an answer without an end has to be given up.
	longestEnd = routeLimit + 2*overdueGrace
	// endOfTest is when endlessBody ends after all.
	endOfTest = 2 * longestEnd
	// maxReadBytes is how much may be read of an answer that has no reader.
	maxReadBytes = 2 * maxUnattendedBytes
)

// endlessBody is a body that sends parts without end, with a pause between them.
type endlessBody struct {
	part  int
	pause time.Duration
	end   time.Time

	once   sync.Once
	closed chan struct{}
	read   int
}

func newEndlessBody(part int, pause time.Duration) *endlessBody {
	return &endlessBody{part: part, pause: pause, end: time.Now().Add(endOfTest), closed: make(chan struct{})}
}

// Read implements io.Reader.
func (b *endlessBody) Read(p []byte) (int, error) {
	if time.Now().After(b.end) || b.read > 2*maxReadBytes {
		return 0, io.EOF
	}
	select {
	case <-b.closed:
		return 0, errBroken
	case <-time.After(b.pause):
	}
	n := copy(p, bytes.Repeat([]byte("x"), min(b.part, len(p))))
	b.read += n
	return n, nil
}

// Close implements io.Closer.
func (b *endlessBody) Close() error {
	b.once.Do(func() { close(b.closed) })
	return nil
}

// newNonIdempotentExchange returns an exchange whose run outlives its caller.
func newNonIdempotentExchange(routed bool) (*pipeline.Exchange, *recordedRun) {
	ex, run := newExchange(false)
	ex.Stream = false
	ex.ServingContext = context.Background()
	ex.Deadline = time.Now().Add(routeLimit)
	if routed {
		ex.Route = &config.NamedRoute{Route: config.Route{Kind: config.RouteNonIdempotent}}
	}
	return ex, run
}

// wantGivenUp checks the error and the outcome of an answer without an end.
func wantGivenUp(t *testing.T, err error, run *recordedRun, body *endlessBody) {
	t.Helper()
	var refusal *result.Error
	if !errors.As(err, &refusal) || refusal.Code != result.AnswerTooSlow || refusal.Ran != result.RanUnknown {
		t.Errorf("ended with %v", err)
	}
	if outcome := run.firstOutcome(t); outcome != control.OutcomeLost {
		t.Errorf("outcome %v", outcome)
	}
	select {
	case <-body.closed:
	default:
		t.Error("the target's answer was not closed")
	}
}

// TestAnswerWithoutEndEndsAfterItsDeadline guards against an answer without an end that is passed on
// past the limit of its route, and whose slot is never free again.
func TestAnswerWithoutEndEndsAfterItsDeadline(t *testing.T) {
	for name, c := range map[string]struct {
		part  int
		pause time.Duration
	}{
		"fast":   {64 << 10, time.Millisecond},
		"slow":   {1, 10 * time.Millisecond},
		"silent": {1, time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			source := newEndlessBody(c.part, c.pause)
			ex, run := newNonIdempotentExchange(true)
			start := time.Now()
			err := newRelay(nil).Answer(t.Context(), ex, newAnswer(200, source))
			if err == nil {
				_, err = io.Copy(io.Discard, ex.AnswerStream)
				_ = ex.AnswerStream.Close()
			}
			if took := time.Since(start); took < routeLimit || took > longestEnd {
				t.Errorf("ended after %s", took)
			}
			wantGivenUp(t, err, run, source)
		})
	}
}

// TestAnswerNobodyReadsIsBounded guards against an answer without an end that is read for ever after
// its caller has gone, in a fleet without routes.
func TestAnswerNobodyReadsIsBounded(t *testing.T) {
	for name, leave := range map[string]func(ex *pipeline.Exchange, gone chan struct{}){
		"disconnected": func(_ *pipeline.Exchange, gone chan struct{}) { close(gone) },
		"refused":      func(ex *pipeline.Exchange, _ chan struct{}) { ex.MarkUnattended() },
	} {
		t.Run(name, func(t *testing.T) {
			source := newEndlessBody(1<<20, 0)
			ex, run := newNonIdempotentExchange(false)
			gone := make(chan struct{})
			ex.CallerGone = gone
			if err := newRelay(nil).Answer(t.Context(), ex, newAnswer(200, source)); err != nil {
				t.Fatal(err)
			}
			leave(ex, gone)
			_, err := io.Copy(io.Discard, ex.AnswerStream)
			_ = ex.AnswerStream.Close()
			if source.read > maxReadBytes {
				t.Errorf("%d bytes were read", source.read)
			}
			wantGivenUp(t, err, run, source)
		})
	}
}

// TestAnswerThatEndsInTimeIsNotLimited guards against limits that cut off an answer whose caller reads
// it, or that has ended.
func TestAnswerThatEndsInTimeIsNotLimited(t *testing.T) {
	text := bytes.Repeat([]byte("x"), maxUnattendedBytes+maxWholeBytes)
	ex, run := newNonIdempotentExchange(false)
	if err := newRelay(nil).Answer(t.Context(), ex, newAnswer(200, io.NopCloser(bytes.NewReader(text)))); err != nil {
		t.Fatal(err)
	}
	if n, err := io.Copy(io.Discard, ex.AnswerStream); n != int64(len(text)) || err != nil {
		t.Errorf("%d bytes, %v", n, err)
	}
	if outcome := run.firstOutcome(t); outcome != control.OutcomeAnswered {
		t.Errorf("outcome %v", outcome)
	}
}
