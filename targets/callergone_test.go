package targets

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/dialect"
)

// closeCounter counts how often a connection is closed.
type closeCounter struct {
	net.Conn
	closed *atomic.Int64
}

// Close implements net.Conn.
func (c closeCounter) Close() error {
	c.closed.Add(1)
	return c.Conn.Close()
}

// callerGoneHook holds the function that a call registers through Request.OnCallerGone.
type callerGoneHook struct {
	mu sync.Mutex
	f  func()
	// registered is closed when the first function is registered.
	registered chan struct{}
}

func (h *callerGoneHook) add(f func()) (stop func() bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.f = f
	close(h.registered)
	return func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		held := h.f != nil
		h.f = nil
		return held
	}
}

// run runs the registered function, if any.
func (h *callerGoneHook) run() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.f != nil {
		h.f()
		h.f = nil
	}
}

// TestCallerGoneHookClosesConnection guards against a run that continues after its caller has
// gone: the hook itself closes the connection to the target, with no goroutine in between that
// would have to wait for a busy CPU. Once the answer was read completely, the hook closes
// nothing, and the connection is reused for the next call.
func TestCallerGoneHookClosesConnection(t *testing.T) {
	hang := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/hang" {
			select {
			case <-hang:
			case <-r.Context().Done():
			}
		}
	}))
	defer server.Close()
	defer close(hang)
	var closed, dialled atomic.Int64
	client := NewHTTPClient(Options{Dialect: dialect.Own, Metrics: metrics.NewSet(), Dial: func(_ context.Context, address string) (net.Conn, error) {
		dialled.Add(1)
		c, err := net.Dial("tcp4", address)
		return closeCounter{c, &closed}, err
	}})
	defer func() {
		if err := client.Close(); err != nil {
			t.Error(err)
		}
	}()
	call := func(path string, hook *callerGoneHook) (*Response, error) {
		return client.Do(context.Background(), Request{
			ID: "1", Address: server.Listener.Addr().String(), Method: http.MethodPost, Path: path, OnCallerGone: hook.add,
		})
	}

	hung := &callerGoneHook{registered: make(chan struct{})}
	ended := make(chan error, 1)
	go func() {
		_, err := call("/hang", hung)
		ended <- err
	}()
	<-hung.registered
	hung.run()
	if closed.Load() != 1 {
		t.Error("the connection is still open after the hook for a caller that is gone")
	}
	select {
	case err := <-ended:
		if err == nil {
			t.Error("a call whose connection was closed has an answer")
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the call did not end")
	}

	before := closed.Load()
	for range 2 {
		hook := &callerGoneHook{registered: make(chan struct{})}
		answer, err := call("/", hook)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, answer.Body); err != nil {
			t.Error(err)
		}
		answer.Body.Close()
		hook.run()
	}
	if closed.Load() != before || dialled.Load() != 2 {
		t.Errorf("%d connections closed and %d opened by two calls with complete answers", closed.Load()-before, dialled.Load()-1)
	}
}
