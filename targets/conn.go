package targets

import (
	"bufio"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/walnutcove/walnutcove/headcheck"
	"github.com/walnutcove/walnutcove/targets/connstate"
)

// Buffer sizes of one call, in bytes. The head of an answer must fit into the read buffer.
const (
	readBufferBytes  = 16 << 10
	writeBufferBytes = 4 << 10
)

// callBuffers is the memory that one call needs. Idle connections have none, so that keeping
// many of them open is cheap.
type callBuffers struct {
	reader  *bufio.Reader
	writer  *bufio.Writer
	request fasthttp.RequestHeader
	answer  fasthttp.ResponseHeader
	// headChecker checks the bytes of answers before the parser sees them.
	headChecker headcheck.Checker
}

var callBufferPool = sync.Pool{New: func() any {
	return &callBuffers{
		reader: bufio.NewReaderSize(nil, readBufferBytes),
		writer: bufio.NewWriterSize(nil, writeBufferBytes),
	}
}}

// conn is one connection to a target. It counts the bytes handed to the operating system, sets
// the deadline of each read, and belongs to one call at a time.
type conn struct {
	net.Conn
	// callBuffers is nil while the connection is idle.
	*callBuffers
	address string
	checker *connstate.Checker
	// written counts the bytes of the current request that the operating system accepted.
	written int64
	// readDeadline bounds all reads of the head of an answer; noDeadline after it.
	readDeadline time.Time
	// readTimeout bounds each read of the body of an answer.
	readTimeout time.Duration
	// missedDeadline is the last deadline after which a final read was made.
	missedDeadline time.Time
	// idleSince is when the connection became idle.
	idleSince time.Time
	// idleLimit is how long the target keeps an idle connection open, as of its last answer;
	// zero if it did not say.
	idleLimit time.Duration
}

func newConn(c net.Conn, address string) *conn {
	return &conn{Conn: c, address: address, checker: connstate.NewChecker(c)}
}

// attach gives the connection the buffers for a call.
func (c *conn) attach() {
	c.callBuffers = callBufferPool.Get().(*callBuffers)
	c.reader.Reset(checkedReader{c})
	c.writer.Reset(c)
}

// detach takes the buffers back. No read or write may be in progress.
func (c *conn) detach() {
	c.reader.Reset(nil)
	c.writer.Reset(nil)
	callBufferPool.Put(c.callBuffers)
	c.callBuffers = nil
}

// idleMargin is how much earlier than the target the client stops using an idle connection: a
// request that crosses the target's close may be lost, and then nobody knows whether it ran.
// The margin exceeds the usual delay of a network and a timer.
const idleMargin = 300 * time.Millisecond

// readKeepAlive records how long the target keeps an idle connection open according to its
// answer.
func (c *conn) readKeepAlive(header *fasthttp.ResponseHeader) {
	for parameter := range strings.SplitSeq(string(header.Peek(fasthttp.HeaderKeepAlive)), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil && seconds >= 0 {
			c.idleLimit = time.Duration(seconds) * time.Second
		}
	}
}

// isStale reports whether the target may be about to close the idle connection.
func (c *conn) isStale(now time.Time) bool {
	return c.idleLimit > 0 && now.Sub(c.idleSince) > c.idleLimit-idleMargin
}

// noDeadline is the readDeadline that makes readTimeout apply to each read instead.
var noDeadline time.Time

// beginHead makes the next byte the first of a head. It checks the bytes that have been read ahead.
func (c *conn) beginHead() error {
	c.headChecker.Reset()
	ahead, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return err
	}
	_, err = c.headChecker.Check(ahead)
	return err
}

// checkedReader reads from a connection and fails where the head of an answer is not allowed.
type checkedReader struct{ *conn }

// Read implements io.Reader.
func (r checkedReader) Read(p []byte) (int, error) {
	n, err := r.conn.Read(p)
	if allowed, checkErr := r.headChecker.Check(p[:n]); checkErr != nil {
		return allowed, checkErr
	}
	return n, err
}

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
	if n > 0 || !isTimeout(err) || deadline.Equal(c.missedDeadline) {
		return n, err
	}
	// This process itself may have been delayed: data that arrived in time can still be read, but
	// only once, or data that goes on arriving would be read without end.
	c.missedDeadline = deadline
	if err := c.Conn.SetReadDeadline(time.Now().Add(finalReadTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// finalReadTimeout bounds one more read after the deadline has passed. On a busy router, a
// target was considered unresponsive although its answer had been waiting unread for a second.
const finalReadTimeout = 10 * time.Millisecond

// Write writes to the network and counts the bytes.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	return n, err
}
