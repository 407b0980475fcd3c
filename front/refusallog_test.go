package front

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/pipeline"
)

// serveOn serves handler on loopback until the test ends and returns the address.
func serveOn(t *testing.T, options Options, handler pipeline.Handler) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	options.IdleGrace = time.Millisecond
	s := New(options, handler)
	served := make(chan error, 1)
	go func() { served <- s.Serve(listener) }()
	t.Cleanup(func() {
		if err := s.Shutdown(context.Background()); err != nil {
			t.Error(err)
		}
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return listener.Addr().String()
}

// TestRefusalLogsAreRateLimited checks that, of many refused requests, a limited number
// are logged and the others are counted.
func TestRefusalLogsAreRateLimited(t *testing.T) {
	var lines strings.Builder
	address := serveOn(t, Options{
		Shed: func(bool) bool { return true },
		Log:  slog.New(slog.NewTextHandler(&lines, nil)),
	}, answerEmpty)
	client := &http.Client{Timeout: 10 * time.Second}
	const requests = 3 * maxRefusalLogsPerSecond
	unloggedBefore := refusalsUnlogged.Get()
	for range requests {
		answer, err := client.Get("http://" + address + "/x")
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, answer.Body) // read so that the connection can be reused
		answer.Body.Close()
	}
	client.CloseIdleConnections()
	logged := strings.Count(lines.String(), "Request refused")
	if unlogged := int(refusalsUnlogged.Get() - unloggedBefore); logged < maxRefusalLogsPerSecond || logged+unlogged != requests {
		t.Errorf("%d refused: %d logged, %d only counted", requests, logged, unlogged)
	}
}
