package control

import (
	"slices"
	"time"

	"github.com/walnutcove/walnutcove/control/member"
)

const (
	// probesPerHeartbeat is the number of nodes believed dead to which each heartbeat is
	// sent.
	probesPerHeartbeat = 2
	// heartbeatCheckInterval is the period of checking for missed heartbeats.
	heartbeatCheckInterval = 100 * time.Millisecond
)

// fleet is the state of the other nodes beyond member.View.
type fleet struct {
	nextHeartbeatAt      Instant
	nextHeartbeatCheckAt Instant
	// epochs holds the incarnation in each node's last heartbeat.
	epochs map[NodeID]Incarnation
	// assignedVersion is the version of the view by which the shards were last assigned.
	assignedVersion uint64
	// owners caches the schedulers of shards for one version of the view.
	owners map[ShardID]NodeID
	feeds  feeds
	// answered holds the nodes that were sent a heartbeat as they were behind, for one
	// heartbeat period.
	answered expiringSet
}

func newFleet() fleet {
	return fleet{epochs: make(map[NodeID]Incarnation), owners: make(map[ShardID]NodeID), feeds: newFeeds(), answered: newExpiringSet()}
}

// acceptSender records that a message was received from a node. It returns false if the
// message is of an incarnation that has ended.
func (m *Machine) acceptSender(node NodeID, inc Incarnation) bool {
	change := m.view.MessageReceived(m.now, string(node), uint64(inc))
	if change == member.SenderRestarted {
		m.dropRestarted(node, inc)
		m.reclaimNode(node, inc)
		m.exchange.totals.Forget(string(node), uint64(inc))
		m.resendTo(node)
		m.affinityHolderRestarted(node)
	}
	if change == member.SenderRestarted || change == member.SenderBack {
		m.send(node, m.heartbeat())
		if m.view.Watches(string(node)) {
			m.sendEvidence(node)
			m.sendPartEvidence(node)
		}
	}
	return change != member.SenderStale
}

func (m *Machine) heartbeat() Heartbeat {
	msg := m.status()
	msg.WithoutState = false
	if m.topo != nil {
		msg.ConfigVersion = uint64(m.topo.order.Version)
		msg.ConfigRevision = m.topo.order.Config
		msg.TargetsRevision = m.topo.order.Targets
	}
	return msg
}

// status returns a heartbeat without state. It is for messages that may go to all nodes at
// once: a version that all of them learned of from one node would be fetched from it by all.
func (m *Machine) status() Heartbeat {
	return Heartbeat{Incarnation: m.epoch, Leaving: m.draining, Follows: m.fleet.feeds.following, WithoutState: true}
}

func (m *Machine) heartbeatReceived(from NodeID, msg Heartbeat) {
	m.counters.HeartbeatsReceived++
	m.view.HeartbeatReceived(m.now, string(from), msg.Leaving)
	if old, known := m.fleet.epochs[from]; known && old != msg.Incarnation {
		m.resendTo(from)
	}
	m.fleet.epochs[from] = msg.Incarnation
	m.followerReported(from, msg.Follows, msg.Leaving)
	if msg.WithoutState {
		return
	}
	if msg.ConfigVersion > 0 && m.hasNewerState(msg) {
		m.emit(VersionSeen{From: from, Version: msg.ConfigVersion, ConfigRevision: msg.ConfigRevision, TargetsRevision: msg.TargetsRevision})
	}
	m.answerIfBehind(from, msg)
}

// answerIfBehind sends a heartbeat to a node that announces an older state than this node
// has. The node may be no other node's watcher, in which case nobody announces a newer state
// to it. At most one answer per heartbeat period bounds the exchange between two nodes that
// each have something newer.
func (m *Machine) answerIfBehind(node NodeID, msg Heartbeat) {
	if m.topo == nil || !m.topo.hasNewerState(msg) || m.fleet.answered.has(m.now, node) {
		return
	}
	m.fleet.answered.add(m.now, node, m.opts.HeartbeatEvery)
	m.counters.HeartbeatsAnswered++
	m.send(node, m.heartbeat())
}

// hasNewerState reports whether this configuration, or its listing of targets, is newer than
// the one that a heartbeat announces.
func (t *topology) hasNewerState(msg Heartbeat) bool {
	version := uint64(t.order.Version)
	rewritten := version == msg.ConfigVersion && t.order.Config > msg.ConfigRevision
	return version > msg.ConfigVersion || rewritten || t.order.Targets > msg.TargetsRevision
}

// hasNewerState reports whether a heartbeat announces a newer configuration, or a newer
// listing of targets, than this node has.
func (m *Machine) hasNewerState(msg Heartbeat) bool {
	if m.topo == nil {
		return true
	}
	own := m.topo.order
	rewritten := msg.ConfigVersion == uint64(own.Version) && msg.ConfigRevision > own.Config
	return msg.ConfigVersion > uint64(own.Version) || rewritten || msg.TargetsRevision > own.Targets
}

