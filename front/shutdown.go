package front

import (
	"context"
	"errors"
)

// errForced is the cause given to exchanges that a forced stop cuts.
var errForced = errors.New("front: the router was stopped by force")

// Shutdown stops accepting, answers what comes in on open connections with
// "Connection: close", and waits until every exchange has ended. It cuts no
// request. If ctx ends first, Shutdown returns its error and the exchanges go
// on; Close then ends them.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	s.closeIfIdle()
	listener := s.listener
	s.mu.Unlock()
	if listener == nil {
		return nil
	}
	if err := s.http.ShutdownWithContext(ctx); err != nil {
		return err
	}
	select {
	case <-s.idle:
	case <-ctx.Done():
		return ctx.Err()
	}
	s.watch.close()
	return nil
}

// Active returns the number of exchanges that have not ended.
func (s *Server) Active() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active
}

// Close stops by force: it ends the context of every exchange with an error
// and closes the connections whose exchanges then still go on. Callers see a
// refusal or a broken answer, never a clean end.
func (s *Server) Close() error {
	s.cancel(errForced)
	s.watch.close()
	s.mu.Lock()
	s.draining = true
	s.closeIfIdle()
	listener := s.listener
	s.mu.Unlock()
	if listener == nil {
		return nil
	}
	return listener.Close()
}
