package targets

import (
	"bufio"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/walnutcove/walnutcove/targets/connstate"
)

// Buffer sizes of one call, in bytes. An answer's head must fit into the read
// buffer.
const (
	readBufferBytes  = 16 << 10
	writeBufferBytes = 4 << 10
)

// codec is the memory that one call needs. Unused connections have none, so
// that keeping many of them open is cheap.
type codec struct {
	reader  *bufio.Reader
	writer  *bufio.Writer
	request fasthttp.RequestHeader
	answer  fasthttp.ResponseHeader
}

var codecs = sync.Pool{New: func() any {
	return &codec{
		reader: bufio.NewReaderSize(nil, readBufferBytes),
		writer: bufio.NewWriterSize(nil, writeBufferBytes),
	}
}}

// conn is one connection to a target. It counts the bytes handed to the
// system, sets the deadline of each read, and belongs to one call at a time.
type conn struct {
	net.Conn
	// codec is nil while the connection is unused.
	*codec
	address string
	checker *connstate.Checker
	// written counts the bytes of the current request that the system took.
	written int64
	// readDeadline bounds all reads of an answer's head; noDeadline after it.
	readDeadline time.Time
	// readTimeout bounds each read of an answer's body.
	readTimeout time.Duration
	// idleSince is when the connection became unused.
	idleSince time.Time
	// idleLimit is how long the target keeps it unused, as it said last; zero:
	// it did not say.
	idleLimit time.Duration
}

func newConn(c net.Conn, address string) *conn {
	return &conn{Conn: c, address: address, checker: connstate.NewChecker(c)}
}

// attach gives the connection the memory for a call.
func (c *conn) attach() {
	c.codec = codecs.Get().(*codec)
	c.reader.Reset(c)
	c.writer.Reset(c)
}

// detach takes it back. No read or write may be in progress.
func (c *conn) detach() {
	c.reader.Reset(nil)
	c.writer.Reset(nil)
	codecs.Put(c.codec)
	c.codec = nil
}

// keepMargin is how much sooner than the target a connection is given up: a
// request that crosses the target's close may be lost, and then nobody knows
// whether it ran. It is over the usual delay of a network and a timer.
const keepMargin = 300 * time.Millisecond

// keepFor notes how long the target says that it keeps the connection unused.
func (c *conn) keepFor(header *fasthttp.ResponseHeader) {
	for parameter := range strings.SplitSeq(string(header.Peek(fasthttp.HeaderKeepAlive)), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil && seconds >= 0 {
			c.idleLimit = time.Duration(seconds) * time.Second
		}
	}
}

// isStale says whether the target may be about to close the unused connection.
func (c *conn) isStale(now time.Time) bool {
	return c.idleLimit > 0 && now.Sub(c.idleSince) > c.idleLimit-keepMargin
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
	n, err := c.Conn.Read(p)
	if n > 0 || !isTimeout(err) {
		return n, err
	}
	// This process may have been late itself: what arrived in time is still there.
	if err := c.Conn.SetReadDeadline(time.Now().Add(lateLook)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// lateLook is how long a read whose time is up looks once more. On a busy router a
// target was taken for silent whose answer lay unread for a second.
const lateLook = 10 * time.Millisecond

// Write writes to the network and counts.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	return n, err
}
