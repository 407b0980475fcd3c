package orders

import (
	"slices"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/targets"
)

// plan is the next step that brings a target closer to its declared state.
type plan struct {
	// order is the order to send if hasOrder is set.
	order targets.Order
	// hasOrder reports whether an order must be sent.
	hasOrder bool
	// loading is a declared model that the target is loading now; empty if none.
	loading string
}

// isSettled reports whether the target is in its declared state.
func (p plan) isSettled() bool { return !p.hasOrder && p.loading == "" }

// planFor compares the declared state with the state that the target reports. A
// target loads one model at a time, so it never holds one permit of the weight store
// while it waits for another. Every order lists all models that may stay loaded, so
// an order planned from an outdated report does no harm: all orders of one version
// keep the same models and set the same role.
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
	p.hasOrder = p.order.LoadModel != "" || wrongRole || hasUnwantedModels(declared.LoadModels, state)
	return p
}

// hasUnwantedModels reports whether the target has loaded, or is loading, a model
// that is not to be kept. An empty list of models to keep means any.
func hasUnwantedModels(keep []string, state targets.OrderState) bool {
	if len(keep) == 0 {
		return false
	}
	unwanted := func(model string) bool { return !slices.Contains(keep, model) }
	return slices.ContainsFunc(state.Models, unwanted) || slices.ContainsFunc(state.Loading, unwanted)
}
