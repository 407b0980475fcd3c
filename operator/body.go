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
	// MaxBodyBytes bounds the body of a patch: the changes, which may be
	// indented, and the rest.
	MaxBodyBytes = 2 * config.MaxPatchBytes
	// prefetchBytes of a body are read before the key is checked.
	prefetchBytes = 4 << 10
	// maxDiscardBytes of a refused body are read and dropped.
	maxDiscardBytes = 8 * MaxBodyBytes
)

// readBody reads the body of a request whose key was checked.
func readBody(req *fasthttp.RequestCtx) ([]byte, error) {
	stream := req.RequestBodyStream()
	if stream == nil {
		return nil, nil
	}
	body, err := io.ReadAll(io.LimitReader(stream, MaxBodyBytes+1))
	var network net.Error
	if errors.As(err, &network) && network.Timeout() {
		return nil, result.Wrap(result.SlowSender, err, "%s", result.SlowSender.Info().Meaning)
	}
	if err != nil {
		return nil, result.Wrap(result.BadRequest, err, "the body cannot be read")
	}
	if len(body) > MaxBodyBytes {
		return nil, result.New(result.BodyTooLarge, "the body is over %d bytes", MaxBodyBytes)
	}
	if announced := req.Request.Header.ContentLength(); announced >= 0 && len(body) != announced {
		return nil, result.New(result.BadRequest, "the body ends early")
	}
	return body, nil
}

// discardBody drops what is left of a refused request's body. A connection
// that is closed with bytes unread is reset, and the sender may then lose the
// refusal and take the outcome for unknown.
func discardBody(req *fasthttp.RequestCtx) {
	stream := req.RequestBodyStream()
	if stream == nil {
		return
	}
	// An error ends the connection; there is nothing else to do about it.
	_, _ = io.Copy(io.Discard, io.LimitReader(stream, maxDiscardBytes))
}
