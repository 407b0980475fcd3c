package targets

import (
	"bufio"
	"cmp"
	"errors"
	"io"
	"net/http/httputil"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/walnutcove/walnutcove/eventstream"
	"github.com/walnutcove/walnutcove/result"
)

// Content lengths that fasthttp reports when the header does not give a number.
const (
	lengthChunked  = -1
	lengthUntilEOF = -2
)

// errCutEvent reports that an event stream ended inside an event.
var errCutEvent = errors.New("target: stream ended inside an event")

// errUnframed reports that the answer has neither a length nor chunks: its end cannot be told
// from a broken connection.
var errUnframed = errors.New("target: answer without framing")

// errResetAfterClose reports that the target reset the connection after it had closed its side, as it does if it closes
// without having read the request.
var errResetAfterClose = errors.New("target: connection reset at the end of an answer without framing")

// body streams an answer. Read and Close may be called from different goroutines; Read itself
// from one at a time.
type body struct {
	ex        *exchange
	reader    io.Reader
	framing   Framing
	keepAlive bool
	// events finds where an event stream may end; nil for answers that may end anywhere.
	events *eventstream.Scanner
	// remaining is the number of bytes still to come, with FramingLength.
	remaining int64
	// err is the sticky error: io.EOF after a complete answer.
	err error

	mu       sync.Mutex
	finished bool
}

func newBody(ex *exchange, method string, header *fasthttp.ResponseHeader) *body {
	b := &body{ex: ex, reader: ex.conn.reader, framing: FramingLength, keepAlive: !header.ConnectionClose()}
	ex.conn.readTimeout = cmp.Or(ex.stallTimeout, ex.client.options.StallTimeout)
	ex.conn.readDeadline = noDeadline
	length := header.ContentLength()
	switch {
	case method == fasthttp.MethodHead || hasNoBody(header.StatusCode()):
		b.remaining = 0
	case length == lengthChunked:
		b.framing = FramingChunked
		b.reader = httputil.NewChunkedReader(ex.conn.reader)
	case length == lengthUntilEOF:
		b.framing = FramingClose
	default:
		b.remaining = int64(length)
	}
	endsBetweenEvents := b.framing == FramingClose || ex.client.options.Dialect.WholeEvents
	if endsBetweenEvents && eventstream.IsMediaType(string(header.ContentType())) {
		b.events = &eventstream.Scanner{}
	}
	if b.framing == FramingLength && b.remaining == 0 {
		b.finish(io.EOF, b.keepAlive)
	}
	return b
}

func hasNoBody(status int) bool {
	return status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// Read implements io.Reader. It waits only until some bytes have arrived and returns those.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	if len(p) == 0 {
		return 0, nil
	}
	switch b.framing {
	case FramingChunked:
		return b.readChunked(p)
	case FramingClose:
		return b.readUnframed(p)
	default:
		return b.readCounted(p)
	}
}

func (b *body) readCounted(p []byte) (int, error) {
	if int64(len(p)) > b.remaining {
		p = p[:b.remaining]
	}
	n, err := b.reader.Read(p)
	b.scan(p[:n])
	b.remaining -= int64(n)
	if b.remaining == 0 {
		return n, b.finishFramed(b.keepAlive)
	}
	if err != nil {
		return n, b.fail(err)
	}
	return n, nil
}

func (b *body) readChunked(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	b.scan(p[:n])
	if err == nil {
		return n, nil
	}
	if err != io.EOF {
		return n, b.fail(err)
	}
	switch err := b.skipTrailer(); {
	case err == nil:
		return n, b.finishFramed(b.keepAlive)
	case errors.Is(err, errTrailer):
		// The last chunk has arrived, so the content is complete.
		b.ex.counters.countFailure(reasonTrailer)
		return n, b.finishFramed(false)
	default:
		return n, b.fail(err)
	}
}

// scan follows the events of the bytes that were read.
func (b *body) scan(read []byte) {
	if b.events != nil {
		b.events.Scan(read)
	}
}

