package front

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/walnutcove/walnutcove/offload"
	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/result"
)

// memoryConn carries a request to ServeOffloaded and passes the response to an answer, as a link
// does. It implements offload.Sent.
type memoryConn struct {
	net.Conn // nil: only the methods below are used
	unread   *bytes.Reader
	answer   offload.Answer
	gone     chan struct{}
	cancel   sync.Once
	end      sync.Once
	taken    atomic.Int64
	writes   atomic.Int64
}

func newMemoryConn(raw []byte, answer offload.Answer) *memoryConn {
	return &memoryConn{unread: bytes.NewReader(raw), answer: answer, gone: make(chan struct{})}
}

func (c *memoryConn) Read(p []byte) (int, error) { return c.unread.Read(p) }

func (c *memoryConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	c.answer.Write(p)
	return len(p), nil
}

func (c *memoryConn) Close() error {
	c.end.Do(func() { c.answer.End(offload.Complete, offload.Loss{}) })
	return nil
}

func (c *memoryConn) CloseWrite() error { return c.Close() }
func (c *memoryConn) Abort() {
	c.end.Do(func() { c.answer.End(offload.Broken, offload.Loss{Cause: offload.CauseResponse}) })
}

func (c *memoryConn) Gone() <-chan struct{} { return c.gone }
func (c *memoryConn) Cancel()               { c.cancel.Do(func() { close(c.gone) }) }
func (c *memoryConn) Silent() bool          { return false }
func (c *memoryConn) Taken(n int)           { c.taken.Add(int64(n)) }

func (c *memoryConn) SetReadDeadline(time.Time) error  { return nil }
func (c *memoryConn) SetWriteDeadline(time.Time) error { return nil }
func (c *memoryConn) SetDeadline(time.Time) error      { return nil }
func (c *memoryConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (c *memoryConn) LocalAddr() net.Addr              { return &net.TCPAddr{} }

// recorder is an answer that records the response.
type recorder struct {
	mu       sync.Mutex
	response bytes.Buffer
	ended    chan offload.Outcome
}

func newRecorder() *recorder { return &recorder{ended: make(chan offload.Outcome, 1)} }

func (r *recorder) Write(p []byte) {
	r.mu.Lock()
	r.response.Write(p)
	r.mu.Unlock()
}

func (r *recorder) End(outcome offload.Outcome, _ offload.Loss) { r.ended <- outcome }

// execute serves a request that has waited at a source, and returns its connection and answer.
func execute(f *fixture, raw string, waited time.Duration) (*memoryConn, *recorder) {
	answer := newRecorder()
	conn := newMemoryConn([]byte(raw), answer)
	go f.ServeOffloaded(conn, waited, "small-router")
	return conn, answer
}

// read waits for the end of the response and returns it.
func (r *recorder) read(t *testing.T) (*http.Response, string, offload.Outcome) {
	t.Helper()
	outcome := await(t, r.ended)
	r.mu.Lock()
	defer r.mu.Unlock()
	response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(r.response.Bytes())), nil)
	if err != nil {
		t.Fatal(err)
	}
	body, _ := io.ReadAll(response.Body) // broken for some
	return response, string(body), outcome
}

// TestExecutedRequest guards against a request of another router that is shed or offloaded again,
// gets more time than its caller has left, or whose connection waits for another request.
func TestExecutedRequest(t *testing.T) {
	exchanges := make(chan *pipeline.Exchange, 1)
	sender := newFakeSender()
	f := start(t, Options{Offload: sender, Shed: func(bool) bool { return true }}, func(_ context.Context, ex *pipeline.Exchange) error {
		exchanges <- ex
		ex.Status = http.StatusOK
		ex.AnswerBody = []byte("answer")
		return nil
	})
	began := time.Now()
	_, answer := execute(f, shortCall+shortCall, 70*time.Millisecond)
	response, body, outcome := answer.read(t)
	if response.StatusCode != http.StatusOK || !response.Close || body != "answer" || outcome != offload.Complete || len(sender.sent) > 0 {
		t.Errorf("%s %q, %s", response.Status, body, outcome)
	}
	ex := await(t, exchanges)
	if waited := began.Sub(ex.Arrived); waited > 70*time.Millisecond || waited < 40*time.Millisecond {
		t.Errorf("arrived %s before", waited)
	}
	if ex.OffloadedFrom != "small-router" || !ex.GatherEvents || string(ex.Body) != "body" {
		t.Errorf("from %q, gathers events: %v, body %q", ex.OffloadedFrom, ex.GatherEvents, ex.Body)
	}
	if len(exchanges) > 0 {
		t.Error("the second request was served")
	}
}

