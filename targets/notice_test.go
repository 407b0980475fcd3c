package targets

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/control/notice"
	"github.com/walnutcove/walnutcove/dialect"
)

// startOf lists one target with a start.
type startOf int64

// TargetOf implements Listing.
func (s startOf) TargetOf(*Request) (name string, start int64, listed bool) {
	return "a", int64(s), true
}

// TestNoticeIsOfTheStartThatWasAsked: what an answer says counts for the start that was listed
// when its request was sent, though the next start is listed when the answer is read. That one
// would otherwise get no requests.
func TestNoticeIsOfTheStartThatWasAsked(t *testing.T) {
	var listed atomic.Int64
	listed.Store(1)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { listed.Store(2) }))
	defer server.Close()
	spoken := *dialect.Own
	spoken.Notice = func(int, dialect.Getter) notice.Notice { return notice.Notice{Leaving: true} }
	var starts []int64
	client := NewHTTPClient(Options{
		Dialect:  &spoken,
		Metrics:  metrics.NewSet(),
		Listing:  func() Listing { return startOf(listed.Load()) },
		OnNotice: func(_ string, start int64, _ notice.Notice) { starts = append(starts, start) },
	})
	defer func() { _ = client.Close() }()
	answer, err := client.Do(context.Background(), Request{ID: "1", Address: server.Listener.Addr().String(), Method: http.MethodPost, Path: "/"})
	if err != nil {
		t.Fatal(err)
	}
	answer.Body.Close()
	if len(starts) != 1 || starts[0] != 1 {
		t.Errorf("told of the starts %v", starts)
	}
}
