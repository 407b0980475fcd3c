package front

import (
	"errors"
	"net"
	"net/url"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/result"
)

// writeReadRefusal answers a request that could not be read completely. The HTTP
// library closes the connection afterwards.
func (s *Server) writeReadRefusal(ctx *fasthttp.RequestCtx, err error) {
	ctx.Conn().(*callerConn).linger = true
	closedRefused.Inc()
	s.claimReservation(&ctx.Request.Header).shrinkTo(0)
	refusal := readRefusal(err)
	refusals.Inc(refusal.Code)
	id := s.ids.next().text
	s.log.Info("front: Could not read a request.", "request", id, "code", int(refusal.Code), "error", refusal)
	s.writeError(ctx, id, refusal)
}

// readRefusal returns the refusal for an error in reading a request.
func readRefusal(err error) *result.Error {
	var small *fasthttp.ErrSmallBuffer
	var netErr net.Error
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return result.Wrap(result.BodyTooLarge, err, "The body is too large.")
	case errors.As(err, &small):
		return result.Wrap(result.HeadersTooLarge, err, "The headers are too large.")
	case errors.As(err, &netErr) && netErr.Timeout():
		return result.Wrap(result.SlowSender, err, "The request did not arrive in time.")
	default:
		return result.Wrap(result.BadRequest, err, "The request is not valid HTTP.")
	}
}

// checkRequest refuses requests with too many headers or an ambiguous path, so that
// no filter has to handle them.
func checkRequest(ctx *fasthttp.RequestCtx, ex *pipeline.Exchange) error {
	var refusal *result.Error
	switch {
	case ctx.Request.Header.Len() > maxHeaderCount:
		refusal = result.New(result.HeadersTooLarge, "More than %d headers.", maxHeaderCount)
	case !isUnambiguousPath(ex.Path):
		refusal = result.New(result.BadRequest, "The path must begin with / and have no dot segments, empty segments or escaped slashes.")
	default:
		return nil
	}
	refusals.Inc(refusal.Code)
	return refusal
}

// isUnambiguousPath reports whether a path means the same to this router and to every
// target: a target that resolves "..", "//" or "%2f" in its own way might serve
// something outside the pool that the workspace may use.
func isUnambiguousPath(path string) bool {
	path, _, _ = strings.Cut(path, "?")
	if !strings.HasPrefix(path, "/") {
		return false
	}
	lower := strings.ToLower(path)
	if strings.Contains(lower, "%2f") || strings.Contains(lower, "%5c") || strings.ContainsAny(path, "\\#") {
		return false
	}
	decoded, err := url.PathUnescape(path)
	if err != nil || strings.ContainsRune(decoded, 0) {
		return false
	}
	return !strings.Contains(decoded, "//") && !hasDotSegment(decoded)
}

func hasDotSegment(path string) bool {
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}
