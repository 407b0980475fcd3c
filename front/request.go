package front

import (
	"context"
	"net/textproto"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/result"
)

// request is one request being served on a connection.
type request struct {
	// reservation accounts for the bytes of the body; nil if there is no body.
	reservation *bodyReservation
	// answer accounts for the bytes of the answer that are held.
	answer *answerShare
	ex     *pipeline.Exchange
	conn   *callerConn
	// gone is closed when the caller has disconnected.
	gone   chan struct{}
	isGone bool // used by the watcher's goroutine only
	// ctx is cancelled when the exchange ends or the caller disconnects.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// endServing cancels the exchange's ServingContext, and with it ctx.
	endServing context.CancelFunc
	server     *Server
	// unwatched is closed when it no longer matters whether the caller has gone; nil unless
	// the request comes from another router that tells.
	unwatched   chan struct{}
	unwatchOnce sync.Once
	// answerOwner holds whether the exchange or its refusal timer answers the caller.
	// refusalMu is held while the timer does.
	answerOwner atomic.Int32
	refusalMu   sync.Mutex
	// deadlineTimer is the refusal timer; nil if there is none. Only the serving goroutine uses it.
	deadlineTimer *time.Timer
	// Guarded by refusalMu: streams reports that an answer stream is being written, lateRefusal is
	// set once the timer has fired after the exchange claimed the answer, and cutErr is why the
	// stream was cut off at the deadline.
	streams     bool
	lateRefusal func() error
	cutErr      error
	// err is why the answer is incomplete; nil if no failure is known.
	err error
}

// callerWentAway notifies the pipeline that the caller has disconnected. Only the watcher
// calls it.
func (r *request) callerWentAway() {
	if r.isGone {
		return
	}
	r.isGone = true
	callersGone.Inc()
	close(r.gone)
	r.cancel(result.New(result.CallerGone, "The caller went away."))
	r.ex.NotifyCallerGone()
}

// newExchange copies a request out of fasthttp's buffers, which are reused; it takes
// over the buffer of a large body.
func newExchange(id requestID, gone <-chan struct{}, ctx *fasthttp.RequestCtx) *pipeline.Exchange {
	header := &ctx.Request.Header
	return &pipeline.Exchange{
		Sequence:    id.sequence,
		ID:          id.text,
		Arrived:     time.Now(),
		Method:      string(header.Method()),
		Path:        originForm(string(header.RequestURI())),
		Host:        string(header.Host()),
		ContentType: string(header.ContentType()),
		Header:      copyHeader(header),
		Body:        takeBody(&ctx.Request),
		CallerGone:  gone,
	}
}

// maxCopiedBodyBytes is the size up to which a body is copied, so that its buffer
// can be reused at once.
const maxCopiedBodyBytes = 64 << 10

// takeBody removes the body from the request and returns it: a copy of a small
// body, the buffer itself of a large one.
func takeBody(request *fasthttp.Request) []byte {
	size := len(request.Body())
	if size > maxCopiedBodyBytes {
		return request.SwapBody(nil)
	}
	body := append([]byte(nil), request.Body()...)
	request.ResetBody()
	return body
}

// originForm strips the scheme and host from an absolute request target.
func originForm(target string) string {
	if strings.HasPrefix(target, "/") {
		return target
	}
	_, rest, ok := strings.Cut(target, "://")
	if !ok {
		return target
	}
	slash := strings.IndexByte(rest, '/')
	if slash < 0 {
		return "/"
	}
	return rest[slash:]
}

// copyHeader copies all headers except those that apply to one connection only.
// Repeated headers are joined with a comma.
func copyHeader(header *fasthttp.RequestHeader) map[string]string {
	copied := make(map[string]string, header.Len())
	connectionOnly := headersNamedByConnection(header)
	for key, value := range header.All() {
		name := string(key)
		if isHopByHop(name) || connectionOnly[name] {
			continue
		}
		if earlier, ok := copied[name]; ok {
			copied[name] = earlier + ", " + string(value)
			continue
		}
		copied[name] = string(value)
	}
	return copied
}

// headersNamedByConnection returns the canonical names of the headers that the
// Connection header lists as applying to this connection only; nil if there are none.
func headersNamedByConnection(header *fasthttp.RequestHeader) map[string]bool {
	var named map[string]bool
	for token := range strings.SplitSeq(string(header.Peek(fasthttp.HeaderConnection)), ",") {
		token = strings.TrimSpace(token)
		if token == "" || strings.EqualFold(token, "close") || strings.EqualFold(token, "keep-alive") {
			continue
		}
		if named == nil {
			named = make(map[string]bool)
		}
		named[textproto.CanonicalMIMEHeaderKey(token)] = true
	}
	return named
}

// isHopByHop reports whether a header applies to one connection or one message only
// and must not be passed on.
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
		"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
		"Content-Length", "Expect", "Host", headerRequestID:
		return true
	}
	return false
}
