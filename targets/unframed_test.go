package targets

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/result"
)

// unframedStreamHead begins an event stream that ends with its connection.
const unframedStreamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream; charset=utf-8\r\nX-Id: mine\r\n\r\n"

// serveOnce answers the first request with the given parts, each written by itself, and closes
// the connection.
func serveOnce(t *testing.T, parts ...string) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		for _, part := range parts {
			if _, err := io.WriteString(conn, part); err != nil {
				return
			}
		}
	}()
	return listener.Addr().String()
}

// TestEventStreamCutByCloseIsBroken guards against taking an event stream for complete that
// ends with its connection, but inside an event.
func TestEventStreamCutByCloseIsBroken(t *testing.T) {
	for name, tc := range map[string]struct {
		body  string
		whole bool
	}{
		"whole, LF":                      {"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", true},
		"whole, CRLF":                    {"id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n", true},
		"whole, CR":                      {"id: 1\rdata: a\r\rid: 2\rdata: b\r\r", true},
		"whole, then a comment":          {"data: a\n\n: ping\n", true},
		"whole, then empty lines":        {"data: a\n\n\n\n", true},
		"inside data":                    {"id: 1\ndata: a\n\nid: 2\nda", false},
		"inside the first event":         {"id: 1\nda", false},
		"after an id line":               {"data: a\n\nid: 2\n", false},
		"before the blank line, LF":      {"data: a\n\ndata: b\n", false},
		"before the blank line, CRLF":    {"data: a\r\n\r\ndata: b\r\n", false},
		"before the blank line, CR":      {"data: a\r\rdata: b\r", false},
		"inside the last line end, CRLF": {"data: a\r\n\r\ndata: b\r\n\r", false},
		"inside a comment":               {"data: a\n\n: pi", false},
		"without any event":              {"", false},
	} {
		t.Run(name, func(t *testing.T) {
			set := metrics.NewSet()
			client := NewHTTPClient(Options{Dialect: echoDialect, Metrics: set})
			defer client.Close()
			for split := range len(tc.body) + 1 {
				address := serveOnce(t, unframedStreamHead+tc.body[:split], tc.body[split:])
				answer, err := client.Do(context.Background(), Request{ID: "mine", Address: address, Method: "GET", Path: "/"})
				if err != nil {
					t.Fatal(err)
				}
				body, err := io.ReadAll(answer.Body)
				answer.Body.Close()
				if string(body) != tc.body {
					t.Fatalf("body is %q, want %q", body, tc.body)
				}
				if tc.whole {
					if err != nil {
						t.Errorf("whole stream ended with %v", err)
					}
					continue
				}
				var broken *result.Error
				if !errors.As(err, &broken) || broken.Code != result.StreamBroken || broken.Ran != result.RanUnknown || errors.Is(err, io.EOF) {
					t.Fatalf("cut stream ended with %v", err)
				}
			}
		})
	}
}

// TestStreamFramedByLengthOrChunksIsWhole guards against judging a stream by its last event
// where its length or its chunks prove that it is whole.
func TestStreamFramedByLengthOrChunksIsWhole(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Id: mine\r\n"
	for _, raw := range []string{
		head + "Content-Length: 7\r\n\r\ndata: a",
		head + "Transfer-Encoding: chunked\r\n\r\n7\r\ndata: a\r\n0\r\n\r\n",
	} {
		client := NewHTTPClient(Options{Dialect: echoDialect})
		answer, err := client.Do(context.Background(), Request{ID: "mine", Address: serveOnce(t, raw), Method: "GET", Path: "/"})
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(answer.Body); err != nil || string(body) != "data: a" {
			t.Errorf("%q, %v", body, err)
		}
		answer.Body.Close()
		client.Close()
	}
}

// TestStreamThatEndsInsideAnEventIsBroken guards against a stream that stops inside an event and reaches its caller as
// complete, as its chunks or its length end there too, where targets end streams between events.
func TestStreamThatEndsInsideAnEventIsBroken(t *testing.T) {
	wholeEvents := *echoDialect
	wholeEvents.WholeEvents = true
	framings := map[string]func(body string) string{
		"length":  func(body string) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body) },
		"chunked": func(body string) string { return "Transfer-Encoding: chunked\r\n\r\n" + chunks(body) + "0\r\n\r\n" },
	}
	for name, frame := range framings {
		for _, contentType := range []string{"text/event-stream", "text/plain"} {
			for body, cut := range map[string]bool{
				"id: 1\ndata: a\n\n":                 false,
				"id: 1\r\ndata: a\r\n\r\n: ping\r\n": false,
				"":                                   false,
				": ping\n\n":                         false,
				"id: 1\ndata: a\n\nid: 2\nda":        true,
				"data: a\n\ndata: b\n":               true,
				"id: 1\nda":                          true,
			} {
				client := NewHTTPClient(Options{Dialect: &wholeEvents})
				head := "HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Type: " + contentType + "\r\n"
				answer, err := client.Do(context.Background(), Request{ID: "mine", Address: serveOnce(t, head+frame(body)), Method: "GET", Path: "/"})
				if err != nil {
					t.Fatal(err)
				}
				got, err := io.ReadAll(answer.Body)
				var broken *result.Error
				isBroken := errors.As(err, &broken) && broken.Code == result.StreamBroken
				if want := cut && contentType == "text/event-stream"; string(got) != body || isBroken != want || err != nil && !isBroken {
					t.Errorf("%s, %s, %q: got %q, %v", name, contentType, body, got, err)
				}
				answer.Body.Close()
				client.Close()
			}
		}
	}
}

// chunks returns a body in chunks of at most three bytes, without the last one.
func chunks(body string) string {
	var text strings.Builder
	for part := range slices.Chunk([]byte(body), 3) {
		fmt.Fprintf(&text, "%x\r\n%s\r\n", len(part), part)
	}
	return text.String()
}