// TestExecutedRequestIsLogged guards against log lines that do not name the router that holds the
// caller's connection.
func TestExecutedRequestIsLogged(t *testing.T) {
	var logged bytes.Buffer
	log := slog.New(slog.NewTextHandler(&logged, nil))
	f := start(t, Options{}, func(ctx context.Context, ex *pipeline.Exchange) error {
		pipeline.Log(ctx, log, slog.LevelInfo, ex, "x")
		ex.Status = http.StatusOK
		return nil
	})
	_, answer := execute(f, shortCall, 0)
	answer.read(t)
	if !strings.Contains(logged.String(), "offloaded_from=small-router") {
		t.Errorf("logged %q", logged.String())
	}
}

// namedConn is a connection whose source has given the request an ID.
type namedConn struct{ *memoryConn }

func (namedConn) RequestID() string { return "small-router-7" }

// TestExecutedRequestKeepsID guards against log lines of both routers that cannot be matched, and a
// caller who is told an ID that its router does not know.
func TestExecutedRequestKeepsID(t *testing.T) {
	ids := make(chan string, 1)
	f := start(t, Options{}, func(ctx context.Context, ex *pipeline.Exchange) error {
		ids <- ex.ID
		return answerEmpty(ctx, ex)
	})
	answer := newRecorder()
	f.ServeOffloaded(namedConn{newMemoryConn([]byte(get), answer)}, 0, "small-router")
	response, _, _ := answer.read(t)
	if id := <-ids; id != "small-router-7" || response.Header.Get(headerRequestID) != id {
		t.Errorf("ID %q, %v", id, response.Header)
	}
}

// TestExecutedCallerGoesAway guards against a run that continues when the source reports that the
// caller has gone, and a last look before dispatch that does not see it.
func TestExecutedCallerGoesAway(t *testing.T) {
	waiting := make(chan *pipeline.Exchange, 1)
	f := start(t, Options{}, func(ctx context.Context, ex *pipeline.Exchange) error {
		notified := make(chan struct{})
		ex.OnCallerGone(func() { close(notified) })
		waiting <- ex
		<-ex.CallerGone
		<-ctx.Done()
		<-notified
		return context.Cause(ctx)
	})
	conn, _ := execute(f, shortCall, 0)
	ex := await(t, waiting)
	if ex.IsCallerGoneNow() {
		t.Error("the caller has gone before it was cancelled")
	}
	conn.Cancel()
	if !ex.ProbeCallerGone() {
		t.Error("the probe does not see that the caller has gone")
	}
	var refusal *result.Error
	if err := f.end(); !errors.As(err, &refusal) || refusal.Code != result.CallerGone {
		t.Errorf("ended with %v", err)
	}
}

// TestEndedExecutedRequestIsNotGone guards against a request that has ended and is counted as one
// whose caller has gone: the link reports every caller as gone after the response.
func TestEndedExecutedRequestIsNotGone(t *testing.T) {
	f := start(t, Options{}, answerEmpty)
	before := callersGone.Get()
	for range 200 {
		conn := newMemoryConn([]byte(get), newRecorder())
		r := &request{
			conn:      &callerConn{Conn: conn, server: f.Server, executed: &executed{gone: conn.gone}},
			unwatched: make(chan struct{}),
			gone:      make(chan struct{}),
			ex:        &pipeline.Exchange{},
			cancel:    func(error) {},
		}
		f.unwatchCaller(r)
		conn.Cancel()
		r.watchExecuted()
	}
	if gone := callersGone.Get() - before; gone != 0 {
		t.Errorf("%d callers have gone", gone)
	}
}

// eventsAtHand is a response whose beginning is at hand.
type eventsAtHand struct{ io.Reader }

func (eventsAtHand) HasEvents() bool { return true }
func (eventsAtHand) Close() error    { return nil }

