package capacity

import (
	"time"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/control/member"
)

// assignment holds which node of a fleet schedules which shards and targets while
// all nodes are alive.
type assignment struct {
	size fleetSize
	// shards holds the shards that each node schedules, and targets the targets of
	// each shard.
	shards  map[control.NodeID][]control.ShardID
	targets map[control.ShardID][]string
}

// assign computes the assignment with the view and the hash keys that the state
// machine uses. newNode checks it against the state machine.
func (s fleetSize) assign() *assignment {
	a := &assignment{
		size:    s,
		shards:  make(map[control.NodeID][]control.ShardID),
		targets: make(map[control.ShardID][]string),
	}
	view := s.viewOf(0)
	for n := range s.targets {
		id := control.ShardID{Pool: poolName(n % s.pools), DataCentre: dataCentreName(n / s.pools % s.dataCentres)}
		if a.targets[id] == nil {
			owner := control.NodeID(view.Owner(member.HashOf(id.Pool+"\x00"+id.DataCentre), id.DataCentre))
			a.shards[owner] = append(a.shards[owner], id)
		}
		a.targets[id] = append(a.targets[id], targetName(n))
	}
	return a
}

// accountedWorkspaces returns as many workspaces as a node on average keeps the
// service totals of.
func (a *assignment) accountedWorkspaces() []string {
	var names []string
	for n := 0; n < a.size.workspaces; n += a.size.nodes {
		names = append(names, workspaceName(n))
	}
	return names
}

// viewOf returns the membership view of node n while all nodes are alive.
func (s fleetSize) viewOf(n int) *member.View {
	const now = time.Second
	view := member.NewView(string(nodeName(n)), dataCentreName(n%s.dataCentres), time.Hour)
	var listed []member.Listed
	for _, m := range s.members() {
		listed = append(listed, member.Listed{Name: string(m.Node), DataCentre: m.DataCentre})
	}
	view.ApplyList(now, listed)
	for other := range s.nodes {
		if other != n {
			view.MessageReceived(now, string(nodeName(other)), 1)
		}
	}
	return view
}

// watchedBy returns the nodes whose heartbeats node n expects.
func (s fleetSize) watchedBy(n int) []control.NodeID {
	view := s.viewOf(n)
	var watched []control.NodeID
	for other := range s.nodes {
		if view.Watches(string(nodeName(other))) {
			watched = append(watched, nodeName(other))
		}
	}
	return watched
}

// typicalScheduler returns the index of a node that schedules the smallest number of
// shards above zero, usually one.
func (a *assignment) typicalScheduler() int {
	best, minCount := 0, 0
	for n := range a.size.nodes {
		count := len(a.shards[nodeName(n)])
		if count > 0 && (minCount == 0 || count < minCount) {
			best, minCount = n, count
		}
	}
	return best
}

// maxShards returns the largest number of shards that one node schedules.
func (a *assignment) maxShards() int {
	maxCount := 0
	for _, shards := range a.shards {
		maxCount = max(maxCount, len(shards))
	}
	return maxCount
}
