package targets

import (
	"cmp"
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/walnutcove/walnutcove/control/speed"
	"github.com/walnutcove/walnutcove/dialect"
	"github.com/walnutcove/walnutcove/result"
)

// earlyAnswerTimeout bounds the wait for an answer to a request that could not be sent
// completely.
const earlyAnswerTimeout = 50 * time.Millisecond

// exchange is one request and its answer on one connection.
type exchange struct {
	client   *HTTPClient
	counters *counters
	ctx      context.Context
	conn     *conn
	// stopContextClose stops ctx from closing the connection; nil if ctx never ends.
	stopContextClose func() bool
	// stopCallerHook does the same for the hook that closes the connection when the caller is
	// found to be gone; nil if there is none.
	stopCallerHook func() bool
	// listing is the listing of targets when the request was sent.
	listing Listing
	// partlySent reports that the request was not sent completely.
	partlySent bool
	// stallTimeout is the request's StallTimeout.
	stallTimeout time.Duration
	// releaseOnce ensures that the connection is returned or closed only once.
	releaseOnce sync.Once
}

// run sends the request and reads the head of the answer.
func (ex *exchange) run(req *Request) (*Response, error) {
	deadline := time.Now().Add(cmp.Or(req.FirstByteTimeout, ex.client.options.FirstByteTimeout))
	ex.conn.written = 0
	ex.conn.readDeadline = deadline
	if err := ex.conn.SetWriteDeadline(deadline); err != nil {
		return nil, ex.writeError(err)
	}
	if err := ex.client.writeRequest(ex.conn, req); err != nil {
		if !ex.answeredEarly(req) {
			return nil, ex.writeError(err)
		}
		return ex.answer(req)
	}
	if err := ex.readOwnHead(req); err != nil {
		return nil, ex.headError(err)
	}
	return ex.answer(req)
}

// answeredEarly reports whether the target answered before it accepted the whole request, as it
// may do to refuse it. The connection is not reused.
func (ex *exchange) answeredEarly(req *Request) bool {
	ex.partlySent = true
	if ex.conn.written == 0 || ex.ctx.Err() != nil {
		return false
	}
	ex.conn.readDeadline = time.Now().Add(earlyAnswerTimeout)
	return ex.readOwnHead(req) == nil
}

const (
	// maxInterimAnswers bounds the interim answers (1xx) before an answer. Each has to fit into
	// the read buffer.
	maxInterimAnswers = 32
	// headTimeout bounds the time in which the heads of an answer and its interim answers arrive,
	// each from its first byte to its end. Targets send a head at once; a lost packet is sent
	// again within a second.
	headTimeout = 2 * time.Second
)

var (
	// errInterimAnswers reports a target that sends interim answers without end.
	errInterimAnswers = errors.New("target: too many interim answers")
	// errSlowHead reports a target that sends the head of its answer too slowly.
	errSlowHead = errors.New("target: head without an end")
)

// readHead reads the head of the answer and skips interim answers.
func readHead(cn *conn) error {
	remaining := headTimeout
	for range maxInterimAnswers + 1 {
		took, err := readHeadWithin(cn, remaining)
		if err != nil {
			return err
		}
		if cn.answer.StatusCode() >= fasthttp.StatusOK {
			return nil
		}
		remaining -= took
	}
	return errInterimAnswers
}

// readHeadWithin waits for a head and reads it. From its first byte on, it may take the given
// time. It returns how long that took.
func readHeadWithin(cn *conn, timeout time.Duration) (took time.Duration, err error) {
	if err := cn.beginHead(); err != nil {
		return 0, err
	}
	if _, err := cn.reader.Peek(1); isTimeout(err) {
		return 0, err
	} else if err != nil {
		return 0, io.EOF
	}
	firstByteAt, deadline := time.Now(), cn.readDeadline
	if headDeadline := firstByteAt.Add(timeout); headDeadline.Before(deadline) {
		cn.readDeadline = headDeadline
	}
	err = cn.answer.Read(cn.reader)
	if isTimeout(err) && cn.readDeadline != deadline {
		err = errSlowHead
	}
	cn.readDeadline = deadline
	return time.Since(firstByteAt), err
}

