package front

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/offload"
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
	// callersStalled counts callers who were cut off because they read nothing.
	callersStalled = metrics.NewCounter("walnut_accept_callers_stalled_total")
	callersGone    = metrics.NewCounter("walnut_accept_callers_gone_total")

	// Callers' connections that this side closed.
	closedIdle       = closeCounter("idle")
	closedDraining   = closeCounter("draining")
	closedTooMany    = closeCounter("too_many")
	closedLessLoad   = closeCounter("less_load")
	closedOverloaded = closeCounter("overloaded")
	closedDeadline   = closeCounter("deadline")
	closedRefused    = closeCounter("refused")
	// nextDropped counts those on which a further request, or the beginning of one, had arrived.
	nextDropped = metrics.NewCounter("walnut_accept_next_requests_dropped_total")

	// Requests that this router offered to executors. The reasons why a Sender takes none are
	// counted there.
	offloadSent       = offloadCounter("sent")
	offloadComplete   = offloadCounter("complete")
	offloadDeclined   = offloadCounter("declined")
	offloadBroken     = offloadCounter("broken")
	offloadCallerGone = offloadCounter("caller_gone")
	offloadDeadline   = offloadCounter("deadline")
	offloadSilent     = offloadCounter("silent")
	// offloadTooLarge and offloadCrowded count requests that were not offered.
	offloadTooLarge = offloadCounter("too_large")
	offloadCrowded  = offloadCounter("crowded")
	// offloadAcceptedLate counts requests that were refused in place of being offered because
	// connections wait too long to be accepted.
	offloadAcceptedLate = offloadCounter("accepted_late")

	// answersStalled and answersOverLimit count the callers who were cut off because they did
	// not read their responses from executors.
	answersStalled   = metrics.NewCounter(`walnut_offload_slow_callers_total{reason="stalled"}`)
	answersOverLimit = metrics.NewCounter(`walnut_offload_slow_callers_total{reason="held_bytes_full"}`)

	// Requests that this router served for others.
	servedComplete   = metrics.GetOrCreateCounter(`walnut_offload_served_total{result="complete"}`)
	servedBroken     = metrics.GetOrCreateCounter(`walnut_offload_served_total{result="broken"}`)
	servedCallerGone = metrics.GetOrCreateCounter(`walnut_offload_served_total{result="caller_gone"}`)

	refusals = codecounter.New("walnut_accept_refusals_total",
		result.BadRequest, result.BodyTooLarge, result.HeadersTooLarge, result.SlowSender,
		result.HeldBytesFull, result.Internal, result.Overloaded, result.FirstByteTimeout, result.ExecutorLost,
		result.AnswerBytesFull, result.Draining)
)

// offloadBrokenBy counts the offloaded requests with the result "broken" by cause.
var offloadBrokenBy = countersByCause(offload.CauseResponse, offload.CauseConnection, offload.CauseProtocol,
	offload.CauseSilent, offload.CauseStopped)

func countersByCause(causes ...offload.Cause) map[offload.Cause]*metrics.Counter {
	counters := make(map[offload.Cause]*metrics.Counter, len(causes))
	for _, cause := range causes {
		counters[cause] = metrics.NewCounter(fmt.Sprintf("walnut_offload_broken_total{cause=%q}", cause))
	}
	return counters
}

func closeCounter(reason string) *metrics.Counter {
	return metrics.NewCounter(fmt.Sprintf("walnut_accept_connections_closed_total{reason=%q}", reason))
}

// offloadCounter returns the counter of offloaded requests with the given result. Other packages
// count further results under the same name.
func offloadCounter(result string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("walnut_offload_requests_total{result=%q}", result))
}

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
