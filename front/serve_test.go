package front

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/result"
)

// eventTimeout limits the wait for events that must happen.
const eventTimeout = 20 * time.Second

// fixture is a server on loopback that records how its exchanges end.
type fixture struct {
	*Server
	t       *testing.T
	address string
	ends    chan error
}

// start serves handler. When the test ends, it checks that each exchange has ended
// exactly once.
func start(t *testing.T, options Options, handler pipeline.Handler) *fixture {
	t.Helper()
	return startOn(t, func(l net.Listener) net.Listener { return l }, options, handler)
}

// startOn is start on a listener that wrap changes.
func startOn(t *testing.T, wrap func(net.Listener) net.Listener, options Options, handler pipeline.Handler) *fixture {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var begun, ended atomic.Int64
	f := &fixture{t: t, address: listener.Addr().String(), ends: make(chan error, 10000)}
	f.Server = New(options, func(ctx context.Context, ex *pipeline.Exchange) error {
		begun.Add(1)
		ex.OnEnd(func(err error) { ended.Add(1); f.ends <- err })
		return handler(ctx, ex)
	})
	served := make(chan error, 1)
	go func() { served <- f.Serve(wrap(listener)) }()
	t.Cleanup(func() {
		f.Close()
		if err := <-served; err != nil {
			t.Errorf("Serve: %v", err)
		}
		ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
		defer cancel()
		if err := f.waitUntil(ctx, f.allClosed); err != nil || begun.Load() != ended.Load() || f.Active() != 0 {
			t.Errorf("%d exchanges begun, %d ended, %d active, %v", begun.Load(), ended.Load(), f.Active(), err)
		}
	})
	return f
}

// dial opens a connection that is closed when the test ends.
func (f *fixture) dial() net.Conn {
	f.t.Helper()
	conn, err := net.Dial("tcp4", f.address)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(eventTimeout)); err != nil {
		f.t.Fatal(err)
	}
	return conn
}

// send writes raw text on a new connection.
func (f *fixture) send(text string) (net.Conn, *bufio.Reader) {
	conn := f.dial()
	// The server may close early; reading the answer shows that.
	_, _ = io.WriteString(conn, text)
	return conn, bufio.NewReader(conn)
}

// answer reads the status line and headers of an answer.
func (f *fixture) answer(r *bufio.Reader) *http.Response {
	f.t.Helper()
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		f.t.Fatal(err)
	}
	return response
}

// end waits for an exchange to end and returns its error.
func (f *fixture) end() error {
	f.t.Helper()
	return await(f.t, f.ends)
}

func await[T any](t *testing.T, c <-chan T) (value T) {
	t.Helper()
	select {
	case value = <-c:
	case <-time.After(eventTimeout):
		t.Fatal("timed out")
	}
	return value
}

// answerWith returns a pipeline that answers every request with the same stream.
func answerWith(stream io.ReadCloser) pipeline.Handler {
	return func(_ context.Context, ex *pipeline.Exchange) error {
		ex.Status = http.StatusOK
		ex.AnswerStream = stream
		return nil
	}
}

// brokenStream returns some text and then an error.
func brokenStream() io.ReadCloser {
	return io.NopCloser(io.MultiReader(strings.NewReader("half"), failingReader{}))
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errors.New("target lost") }

const get = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n"

func TestStreamIsSentTokenByToken(t *testing.T) {
	reader, writer := io.Pipe()
	f := start(t, Options{}, answerWith(reader))
	_, r := f.send(get)
	body := bufio.NewReader(f.answer(r).Body) // the headers come before any token
	for i := range 5 {
		token := fmt.Sprintf("data: %d\n", i)
		go io.WriteString(writer, token)
		// The next token is written only after this one has arrived.
		if line, err := body.ReadString('\n'); line != token || err != nil {
			t.Fatalf("got %q, %v", line, err)
		}
	}
	writer.Close()
	if rest, err := io.ReadAll(body); len(rest) > 0 || err != nil {
		t.Fatalf("after the end: %q, %v", rest, err)
	}
	if err := f.end(); err != nil {
		t.Fatalf("exchange ended with %v", err)
	}
}

