package control

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/control/member"
	"github.com/walnutcove/walnutcove/control/quarantine"
)

// versionFetchDelay is the time that a simulated node takes to fetch a version from another.
const versionFetchDelay = 50 * time.Millisecond

// fetchVersion has a node fetch the version of another one that announced a newer one.
func (s *sim) fetchVersion(n *simNode, from NodeID) {
	s.after(versionFetchDelay, func() {
		if peer := s.nodes[from]; peer.up && !s.linkDown(n.id, from) {
			s.setVersion(n, uint64(peer.machine.topo.order.Version))
		}
	})
}

// setVersion puts a version in force at a node.
func (s *sim) setVersion(n *simNode, version uint64) {
	snapshot := draftFleet.snapshot()
	snapshot.Version = config.Version(version)
	s.step(n, ConfigChanged{Snapshot: snapshot})
}

var draftFleet = fleetSpec{workspaces: map[string]float64{"a": 1}, targetsPerDataCentre: 1, slots: 4, dataCentres: testDataCentres[:1]}

// heartbeatSenders returns the live nodes that send periodic heartbeats to a node.
func (s *sim) heartbeatSenders(to NodeID) []NodeID {
	var senders []NodeID
	for _, id := range s.names {
		if n := s.nodes[id]; n.up && id != to && slices.Contains(n.machine.view.Watchers(n.machine.now, 0), string(to)) {
			senders = append(senders, id)
		}
	}
	return senders
}

// leastHeard returns the node to which the fewest others send heartbeats.
func (s *sim) leastHeard() NodeID {
	least, fewest := NodeID(""), len(s.names)
	for _, id := range s.names {
		if count := len(s.heartbeatSenders(id)); count < fewest {
			least, fewest = id, count
		}
	}
	return least
}

// TestVersionReachesNodeWithoutHeartbeatSenders guards against a node that keeps an old
// configuration version because the ends of other nodes left nobody that sends it heartbeats.
func TestVersionReachesNodeWithoutHeartbeatSenders(t *testing.T) {
	const bound = 2 * time.Second
	for _, nodes := range []int{40, 75, 150} {
		s := newSim(uint64(nodes))
		s.onVersionSeen = s.fetchVersion
		s.startFleet(nodes, draftFleet.snapshot(), Options{HeartbeatEvery: 250 * time.Millisecond, MemberTimeout: time.Second}, testDataCentres...)
		s.runUntil(s.now + 5*time.Second)
		left := s.leastHeard()
		s.stopHeartbeatSenders(left)
		s.setVersion(s.otherLiveNode(left), 2)
		s.runUntil(s.now + bound)
		for _, id := range s.names {
			if n := s.nodes[id]; n.up && n.machine.topo.order.Version != 2 {
				t.Errorf("%d nodes: %s has version %d %s after another node has 2", nodes, id, n.machine.topo.order.Version, bound)
			}
		}
	}
}

// TestQuarantineReachesNodeWithoutHeartbeatSenders guards against a node that runs a request
// which all others refuse, because notices went only to the nodes that get heartbeats.
func TestQuarantineReachesNodeWithoutHeartbeatSenders(t *testing.T) {
	const nodes, fingerprint = 75, 7
	s := newSim(nodes)
	s.startFleet(nodes, draftFleet.snapshot(), Options{HeartbeatEvery: 250 * time.Millisecond, MemberTimeout: time.Second}, testDataCentres...)
	s.runUntil(s.now + 5*time.Second)
	left := s.leastHeard()
	s.stopHeartbeatSenders(left)
	first := s.otherLiveNode(left)
	for i := range 3 {
		out := first.machine.crashEvidence.tracker.Crashed(first.machine.now, fmt.Sprintf("target-%d", i), []uint64{fingerprint})
		s.carryOutAll(first, first.machine.quarantineCommands(out))
	}
	s.runUntil(s.now + time.Second)
	for _, id := range s.names {
		if n := s.nodes[id]; n.up && !n.machine.isConvicted(fingerprint) {
			t.Errorf("%s does not refuse the request", id)
		}
	}
}

