package front

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// acceptBacklog measures for how long connections have been waiting to be accepted. A router that
// refuses requests as fast as it can may run in time and yet accept them seconds late.
type acceptBacklog struct {
	// raw is the listener; nil if it has no descriptor.
	raw syscall.RawConn
	// emptyAt is when the queue of connections was last seen empty. Only measure uses it.
	emptyAt time.Time
	// drainedAt is when an accept last found no connection; nil if none has. Under load the queue is
	// empty for moments between the measurements.
	drainedAt atomic.Pointer[time.Time]
	// delay is the result of the last measurement, in nanoseconds.
	delay atomic.Int64
}

func (b *acceptBacklog) setListener(listener net.Listener) {
	withRaw, ok := listener.(syscall.Conn)
	if !ok {
		return
	}
	// An error means that the listener is closed: there is nothing to measure.
	b.raw, _ = withRaw.SyscallConn()
}

// hasWaiting reports whether connections wait to be accepted.
func (b *acceptBacklog) hasWaiting() bool {
	if b.raw == nil {
		return false
	}
	waiting := false
	// An error means that the listener is closed.
	_ = b.raw.Control(func(fd uintptr) {
		waiting = pollNow(int(fd), unix.POLLIN) != 0
	})
	return waiting
}

// noteDrained records that an accept found no connection.
func (b *acceptBacklog) noteDrained(now time.Time) { b.drainedAt.Store(&now) }

// measure updates the delay.
func (b *acceptBacklog) measure(now time.Time, hasWaiting bool) time.Duration {
	if !hasWaiting || b.emptyAt.IsZero() {
		b.emptyAt = now
	}
	if drainedAt := b.drainedAt.Load(); drainedAt != nil && drainedAt.After(b.emptyAt) {
		b.emptyAt = *drainedAt
	}
	delay := now.Sub(b.emptyAt)
	b.delay.Store(int64(delay))
	return delay
}

// MeasureAcceptDelay returns how long the queue of connections that are not accepted yet has not
// been empty, and so how long a request may have waited unnoticed. It is called at short intervals
// by one goroutine.
func (s *Server) MeasureAcceptDelay(now time.Time) time.Duration {
	s.mu.Lock()
	accepting := s.listener != nil
	s.mu.Unlock()
	return s.backlog.measure(now, accepting && s.backlog.hasWaiting())
}

// acceptDelay returns the last measured accept delay.
func (s *Server) acceptDelay() time.Duration { return time.Duration(s.backlog.delay.Load()) }
