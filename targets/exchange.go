package targets

import (
	"cmp"
	"context"
	"errors"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/walnutcove/walnutcove/dialect"
	"github.com/walnutcove/walnutcove/result"
)

// earlyAnswerTimeout bounds the look for an answer to a request that could not
// be sent whole.
const earlyAnswerTimeout = 50 * time.Millisecond

// exchange is one request and its answer on one connection.
type exchange struct {
	client   *HTTPClient
	counters *counters
	ctx      context.Context
	conn     *conn
	// unwatch ends the closing of the connection by ctx; nil if ctx never ends.
	unwatch func() bool
	// unhook does the same for the closing by who found that the caller is gone; nil
	// if nobody tells.
	unhook func() bool
	// listing is that of when the request was sent.
	listing Listing
	// spoiled says that the request was not sent whole.
	spoiled bool
	// stall is the request's Stall.
	stall time.Duration
	// settle lets the connection be given back or closed only once.
	settle sync.Once
}

// run sends the request and reads the answer's head.
func (ex *exchange) run(req *Request) (*Response, error) {
	deadline := time.Now().Add(cmp.Or(req.FirstByte, ex.client.options.FirstByteTimeout))
	ex.conn.written = 0
	ex.conn.readDeadline = deadline
	if err := ex.conn.SetWriteDeadline(deadline); err != nil {
		return nil, ex.writeError(err)
	}
	if err := ex.client.writeRequest(ex.conn, req); err != nil {
		if !ex.answeredEarly() {
			return nil, ex.writeError(err)
		}
		return ex.answer(req)
	}
	if err := ex.readOwnHead(req); err != nil {
		return nil, ex.headError(err)
	}
	return ex.answer(req)
}

// answeredEarly says whether the target answered without taking the whole
// request, as it may to refuse it. The connection is not used again.
func (ex *exchange) answeredEarly() bool {
	ex.spoiled = true
	if ex.conn.written == 0 || ex.ctx.Err() != nil {
		return false
	}
	ex.conn.readDeadline = time.Now().Add(earlyAnswerTimeout)
	return readHead(ex.conn) == nil
}

// readHead reads the answer's head and passes over interim answers (1xx).
func readHead(cn *conn) error {
	for {
		if err := cn.answer.Read(cn.reader); err != nil {
			return err
		}
		if cn.answer.StatusCode() >= fasthttp.StatusOK {
			return nil
		}
	}
}

// maxStrays bounds the answers to earlier requests that are passed over, and
// maxStrayBytes the body of each.
const (
	maxStrays     = 3
	maxStrayBytes = 1 << 20
)

// errStray says that the connection holds an answer that belongs to another
// request and whose end is not known.
var errStray = errors.New("target: answer of another request")

// readOwnHead reads the head of the answer to this request. Where targets repeat
// the id, late answers to earlier requests on the connection are passed over.
func (ex *exchange) readOwnHead(req *Request) error {
	for range maxStrays {
		if err := readHead(ex.conn); err != nil {
			return err
		}
		if ex.isOwn(req) {
			return nil
		}
		ex.counters.failed(reasonStray)
		if err := ex.skipStray(); err != nil {
			return err
		}
	}
	return errStray
}

