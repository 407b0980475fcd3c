package targets

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/dialect"
	"github.com/walnutcove/walnutcove/result"
	"github.com/walnutcove/walnutcove/standin/rawhttp"
)

// shortBodyBytes is less than the buffers of a connection take while its other end does not read.
const shortBodyBytes = 16 << 10

// partialAnswers are unframed answers of which a part arrives.
var partialAnswers = map[string]string{
	"plain":                  "HTTP/1.1 200 OK\r\nX-Id: long\r\n\r\npart",
	"plain, HTTP/1.0":        "HTTP/1.0 200 OK\r\nX-Id: long\r\n\r\npart",
	"no body":                "HTTP/1.1 200 OK\r\nX-Id: long\r\n\r\n",
	"stream, between events": "HTTP/1.1 200 OK\r\nX-Id: long\r\nContent-Type: text/event-stream\r\n\r\ndata: a\n\n",
	"stream, HTTP/1.0":       "HTTP/1.0 200 OK\r\nX-Id: long\r\nContent-Type: text/event-stream\r\n\r\ndata: a\n\n",
	"failure":                "HTTP/1.1 500 Failed\r\nX-Id: long\r\n\r\npart",
	"after interim answer":   "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: long\r\n\r\npart",
}

// TestEarlyUnframedAnswerCutDuringUploadIsBroken guards against a part of an answer without a length, cut off while a long
// request is being sent, that reaches the caller as a whole one.
func TestEarlyUnframedAnswerCutDuringUploadIsBroken(t *testing.T) {
	for name, text := range partialAnswers {
		for _, cut := range []rawhttp.Cut{
			{Reset: true}, {Reset: true, After: 20 * time.Millisecond}, {Reset: true, After: 120 * time.Millisecond},
			{}, {After: 20 * time.Millisecond}, {After: 120 * time.Millisecond},
		} {
			for _, bodyBytes := range []int{longBodyBytes, 1 << 20, shortBodyBytes} {
				t.Run(fmt.Sprintf("%s, %+v, %d bytes", name, cut, bodyBytes), func(t *testing.T) {
					t.Parallel()
					for range 3 {
						checkEarlyCut(t, rawhttp.AnswerEarly(func(*http.Request) string { return text }, cut), bodyBytes)
					}
				})
			}
		}
	}
}

// checkEarlyCut sends a request to a target that breaks its answer off, and checks that the answer is not complete.
func checkEarlyCut(t *testing.T, serve func(net.Conn), bodyBytes int) {
	t.Helper()
	client := NewHTTPClient(Options{Dialect: echoDialect, FirstByteTimeout: 10 * time.Second})
	defer client.Close()
	checkBroken(t, client, rawhttp.Start(t, serve), bodyBytes)
}

// checkBroken sends a request and checks that no whole answer arrives.
func checkBroken(t *testing.T, client *HTTPClient, address string, bodyBytes int) {
	t.Helper()
	request := Request{ID: "long", Address: address, Method: http.MethodPost, Path: "/", Body: bytes.Repeat([]byte("x"), bodyBytes)}
	answer, err := client.Do(t.Context(), request)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(answer.Body)
		answer.Body.Close()
	}
	var broken *result.Error
	if !errors.As(err, &broken) || broken.Ran != result.RanUnknown || errors.Is(err, io.EOF) {
		t.Errorf("body %q, %v", body, err)
	}
}

// TestEarlyUnframedAnswerCutOnKeptConnectionIsBroken guards against the same on a connection that has carried a request
// before, and when the connection is reset after the whole request has been written.
func TestEarlyUnframedAnswerCutOnKeptConnectionIsBroken(t *testing.T) {
	for _, bodyBytes := range []int{shortBodyBytes, longBodyBytes} {
		for _, pause := range []time.Duration{0, 20 * time.Millisecond} {
			address := rawhttp.Start(t, func(conn net.Conn) {
				reader := bufio.NewReader(conn)
				if _, err := http.ReadRequest(reader); err != nil {
					return
				}
				_, _ = io.WriteString(conn, fullResponse("first", "whole"))
				rawhttp.AnswerEarly(func(*http.Request) string { return partialAnswers["plain"] }, rawhttp.Cut{After: pause, Reset: true})(conn)
			})
			client := NewHTTPClient(Options{Dialect: echoDialect, FirstByteTimeout: 10 * time.Second})
			first, err := client.Do(t.Context(), Request{ID: "first", Address: address, Method: http.MethodPost, Path: "/"})
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.ReadAll(first.Body); err != nil {
				t.Fatal(err)
			}
			checkBroken(t, client, address, bodyBytes)
			client.Close()
		}
	}
}

