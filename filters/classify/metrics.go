package classify

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/result"
)

var refusals = func() map[result.Code]*metrics.Counter {
	codes := []result.Code{
		result.BadRequest,
		result.MethodNotAllowed,
		result.UnknownPath,
		result.UnknownModel,
		result.PoolNotAllowed,
		result.BadHeader,
		result.IdempotencyKeyMissing,
	}
	counters := make(map[result.Code]*metrics.Counter, len(codes))
	for _, code := range codes {
		name := fmt.Sprintf("walnut_classify_refusals_total{reason=%q}", code.Info().Name)
		counters[code] = metrics.NewCounter(name)
	}
	return counters
}()

func countRefusal(code result.Code) { refusals[code].Inc() }
