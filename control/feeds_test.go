package control

import (
	"testing"
	"time"
)

// follow lets a node follow the feeds, or leave that to others.
func (s *sim) follow(n *simNode, wanted bool) {
	n.follows = wanted
	s.step(n, FeedsFollowed{Live: wanted && !n.cut})
}

// takeTurn follows the feeds, or not, unless the turn changes before its time.
func (s *sim) takeTurn(n *simNode, turn FeedTurn) {
	n.turn = turn
	s.after(time.Duration(turn.Ahead)*100*time.Millisecond, func() {
		if n.turn == turn {
			s.follow(n, turn.Wanted)
		}
	})
}

// followers counts the nodes that live and follow feeds that answer.
func (s *sim) followers() int {
	count := 0
	for _, n := range s.nodes {
		if n.up && n.follows && !n.cut {
			count++
		}
	}
	return count
}

// TestFewNodesFollowTheFeeds: of many nodes of a data centre a few follow the feeds;
// others take over from those that end or are turned away, and too many never stay.
func TestFewNodesFollowTheFeeds(t *testing.T) {
	s := newSim(3)
	load := workload{workspaces: map[string]float64{"a": 1}, perCentre: 1, slots: 4, centres: centres[:1]}
	s.fleet(12, load.snapshot(), Options{}, "ikeja")
	for _, id := range s.names {
		s.follow(s.nodes[id], true) // as each does at its start
	}
	settled := func(what string, least int) {
		t.Helper()
		s.runUntil(s.now + 5*time.Second)
		if count := s.followers(); count < least || count > feedFollowers {
			t.Errorf("%s: %d follow the feeds", what, count)
		}
	}
	settled("at first", feedFollowers)
	for _, id := range s.names {
		if n := s.nodes[id]; n.follows {
			s.stop(id)
			break
		}
	}
	settled("after one ended", feedFollowers)
	for _, id := range s.names {
		if n := s.nodes[id]; n.up && n.follows {
			n.cut = true
			s.step(n, FeedsFollowed{})
		}
	}
	settled("after all were turned away", feedFollowers)
	for _, id := range s.names {
		if n := s.nodes[id]; n.cut {
			n.cut = false
			s.follow(n, n.follows)
		}
	}
	settled("after their return", feedFollowers)
}

// TestIsolatedNodeFollowsTheFeeds: a node that hears nobody follows them itself.
func TestIsolatedNodeFollowsTheFeeds(t *testing.T) {
	s := newSim(4)
	load := workload{workspaces: map[string]float64{"a": 1}, perCentre: 1, slots: 4, centres: centres[:1]}
	s.fleet(8, load.snapshot(), Options{}, "ikeja")
	for _, id := range s.names {
		s.follow(s.nodes[id], true)
	}
	s.runUntil(5 * time.Second)
	for _, id := range s.names {
		n := s.nodes[id]
		if n.follows {
			continue
		}
		for _, other := range s.names {
			s.step(n, PeerState{Node: other})
		}
		for _, other := range s.names {
			if other != id {
				s.stop(other)
			}
		}
		break
	}
	s.runUntil(s.now + 5*time.Second)
	if s.followers() != 1 {
		t.Error("the last node does not follow the feeds")
	}
}
