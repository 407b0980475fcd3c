package front

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/pipeline"
)

// failingListener fails its first accepts as if descriptors had run out.
type failingListener struct {
	net.Listener
	mu       sync.Mutex
	failures int
}

// Accept implements net.Listener.
func (l *failingListener) Accept() (net.Conn, error) {
	l.mu.Lock()
	shouldFail := l.failures > 0
	l.failures--
	l.mu.Unlock()
	if shouldFail {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// answerEmpty answers every request with status 200 and no body.
func answerEmpty(_ context.Context, ex *pipeline.Exchange) error {
	ex.Status = http.StatusOK
	return nil
}

// TestAcceptRetriesAfterDescriptorShortage checks that the server continues to accept
// after accepts that failed because descriptors ran out.
func TestAcceptRetriesAfterDescriptorShortage(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(Options{IdleGrace: time.Millisecond}, answerEmpty)
	served := make(chan error, 1)
	go func() { served <- s.Serve(&failingListener{Listener: listener, failures: 3}) }()
	client := &http.Client{Timeout: 10 * time.Second}
	answer, err := client.Get("http://" + listener.Addr().String() + "/x")
	if err != nil {
		t.Fatal(err)
	}
	answer.Body.Close()
	client.CloseIdleConnections()
	if err := s.Shutdown(context.Background()); err != nil {
		t.Error(err)
	}
	if err := <-served; err != nil {
		t.Errorf("Serve returned an error: %v", err)
	}
}

// TestConnectionsAboveTheLimitAreClosed checks that a connection above the limit is
// closed after its answer, and that one below the limit is kept.
func TestConnectionsAboveTheLimitAreClosed(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(Options{MaxKeptConns: 1, IdleGrace: time.Millisecond}, answerEmpty)
	go s.Serve(listener)
	defer s.Close()
	get := func(client *http.Client) bool {
		answer, err := client.Get("http://" + listener.Addr().String() + "/x")
		if err != nil {
			t.Fatal(err)
		}
		defer answer.Body.Close()
		return answer.Close
	}
	first := &http.Client{Transport: &http.Transport{}}
	second := &http.Client{Transport: &http.Transport{}}
	if get(first) {
		t.Error("the only connection was closed")
	}
	if !get(second) {
		t.Error("a connection above the limit was kept")
	}
}
