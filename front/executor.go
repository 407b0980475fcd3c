package front

import (
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// executed is what a connection that carries a request of another router needs in addition.
type executed struct {
	// source is the router that holds the caller's connection, id the request's ID there, empty
	// if unknown, and arrived when the request arrived there.
	source  string
	id      string
	arrived time.Time
	// gone is closed when the caller has gone; nil if the connection does not tell.
	gone <-chan struct{}
	// wrote is set once a byte of the response was written, and truncated if the rest of it
	// will not be. Only the serving goroutine uses them.
	wrote, truncated bool
	// ended is set once the request was counted.
	ended bool
}

// ServeOffloaded serves one request that another router, the source, forwards, and returns when
// conn is closed. The request is never shed nor forwarded again, and counts as having arrived
// the given time ago.
//
// conn carries the request from its first byte on. Like any net.Conn it must accept deadlines;
// the write deadline limits how long a write may wait for a caller who does not read. If conn has
// one of these methods, they are used:
//
//   - Gone() <-chan struct{} returns a channel that is closed when the caller has gone. Its
//     exchange then ends like that of a caller who closed the connection.
//   - RequestID() string returns the request's ID at the source, or "".
//   - Abort() is called before Close if the response is not complete.
//   - CloseWrite() error is called after a complete response whose exchange continues, as the run
//     of a non-idempotent request does after its caller's deadline.
func (s *Server) ServeOffloaded(conn net.Conn, waited time.Duration, source string) {
	c := newCallerConn(conn, s)
	c.executed = &executed{source: source, arrived: time.Now().Add(-waited)}
	if withGone, ok := conn.(interface{ Gone() <-chan struct{} }); ok {
		c.executed.gone = withGone.Gone()
	}
	if withID, ok := conn.(interface{ RequestID() string }); ok {
		c.executed.id = withID.RequestID()
	}
	s.connOpened(c)
	if err := s.http.ServeConn(c); err != nil {
		s.log.Debug("front: Offloaded request ended with an error.", "source", source, "error", err)
	}
}

// isGone reports whether the caller of the connection has gone.
func (e *executed) isGone() bool {
	select {
	case <-e.gone:
		return true
	default:
		return false
	}
}

// watchExecuted ends the exchange of a request of another router as soon as its caller has gone.
func (r *request) watchExecuted() {
	select {
	case <-r.conn.executed.gone:
	case <-r.unwatched:
		return
	}
	select {
	case <-r.unwatched: // closed before: the connection counts as gone once the request has ended
	default:
		r.callerWentAway()
	}
}

// endExecuted tells the connection whether the response is complete, and counts the request. It
// is called before the connection is closed.
func (c *callerConn) endExecuted() {
	e := c.executed
	if e == nil || e.ended {
		return
	}
	e.ended = true
	isComplete := e.wrote && !e.truncated && !c.isCut.Load()
	e.outcome(isComplete).Inc()
	if withAbort, ok := c.Conn.(interface{ Abort() }); ok && !isComplete {
		withAbort.Abort()
	}
}

// outcome returns the counter for a request.
func (e *executed) outcome(isComplete bool) *metrics.Counter {
	switch {
	case isComplete:
		return servedComplete
	case e.isGone():
		return servedCallerGone
	default:
		return servedBroken
	}
}
