package targets

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/dialect"
	"github.com/walnutcove/walnutcove/result"
)

const (
	headerNotRun = "X-Not-Run"
	// longBodyBytes is more than the buffers of a connection take while its other end does not read.
	longBodyBytes = 16 << 20
	// smallWindow is the receive buffer of a target that does not read a long body.
	smallWindow = 64 << 10
)

// refusal returns an answer that states that the request did not run.
func refusal(id string) string {
	return "HTTP/1.1 503 Service Unavailable\r\nX-Id: " + id + "\r\n" + headerNotRun + ": 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
}

// serveEarly answers short requests, and long ones with a text before it has read them, and then closes
// the connection.
func serveEarly(t *testing.T, early string) string {
	t.Helper()
	return serveConns(t, func(conn net.Conn) {
		_ = conn.(*net.TCPConn).SetReadBuffer(smallWindow)
		reader := bufio.NewReader(conn)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			id := request.Header.Get("X-Id")
			if request.ContentLength == longBodyBytes {
				_, _ = io.WriteString(conn, early)
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(conn, fullResponse(id, "for "+id))
		}
	})
}

// TestStrayBeforeEarlyAnswerIsSkipped guards against a late second answer to an earlier request that
// reaches the caller of a long request, which the target answers before it has read it.
func TestStrayBeforeEarlyAnswerIsSkipped(t *testing.T) {
	stray := fullResponse("earlier", "again for earlier")
	for name, c := range map[string]struct {
		early string
		code  result.Code
		ran   result.Ran
	}{
		"refusal":                {refusal("long"), result.TargetRefused, result.RanNo},
		"stray, refusal":         {stray + refusal("long"), result.TargetRefused, result.RanNo},
		"two strays, refusal":    {stray + stray + refusal("long"), result.TargetRefused, result.RanNo},
		"refusal of another one": {refusal("earlier"), result.TargetLostRequest, result.RanUnknown},
		"stray alone":            {stray, result.TargetLostRequest, result.RanUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			d := *echoDialect
			d.RefusedNotRun = func(_ int, header dialect.Getter) bool { return header(headerNotRun) != "" }
			client := NewHTTPClient(Options{Dialect: &d, FirstByteTimeout: 10 * time.Second})
			defer client.Close()
			address := serveEarly(t, c.early)
			answer, err := client.Do(t.Context(), Request{ID: "earlier", Address: address, Method: http.MethodPost, Path: "/"})
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.ReadAll(answer.Body); err != nil {
				t.Fatal(err)
			}
			long := Request{ID: "long", Address: address, Method: http.MethodPost, Path: "/", Body: bytes.Repeat([]byte("x"), longBodyBytes)}
			answer, err = client.Do(t.Context(), long)
			if err == nil {
				body, _ := io.ReadAll(answer.Body)
				t.Fatalf("got status %d with id %q and body %q", answer.Status, answer.Header["X-Id"], body)
			}
			var refused *result.Error
			if !errors.As(err, &refused) || refused.Code != c.code || refused.Ran != c.ran {
				t.Errorf("got %v, want code %d, %v", err, c.code, c.ran)
			}
		})
	}
}