func (m *Machine) suspectNoticeReceived(from NodeID, msg SuspectNotice) {
	if msg.Node == m.opts.Node {
		m.view.MissedBy(m.now, string(from))
		m.broadcast(m.status())
		return
	}
	m.view.Suspected(m.now, string(msg.Node), string(from), uint64(msg.Incarnation))
}

func (m *Machine) peerStateChanged(ev PeerState) {
	if ev.Node == m.opts.Node {
		return
	}
	m.view.Connected(m.now, string(ev.Node), ev.Connected)
	if ev.Connected {
		m.send(ev.Node, m.status())
		m.resendTo(ev.Node)
	}
}

func (m *Machine) membersListed(ev MembersListed) {
	listed := make([]member.Listed, 0, len(ev.Members))
	for _, l := range ev.Members {
		listed = append(listed, member.Listed{Name: string(l.Node), DataCentre: l.DataCentre, Leaving: l.Leaving, Cores: l.Cores})
	}
	for _, name := range m.view.ApplyList(m.now, listed) {
		m.send(NodeID(name), m.heartbeat())
	}
}

// broadcast sends a message to every known node. Use it for rare messages only.
func (m *Machine) broadcast(msg Message) {
	for _, n := range m.view.Nodes() {
		m.send(NodeID(n.Name), msg)
	}
}

// sendHeartbeats sends a heartbeat to the nodes that watch this one.
func (m *Machine) sendHeartbeats() {
	m.fleet.nextHeartbeatAt = m.now + m.opts.HeartbeatEvery
	for _, name := range m.view.Watchers(m.now, probesPerHeartbeat) {
		m.send(NodeID(name), m.heartbeat())
	}
}

func (m *Machine) fleetTick() {
	if m.now >= m.fleet.nextHeartbeatAt {
		m.sendHeartbeats()
	}
	if m.now < m.fleet.nextHeartbeatCheckAt {
		return
	}
	m.fleet.nextHeartbeatCheckAt = m.now + heartbeatCheckInterval
	for _, missed := range m.view.Tick(m.now) {
		m.counters.NodesSuspected++
		m.broadcast(SuspectNotice{Node: NodeID(missed.Name), Incarnation: Incarnation(missed.Incarnation)})
	}
}

// owner returns the scheduler of a shard: a member in the shard's data centre if there is
// one.
func (m *Machine) owner(id ShardID) NodeID {
	if m.opts.Policy == PolicyAlone {
		return m.opts.Node
	}
	if owner, ok := m.fleet.owners[id]; ok {
		return owner
	}
	owner := NodeID(m.view.Owner(shardHash(id), id.DataCentre))
	m.fleet.owners[id] = owner
	return owner
}

// applyViewChange reassigns the shards when the view has changed.
func (m *Machine) applyViewChange() {
	for m.fleet.assignedVersion != m.view.Version() {
		m.fleet.assignedVersion = m.view.Version()
		clear(m.fleet.owners)
		m.fleet.feeds.roleStale = true
		m.rankAffinityHolders()
		m.reassignShards()
		m.updateColdLimits()
		m.dropUnreachable()
		m.resendMoved()
		m.handleLoopback()
	}
}

// drainStarted hands the shards over and stops accepting new requests.
func (m *Machine) drainStarted() {
	if m.draining {
		return
	}
	m.draining = true
	m.view.SetLeaving(m.now)
	m.broadcast(m.status())
	m.rankAffinityHolders()
	m.copyAffinities()
	if !m.mayScheduleHere() {
		m.dropShards()
	}
}

// checkDrained reports, once, that nothing is left here.
func (m *Machine) checkDrained() {
	if !m.draining || m.drained || !m.entry.isEmpty() {
		return
	}
	m.drained = true
	m.emit(Drained{})
}

// resumeAfterPause runs when the machine was paused for longer than other nodes wait for
// it. Another scheduler may have taken over its shards, so it starts again as a scheduler,
// and sends its tickets and reports again as an entry.
func (m *Machine) resumeAfterPause() {
	m.counters.Thaws++
	m.epoch = Incarnation(m.rng.Uint64() | 1)
	m.dropShards()
	m.view.Resumed(m.now)
	m.fleet.assignedVersion = 0
	m.fleet.nextHeartbeatAt = 0
	m.broadcast(m.status())
	m.resendAll()
}

// sortedKeys returns the keys of a map in sorted order.
func sortedKeys[K ~string, V any](from map[K]V) []K {
	keys := make([]K, 0, len(from))
	for k := range from {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
