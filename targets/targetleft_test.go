package targets

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/dialect"
	"github.com/walnutcove/walnutcove/result"
)

// TestNoRequestToTargetThatLeft guards against requests to targets that are leaving: a busy
// router sent requests up to three seconds after they were granted, to targets that had
// announced meanwhile that they were leaving. The check right before the write keeps the
// request, which has not run, for another target.
func TestNoRequestToTargetThatLeft(t *testing.T) {
	var runs atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
	defer server.Close()
	client := NewHTTPClient(Options{Dialect: dialect.Own, Metrics: metrics.NewSet()})
	defer func() { _ = client.Close() }()
	for _, serves := range []bool{true, false} {
		runs.Store(0)
		answer, err := client.Do(context.Background(), Request{
			ID: "1", Address: server.Listener.Addr().String(), Method: http.MethodPost, Path: "/",
			TargetServes: func() bool { return serves },
		})
		var refusal *result.Error
		switch {
		case serves && err != nil:
			t.Errorf("a target that serves: %v", err)
		case serves:
			answer.Body.Close()
		case !errors.As(err, &refusal) || refusal.Code != result.TargetLeft || refusal.Ran != result.RanNo:
			t.Errorf("a target that left: %v", err)
		}
		if sent := runs.Load() > 0; sent != serves {
			t.Errorf("serves %v, sent %v", serves, sent)
		}
	}
}
