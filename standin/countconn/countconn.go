// Package countconn counts the bytes read and written on a listener's
// connections. Benchmarks use it to measure the network traffic of a protocol.
package countconn

import (
	"net"
	"sync/atomic"
)

// Listener counts the bytes of the connections that it accepts, in both
// directions.
type Listener struct {
	net.Listener
	// Bytes is the counter that the bytes are added to. Required.
	Bytes *atomic.Int64
}

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return conn{accepted, l.Bytes}, nil
}

type conn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}
