package store

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/valyala/fasthttp"
)

// classify turns what came back into an answer or a Failure.
func (c *Client) classify(op operation, result tryResult) (answer, *Failure) {
	if result.err != nil {
		reason, kind := classifyTransport(result.err)
		return answer{}, c.fail(op, kind, reason, result.err)
	}
	if result.status == fasthttp.StatusOK || result.answer.unchanged {
		return result.answer, nil
	}
	var reply ErrorReply
	if err := json.Unmarshal(result.answer.body, &reply); err != nil {
		return answer{}, c.fail(op, ErrUnknown, reasonBadReply, fmt.Errorf("status %d without an error code", result.status))
	}
	reason, kind := classifyCode(reply.Code)
	return answer{}, c.fail(op, kind, reason, fmt.Errorf("status %d, code %q: %s", result.status, reply.Code, reply.Detail))
}

// classifyTransport tells a call that was surely not sent from one that may
// have been. When in doubt it was sent.
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

// classifyCode maps the platform's own error codes; each proves that the call
// was not applied. An unknown code proves nothing.
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
