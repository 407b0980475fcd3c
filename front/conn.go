package front

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Bounds of reading on after a refusal; see callerConn.Close.
const (
	lingerTime  = time.Second
	lingerBytes = 16 << 20
)

// callerListener wraps every accepted connection.
type callerListener struct {
	net.Listener
	server *Server
	// atOnce is nil if nothing is refused at once.
	atOnce *atOnce
}

// acceptPause follows an accept that failed for want of descriptors: the next
// one has a chance once some connection has ended.
const acceptPause = 5 * time.Millisecond

// Accept implements net.Listener. A want of descriptors passes: it must not end
// the listener, and with it the service.
func (l callerListener) Accept() (net.Conn, error) {
	for {
		handedOver, next := l.refuseWaiting()
		if handedOver != nil {
			return handedOver, nil
		}
		conn, err := l.Listener.Accept()
		if err == nil {
			l.server.acceptedAt.Store(l.server.sinceStart())
			c := newCallerConn(conn, l.server)
			c.admission = next
			return c, nil
		}
		if !errors.Is(err, syscall.EMFILE) && !errors.Is(err, syscall.ENFILE) && !errors.Is(err, syscall.ECONNABORTED) {
			return nil, err
		}
		acceptFailures.Inc()
		l.server.log.Warn("front: Connection could not be accepted.", "connections", l.server.ConnCount(), "error", err)
		time.Sleep(acceptPause)
	}
}

// refuseWaiting refuses what waits while the server sheds; see atOnce.
func (l callerListener) refuseWaiting() (*callerConn, admission) {
	if l.atOnce == nil {
		return nil, undecided
	}
	return l.atOnce.refuseWaiting()
}

// admission says whether the first request of a connection is served.
type admission int

const (
	// undecided: that is decided when the request has been read.
	undecided admission = iota
	// admitted: it is served.
	admitted
	// turnedAway: it is refused unread.
	turnedAway
)

// callerConn is a caller's connection. Only its serving goroutine reads and
// writes; raw, endIdle and Conn.Close may be used by others too.
type callerConn struct {
	net.Conn
	server *Server
	raw    syscall.RawConn // nil if the connection has no descriptor
	// fd is the descriptor, for polls of many connections together; -1 if none.
	fd int32
	// request is the one being served; nil between requests.
	request *request
	// writeErr is the first failed write of the current answer.
	writeErr error
	// ended is set once the caller has its last answer: nothing more is written.
	ended atomic.Bool
	// kept says that a request was answered on it.
	kept bool
	// admission holds until then.
	admission admission
	// unread is what was read of the connection and not yet given to the HTTP library.
	unread []byte
	// linger is set when a request was refused before it was read whole.
	linger bool

	mu sync.Mutex
	// busy is true from the first byte of a request to the last byte of its
	// answer.
	busy bool
}

func newCallerConn(conn net.Conn, server *Server) *callerConn {
	c := &callerConn{Conn: conn, server: server, fd: -1}
	if withRaw, ok := conn.(syscall.Conn); ok {
		raw, err := withRaw.SyscallConn()
		if err == nil {
			c.raw = raw
			// On an error the connection is closed already: nothing is to be polled.
			_ = raw.Control(func(fd uintptr) { c.fd = int32(fd) })
		}
	}
	return c
}

// Read implements net.Conn. While the server drains, the wait for another
// request is short.
func (c *callerConn) Read(b []byte) (int, error) {
	if c.server.draining.Load() {
		c.endIdle()
	}
	if len(c.unread) > 0 {
		n := copy(b, c.unread)
		c.unread = c.unread[n:]
		return n, nil
	}
	return c.Conn.Read(b)
}

// endIdle bounds the wait for another request by Options.IdleGrace. A request
// that has begun to arrive is not hurried: the HTTP library sets its own read
// deadline once its first byte is there.
func (c *callerConn) endIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.busy {
		// A connection that is closed already needs no deadline.
		_ = c.Conn.SetReadDeadline(time.Now().Add(c.server.options.IdleGrace))
	}
}

// isClosedByCaller looks whether the caller has closed the connection.
func (c *callerConn) isClosedByCaller() bool { return newProbe().peerClosed(c.raw) }

func (c *callerConn) setBusy(busy bool) {
	c.mu.Lock()
	c.busy = busy
	c.mu.Unlock()
}

// Write implements net.Conn. Each write has its own deadline, so that a long
// stream is bounded by its pauses and not by its length.
func (c *callerConn) Write(b []byte) (int, error) {
	if c.ended.Load() {
		return 0, errEnded
	}
	err := c.Conn.SetWriteDeadline(time.Now().Add(c.server.options.WriteTimeout))
	n := 0
	if err == nil {
		n, err = c.Conn.Write(b)
	}
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Close implements net.Conn. It ends the exchange first, so that the watcher
// does not take the connection for one that the caller closed. A connection that closes with unread bytes is
// reset, and a reset can overtake the answer. So after a refusal the rest of
// the request is read and dropped, within bounds.
func (c *callerConn) Close() error {
	c.server.finish(c)
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && c.linger {
		_ = half.CloseWrite()
		_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
		// An error means that the caller is gone or too slow to wait for.
		_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
	}
	return c.Conn.Close()
}