// maxStrays bounds the answers to earlier requests that are skipped, and maxStrayBytes the body
// of each.
const (
	maxStrays     = 3
	maxStrayBytes = 1 << 20
)

// errStray reports that the answer to this request could not be found: too many answers to other
// requests precede it, or one of them cannot be skipped.
var errStray = errors.New("target: answer of another request")

// readOwnHead reads the head of the answer to this request. Late answers to earlier requests on the
// connection, as far as their ids tell, are skipped.
func (ex *exchange) readOwnHead(req *Request) error {
	for range maxStrays {
		if err := readHead(ex.conn); err != nil {
			return err
		}
		if ex.isOwnAnswer(req) {
			return nil
		}
		ex.counters.countFailure(reasonStray)
		if err := ex.skipStray(); err != nil {
			return err
		}
	}
	return errStray
}

// isOwnAnswer reports whether the head that was read belongs to the request. An answer with an id
// belongs to the request with that id, so not to a call of the fleet itself, which has none.
func (ex *exchange) isOwnAnswer(req *Request) bool {
	d := ex.client.options.Dialect
	if d.RequestID == "" {
		return true
	}
	id := ex.conn.answer.Peek(d.RequestID)
	if len(id) == 0 {
		return !d.EchoesID || req.ID == ""
	}
	return string(id) == req.ID
}

// skipStray reads past the body of an answer that belongs to another request.
func (ex *exchange) skipStray() error {
	header := &ex.conn.answer
	length := header.ContentLength()
	if hasNoBody(header.StatusCode()) {
		length = 0
	}
	if length < 0 || length > maxStrayBytes || header.ConnectionClose() {
		return errStray
	}
	_, err := ex.conn.reader.Discard(length)
	return err
}

// answer turns the head into a Response, or into an error if the target refused the request
// before running it.
func (ex *exchange) answer(req *Request) (*Response, error) {
	header := &ex.conn.answer
	resp := &Response{Status: header.StatusCode(), Header: copyHeader(header)}
	ex.conn.readKeepAlive(header)
	ex.reportNotice(req, resp)
	if ex.client.options.Dialect.RefusedNotRun(resp.Status, resp.header) {
		ex.counters.countFailure(reasonNotRun)
		refused := result.New(result.TargetRefused, "%s", result.TargetRefused.Info().Meaning)
		if reading := ex.readLoad(resp); reading != (speed.Reading{}) {
			refused.Cause = &refusalLoad{reading}
		}
		ex.skipRefusalBody(req, header)
		return nil, refused.WithRetryAfter(dialect.RetryAfter(resp.header))
	}
	if req.ID != "" && !ex.isSealed(resp) {
		return nil, ex.counters.newError(reasonUnsealed, result.TargetLostRequest, result.RanUnknown, errUnsealed)
	}
	resp.Load = ex.readLoad(resp)
	body := newBody(ex, req.Method, header)
	if ex.partlySent && body.framing == FramingClose {
		// A failed write takes the socket's pending error, so a reset would read as a proper close.
		return nil, ex.counters.newError(reasonUnframed, result.TargetLostRequest, result.RanUnknown, errUnframed)
	}
	resp.Body, resp.Framing = body, body.framing
	ex.counters.countAnswer(body.framing)
	return resp, nil
}

// reportNotice passes on what the answer announces about its target.
func (ex *exchange) reportNotice(req *Request, resp *Response) {
	readNotice := ex.client.options.Dialect.Notice
	if readNotice == nil {
		return
	}
	n := readNotice(resp.Status, resp.header)
	if n.IsZero() {
		return
	}
	ex.client.notices.count(n)
	if name, start, listed := ex.listing.TargetOf(req); listed {
		ex.client.options.OnNotice(name, start, n)
	}
}

// errUnsealed reports that a success lacks the header that marks the targets' own answers.
var errUnsealed = errors.New("target: success without a seal")

// isSealed reports whether the answer is the target's own: a success must have the seal header,
// if targets set one, and a body without any content encoding.
func (ex *exchange) isSealed(resp *Response) bool {
	seal := ex.client.options.Dialect.Seal
	if seal == "" || resp.Status >= fasthttp.StatusMultipleChoices {
		return true
	}
	return resp.Header[seal] != "" && resp.Header[fasthttp.HeaderContentEncoding] == ""
}

