package targets_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/result"
	"github.com/walnutcove/walnutcove/targets"
)

const (
	chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	countedHead = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"
)

// TestOnlyCompleteBodyEndsWithEOF cuts answers at every kind of position. The server closes the
// connection after each, so a later request must not reuse it.
func TestOnlyCompleteBodyEndsWithEOF(t *testing.T) {
	cases := []struct {
		name, raw, body, reason string
	}{
		{"counted, whole", countedHead + "hello", "hello", ""},
		{"counted, short", countedHead + "hel", "hel", "truncated"},
		{"counted, nothing", countedHead, "", "truncated"},
		{"chunked, whole", chunkedHead + "5\r\nhello\r\n0\r\n\r\n", "hello", ""},
		{"chunked, whole with trailer", chunkedHead + "5\r\nhello\r\n0\r\nA: b\r\n\r\n", "hello", ""},
		{"chunked, no final chunk", chunkedHead + "5\r\nhello\r\n", "hello", "truncated"},
		{"chunked, inside a chunk", chunkedHead + "5\r\nhel", "hel", "truncated"},
		{"chunked, inside a size", chunkedHead + "5\r\nhello\r\n1", "hello", "truncated"},
		{"chunked, final chunk cut", chunkedHead + "5\r\nhello\r\n0\r\n", "hello", "truncated"},
		{"chunked, bad size", chunkedHead + "5\r\nhello\r\nzz\r\n", "hello", "truncated"},
		{"unframed", "HTTP/1.1 200 OK\r\n\r\nhello", "hello", "unframed"},
		{"no content", "HTTP/1.1 204 No Content\r\n\r\n", "", ""},
		{"after an interim answer", "HTTP/1.1 103 Early Hints\r\n\r\n" + countedHead + "hello", "hello", ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			set := metrics.NewSet()
			client := newClient(t, targets.Options{Metrics: set})
			address := scriptServer(t, replyOnce(tc.raw))
			resp, err := client.Do(context.Background(), targets.Request{Address: address, Method: "GET", Path: "/"})
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(resp.Body)
			if string(body) != tc.body {
				t.Errorf("body is %q, want %q", body, tc.body)
			}
			if tc.reason == "" {
				if err != nil {
					t.Errorf("complete body ended with %v", err)
				}
				return
			}
			wantError(t, err, result.StreamBroken, result.RanUnknown)
			if errors.Is(err, io.EOF) || count(set, tc.reason) != 1 {
				t.Errorf("error %v, counter %d", err, count(set, tc.reason))
			}
		})
	}
}

// TestAnswersAreCountedByFraming checks the framing that an answer states and the counter for it.
func TestAnswersAreCountedByFraming(t *testing.T) {
	for _, tc := range []struct {
		raw  string
		want targets.Framing
	}{
		{countedHead + "hello", targets.FramingLength},
		{"HTTP/1.1 204 No Content\r\n\r\n", targets.FramingLength},
		{chunkedHead + "0\r\n\r\n", targets.FramingChunked},
		{"HTTP/1.1 200 OK\r\n\r\nhello", targets.FramingClose},
	} {
		set := metrics.NewSet()
		client := newClient(t, targets.Options{Metrics: set})
		resp, err := client.Do(context.Background(), targets.Request{Address: scriptServer(t, replyOnce(tc.raw)), Method: "GET", Path: "/"})
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		counter := set.GetOrCreateCounter(fmt.Sprintf("walnut_target_answers_total{framing=%q}", string(tc.want)))
		if resp.Framing != tc.want || counter.Get() != 1 {
			t.Errorf("%q: framing %q, counter %d", tc.raw, resp.Framing, counter.Get())
		}
	}
}

func wantError(t *testing.T, err error, code result.Code, ran result.Ran) {
	t.Helper()
	var typed *result.Error
	if !errors.As(err, &typed) {
		t.Fatalf("error is %v, want code %d", err, code)
	}
	if typed.Code != code || typed.Ran != ran {
		t.Fatalf("error is %v (ran %v), want code %d (ran %v)", typed, typed.Ran, code, ran)
	}
}