// TestExecutedStreamBeginsInOnePiece guards against a head and a first event that cost the source
// a write each.
func TestExecutedStreamBeginsInOnePiece(t *testing.T) {
	reader, writer := io.Pipe()
	f := start(t, Options{}, answerWith(eventsAtHand{io.MultiReader(strings.NewReader("data: 1\n\n"), reader)}))
	conn, answer := execute(f, get, 0)
	for conn.writes.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	answer.mu.Lock()
	first := answer.response.String()
	answer.mu.Unlock()
	if !strings.HasPrefix(first, "HTTP/1.1 200 OK\r\n") || !strings.Contains(first, "data: 1\n\n") || conn.writes.Load() != 1 {
		t.Errorf("%d writes: %q", conn.writes.Load(), first)
	}
	writer.Close()
	if _, body, outcome := answer.read(t); body != "data: 1\n\n" || outcome != offload.Complete {
		t.Errorf("%q, %s", body, outcome)
	}
}

// TestExecutedBrokenResponse guards against a response that broke off and is passed on as complete.
func TestExecutedBrokenResponse(t *testing.T) {
	f := start(t, Options{}, answerWith(brokenStream()))
	_, answer := execute(f, get, 0)
	if _, body, outcome := answer.read(t); body != "half" || outcome != offload.Broken {
		t.Errorf("%q, %s", body, outcome)
	}
}

// TestExecutedRequestWithoutResponse guards against a connection without a response that counts as
// complete.
func TestExecutedRequestWithoutResponse(t *testing.T) {
	f := start(t, Options{}, answerEmpty)
	_, answer := execute(f, "", 0)
	if outcome := await(t, answer.ended); outcome != offload.Broken {
		t.Errorf("%s", outcome)
	}
}

// TestExecutedFailuresAreAnswered guards against a panic or a request that cannot be read which
// leaves the caller without an answer.
func TestExecutedFailuresAreAnswered(t *testing.T) {
	options := Options{Log: slog.New(slog.DiscardHandler)}
	f := start(t, options, func(context.Context, *pipeline.Exchange) error { panic("fault") })
	for raw, code := range map[string]string{shortCall: "901", shortCall[:len(shortCall)-1]: "101", "no HTTP\r\n\r\n": "101"} {
		_, answer := execute(f, raw, 0)
		if response, _, outcome := answer.read(t); response.Header.Get(headerCode) != code || !response.Close || outcome != offload.Complete {
			t.Errorf("%q: %v, %s", raw, response, outcome)
		}
	}
}

// TestExecutedDeadlineRefusal guards against a caller who gets its refusal only when the run of its
// request ends, and a run that is cancelled because the source has closed the connection then.
func TestExecutedDeadlineRefusal(t *testing.T) {
	refusedFirst := make(chan bool, 1)
	f := start(t, Options{}, refusedAtHandler(50*time.Millisecond, 300*time.Millisecond, refusedFirst))
	began := time.Now()
	conn, answer := execute(f, shortCall, 20*time.Millisecond)
	response, _, outcome := answer.read(t)
	if took := time.Since(began); response.StatusCode != http.StatusGatewayTimeout || outcome != offload.Complete || took > 200*time.Millisecond {
		t.Errorf("%s after %s, %s", response.Status, took, outcome)
	}
	conn.Cancel()
	if !<-refusedFirst {
		t.Error("the exchange was not told that its caller had been refused")
	}
	if err := f.end(); !errors.Is(err, pipeline.ErrRefusedAtDeadline) {
		t.Errorf("ended with %v", err)
	}
}

// TestShutdownWaitsForExecutedRequests guards against a router that ends before the callers of
// other routers have their responses, and against memory for bodies that is not accounted for.
func TestShutdownWaitsForExecutedRequests(t *testing.T) {
	release := make(chan struct{})
	f := start(t, Options{IdleGrace: time.Millisecond}, func(ctx context.Context, ex *pipeline.Exchange) error {
		<-release
		return answerEmpty(ctx, ex)
	})
	_, answer := execute(f, shortCall, 0)
	for f.Active() == 0 {
		time.Sleep(time.Millisecond)
	}
	if f.HeldBytes() != int64(len("body")) || f.ConnCount() != 0 {
		t.Errorf("%d bytes are held, %d connections", f.HeldBytes(), f.ConnCount())
	}
	shut := make(chan error, 1)
	go func() { shut <- f.Shutdown(context.Background()) }()
	select {
	case <-shut:
		t.Fatal("Shutdown did not wait")
	case <-time.After(acceptQuietPeriod + 50*time.Millisecond):
	}
	close(release)
	if err := await(t, shut); err != nil {
		t.Error(err)
	}
	if _, _, outcome := answer.read(t); outcome != offload.Complete {
		t.Errorf("%s", outcome)
	}
}

// executorSender sends requests to a server in the same process.
type executorSender struct{ executor *Server }

