package operator

import (
	"errors"
	"io"
	"net"

	"github.com/valyala/fasthttp"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/result"
)

const (
	// MaxBodyBytes is the maximum size of a patch's body: the changes, which may
	// be indented, and the other fields.
	MaxBodyBytes = 2 * config.MaxPatchBytes
	// prefetchBytes is how much of a body is read before the key is checked.
	prefetchBytes = 4 << 10
	// maxDiscardBytes is how much of a refused body is read and discarded at most.
	maxDiscardBytes = 8 * MaxBodyBytes
)

// readBody reads the body of a request whose key has been checked.
func readBody(req *fasthttp.RequestCtx) ([]byte, error) {
	stream := req.RequestBodyStream()
	if stream == nil {
		return nil, nil
	}
	body, err := io.ReadAll(io.LimitReader(stream, MaxBodyBytes+1))
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return nil, result.Wrap(result.SlowSender, err, "%s", result.SlowSender.Info().Meaning)
	}
	if err != nil {
		return nil, result.Wrap(result.BadRequest, err, "the body cannot be read")
	}
	if len(body) > MaxBodyBytes {
		return nil, result.New(result.BodyTooLarge, "the body is over %d bytes", MaxBodyBytes)
	}
	if contentLength := req.Request.Header.ContentLength(); contentLength >= 0 && len(body) != contentLength {
		return nil, result.New(result.BadRequest, "the body ends early")
	}
	return body, nil
}

// discardBody reads and discards the rest of a refused request's body. A connection
// that is closed with unread bytes is reset; the sender may then lose the
// refusal and have to treat the outcome as unknown.
func discardBody(req *fasthttp.RequestCtx) {
	stream := req.RequestBodyStream()
	if stream == nil {
		return
	}
	// After an error the connection is closed; there is nothing else to do.
	_, _ = io.Copy(io.Discard, io.LimitReader(stream, maxDiscardBytes))
}
