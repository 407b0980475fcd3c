package front

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/dialect"
	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/result"
)

// TestAnswerIsNotOvertakenByResetForNextRequest guards against a reset that cuts the last answer
// of a connection since the next request has arrived behind it.
func TestAnswerIsNotOvertakenByResetForNextRequest(t *testing.T) {
	answer := bytes.Repeat([]byte("x"), 1<<20)
	f := start(t, Options{CloseAfterAnswer: func() bool { return true }, SendBufferBytes: 2 << 20}, func(_ context.Context, ex *pipeline.Exchange) error {
		ex.Status = http.StatusOK
		ex.AnswerBody = answer
		return nil
	})
	for when, readAfter := range map[string]time.Duration{"before the answer": 2 * maxLingerTime, "after the close": 100 * time.Millisecond} {
		conn := f.dial().(*net.TCPConn)
		if err := conn.SetReadBuffer(16 << 10); err != nil {
			t.Fatal(err)
		}
		fmt.Fprint(conn, get)
		if when == "before the answer" {
			for range 3 {
				fmt.Fprintf(conn, "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 30000\r\n\r\n%s", strings.Repeat("y", 30000))
			}
		}
		time.Sleep(100 * time.Millisecond)
		if when == "after the close" {
			fmt.Fprint(conn, get)
		}
		time.Sleep(readAfter)
		r := bufio.NewReader(conn)
		for closes := false; !closes; {
			response := f.answer(r)
			body, err := io.ReadAll(response.Body)
			if len(body) != len(answer) || err != nil {
				t.Fatalf("%s: %d of %d bytes, %v", when, len(body), len(answer), err)
			}
			closes = response.Close
		}
	}
}

// lateListener accepts connections whose reads begin after the given time, as those of a process
// that gets no processor time do.
type lateListener struct {
	net.Listener
	late time.Duration
}

type lateConn struct {
	*net.TCPConn
	late time.Duration
}

func (l lateListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return lateConn{conn.(*net.TCPConn), l.late}, nil
}

func (c lateConn) Read(b []byte) (int, error) {
	time.Sleep(c.late)
	return c.TCPConn.Read(b)
}

// TestRequestThatArrivedBeforeTheIdleTimeoutIsAnswered guards against connections that are closed as
// idle though their next request has arrived in time: the wait ends at the timeout whether or not bytes
// are there.
func TestRequestThatArrivedBeforeTheIdleTimeoutIsAnswered(t *testing.T) {
	const idleTimeout = 100 * time.Millisecond
	f := startOn(t, func(l net.Listener) net.Listener { return lateListener{l, 2 * idleTimeout} },
		Options{IdleTimeout: idleTimeout, IdleGrace: idleTimeout}, func(_ context.Context, ex *pipeline.Exchange) error {
			ex.Status = http.StatusOK
			return nil
		})
	conn, r := f.send(get)
	f.answer(r)
	fmt.Fprint(conn, get)
	if response := f.answer(r); response.Close {
		t.Errorf("got %v", response)
	}
	done := f.shutdown(context.Background())
	for !f.draining.Load() {
		time.Sleep(time.Millisecond)
	}
	fmt.Fprint(conn, get)
	if response := f.answer(r); !response.Close {
		t.Errorf("got %v", response)
	}
	conn.Close()
	if err := await(t, done); err != nil {
		t.Error(err)
	}
}

