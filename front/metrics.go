package front

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/result"
)

// Counters of this package.
var (
	requests    = metrics.NewCounter("walnut_accept_requests_total")
	callersGone = metrics.NewCounter("walnut_accept_callers_gone_total")

	refusals = map[result.Code]*metrics.Counter{
		result.BadRequest:      refusalCounter(result.BadRequest),
		result.BodyTooLarge:    refusalCounter(result.BodyTooLarge),
		result.HeadersTooLarge: refusalCounter(result.HeadersTooLarge),
		result.SlowSender:      refusalCounter(result.SlowSender),
	}
)

func refusalCounter(code result.Code) *metrics.Counter {
	return metrics.NewCounter(fmt.Sprintf("walnut_accept_refusals_total{reason=%q}", code.Info().Name))
}

func countRefusal(code result.Code) {
	if counter, ok := refusals[code]; ok {
		counter.Inc()
	}
}
