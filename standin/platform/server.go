// Package platform is a small HTTP stand-in for the platform: the table
// service, the object store, the weight store and the list of VMs over package
// platform/memory. Its control endpoints bring about faults; see
// docs/PLATFORM.md. It is for tests and development only: it keeps nothing and
// checks no caller.
package platform

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"github.com/walnutcove/walnutcove/store"
	"github.com/walnutcove/walnutcove/store/memory"
)

// maxRequestBytes bounds a request: one object, or a commit as JSON.
const maxRequestBytes = store.MaxObjectBytes + 1<<20

// Options configure a Server. The zero value is usable.
type Options struct {
	// VMs is the first list of VMs.
	VMs []store.VM
	// Weights configures the weight store.
	Weights memory.WeightsOptions
	// Faults are the first faults. Default: none.
	Faults Faults
	// MaxJournal bounds the journal; older entries are dropped. Default 1<<20.
	MaxJournal int
}

// Server is the stand-in. Make it with New, then Start it.
type Server struct {
	store   *memory.Store
	weights *memory.Weights
	faults  *faultState
	journal *journal
	metrics *metrics.Set
	held    atomic.Int32
	invalid error // what is wrong with the options

	mu      sync.Mutex
	running *listening // nil unless started
}

// New returns a server that is not yet listening.
func New(options Options) *Server {
	journal := newJournal(options.MaxJournal)
	s := &Server{
		store:   memory.New(memory.Options{OnChange: journal.add}),
		weights: memory.NewWeights(options.Weights),
		faults:  newFaultState(),
		journal: journal,
		metrics: metrics.NewSet(),
	}
	s.store.SetVMs(options.VMs)
	s.invalid = s.SetFaults(options.Faults)
	return s
}

// Store returns the store behind the server, for checks in tests. Faults do
// not touch its calls.
func (s *Server) Store() *memory.Store { return s.store }

// Start listens on addr ("ip:port"; port 0 picks a free one) and returns the
// address that it listens on. A closed server may be started again: it has
// kept its rows, as a restarted platform would.
func (s *Server) Start(addr string) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.invalid != nil {
		return "", s.invalid
	}
	if s.running != nil {
		return "", fmt.Errorf("standin platform: already listening")
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return "", fmt.Errorf("standin platform: %w", err)
	}
	s.running = newListening(listener, s.handle)
	return listener.Addr().String(), nil
}

// Close stops listening and cuts every connection: calls in flight lose their
// replies, and held ones are dropped. New connections are refused.
func (s *Server) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running == nil {
		return nil
	}
	err := s.running.close()
	s.running = nil
	return err
}

// listening is one run of the server between Start and Close.
type listening struct {
	http    *fasthttp.Server
	socket  net.Listener
	served  chan struct{} // closed when Serve has returned
	closing chan struct{} // closed when Close begins

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

func newListening(listener net.Listener, handle func(*fasthttp.RequestCtx, <-chan struct{})) *listening {
	l := &listening{
		socket:  listener,
		served:  make(chan struct{}),
		closing: make(chan struct{}),
		conns:   make(map[net.Conn]struct{}),
	}
	l.http = &fasthttp.Server{
		Handler:               func(ctx *fasthttp.RequestCtx) { handle(ctx, l.closing) },
		MaxRequestBodySize:    maxRequestBytes,
		NoDefaultServerHeader: true,
		ConnState:             l.connState,
		Logger:                quietLogger{},
	}
	go func() {
		defer close(l.served)
		_ = l.http.Serve(listener)
	}()
	return l
}

// connState keeps track of the open connections.
func (l *listening) connState(conn net.Conn, state fasthttp.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case fasthttp.StateNew:
		l.conns[conn] = struct{}{}
		if isClosed(l.closing) {
			_ = conn.Close()
		}
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		delete(l.conns, conn)
	}
}

func (l *listening) close() error {
	l.mu.Lock()
	close(l.closing)
	for conn := range l.conns {
		_ = conn.Close()
	}
	l.mu.Unlock()
	err := l.socket.Close() // Shutdown does not close it before Serve has begun
	_ = l.http.Shutdown()
	<-l.served
	return err
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// quietLogger drops the messages that clients cause by closing connections.
type quietLogger struct{}

func (quietLogger) Printf(string, ...any) {}