// Available implements offload.Sender.
func (s executorSender) Available() bool { return true }

// Send implements offload.Sender.
func (s executorSender) Send(request offload.Request, answer offload.Answer) offload.Sent {
	conn := newMemoryConn(request.Raw, answer)
	go s.executor.ServeOffloaded(conn, request.Waited, "small-router")
	return conn
}

var rebuiltRequests = []struct {
	name, raw string
}{
	{"simple", shortCall},
	{"no body", get},
	{"query and escapes", "GET /a%20b?c=%2F&d HTTP/1.1\r\nHost: a:80\r\n\r\n"},
	{"absolute target", "GET http://other/x?y HTTP/1.1\r\nHost: a\r\n\r\n"},
	{"old protocol", "GET /x HTTP/1.0\r\n\r\n"},
	{"old protocol, no header", "HEAD /x HTTP/1.0\r\nX-A: b\r\n\r\n"},
	{"repeated, empty and odd headers", "GET /x HTTP/1.1\r\nHost: a\r\nx-a: 1\r\nX-A: 2\r\nX-Empty:\r\nx_odd-CASE:  v  \r\nCookie: a=b; c=d\r\nUser-Agent:\r\n\r\n"},
	{"continued header", "GET /x HTTP/1.1\r\nHost: a\r\nX-A: 1\r\n\t2\r\nX-B: 3\r\n\r\n"},
	{"hop-by-hop headers", "POST /x HTTP/1.1\r\nHost: a\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\nTE: trailers\r\nUpgrade: h2c\r\nContent-Length: 2\r\n\r\nab"},
	{"body of a GET", "GET /x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab"},
	{"chunks", "POST /x HTTP/1.1\r\nHost: a\r\nContent-Type: t\r\nTransfer-Encoding: chunked\r\n\r\n2;ext=1\r\nab\r\n1\r\nc\r\n0\r\n\r\n"},
	{"chunks and a length", "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"},
	{"no chunk", "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
	{"identity", "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: identity\r\nContent-Length: 2\r\n\r\nab"},
	{"expectation", "POST /x HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nab"},
	{"header of ours", "POST /x HTTP/1.1\r\nHost: a\r\nWalnut-Arrival: 1\r\nContent-Length: 2\r\n\r\nab"},
	{"form", "POST /x HTTP/1.1\r\nHost: a\r\nContent-Type: multipart/form-data; boundary=b\r\nContent-Length: 55\r\n\r\n--b\r\nContent-Disposition: form-data; name=a\r\n\r\n1\r\n--b--"},
	{"large body", "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 300000\r\n\r\n" + strings.Repeat("0123456789", 30_000)},
	{"bare line ends", "GET /x HTTP/1.1\nHost: a\nX-A: 1\n\r\n\r\n"},
	{"bare line ends, with a body", "POST /x HTTP/1.1\nHost: a\nContent-Length: 2\nX-A: 1\n\r\n\r\nab"},
	{"path that is refused", "GET /a/../b HTTP/1.1\r\nHost: a\r\n\r\n"},
}

// TestRebuiltRequestsAreEqual guards against a request that targets or filters see differently
// because another router serves it.
func TestRebuiltRequestsAreEqual(t *testing.T) {
	p := newServedPair(t)
	for _, c := range rebuiltRequests {
		want, wantStatus := p.serve(t, p.direct, c.raw)
		got, status := p.serve(t, p.source, c.raw)
		if got != want || status != wantStatus {
			t.Errorf("%s: status %d, want %d\n%.300s\nwant\n%.300s", c.name, status, wantStatus, got, want)
		}
	}
}

// TestTrailersAreNotOffloaded guards against trailer fields that are lost.
func TestTrailersAreNotOffloaded(t *testing.T) {
	p := newServedPair(t)
	for _, announced := range []string{"", "Trailer: X-T\r\n"} {
		raw := "POST /x HTTP/1.1\r\nHost: a\r\n" + announced + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX-T: 1\r\n\r\n"
		if exchange, status := p.serve(t, p.source, raw); exchange != "" || status != http.StatusServiceUnavailable {
			t.Errorf("%q, status %d", exchange, status)
		}
	}
}

// FuzzRebuiltRequest guards against requests that another router reads differently than this one.
func FuzzRebuiltRequest(f *testing.F) {
	for _, c := range rebuiltRequests {
		f.Add([]byte(c.raw))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var original, rebuilt fasthttp.Request
		if !readLikeServer(&original, raw) || !canRebuild(&original) {
			return
		}
		again := rebuildRequest(&original)
		if !readLikeServer(&rebuilt, again) {
			t.Fatalf("%q is not readable any more: %q", raw, again)
		}
		newID := requestID{}
		var first, second fasthttp.RequestCtx
		original.CopyTo(&first.Request)
		rebuilt.CopyTo(&second.Request)
		want, got := describe(newExchange(newID, nil, &first)), describe(newExchange(newID, nil, &second))
		if got != want || original.Header.IsHTTP11() != rebuilt.Header.IsHTTP11() {
			t.Errorf("%q was rebuilt as %q:\n%s\nwant\n%s", raw, again, got, want)
		}
	})
}

