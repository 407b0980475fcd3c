package targets

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/dialect"
	"github.com/walnutcove/walnutcove/result"
)

// TestNoRequestForGoneCaller checks that no request is sent for a caller that goes away while the
// connection takes long to open.
func TestNoRequestForGoneCaller(t *testing.T) {
	var runs atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
	defer server.Close()
	for _, c := range []struct {
		name     string
		dialTime time.Duration
		gone     bool
		sent     bool
	}{
		{"slow connection, caller gone", 2 * callerCheckDelay, true, false},
		{"slow connection, caller there", 2 * callerCheckDelay, false, true},
		{"quick connection", 0, true, true},
	} {
		client := NewHTTPClient(Options{Dialect: dialect.Own, Metrics: metrics.NewSet(), Dial: func(ctx context.Context, address string) (net.Conn, error) {
			time.Sleep(c.dialTime)
			return net.Dial("tcp4", address)
		}})
		runs.Store(0)
		answer, err := client.Do(context.Background(), Request{
			ID: "1", Address: server.Listener.Addr().String(), Method: http.MethodPost, Path: "/",
			IsCallerGone: func() bool { return c.gone },
		})
		var refusal *result.Error
		switch {
		case c.sent && err != nil:
			t.Errorf("%s: %v", c.name, err)
		case c.sent:
			answer.Body.Close()
		case !errors.As(err, &refusal) || refusal.Code != result.CallerGone || refusal.Ran != result.RanNo:
			t.Errorf("%s: %v", c.name, err)
		}
		if sent := runs.Load() > 0; sent != c.sent {
			t.Errorf("%s: sent %v", c.name, sent)
		}
		if err := client.Close(); err != nil {
			t.Error(err)
		}
	}
}