func TestBrokenStreamNeverEndsCleanly(t *testing.T) {
	f := start(t, Options{}, func(ctx context.Context, ex *pipeline.Exchange) error {
		return answerWith(brokenStream())(ctx, ex)
	})
	_, r := f.send(get)
	body, err := io.ReadAll(f.answer(r).Body)
	if string(body) != "half" || !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("HTTP/1.1 caller got %q, %v", body, err)
	}
	_, r = f.send("GET /x HTTP/1.0\r\n\r\n")
	if response := f.answer(r); response.Header.Get("Walnut-Code") != "801" {
		t.Errorf("HTTP/1.0 caller got %v", response)
	}
	for range 2 {
		if err := f.end(); err == nil {
			t.Error("exchange ended without an error")
		}
	}
}

func TestAnswersWithoutBody(t *testing.T) {
	f := start(t, Options{}, func(ctx context.Context, ex *pipeline.Exchange) error {
		err := answerWith(brokenStream())(ctx, ex)
		if ex.Method == http.MethodGet {
			ex.Status = http.StatusNoContent
		}
		return err
	})
	// Pipelined, so that an unexpected body would be read as the next answer.
	_, r := f.send("HEAD /x HTTP/1.1\r\nHost: a\r\n\r\n" + get)
	head, err := http.ReadResponse(r, &http.Request{Method: http.MethodHead})
	if err != nil || head.StatusCode != http.StatusOK {
		t.Fatalf("HEAD: %v, %v", head, err)
	}
	if response := f.answer(r); response.StatusCode != http.StatusNoContent {
		t.Fatalf("GET: %v", response)
	}
	for range 2 {
		if err := f.end(); err != nil {
			t.Error(err)
		}
	}
}

func TestRefusals(t *testing.T) {
	f := start(t, Options{}, func(_ context.Context, ex *pipeline.Exchange) error {
		switch ex.Path {
		case "/panic":
			panic("fault")
		case "/plain":
			return errors.New("no code")
		}
		return result.New(result.QueueFull, "Too many.").WithRetryAfter(1500 * time.Millisecond)
	})
	for _, c := range []struct {
		path, code, ran, seconds, millis string
		status                           int
	}{
		{"/full", "501", "no", "2", "1500", 429},
		{"/panic", "901", "unknown", "", "", 500},
		{"/plain", "901", "unknown", "", "", 500},
		{"/a/../b", "101", "no", "", "", 400},
		{"/a%2Fb", "101", "no", "", "", 400},
		{"/%2e%2E/b", "101", "no", "", "", 400},
		{"//b", "101", "no", "", "", 400},
	} {
		_, r := f.send("GET " + c.path + " HTTP/1.1\r\nHost: a\r\n\r\n")
		response := f.answer(r)
		h := response.Header
		got := []string{h.Get("Walnut-Code"), h.Get("Walnut-Ran"), h.Get("Retry-After"), h.Get("Retry-After-Ms")}
		want := []string{c.code, c.ran, c.seconds, c.millis}
		if response.StatusCode != c.status || fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("%s: got %d %q, want %d %q", c.path, response.StatusCode, got, c.status, want)
		}
		body, _ := io.ReadAll(response.Body)
		inBody := fmt.Sprintf(`"ran":%q,"request_id":%q`, c.ran, h.Get("Walnut-Request-Id"))
		if !bytes.Contains(body, []byte(inBody)) || !bytes.Contains(body, []byte(`"code":`+c.code)) {
			t.Errorf("%s: body %s", c.path, body)
		}
	}
}

