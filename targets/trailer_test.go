package targets_test

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/targets"
)

// TestTrailersWithoutEndDoNotHoldUpTheAnswer guards against reading trailers from a target until
// the caller's deadline although the content is complete.
func TestTrailersWithoutEndDoNotHoldUpTheAnswer(t *testing.T) {
	for name, tc := range map[string]struct {
		trailer string
		pause   time.Duration
	}{
		"fast":     {"X-More: of it\r\n", 0},
		"one line": {"more of it", 0},
		"slow":     {"X-More: of it\r\n", 10 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			set := metrics.NewSet()
			dial, read := countReads()
			client := newClient(t, targets.Options{Metrics: set, Dial: dial})
			address, open := endlessServer(t, chunkedHead+"5\r\nhello\r\n0\r\n", tc.trailer, tc.pause)
			start := time.Now()
			resp, err := client.Do(context.Background(), targets.Request{Address: address, Method: "GET", Path: "/"})
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(resp.Body)
			if string(body) != "hello" || err != nil {
				t.Errorf("body %q, error %v", body, err)
			}
			if took := time.Since(start); took > maxWaste {
				t.Errorf("the answer ended after %s", took)
			}
			eventually(t, "the end of the connection", func() bool { return open.Load() == 0 })
			if got := read.Load(); got > maxUselessBytes {
				t.Errorf("%d bytes were read", got)
			}
			if count(set, "trailer_too_long") != 1 {
				t.Error("the trailer is not counted")
			}
		})
	}
}

// TestShortTrailerIsRead guards against counting or cutting off the trailer of a sound target,
// whose connection is used again.
func TestShortTrailerIsRead(t *testing.T) {
	set := metrics.NewSet()
	client := newClient(t, targets.Options{Metrics: set})
	address := scriptServer(t, replyOnce(chunkedHead+"5\r\nhello\r\n0\r\n"+strings.Repeat("X-Sum: 1\r\n", 100)+"\r\n"))
	resp, err := client.Do(context.Background(), targets.Request{Address: address, Method: "GET", Path: "/"})
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(resp.Body); string(body) != "hello" || err != nil {
		t.Errorf("body %q, error %v", body, err)
	}
	if count(set, "trailer_too_long") != 0 {
		t.Error("a short trailer counts as too long")
	}
}
