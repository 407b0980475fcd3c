package store_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/store"
)

// newClientFor runs a server with the given handler and returns a client of it.
func newClientFor(t *testing.T, handler http.HandlerFunc) *store.Client {
	t.Helper()
	server := httptest.NewServer(handler)
	client := store.NewClient(store.Options{
		Address: server.Listener.Addr().String(),
		Metrics: metrics.NewSet(),
	})
	t.Cleanup(func() {
		client.Close()
		server.Close()
	})
	return client
}

// TestOnlyPlatformErrorCodesProveNoEffect checks that a failed write counts as
// not applied only if the response holds one of the platform's own error codes.
func TestOnlyPlatformErrorCodesProveNoEffect(t *testing.T) {
	cases := []struct {
		name   string
		status int
		body   string
		kind   error
		reason string
	}{
		{"bare 503", 503, "", store.ErrUnknown, "bad_reply"},
		{"balancer's 502", 502, "<html>bad gateway</html>", store.ErrUnknown, "bad_reply"},
		{"bare 409", 409, "{}", store.ErrUnknown, "bad_reply"},
		{"unknown code", 503, `{"code":"later"}`, store.ErrUnknown, "bad_reply"},
		{"not JSON", 200, "ok", store.ErrUnknown, "bad_reply"},
		{"no revision", 200, "{}", store.ErrUnknown, "bad_reply"},
		{"refused", 503, `{"code":"unavailable"}`, store.ErrUnavailable, "refused"},
		{"conflict", 409, `{"code":"condition_failed"}`, store.ErrConflict, "conflict"},
		{"invalid", 400, `{"code":"invalid"}`, store.ErrInvalid, "invalid"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			calls := 0
			client := newClientFor(t, func(w http.ResponseWriter, _ *http.Request) {
				calls++
				w.WriteHeader(c.status)
				_, _ = io.WriteString(w, c.body)
			})
			wantError(t, client.Commit(background, insert("a")), c.kind, c.reason)
			if calls != 1 {
				t.Errorf("sent %d times", calls)
			}
		})
	}
}

func TestTruncatedResponse(t *testing.T) {
	client := newClientFor(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, `{"revision":1}`)
	})
	wantError(t, client.Commit(background, insert("a")), store.ErrUnknown, "reply_lost")
}

// TestWriteIsNotResentAfterConnectionClose checks that a write is not sent again
// if its connection is closed without a response: fasthttp does so by default.
func TestWriteIsNotResentAfterConnectionClose(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var accepted atomic.Int32
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			_, _ = conn.Read(make([]byte, 1<<16))
			_ = conn.Close()
		}
	}()
	client := store.NewClient(store.Options{Address: listener.Addr().String(), Metrics: metrics.NewSet()})
	wantError(t, client.Commit(background, insert("a")), store.ErrUnknown, "reply_lost")
	wantError(t, client.Objects().Put(background, "a", nil), store.ErrUnknown, "reply_lost")
	client.Close()
	_ = listener.Close()
	<-done
	if got := accepted.Load(); got != 2 {
		t.Errorf("%d connections for two writes", got)
	}
}

func TestReadsAreRetried(t *testing.T) {
	calls := 0
	client := newClientFor(t, func(w http.ResponseWriter, _ *http.Request) {
		if calls++; calls < 3 {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		_, _ = io.WriteString(w, `{"table":"t","key":"k","revision":7}`)
	})
	row, err := client.Get(background, "t", "k")
	if err != nil || row.Revision != 7 || calls != 3 {
		t.Fatalf("got %+v, %v after %d calls", row, err, calls)
	}
}

func TestReadRetriesAreLimited(t *testing.T) {
	calls := 0
	client := newClientFor(t, func(w http.ResponseWriter, _ *http.Request) {
		calls++
		w.WriteHeader(http.StatusBadGateway)
	})
	_, err := client.Get(background, "t", "k")
	wantError(t, err, store.ErrUnavailable, "bad_reply")
	if calls != store.DefaultReadAttempts {
		t.Errorf("%d calls", calls)
	}
	cancelled, cancel := context.WithCancel(background)
	cancel()
	_, err = client.ListVMs(cancelled)
	wantError(t, err, store.ErrUnavailable, "cancelled")
}
