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
// answer was complete.
var errConnectionClosed = errors.New("front: connection closed before the answer was complete")

// serve handles one request that has arrived completely. When it returns, the HTTP
// library writes the response and calls connState with the outcome.
func (s *Server) serve(ctx *fasthttp.RequestCtx) {
	conn := ctx.Conn().(*callerConn) // every connection comes from callerListener
	conn.countRequest(&ctx.Request)
	if s.shouldShed(conn) {
		if shed, countRefused := s.confirmShed(ctx, conn.reused); shed {
			s.offerOrReject(ctx, conn, countRefused)
			return
		}
	}
	r := s.beginExchange(ctx, conn)
	err := checkBeforeFilters(ctx, r)
	if err != nil {
		s.logRefusal(r.ex.ID, err)
	} else {
		err = s.refusalAtStop(r.ex.ID, s.run(r))
	}
	if !r.claimAnswer() {
		r.discardAnswer()
		conn.closeAfter(r.ex.ID, closedDeadline)
		return // the connection is closed for writing
	}
	if err == nil {
		err = s.writeAnswer(ctx, r)
	}
	if err != nil {
		r.err = err
		s.writeError(ctx, r.ex.ID, err)
	}
	if conn.linger || conn.executed != nil {
		ctx.SetConnectionClose()
	} else if reason := s.closeReason(); reason != nil && conn.mayClose() {
		ctx.SetConnectionClose()
		conn.closeAfter(r.ex.ID, reason)
	}
}

// shouldShed reports whether the next request of a connection is selected for refusal.
func (s *Server) shouldShed(conn *callerConn) bool {
	switch {
	case s.options.Shed == nil || conn.executed != nil:
		return false
	case conn.reused || conn.admission == undecided:
		return s.options.Shed(conn.reused)
	default:
		return conn.admission == rejected
	}
}

// confirmShed reports whether a request that was selected for refusal is not served here. If it
// is refused, countRefused is called unless it is nil.
func (s *Server) confirmShed(ctx *fasthttp.RequestCtx, kept bool) (shed bool, countRefused func()) {
	if s.options.ConfirmShed == nil {
		return true, nil
	}
	header := &ctx.Request.Header
	return s.options.ConfirmShed(kept, header.Host(), ctx.Path(), header.Peek)
}

// offerOrReject handles a request that is not served here and whose headers have arrived, with
// as little work as possible, to leave the processor time to the requests that are served. It
// refuses the request unless an executor takes it.
func (s *Server) offerOrReject(ctx *fasthttp.RequestCtx, conn *callerConn, countRefused func()) {
	reservation := s.claimReservation(&ctx.Request.Header)
	reservation.shrinkTo(0)
	conn.linger = reservation != nil && reservation.refusal != nil // the body was not read
	id := s.requestIDOf(&ctx.Request.Header).text
	closes := conn.linger || conn.mayClose()
	// What was read beyond an offered request is lost, as its response closes the connection.
	if s.offloads != nil && closes && !conn.linger && s.offloads.offerRead(ctx, conn, id, countRefused) {
		return
	}
	if countRefused != nil {
		countRefused()
	}
	s.writeOverloaded(ctx, id)
	if closes {
		ctx.SetConnectionClose()
	}
	if closes && !conn.linger {
		conn.closeAfter(id, closedOverloaded)
	}
}

// writeOverloaded sets the response of an overloaded router. Its connection is closed unless the
// next request has arrived.
func (s *Server) writeOverloaded(ctx *fasthttp.RequestCtx, id string) {
	requests.Inc()
	err := overloadedError()
	s.logRefusal(id, err)
	s.writeError(ctx, id, err)
}

// maxRefusalLogsPerSecond limits the log lines about requests that are refused unread.
// Writing a line costs about as much as the refusal, and refusals come in bursts.
const maxRefusalLogsPerSecond = 100

// logRefusal logs a request that was refused before the pipeline, or only counts it
// once the rate limit for these lines is reached.
func (s *Server) logRefusal(id string, err error) {
	if !s.allowRefusalLog() {
		return
	}
	s.log.Info("front: Request refused.", "request", id, "error", err, "unlogged_before", s.unlogged.Swap(0))
}

// allowRefusalLog reports whether another line about a refused request may be logged, and counts
// the line if not.
func (s *Server) allowRefusalLog() bool {
	if s.refusalLogLimiter.Allow() {
		return true
	}
	refusalsUnlogged.Inc()
	s.unlogged.Add(1)
	return false
}