// TestEarlyAnswerThatIsWholeArrives guards against refusing early answers that their length, their chunks or their status
// show to be whole although the request was cut off, and unframed ones whose target read the whole request.
func TestEarlyAnswerThatIsWholeArrives(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: long\r\n"
	for name, text := range map[string]string{
		"length":     head + "Content-Length: 5\r\n\r\nwhole",
		"chunked":    head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
		"no content": "HTTP/1.1 204 No Content\r\nX-Id: long\r\n\r\n",
		"too large":  "HTTP/1.1 413 Too Large\r\nX-Id: long\r\nContent-Length: 5\r\n\r\nwhole",
	} {
		t.Run(name, func(t *testing.T) {
			serve := rawhttp.AnswerEarly(func(*http.Request) string { return text }, rawhttp.Cut{})
			if body := readWholeEarly(t, serve); body != "whole" && name != "no content" {
				t.Errorf("body %q", body)
			}
		})
	}
	t.Run("unframed, request read later", func(t *testing.T) {
		body := readWholeEarly(t, func(conn net.Conn) {
			request, err := http.ReadRequest(bufio.NewReader(conn))
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, head+"\r\nwhole")
			_ = conn.(*net.TCPConn).CloseWrite()
			_, _ = io.Copy(io.Discard, request.Body)
		})
		if body != "whole" {
			t.Errorf("body %q", body)
		}
	})
}

// readWholeEarly sends a long request and returns the body of its answer, which must be whole.
func readWholeEarly(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	client := NewHTTPClient(Options{Dialect: echoDialect, FirstByteTimeout: 10 * time.Second})
	defer client.Close()
	request := Request{ID: "long", Address: rawhttp.Start(t, serve), Method: http.MethodPost, Path: "/", Body: bytes.Repeat([]byte("x"), longBodyBytes)}
	answer, err := client.Do(t.Context(), request)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		t.Error(err)
	}
	return string(body)
}

// TestUnframedRefusalDuringUploadArrives guards against losing the statement that a request did not run when the target sends
// it during the upload, without a length, and resets the connection.
func TestUnframedRefusalDuringUploadArrives(t *testing.T) {
	const text = "HTTP/1.1 503 Service Unavailable\r\nX-Id: long\r\n" + headerNotRun + ": 1\r\nRetry-After: 1\r\n\r\nbus"
	d := *echoDialect
	d.RefusedNotRun = func(_ int, header dialect.Getter) bool { return header(headerNotRun) != "" }
	client := NewHTTPClient(Options{Dialect: &d, FirstByteTimeout: 10 * time.Second})
	defer client.Close()
	address := rawhttp.Start(t, rawhttp.AnswerEarly(func(*http.Request) string { return text }, rawhttp.Cut{Reset: true, After: 20 * time.Millisecond}))
	_, err := client.Do(t.Context(), Request{ID: "long", Address: address, Method: http.MethodPost, Path: "/", Body: bytes.Repeat([]byte("x"), longBodyBytes)})
	var refused *result.Error
	if !errors.As(err, &refused) || refused.Code != result.TargetRefused || refused.Ran != result.RanNo || refused.RetryAfter != time.Second {
		t.Errorf("%v", err)
	}
}

// pausingConn is a connection whose first write is followed by a pause.
type pausingConn struct {
	*net.TCPConn
	paused bool
}

// Write implements net.Conn.
func (c *pausingConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	if !c.paused {
		c.paused = true
		time.Sleep(20 * time.Millisecond)
	}
	return n, err
}

// TestUnframedAnswerResetAfterCloseIsBroken guards against a part of an answer that reaches the caller as a whole one when the
// target closes properly what it has read of a request, and resets the connection as the rest arrives.
func TestUnframedAnswerResetAfterCloseIsBroken(t *testing.T) {
	for name, text := range partialAnswers {
		t.Run(name, func(t *testing.T) {
			client := NewHTTPClient(Options{Dialect: echoDialect, Dial: func(_ context.Context, address string) (net.Conn, error) {
				conn, err := net.Dial("tcp4", address)
				if err != nil {
					return nil, err
				}
				return &pausingConn{TCPConn: conn.(*net.TCPConn)}, nil
			}})
			defer client.Close()
			address := rawhttp.Start(t, rawhttp.AnswerEarly(func(*http.Request) string { return text }, rawhttp.Cut{}))
			checkBroken(t, client, address, shortBodyBytes)
		})
	}
}
