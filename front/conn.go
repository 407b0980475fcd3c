package front

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/walnutcove/walnutcove/pipeline"
)

// Limits for discarding what a caller sends after its last answer; see callerConn.Close.
const (
	maxLingerTime  = time.Second
	maxLingerBytes = 16 << 20
)

// callerListener wraps every accepted connection.
type callerListener struct {
	net.Listener
	server *Server
	// fastRefuser is nil if the fast path for refusals is off.
	fastRefuser *fastRefuser
}

// acceptRetryDelay is the delay after an accept that failed because descriptors ran
// out: the next one can succeed once some connection has been closed.
const acceptRetryDelay = 5 * time.Millisecond

// Accept implements net.Listener. Running out of descriptors is temporary: it must
// not end the listener, and with it the service.
func (l callerListener) Accept() (net.Conn, error) {
	for {
		handedOver, firstAdmission := l.refuseWaiting()
		if handedOver != nil {
			return handedOver, nil
		}
		conn, err := l.Listener.Accept()
		if err == nil {
			l.server.acceptedAt.Store(l.server.sinceStart())
			c := newCallerConn(conn, l.server)
			c.admission = firstAdmission
			return c, nil
		}
		if !errors.Is(err, syscall.EMFILE) && !errors.Is(err, syscall.ENFILE) && !errors.Is(err, syscall.ECONNABORTED) {
			return nil, err
		}
		acceptFailures.Inc()
		l.server.log.Warn("front: Could not accept a connection.", "connections", l.server.ConnCount(), "error", err)
		time.Sleep(acceptRetryDelay)
	}
}

// refuseWaiting refuses pending connections while the server sheds load; see fastRefuser.
func (l callerListener) refuseWaiting() (*callerConn, admission) {
	if l.fastRefuser == nil {
		return nil, undecided
	}
	return l.fastRefuser.refuseWaiting()
}

// admission is the decision whether the first request of a connection is served.
type admission int

const (
	// undecided: to be decided when the request has been read.
	undecided admission = iota
	// admitted: the request is served.
	admitted
	// rejected: the request is refused unread.
	rejected
)

// callerConn is a caller's connection. Only its serving goroutine reads and writes,
// apart from writeEarlyRefusal; raw, limitIdleWait and Conn.Close may be used by
// others too.
type callerConn struct {
	net.Conn
	server *Server
	raw    syscall.RawConn // nil if the connection has no descriptor
	// fd is the descriptor, for polling many connections in one call; -1 if none.
	fd int32
	// request is the request being served; nil between requests.
	request *request
	// writeErr is the first failed write of the current answer.
	writeErr error
	// writeEnded is set once the caller has its last answer: nothing more is written. isCut is set
	// before if that answer is not complete.
	writeEnded atomic.Bool
	isCut      atomic.Bool
	// reused is true once a request has been answered on the connection.
	reused bool
	// admission applies to the first request only, until reused is set.
	admission admission
	// unread holds bytes read from the connection but not yet passed to the HTTP library.
	unread []byte
	// buffered is about how many bytes the HTTP library has read beyond the requests that it has
	// passed to Server.serve; see countRequest. Only the serving goroutine uses it.
	buffered int
	// servedPastClose is how many requests were answered since the connection was first to be
	// closed after an answer.
	servedPastClose int
	// linger is set if the caller may still send when this side closes the connection: the rest
	// of a request that was refused before it was read whole, or its next request.
	linger bool
	// closedAfter is the ID of the request with whose answer the connection ends, if that is this
	// side's decision and the request was read whole.
	closedAfter string
	// executed is set if the connection carries a request of another router; else nil.
	executed *executed

	// idleSince is when the connection was opened or the last answer was written, and idleLimit the
	// idle limit at that time.
	idleSince time.Time
	idleLimit time.Duration

	mu sync.Mutex
	// busy is true from the first byte of a request to the last byte of its
	// answer. Only the serving goroutine changes it, and reads it without mu.
	busy bool
}

