package front

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/offload"
	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/result"
)

// endlessStream is an answer that sends parts without end, with a pause between them, until it is
// closed or limit has passed.
type endlessStream struct {
	part  int
	pause time.Duration
	limit time.Time

	once   sync.Once
	closed chan struct{}
}

// Read implements io.Reader.
func (s *endlessStream) Read(p []byte) (int, error) {
	select {
	case <-s.closed:
		return 0, io.ErrClosedPipe
	case <-time.After(min(s.pause, time.Until(s.limit))):
	}
	if time.Now().After(s.limit) {
		return 0, io.EOF
	}
	return min(s.part, len(p)), nil
}

// Close implements io.Closer.
func (s *endlessStream) Close() error {
	s.once.Do(func() { close(s.closed) })
	return nil
}

// newEndlessStream returns a stream whose parts have a pause between them, and that ends after all
// when a test has failed.
func newEndlessStream(part int, pause time.Duration) *endlessStream {
	return &endlessStream{part: part, pause: pause, limit: time.Now().Add(3 * time.Second), closed: make(chan struct{})}
}

// answerUntil returns a handler whose answer is a stream that is cut off after a time.
func answerUntil(t *testing.T, cutAfter time.Duration, stream io.ReadCloser) pipeline.Handler {
	return func(_ context.Context, ex *pipeline.Exchange) error {
		stop := ex.EndBy(ex.Arrived.Add(cutAfter), func() error { return result.New(result.AnswerTooSlow, "Too late.") })
		if !stop() {
			t.Error("refused before the answer")
		}
		ex.Status = http.StatusOK
		ex.AnswerStream = stream
		return nil
	}
}

// postOf returns a request without a body in a version of HTTP.
func postOf(path, version string) string {
	return "POST " + path + " HTTP/" + version + "\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
}

// TestStreamedAnswerIsCutAtDeadline guards against an answer without an end that keeps its caller past
// the limit of its route, on a route whose runs are not cut off.
func TestStreamedAnswerIsCutAtDeadline(t *testing.T) {
	const cutAfter, longest = 100 * time.Millisecond, time.Second
	for name, c := range map[string]struct {
		version string
		part    int
		pause   time.Duration
		reads   bool
	}{
		"fast":                 {"1.1", 1 << 20, time.Millisecond, true},
		"slow":                 {"1.1", 1, 10 * time.Millisecond, true},
		"silent":               {"1.1", 1, time.Hour, true},
		"caller reads nothing": {"1.1", 1 << 20, time.Millisecond, false},
		"HTTP/1.0, slow":       {"1.0", 1, 10 * time.Millisecond, true},
		"HTTP/1.0, silent":     {"1.0", 1, time.Hour, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := start(t, Options{}, answerUntil(t, cutAfter, newEndlessStream(c.part, c.pause)))
			sent := time.Now()
			conn, r := f.send(postOf("/", c.version))
			if !c.reads {
				time.Sleep(2 * cutAfter)
			}
			if response, err := http.ReadResponse(r, nil); err == nil {
				if _, err := io.Copy(io.Discard, response.Body); err == nil {
					t.Error("the answer looks complete")
				}
			}
			if _, err := io.Copy(io.Discard, conn); err != nil {
				t.Error(err)
			}
			if took := time.Since(sent); took < cutAfter || took > longest {
				t.Errorf("the connection ended after %s", took)
			}
			var refusal *result.Error
			if err := <-f.ends; !errors.As(err, &refusal) || refusal.Code != result.AnswerTooSlow {
				t.Errorf("ended with %v", err)
			}
		})
	}
}

// TestStreamOfExecutedRequestIsCutAtDeadline guards against the same for a request of another router,
// which has to learn that the response is not complete.
func TestStreamOfExecutedRequestIsCutAtDeadline(t *testing.T) {
	const cutAfter, longest = 100 * time.Millisecond, time.Second
	for name, pause := range map[string]time.Duration{"slow": 10 * time.Millisecond, "silent": time.Hour} {
		t.Run(name, func(t *testing.T) {
			f := start(t, Options{}, answerUntil(t, cutAfter, newEndlessStream(1, pause)))
			sent := time.Now()
			_, answer := execute(f, shortCall, 0)
			outcome := await(t, answer.ended)
			if took := time.Since(sent); outcome != offload.Broken || took < cutAfter || took > longest {
				t.Errorf("the response ended after %s, %s", took, outcome)
			}
		})
	}
}

// TestStreamThatEndedIsNotCut guards against the deadline of an answered request cutting off the next
// answer on its connection.
func TestStreamThatEndedIsNotCut(t *testing.T) {
	const cutAfter = 50 * time.Millisecond
	f := start(t, Options{}, func(_ context.Context, ex *pipeline.Exchange) error {
		isFirst := ex.Path == "/first"
		if isFirst {
			ex.EndBy(ex.Arrived.Add(cutAfter), func() error { return result.New(result.AnswerTooSlow, "Too late.") })()
		}
		reader, writer := io.Pipe()
		go func() {
			if !isFirst {
				time.Sleep(3 * cutAfter)
			}
			_, _ = io.WriteString(writer, "answer")
			writer.Close()
		}()
		ex.Status = http.StatusOK
		ex.AnswerStream = reader
		return nil
	})
	conn, r := f.send(postOf("/first", "1.1"))
	for n := range 2 {
		if n > 0 {
			if _, err := io.WriteString(conn, postOf("/next", "1.1")); err != nil {
				t.Fatal(err)
			}
		}
		response := f.answer(r)
		if body, err := io.ReadAll(response.Body); err != nil || string(body) != "answer" {
			t.Errorf("answer %d: %q, %v", n, body, err)
		}
	}
}
