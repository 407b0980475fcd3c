// Package platform is a small HTTP stand-in for the platform: the table
// service, the object store and the list of VMs over package platform/memory.
// Its control endpoints bring about faults; see docs/PLATFORM.md. It is for
// tests and development only: it keeps nothing and checks no caller.
package platform

import (
	"encoding/json"
	"fmt"
	"net"

	"github.com/valyala/fasthttp"

	"github.com/walnutcove/walnutcove/platform"
	"github.com/walnutcove/walnutcove/platform/memory"
)

// maxRequestBytes bounds a request: one object, or a commit as JSON.
const maxRequestBytes = platform.MaxObjectBytes + 1<<20

// Options configure a Server. The zero value is usable.
type Options struct {
	// VMs is the first list of VMs.
	VMs []platform.VM
}

// Server is the stand-in. Make it with New, then Start it.
type Server struct {
	store    *memory.Store
	http     *fasthttp.Server
	listener net.Listener
	served   chan struct{}
}

// New returns a server that is not yet listening.
func New(options Options) *Server {
	s := &Server{store: memory.New(memory.Options{}), served: make(chan struct{})}
	s.store.SetVMs(options.VMs)
	s.http = &fasthttp.Server{
		Handler:               s.handle,
		MaxRequestBodySize:    maxRequestBytes,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                quietLogger{},
	}
	return s
}

// quietLogger drops the messages that clients cause by closing connections.
type quietLogger struct{}

func (quietLogger) Printf(string, ...any) {}

// Start listens on addr ("ip:port"; port 0 picks a free one) and returns the
// address that it listens on.
func (s *Server) Start(addr string) (string, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return "", fmt.Errorf("standin platform: %w", err)
	}
	s.listener = listener
	go func() {
		defer close(s.served)
		_ = s.http.Serve(listener)
	}()
	return listener.Addr().String(), nil
}

// Close stops listening and waits a moment for the requests in flight.
func (s *Server) Close() error {
	if s.listener == nil {
		return nil
	}
	err := s.http.Shutdown()
	<-s.served
	return err
}

// Store returns the store behind the server, for checks in tests.
func (s *Server) Store() *memory.Store { return s.store }

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case platform.PathRow:
		s.getRow(ctx)
	case platform.PathScan:
		s.scan(ctx)
	case platform.PathCommit:
		s.commit(ctx)
	case platform.PathVMs:
		s.listVMs(ctx)
	case pathSetVMs:
		s.setVMs(ctx)
	default:
		replyError(ctx, fmt.Errorf("%w: unknown path", platform.ErrInvalid))
	}
}

func reply(ctx *fasthttp.RequestCtx, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		replyError(ctx, err)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(encoded)
}
