package router

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/offload/link"
)

// Requests that this router, as the source, did not send. Package front counts the others by how
// they ended.
var (
	offloadLimited  = offloadRequests("limited")
	offloadTooLarge = offloadRequests(string(link.RefusedTooLarge))

	offloadRefusals = map[link.Refusal]*metrics.Counter{
		link.RefusedNoAllowance: offloadRequests(string(link.RefusedNoAllowance)),
		link.RefusedTooLarge:    offloadTooLarge,
		link.RefusedFull:        offloadRequests(string(link.RefusedFull)),
		link.RefusedStalled:     offloadRequests(string(link.RefusedStalled)),
		link.RefusedEnded:       offloadRequests(string(link.RefusedEnded)),
	}
)

// countUnsent counts a request that no link took.
func countUnsent(refusal link.Refusal) {
	if counter, ok := offloadRefusals[refusal]; ok {
		counter.Inc()
	}
}

// Requests of other routers that this router, as the executor, declined. Package front counts
// those that it serves.
var (
	declinedDraining = offloadServed("declined_draining")
	declinedConfig   = offloadServed("declined_config")
	declinedFull     = offloadServed("declined_full")
)

// Executors that this router, as the source, stopped using for a while.
var (
	exclusionsDeclined = offloadExclusions("declined")
	exclusionsEnded    = offloadExclusions("link_ended")
	exclusionsSilent   = offloadExclusions("silent")
	exclusionsDrained  = offloadExclusions("drained")
	exclusionsDial     = offloadExclusions("dial_failed")
	exclusionsStarved  = offloadExclusions("no_allowance")
)

func offloadRequests(result string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("walnut_offload_requests_total{result=%q}", result))
}

func offloadServed(result string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("walnut_offload_served_total{result=%q}", result))
}

func offloadExclusions(reason string) *metrics.Counter {
	return metrics.NewCounter(fmt.Sprintf("walnut_offload_exclusions_total{reason=%q}", reason))
}

// The sides of a link.
const (
	sideSource   = "source"
	sideExecutor = "executor"
)

// publishOffload exports the state of the links of a router. heldAnswers returns the bytes of
// responses that wait for callers.
func publishOffload(set *metrics.Set, node string, links offloading, heldAnswers func() int64) {
	source, executor := links.source, links.executor
	labels := func(side string) string { return fmt.Sprintf("{node=%q,side=%q}", node, side) }
	set.NewGauge("walnut_offload_links"+labels(sideSource), func() float64 { return float64(source.linkCount()) })
	set.NewGauge("walnut_offload_links"+labels(sideExecutor), func() float64 { return float64(executor.linkCount()) })
	set.NewGauge("walnut_offload_open"+labels(sideSource), func() float64 { return float64(source.openRequests()) })
	set.NewGauge("walnut_offload_open"+labels(sideExecutor), func() float64 { return float64(executor.openRequests()) })
	nodeLabel := fmt.Sprintf("{node=%q}", node)
	set.NewGauge("walnut_offload_held_bytes"+nodeLabel, func() float64 {
		return float64(source.heldBytes() + executor.heldBytes() + heldAnswers())
	})
	set.NewGauge("walnut_offload_offered_ratio"+nodeLabel, func() float64 { return source.offeredFraction() })
	set.NewGauge("walnut_offload_accepted_per_second"+nodeLabel, func() float64 { return executor.acceptedRate() })
}
