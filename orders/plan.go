package orders

import (
	"slices"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/targets"
)

// plan is what has to be done to bring a target nearer to its declared state.
type plan struct {
	// order is to be given, unless it is empty.
	order targets.Order
	// needed says that order is not empty.
	needed bool
	// loading is a declared model that the target loads already; empty if none.
	loading string
}

// settled says that the target is in its declared state.
func (p plan) settled() bool { return !p.needed && p.loading == "" }

// planFor compares what is declared with what the target reports. A target
// loads one model at a time, so it never holds one permit of the weight store
// while it waits for another. Every order names the whole set of models that
// may stay: orders planned from an old report then do no harm, since all orders
// of one version keep the same models and role.
func planFor(declared config.Target, state targets.OrderState) plan {
	var p plan
	missing := ""
	for _, model := range declared.LoadModels {
		switch {
		case slices.Contains(state.Loading, model):
			p.loading = model
		case !slices.Contains(state.Models, model) && missing == "":
			missing = model
		}
	}
	p.order = targets.Order{KeepModels: declared.LoadModels, Role: declared.Role}
	if p.loading == "" {
		p.order.LoadModel = missing
	}
	wrongRole := declared.Role != "" && declared.Role != state.Role
	p.needed = p.order.LoadModel != "" || wrongRole || hasOthers(declared.LoadModels, state)
	return p
}

// hasOthers says whether the target holds a model that it shall not have.
func hasOthers(keep []string, state targets.OrderState) bool {
	if len(keep) == 0 {
		return false
	}
	unwanted := func(model string) bool { return !slices.Contains(keep, model) }
	return slices.ContainsFunc(state.Models, unwanted) || slices.ContainsFunc(state.Loading, unwanted)
}
