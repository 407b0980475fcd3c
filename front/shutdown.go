package front

import (
	"context"
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/wait"
)

// errForced is the cancellation cause of exchanges that Close ends.
var errForced = errors.New("front: server closed without waiting for its requests")

// acceptQuietPeriod is how long no connection must arrive before Shutdown closes the
// listener. Closing it makes the kernel reset connections that it has established but the
// server has not accepted, with any request already sent on them: this happened in 1 of
// 60 shutdowns under load. Callers that are directed here learn within some milliseconds
// that the server is leaving.
const acceptQuietPeriod = 100 * time.Millisecond

// Shutdown answers further requests with "Connection: close", stops accepting once
// no new connections arrive, and waits until every exchange has ended and every
// connection is closed. It interrupts no request: a connection is closed only after
// it was idle for Options.IdleGrace. If ctx ends first, Shutdown returns the
// context's error and the exchanges continue; Close then ends them.
func (s *Server) Shutdown(ctx context.Context) error {
	s.drain()
	s.awaitNoNewConns(ctx)
	if err := s.stopAccepting(); err != nil {
		return err
	}
	return s.waitUntil(ctx, s.allClosed)
}

// Close stops the server at once: it cancels the context of every exchange and, after
// Options.ForceGrace, closes the connections that are still open. Callers get an error
// with a result code or a broken answer, never a partial answer that looks complete.
func (s *Server) Close() error {
	s.drain()
	err := s.stopAccepting()
	s.cancel(errForced)
	s.offloads.abortAll()
	ctx, cancel := context.WithTimeout(context.Background(), s.options.ForceGrace)
	defer cancel()
	// On a timeout the remaining exchanges are interrupted, as Close promises.
	_ = s.waitUntil(ctx, s.allEnded)
	for _, conn := range s.connections() {
		conn.Conn.Close()
	}
	return err
}

// drain makes every connection close after its next answer and limits the wait of idle
// connections. Later calls do nothing.
func (s *Server) drain() {
	if s.draining.Swap(true) {
		return
	}
	s.acceptedAt.Store(s.sinceStart())
	for _, conn := range s.connections() {
		conn.limitIdleWait()
	}
}

// awaitNoNewConns waits until no connection has arrived for acceptQuietPeriod, at most
// for IdleGrace.
func (s *Server) awaitNoNewConns(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.options.IdleGrace)
	defer cancel()
	for {
		s.mu.Lock()
		serving := s.serving
		s.mu.Unlock()
		quiet := time.Duration(s.sinceStart() - s.acceptedAt.Load())
		if !serving || quiet >= acceptQuietPeriod || !wait.For(ctx, acceptQuietPeriod-quiet) {
			return
		}
	}
}

// stopAccepting closes the listener. Later calls do nothing.
func (s *Server) stopAccepting() error {
	s.mu.Lock()
	listener := s.listener
	s.listener = nil
	s.mu.Unlock()
	if listener == nil {
		return nil
	}
	return listener.Close()
}

// waitUntil waits until done returns true or ctx ends. It calls done again after every
// change, with s.mu held.
func (s *Server) waitUntil(ctx context.Context, done func() bool) error {
	for {
		s.mu.Lock()
		finished := done()
		changed := s.changed
		s.mu.Unlock()
		if finished {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// allClosed reports whether Serve has returned and all connections are closed, those of
// offloaded requests too. The caller holds s.mu.
func (s *Server) allClosed() bool {
	return !s.serving && len(s.conns) == 0 && s.offloads.count() == 0
}

// allEnded reports whether all exchanges have ended. The caller holds s.mu.
func (s *Server) allEnded() bool { return s.active == 0 }

// signal wakes the goroutines in waitUntil. Their conditions cannot become true while
// the server accepts connections, so it does nothing then. The caller holds s.mu.
func (s *Server) signal() {
	if s.draining.Load() || !s.serving {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// Active returns the number of exchanges that have not ended.
func (s *Server) Active() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active
}

// HeldBytes returns the total size of the request bodies that are held or still
// arriving.
func (s *Server) HeldBytes() int64 { return s.reservations.heldBytes() }

// BufferedAnswerBytes returns the total size of the answers that are buffered for callers,
// without those of executors.
func (s *Server) BufferedAnswerBytes() int64 { return s.answerBudget.heldBytes() }

func (s *Server) connections() []*callerConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	conns := make([]*callerConn, 0, len(s.conns))
	for conn := range s.conns {
		conns = append(conns, conn)
	}
	return conns
}

// ConnCount returns the number of open connections to callers. Those that carry requests of
// other routers are not counted: they have no descriptors.
func (s *Server) ConnCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) - s.executed + s.offloads.count()
}

// HasTooManyConns reports whether so many connections are open that each is closed
// after its answer rather than kept for another request.
func (s *Server) HasTooManyConns() bool {
	return s.options.MaxKeptConns > 0 && s.ConnCount() > s.options.MaxKeptConns
}

// closeReason returns the counter of the reason why a connection is closed after its answer: the server
// drains, has too many connections, or is to get less load. It returns nil if the connection is kept.
func (s *Server) closeReason() *metrics.Counter {
	switch {
	case s.draining.Load():
		return closedDraining
	case s.HasTooManyConns():
		return closedTooMany
	case s.options.CloseAfterAnswer != nil && s.options.CloseAfterAnswer():
		return closedLessLoad
	}
	return nil
}

// idleCloseReason returns the counter of the reason why an idle connection is closed.
func (s *Server) idleCloseReason() *metrics.Counter {
	if s.draining.Load() {
		return closedDraining
	}
	return closedIdle
}

// idleLimit returns for how long callers may keep connections idle.
func (s *Server) idleLimit() time.Duration {
	if s.options.IdleLimit == nil {
		return s.options.IdleTimeout
	}
	return max(s.options.IdleTimeout, s.options.IdleLimit())
}

func (s *Server) connOpened(conn *callerConn) {
	s.mu.Lock()
	s.conns[conn] = struct{}{}
	if conn.executed != nil {
		s.executed++
	}
	s.mu.Unlock()
}

func (s *Server) connClosed(conn *callerConn) {
	s.mu.Lock()
	if _, open := s.conns[conn]; open && conn.executed != nil {
		s.executed--
	}
	delete(s.conns, conn)
	s.signal()
	s.mu.Unlock()
}

func (s *Server) exchangeBegan() {
	s.mu.Lock()
	s.active++
	s.mu.Unlock()
}

func (s *Server) exchangeEnded() {
	s.mu.Lock()
	s.active--
	s.signal()
	s.mu.Unlock()
}
