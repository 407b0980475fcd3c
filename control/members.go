package control

import (
	"sort"

	"github.com/walnutcove/walnutcove/control/member"
)

// peerInfo is what this node knows of another.
type peerInfo struct {
	dataCentre  string
	incarnation Incarnation
	listed      bool
	leaving     bool
	connected   bool
	lastHeard   Instant
	heardOnce   bool
}

// members is the view of the fleet.
type members struct {
	peers    map[NodeID]*peerInfo
	nextBeat Instant
	draining bool
}

func newMembers(Options) members {
	return members{peers: make(map[NodeID]*peerInfo)}
}

func (m *Machine) peer(node NodeID) *peerInfo {
	p := m.members.peers[node]
	if p == nil {
		p = &peerInfo{}
		m.members.peers[node] = p
	}
	return p
}

func (m *Machine) heard(node NodeID, inc Incarnation) {
	p := m.peer(node)
	p.incarnation = inc
	p.lastHeard = m.now
	p.heardOnce = true
}

func (m *Machine) membersListed(ev MembersListed) {
	for _, p := range m.members.peers {
		p.listed = false
	}
	for _, listed := range ev.Members {
		if listed.Node == m.opts.Node {
			continue
		}
		p := m.peer(listed.Node)
		p.listed = true
		p.dataCentre = listed.DataCentre
		p.leaving = listed.Leaving
	}
	m.reassign()
}

func (m *Machine) peerState(ev PeerState) {
	p := m.peer(ev.Node)
	p.connected = ev.Connected
	if ev.Connected {
		p.lastHeard = m.now
		p.heardOnce = true
	}
	m.reassign()
}

func (m *Machine) heartbeatReceived(from NodeID, msg Heartbeat) {
	p := m.peer(from)
	changed := p.leaving != msg.Leaving
	p.leaving = msg.Leaving
	if m.topo == nil || msg.ConfigVersion > uint64(m.topo.version) {
		if msg.ConfigVersion > 0 {
			m.emit(VersionSeen{From: from, Version: msg.ConfigVersion})
		}
	}
	if changed {
		m.reassign()
	}
}

func (m *Machine) beat() {
	if m.now < m.members.nextBeat {
		return
	}
	m.members.nextBeat = m.now + m.opts.HeartbeatEvery
	beat := Heartbeat{Incarnation: m.opts.Incarnation, Leaving: m.members.draining}
	if m.topo != nil {
		beat.ConfigVersion = uint64(m.topo.version)
	}
	for _, node := range m.sortedPeers() {
		if m.members.peers[node].listed {
			m.send(node, beat)
		}
	}
}

func (m *Machine) sortedPeers() []NodeID {
	nodes := make([]NodeID, 0, len(m.members.peers))
	for node := range m.members.peers {
		nodes = append(nodes, node)
	}
	sort.Slice(nodes, func(i, j int) bool { return nodes[i] < nodes[j] })
	return nodes
}

// alive says whether a peer may schedule.
func (m *Machine) alive(p *peerInfo) bool {
	return p.connected && p.heardOnce && !p.leaving && m.now-p.lastHeard < m.opts.MemberTimeout
}

// owner returns the scheduler of a shard: a member in the shard's data centre
// if there is one.
func (m *Machine) owner(id ShardID) NodeID {
	if m.opts.Policy == PolicyAlone {
		return m.opts.Node
	}
	var near, all []string
	for node, p := range m.members.peers {
		if !m.alive(p) {
			continue
		}
		all = append(all, string(node))
		if p.dataCentre == id.DataCentre {
			near = append(near, string(node))
		}
	}
	if !m.members.draining || len(all) == 0 {
		all = append(all, string(m.opts.Node))
		if m.opts.DataCentre == id.DataCentre {
			near = append(near, string(m.opts.Node))
		}
	}
	key := id.Pool + "\x00" + id.DataCentre
	if len(near) > 0 {
		return NodeID(member.Owner(key, near))
	}
	return NodeID(member.Owner(key, all))
}
