package front

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/result"
	"github.com/walnutcove/walnutcove/result/codecounter"
)

var (
	requests         = metrics.NewCounter("walnut_accept_requests_total")
	streamsBroken    = metrics.NewCounter("walnut_accept_streams_broken_total")
	acceptFailures   = metrics.NewCounter("walnut_accept_failures_total")
	fastRefusals     = metrics.NewCounter("walnut_accept_refused_at_once_total")
	refusalsUnlogged = metrics.NewCounter("walnut_accept_refusals_unlogged_total")
	watchFailures    = metrics.NewCounter("walnut_accept_watch_failures_total")
	callersGone      = metrics.NewCounter("walnut_accept_callers_gone_total")

	refusals = codecounter.New("walnut_accept_refusals_total",
		result.BadRequest, result.BodyTooLarge, result.HeadersTooLarge, result.SlowSender,
		result.HeldBytesFull, result.Internal, result.Overloaded)
)

// results counts the error responses by result code, whichever filter refused the request.
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
