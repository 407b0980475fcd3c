package targets_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/standin/rawhttp"
	"github.com/walnutcove/walnutcove/targets"
)

// scriptServer accepts connections and passes each to serve.
func scriptServer(t testing.TB, serve func(net.Conn)) string {
	t.Helper()
	return rawhttp.Start(t, serve)
}

// replyOnce reads one complete request, writes raw and closes the connection.
func replyOnce(raw string) func(net.Conn) {
	return func(c net.Conn) {
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(c, raw)
	}
}

func newClient(t testing.TB, options targets.Options) *targets.HTTPClient {
	t.Helper()
	client := targets.NewHTTPClient(options)
	t.Cleanup(func() { client.Close() })
	return client
}

// count returns the value of one failure counter.
func count(set *metrics.Set, reason string) uint64 {
	return set.GetOrCreateCounter(`walnut_target_failures_total{reason="` + reason + `"}`).Get()
}

// eventually waits until the condition holds.
func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}
