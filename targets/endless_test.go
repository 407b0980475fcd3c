package targets_test

import (
	"bufio"
	"context"
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
	// maxUselessBytes is how many bytes that are no part of an answer a target may get rid of
	// before its connection is closed, those in the buffers of the sockets included.
	maxUselessBytes = 5 << 20
	// maxWaste is how long bytes that are no part of an answer may hold up a request.
	maxWaste = 1500 * time.Millisecond
)

// endlessServer answers each request with begin and then writes part again and again, every pause
// if there is one, until the connection is closed. sent counts the bytes that it got rid of.
func endlessServer(t *testing.T, begin, part string, pause time.Duration) (address string, sent *atomic.Int64, open *atomic.Int32) {
	t.Helper()
	sent, open = &atomic.Int64{}, &atomic.Int32{}
	if pause == 0 {
		part = strings.Repeat(part, 1+(64<<10)/len(part))
	}
	address = scriptServer(t, func(c net.Conn) {
		open.Add(1)
		defer open.Add(-1)
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		for text := begin; sent.Load() < 20*maxUselessBytes; text = part {
			n, err := io.WriteString(c, text)
			sent.Add(int64(n))
			if err != nil {
				return
			}
			time.Sleep(pause)
		}
	})
	return address, sent, open
}

// TestInterimAnswersWithoutEndAreRefused guards against reading interim answers from a target
// until the caller's deadline.
func TestInterimAnswersWithoutEndAreRefused(t *testing.T) {
	for name, pause := range map[string]time.Duration{"fast": 0, "slow": 10 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			set := metrics.NewSet()
			client := newClient(t, targets.Options{Metrics: set, FirstByteTimeout: 10 * time.Second})
			address, sent, open := endlessServer(t, "", "HTTP/1.1 103 Early Hints\r\nLink: </a.css>; rel=preload\r\n\r\n", pause)
			start := time.Now()
			_, err := client.Do(context.Background(), targets.Request{Address: address, Method: "GET", Path: "/"})
			wantError(t, err, result.TargetError, result.RanUnknown)
			if took := time.Since(start); took > maxWaste {
				t.Errorf("the request ended after %s", took)
			}
			eventually(t, "the end of the connection", func() bool { return open.Load() == 0 })
			if got := sent.Load(); got > maxUselessBytes {
				t.Errorf("%d bytes were read", got)
			}
			if count(set, "bad_head") != 1 {
				t.Error("the failure is not counted")
			}
		})
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