func TestUnreadableRequestsAreRefused(t *testing.T) {
	options := Options{MaxBodyBytes: 1000, MaxHeaderBytes: 2000, ReadTimeout: 50 * time.Millisecond}
	f := start(t, options, func(context.Context, *pipeline.Exchange) error {
		t.Error("the pipeline was run")
		return nil
	})
	head := "POST /x HTTP/1.1\r\nHost: a\r\n"
	for _, c := range []struct{ name, text, code string }{
		{"long body", head + "Content-Length: 1001\r\n\r\n", "102"},
		{"long chunked body", head + "Transfer-Encoding: chunked\r\n\r\n3e9\r\n" + strings.Repeat("x", 1001), "102"},
		{"long headers", head + "A: " + strings.Repeat("x", 3000) + "\r\n\r\n", "103"},
		{"many headers", head + strings.Repeat("A: b\r\n", maxHeaderCount) + "\r\n", "103"},
		{"slow headers", head, "105"},
		{"slow body", head + "Content-Length: 10\r\n\r\nx", "105"},
		{"no HTTP", "hello\r\n\r\n", "101"},
	} {
		_, r := f.send(c.text)
		response := f.answer(r)
		if code := response.Header.Get("Walnut-Code"); code != c.code || response.Header.Get("Walnut-Ran") != "no" {
			t.Errorf("%s: got %v", c.name, response)
		}
	}
}

func TestRefusalIsNotOvertakenByReset(t *testing.T) {
	f := start(t, Options{MaxBodyBytes: 1000}, answerWith(brokenStream()))
	conn := f.dial()
	const size = 8 << 20
	text := fmt.Sprintf("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
	// The refusal comes while the body is still being sent.
	if n, err := io.WriteString(conn, text); err != nil {
		t.Errorf("connection reset after %d bytes: %v", n, err)
	}
	if response := f.answer(bufio.NewReader(conn)); response.Header.Get("Walnut-Code") != "102" {
		t.Errorf("got %v", response)
	}
}

// bodyFor returns the name once or, for every tenth request, repeated until the body is
// too large to be copied.
func bodyFor(name string, i int) string {
	if i%10 != 0 {
		return name
	}
	return strings.Repeat(name, maxCopiedBodyBytes/len(name)+1)
}

func TestExchangesDoNotShareBuffersUnderLoad(t *testing.T) {
	const callers, requestsEach = 16, 100
	// Each answer is written while another request is served, and every exchange
	// is checked again after its buffers have been reused.
	answers := make(chan func(), callers*requestsEach)
	served := make(chan *pipeline.Exchange, callers*requestsEach)
	f := start(t, Options{}, func(ctx context.Context, ex *pipeline.Exchange) error {
		done := make(chan struct{})
		answers <- func() {
			ex.Status = http.StatusOK
			ex.AnswerHeader = map[string]string{"X-Echo": ex.Header["X-Name"]}
			ex.AnswerBody = []byte(ex.Method + ex.Path + string(ex.Body))
			close(done)
		}
		select {
		case f := <-answers:
			f()
		case <-ctx.Done():
		}
		<-done
		served <- ex
		return nil
	})
	var wait sync.WaitGroup
	for caller := range callers {
		wait.Go(func() {
			conn := f.dial()
			r := bufio.NewReader(conn)
			for i := range requestsEach {
				name := fmt.Sprintf("%d-%d", caller, i)
				sent := bodyFor(name, i)
				fmt.Fprintf(conn, "POST /p%s HTTP/1.1\r\nHost: a\r\nX-Name: %s\r\nContent-Length: %d\r\n\r\n%s", name, name, len(sent), sent)
				response, err := http.ReadResponse(r, nil)
				if err != nil {
					t.Error(err)
					return
				}
				body, err := io.ReadAll(response.Body)
				if err != nil || string(body) != "POST/p"+name+sent || response.Header.Get("X-Echo") != name {
					t.Errorf("%s got %.80q, %q, %v", name, body, response.Header.Get("X-Echo"), err)
				}
			}
		})
	}
	wait.Wait()
	close(served)
	seen := make(map[string]bool)
	for ex := range served {
		name := ex.Header["X-Name"]
		if !strings.HasPrefix(string(ex.Body), name) || strings.ReplaceAll(string(ex.Body), name, "") != "" || ex.Path != "/p"+name || seen[name] || seen[ex.ID] {
			t.Errorf("exchange %s of %s now holds %s %.80q", ex.ID, name, ex.Path, ex.Body)
		}
		seen[name], seen[ex.ID] = true, true
	}
}
