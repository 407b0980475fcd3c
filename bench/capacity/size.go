package capacity

import (
	"fmt"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/control"
)

// The size that the project is heading for.
const (
	letterNodes       = 340
	letterCentres     = 7
	letterPools       = 38
	letterTargets     = 3800
	letterWorkspaces  = 16000
	letterBacklogged  = 1600
	letterRequests    = 10000   // a second, in the whole fleet
	letterTokens      = 3700000 // a second, in the whole fleet
	letterTokenGap    = 31 * time.Millisecond
	letterFirstToken  = 830 * time.Millisecond
	letterVersionsDay = 11000
)

// letterRun is the length of a run: the first token and the gaps between the
// others of a mean answer.
const letterRun = letterFirstToken + (letterTokens/letterRequests-1)*letterTokenGap

// nodeRequests is how many requests a second enter at one node.
const nodeRequests = float64(letterRequests) / letterNodes

// targetSlots is what a target must serve at once to carry the peak, and an
// eighth more.
const targetSlots = int(letterRequests*int64(letterRun)/int64(time.Second)/letterTargets) * 9 / 8

// fleetSize is a size to measure at.
type fleetSize struct {
	nodes      int
	centres    int
	pools      int
	targets    int
	workspaces int
	slots      int
	// poolsEach is how many pools a workspace may use.
	poolsEach int
}

// letterSize is the size ahead.
func letterSize() fleetSize {
	return fleetSize{
		nodes: letterNodes, centres: letterCentres, pools: letterPools, targets: letterTargets,
		workspaces: letterWorkspaces, slots: targetSlots, poolsEach: 2,
	}
}

// scaledTo is the size ahead with a part of its nodes, pools and targets, so
// that each node schedules as much as at the size ahead.
func scaledTo(nodes int) fleetSize {
	s := letterSize()
	s.pools = max(1, s.pools*nodes/s.nodes)
	s.targets = max(s.pools*s.centres, s.targets*nodes/s.nodes)
	s.workspaces = max(2*s.pools, s.workspaces*nodes/s.nodes)
	s.nodes = nodes
	return s
}

// The names of workspaces and pools.
const (
	workspaceFormat = "workspace-%05d"
	poolFormat      = "pool-%02d"
)

func nodeName(n int) control.NodeID { return control.NodeID(fmt.Sprintf("vm-%d", n+1)) }
func centreName(n int) string       { return fmt.Sprintf("dc-%d", n+1) }
func poolName(n int) string         { return fmt.Sprintf(poolFormat, n) }
func targetName(n int) string       { return fmt.Sprintf("target-%04d", n) }
func workspaceName(n int) string    { return fmt.Sprintf(workspaceFormat, n) }
func modelName(n int) string        { return fmt.Sprintf("model-%02d", n) }

// members returns the platform's list of the fleet.
func (s fleetSize) members() []control.Member {
	list := make([]control.Member, s.nodes)
	for n := range list {
		list[n] = control.Member{Node: nodeName(n), DataCentre: centreName(n % s.centres)}
	}
	return list
}

// poolsOf returns the pools that a workspace may use.
func (s fleetSize) poolsOf(workspace int) []string {
	var names []string
	for i := range min(s.poolsEach, s.pools) {
		names = append(names, poolName((workspace+i)%s.pools))
	}
	return names
}

// workspaceLike returns a workspace that may use a pool, in the way in which
// another may use its own: distinct ones stay distinct.
func (s fleetSize) workspaceLike(name, itsPool, pool string) string {
	var workspace, from, to int
	_, _ = fmt.Sscanf(name, workspaceFormat, &workspace)
	_, _ = fmt.Sscanf(itsPool, poolFormat, &from)
	_, _ = fmt.Sscanf(pool, poolFormat, &to)
	offset := from - workspace%s.pools
	like := workspace - workspace%s.pools + (to-offset+s.pools)%s.pools
	if like >= s.workspaces {
		like -= s.pools // the last row is not whole
	}
	return workspaceName(like)
}

// declarations returns a valid configuration of the size.
func (s fleetSize) declarations() config.Declarations {
	d := config.Declarations{
		Workspaces: make(map[string]config.Workspace, s.workspaces),
		Pools:      make(map[string]config.Pool, s.pools),
		Targets:    make(map[string]config.Target, s.targets),
	}
	for n := range s.pools {
		d.Pools[poolName(n)] = config.Pool{Kind: config.KindEngine, Models: []string{modelName(n)}}
	}
	for n := range s.targets {
		d.Targets[targetName(n)] = config.Target{
			Pool:       poolName(n % s.pools),
			DataCentre: centreName(n / s.pools % s.centres),
			Address:    fmt.Sprintf("10.0.%d.%d:8000", n/200, n%200+1),
			Slots:      s.slots,
		}
	}
	for n := range s.workspaces {
		d.Workspaces[workspaceName(n)] = config.Workspace{
			KeyHashes: []string{keyHash(n)},
			Pools:     s.poolsOf(n),
		}
	}
	return config.WithDefaults(d)
}

func keyHash(n int) string {
	return fmt.Sprintf("%x", config.HashKey([]byte(fmt.Sprintf("key-%d", n))))
}

// snapshot returns the size's configuration as version 1.
func (s fleetSize) snapshot() *config.Snapshot {
	return &config.Snapshot{Version: 1, Declarations: s.declarations()}
}
