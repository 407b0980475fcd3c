// Package platform is a small HTTP stand-in for the platform. It serves the table
// service, the object store, the weight store and the list of VMs from package
// store/memory. Its control endpoints inject faults; see docs/PLATFORM.md. It is for
// tests and development only: it persists nothing and does not authenticate
// callers.
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

// maxRequestBytes bounds the body of a request: an object, or a commit as JSON.
const maxRequestBytes = store.MaxObjectBytes + 1<<20

// Options configure a Server. The zero value is usable.
type Options struct {
	// VMs is the initial list of VMs.
	VMs []store.VM
	// Weights configures the weight store.
	Weights memory.WeightsOptions
	// Faults are the initial faults. Default: none.
	Faults Faults
	// MinJournalEntries is how many of the latest journal entries are kept at least;
	// older ones are dropped once there are twice as many. Default 1<<20.
	MinJournalEntries int
}

// Server is the stand-in. Create it with New, then call Start.
type Server struct {
	store      *memory.Store
	weights    *memory.Weights
	faults     *faultState
	journal    *journal
	metrics    *metrics.Set
	heldCalls  atomic.Int32
	optionsErr error // from New, returned by Start

	mu     sync.Mutex
	active *listeningServer // nil unless started
}

// New returns a server that is not yet listening.
func New(options Options) *Server {
	journal := newJournal(options.MinJournalEntries)
	s := &Server{
		store:   memory.New(memory.Options{OnChange: journal.add}),
		weights: memory.NewWeights(options.Weights),
		faults:  newFaultState(),
		journal: journal,
		metrics: metrics.NewSet(),
	}
	s.store.SetVMs(options.VMs)
	s.optionsErr = s.SetFaults(options.Faults)
	return s
}

// Store returns the store behind the server, for checks in tests. Faults do not
// affect direct calls to it.
func (s *Server) Store() *memory.Store { return s.store }

// Start listens on addr ("ip:port"; port 0 picks a free one) and returns the
// address that it listens on. A closed server can be started again; it keeps its
// rows, as a restarted platform would.
func (s *Server) Start(addr string) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.optionsErr != nil {
		return "", s.optionsErr
	}
	if s.active != nil {
		return "", fmt.Errorf("standin platform: already listening")
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return "", fmt.Errorf("standin platform: %w", err)
	}
	s.active = newListeningServer(listener, s.handle)
	return listener.Addr().String(), nil
}

// Close stops listening and closes every connection: calls in flight lose their
// replies, and held calls are not applied. New connections are refused.
func (s *Server) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active == nil {
		return nil
	}
	err := s.active.close()
	s.active = nil
	return err
}

// listeningServer is an HTTP server between its start and its close, with its open
// connections.
type listeningServer struct {
	http      *fasthttp.Server
	listener  net.Listener
	serveDone chan struct{} // closed when Serve has returned
	closing   chan struct{} // closed when Close begins

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

func newListeningServer(listener net.Listener, handle func(*fasthttp.RequestCtx, <-chan struct{})) *listeningServer {
	l := &listeningServer{
		listener:  listener,
		serveDone: make(chan struct{}),
		closing:   make(chan struct{}),
		conns:     make(map[net.Conn]struct{}),
	}
	l.http = &fasthttp.Server{
		Handler:               func(ctx *fasthttp.RequestCtx) { handle(ctx, l.closing) },
		MaxRequestBodySize:    maxRequestBytes,
		NoDefaultServerHeader: true,
		ConnState:             l.connState,
		Logger:                discardLogger{},
	}
	go func() {
		defer close(l.serveDone)
		_ = l.http.Serve(listener)
	}()
	return l
}

// connState implements fasthttp.Server.ConnState: it tracks the open connections,
// and closes those that are accepted after the close began.
func (l *listeningServer) connState(conn net.Conn, state fasthttp.ConnState) {
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

func (l *listeningServer) close() error {
	l.mu.Lock()
	close(l.closing)
	for conn := range l.conns {
		_ = conn.Close()
	}
	l.mu.Unlock()
	err := l.listener.Close() // Shutdown does not close it before Serve has begun
	_ = l.http.Shutdown()
	<-l.serveDone
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

// discardLogger drops fasthttp's log messages, which clients cause by closing
// connections.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}