// TestPipelinedRequestIsAnsweredBeforeTheClose guards against a connection that is closed after an
// answer though the next request has been received, whole or in part.
func TestPipelinedRequestIsAnsweredBeforeTheClose(t *testing.T) {
	const head = "POST /x HTTP/1.1\r\nHost: a\r\n"
	const post = head + "Content-Length: 5\r\n\r\nhello"
	const chunked = head + "Transfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n"
	const expect = head + "Expect: 100-continue\r\nContent-Length: 5\r\n\r\n"
	long := head + "Content-Length: 50000\r\n\r\n" + strings.Repeat("x", 50000)
	lessLoad := Options{CloseAfterAnswer: func() bool { return true }}
	droppedBefore := nextDropped.Get()
	defer func() {
		if dropped := nextDropped.Get() - droppedBefore; dropped != 1 {
			t.Errorf("%d requests were counted as dropped, want that of the last case", dropped)
		}
	}()
	for _, c := range []struct {
		name         string
		options      Options
		atOnce, late string // what is sent before and after the first answer
		statuses     []int
	}{
		{"less load", lessLoad, get + get, "", []int{200, 200}},
		{"too many connections", Options{MaxKeptConns: 1}, get + get, "", []int{200, 200}},
		{"overloaded", Options{Shed: func(kept bool) bool { return kept }}, get + get + get, "", []int{200, 503, 503}},
		{"overloaded, new connection", Options{Shed: func(bool) bool { return true }}, get + post + get, "", []int{503, 503, 503}},
		{"bodies", lessLoad, post + post, "", []int{200, 200}},
		{"chunks", lessLoad, post + chunked, "", []int{200, 200}},
		{"behind chunks", lessLoad, chunked + get, "", []int{200}}, // the close is clean, and announced
		{"long", lessLoad, long + post, "", []int{200, 200}},
		{"partly arrived", lessLoad, post + post[:10], post[10:], []int{200, 200}},
		{"body to come", lessLoad, get + expect, "hello", []int{200, 100, 200}},
		{"body came", lessLoad, expect + "hello", "", []int{100, 200}},
		{"without end", lessLoad, strings.Repeat(get, 2*maxServedPastClose), "", slices.Repeat([]int{200}, maxServedPastClose+1)},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := start(t, c.options, func(_ context.Context, ex *pipeline.Exchange) error {
				ex.Status = http.StatusOK
				time.Sleep(10 * time.Millisecond)
				return nil
			})
			f.dial() // one more connection
			conn, r := f.send(c.atOnce)
			for i, status := range c.statuses {
				response := f.answer(r)
				_, err := io.Copy(io.Discard, response.Body)
				if response.StatusCode != status || response.Close != (i == len(c.statuses)-1) || err != nil {
					t.Errorf("answer %d: %v, %v", i, response, err)
				}
				if i == 0 {
					fmt.Fprint(conn, c.late)
				}
			}
			if _, err := r.ReadByte(); err != io.EOF {
				t.Errorf("the connection ends with %v", err)
			}
		})
	}
}

// TestIdleLimitOfTheConfiguration guards against connections that are closed as idle while their callers
// may still use them by the configuration in force.
func TestIdleLimitOfTheConfiguration(t *testing.T) {
	const idleTimeout, longer = 100 * time.Millisecond, time.Second
	for _, c := range []struct {
		name          string
		before, after time.Duration // the limit, before and after the connection became idle
		idle          time.Duration
		closed        bool
	}{
		{"not stated", 0, 0, longer / 2, true},
		{"long", longer, longer, longer * 4 / 5, false},
		{"over", longer, longer, longer * 3 / 2, true},
		{"made longer", idleTimeout, longer, longer * 4 / 5, false},
		{"made shorter", longer, idleTimeout / 2, longer * 4 / 5, false},
		{"shorter than the timeout", idleTimeout / 2, idleTimeout / 2, idleTimeout * 4 / 5, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var limit atomic.Int64
			limit.Store(int64(c.before))
			f := start(t, Options{IdleTimeout: idleTimeout, IdleLimit: func() time.Duration { return time.Duration(limit.Load()) }}, answerEmpty)
			conn, r := f.send(get)
			f.answer(r)
			time.Sleep(idleTimeout / 2) // the wait has begun
			limit.Store(int64(c.after))
			time.Sleep(c.idle - idleTimeout/2)
			fmt.Fprint(conn, get)
			if _, err := http.ReadResponse(r, nil); (err != nil) != c.closed {
				t.Errorf("the request got %v", err)
			}
		})
	}
}

// TestCloseDoesNotBlameTheCaller guards against requests that a stopping router breaks off with a result
// that says that their callers had gone, which a caller may take for its own fault.
func TestCloseDoesNotBlameTheCaller(t *testing.T) {
	arrived := make(chan struct{}, 1)
	f := start(t, Options{Dialect: &dialect.Dialect{StatusTellsNotRun: true}}, func(ctx context.Context, ex *pipeline.Exchange) error {
		arrived <- struct{}{}
		<-ctx.Done()
		refusal := result.New(result.CallerGone, "The request was cancelled.")
		if ex.Path == "/sent" {
			refusal.Ran = result.RanUnknown
		}
		return refusal
	})
	_, waiting := f.send("GET /waiting HTTP/1.1\r\nHost: a\r\n\r\n")
	_, sent := f.send("GET /sent HTTP/1.1\r\nHost: a\r\n\r\n")
	await(t, arrived)
	await(t, arrived)
	if err := f.Close(); err != nil {
		t.Error(err)
	}
	for _, c := range []struct {
		r      *bufio.Reader
		status int
		ran    string
	}{{waiting, http.StatusServiceUnavailable, "no"}, {sent, http.StatusBadGateway, "unknown"}} {
		response := f.answer(c.r)
		if response.StatusCode != c.status || response.Header.Get("Walnut-Code") != "503" || response.Header.Get("Walnut-Ran") != c.ran || !response.Close {
			t.Errorf("got %v", response)
		}
	}
}