// finishFramed ends a body whose length or last chunk has been reached, and returns the error of the read.
func (b *body) finishFramed(keepAlive bool) error {
	if b.events != nil && b.events.IsInsideEvent() {
		return b.failAtEOF(reasonCutEvent, errCutEvent)
	}
	b.finish(io.EOF, keepAlive)
	return io.EOF
}

// readUnframed reads a body that ends with its connection. The close alone does not prove that
// an event stream is whole: it must also end between two events.
func (b *body) readUnframed(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	b.scan(p[:n])
	switch {
	case err == nil:
		return n, nil
	case err != io.EOF:
		return n, b.fail(err)
	case b.ex.conn.checker.PendingError() != nil:
		return n, b.failAtEOF(reasonUnframed, errResetAfterClose)
	case !b.ex.client.options.Dialect.CloseDelimited:
		return n, b.failAtEOF(reasonUnframed, errUnframed)
	case b.events != nil && !b.events.IsBetweenEvents():
		return n, b.failAtEOF(reasonCutEvent, errCutEvent)
	}
	b.finish(io.EOF, false)
	return n, io.EOF
}

// failAtEOF ends the body of an answer that is not known to be whole although its connection
// was closed properly.
func (b *body) failAtEOF(why reason, cause error) error {
	err := b.ex.counters.newError(why, result.StreamBroken, result.RanUnknown, cause)
	b.finish(err, false)
	return err
}

const (
	// maxTrailerBytes bounds the trailer of a chunked body.
	maxTrailerBytes = 16 << 10
	// trailerTimeout bounds the wait for its end, which arrives with the last chunk as a rule.
	trailerTimeout = 500 * time.Millisecond
)

// errTrailer reports that the trailer of a chunked body is too long or does not end in time.
var errTrailer = errors.New("target: trailer without an end")

// skipTrailer reads to the empty line that ends a chunked body.
func (b *body) skipTrailer() error {
	b.ex.conn.readDeadline = time.Now().Add(trailerTimeout)
	defer func() { b.ex.conn.readDeadline = noDeadline }()
	for read := 0; read <= maxTrailerBytes; {
		line, err := b.ex.conn.reader.ReadSlice('\n')
		read += len(line)
		switch {
		case errors.Is(err, bufio.ErrBufferFull) || isTimeout(err):
			return errTrailer
		case err != nil:
			return err
		case len(line) == 1 || len(line) == 2 && line[0] == '\r':
			return nil
		}
	}
	return errTrailer
}

// fail ends the body with a typed error that is not io.EOF.
func (b *body) fail(err error) error {
	if b.closed() {
		b.err = errBodyClosed
		return b.err
	}
	typed := b.ex.bodyError(err)
	b.finish(typed, false)
	return typed
}

// discardBuffered ends a body whose remaining bytes are all in the buffer.
func (b *body) discardBuffered() {
	if b.err != nil {
		return
	}
	_, _ = b.ex.conn.reader.Discard(int(b.remaining))
	b.remaining = 0
	b.finish(io.EOF, b.keepAlive)
}

// errBodyClosed reports that Read was called after Close.
var errBodyClosed = errors.New("target: answer was closed")

func (b *body) closed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.finished
}

// finish makes err the sticky error and returns the connection to the pool or closes it.
func (b *body) finish(err error, reusable bool) {
	b.err = err
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.finished {
		return
	}
	b.finished = true
	if err == io.EOF {
		b.ex.release(reusable)
		return
	}
	b.ex.discard()
}

// Close ends the answer. Before the end of the body it closes the connection, which cancels the
// run. It may be called more than once.
func (b *body) Close() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.finished {
		return nil
	}
	b.finished = true
	b.ex.counters.countFailure(reasonClosedUnread)
	b.ex.discard()
	return nil
}

// isClosedByPeer reports whether the remote end closed or reset the connection.
func isClosedByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