func newCallerConn(conn net.Conn, server *Server) *callerConn {
	c := &callerConn{Conn: conn, server: server, fd: -1, idleSince: time.Now(), idleLimit: server.idleLimit()}
	if sized, ok := conn.(interface{ SetWriteBuffer(bytes int) error }); ok && server.options.SendBufferBytes > 0 {
		// An error means that the connection is closed already.
		_ = sized.SetWriteBuffer(server.options.SendBufferBytes)
	}
	if withRaw, ok := conn.(syscall.Conn); ok {
		raw, err := withRaw.SyscallConn()
		if err == nil {
			c.raw = raw
			// An error means that the connection is closed already: there is nothing to poll.
			_ = raw.Control(func(fd uintptr) { c.fd = int32(fd) })
		}
	}
	return c
}

// Read implements net.Conn. While the server drains, the wait for the next
// request is short.
func (c *callerConn) Read(b []byte) (int, error) {
	if c.server.draining.Load() {
		c.limitIdleWait()
	}
	if !c.busy {
		c.buffered = 0 // the library waits only if it has used up what it has read
	}
	n, err := c.read(b)
	c.buffered += n
	return n, err
}

func (c *callerConn) read(b []byte) (int, error) {
	if len(c.unread) > 0 {
		n := copy(b, c.unread)
		c.unread = c.unread[n:]
		return n, nil
	}
	for {
		n, err := c.Conn.Read(b)
		if c.busy || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		n, err = c.readArrived(b, err)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if !c.extendIdleWait() {
			c.server.idleCloseReason().Inc()
			return n, err
		}
	}
}

// extendIdleWait extends a wait for the next request that has reached its deadline, if the idle limit
// of the configuration in force is longer.
func (c *callerConn) extendIdleWait() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.executed != nil || c.server.draining.Load() {
		return false
	}
	until := c.idleSince.Add(max(c.idleLimit, c.server.idleLimit()))
	if !time.Now().Before(until) {
		return false
	}
	return c.Conn.SetReadDeadline(until) == nil
}