// TestFailuresBeforeTheBody covers each kind of failure up to the head of the answer.
func TestFailuresBeforeTheBody(t *testing.T) {
	large := make([]byte, 32<<20)
	const notRun = "HTTP/1.1 503 Service Unavailable\r\nWalnut-Not-Run: true\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n"
	plain503 := strings.Replace(notRun, "Walnut-Not-Run: true\r\n", "", 1)
	hold := make(chan struct{})
	t.Cleanup(func() { close(hold) })
	refuseUnread := func(c net.Conn) { _, _ = io.WriteString(c, notRun); <-hold }
	cases := []struct {
		name   string
		serve  func(net.Conn)
		body   []byte
		code   result.Code
		ran    result.Ran
		reason string
		limit  time.Duration // of the wait for the first byte
	}{
		{"closed before the head", replyOnce(""), nil, result.TargetLostRequest, result.RanUnknown, "closed_before_head", 0},
		{"closed inside the head", replyOnce("HTTP/1.1 200 OK\r\nConte"), nil, result.TargetLostRequest, result.RanUnknown, "closed_before_head", 0},
		{"not HTTP", replyOnce("hello there\r\n\r\n"), nil, result.TargetError, result.RanUnknown, "bad_head", 0},
		{"silent", func(net.Conn) { <-hold }, nil, result.FirstByteTimeout, result.RanUnknown, "first_byte_timeout", time.Second},
		{"refused", replyOnce(notRun), nil, result.TargetRefused, result.RanNo, "refused_not_run", 0},
		{"refused before the body was read", refuseUnread, large, result.TargetRefused, result.RanNo, "refused_not_run", time.Second},
		{"body not read", func(net.Conn) { <-hold }, large, result.TargetLostRequest, result.RanUnknown, "write_partial", time.Second},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			set := metrics.NewSet()
			client := newClient(t, targets.Options{Metrics: set, FirstByteTimeout: tc.limit})
			_, err := client.Do(context.Background(), targets.Request{
				Address: scriptServer(t, tc.serve), Method: "POST", Path: "/", Body: tc.body,
			})
			wantError(t, err, tc.code, tc.ran)
			if count(set, tc.reason) != 1 {
				t.Errorf("counter %s is %d", tc.reason, count(set, tc.reason))
			}
		})
	}
	t.Run("503 without Walnut-Not-Run is an answer", func(t *testing.T) {
		client := newClient(t, targets.Options{})
		resp, err := client.Do(context.Background(), targets.Request{
			Address: scriptServer(t, replyOnce(plain503)), Method: "POST", Path: "/",
		})
		if err != nil || resp.Status != 503 {
			t.Fatalf("answer %+v, error %v", resp, err)
		}
	})
}

// brokenConn fails every write without accepting a byte.
type brokenConn struct{ net.Conn }

func (brokenConn) Write([]byte) (int, error) { return 0, errors.New("dead") }

func TestNothingWrittenIsNotRun(t *testing.T) {
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	address := scriptServer(t, replyOnce(countedHead+"hello"))
	refused := scriptServer(t, nil)
	dial := func(_ context.Context, address string) (net.Conn, error) {
		if address == refused {
			return nil, errors.New("refused")
		}
		c, err := net.Dial("tcp", address)
		return brokenConn{c}, err
	}
	client := newClient(t, targets.Options{Dial: dial})
	get := func(ctx context.Context, address, path string) error {
		_, err := client.Do(ctx, targets.Request{Address: address, Method: "GET", Path: path})
		return err
	}
	wantError(t, get(context.Background(), refused, "/"), result.ConnectFailed, result.RanNo)
	wantError(t, get(context.Background(), address, "/"), result.ConnectFailed, result.RanNo)
	wantError(t, get(context.Background(), address, "/a b"), result.BadRequest, result.RanNo)
	wantError(t, get(cancelled, address, "/"), result.CallerGone, result.RanNo)
}

// TestHeadersCannotBreakFraming sends header values that would split the request.
func TestHeadersCannotBreakFraming(t *testing.T) {
	seen := make(chan string, 1)
	address := scriptServer(t, func(c net.Conn) {
		buffer := make([]byte, 4096)
		n, _ := c.Read(buffer)
		seen <- string(buffer[:n])
		_, _ = io.WriteString(c, countedHead+"hello")
	})
	client := newClient(t, targets.Options{})
	resp, err := client.Do(context.Background(), targets.Request{
		ID: "id\r\nX-Bad: 1", Address: address, Method: "POST", Path: "/p", Body: []byte("abc"),
		Header: map[string]string{"X-A": "1\r\nX-Bad: 2", "Content-Length": "99", "Transfer-Encoding": "chunked"},
	})
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	raw := <-seen
	if strings.Contains(raw, "\nX-Bad") || strings.Contains(raw, "chunked") || !strings.Contains(raw, "Content-Length: 3\r\n") {
		t.Fatalf("request is %q", raw)
	}
}

func TestIdleConnectionsAreBoundedAndClosed(t *testing.T) {
	closed := make(chan struct{}, 8)
	both := make(chan struct{})
	var arrived atomic.Int32
	address := scriptServer(t, func(c net.Conn) {
		buffer := make([]byte, 4096)
		for {
			if _, err := c.Read(buffer); err != nil {
				closed <- struct{}{}
				return
			}
			if arrived.Add(1) == 2 {
				close(both)
			}
			<-both
			_, _ = io.WriteString(c, countedHead+"hello")
		}
	})
	client := newClient(t, targets.Options{MaxIdle: 1, IdleTimeout: 200 * time.Millisecond})
	var group sync.WaitGroup
	for range 2 {
		group.Go(func() {
			if _, err := doAndRead(client, targets.Request{Address: address, Method: "GET", Path: "/"}); err != nil {
				t.Error(err)
			}
		})
	}
	group.Wait()
	<-closed // one over MaxIdle
	<-closed // the other after IdleTimeout
}
