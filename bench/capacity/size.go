package capacity

import (
	"fmt"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/control"
)

// The size of the fleet that the project plans for.
const (
	plannedNodes                = 340
	plannedDataCentres          = 7
	plannedPools                = 38
	plannedTargets              = 3800
	plannedWorkspaces           = 16000
	plannedBackloggedWorkspaces = 1600
	plannedRequestsPerSecond    = 10000   // in the whole fleet
	plannedTokensPerSecond      = 3700000 // in the whole fleet
	plannedTokenGap             = 31 * time.Millisecond
	plannedFirstToken           = 830 * time.Millisecond
	plannedVersionsPerDay       = 11000
)

// plannedRunTime is the length of a run of mean length: the time to the first token
// and the gaps between the other tokens.
const plannedRunTime = plannedFirstToken + (plannedTokensPerSecond/plannedRequestsPerSecond-1)*plannedTokenGap

// requestsPerSecondPerNode is how many requests per second enter at one node.
const requestsPerSecondPerNode = float64(plannedRequestsPerSecond) / plannedNodes

// plannedSlotsPerTarget is how many requests a target must serve at once to carry
// the peak load, plus one eighth.
const plannedSlotsPerTarget = int(plannedRequestsPerSecond*int64(plannedRunTime)/int64(time.Second)/plannedTargets) * 9 / 8

// fleetSize is the size of a simulated fleet and of its configuration.
type fleetSize struct {
	nodes          int
	dataCentres    int
	pools          int
	targets        int
	workspaces     int
	slotsPerTarget int
	// poolsPerWorkspace is how many pools a workspace may use.
	poolsPerWorkspace int
}

// plannedSize returns the planned size.
func plannedSize() fleetSize {
	return fleetSize{
		nodes: plannedNodes, dataCentres: plannedDataCentres, pools: plannedPools, targets: plannedTargets,
		workspaces: plannedWorkspaces, slotsPerTarget: plannedSlotsPerTarget, poolsPerWorkspace: 2,
	}
}

// scaledSize returns the planned size scaled down to a number of nodes. Pools,
// targets and workspaces shrink in proportion, so that each node schedules as much
// as at the planned size.
func scaledSize(nodes int) fleetSize {
	s := plannedSize()
	s.pools = max(1, s.pools*nodes/s.nodes)
	s.targets = max(s.pools*s.dataCentres, s.targets*nodes/s.nodes)
	s.workspaces = max(2*s.pools, s.workspaces*nodes/s.nodes)
	s.nodes = nodes
	return s
}

// The formats of the names of workspaces and pools.
const (
	workspaceFormat = "workspace-%05d"
	poolFormat      = "pool-%02d"
)

func nodeName(n int) control.NodeID { return control.NodeID(fmt.Sprintf("vm-%d", n+1)) }
func dataCentreName(n int) string   { return fmt.Sprintf("dc-%d", n+1) }
func poolName(n int) string         { return fmt.Sprintf(poolFormat, n) }
func targetName(n int) string       { return fmt.Sprintf("target-%04d", n) }
func workspaceName(n int) string    { return fmt.Sprintf(workspaceFormat, n) }
func modelName(n int) string        { return fmt.Sprintf("model-%02d", n) }

// members returns the fleet as the platform lists it.
func (s fleetSize) members() []control.Member {
	list := make([]control.Member, s.nodes)
	for n := range list {
		list[n] = control.Member{Node: nodeName(n), DataCentre: dataCentreName(n % s.dataCentres)}
	}
	return list
}

// poolsOf returns the names of the pools that a workspace may use.
func (s fleetSize) poolsOf(workspace int) []string {
	var names []string
	for i := range min(s.poolsPerWorkspace, s.pools) {
		names = append(names, poolName((workspace+i)%s.pools))
	}
	return names
}

// equivalentWorkspace maps the workspace called name, which may use fromPool, to one
// that may use toPool. Distinct workspaces map to distinct ones, except in the last
// group of s.pools workspaces if that group is incomplete.
func (s fleetSize) equivalentWorkspace(name, fromPool, toPool string) string {
	var workspace, from, to int
	_, _ = fmt.Sscanf(name, workspaceFormat, &workspace)
	_, _ = fmt.Sscanf(fromPool, poolFormat, &from)
	_, _ = fmt.Sscanf(toPool, poolFormat, &to)
	offset := from - workspace%s.pools
	equivalent := workspace - workspace%s.pools + (to-offset+s.pools)%s.pools
	if equivalent >= s.workspaces {
		equivalent -= s.pools // the last group of s.pools workspaces is incomplete
	}
	return workspaceName(equivalent)
}

// declarations returns a valid configuration of this size.
func (s fleetSize) declarations() config.Declarations {
	declared := config.Declarations{
		Workspaces: make(map[string]config.Workspace, s.workspaces),
		Pools:      make(map[string]config.Pool, s.pools),
		Targets:    make(map[string]config.Target, s.targets),
	}
	for n := range s.pools {
		declared.Pools[poolName(n)] = config.Pool{Kind: config.KindEngine, Models: []string{modelName(n)}}
	}
	for n := range s.targets {
		declared.Targets[targetName(n)] = config.Target{
			Pool:       poolName(n % s.pools),
			DataCentre: dataCentreName(n / s.pools % s.dataCentres),
			Address:    fmt.Sprintf("10.0.%d.%d:8000", n/200, n%200+1),
			Slots:      s.slotsPerTarget,
		}
	}
	for n := range s.workspaces {
		declared.Workspaces[workspaceName(n)] = config.Workspace{
			KeyHashes: []string{keyHash(n)},
			Pools:     s.poolsOf(n),
		}
	}
	return config.WithDefaults(declared)
}

func keyHash(n int) string {
	return fmt.Sprintf("%x", config.HashKey([]byte(fmt.Sprintf("key-%d", n))))
}

// snapshot returns the configuration of this size as version 1.
func (s fleetSize) snapshot() *config.Snapshot {
	return &config.Snapshot{Version: 1, Declarations: s.declarations()}
}
