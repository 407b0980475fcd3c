package front

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/result"
)

// Counters of this package.
var (
	requests      = metrics.NewCounter("walnut_accept_requests_total")
	streamsBroken = metrics.NewCounter("walnut_accept_streams_broken_total")
	callersGone   = metrics.NewCounter("walnut_accept_callers_gone_total")

	refusals = map[result.Code]*metrics.Counter{
		result.BadRequest:      refusalCounter(result.BadRequest),
		result.BodyTooLarge:    refusalCounter(result.BodyTooLarge),
		result.HeadersTooLarge: refusalCounter(result.HeadersTooLarge),
		result.SlowSender:      refusalCounter(result.SlowSender),
	}
)

// results counts every numbered code that callers are given, by any filter.
var results = func() map[result.Code]*metrics.Counter {
	counters := make(map[result.Code]*metrics.Counter)
	for _, row := range result.Table() {
		name := fmt.Sprintf("walnut_accept_results_total{code=\"%d\",reason=%q}", row.Code, row.Name)
		counters[row.Code] = metrics.NewCounter(name)
	}
	return counters
}()

func countResult(code result.Code) {
	if counter, ok := results[code]; ok {
		counter.Inc()
	}
}

func refusalCounter(code result.Code) *metrics.Counter {
	return metrics.NewCounter(fmt.Sprintf("walnut_accept_refusals_total{reason=%q}", code.Info().Name))
}

func countRefusal(code result.Code) {
	if counter, ok := refusals[code]; ok {
		counter.Inc()
	}
}
