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

// closeCounter counts how often a connection was closed.
type closeCounter struct {
	net.Conn
	closed *atomic.Int64
}

// Close implements net.Conn.
func (c closeCounter) Close() error {
	c.closed.Add(1)
	return c.Conn.Close()
}

// callerHook is what a caller's watcher holds of a call.
type callerHook struct {
	mu sync.Mutex
	f  func()
	// set is closed with the first function.
	set chan struct{}
}

func (h *callerHook) add(f func()) (stop func() bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.f = f
	close(h.set)
	return func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		held := h.f != nil
		h.f = nil
		return held
	}
}

// run runs the function that is held, if any.
func (h *callerHook) run() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.f != nil {
		h.f()
		h.f = nil
	}
}

// TestWhoFindsTheCallerGoneEndsTheRun: the connection to the target is closed by the
// time that the caller's watcher has told, with no goroutine in between that would have
// to wait for a processor that is busy; once the answer was read whole, telling closes
// nothing, and the connection serves the next call.
func TestWhoFindsTheCallerGoneEndsTheRun(t *testing.T) {
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
	call := func(path string, hook *callerHook) (*Response, error) {
		return client.Do(context.Background(), Request{
			ID: "1", Address: server.Listener.Addr().String(), Method: http.MethodPost, Path: path, OnCallerGone: hook.add,
		})
	}

	hung := &callerHook{set: make(chan struct{})}
	ended := make(chan error, 1)
	go func() {
		_, err := call("/hang", hung)
		ended <- err
	}()
	<-hung.set
	hung.run()
	if closed.Load() != 1 {
		t.Error("the connection is open after the watcher has told that the caller is gone")
	}
	select {
	case err := <-ended:
		if err == nil {
			t.Error("a call that was cut has an answer")
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the call goes on")
	}

	before := closed.Load()
	for range 2 {
		hook := &callerHook{set: make(chan struct{})}
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
		t.Errorf("%d connections closed and %d opened by two calls whose answers were whole", closed.Load()-before, dialled.Load()-1)
	}
}
