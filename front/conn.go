package front

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// callerListener wraps every accepted connection.
type callerListener struct {
	net.Listener
	writeTimeout time.Duration
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newCallerConn(conn, l.writeTimeout), nil
}

// callerConn is a caller's connection. Only its serving goroutine uses it,
// except for raw, which the watcher uses too, and Close.
type callerConn struct {
	net.Conn
	raw          syscall.RawConn // nil if the connection has no descriptor
	writeTimeout time.Duration
	// request is the one being served; nil between requests.
	request *request
	// writeErr is the first failed write.
	writeErr error
	closed   atomic.Bool
}

func newCallerConn(conn net.Conn, writeTimeout time.Duration) *callerConn {
	c := &callerConn{Conn: conn, writeTimeout: writeTimeout}
	if withRaw, ok := conn.(syscall.Conn); ok {
		raw, err := withRaw.SyscallConn()
		if err == nil {
			c.raw = raw
		}
	}
	return c
}

// Write implements net.Conn. Each write has its own deadline, so that a long
// stream is bounded by its pauses and not by its length.
func (c *callerConn) Write(b []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		c.failed(err)
		return 0, err
	}
	n, err := c.Conn.Write(b)
	if err != nil {
		c.failed(err)
	}
	return n, err
}

func (c *callerConn) failed(err error) {
	if c.writeErr == nil {
		c.writeErr = err
	}
}
