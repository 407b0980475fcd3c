package control

import "github.com/walnutcove/walnutcove/control/member"

// feedFollowers is how many nodes of a data centre follow the platform's feeds: each
// change costs a call for each, so that 81 nodes made some 1,460 calls in a quiet
// minute. The others have the news from heartbeats some milliseconds later. Three
// bear the loss of two at once, and each data centre has its own, so that one cut off
// from the platform is told by the others.
const feedFollowers = 3

// feedKey is the key by which the followers are ranked.
var feedKey = member.HashOf("platform feeds")

// feeds is what the machine knows of who follows the platform's feeds.
type feeds struct {
	// live says that this node does, and that they answer.
	live bool
	// followers are the other nodes that said so.
	followers map[NodeID]bool
	// wanted is what was emitted last; stale says that it may be wrong.
	wanted bool
	stale  bool
}

func newFeeds() feeds {
	return feeds{followers: make(map[NodeID]bool), wanted: true}
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

// followsSaid takes in whether another node's feeds answer.
func (m *Machine) followsSaid(node NodeID, follows bool) {
	if m.fleet.feeds.followers[node] == follows {
		return
	}
	m.fleet.feeds.stale = true
	if follows {
		m.fleet.feeds.followers[node] = true
	} else {
		delete(m.fleet.feeds.followers, node)
	}
}

// checkFeedTurn tells when this node's turn to follow has changed.
func (m *Machine) checkFeedTurn() {
	if !m.fleet.feeds.stale {
		return
	}
	m.fleet.feeds.stale = false
	if turn := m.feedTurn(); turn.Wanted != m.fleet.feeds.wanted {
		m.fleet.feeds.wanted = turn.Wanted
		m.emit(turn)
	}
}

// feedTurn finds out whether enough nodes that rank before this one follow. What a
// node last said counts as long as it lives.
func (m *Machine) feedTurn() FeedTurn {
	own := member.Score(member.HashOf(string(m.opts.Node)), feedKey)
	following, ahead := 0, 0
	for _, n := range m.view.Nodes() {
		if n.DataCentre != m.opts.DataCentre || !m.view.Alive(n.Name) {
			continue
		}
		if member.Score(member.HashOf(n.Name), feedKey) < own {
			continue
		}
		if m.fleet.feeds.followers[NodeID(n.Name)] {
			following++
		} else {
			ahead++
		}
	}
	if following >= feedFollowers {
		return FeedTurn{}
	}
	return FeedTurn{Wanted: true, Ahead: ahead}
}
