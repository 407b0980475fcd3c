package router

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/operator"
	"github.com/walnutcove/walnutcove/orders"
)

// newOrders makes the part that brings the targets scheduled here into their
// declared state. What is scheduled here comes with watchTargets.
func (r *Router) newOrders() *orders.Reconciler {
	return orders.New(orders.Options{
		Client:   r.targets,
		Versions: r.store,
		Weights:  r.platform,
		Log:      r.log,
		Metrics:  metrics.GetDefaultSet(),
	})
}

// ordersOf tells operators how far a target is from its declared state.
func ordersOf(states map[string]orders.Reason, target string) string {
	reason, declared := states[target]
	if declared && reason == "" {
		return operator.OrdersDone
	}
	return string(reason)
}
