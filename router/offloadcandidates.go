package router

import (
	"slices"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/offload/balance"
	"github.com/walnutcove/walnutcove/settings"
	"github.com/walnutcove/walnutcove/store"
)

// minSizeRatio is how many times the cores of the source an executor must have with
// settings.ExecutorsLarger.
const (
	minSizeRatio = 1.5
	// sizeTolerance allows for the rounding of the product: 1.5 times 0.4 is more than 0.6.
	sizeTolerance = 1e-6
)

// executorRule selects the routers that may serve requests for this one.
type executorRule struct {
	executors  string // of settings.Offload
	self       string
	dataCentre string
	cores      float64
}

// candidates returns the routers of the list that may be executors. alive holds the routers that
// are alive, in ascending order.
func (r executorRule) candidates(listed []store.VM, alive []control.NodeID) []balance.Candidate {
	var candidates []balance.Candidate
	for _, vm := range listed {
		if _, isAlive := slices.BinarySearch(alive, control.NodeID(vm.Name)); isAlive && r.allows(vm) {
			candidates = append(candidates, balance.Candidate{Node: vm.Name, Cores: vm.Cores})
		}
	}
	return candidates
}

// allows reports whether a listed router may be an executor while it is alive. Routers whose cores
// are not known may not.
func (r executorRule) allows(vm store.VM) bool {
	if vm.Name == r.self || vm.DataCentre != r.dataCentre || vm.State == store.VMLeaving || vm.Cores <= 0 {
		return false
	}
	switch r.executors {
	case settings.ExecutorsLarger:
		return r.cores > 0 && vm.Cores >= minSizeRatio*r.cores-sizeTolerance
	case settings.ExecutorsAny:
		return true
	default:
		return false
	}
}

// offloadCandidates returns the routers that may serve requests for this one now.
func (r *Router) offloadCandidates() []balance.Candidate {
	listed, alive := r.vms.Load(), r.lastLiveRouters.Load()
	if listed == nil || alive == nil || r.isDataCentreEvacuated() {
		return nil
	}
	node := r.settings.Node
	rule := executorRule{executors: r.settings.Offload.Executors, self: node.Name, dataCentre: node.DataCentre, cores: node.Cores}
	return rule.candidates(*listed, *alive)
}

// isDataCentreEvacuated reports whether the data centre of this router is being evacuated, as far
// as its targets show it.
func (r *Router) isDataCentreEvacuated() bool {
	snapshot := r.InForce()
	if snapshot == nil {
		return false
	}
	for _, target := range snapshot.Declarations.Targets {
		if target.DataCentre == r.settings.Node.DataCentre {
			return target.Evacuated
		}
	}
	return false
}
