package events

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/result"
	"github.com/walnutcove/walnutcove/targets"
)

// maxUselessBytes is how many bytes without an event may be read from a target.
const maxUselessBytes = 5 << 20

// uselessParts are what a target may send again and again without completing an event.
var uselessParts = map[string]string{
	"one line":  "xxxxxxxxxxxxxxxx",
	"one event": "data: x\n",
	"comments":  ": ping\n\n",
	"no lines":  "\x00\x01\x02\xff",
}

// uselessSource returns begin and then part again and again, until it is closed.
type uselessSource struct {
	begin, part string
	read        int
	closed      atomic.Bool
}

// Read implements io.Reader.
func (s *uselessSource) Read(into []byte) (int, error) {
	if s.closed.Load() || s.read > 4*maxUselessBytes {
		return 0, io.ErrUnexpectedEOF
	}
	n := copy(into, s.begin)
	s.begin = s.begin[n:]
	for n < len(into) {
		n += copy(into[n:], s.part)
	}
	s.read += n
	return n, nil
}

// Close implements io.Closer.
func (s *uselessSource) Close() error {
	s.closed.Store(true)
	return nil
}

// answerWith relays a source on a route and returns what the caller gets.
func answerWith(source io.ReadCloser, route config.Route) (body string, err error) {
	relay := &Relay{Log: slog.New(slog.DiscardHandler), Reopen: func(context.Context, *pipeline.Exchange) (*targets.Response, error) {
		return nil, errBroken
	}}
	ex := &pipeline.Exchange{Run: noopRun{}, Route: &config.NamedRoute{Route: route}}
	if err := relay.Answer(context.Background(), ex, &targets.Response{Status: http.StatusOK, Body: source}); err != nil {
		return "", err
	}
	read, err := io.ReadAll(ex.AnswerStream)
	return string(read), err
}

// TestStreamWithoutAnEventIsGivenUp guards against callers that get bytes without an event, and
// routers that read them, until the callers' deadlines.
func TestStreamWithoutAnEventIsGivenUp(t *testing.T) {
	for name, part := range uselessParts {
		for _, resumes := range []bool{false, true} {
			source := &uselessSource{part: part}
			body, err := answerWith(source, config.Route{Resumes: resumes})
			var broken *result.Error
			if !errors.As(err, &broken) || broken.Code != result.StreamBroken || broken.Ran != result.RanUnknown {
				t.Errorf("%s, resumes %v: error %v", name, resumes, err)
			}
			if body != "" {
				t.Errorf("%s, resumes %v: the caller gets %d bytes", name, resumes, len(body))
			}
			if source.read > maxUselessBytes || !source.closed.Load() {
				t.Errorf("%s, resumes %v: %d bytes were read, closed %v", name, resumes, source.read, source.closed.Load())
			}
		}
	}
}

// TestStreamThatStopsSendingEventsIsCut guards against the same after the first event.
func TestStreamThatStopsSendingEventsIsCut(t *testing.T) {
	const first = "id: 1\ndata: a\n\n"
	for name, part := range uselessParts {
		for _, resumes := range []bool{false, true} {
			source := &uselessSource{begin: first, part: part}
			body, err := answerWith(source, config.Route{Resumes: resumes})
			if err == nil || !strings.HasPrefix(body, first) {
				t.Errorf("%s, resumes %v: %d bytes, error %v", name, resumes, len(body), err)
			}
			if source.read > maxUselessBytes || !source.closed.Load() {
				t.Errorf("%s, resumes %v: %d bytes were read, closed %v", name, resumes, source.read, source.closed.Load())
			}
		}
	}
}

// TestBytesWithoutAnEventCountAsSilence guards against a stream that waits until its deadline for a
// target that sends a few bytes at a time and never completes an event.
func TestBytesWithoutAnEventCountAsSilence(t *testing.T) {
	for name, part := range uselessParts {
		t.Run(name, func(t *testing.T) {
			ex, target := startStream(t, noopRun{}, func(attempt *pipeline.Exchange) (*targets.Response, error) {
				attempt.Run = noopRun{}
				return &targets.Response{Status: http.StatusOK, Body: io.NopCloser(strings.NewReader("id: 2\ndata: b\n\n"))}, nil
			})
			go func() {
				for {
					if _, err := io.WriteString(target, part); err != nil {
						return
					}
					time.Sleep(10 * time.Millisecond)
				}
			}()
			start := time.Now()
			rest, err := io.ReadAll(ex.AnswerStream)
			if err != nil || string(rest) != "id: 2\ndata: b\n\n" {
				t.Errorf("got %q, %v", rest, err)
			}
			if took := time.Since(start); took > testTimeout {
				t.Errorf("the stream went on after %s", took)
			}
			_ = ex.AnswerStream.Close()
		})
	}
}
