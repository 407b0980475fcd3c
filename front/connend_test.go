package front

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/pipeline"
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
		response := f.answer(bufio.NewReader(conn))
		body, err := io.ReadAll(response.Body)
		if len(body) != len(answer) || err != nil || !response.Close {
			t.Errorf("%s: %d of %d bytes, %v", when, len(body), len(answer), err)
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
