// Package countconn counts the bytes that pass a listener's connections, for
// benchmarks of what a protocol costs on the network.
package countconn

import (
	"net"
	"sync/atomic"
)

// Listener counts the bytes of its connections, both ways.
type Listener struct {
	net.Listener
	// Bytes is what is added to. Required.
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
