// Package connstate tells whether the far end has closed a connection, without
// consuming any byte of it.
package connstate

import (
	"errors"
	"net"
	"syscall"
)

// ErrClosed says that the far end closed or reset the connection.
var ErrClosed = errors.New("connstate: closed by the far end")

// ErrData says that bytes wait to be read, so that a close cannot be seen yet.
var ErrData = errors.New("connstate: unread bytes")

// Checker looks at one idle connection again and again. It is not safe for
// concurrent use.
type Checker struct {
	raw   syscall.RawConn
	look  func(fd uintptr)
	state error
}

// NewChecker returns a checker of a connection. For a connection that is not a
// system socket, Check always returns nil.
func NewChecker(conn net.Conn) *Checker {
	c := &Checker{raw: rawConn(conn)}
	c.look = func(fd uintptr) { c.state, _ = peek(int(fd)) }
	return c
}

// Check returns nil if the connection is open and nothing waits to be read. It
// does not block, and no deadline of the connection matters.
func (c *Checker) Check() error {
	if c.raw == nil {
		return nil
	}
	if err := c.raw.Control(c.look); err != nil {
		return err
	}
	return c.state
}

// Wait blocks until the far end closes the connection (ErrClosed), sends bytes
// (ErrData), or the read deadline passes (any other error). Nothing else may
// read from the connection meanwhile. For a connection that is not a system
// socket it returns nil at once.
func Wait(conn net.Conn) error {
	raw := rawConn(conn)
	if raw == nil {
		return nil
	}
	var state error
	err := raw.Read(func(fd uintptr) bool {
		var quiet bool
		state, quiet = peek(int(fd))
		return !quiet
	})
	if err != nil {
		return err
	}
	return state
}

// rawConn returns the system socket of a connection, or nil.
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

// peek reports the state of a socket, and whether it has nothing to say yet.
func peek(fd int) (state error, quiet bool) {
	var one [1]byte
	for {
		n, _, err := syscall.Recvfrom(fd, one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
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
