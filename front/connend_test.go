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
