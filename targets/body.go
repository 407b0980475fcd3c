package targets

import (
	"bufio"
	"cmp"
	"errors"
	"io"
	"net/http/httputil"
	"sync"
	"syscall"

	"github.com/valyala/fasthttp"

	"github.com/walnutcove/walnutcove/result"
)

// Content lengths as fasthttp reports them when there is no number.
const (
	lengthChunked  = -1
	lengthUntilEOF = -2
)

// errUnframed says that the answer has neither a length nor chunks: its end
// cannot be told from a broken connection.
var errUnframed = errors.New("target: answer without framing")

// body streams an answer. Read and Close may be called from different
// goroutines; Read itself from one at a time.
type body struct {
	ex        *exchange
	reader    io.Reader
	chunked   bool
	unframed  bool
	keepAlive bool
	// left counts the bytes still to come, if not chunked.
	left int64
	// err is the sticky end: io.EOF after a whole answer.
	err error

	mu       sync.Mutex
	finished bool
}

func newBody(ex *exchange, method string, header *fasthttp.ResponseHeader) *body {
	b := &body{ex: ex, reader: ex.conn.reader, keepAlive: !header.ConnectionClose()}
	ex.conn.readTimeout = cmp.Or(ex.stall, ex.client.options.StallTimeout)
	ex.conn.readDeadline = noDeadline
	length := header.ContentLength()
	switch {
	case method == fasthttp.MethodHead || hasNoBody(header.StatusCode()):
		b.left = 0
	case length == lengthChunked:
		b.chunked = true
		b.reader = httputil.NewChunkedReader(ex.conn.reader)
	case length == lengthUntilEOF:
		b.unframed = true
	default:
		b.left = int64(length)
	}
	if !b.chunked && !b.unframed && b.left == 0 {
		b.end(io.EOF, b.keepAlive)
	}
	return b
}

func hasNoBody(status int) bool {
	return status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// Read returns what has arrived, without waiting for more.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	if len(p) == 0 {
		return 0, nil
	}
	switch {
	case b.chunked:
		return b.readChunked(p)
	case b.unframed:
		return b.readUnframed(p)
	default:
		return b.readCounted(p)
	}
}

func (b *body) readCounted(p []byte) (int, error) {
	if int64(len(p)) > b.left {
		p = p[:b.left]
	}
	n, err := b.reader.Read(p)
	b.left -= int64(n)
	if b.left == 0 {
		b.end(io.EOF, b.keepAlive)
		return n, io.EOF
	}
	if err != nil {
		return n, b.broken(err)
	}
	return n, nil
}

func (b *body) readChunked(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if err == nil {
		return n, nil
	}
	if err != io.EOF {
		return n, b.broken(err)
	}
	if err := skipTrailer(b.ex.conn.reader); err != nil {
		return n, b.broken(err)
	}
	b.end(io.EOF, b.keepAlive)
	return n, io.EOF
}

func (b *body) readUnframed(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if err == nil {
		return n, nil
	}
	if err != io.EOF {
		return n, b.broken(err)
	}
	if b.ex.client.options.Dialect.UnframedEnds {
		b.end(io.EOF, false)
		return n, io.EOF
	}
	e := b.ex.counters.fail(reasonUnframed, result.StreamBroken, result.RanUnknown, errUnframed)
	b.end(e, false)
	return n, e
}

// skipTrailer reads to the empty line that ends a chunked body.
func skipTrailer(r *bufio.Reader) error {
	for {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return err
		}
		if len(line) == 1 || (len(line) == 2 && line[0] == '\r') {
			return nil
		}
	}
}

// broken ends the body with a typed error that is not io.EOF.
func (b *body) broken(err error) error {
	if b.closed() {
		b.err = errClosedBody
		return b.err
	}
	typed := b.ex.bodyError(err)
	b.end(typed, false)
	return typed
}

// discardBuffered ends a body whose every byte is already in the buffer.
func (b *body) discardBuffered() {
	if b.err != nil {
		return
	}
	_, _ = b.ex.conn.reader.Discard(int(b.left))
	b.left = 0
	b.end(io.EOF, b.keepAlive)
}

// errClosedBody says that Read was called after Close.
var errClosedBody = errors.New("target: answer was closed")

func (b *body) closed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.finished
}

// end makes err the sticky end and gives the connection back or closes it.
func (b *body) end(err error, reusable bool) {
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

// Close ends the answer. Before the end it closes the connection, which
// cancels the run. It may be called more than once.
func (b *body) Close() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.finished {
		return nil
	}
	b.finished = true
	b.ex.counters.failed(reasonClosedUnread)
	b.ex.discard()
	return nil
}

// isClosed says whether the far end closed or reset the connection.
func isClosed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
