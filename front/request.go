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
	// arrival holds the bytes of the body; nil if there is none.
	arrival *arrival
	ex      *pipeline.Exchange
	conn    *callerConn
	gone    chan struct{}
	isGone  bool // used by the watcher's goroutine only
	// ctx lasts until the exchange ends or the caller went away.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// endServing ends the exchange's Serving, and with it ctx.
	endServing context.CancelFunc
	server     *Server
	// answer says who gives the caller its answer. refusing is held while the timer does.
	answer   atomic.Int32
	refusing sync.Mutex
	// err is why the answer is not whole; nil if nothing is known against it.
	err error
}

// callerWentAway tells the pipeline. Only the watcher calls it.
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

// newExchange copies a request out of fasthttp's buffers, which are reused, and
// takes the body's buffer over.
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

// copiedBodyBytes is the size up to which a body is copied, so that its buffer
// can be used again at once.
const copiedBodyBytes = 64 << 10

// takeBody returns the body and leaves none in the request: a copy of a small
// one, the buffer itself of a large one.
func takeBody(request *fasthttp.Request) []byte {
	size := len(request.Body())
	if size > copiedBodyBytes {
		return request.SwapBody(nil)
	}
	body := append([]byte(nil), request.Body()...)
	request.ResetBody()
	return body
}

// originForm strips the scheme and host of an absolute request target.
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

// copyHeader copies all headers but those that belong to one connection.
// Repeated headers are joined with a comma.
func copyHeader(header *fasthttp.RequestHeader) map[string]string {
	copied := make(map[string]string, header.Len())
	named := connectionNamed(header)
	for key, value := range header.All() {
		name := string(key)
		if hopByHop(name) || named[name] {
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

// connectionNamed returns the headers that the Connection header names as being
// about this connection only, by their canonical names. It is nil if there are none.
func connectionNamed(header *fasthttp.RequestHeader) map[string]bool {
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

// hopByHop says whether a header is about one connection or one message, so
// that it is not passed on.
func hopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
		"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
		"Content-Length", "Expect", "Host", headerRequestID:
		return true
	}
	return false
}
