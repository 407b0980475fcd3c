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

// singleTarget is a listing of one target with the given start.
type singleTarget int64

// TargetOf implements Listing.
func (s singleTarget) TargetOf(*Request) (name string, start int64, listed bool) {
	return "a", int64(s), true
}

// TestNoticeNamesStartThatReceivedRequest checks that a notice in an answer counts for the
// start that was listed when the request was sent, although the next start is listed when the
// answer is read. Otherwise the next start would get no requests.
func TestNoticeNamesStartThatReceivedRequest(t *testing.T) {
	var listed atomic.Int64
	listed.Store(1)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { listed.Store(2) }))
	defer server.Close()
	d := *dialect.Own
	d.Notice = func(int, dialect.Getter) notice.Notice { return notice.Notice{Leaving: true} }
	var starts []int64
	client := NewHTTPClient(Options{
		Dialect:  &d,
		Metrics:  metrics.NewSet(),
		Listing:  func() Listing { return singleTarget(listed.Load()) },
		OnNotice: func(_ string, start int64, _ notice.Notice) { starts = append(starts, start) },
	})
	defer func() { _ = client.Close() }()
	answer, err := client.Do(context.Background(), Request{ID: "1", Address: server.Listener.Addr().String(), Method: http.MethodPost, Path: "/"})
	if err != nil {
		t.Fatal(err)
	}
	answer.Body.Close()
	if len(starts) != 1 || starts[0] != 1 {
		t.Errorf("notices for the starts %v", starts)
	}
}
