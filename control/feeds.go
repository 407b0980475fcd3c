package control

import "github.com/walnutcove/walnutcove/control/member"

// feedFollowers is the number of nodes per data centre that follow the platform's feeds. Each
// change costs one call per follower; the other nodes learn of it from heartbeats. With two
// followers, the loss of one causes no delay; if both are lost, a third node takes over within
// MemberTimeout. Each data centre has its own followers, so that one that is cut off from the
// platform receives changes from the others.
const feedFollowers = 2

// feedKey is the key by which the followers are ranked.
var feedKey = member.HashOf("platform feeds")

// feeds is what the machine knows of who follows the platform's feeds.
type feeds struct {
	// live says that this node does, and that they answer.
	live bool
	// followers are the other nodes that said so.
	followers map[NodeID]bool
	// wanted and proves are what was emitted last; stale says that they may be wrong.
	wanted bool
	proves bool
	stale  bool
}

func newFeeds() feeds {
	return feeds{followers: make(map[NodeID]bool), wanted: true, proves: true}
}

// feedsFollowed takes in whether this node's feeds answer. All others are told, as
// most of them hear no heartbeats of this node.
func (m *Machine) feedsFollowed(ev FeedsFollowed) {
	if m.fleet.feeds.live == ev.Live {
		return
	}
	m.fleet.feeds.live = ev.Live
	m.broadcast(m.heartbeat())
}

// followsSaid takes in whether another node's feeds answer. One that leaves follows them
// no more, and so does one that others of its data centre relieve. Else the platform was
// silent to it, and this node's calls that wait may have met that silence too.
func (m *Machine) followsSaid(node NodeID, follows, leaving bool) {
	if m.fleet.feeds.followers[node] == follows {
		return
	}
	m.fleet.feeds.stale = true
	if follows {
		m.fleet.feeds.followers[node] = true
		return
	}
	delete(m.fleet.feeds.followers, node)
	if !leaving && m.turnOf(node).Wanted {
		m.emit(FeedsDoubted{})
	}
}

// checkFeedTurn tells when this node's turn to follow has changed.
func (m *Machine) checkFeedTurn() {
	if !m.fleet.feeds.stale {
		return
	}
	m.fleet.feeds.stale = false
	turn := m.turnOf(m.opts.Node)
	if turn.Wanted == m.fleet.feeds.wanted && turn.Proves == m.fleet.feeds.proves {
		return
	}
	m.fleet.feeds.wanted = turn.Wanted
	m.fleet.feeds.proves = turn.Proves
	m.emit(turn)
}

// turnOf finds out whether enough nodes of a node's data centre that rank before it
// follow, and whether none of the fleet does. What a node last said counts as long as it
// lives.
func (m *Machine) turnOf(node NodeID) FeedTurn {
	own := member.Score(member.HashOf(string(node)), feedKey)
	dataCentre := m.dataCentreOf(node)
	following, ahead := 0, 0
	proves := true
	for _, n := range m.feedNodes() {
		if n.name == node || member.Score(member.HashOf(string(n.name)), feedKey) < own {
			continue
		}
		proves = proves && !n.follows
		switch {
		case n.dataCentre != dataCentre:
		case n.follows:
			following++
		default:
			ahead++
		}
	}
	if following >= feedFollowers {
		return FeedTurn{}
	}
	return FeedTurn{Wanted: true, Proves: proves, Ahead: ahead}
}

// feedNode is a live node that may follow the feeds.
type feedNode struct {
	name       NodeID
	dataCentre string
	follows    bool
}

// feedNodes returns this node and the others that live.
func (m *Machine) feedNodes() []feedNode {
	nodes := []feedNode{{name: m.opts.Node, dataCentre: m.opts.DataCentre, follows: m.fleet.feeds.live}}
	for _, n := range m.view.Nodes() {
		if n.Name != string(m.opts.Node) && m.view.Alive(n.Name) {
			name := NodeID(n.Name)
			nodes = append(nodes, feedNode{name: name, dataCentre: n.DataCentre, follows: m.fleet.feeds.followers[name]})
		}
	}
	return nodes
}