// quarantineCommands returns the commands that follow from new evidence.
func (m *Machine) quarantineCommands(out quarantine.Output) []Command {
	m.out = nil
	m.applyQuarantine(out)
	return m.out
}

func (s *sim) carryOutAll(n *simNode, commands []Command) {
	for _, cmd := range commands {
		s.carryOut(n, cmd)
	}
}

// stopHeartbeatSenders ends nodes until none sends heartbeats to the given one.
func (s *sim) stopHeartbeatSenders(to NodeID) {
	for senders := s.heartbeatSenders(to); len(senders) > 0; senders = s.heartbeatSenders(to) {
		for _, id := range senders {
			s.stopNode(id)
		}
		s.runUntil(s.now + 15*time.Second)
	}
}

// otherLiveNode returns the last live node that is not the given one.
func (s *sim) otherLiveNode(id NodeID) *simNode {
	var found *simNode
	for _, name := range s.names {
		if n := s.nodes[name]; n.up && name != id {
			found = n
		}
	}
	return found
}

// TestAnswersToNodesBehindAreBounded guards against two nodes that answer each other's
// heartbeats without end while each lacks something that the other has.
func TestAnswersToNodesBehindAreBounded(t *testing.T) {
	s := newSim(1)
	s.startFleet(2, draftFleet.snapshot(), Options{HeartbeatEvery: 250 * time.Millisecond, MemberTimeout: time.Second}, testDataCentres[0])
	a, b := s.nodes["n0"], s.nodes["n1"]
	s.linkDown = func(NodeID, NodeID) bool { return true } // versions can't be fetched
	s.setVersion(a, 2)
	behind := Heartbeat{Incarnation: b.inc, ConfigVersion: 1, TargetsRevision: 9}
	answers := 0
	for range 100 {
		for _, cmd := range a.machine.Step(s.now, MessageReceived{From: "n1", Incarnation: b.inc, Message: behind}) {
			if send, ok := cmd.(Send); ok && send.To == "n1" {
				answers++
			}
		}
	}
	if answers < 1 || answers > 3 { // one answer, and what the first message of a node leads to
		t.Errorf("%d messages in answer to 100 heartbeats of a node that is behind", answers)
	}
}

// TestVersionIsAskedOfFewAtOnce guards against a node that all others ask for its version at the
// same moment, because it told all of them something else beside it.
func TestVersionIsAskedOfFewAtOnce(t *testing.T) {
	const nodes = 75
	events := map[string]func(s *sim, n *simNode){
		"feeds lost":   func(s *sim, n *simNode) { s.step(n, FeedState{Live: false}) },
		"drain begins": func(s *sim, n *simNode) { s.step(n, DrainStarted{}) },
		"suspected": func(s *sim, n *simNode) {
			s.step(n, MessageReceived{From: "n1", Incarnation: s.nodes["n1"].inc, Message: SuspectNotice{Node: n.id}})
		},
		"sessions opened": func(s *sim, n *simNode) {
			for _, id := range s.names {
				if id != n.id {
					s.step(n, PeerState{Node: id, Connected: true})
				}
			}
		},
	}
	for name, event := range events {
		t.Run(name, func(t *testing.T) {
			s := newSim(nodes)
			asked := 0
			s.onVersionSeen = func(n *simNode, from NodeID) {
				if from == "n0" {
					asked++
				}
			}
			s.startFleet(nodes, draftFleet.snapshot(), Options{HeartbeatEvery: 250 * time.Millisecond, MemberTimeout: time.Second}, testDataCentres...)
			s.step(s.nodes["n0"], FeedState{Live: true})
			s.runUntil(s.now + 5*time.Second)
			s.setVersion(s.nodes["n0"], 2)
			event(s, s.nodes["n0"])
			s.runUntil(s.now + 100*time.Millisecond)
			// The watchers of a node, and those whose heartbeats it answers.
			if limit := 3 * member.MaxWatchers; asked > limit {
				t.Errorf("%d of %d nodes ask one node at once, %d at most expected", asked, nodes, limit)
			}
		})
	}
}
