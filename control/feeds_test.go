package control

import (
	"testing"
	"time"
)

// setFollowing makes a node follow the feeds, or stop.
func (s *sim) setFollowing(n *simNode, follows bool) {
	n.follows = follows
	s.step(n, FeedState{Live: follows && !n.platformDown})
}

// applyFeedRole makes a node follow the feeds, or stop, as its new role requires: after 100 ms
// for each node ahead of it, and unless its role changes meanwhile.
func (s *sim) applyFeedRole(n *simNode, role FeedRole) {
	n.feedRole = role
	s.after(time.Duration(role.Ahead)*100*time.Millisecond, func() {
		if n.feedRole == role {
			s.setFollowing(n, role.Follow)
		}
	})
}

// followers returns how many live nodes follow feeds that answer.
func (s *sim) followers() int {
	count := 0
	for _, n := range s.nodes {
		if n.up && n.follows && !n.platformDown {
			count++
		}
	}
	return count
}

// TestFewNodesFollowTheFeeds guards against a data centre without followers, or with too
// many. Other nodes have to take over from followers that end or whose feeds stop answering.
func TestFewNodesFollowTheFeeds(t *testing.T) {
	s := newSim(3)
	spec := fleetSpec{workspaces: map[string]float64{"a": 1}, targetsPerDataCentre: 1, slots: 4, dataCentres: testDataCentres[:1]}
	s.startFleet(12, spec.snapshot(), Options{}, "ikeja")
	for _, id := range s.names {
		s.setFollowing(s.nodes[id], true) // as every node does at its start
	}
	checkFollowers := func(when string, minFollowers int) {
		t.Helper()
		s.runUntil(s.now + 5*time.Second)
		if count := s.followers(); count < minFollowers || count > followersPerDataCentre {
			t.Errorf("%s: %d nodes follow the feeds", when, count)
		}
	}
	checkFollowers("at first", followersPerDataCentre)
	for _, id := range s.names {
		if n := s.nodes[id]; n.follows {
			s.stopNode(id)
			break
		}
	}
	checkFollowers("after one ended", followersPerDataCentre)
	for _, id := range s.names {
		if n := s.nodes[id]; n.up && n.follows {
			n.platformDown = true
			s.step(n, FeedState{})
		}
	}
	checkFollowers("after the feeds of all followers stopped answering", followersPerDataCentre)
	for _, id := range s.names {
		if n := s.nodes[id]; n.platformDown {
			n.platformDown = false
			s.setFollowing(n, n.follows)
		}
	}
	checkFollowers("after these feeds answer again", followersPerDataCentre)
}

// TestIsolatedNodeFollowsTheFeeds guards against a node that relies on followers which it
// can no longer reach: it has to follow the feeds itself.
func TestIsolatedNodeFollowsTheFeeds(t *testing.T) {
	s := newSim(4)
	spec := fleetSpec{workspaces: map[string]float64{"a": 1}, targetsPerDataCentre: 1, slots: 4, dataCentres: testDataCentres[:1]}
	s.startFleet(8, spec.snapshot(), Options{}, "ikeja")
	for _, id := range s.names {
		s.setFollowing(s.nodes[id], true)
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
				s.stopNode(other)
			}
		}
		break
	}
	s.runUntil(s.now + 5*time.Second)
	if s.followers() != 1 {
		t.Error("the last node does not follow the feeds")
	}
}

// TestOneNodeProbesFeeds guards against a fleet in which no follower, or more than one,
// probes whether the platform still accepts calls that wait for changes. If the one that
// does is lost, another one has to.
func TestOneNodeProbesFeeds(t *testing.T) {
	s := newSim(5)
	spec := fleetSpec{workspaces: map[string]float64{"a": 1}, targetsPerDataCentre: 1, slots: 4, dataCentres: testDataCentres}
	s.startFleet(12, spec.snapshot(), Options{}, testDataCentres...)
	for _, id := range s.names {
		s.nodes[id].feedRole = FeedRole{Follow: true, Probe: true} // as every node starts
		s.setFollowing(s.nodes[id], true)
	}
	probers := func() (names []NodeID) {
		for _, id := range s.names {
			if n := s.nodes[id]; n.up && n.follows && n.feedRole.Probe {
				names = append(names, id)
			}
		}
		return names
	}
	s.runUntil(s.now + 5*time.Second)
	first := probers()
	if len(first) != 1 {
		t.Fatalf("%v probe the feeds, want one node", first)
	}
	s.stopNode(first[0])
	s.runUntil(s.now + 5*time.Second)
	if second := probers(); len(second) != 1 || second[0] == first[0] {
		t.Errorf("%v probe the feeds after %v was lost, want another node", second, first)
	}
}

// TestLostFollowerMakesOthersRecheckFeeds guards against waiting calls that are lost
// unnoticed: if the platform stops answering one follower, all other nodes have to recheck
// their feeds. They must not if a follower leaves or others have taken its place.
func TestLostFollowerMakesOthersRecheckFeeds(t *testing.T) {
	s := newSim(6)
	spec := fleetSpec{workspaces: map[string]float64{"a": 1}, targetsPerDataCentre: 1, slots: 4, dataCentres: testDataCentres}
	s.startFleet(12, spec.snapshot(), Options{}, testDataCentres...)
	for _, id := range s.names {
		s.setFollowing(s.nodes[id], true)
	}
	s.runUntil(s.now + 5*time.Second)
	rechecks := func() int {
		count := 0
		for _, id := range s.names {
			count += s.nodes[id].feedRechecks
		}
		return count
	}
	follower := func() *simNode {
		for _, id := range s.names {
			if n := s.nodes[id]; n.up && n.follows {
				return n
			}
		}
		t.Fatal("no node follows the feeds")
		return nil
	}
	if initial := rechecks(); initial > 0 {
		t.Errorf("%d rechecks while the followers are determined", initial)
	}
	leaving := follower()
	s.step(leaving, DrainStarted{})
	s.runUntil(s.now + time.Second)
	s.setFollowing(leaving, false)
	s.runUntil(s.now + time.Second)
	if count := rechecks(); count > 0 {
		t.Errorf("%d rechecks as a follower leaves", count)
	}
	lost := follower()
	lost.platformDown = true
	s.step(lost, FeedState{})
	s.runUntil(s.now + time.Second)
	if count := rechecks(); count != len(s.names)-1 {
		t.Errorf("%d of %d nodes recheck their feeds", count, len(s.names)-1)
	}
}
