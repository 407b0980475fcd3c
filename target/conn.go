package target

import (
	"bufio"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/walnutcove/walnutcove/target/connstate"
)

// Buffer sizes of one connection, in bytes. An answer's head must fit into the
// read buffer.
const (
	readBufferBytes  = 16 << 10
	writeBufferBytes = 4 << 10
)

// conn is one connection to a target. It counts the bytes handed to the
// system, sets the deadline of each read, and belongs to one call at a time.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	writer  *bufio.Writer
	checker *connstate.Checker
	// request and answer are the heads of the current call, kept for their buffers.
	request fasthttp.RequestHeader
	answer  fasthttp.ResponseHeader
	// written counts the bytes of the current request that the system took.
	written int64
	// readDeadline bounds all reads of an answer's head; noDeadline after it.
	readDeadline time.Time
	// readTimeout bounds each read of an answer's body.
	readTimeout time.Duration
	// idleSince is when the connection became unused.
	idleSince time.Time
}

func newConn(c net.Conn, address string) *conn {
	wrapped := &conn{Conn: c, address: address, checker: connstate.NewChecker(c)}
	wrapped.reader = bufio.NewReaderSize(wrapped, readBufferBytes)
	wrapped.writer = bufio.NewWriterSize(wrapped, writeBufferBytes)
	return wrapped
}

// noDeadline stands for "no fixed time".
var noDeadline time.Time

// Read reads from the network until readDeadline or within readTimeout.
func (c *conn) Read(p []byte) (int, error) {
	deadline := c.readDeadline
	if deadline == noDeadline {
		deadline = time.Now().Add(c.readTimeout)
	}
	if err := c.Conn.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// Write writes to the network and counts.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	return n, err
}
