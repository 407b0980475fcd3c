package front

import (
	"context"
	"errors"
	"time"

	"github.com/walnutcove/walnutcove/wait"
)

// errForced is the cause given to exchanges that a forced stop ends.
var errForced = errors.New("front: stopped by force")

// acceptQuiet is how long nobody may connect before a Shutdown closes the listener. The
// kernel resets connections that it has taken and the server has not accepted by then,
// with the request that may be on them already: 1 of 60 shutdowns under load did. Callers
// that are sent here hear within some milliseconds that the server leaves.
const acceptQuiet = 100 * time.Millisecond

// Shutdown answers what comes in with "Connection: close", stops accepting once
// nobody connects any more, and waits until every exchange has ended and every
// connection is closed. It cuts no request: a connection is closed only after
// it was idle for Options.IdleGrace. If ctx ends first, Shutdown returns the
// context's error and the exchanges go on; Close then ends them.
func (s *Server) Shutdown(ctx context.Context) error {
	s.drain()
	s.awaitQuiet(ctx)
	if err := s.stopAccepting(); err != nil {
		return err
	}
	return s.waitUntil(ctx, s.allClosed)
}

// Close stops by force: it ends the context of every exchange and, after
// Options.ForceGrace, closes the connections that are still open. Callers see
// a numbered refusal or a broken answer, never a clean end of half an answer.
func (s *Server) Close() error {
	s.drain()
	err := s.stopAccepting()
	s.cancel(errForced)
	ctx, cancel := context.WithTimeout(context.Background(), s.options.ForceGrace)
	defer cancel()
	// What has not ended by then is cut, which is what Close is for.
	_ = s.waitUntil(ctx, s.allEnded)
	for _, conn := range s.connections() {
		conn.Conn.Close()
	}
	return err
}

// drain refuses new requests and bounds the wait of idle connections. Later calls do
// nothing.
func (s *Server) drain() {
	if s.draining.Swap(true) {
		return
	}
	s.acceptedAt.Store(s.sinceStart())
	for _, conn := range s.connections() {
		conn.endIdle()
	}
}

// awaitQuiet waits until nobody has connected for acceptQuiet, at most for IdleGrace.
func (s *Server) awaitQuiet(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.options.IdleGrace)
	defer cancel()
	for {
		s.mu.Lock()
		serving := s.serving
		s.mu.Unlock()
		quiet := time.Duration(s.sinceStart() - s.acceptedAt.Load())
		if !serving || quiet >= acceptQuiet || !wait.For(ctx, acceptQuiet-quiet) {
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

// waitUntil waits until done says so. It is asked again after every change
// and needs s.mu.
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

// allClosed needs s.mu.
func (s *Server) allClosed() bool { return !s.serving && len(s.conns) == 0 }

// allEnded needs s.mu.
func (s *Server) allEnded() bool { return s.active == 0 }

// signal wakes what waits in waitUntil, which has nothing to wait for while
// callers are accepted. It needs s.mu.
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

// HeldBytes returns the bytes of bodies that are held, and of those that were
// announced and are on their way.
func (s *Server) HeldBytes() int64 { return s.arrivals.held() }

func (s *Server) connections() []*callerConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	conns := make([]*callerConn, 0, len(s.conns))
	for conn := range s.conns {
		conns = append(conns, conn)
	}
	return conns
}

// ConnCount returns the number of open connections.
func (s *Server) ConnCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// IsCrowded says whether so many connections are open that each is closed with
// its answer rather than kept for another request.
func (s *Server) IsCrowded() bool {
	return s.options.KeptConns > 0 && s.ConnCount() > s.options.KeptConns
}

// releases says whether a connection is closed with its answer, as this router has too
// many or is to get less to do.
func (s *Server) releases() bool {
	return s.draining.Load() || s.IsCrowded() || s.options.Release != nil && s.options.Release()
}

func (s *Server) opened(conn *callerConn) {
	s.mu.Lock()
	s.conns[conn] = struct{}{}
	s.mu.Unlock()
}

func (s *Server) closed(conn *callerConn) {
	s.mu.Lock()
	delete(s.conns, conn)
	s.signal()
	s.mu.Unlock()
}

func (s *Server) began() {
	s.mu.Lock()
	s.active++
	s.mu.Unlock()
}

func (s *Server) ended() {
	s.mu.Lock()
	s.active--
	s.signal()
	s.mu.Unlock()
}
