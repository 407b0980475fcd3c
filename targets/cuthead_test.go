package targets

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// cutHeads are heads of which each proper part is cut off. The first line end of the blank line does not end
// a head either.
var cutHeads = []string{
	"HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 4\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Id: %s\r\nContent-Type: text/plain\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX-Id: %s\r\nConnection: close\r\n\r\n",
	"HTTP/1.0 200 OK\r\nX-Id: %s\r\nContent-Type: text/event-stream\r\n\r\n",
	"HTTP/1.1 200 OK\nX-Id: %s\nContent-Length: 0\n\n",
	"HTTP/1.1 503 Service Unavailable\r\nX-Id: %s\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n",
}

// TestCutHeadIsNoAnswer guards against an answer whose target closes the connection within its head and that
// reaches the caller as a whole one: also the second answer on a connection, one after an interim answer and one
// after a late answer to an earlier request.
func TestCutHeadIsNoAnswer(t *testing.T) {
	before := map[string]func(id string) string{
		"first answer":         func(string) string { return "" },
		"after interim answer": func(string) string { return "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" },
		"after stray answer":   func(string) string { return fullResponse("earlier", "no") },
	}
	for name, prefix := range before {
		for _, kept := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, kept %v", name, kept), func(t *testing.T) {
				for _, head := range cutHeads {
					whole := fmt.Sprintf(head, "r1")
					for cut := range len(whole) {
						checkCutHead(t, prefix("r1")+whole[:cut], kept)
					}
				}
			})
		}
	}
}

// checkCutHead calls a target that answers with a part of a head and closes the connection.
func checkCutHead(t *testing.T, answer string, kept bool) {
	t.Helper()
	var calls atomic.Int32
	address := serveConns(t, func(conn net.Conn) {
		serveRequests(conn, func(id string) (string, bool) {
			if kept && calls.Add(1) == 1 {
				return fullResponse(id, "first"), true
			}
			return answer, false
		})
	})
	client := NewHTTPClient(Options{Dialect: echoDialect})
	defer client.Close()
	if kept {
		first, err := client.Do(context.Background(), Request{ID: "r0", Address: address, Method: "POST", Path: "/"})
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.ReadAll(first.Body)
		first.Body.Close()
	}
	got, err := client.Do(context.Background(), Request{ID: "r1", Address: address, Method: "POST", Path: "/"})
	if err != nil {
		return
	}
	body, err := io.ReadAll(got.Body)
	got.Body.Close()
	t.Errorf("%q is a %d with the body %q, %v", answer[max(0, len(answer)-60):], got.Status, body, err)
}

// serveRequests answers each request on a connection until answer reports that the connection is to be closed.
func serveRequests(conn net.Conn, answer func(id string) (text string, keep bool)) {
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		text, keep := answer(request.Header.Get("X-Id"))
		if _, err := io.WriteString(conn, text); err != nil || !keep {
			return
		}
	}
}

// TestCutHeadOfOwnCall guards against a call of the fleet itself that takes a cut head for an empty answer.
func TestCutHeadOfOwnCall(t *testing.T) {
	for _, head := range cutHeads {
		whole := strings.ReplaceAll(fmt.Sprintf(head, "r1"), "X-Id: r1", "X-Other: 1")
		for cut := range len(whole) {
			address := serveConns(t, func(conn net.Conn) {
				serveRequests(conn, func(string) (string, bool) { return whole[:cut], false })
			})
			client := NewHTTPClient(Options{Dialect: echoDialect})
			if body, err := client.Get(context.Background(), address, "/report", nil); err == nil {
				t.Errorf("%q is an answer with the body %q", whole[:cut], body)
			}
			client.Close()
		}
	}
}