// checkBeforeFilters refuses requests whose bodies were not read and requests that fail
// checkRequest.
func checkBeforeFilters(ctx *fasthttp.RequestCtx, r *request) error {
	if r.reservation != nil && r.reservation.refusal != nil {
		// The body was not read, so no other request can follow on this connection.
		r.conn.linger = true
		closedRefused.Inc()
		return r.reservation.refusal
	}
	requests.Inc()
	return checkRequest(ctx, r.ex)
}

// maxOverloadedRetryAfter is the longest retry delay given to callers of an overloaded
// router. Their connections are closed and the next ones reach other routers; the delay
// only spreads the retries of callers that are refused together.
const maxOverloadedRetryAfter = 50 * time.Millisecond

// overloadedError returns the refusal of an overloaded router. Other routers may be idle,
// so the retry delay is short.
func overloadedError() error {
	refusals.Inc(result.Overloaded)
	retryAfter := time.Millisecond + rand.N(maxOverloadedRetryAfter-time.Millisecond)
	return result.New(result.Overloaded, "This router is too busy.").WithRetryAfter(retryAfter)
}

// beginExchange creates and counts a new exchange and attaches it to its connection.
func (s *Server) beginExchange(ctx *fasthttp.RequestCtx, conn *callerConn) *request {
	gone := make(chan struct{})
	r := &request{
		reservation: s.claimReservation(&ctx.Request.Header),
		ex:          newExchange(s.requestIDOf(&ctx.Request.Header), gone, ctx),
		answer:      &answerShare{budget: s.answerBudget},
		conn:        conn,
		gone:        gone,
		server:      s,
	}
	r.reservation.shrinkTo(int64(len(r.ex.Body)))
	r.ex.ProbeCallerGone = conn.isClosedByCaller
	r.ex.HoldAnswer = func(bytes int64) bool { return r.answer.hold(r.ex.WorkspaceName, bytes) }
	r.ex.ServingContext, r.endServing = context.WithCancel(s.ctx)
	r.ctx, r.cancel = context.WithCancelCause(r.ex.ServingContext)
	r.ex.EndBy = r.refuseAt
	if e := conn.executed; e != nil {
		r.ex.Arrived = e.arrived
		if e.id != "" {
			r.ex.ID = e.id
		}
		r.ex.OffloadedFrom = e.source
		r.ex.GatherEvents = true
	}
	conn.request = r
	conn.writeErr = nil
	s.exchangeBegan()
	s.watchCaller(r)
	return r
}

// watchCaller begins to watch whether the caller of a request disconnects.
func (s *Server) watchCaller(r *request) {
	if e := r.conn.executed; e == nil || e.gone == nil {
		s.watch.add(r)
		return
	}
	r.unwatched = make(chan struct{})
	go r.watchExecuted()
}

// unwatchCaller ends watchCaller. Later calls do nothing.
func (s *Server) unwatchCaller(r *request) {
	if r.unwatched == nil {
		s.watch.remove(r)
		return
	}
	r.unwatchOnce.Do(func() { close(r.unwatched) })
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

// refusalAtStop returns the error of a request, with result.Draining if Close has broken the request
// off: filters cannot tell that from a caller that has gone.
func (s *Server) refusalAtStop(id string, err error) error {
	var refusal *result.Error
	if s.ctx.Err() == nil || !errors.As(err, &refusal) || refusal.Code != result.CallerGone {
		return err
	}
	refusals.Inc(result.Draining)
	s.log.Info("front: Request broken off as the router stops.", "request", id, "ran", refusal.Ran.String())
	stopped := result.Wrap(result.Draining, err, "The router has stopped.")
	stopped.Ran = refusal.Ran
	return stopped
}

// connState is called by the HTTP library when a connection changes state. It becomes
// idle after the last byte of an answer was written, or it closes.
func (s *Server) connState(c net.Conn, state fasthttp.ConnState) {
	conn := c.(*callerConn)
	switch state {
	case fasthttp.StateNew:
		s.connOpened(conn)
	case fasthttp.StateActive:
		conn.setBusy(true)
	case fasthttp.StateIdle:
		s.endExchange(conn)
		conn.setBusy(false)
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		// A connection is hijacked only to close it without a response; see offerRead.
		s.endExchange(conn)
		s.connClosed(conn)
	}
}

// endExchange ends the exchange of a connection, if there is one. Only the
// connection's serving goroutine calls it.
func (s *Server) endExchange(conn *callerConn) {
	r := conn.request
	if r == nil {
		return
	}
	conn.request = nil
	conn.reused = true
	r.stopDeadline()
	s.unwatchCaller(r)
	if r.err == nil {
		r.err = conn.writeErr
	}
	r.ex.End(r.err)
	r.cancel(context.Canceled)
	r.endServing()
	r.reservation.shrinkTo(0)
	r.answer.end()
	s.exchangeEnded()
}
