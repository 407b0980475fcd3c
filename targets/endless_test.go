package targets_test

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
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/result"
	"github.com/walnutcove/walnutcove/targets"
)

const (
	// maxUselessBytes is how many bytes that are no part of an answer may be read.
	maxUselessBytes = 1 << 20
	// maxWaste is how long bytes that are no part of an answer may hold up a request.
	maxWaste = 1500 * time.Millisecond
	// maxSlowHead is how long a head that arrives slowly may do so.
	maxSlowHead = 5 * time.Second
)

// countedConn counts the bytes that are read from it.
type countedConn struct {
	net.Conn
	read *atomic.Int64
}

// Read implements net.Conn.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// countReads returns an option that counts the bytes read from all connections.
func countReads() (dial func(ctx context.Context, address string) (net.Conn, error), read *atomic.Int64) {
	read = &atomic.Int64{}
	return func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		return countedConn{conn, read}, err
	}, read
}

// endlessServer answers each request with begin and then writes part again and again, every pause
// if there is one, until the connection is closed. open counts the connections on which it writes.
func endlessServer(t *testing.T, begin, part string, pause time.Duration) (address string, open *atomic.Int32) {
	t.Helper()
	open = &atomic.Int32{}
	if pause == 0 {
		part = strings.Repeat(part, 1+(64<<10)/len(part))
	}
	address = scriptServer(t, func(c net.Conn) {
		open.Add(1)
		defer open.Add(-1)
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		for text, sent := begin, 0; sent < 100*maxUselessBytes; text = part {
			n, err := io.WriteString(c, text)
			sent += n
			if err != nil {
				return
			}
			time.Sleep(pause)
		}
	})
	return address, open
}

// piecewiseServer is like endlessServer, and writes a piece of some bytes each pause.
func piecewiseServer(t *testing.T, begin, part string, piece int, pause time.Duration) (address string, open *atomic.Int32) {
	t.Helper()
	open = &atomic.Int32{}
	address = scriptServer(t, func(c net.Conn) {
		open.Add(1)
		defer open.Add(-1)
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		for text := begin; ; time.Sleep(pause) {
			for len(text) < piece {
				text += part
			}
			if _, err := io.WriteString(c, text[:piece]); err != nil {
				return
			}
			text = text[piece:]
		}
	})
	return address, open
}

// TestInterimAnswersWithoutEndAreRefused guards against reading interim answers from a target
// until the caller's deadline.
func TestInterimAnswersWithoutEndAreRefused(t *testing.T) {
	for name, pause := range map[string]time.Duration{"fast": 0, "slow": 10 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			set := metrics.NewSet()
			dial, read := countReads()
			client := newClient(t, targets.Options{Metrics: set, FirstByteTimeout: 10 * time.Second, Dial: dial})
			address, open := endlessServer(t, "", "HTTP/1.1 103 Early Hints\r\nLink: </a.css>; rel=preload\r\n\r\n", pause)
			start := time.Now()
			_, err := client.Do(context.Background(), targets.Request{Address: address, Method: "GET", Path: "/"})
			wantError(t, err, result.TargetError, result.RanUnknown)
			if took := time.Since(start); took > maxWaste {
				t.Errorf("the request ended after %s", took)
			}
			eventually(t, "the end of the connection", func() bool { return open.Load() == 0 })
			if got := read.Load(); got > maxUselessBytes {
				t.Errorf("%d bytes were read", got)
			}
			if count(set, "bad_head") != 1 {
				t.Error("the failure is not counted")
			}
		})
	}
}

// TestSlowHeadsAreEnded guards against reading the head of an answer, or of interim answers, until
// the caller's deadline while a target sends a few bytes of it at a time.
func TestSlowHeadsAreEnded(t *testing.T) {
	heads := map[string]struct{ begin, part string }{
		"status line":     {"", "H"},
		"headers":         {"HTTP/1.1 200 OK\r\n", "X"},
		"interim answers": {"", "HTTP/1.1 103 Early Hints\r\nX: " + strings.Repeat("x", 4000) + "\r\n\r\n"},
	}
	for name, head := range heads {
		for piece, pause := range map[int]time.Duration{20: 10 * time.Millisecond, 2: 2 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s, %d bytes", name, piece), func(t *testing.T) {
				t.Parallel()
				set := metrics.NewSet()
				client := newClient(t, targets.Options{Metrics: set, FirstByteTimeout: 2 * maxSlowHead})
				address, open := piecewiseServer(t, head.begin, head.part, piece, pause)
				start := time.Now()
				_, err := client.Do(context.Background(), targets.Request{Address: address, Method: "GET", Path: "/"})
				wantError(t, err, result.TargetError, result.RanUnknown)
				if took := time.Since(start); took > maxSlowHead {
					t.Errorf("the request ended after %s", took)
				}
				eventually(t, "the end of the connection", func() bool { return open.Load() == 0 })
				if count(set, "slow_head") != 1 {
					t.Error("the failure is not counted")
				}
			})
		}
	}
}

// TestHeadAfterLongWaitIsRead guards against counting the wait for a head, or between an interim
// answer and the next head, as time that the head took.
func TestHeadAfterLongWaitIsRead(t *testing.T) {
	t.Parallel()
	client := newClient(t, targets.Options{FirstByteTimeout: 2 * maxSlowHead})
	address := scriptServer(t, func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		for _, part := range []string{"HTTP/1.1 103 Early Hints\r\n\r\n", countedHead, "hello"} {
			time.Sleep(2500 * time.Millisecond)
			_, _ = io.WriteString(c, part)
		}
	})
	resp, err := client.Do(context.Background(), targets.Request{Address: address, Method: "GET", Path: "/"})
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(resp.Body); string(body) != "hello" || err != nil {
		t.Errorf("body %q, error %v", body, err)
	}
}

// TestFewInterimAnswersAreSkipped guards against refusing what sound targets send.
func TestFewInterimAnswersAreSkipped(t *testing.T) {
	const interim = "HTTP/1.1 103 Early Hints\r\nLink: </a.css>; rel=preload\r\n\r\n"
	client := newClient(t, targets.Options{})
	address := scriptServer(t, replyOnce(strings.Repeat(interim, 10)+countedHead+"hello"))
	resp, err := client.Do(context.Background(), targets.Request{Address: address, Method: "GET", Path: "/"})
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(resp.Body); string(body) != "hello" || err != nil {
		t.Errorf("body %q, error %v", body, err)
	}
}

// TestPollsAreBounded guards against reading a target's report of itself without end.
func TestPollsAreBounded(t *testing.T) {
	const (
		maxReportBytes = 4 << 20 // a report of 1 MiB in chunks of eight bytes, and what is read ahead
		head           = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	)
	for name, begin := range map[string]string{
		"chunks":   head + "Transfer-Encoding: chunked\r\n\r\n",
		"unframed": head + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			address, open := endlessServer(t, begin, "8\r\nxxxxxxxx\r\n", 0)
			dial, read := countReads()
			client := newClient(t, targets.Options{Dial: dial})
			if _, err := client.Get(context.Background(), address, "/load", nil); err == nil {
				t.Error("a report without an end was read")
			}
			eventually(t, "the end of the connection", func() bool { return open.Load() == 0 })
			if got := read.Load(); got > maxReportBytes {
				t.Errorf("%d bytes were read", got)
			}
		})
	}
}