// isOwn says whether the head that was read belongs to the request.
func (ex *exchange) isOwn(req *Request) bool {
	d := ex.client.options.Dialect
	if !d.EchoesID || req.ID == "" {
		return true
	}
	return string(ex.conn.answer.Peek(d.RequestID)) == req.ID
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

// answer turns the head into a Response, or into an error if the target
// refused the request before running it.
func (ex *exchange) answer(req *Request) (*Response, error) {
	header := &ex.conn.answer
	resp := &Response{Status: header.StatusCode(), Header: copyHeader(header)}
	ex.conn.keepFor(header)
	ex.notice(req, resp)
	if ex.client.options.Dialect.RefusedNotRun(resp.Status, resp.header) {
		ex.counters.failed(reasonNotRun)
		refused := result.New(result.TargetRefused, "%s", result.TargetRefused.Info().Meaning)
		ex.drainRefusal(req, header)
		return nil, refused.After(dialect.RetryAfter(resp.header))
	}
	if req.ID != "" && !ex.isSealed(resp) {
		return nil, ex.counters.fail(reasonUnsealed, result.TargetLostRequest, result.RanUnknown, errUnsealed)
	}
	resp.Body = newBody(ex, req.Method, header)
	return resp, nil
}

// notice hands on what the answer says of its target.
func (ex *exchange) notice(req *Request, resp *Response) {
	read := ex.client.options.Dialect.Notice
	if read == nil {
		return
	}
	said := read(resp.Status, resp.header)
	if said.IsZero() {
		return
	}
	ex.client.notices.count(said)
	if name, start, listed := ex.listing.TargetOf(req); listed {
		ex.client.options.OnNotice(name, start, said)
	}
}

// errUnsealed says that a success lacks the mark of the targets' own answers.
var errUnsealed = errors.New("target: success without a seal")

// isSealed says whether the answer is the target's own: a success must bear the
// seal, where targets set one, and a body without any encoding.
func (ex *exchange) isSealed(resp *Response) bool {
	seal := ex.client.options.Dialect.Seal
	if seal == "" || resp.Status >= fasthttp.StatusMultipleChoices {
		return true
	}
	return resp.Header[seal] != "" && resp.Header[fasthttp.HeaderContentEncoding] == ""
}

// drainRefusal reads the short body of a refusal, so that the connection can
// be used again. It reads only what has arrived.
func (ex *exchange) drainRefusal(req *Request, header *fasthttp.ResponseHeader) {
	length := header.ContentLength()
	b := newBody(ex, req.Method, header)
	if b.err != nil { // without a body: the connection is given back already
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
	nothing := ex.conn.written == 0
	switch {
	case isCancelled(ex.ctx) && nothing:
		return ex.counters.fail(reasonCancelledEarly, result.CallerGone, result.RanNo, ex.ctx.Err())
	case isCancelled(ex.ctx):
		return ex.counters.fail(reasonCancelled, result.CallerGone, result.RanUnknown, ex.ctx.Err())
	case nothing:
		return ex.counters.fail(reasonWriteNothing, result.ConnectFailed, result.RanNo, err)
	default:
		return ex.counters.fail(reasonWritePartial, result.TargetLostRequest, result.RanUnknown, err)
	}
}

// headError classifies a failure after the request was sent.
func (ex *exchange) headError(err error) error {
	switch {
	case isCancelled(ex.ctx):
		return ex.counters.fail(reasonCancelled, result.CallerGone, result.RanUnknown, ex.ctx.Err())
	case ex.timedOut(err):
		return ex.counters.fail(reasonFirstByteTimeout, result.FirstByteTimeout, result.RanUnknown, err)
	case isClosed(err) || errors.Is(err, errStray):
		return ex.counters.fail(reasonClosedBeforeHead, result.TargetLostRequest, result.RanUnknown, err)
	default:
		return ex.counters.fail(reasonBadHead, result.TargetError, result.RanUnknown, err)
	}
}

// bodyError classifies a failure while reading the body.
func (ex *exchange) bodyError(err error) error {
	switch {
	case isCancelled(ex.ctx):
		return ex.counters.fail(reasonCancelled, result.CallerGone, result.RanUnknown, ex.ctx.Err())
	case ex.timedOut(err):
		return ex.counters.fail(reasonStalled, result.AnswerTooSlow, result.RanUnknown, err)
	default:
		return ex.counters.fail(reasonTruncated, result.StreamBroken, result.RanUnknown, err)
	}
}

// timedOut says whether a read ran into its own limit or into ctx's deadline.
func (ex *exchange) timedOut(err error) bool {
	return isTimeout(err) || errors.Is(ex.ctx.Err(), context.DeadlineExceeded)
}

// release gives the connection back after an answer read whole.
func (ex *exchange) release(reusable bool) {
	ex.settle.Do(func() { ex.giveBack(reusable) })
}

func (ex *exchange) giveBack(reusable bool) {
	if !ex.keepsOpen() || !reusable || ex.spoiled || ex.conn.reader.Buffered() > 0 {
		ex.conn.Close()
		return
	}
	ex.client.pool.put(ex.conn)
}

// keepsOpen ends the closing of the connection from elsewhere, and reports whether it
// was not closed.
func (ex *exchange) keepsOpen() bool {
	open := true
	for _, stop := range []func() bool{ex.unwatch, ex.unhook} {
		if stop != nil {
			open = stop() && open
		}
	}
	return open
}

// discard closes the connection, which ends the run.
func (ex *exchange) discard() {
	ex.settle.Do(func() {
		ex.keepsOpen()
		ex.conn.Close()
	})
}
