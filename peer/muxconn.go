package peer

import (
	"encoding/binary"
	"net"
)

// The parts of a yamux header that muxConn looks at; see the specification of
// yamux.
const (
	muxHeaderBytes  = 12
	muxTypeAt       = 1
	muxLengthAt     = 8
	muxTypeData     = 0
	joinedKeepBytes = 16 << 10
)

// muxConn carries a yamux session. Yamux writes the header of a data frame and
// its body apart, which would make two packets, and two records of TLS, of
// each batch: muxConn joins them. Its methods are called as yamux calls them,
// with one Write at a time.
type muxConn struct {
	net.Conn
	raw net.Conn
	// held is a header whose body follows.
	held []byte
}

// Write implements io.Writer.
func (c *muxConn) Write(data []byte) (int, error) {
	if len(c.held) == 0 && announcesBody(data) {
		c.held = append(c.held, data...)
		return len(data), nil
	}
	if len(c.held) == 0 {
		return c.Conn.Write(data)
	}
	joined := append(c.held, data...)
	c.held = joined[:0]
	if cap(joined) > joinedKeepBytes {
		c.held = nil
	}
	if _, err := c.Conn.Write(joined); err != nil {
		return 0, err
	}
	return len(data), nil
}

// announcesBody reports whether a write is the header of a data frame.
func announcesBody(data []byte) bool {
	return len(data) == muxHeaderBytes &&
		data[muxTypeAt] == muxTypeData &&
		binary.BigEndian.Uint32(data[muxLengthAt:]) > 0
}

// Close closes the TCP connection at once, without a TLS farewell, which could
// block.
func (c *muxConn) Close() error { return c.raw.Close() }
