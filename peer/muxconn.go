package peer

import (
	"encoding/binary"
	"net"
)

// Layout of the yamux header, as far as muxConn reads it; see the yamux
// specification. maxKeptFrameBytes is the least bound of the buffer kept between frames.
const (
	muxHeaderBytes    = 12
	muxTypeOffset     = 1
	muxLengthOffset   = 8
	muxTypeData       = 0
	maxKeptFrameBytes = 16 << 10
)

// muxConn is the connection below a yamux session. Yamux writes the header and
// the body of a data frame separately, which would make two packets, and two TLS
// records, of each batch. muxConn joins them into one write. Like yamux, the
// caller must make one Write at a time.
type muxConn struct {
	net.Conn
	raw net.Conn // the TCP connection, below TLS
	// pendingHeader is a header that is held back until its body is written.
	pendingHeader []byte
	// keepBytes bounds the buffer kept between frames. Default maxKeptFrameBytes.
	keepBytes int
}

// Write implements io.Writer.
func (c *muxConn) Write(data []byte) (int, error) {
	if len(c.pendingHeader) == 0 && isDataHeader(data) {
		c.pendingHeader = append(c.pendingHeader, data...)
		return len(data), nil
	}
	if len(c.pendingHeader) == 0 {
		return c.Conn.Write(data)
	}
	joined := append(c.pendingHeader, data...)
	c.pendingHeader = joined[:0]
	if cap(joined) > max(c.keepBytes, maxKeptFrameBytes) {
		c.pendingHeader = nil
	}
	if _, err := c.Conn.Write(joined); err != nil {
		return 0, err
	}
	return len(data), nil
}

// isDataHeader reports whether a write is the header of a data frame with a body.
func isDataHeader(data []byte) bool {
	return len(data) == muxHeaderBytes &&
		data[muxTypeOffset] == muxTypeData &&
		binary.BigEndian.Uint32(data[muxLengthOffset:]) > 0
}

// Close closes the TCP connection at once, without a TLS close_notify alert,
// whose write could block.
func (c *muxConn) Close() error { return c.raw.Close() }
