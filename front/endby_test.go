package front

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/result"
)

// refusedAtHandler returns a handler that answers after answerAfter and whose callers are
// refused after refuseAfter. It sends to dropped whether the refusal came first.
func refusedAtHandler(refuseAfter, answerAfter time.Duration, refusedFirst chan<- bool) pipeline.Handler {
	return func(_ context.Context, ex *pipeline.Exchange) error {
		stop := ex.EndBy(ex.Arrived.Add(refuseAfter), func() error { return result.New(result.FirstByteTimeout, "Too late.") })
		time.Sleep(answerAfter)
		refusedFirst <- !stop()
		ex.Status = http.StatusOK
		ex.AnswerBody = []byte("answer")
		return nil
	}
}

// TestRefusalAtDeadlineWhileExchangeRuns guards against a refusal that waits for the exchange to
// end, is incomplete, or is followed by an answer.
func TestRefusalAtDeadlineWhileExchangeRuns(t *testing.T) {
	const refuseAfter, answerAfter = 50 * time.Millisecond, 600 * time.Millisecond
	refusedFirst := make(chan bool, 1)
	f := start(t, Options{}, refusedAtHandler(refuseAfter, answerAfter, refusedFirst))
	sent := time.Now()
	conn, r := f.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
	response := f.answer(r)
	if took := time.Since(sent); response.StatusCode != http.StatusGatewayTimeout || !response.Close || took > answerAfter/2 {
		t.Errorf("status %d after %s, connection closes: %v", response.StatusCode, took, response.Close)
	}
	if rest, err := io.ReadAll(conn); err != nil || len(rest) > 0 {
		t.Errorf("%q follows the refusal, %v", rest, err)
	}
	if f.Active() != 1 {
		t.Errorf("%d exchanges are running", f.Active())
	}
	if !<-refusedFirst {
		t.Error("the exchange was not told that its caller had been refused")
	}
	if err := <-f.ends; !errors.Is(err, pipeline.ErrRefusedAtDeadline) {
		t.Errorf("ended with %v", err)
	}
}

// TestDeadlineRefusalRacesAnswer guards against two answers or none to a request whose answer and
// refusal are ready at the same time.
func TestDeadlineRefusalRacesAnswer(t *testing.T) {
	const callers, requestsEach, bothAfter = 16, 20, 10 * time.Millisecond
	refusedFirst := make(chan bool, callers*requestsEach)
	f := start(t, Options{}, refusedAtHandler(bothAfter, bothAfter, refusedFirst))
	var refused, answered sync.Map
	var all sync.WaitGroup
	for range callers {
		all.Go(func() {
			for range requestsEach {
				conn, r := f.send("POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
				response, err := http.ReadResponse(r, nil)
				if err != nil {
					t.Error(err)
					return
				}
				body, err := io.ReadAll(response.Body)
				rest, restErr := io.ReadAll(r)
				whole := response.StatusCode == http.StatusOK && string(body) == "answer" ||
					response.StatusCode == http.StatusGatewayTimeout && strings.Contains(string(body), "first_byte_timeout")
				if err != nil || restErr != nil || !whole || len(rest) > 0 {
					t.Errorf("status %d, %q, then %q; %v, %v", response.StatusCode, body, rest, err, restErr)
				}
				if response.StatusCode == http.StatusOK {
					answered.Store(conn, true)
				} else {
					refused.Store(conn, true)
				}
			}
		})
	}
	all.Wait()
	count := func(m *sync.Map) (n int) {
		m.Range(func(any, any) bool { n++; return true })
		return n
	}
	t.Logf("%d refused, %d answered", count(&refused), count(&answered))
	if count(&refused)+count(&answered) != callers*requestsEach {
		t.Errorf("%d refused and %d answered of %d", count(&refused), count(&answered), callers*requestsEach)
	}
}

// TestRefusalAtDeadlineBeforeNextRequest guards against a refusal at the deadline that is cut by a reset, or
// followed by an answer, because the next request has arrived behind the refused one.
func TestRefusalAtDeadlineBeforeNextRequest(t *testing.T) {
	const refuseAfter, answerAfter = 50 * time.Millisecond, 200 * time.Millisecond
	const post = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
	for name, next := range map[string]string{
		"read":      get,
		"in part":   get[:10],
		"in socket": "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("x", 100_000),
	} {
		t.Run(name, func(t *testing.T) {
			refusedFirst := make(chan bool, 2)
			f := start(t, Options{}, refusedAtHandler(refuseAfter, answerAfter, refusedFirst))
			_, r := f.send(post + next)
			time.Sleep(2 * answerAfter) // the caller reads once the exchange has ended
			response := f.answer(r)
			if _, err := io.Copy(io.Discard, response.Body); response.StatusCode != http.StatusGatewayTimeout || !response.Close || err != nil {
				t.Errorf("%v, %v", response, err)
			}
			if _, err := r.ReadByte(); err != io.EOF {
				t.Errorf("the connection ends with %v", err)
			}
			if !<-refusedFirst || len(refusedFirst) > 0 {
				t.Error("the next request was served")
			}
		})
	}
}
