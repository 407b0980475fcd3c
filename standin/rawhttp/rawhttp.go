// Package rawhttp is a stand-in for servers that break the rules of HTTP: it answers requests with given bytes.
package rawhttp

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// smallWindow is the receive buffer of a server that does not read a long body, in bytes.
const smallWindow = 64 << 10

// Start starts a server that passes each connection to serve, and closes it afterwards. It returns its address.
func Start(t testing.TB, serve func(net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(conn)
			}()
		}
	}()
	return listener.Addr().String()
}

// Answer reads a request and answers it with a text.
func Answer(text func(*http.Request) string) func(net.Conn) {
	return func(conn net.Conn) {
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, text(request)) // fails if the client has gone
	}
}

// Cut is how an answer breaks off.
type Cut struct {
	// After is the time between the answer and the end of the connection.
	After time.Duration
	// Reset resets the connection at once, which the system otherwise does only if the request has not been read.
	Reset bool
}

// AnswerEarly answers each request with a text before it reads the body of the request, and then breaks off.
func AnswerEarly(text func(*http.Request) string, cut Cut) func(net.Conn) {
	return func(conn net.Conn) {
		tcp := conn.(*net.TCPConn)
		_ = tcp.SetReadBuffer(smallWindow)
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, text(request))
		time.Sleep(cut.After)
		if cut.Reset {
			_ = tcp.SetLinger(0)
		}
	}
}