// TestShutdownInTheMiddleOfRequests guards against requests that a shutdown drops while they arrive or wait
// behind another one.
func TestShutdownInTheMiddleOfRequests(t *testing.T) {
	const head = "POST /x HTTP/1.1\r\nHost: a\r\n"
	const chunked = head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
	const expect = head + "Expect: 100-continue\r\nContent-Length: 5\r\n\r\n"
	const wait = "GET /wait HTTP/1.1\r\nHost: a\r\n\r\n"
	const idleGrace = 400 * time.Millisecond
	for _, c := range []struct {
		name         string
		before, late string // what is sent before the shutdown, and half of IdleGrace after its beginning
		statuses     []int
	}{
		{"two requests", wait + get, "", []int{200, 200}},
		{"second comes", wait, get, []int{200, 200}},
		{"half a body", get + head + "Content-Length: 5\r\n\r\nhe", "llo", []int{200, 200}},
		{"half a head", get + head, "Content-Length: 0\r\n\r\n", []int{200, 200}},
		{"half of the chunks", chunked[:len(chunked)-7], chunked[len(chunked)-7:], []int{200}},
		{"body to come", expect, "hello", []int{100, 200}},
		{"idle", get, get, []int{200, 200}},
		{"idle, two requests", get, get + get, []int{200, 200, 200}},
		{"new", "", get, []int{200}},
		{"body never comes", head + "Content-Length: 5\r\n\r\nhe", "", []int{408}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			release := make(chan struct{})
			f := start(t, Options{IdleGrace: idleGrace, ReadTimeout: 3 * idleGrace}, func(ctx context.Context, ex *pipeline.Exchange) error {
				if ex.Path == "/wait" {
					<-release
				}
				return answerEmpty(ctx, ex)
			})
			conn, r := f.send(c.before)
			time.Sleep(idleGrace / 4)
			done := f.shutdown(context.Background())
			time.Sleep(idleGrace / 2)
			fmt.Fprint(conn, c.late)
			time.Sleep(idleGrace / 4)
			close(release)
			for i, status := range c.statuses {
				response := f.answer(r)
				_, err := io.Copy(io.Discard, response.Body)
				isLast := i == len(c.statuses)-1
				if response.StatusCode != status || isLast && !response.Close || err != nil {
					t.Errorf("answer %d: %v, %v", i, response, err)
				}
			}
			if _, err := r.ReadByte(); err != io.EOF {
				t.Errorf("the connection ends with %v", err)
			}
			conn.Close()
			if err := await(t, done); err != nil {
				t.Error(err)
			}
		})
	}
}

// TestRefusalReachesSlowSender guards against a reset that cuts off a caller who is still sending a body that
// was refused, and has not yet read the refusal.
func TestRefusalReachesSlowSender(t *testing.T) {
	const head = "POST /x HTTP/1.1\r\nHost: a\r\n"
	const pieces, every = 9, maxLingerTime / 3
	for name, framing := range map[string]string{
		"length": "Content-Length: 90000\r\n\r\n",
		"chunks": "Transfer-Encoding: chunked\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := start(t, Options{MaxBodyBytes: 10000, MaxHeldBytes: 10000}, answerEmpty)
			conn := f.dial()
			piece := strings.Repeat("x", 10000)
			if name == "chunks" {
				piece = "2710\r\n" + piece + "\r\n"
			}
			fmt.Fprint(conn, head+framing)
			for i := range pieces {
				if _, err := fmt.Fprint(conn, piece); err != nil {
					t.Fatalf("piece %d: %v", i, err)
				}
				time.Sleep(every)
			}
			r := bufio.NewReader(conn)
			response := f.answer(r)
			if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode < 400 || !response.Close {
				t.Errorf("got %v, %v", response, err)
			}
			if _, err := r.ReadByte(); err != io.EOF {
				t.Errorf("the connection ends with %v", err)
			}
		})
	}
}

// TestNewConnectionMayBeIdle guards against a new connection that is closed before its first request, in
// less time than a caller may stay idle.
func TestNewConnectionMayBeIdle(t *testing.T) {
	const readTimeout, idleTimeout = 50 * time.Millisecond, 500 * time.Millisecond
	for name, c := range map[string]struct {
		idle   time.Duration
		closed bool
	}{"in time": {idleTimeout * 4 / 5, false}, "late": {idleTimeout * 3 / 2, true}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := start(t, Options{ReadTimeout: readTimeout, IdleTimeout: idleTimeout}, answerEmpty)
			conn, r := f.send("")
			time.Sleep(c.idle)
			fmt.Fprint(conn, get)
			if _, err := http.ReadResponse(r, nil); (err != nil) != c.closed {
				t.Errorf("the request got %v", err)
			}
		})
	}
}