// readArrived reads what has arrived from the caller without waiting, or returns errNone if nothing
// has. A read that begins or wakes up after its deadline fails even if bytes are there.
func (c *callerConn) readArrived(b []byte, errNone error) (int, error) {
	if c.raw == nil {
		return 0, errNone
	}
	var n int
	var err error
	if controlErr := c.raw.Control(func(fd uintptr) { n, err = unix.Read(int(fd), b) }); controlErr != nil {
		return 0, controlErr
	}
	switch {
	case err != nil: // usually EAGAIN
		return 0, errNone
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// limitIdleWait limits the wait for the next request to Options.IdleGrace. It does not
// affect a request that has begun to arrive: the HTTP library sets its own read
// deadline after the first byte.
func (c *callerConn) limitIdleWait() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.busy {
		// An error means that the connection is closed already and needs no deadline.
		_ = c.Conn.SetReadDeadline(time.Now().Add(c.server.options.IdleGrace))
	}
}

// isClosedByCaller reports whether the caller has closed the connection.
func (c *callerConn) isClosedByCaller() bool {
	if c.executed != nil && c.executed.gone != nil {
		return c.executed.isGone()
	}
	return newCloseProbe().peerClosed(c.raw)
}

func (c *callerConn) setBusy(busy bool) {
	c.mu.Lock()
	c.busy = busy
	c.mu.Unlock()
	if !busy {
		c.idleSince, c.idleLimit = time.Now(), c.server.idleLimit()
	}
}

// Write implements net.Conn. It fails if the caller reads nothing for Options.WriteTimeout; an
// answer as a whole may take any time.
func (c *callerConn) Write(b []byte) (int, error) {
	if c.writeEnded.Load() {
		return 0, pipeline.ErrRefusedAtDeadline
	}
	n, err := c.writeWhileRead(b)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	c.markWritten(n, err)
	return n, err
}

// stallChecks is how often a blocked write is checked for progress within the write timeout.
const stallChecks = 4

// writeWhileRead writes b as long as the caller reads.
func (c *callerConn) writeWhileRead(b []byte) (written int, err error) {
	timeout := c.server.options.WriteTimeout
	if c.executed != nil {
		// A link ends a response whose write passed its deadline, so there is no second try.
		if err := c.Conn.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
			return 0, err
		}
		return c.Conn.Write(b)
	}
	progressAt := time.Now()
	unread := -1
	for {
		if err := c.Conn.SetWriteDeadline(time.Now().Add(timeout / stallChecks)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(b[written:])
		written += n
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		before := unread
		unread = c.unreadByCaller()
		if n > 0 || unread < before {
			progressAt = time.Now()
		} else if time.Since(progressAt) >= timeout {
			callersStalled.Inc()
			return written, err
		}
	}
}

// unreadByCaller returns the bytes in the send buffer that the caller's system has not taken;
// 0 if unknown. A write makes progress only once a third of that buffer is free, which for a
// slow caller can take longer than the write timeout.
func (c *callerConn) unreadByCaller() int {
	if c.raw == nil {
		return 0
	}
	unread := 0
	_ = c.raw.Control(func(fd uintptr) {
		// An error means that the connection is closed: the next write fails.
		unread, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
	})
	return unread
}

// markWritten records the result of a write for a request of another router.
func (c *callerConn) markWritten(n int, err error) {
	if c.executed == nil {
		return
	}
	c.executed.wrote = c.executed.wrote || n > 0
	if err != nil {
		c.markTruncated()
	}
}

// markTruncated records that the rest of the response will not be written.
func (c *callerConn) markTruncated() {
	if c.executed != nil && !c.writeEnded.Load() {
		c.executed.truncated = true
	}
}

// cut ends the answer that is being written before it is complete. It may be called while a write
// is blocked.
func (c *callerConn) cut() {
	c.isCut.Store(true)
	c.writeEnded.Store(true)
	if withAbort, ok := c.Conn.(interface{ Abort() }); ok {
		withAbort.Abort()
	}
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if ok {
		_ = half.CloseWrite() // An error means that the connection is closed already.
	}
	if !ok || c.executed != nil {
		_ = c.Conn.Close() // ends a blocked write
	}
}

// Close implements net.Conn. It ends the exchange first, so that the watcher
// does not mistake the connection for one that the caller closed. Closing a
// connection with unread bytes resets it, and so do bytes that arrive after the close;
// the reset can overtake the answer. So what a caller may still send is read and
// discarded, within limits.
func (c *callerConn) Close() error {
	c.server.endExchange(c)
	c.endExecuted()
	c.reportNextRequest()
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && c.linger {
		_ = half.CloseWrite()
		c.discardUntilRead()
	}
	return c.Conn.Close()
}

// discardUntilRead discards what the caller sends until it closes the connection, at most for
// maxLingerTime; or for as long as it goes on sending, up to Options.ReadTimeout, or reading its
// answer, with Options.WriteTimeout without progress.
func (c *callerConn) discardUntilRead() {
	rest := io.LimitReader(c.Conn, maxLingerBytes)
	start := time.Now()
	progressAt := start
	for unread := c.unreadByCaller(); ; {
		_ = c.Conn.SetReadDeadline(time.Now().Add(maxLingerTime))
		received, err := io.Copy(io.Discard, rest)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return // the caller is gone, or sends too much
		}
		before := unread
		unread = c.unreadByCaller()
		if unread < before {
			progressAt = time.Now()
		}
		sends := received > 0 && time.Since(start) < c.server.options.ReadTimeout
		reads := unread > 0 && time.Since(progressAt) < c.server.options.WriteTimeout
		if !sends && !reads {
			return
		}
	}
}
