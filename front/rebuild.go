package front

import (
	"bytes"
	"net"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"
)

// maxOffloadedRequestBytes limits a request that is offered to executors. Links take no larger ones.
const maxOffloadedRequestBytes = 1 << 20

// offerRead offers a request that the HTTP library has read to the executors. If it reports true,
// the response is written to a duplicate of the connection's descriptor, and the library closes
// the connection itself without a response.
func (o *offloads) offerRead(ctx *fasthttp.RequestCtx, conn *callerConn, id string, countRefused func()) bool {
	if conn.raw == nil || !canRebuild(&ctx.Request) || !o.sender.Available() {
		return false
	}
	if len(ctx.Request.Body())+len(ctx.Request.Header.RawHeaders()) > maxOffloadedRequestBytes {
		offloadTooLarge.Inc()
		return false
	}
	fd, ok := duplicateDescriptor(conn.raw)
	if !ok {
		return false
	}
	if !o.offer(fd, ctx, id, rebuildRequest(&ctx.Request), countRefused) {
		closeDescriptor(fd)
		return false
	}
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {})
	return true
}

// canRebuild reports whether rebuildRequest returns a request equal to the one that was read. It
// does not copy the fields that follow a chunked body.
func canRebuild(request *fasthttp.Request) bool {
	return len(request.Header.PeekTrailerKeys()) == 0
}

// rebuildRequest returns the bytes of a request that the HTTP library has read: as the caller sent
// them, but for the headers that delimit the body, which always gets a length, for Expect, which this
// router has met already, and for bare line ends.
func rebuildRequest(request *fasthttp.Request) []byte {
	header := &request.Header
	body := request.Body()
	raw := make([]byte, 0, len(header.Method())+len(header.RequestURI())+len(header.RawHeaders())+len(body)+64)
	raw = append(raw, header.Method()...)
	raw = append(raw, ' ')
	raw = append(raw, header.RequestURI()...)
	raw = append(raw, ' ')
	raw = append(raw, header.Protocol()...)
	raw = append(raw, "\r\n"...)
	raw = appendHeaderLines(raw, header.RawHeaders())
	if len(body) > 0 || !header.IsGet() && !header.IsHead() {
		raw = append(raw, "Content-Length: "...)
		raw = strconv.AppendInt(raw, int64(len(body)), 10)
		raw = append(raw, "\r\n"...)
	}
	raw = append(raw, "\r\n"...)
	return append(raw, body...)
}

// appendHeaderLines appends the header lines of a block, but for the empty line that ends it and
// the headers that rebuildRequest replaces.
func appendHeaderLines(raw, block []byte) []byte {
	replaced := false
	for line := range bytes.Lines(block) {
		content := bytes.TrimRight(line, "\r\n")
		if len(content) == 0 {
			break
		}
		if continued := content[0] == ' ' || content[0] == '\t'; !continued {
			name, _, _ := bytes.Cut(content, []byte(":"))
			replaced = isReplacedHeader(string(name))
		}
		if !replaced {
			raw = append(raw, content...)
			raw = append(raw, "\r\n"...)
		}
	}
	return raw
}

// isReplacedHeader reports whether a header belongs to the way in which a request was sent.
func isReplacedHeader(name string) bool {
	return strings.EqualFold(name, fasthttp.HeaderExpect) ||
		strings.EqualFold(name, fasthttp.HeaderTransferEncoding) ||
		strings.EqualFold(name, fasthttp.HeaderContentLength)
}