// FuzzForwardedRequest guards against a request of the fast path that another router reads differently:
// another body, another head, or bytes that it takes for a further request.
func FuzzForwardedRequest(f *testing.F) {
	for _, c := range rebuiltRequests {
		f.Add([]byte(c.raw))
		f.Add([]byte("\r\n" + c.raw + get))
	}
	f.Fuzz(func(t *testing.T, read []byte) {
		refuser := fastRefuser{}
		refuser.reader = bufio.NewReaderSize(&refuser.source, DefaultMaxHeaderBytes)
		if len(read) > maxFastRefusalBytes || !refuser.parseSimple(read) {
			return
		}
		raw := refuser.clone(read)
		if raw == nil {
			return // it is not offered
		}
		var original, forwarded fasthttp.Request
		if !readLikeServer(&original, read) {
			return
		}
		r := bufio.NewReaderSize(bytes.NewReader(raw), DefaultMaxHeaderBytes)
		if forwarded.Header.Read(r) != nil || forwarded.ContinueReadBody(r, DefaultMaxBodyBytes, false) != nil || r.Buffered() > 0 {
			t.Fatalf("%q is forwarded as %q, %d bytes are left", read, raw, r.Buffered())
		}
		if !bytes.Equal(forwarded.Body(), original.Body()) || !bytes.Equal(forwarded.Header.RawHeaders(), original.Header.RawHeaders()) {
			t.Errorf("%q is forwarded as %q", read, raw)
		}
	})
}

// readLikeServer reads a request as the HTTP library does, and reports whether it is valid.
func readLikeServer(request *fasthttp.Request, raw []byte) bool {
	r := bufio.NewReaderSize(bytes.NewReader(raw), DefaultMaxHeaderBytes)
	if request.Header.Read(r) != nil {
		return false
	}
	request.Header.Del(headerArrival)
	return request.ContinueReadBody(r, DefaultMaxBodyBytes, false) == nil
}

// describe returns everything of an exchange that filters see.
func describe(ex *pipeline.Exchange) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s host=%s type=%s body=%q", ex.Method, ex.Path, ex.Host, ex.ContentType, ex.Body)
	for _, name := range slices.Sorted(maps.Keys(ex.Header)) {
		fmt.Fprintf(&b, "\n%s: %s", name, ex.Header[name])
	}
	return b.String()
}

// servedPair is a router that serves requests, and one that offloads all of them to it.
type servedPair struct {
	direct, source *fixture
	served         chan string
}

func newServedPair(t *testing.T) *servedPair {
	p := &servedPair{served: make(chan string, 100)}
	p.direct = start(t, Options{}, func(_ context.Context, ex *pipeline.Exchange) error {
		p.served <- describe(ex)
		ex.Status = http.StatusOK
		ex.AnswerBody = []byte("answer")
		return nil
	})
	discard := slog.New(slog.DiscardHandler)
	p.source = start(t, Options{Log: discard, Offload: executorSender{p.direct.Server}, Shed: func(bool) bool { return true }}, answerEmpty)
	return p
}

// serve sends a request to one of the routers. It returns the exchange and the number of interim
// responses, empty if there was no exchange, and the status.
func (p *servedPair) serve(t *testing.T, to *fixture, raw string) (exchange string, status int) {
	t.Helper()
	conn, r := to.send(raw)
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatalf("%q: %v", raw, err)
	}
	interim := 0
	for ; response.StatusCode == http.StatusContinue; interim++ {
		if response, err = http.ReadResponse(r, nil); err != nil {
			t.Fatalf("%q: %v", raw, err)
		}
	}
	conn.Close()
	select {
	case exchange = <-p.served:
		exchange += fmt.Sprintf("\n%d interim responses", interim)
	default:
	}
	return exchange, response.StatusCode
}
