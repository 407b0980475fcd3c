package router

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/operator"
	"github.com/walnutcove/walnutcove/orders"
)

// newOrders creates the reconciler that brings the targets scheduled here into their
// declared state. watchTargets passes it the names of these targets.
func (r *Router) newOrders() *orders.Reconciler {
	return orders.New(orders.Options{
		Client:   r.targets,
		Versions: r.configStore,
		Weights:  r.platform,
		Log:      r.log,
		Metrics:  metrics.GetDefaultSet(),
	})
}

// orderStatus returns what operators are shown: why a target is not in its declared
// state yet, or that it is; empty if states does not contain the target.
func orderStatus(states map[string]orders.Reason, target string) string {
	reason, declared := states[target]
	if declared && reason == "" {
		return operator.OrdersDone
	}
	return string(reason)
}
