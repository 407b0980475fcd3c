package front

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"runtime/debug"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/walnutcove/walnutcove/result"
)

// errConnectionClosed ends an exchange whose connection closed before the
// answer was whole.
var errConnectionClosed = errors.New("front: connection closed before the answer was whole")

// serve handles one request that has arrived whole. When it returns, the HTTP
// library writes the response; connState learns how that went.
func (s *Server) serve(ctx *fasthttp.RequestCtx) {
	conn := ctx.Conn().(*callerConn) // every connection comes from callerListener
	if s.sheds(conn) {
		s.turnAway(ctx, conn)
		return
	}
	r := s.begin(ctx, conn)
	err := accept(ctx, r)
	if err != nil {
		s.logRefused(r.ex.ID, err)
	} else {
		err = s.run(r)
	}
	if !r.takeAnswer() {
		r.dropAnswer()
		return // nothing can be written any more
	}
	if err == nil {
		err = s.writeAnswer(ctx, r)
	}
	if err != nil {
		r.err = err
		s.writeError(ctx, r.ex.ID, err)
	}
	if conn.linger || s.releases() {
		ctx.SetConnectionClose()
	}
}

// sheds says whether the next request of a connection is refused unread.
func (s *Server) sheds(conn *callerConn) bool {
	switch {
	case s.options.Shed == nil:
		return false
	case conn.kept || conn.admission == undecided:
		return s.options.Shed(conn.kept)
	default:
		return conn.admission == turnedAway
	}
}

// turnAway refuses a request whose headers have arrived, with as little work as can be: what
// it takes is missing for those who are served.
func (s *Server) turnAway(ctx *fasthttp.RequestCtx, conn *callerConn) {
	arrival := s.takeArrival(&ctx.Request.Header)
	arrival.keep(0)
	conn.linger = arrival != nil && arrival.refusal != nil // its body was not read
	s.refuseBusy(ctx)
}

// refuseBusy sets the refusal of a router that runs late as the response.
func (s *Server) refuseBusy(ctx *fasthttp.RequestCtx) {
	requests.Inc()
	header := &ctx.Request.Header
	id := s.idOf(header).text
	err := tooBusy()
	s.logRefused(id, err)
	if s.options.OnShed != nil {
		s.options.OnShed(header.Host(), ctx.Path(), header.Peek)
	}
	s.writeError(ctx, id, err)
	ctx.SetConnectionClose()
}

// refusedLogged bounds the lines a second about requests that are refused unread. A
// line costs about as much as the refusal, and they come in floods.
const refusedLogged = 100

// logRefused names a request that was refused unread in the log, or only counts it
// where there are too many.
func (s *Server) logRefused(id string, err error) {
	if !s.refusedLog.Allow() {
		refusalsUnsaid.Inc()
		s.unlogged.Add(1)
		return
	}
	s.log.Info("front: Request refused.", "request", id, "error", err, "unlogged_before", s.unlogged.Swap(0))
}

// accept refuses what no filter should have to think about.
func accept(ctx *fasthttp.RequestCtx, r *request) error {
	if r.arrival != nil && r.arrival.refusal != nil {
		// The body was not read, so no other request can follow it.
		r.conn.linger = true
		return r.arrival.refusal
	}
	requests.Inc()
	return checkRequest(ctx, r.ex)
}

// elsewhereAfter is the longest pause that a caller is told to make who had better ask
// another router. Its connection is closed, and the next one leads elsewhere; the pause
// only spreads those who are refused together.
const elsewhereAfter = 50 * time.Millisecond

// tooBusy is the refusal of a router that runs late, which says nothing of others.
func tooBusy() error {
	refusals.Inc(result.Overloaded)
	after := time.Millisecond + rand.N(elsewhereAfter-time.Millisecond)
	return result.New(result.Overloaded, "This router is too busy.").WithRetryAfter(after)
}

// begin counts a new exchange and ties it to its connection.
func (s *Server) begin(ctx *fasthttp.RequestCtx, conn *callerConn) *request {
	gone := make(chan struct{})
	r := &request{
		arrival: s.takeArrival(&ctx.Request.Header),
		ex:      newExchange(s.idOf(&ctx.Request.Header), gone, ctx),
		conn:    conn,
		gone:    gone,
		server:  s,
	}
	r.arrival.keep(int64(len(r.ex.Body)))
	r.ex.ProbeCallerGone = conn.isClosedByCaller
	r.ex.ServingContext, r.endServing = context.WithCancel(s.ctx)
	r.ctx, r.cancel = context.WithCancelCause(r.ex.ServingContext)
	r.ex.EndBy = r.endBy
	conn.request = r
	conn.writeErr = nil
	s.began()
	s.watch.add(r)
	return r
}

// run calls the pipeline and turns a panic into an error.
func (s *Server) run(r *request) (err error) {
	defer func() {
		if p := recover(); p != nil {
			s.log.Error("front: Pipeline panicked.", "request", r.ex.ID, "panic", p, "stack", string(debug.Stack()))
			refusals.Inc(result.Internal)
			err = result.New(result.Internal, "The router failed.")
		}
	}()
	return s.handler(r.ctx, r.ex)
}

// connState learns from the HTTP library when an answer has been sent: a
// connection turns idle after the last byte was written, or closes.
func (s *Server) connState(c net.Conn, state fasthttp.ConnState) {
	conn := c.(*callerConn)
	switch state {
	case fasthttp.StateNew:
		s.opened(conn)
	case fasthttp.StateActive:
		conn.setBusy(true)
	case fasthttp.StateIdle:
		s.finish(conn)
		conn.setBusy(false)
	case fasthttp.StateClosed:
		s.finish(conn)
		s.closed(conn)
	}
}

// finish ends the exchange of a connection, if there is one. Only the
// connection's serving goroutine calls it.
func (s *Server) finish(conn *callerConn) {
	r := conn.request
	if r == nil {
		return
	}
	conn.request = nil
	conn.kept = true
	s.watch.remove(r)
	if r.err == nil {
		r.err = conn.writeErr
	}
	r.ex.End(r.err)
	r.cancel(context.Canceled)
	r.endServing()
	r.arrival.keep(0)
	s.ended()
}
