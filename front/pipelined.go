package front

import (
	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"
)

// maxServedPastClose limits how many requests of a connection are answered after the one whose
// answer was to close it, because the next one had always arrived already.
const maxServedPastClose = 16

// maxStrayBytes is how many bytes behind a request are no further request: some callers send a line end
// after a body.
const maxStrayBytes = len("\r\n")

// countRequest is called when the HTTP library has read a request, before its reservation is claimed
// and its body taken. The framing of a chunked body is not known here: what has been read beyond it is
// not counted.
func (c *callerConn) countRequest(request *fasthttp.Request) {
	header := &request.Header
	// The library gives an empty chunked body the length 0; a body of that length has no reservation.
	wasChunked := header.ContentLength() == 0 && len(header.Peek(headerArrival)) > 0
	if wasChunked || header.ContentLength() == lengthChunked {
		c.buffered = 0
		return
	}
	const spacesAndLineEnd = len("  \r\n")
	head := len(header.Method()) + len(header.RequestURI()) + len(header.Protocol()) + spacesAndLineEnd
	head += max(len(header.RawHeaders()), len("\r\n"))
	c.buffered = max(0, c.buffered-head-len(request.Body()))
}

// hasNextRequest reports whether a further request has arrived, at least its first bytes.
func (c *callerConn) hasNextRequest() bool {
	arrived := 0
	if c.raw != nil {
		_ = c.raw.Control(func(fd uintptr) {
			// An error means that the connection is closed.
			arrived, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ)
		})
	}
	return c.buffered+len(c.unread)+arrived > maxStrayBytes
}

// closeAfter ends the connection with the answer to a request that was read whole. For an executed
// request, which has its connection alone, it does nothing.
func (c *callerConn) closeAfter(id string, reason *metrics.Counter) {
	if c.executed != nil {
		return
	}
	reason.Inc()
	c.linger = true
	c.closedAfter = id
}

// reportNextRequest reports, when the connection is closed, that a further request has arrived on it and
// is dropped. Its caller can know from the last answer, which says that the connection closes.
func (c *callerConn) reportNextRequest() {
	if c.closedAfter == "" || !c.hasNextRequest() {
		return
	}
	nextDropped.Inc()
	if s := c.server; s.allowRefusalLog() {
		s.log.Info("front: Connection closed before its next request.", "after_request", c.closedAfter, "unlogged_before", s.unlogged.Swap(0))
	}
}

// mayClose is called if a connection is to be closed after the next answer. It reports whether the
// caller has sent no further request. One that has arrived is answered first: a caller whose request
// was read cannot know that it was dropped.
func (c *callerConn) mayClose() bool {
	if c.servedPastClose >= maxServedPastClose || !c.hasNextRequest() {
		return true
	}
	c.servedPastClose++
	return false
}