// skipRefusalBody reads past the short body of a refusal, so that the connection can be reused.
// If the body has not arrived completely, it closes the connection instead.
func (ex *exchange) skipRefusalBody(req *Request, header *fasthttp.ResponseHeader) {
	length := header.ContentLength()
	b := newBody(ex, req.Method, header)
	if b.err != nil { // no body: the connection has already been returned
		return
	}
	if length < 0 || length > ex.conn.reader.Buffered() {
		b.Close()
		return
	}
	b.discardBuffered()
}

// writeError classifies a failure while sending.
func (ex *exchange) writeError(err error) error {
	nothingWritten := ex.conn.written == 0
	switch {
	case isCancelled(ex.ctx) && nothingWritten:
		return ex.counters.newError(reasonCancelledEarly, result.CallerGone, result.RanNo, ex.ctx.Err())
	case isCancelled(ex.ctx):
		return ex.counters.newError(reasonCancelled, result.CallerGone, result.RanUnknown, ex.ctx.Err())
	case nothingWritten:
		return ex.counters.newError(reasonWriteNothing, result.ConnectFailed, result.RanNo, err)
	default:
		return ex.counters.newError(reasonWritePartial, result.TargetLostRequest, result.RanUnknown, err)
	}
}

// headError classifies a failure after the request was sent and before the head of the answer
// was read.
func (ex *exchange) headError(err error) error {
	switch {
	case isCancelled(ex.ctx):
		return ex.counters.newError(reasonCancelled, result.CallerGone, result.RanUnknown, ex.ctx.Err())
	case ex.timedOut(err):
		return ex.counters.newError(reasonFirstByteTimeout, result.FirstByteTimeout, result.RanUnknown, err)
	case errors.Is(err, errSlowHead):
		return ex.counters.newError(reasonSlowHead, result.TargetError, result.RanUnknown, err)
	case isClosedByPeer(err) || errors.Is(err, errStray):
		return ex.counters.newError(reasonClosedBeforeHead, result.TargetLostRequest, result.RanUnknown, err)
	default:
		return ex.counters.newError(reasonBadHead, result.TargetError, result.RanUnknown, err)
	}
}

// bodyError classifies a failure while reading the body.
func (ex *exchange) bodyError(err error) error {
	switch {
	case isCancelled(ex.ctx):
		return ex.counters.newError(reasonCancelled, result.CallerGone, result.RanUnknown, ex.ctx.Err())
	case ex.timedOut(err):
		return ex.counters.newError(reasonStalled, result.AnswerTooSlow, result.RanUnknown, err)
	default:
		return ex.counters.newError(reasonTruncated, result.StreamBroken, result.RanUnknown, err)
	}
}

// timedOut reports whether a read exceeded its own limit or ctx's deadline.
func (ex *exchange) timedOut(err error) bool {
	return isTimeout(err) || errors.Is(ex.ctx.Err(), context.DeadlineExceeded)
}

// release returns the connection to the pool after an answer that was read completely, or closes
// it if it is not reusable.
func (ex *exchange) release(reusable bool) {
	ex.releaseOnce.Do(func() { ex.returnToPool(reusable) })
}

func (ex *exchange) returnToPool(reusable bool) {
	if !ex.stopClosers() || !reusable || ex.partlySent || ex.conn.reader.Buffered() > 0 {
		ex.conn.Close()
		return
	}
	ex.client.pool.put(ex.conn)
}

// stopClosers stops the functions that may close the connection, and reports whether none of
// them has run.
func (ex *exchange) stopClosers() bool {
	stillOpen := true
	for _, stop := range []func() bool{ex.stopContextClose, ex.stopCallerHook} {
		if stop != nil {
			stillOpen = stop() && stillOpen
		}
	}
	return stillOpen
}

// discard closes the connection, which ends the run.
func (ex *exchange) discard() {
	ex.releaseOnce.Do(func() {
		ex.stopClosers()
		ex.conn.Close()
	})
}
