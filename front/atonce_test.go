package front

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/dialect"
)

// refuser is an atOnce whose server refuses the next requests that wait, and the listener
// whose connections it accepts.
type refuser struct {
	*atOnce
	listener net.Listener
	left     int
}

func newRefuser(t testing.TB, options Options) *refuser {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	r := &refuser{listener: listener}
	options.Shed = func(bool) bool {
		r.left--
		return r.left >= 0
	}
	s := New(options, answerEmpty)
	t.Cleanup(func() { s.Close() })
	r.atOnce = newAtOnce(listener, s)
	return r
}

// call connects and sends a request, or a part of one.
func (r *refuser) call(t testing.TB, request string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp4", r.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if _, err := io.WriteString(conn, request); err != nil {
		t.Fatal(err)
	}
	return conn
}

// answerOn reads an answer and checks that the connection ends with it.
func answerOn(t *testing.T, conn net.Conn) *http.Response {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	r := bufio.NewReader(conn)
	answer, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		t.Fatal(err)
	}
	answer.Body = io.NopCloser(strings.NewReader(string(body)))
	if _, err := r.ReadByte(); err != io.EOF {
		t.Errorf("the connection goes on: %v", err)
	}
	return answer
}

const shortCall = "POST /a HTTP/1.1\r\nHost: a\r\nWalnut-Request-Id: r-1\r\nContent-Length: 4\r\n\r\nbody"

// TestRefusedAtOnce: a request that has arrived whole with its connection is refused with
// its id, its code and when to come back, and its workspace is told.
func TestRefusedAtOnce(t *testing.T) {
	callerSetsID := *dialect.Own
	callerSetsID.CallerSetsID = true
	callerSetsID.RequestID = "Walnut-Request-Id"
	var told []string
	r := newRefuser(t, Options{
		Dialect: &callerSetsID,
		OnShed: func(host, path []byte, header func(string) []byte) {
			told = append(told, fmt.Sprintf("%s%s %s", host, path, header("Walnut-Request-Id")))
		},
	})
	first := r.call(t, shortCall)
	second := r.call(t, "GET /b?c=d HTTP/1.1\r\nHost: a\r\n\r\n")
	r.left = 2
	before := refusedAtOnce.Get()
	if conn, next := r.refuseWaiting(); conn != nil || next != admitted {
		t.Fatalf("handed over: %v; the next one: %v", conn, next)
	}
	if got := refusedAtOnce.Get() - before; got != 2 {
		t.Errorf("%d refused at once", got)
	}
	answer := answerOn(t, first)
	if answer.StatusCode != http.StatusServiceUnavailable || answer.Header.Get(headerRequestID) != "r-1" ||
		answer.Header.Get(headerCode) != "605" || answer.Header.Get(headerRan) != "no" || answer.Header.Get(headerRetryAfterMS) == "" || !answer.Close {
		t.Errorf("%s %v", answer.Status, answer.Header)
	}
	answerOn(t, second)
	if want := []string{"a/a r-1", "a/b "}; strings.Join(told, ",") != strings.Join(want, ",") {
		t.Errorf("told %q", told)
	}
}

// TestNotRefusedAtOnce: what has not arrived whole, or needs care, goes to the HTTP library
// with what was read of it, and is answered as ever.
func TestNotRefusedAtOnce(t *testing.T) {
	for _, c := range []struct {
		name, sent, rest string
		status           int
	}{
		{"nothing yet", "", shortCall, http.StatusServiceUnavailable},
		{"half of the headers", shortCall[:30], shortCall[30:], http.StatusServiceUnavailable},
		{"half of the body", shortCall[:len(shortCall)-2], shortCall[len(shortCall)-2:], http.StatusServiceUnavailable},
		{"chunks", "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", "", http.StatusServiceUnavailable},
		{"more than is read at once", "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n", strings.Repeat("x", 100_000), http.StatusServiceUnavailable},
		{"no valid request", "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: many\r\n\r\n", "", http.StatusBadRequest},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRefuser(t, Options{})
			caller := r.call(t, c.sent)
			r.left = 1
			conn, _ := r.refuseWaiting()
			if conn == nil {
				t.Fatal("refused at once")
			}
			if _, err := io.WriteString(caller, c.rest); err != nil {
				t.Fatal(err)
			}
			served := make(chan error, 1)
			go func() { served <- r.server.http.ServeConn(conn) }()
			if answer := answerOn(t, caller); answer.StatusCode != c.status {
				t.Errorf("status %d", answer.StatusCode)
			}
			caller.Close()
			<-served // its error says that the caller is gone
		})
	}
}

// TestWhoIsServedAfterRefusals: a connection that is accepted once the server sheds no more
// is served, without another draw; where none waited, its request decides.
func TestWhoIsServedAfterRefusals(t *testing.T) {
	r := newRefuser(t, Options{})
	r.left = 0
	if conn, next := r.refuseWaiting(); conn != nil || next != admitted {
		t.Errorf("%v, %v", conn, next)
	}
	r.left = 1
	if conn, next := r.refuseWaiting(); conn != nil || next != undecided {
		t.Errorf("%v, %v", conn, next)
	}
	r.left = 1
	if r.server.sheds(&callerConn{admission: admitted}) || !r.server.sheds(&callerConn{admission: turnedAway}) {
		t.Error("what was decided is not kept to")
	}
	if !r.server.sheds(&callerConn{kept: true, admission: admitted}) {
		t.Error("a later request of a connection is not drawn for")
	}
}

// TestCallerThatLeftIsNotRefused: nothing is counted for who is gone, and the next is refused.
func TestCallerThatLeftIsNotRefused(t *testing.T) {
	r := newRefuser(t, Options{})
	r.call(t, "").Close()
	next := r.call(t, shortCall)
	r.left = 2
	before := refusedAtOnce.Get()
	if conn, _ := r.refuseWaiting(); conn != nil {
		t.Fatal("handed over")
	}
	if got := refusedAtOnce.Get() - before; got != 1 {
		t.Errorf("%d refused at once", got)
	}
	answerOn(t, next)
}

// BenchmarkRefuse measures a refusal on a new connection, the caller included: at once, and
// by the HTTP library.
func BenchmarkRefuse(b *testing.B) {
	b.Run("at once", func(b *testing.B) {
		r := newRefuser(b, Options{})
		for b.Loop() {
			conn := r.call(b, shortCall)
			r.left = 1
			r.refuseWaiting()
			_, _ = io.Copy(io.Discard, conn)
			conn.Close()
		}
	})
	b.Run("HTTP library", func(b *testing.B) {
		r := newRefuser(b, Options{})
		go r.server.http.Serve(callerListener{Listener: r.listener, server: r.server})
		for b.Loop() {
			r.left = 1
			conn := r.call(b, shortCall)
			_, _ = io.Copy(io.Discard, conn)
			conn.Close()
		}
	})
}
