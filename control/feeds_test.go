package control

import (
	"testing"
	"time"
)

// follow lets a node follow the feeds, or leave that to others.
func (s *sim) follow(n *simNode, wanted bool) {
	n.follows = wanted
	s.step(n, FeedState{Live: wanted && !n.cut})
}

// takeTurn follows the feeds, or not, unless the turn changes before its time.
func (s *sim) takeTurn(n *simNode, turn FeedRole) {
	n.turn = turn
	s.after(time.Duration(turn.Ahead)*100*time.Millisecond, func() {
		if n.turn == turn {
			s.follow(n, turn.Follow)
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
		if count := s.followers(); count < least || count > followersPerDataCentre {
			t.Errorf("%s: %d follow the feeds", what, count)
		}
	}
	settled("at first", followersPerDataCentre)
	for _, id := range s.names {
		if n := s.nodes[id]; n.follows {
			s.stop(id)
			break
		}
	}
	settled("after one ended", followersPerDataCentre)
	for _, id := range s.names {
		if n := s.nodes[id]; n.up && n.follows {
			n.cut = true
			s.step(n, FeedState{})
		}
	}
	settled("after all were turned away", followersPerDataCentre)
	for _, id := range s.names {
		if n := s.nodes[id]; n.cut {
			n.cut = false
			s.follow(n, n.follows)
		}
	}
	settled("after their return", followersPerDataCentre)
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

// TestOneNodeProvesItsCalls: of the nodes that follow the feeds one has to prove its calls,
// and when it is lost another one has to.
func TestOneNodeProvesItsCalls(t *testing.T) {
	s := newSim(5)
	load := workload{workspaces: map[string]float64{"a": 1}, perCentre: 1, slots: 4, centres: centres}
	s.fleet(12, load.snapshot(), Options{}, centres...)
	for _, id := range s.names {
		s.nodes[id].turn = FeedRole{Follow: true, Probe: true} // as each begins
		s.follow(s.nodes[id], true)
	}
	provers := func() (names []NodeID) {
		for _, id := range s.names {
			if n := s.nodes[id]; n.up && n.follows && n.turn.Probe {
				names = append(names, id)
			}
		}
		return names
	}
	s.runUntil(s.now + 5*time.Second)
	first := provers()
	if len(first) != 1 {
		t.Fatalf("%v prove their calls", first)
	}
	s.stop(first[0])
	s.runUntil(s.now + 5*time.Second)
	if then := provers(); len(then) != 1 || then[0] == first[0] {
		t.Errorf("%v prove their calls after %v was lost", then, first)
	}
}

// TestSilenceOfThePlatformIsTold: a node to which the platform falls silent makes all
// others doubt their calls; one that others relieve, or that leaves, does not.
func TestSilenceOfThePlatformIsTold(t *testing.T) {
	s := newSim(6)
	load := workload{workspaces: map[string]float64{"a": 1}, perCentre: 1, slots: 4, centres: centres}
	s.fleet(12, load.snapshot(), Options{}, centres...)
	for _, id := range s.names {
		s.follow(s.nodes[id], true)
	}
	s.runUntil(s.now + 5*time.Second)
	doubts := func() int {
		count := 0
		for _, id := range s.names {
			count += s.nodes[id].doubts
		}
		return count
	}
	follower := func() *simNode {
		for _, id := range s.names {
			if n := s.nodes[id]; n.up && n.follows {
				return n
			}
		}
		t.Fatal("nobody follows")
		return nil
	}
	if settling := doubts(); settling > 0 {
		t.Errorf("%d doubts while the nodes settle who follows", settling)
	}
	leaving := follower()
	s.step(leaving, DrainStarted{})
	s.runUntil(s.now + time.Second)
	s.follow(leaving, false)
	s.runUntil(s.now + time.Second)
	if told := doubts(); told > 0 {
		t.Errorf("%d doubts as a node leaves", told)
	}
	cut := follower()
	cut.cut = true
	s.step(cut, FeedState{})
	s.runUntil(s.now + time.Second)
	if told := doubts(); told != len(s.names)-1 {
		t.Errorf("%d of %d nodes doubt their calls", told, len(s.names)-1)
	}
}
