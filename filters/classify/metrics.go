package classify

import (
	"github.com/walnutcove/walnutcove/result"
	"github.com/walnutcove/walnutcove/result/codecounter"
)

var refusals = codecounter.New("walnut_classify_refusals_total",
	result.BadRequest,
	result.MethodNotAllowed,
	result.UnknownPath,
	result.UnknownModel,
	result.PoolNotAllowed,
	result.BadHeader,
	result.IdempotencyKeyMissing,
)
