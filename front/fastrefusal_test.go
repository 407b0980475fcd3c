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

// refuserFixture is a fastRefuser with the listener whose connections it accepts. Its server
// sheds the next shedsLeft requests.
type refuserFixture struct {
	*fastRefuser
	listener  net.Listener
	shedsLeft int
}

func newRefuser(t testing.TB, options Options) *refuserFixture {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	r := &refuserFixture{listener: listener}
	options.Shed = func(bool) bool {
		r.shedsLeft--
		return r.shedsLeft >= 0
	}
	s := New(options, answerEmpty)
	t.Cleanup(func() { s.Close() })
	r.fastRefuser = newFastRefuser(listener, s)
	return r
}

// call connects and sends a request or a part of one.
func (r *refuserFixture) call(t testing.TB, request string) net.Conn {
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

// answerOn reads an answer and checks that the connection is closed after it.
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
		t.Errorf("the connection is not closed: %v", err)
	}
	return answer
}

const shortCall = "POST /a HTTP/1.1\r\nHost: a\r\nWalnut-Request-Id: r-1\r\nContent-Length: 4\r\n\r\nbody"

// TestFastRefusal checks that a request that has arrived whole with its connection is refused
// with its id, result code and retry delay, and that ConfirmShed is called for it, and its countRefused.
func TestFastRefusal(t *testing.T) {
	callerSetsID := *dialect.Own
	callerSetsID.CallerSetsID = true
	callerSetsID.RequestID = "Walnut-Request-Id"
	var shedRequests []string
	r := newRefuser(t, Options{
		Dialect: &callerSetsID,
		ConfirmShed: func(_ bool, host, path []byte, header func(string) []byte) (bool, func()) {
			request := fmt.Sprintf("%s%s %s", host, path, header("Walnut-Request-Id"))
			return true, func() { shedRequests = append(shedRequests, request) }
		},
	})
	first := r.call(t, shortCall)
	second := r.call(t, "GET /b?c=d HTTP/1.1\r\nHost: a\r\n\r\n")
	r.shedsLeft = 2
	refusalsBefore := fastRefusals.Get()
	if conn, nextAdmission := r.refuseWaiting(); conn != nil || nextAdmission != admitted {
		t.Fatalf("handed over: %v; admission of the next connection: %v", conn, nextAdmission)
	}
	if got := fastRefusals.Get() - refusalsBefore; got != 2 {
		t.Errorf("%d fast refusals", got)
	}
	answer := answerOn(t, first)
	if answer.StatusCode != http.StatusServiceUnavailable || answer.Header.Get(headerRequestID) != "r-1" ||
		answer.Header.Get(headerCode) != "605" || answer.Header.Get(headerRan) != "no" || answer.Header.Get(headerRetryAfterMS) == "" || !answer.Close {
		t.Errorf("%s %v", answer.Status, answer.Header)
	}
	answerOn(t, second)
	if want := []string{"a/a r-1", "a/b "}; strings.Join(shedRequests, ",") != strings.Join(want, ",") {
		t.Errorf("ConfirmShed got %q", shedRequests)
	}
}

// TestFastRefusalHandsOverOtherRequests checks that a request that has not arrived whole or is
// not a simple one goes to the HTTP library, with the bytes read so far, and is answered there.
func TestFastRefusalHandsOverOtherRequests(t *testing.T) {
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
			r.shedsLeft = 1
			conn, _ := r.refuseWaiting()
			if conn == nil {
				t.Fatal("refused by the fast path")
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
			<-served // its error reports that the caller is gone
		})
	}
}

// TestFastRefusalHandsOverPipelinedRequests guards against a request that is dropped since the fast path has
// read it behind the one that it refuses.
func TestFastRefusalHandsOverPipelinedRequests(t *testing.T) {
	r := newRefuser(t, Options{})
	caller := r.call(t, shortCall+shortCall)
	r.shedsLeft = 2
	conn, _ := r.refuseWaiting()
	if conn == nil {
		t.Fatal("refused by the fast path")
	}
	served := make(chan error, 1)
	go func() { served <- r.server.http.ServeConn(conn) }()
	_ = caller.SetReadDeadline(time.Now().Add(eventTimeout))
	reader := bufio.NewReader(caller)
	for i := range 2 {
		answer, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("answer %d: %v", i, err)
		}
		if _, err := io.Copy(io.Discard, answer.Body); err != nil || answer.StatusCode != http.StatusServiceUnavailable || answer.Close != (i == 1) {
			t.Errorf("answer %d: %v, %v", i, answer, err)
		}
	}
	caller.Close()
	<-served // its error reports that the caller is gone
}

