package front

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/handoff"
	"github.com/walnutcove/walnutcove/pipeline"
)

// alwaysHandOff is a Handoff that wants every request.
type alwaysHandOff struct{ *handoff.Sender }

// Wanted implements Handoff.
func (alwaysHandOff) Wanted() bool { return true }

// newTestHandoff returns a Handoff whose peers have the given addresses.
func newTestHandoff(addresses ...string) alwaysHandOff {
	var peers []handoff.Peer
	for _, address := range addresses {
		peers = append(peers, handoff.Peer{Name: address, Address: address, Cores: 1})
	}
	return alwaysHandOff{handoff.NewSender(handoff.Options{
		Peers:        func() []handoff.Peer { return peers },
		Preface:      func() (handoff.Preface, bool) { return handoff.Preface{Version: 7}, true },
		WriteTimeout: time.Second,
		Log:          slog.New(slog.DiscardHandler),
	})}
}

// receiver is a router that accepts handoffs unless refuses is set.
type receiver struct {
	address string
	served  atomic.Int32
	refuses atomic.Bool
}

func startReceiver(t *testing.T, handler pipeline.Handler) *receiver {
	t.Helper()
	r := &receiver{}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(Options{
		IdleGrace: time.Millisecond,
		Shed:      func(bool) bool { return true },
		Handoff:   newTestHandoff("127.0.0.1:1"), // A request must not be handed off twice.
	}, func(ctx context.Context, ex *pipeline.Exchange) error {
		r.served.Add(1)
		return handler(ctx, ex)
	})
	own, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- s.Serve(own) }()
	done := make(chan error, 1)
	go func() {
		done <- s.ServeHandoffs(listener, func(p handoff.Preface) bool { return p.Version == 7 && !r.refuses.Load() })
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		if err := <-done; err != nil {
			t.Error(err)
		}
		if err := s.Close(); err != nil {
			t.Error(err)
		}
		<-served
	})
	r.address = listener.Addr().String()
	return r
}

// startOverloaded starts a router that sheds every request.
func startOverloaded(t *testing.T, peers ...string) string {
	t.Helper()
	return serveOn(t, Options{
		Shed:        func(bool) bool { return true },
		Handoff:     newTestHandoff(peers...),
		MaxHandoffs: 100,
		Log:         slog.New(slog.DiscardHandler),
	}, func(context.Context, *pipeline.Exchange) error {
		t.Error("the overloaded router served a request itself")
		return nil
	})
}

// post sends a request with a body on a new connection and returns the response and its body.
func post(t *testing.T, address string) (*http.Response, string) {
	t.Helper()
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if _, err := io.WriteString(conn, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"); err != nil {
		t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	r := bufio.NewReader(conn)
	answer, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		t.Fatalf("%q: %v", body, err)
	}
	if _, err := r.ReadByte(); err != io.EOF {
		t.Errorf("after the answer: %v", err)
	}
	return answer, string(body)
}

func echoBody(_ context.Context, ex *pipeline.Exchange) error {
	ex.Status = http.StatusOK
	ex.AnswerBody = append([]byte("got "+ex.Method+" "+ex.Path+" "), ex.Body...)
	return nil
}

// TestOverloadedRouterHandsOff guards against refusing requests that an idle peer could serve, and
// against altering their answers.
func TestOverloadedRouterHandsOff(t *testing.T) {
	idle := startReceiver(t, echoBody)
	overloaded := startOverloaded(t, idle.address)
	for range 20 {
		if answer, body := post(t, overloaded); answer.StatusCode != http.StatusOK || body != "got POST /x body" {
			t.Errorf("status %d, %q", answer.StatusCode, body)
		}
	}
	if served := idle.served.Load(); served != 20 {
		t.Errorf("%d of 20 requests were served", served)
	}
}

// TestFailedHandoffIsAnswered guards against failed handoffs that leave the caller without an
// answer, or that report a request as not run although it may have run.
func TestFailedHandoffIsAnswered(t *testing.T) {
	full := startReceiver(t, echoBody)
	full.refuses.Store(true)
	if answer, body := post(t, startOverloaded(t, full.address, "127.0.0.1:1")); answer.StatusCode != http.StatusServiceUnavailable ||
		answer.Header.Get("Retry-After") == "" || !strings.Contains(body, "too busy") {
		t.Errorf("no peer accepts the request: status %d, %q", answer.StatusCode, body)
	}
	if full.served.Load() != 0 {
		t.Error("a refused request was run")
	}

	broken, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer broken.Close()
	go func() {
		conn, err := broken.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 1000))
		_ = conn.Close()
	}()
	if answer, _ := post(t, startOverloaded(t, broken.Addr().String())); answer.StatusCode != http.StatusBadGateway {
		t.Errorf("peer closes before answering: status %d", answer.StatusCode)
	}
}

// TestHandoffRetriesOtherPeer guards against refusing a request after the first peer is busy.
func TestHandoffRetriesOtherPeer(t *testing.T) {
	full, idle := startReceiver(t, echoBody), startReceiver(t, echoBody)
	full.refuses.Store(true)
	overloaded := startOverloaded(t, full.address, idle.address)
	for range 10 {
		if answer, _ := post(t, overloaded); answer.StatusCode != http.StatusOK {
			t.Errorf("status %d", answer.StatusCode)
		}
	}
}

// TestHandoffCallerDisconnects guards against handed-off requests that keep running after the
// caller disconnects.
func TestHandoffCallerDisconnects(t *testing.T) {
	started, cancelled := make(chan struct{}), make(chan struct{})
	idle := startReceiver(t, func(_ context.Context, ex *pipeline.Exchange) error {
		close(started)
		<-ex.CallerGone
		close(cancelled)
		return nil
	})
	conn, err := net.Dial("tcp4", startOverloaded(t, idle.address))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-started
	_ = conn.Close()
	select {
	case <-cancelled:
	case <-time.After(500 * time.Millisecond):
		t.Error("the request still runs 500 ms after its caller disconnected")
	}
}

// TestShutdownWaitsForHandoffs guards against a shutdown that truncates answers being copied from
// another router.
func TestShutdownWaitsForHandoffs(t *testing.T) {
	started, finish := make(chan struct{}), make(chan struct{})
	idle := startReceiver(t, func(ctx context.Context, ex *pipeline.Exchange) error {
		close(started)
		<-finish
		return echoBody(ctx, ex)
	})
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(Options{
		IdleGrace: time.Millisecond, Shed: func(bool) bool { return true }, Handoff: newTestHandoff(idle.address), MaxHandoffs: 1,
	}, echoBody)
	served := make(chan error, 1)
	go func() { served <- s.Serve(listener) }()
	answered := make(chan string, 1)
	go func() {
		_, body := post(t, listener.Addr().String())
		answered <- body
	}()
	<-started
	stopped := make(chan error, 1)
	go func() { stopped <- s.Shutdown(context.Background()) }()
	select {
	case <-stopped:
		t.Error("shutdown returned before the handoff finished")
	case <-time.After(300 * time.Millisecond):
	}
	close(finish)
	if body := <-answered; body != "got POST /x body" {
		t.Errorf("answer %q", body)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	<-served
}
