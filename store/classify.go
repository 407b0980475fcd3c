package store

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/valyala/fasthttp"
)

// classify turns the result of an attempt into a response or a Failure.
func (c *Client) classify(op operation, result attemptResult) (platformResponse, *Failure) {
	if result.err != nil {
		reason, kind := classifyTransport(result.err)
		return platformResponse{}, c.newFailure(op, kind, reason, result.err)
	}
	if result.status == fasthttp.StatusOK || result.response.notModified {
		return result.response, nil
	}
	var reply ErrorReply
	if err := json.Unmarshal(result.response.body, &reply); err != nil {
		return platformResponse{}, c.newFailure(op, ErrUnknown, reasonBadReply, fmt.Errorf("status %d without an error code", result.status))
	}
	reason, kind := classifyCode(reply.Code)
	return platformResponse{}, c.newFailure(op, kind, reason, fmt.Errorf("status %d, code %q: %s", result.status, reply.Code, reply.Detail))
}

// classifyTransport distinguishes calls that were certainly not sent from those
// that may have been. If that is uncertain, the call counts as sent.
func classifyTransport(err error) (reason, error) {
	var dial *dialError
	switch {
	case errors.As(err, &dial):
		return reasonConnect, ErrUnavailable
	case errors.Is(err, fasthttp.ErrNoFreeConns):
		return reasonBusy, ErrUnavailable
	case errors.Is(err, fasthttp.ErrTimeout):
		return reasonTimeout, ErrUnknown
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return reasonBadReply, ErrUnknown
	default:
		return reasonReplyLost, ErrUnknown
	}
}

// classifyCode maps the platform's error codes. Each known code proves that the
// call was not applied; an unknown code proves nothing.
func classifyCode(code ErrorCode) (reason, error) {
	switch code {
	case CodeNotFound:
		return reasonNotFound, ErrNotFound
	case CodeConflict:
		return reasonConflict, ErrConflict
	case CodeUnavailable:
		return reasonRefused, ErrUnavailable
	case CodeRateLimited:
		return reasonRateLimited, ErrUnavailable
	case CodeReadOnly:
		return reasonReadOnly, ErrUnavailable
	case CodeInvalid:
		return reasonInvalid, ErrInvalid
	default:
		return reasonBadReply, ErrUnknown
	}
}