// TestFastRefusalHandsOverExemptRequests checks that a request which ConfirmShed exempts goes to
// the HTTP library with all its bytes, and is served there without asking Shed again.
func TestFastRefusalHandsOverExemptRequests(t *testing.T) {
	r := newRefuser(t, Options{ConfirmShed: func(bool, []byte, []byte, func(string) []byte) (bool, func()) { return false, nil }})
	caller := r.call(t, strings.Replace(shortCall, "Host: a", "Host: a\r\nConnection: close", 1))
	r.shedsLeft = 2
	conn, admission := r.refuseWaiting()
	if conn == nil || admission != admitted {
		t.Fatalf("%v, admission %v", conn, admission)
	}
	served := make(chan error, 1)
	go func() { served <- r.server.http.ServeConn(conn) }()
	if answer := answerOn(t, caller); answer.StatusCode != http.StatusOK {
		t.Errorf("status %d", answer.StatusCode)
	}
	caller.Close()
	<-served // its error reports that the caller is gone
}

// TestAdmissionAfterFastRefusals checks that a connection accepted after the server has stopped
// shedding is served without asking Shed again, and that if none was pending, the decision is
// made when the request has been read.
func TestAdmissionAfterFastRefusals(t *testing.T) {
	r := newRefuser(t, Options{})
	r.shedsLeft = 0
	if conn, nextAdmission := r.refuseWaiting(); conn != nil || nextAdmission != admitted {
		t.Errorf("%v, %v", conn, nextAdmission)
	}
	r.shedsLeft = 1
	if conn, nextAdmission := r.refuseWaiting(); conn != nil || nextAdmission != undecided {
		t.Errorf("%v, %v", conn, nextAdmission)
	}
	r.shedsLeft = 1
	if r.server.shouldShed(&callerConn{admission: admitted}) || !r.server.shouldShed(&callerConn{admission: rejected}) {
		t.Error("the admission of the connection is ignored")
	}
	if !r.server.shouldShed(&callerConn{reused: true, admission: admitted}) {
		t.Error("Shed is not asked about a later request of a connection")
	}
}

// TestFastRefusalSkipsClosedConnections checks that a connection that its caller has closed is
// not counted as refused, and that the next request is refused.
func TestFastRefusalSkipsClosedConnections(t *testing.T) {
	r := newRefuser(t, Options{})
	r.call(t, "").Close()
	next := r.call(t, shortCall)
	r.shedsLeft = 2
	refusalsBefore := fastRefusals.Get()
	if conn, _ := r.refuseWaiting(); conn != nil {
		t.Fatal("handed over")
	}
	if got := fastRefusals.Get() - refusalsBefore; got != 1 {
		t.Errorf("%d fast refusals", got)
	}
	answerOn(t, next)
}

// BenchmarkRefuse measures a refusal on a new connection, including the caller's work: by the
// fast path, and by the HTTP library.
func BenchmarkRefuse(b *testing.B) {
	b.Run("at once", func(b *testing.B) {
		r := newRefuser(b, Options{})
		for b.Loop() {
			conn := r.call(b, shortCall)
			r.shedsLeft = 1
			r.refuseWaiting()
			_, _ = io.Copy(io.Discard, conn)
			conn.Close()
		}
	})
	b.Run("HTTP library", func(b *testing.B) {
		r := newRefuser(b, Options{})
		go r.server.http.Serve(callerListener{Listener: r.listener, server: r.server})
		for b.Loop() {
			r.shedsLeft = 1
			conn := r.call(b, shortCall)
			_, _ = io.Copy(io.Discard, conn)
			conn.Close()
		}
	})
}
