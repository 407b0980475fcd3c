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

// starvedListener has no descriptors for its first accepts.
type starvedListener struct {
	net.Listener
	mu   sync.Mutex
	left int
}

// Accept implements net.Listener.
func (l *starvedListener) Accept() (net.Conn, error) {
	l.mu.Lock()
	starved := l.left > 0
	l.left--
	l.mu.Unlock()
	if starved {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// answerEmpty answers every request.
func answerEmpty(_ context.Context, ex *pipeline.Exchange) error {
	ex.Status = http.StatusOK
	return nil
}

// TestWantOfDescriptorsPasses: the server goes on accepting after accepts that
// failed for want of descriptors.
func TestWantOfDescriptorsPasses(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(Options{IdleGrace: time.Millisecond}, answerEmpty)
	served := make(chan error, 1)
	go func() { served <- s.Serve(&starvedListener{Listener: listener, left: 3}) }()
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
		t.Errorf("the listener ended: %v", err)
	}
}

// TestCrowdedConnectionsAreClosed: past the bound a connection is closed with
// its answer, and below it kept.
func TestCrowdedConnectionsAreClosed(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(Options{KeptConns: 1, IdleGrace: time.Millisecond}, answerEmpty)
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
		t.Error("a connection past the bound was kept")
	}
}
