// Package connstate reports whether the remote end has closed a connection, without consuming
// any byte of it.
package connstate

import (
	"errors"
	"net"
	"syscall"
)

// ErrClosed reports that the remote end closed or reset the connection.
var ErrClosed = errors.New("connstate: closed by the remote end")

// ErrData reports that bytes are waiting to be read, so that a close cannot be detected yet.
var ErrData = errors.New("connstate: unread bytes")

// Checker checks one idle connection repeatedly. It is not safe for concurrent use.
type Checker struct {
	raw      syscall.RawConn
	peekFunc func(fd uintptr)
	state    error
}

// NewChecker returns a checker of a connection. For a connection that is not a socket of the
// operating system, Check always returns nil.
func NewChecker(conn net.Conn) *Checker {
	c := &Checker{raw: rawConn(conn)}
	c.peekFunc = func(fd uintptr) { c.state, _ = peek(int(fd)) }
	return c
}

// Check returns nil if the connection is open and nothing is waiting to be read. It does not
// block, and the connection's deadlines do not affect it.
func (c *Checker) Check() error {
	if c.raw == nil {
		return nil
	}
	if err := c.raw.Control(c.peekFunc); err != nil {
		return err
	}
	return c.state
}

// PendingError returns and clears the socket's error. A reset that arrives after the remote end has closed its side is found
// here only: reads end properly.
func (c *Checker) PendingError() error {
	if c.raw == nil {
		return nil
	}
	var pending error
	err := c.raw.Control(func(fd uintptr) {
		number, err := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR)
		switch {
		case err != nil:
			pending = err
		case number != 0:
			pending = syscall.Errno(number)
		}
	})
	if err != nil {
		return err
	}
	return pending
}

// Wait blocks until the remote end closes the connection (ErrClosed) or sends bytes (ErrData),
// or the read deadline passes (any other error). Nothing else may read from the connection
// meanwhile. For a connection that is not a socket of the operating system it returns nil at
// once.
func Wait(conn net.Conn) error {
	raw := rawConn(conn)
	if raw == nil {
		return nil
	}
	var state error
	err := raw.Read(func(fd uintptr) bool {
		var idle bool
		state, idle = peek(int(fd))
		return !idle
	})
	if err != nil {
		return err
	}
	return state
}

// rawConn returns the raw socket of a connection, or nil.
func rawConn(conn net.Conn) syscall.RawConn {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// peek reports the state of a socket, and whether it is open with nothing to read.
func peek(fd int) (state error, idle bool) {
	var buffer [1]byte
	for {
		n, _, err := syscall.Recvfrom(fd, buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EINTR:
			continue
		case err == syscall.EAGAIN:
			return nil, true
		case err != nil || n == 0:
			return ErrClosed, false
		default:
			return ErrData, false
		}
	}
}
