package capacity

import (
	"time"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/control/member"
)

// assignment says which node of a fleet does what, while all live.
type assignment struct {
	size fleetSize
	// shards are those that each node schedules, targets those of each shard.
	shards  map[control.NodeID][]control.ShardID
	targets map[control.ShardID][]string
}

// assign works the assignment out with the view and the keys that the machine
// uses; newNode compares it with what the machine does.
func (s fleetSize) assign() *assignment {
	a := &assignment{
		size:    s,
		shards:  make(map[control.NodeID][]control.ShardID),
		targets: make(map[control.ShardID][]string),
	}
	view := s.viewOf(0)
	for n := range s.targets {
		id := control.ShardID{Pool: poolName(n % s.pools), DataCentre: centreName(n / s.pools % s.centres)}
		if a.targets[id] == nil {
			owner := control.NodeID(view.Owner(member.HashOf(id.Pool+"\x00"+id.DataCentre), id.DataCentre))
			a.shards[owner] = append(a.shards[owner], id)
		}
		a.targets[id] = append(a.targets[id], targetName(n))
	}
	return a
}

// accounted returns as many workspaces as each node adds the service up for.
func (a *assignment) accounted() []string {
	var names []string
	for n := 0; n < a.size.workspaces; n += a.size.nodes {
		names = append(names, workspaceName(n))
	}
	return names
}

// viewOf returns what node n sees while all nodes live.
func (s fleetSize) viewOf(n int) *member.View {
	const now = time.Second
	view := member.NewView(string(nodeName(n)), centreName(n%s.centres), time.Hour)
	var listed []member.Listed
	for _, m := range s.members() {
		listed = append(listed, member.Listed{Name: string(m.Node), DataCentre: m.DataCentre})
	}
	view.ApplyList(now, listed)
	for other := range s.nodes {
		if other != n {
			view.Heard(now, string(nodeName(other)), 1)
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

// typicalScheduler returns a node that schedules one shard, or the fewest.
func (a *assignment) typicalScheduler() int {
	best, fewest := 0, 0
	for n := range a.size.nodes {
		count := len(a.shards[nodeName(n)])
		if count > 0 && (fewest == 0 || count < fewest) {
			best, fewest = n, count
		}
	}
	return best
}

// mostShards returns the most shards that one node schedules.
func (a *assignment) mostShards() int {
	most := 0
	for _, shards := range a.shards {
		most = max(most, len(shards))
	}
	return most
}
