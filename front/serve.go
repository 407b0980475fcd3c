package front

import (
	"context"
	"errors"
	"net"

	"github.com/valyala/fasthttp"

	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/result"
)

// errConnectionClosed ends an exchange whose connection closed before the
// answer was whole.
var errConnectionClosed = errors.New("front: connection closed before the answer was whole")

// serve handles one request that has arrived whole.
func (s *Server) serve(ctx *fasthttp.RequestCtx) {
	conn, ok := ctx.Conn().(*callerConn)
	if !ok {
		panic("front: connection was not accepted by this server")
	}
	r := s.begin(ctx, conn)
	if err := checkRequest(ctx, r.ex); err != nil {
		r.err = err
		s.writeError(ctx, r.ex.ID, err)
		return
	}
	exchangeCtx, cancel := context.WithCancelCause(s.ctx)
	r.cancel = cancel
	s.watch.add(r)
	err := s.run(exchangeCtx, r.ex)
	if err != nil {
		r.err = err
		s.writeError(ctx, r.ex.ID, err)
		return
	}
	s.writeAnswer(ctx, r)
}

// begin counts a new exchange and ties it to its connection.
func (s *Server) begin(ctx *fasthttp.RequestCtx, conn *callerConn) *request {
	gone := make(chan struct{})
	r := &request{
		ex:     newExchange(s.ids.id(), gone, ctx),
		conn:   conn,
		gone:   gone,
		cancel: func(error) {},
	}
	conn.request = r
	conn.writeErr = nil
	s.mu.Lock()
	s.active++
	s.mu.Unlock()
	requests.Inc()
	return r
}

// run calls the pipeline and turns a panic into an error.
func (s *Server) run(ctx context.Context, ex *pipeline.Exchange) (err error) {
	defer func() {
		if p := recover(); p != nil {
			s.log.Error("front: Pipeline panicked.", "request", ex.ID, "panic", p)
			err = result.New(result.Internal, "the router failed")
		}
	}()
	return s.handler(ctx, ex)
}

// connState learns from the HTTP library when an answer has been sent: a
// connection turns idle after its last byte was written, or closes.
func (s *Server) connState(c net.Conn, state fasthttp.ConnState) {
	conn, ok := c.(*callerConn)
	if !ok || conn.request == nil {
		return
	}
	switch state {
	case fasthttp.StateIdle, fasthttp.StateClosed:
		r := conn.request
		conn.request = nil
		s.finish(r)
	}
}

// finish ends an exchange. The serving goroutine calls it once for each.
func (s *Server) finish(r *request) {
	s.watch.remove(r)
	if r.err == nil {
		r.err = r.conn.writeErr
	}
	r.ex.End(r.err)
	r.cancel(context.Canceled)
	s.mu.Lock()
	s.active--
	s.closeIfIdle()
	s.mu.Unlock()
}

// closeIfIdle needs s.mu.
func (s *Server) closeIfIdle() {
	if !s.draining || s.active > 0 {
		return
	}
	select {
	case <-s.idle:
	default:
		close(s.idle)
	}
}
