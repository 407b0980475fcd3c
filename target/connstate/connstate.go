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

// Check looks at an idle connection without blocking. It returns nil if the
// connection is open and nothing waits to be read. A connection that is not a
// system socket always yields nil.
func Check(conn net.Conn) error {
	return peek(conn, false)
}

// Wait blocks until the far end closes the connection (ErrClosed), sends bytes
// (ErrData), or the read deadline passes (any other error). Nothing else may
// read from the connection meanwhile.
func Wait(conn net.Conn) error {
	return peek(conn, true)
}

func peek(conn net.Conn, wait bool) error {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	var state error
	err = raw.Read(func(fd uintptr) bool {
		var again bool
		state, again = peekOnce(int(fd))
		return !(again && wait)
	})
	if err != nil {
		return err
	}
	return state
}

// peekOnce reports the state and whether the socket has nothing to say yet.
func peekOnce(fd int) (state error, again bool) {
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
