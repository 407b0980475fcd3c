package control

import "github.com/walnutcove/walnutcove/control/member"

// followersPerDataCentre is the number of nodes per data centre that follow the platform's
// feeds. Each change costs one call per follower; the other nodes learn of it from
// heartbeats. With two followers, the loss of one causes no delay; if both are lost, a
// third node takes over within MemberTimeout. Each data centre has its own followers, so
// that one that is cut off from the platform receives changes from the others.
const followersPerDataCentre = 2

// feedKey is the key by which rendezvous hashing ranks the followers.
var feedKey = member.HashOf("platform feeds")

// feeds is the machine's knowledge of which nodes follow the platform's feeds.
type feeds struct {
	// following reports that this node follows the feeds and that they answer.
	following bool
	// followers are the other nodes that announced the same.
	followers map[NodeID]bool
	// follow and probe are the values emitted last; roleStale reports that they may be
	// outdated.
	follow    bool
	probe     bool
	roleStale bool
}

func newFeeds() feeds {
	return feeds{followers: make(map[NodeID]bool), follow: true, probe: true}
}

// feedStateChanged records whether this node's feeds answer. All other nodes are informed,
// as most of them do not receive this node's periodic heartbeats.
func (m *Machine) feedStateChanged(ev FeedState) {
	if m.fleet.feeds.following == ev.Live {
		return
	}
	m.fleet.feeds.following = ev.Live
	m.broadcast(m.status())
}

// followerReported records whether another node's feeds answer. A node that leaves stops
// following them, and so does one whose place others of its data centre have taken.
// Otherwise the platform stopped answering that node, and may have stopped answering this
// node's waiting calls too.
func (m *Machine) followerReported(node NodeID, follows, leaving bool) {
	if m.fleet.feeds.followers[node] == follows {
		return
	}
	m.fleet.feeds.roleStale = true
	if follows {
		m.fleet.feeds.followers[node] = true
		return
	}
	delete(m.fleet.feeds.followers, node)
	if !leaving && m.feedRoleOf(node).Follow {
		m.emit(RecheckFeeds{})
	}
}

// updateFeedRole emits this node's feed role if it has changed.
func (m *Machine) updateFeedRole() {
	if !m.fleet.feeds.roleStale {
		return
	}
	m.fleet.feeds.roleStale = false
	role := m.feedRoleOf(m.opts.Node)
	if role.Follow == m.fleet.feeds.follow && role.Probe == m.fleet.feeds.probe {
		return
	}
	m.fleet.feeds.follow = role.Follow
	m.fleet.feeds.probe = role.Probe
	m.emit(role)
}

// feedRoleOf determines whether enough higher-ranked nodes of a node's data centre follow
// the feeds, and whether any in the fleet does. What a node last announced counts as long
// as it is alive.
func (m *Machine) feedRoleOf(node NodeID) FeedRole {
	ownScore := member.Score(member.HashOf(string(node)), feedKey)
	dataCentre := m.dataCentreOf(node)
	following, ahead := 0, 0
	probe := true
	for _, n := range m.liveFeedNodes() {
		if n.name == node || member.Score(member.HashOf(string(n.name)), feedKey) < ownScore {
			continue
		}
		probe = probe && !n.follows
		switch {
		case n.dataCentre != dataCentre:
		case n.follows:
			following++
		default:
			ahead++
		}
	}
	if following >= followersPerDataCentre {
		return FeedRole{}
	}
	return FeedRole{Follow: true, Probe: probe, Ahead: ahead}
}

// feedNode is a live node that may follow the feeds.
type feedNode struct {
	name       NodeID
	dataCentre string
	follows    bool
}

// liveFeedNodes returns this node and the other live ones.
func (m *Machine) liveFeedNodes() []feedNode {
	nodes := []feedNode{{name: m.opts.Node, dataCentre: m.opts.DataCentre, follows: m.fleet.feeds.following}}
	for _, n := range m.view.Nodes() {
		if n.Name != string(m.opts.Node) && m.view.Alive(n.Name) {
			name := NodeID(n.Name)
			nodes = append(nodes, feedNode{name: name, dataCentre: n.DataCentre, follows: m.fleet.feeds.followers[name]})
		}
	}
	return nodes
}
