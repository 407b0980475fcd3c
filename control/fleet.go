package control

import (
	"slices"
	"time"

	"github.com/walnutcove/walnutcove/control/member"
)

const (
	// probesPerBeat is how many nodes thought dead are sent each heartbeat.
	probesPerBeat = 2
	// watchEvery is the period of looking for missed heartbeats.
	watchEvery = 100 * time.Millisecond
)

// fleet is what the machine keeps of the other nodes beside member.View.
type fleet struct {
	nextBeat  Instant
	nextWatch Instant
	// epochs holds the incarnation in each node's last heartbeat.
	epochs map[NodeID]Incarnation
	// version is the view that the shards were last assigned by.
	version uint64
	// owners caches the schedulers of shards for one version of the view.
	owners map[ShardID]NodeID
	feeds  feeds
}

func newFleet() fleet {
	return fleet{epochs: make(map[NodeID]Incarnation), owners: make(map[ShardID]NodeID), feeds: newFeeds()}
}

// heard takes in that a message came from a node. It returns false if the
// message is of an incarnation that ended.
func (m *Machine) heard(node NodeID, inc Incarnation) bool {
	sign := m.view.Heard(m.now, string(node), uint64(inc))
	if sign == member.SignRestarted {
		m.dropRestarted(node, inc)
		m.reclaimNode(node, inc)
		m.books.totals.Forget(string(node), uint64(inc))
		m.resendTo(node)
	}
	if sign == member.SignRestarted || sign == member.SignBack {
		m.send(node, m.heartbeat())
		if m.view.Watches(string(node)) {
			m.tellEvidence(node)
		}
	}
	return sign != member.SignStale
}

func (m *Machine) heartbeat() Heartbeat {
	beat := Heartbeat{Incarnation: m.epoch, Leaving: m.draining, Follows: m.fleet.feeds.live}
	if m.topo != nil {
		beat.ConfigVersion = uint64(m.topo.order.Version)
		beat.ConfigRevision = m.topo.order.Config
		beat.TargetsRevision = m.topo.order.Targets
	}
	return beat
}

func (m *Machine) heartbeatReceived(from NodeID, msg Heartbeat) {
	m.view.Beat(m.now, string(from), msg.Leaving)
	if old, known := m.fleet.epochs[from]; known && old != msg.Incarnation {
		m.resendTo(from)
	}
	m.fleet.epochs[from] = msg.Incarnation
	m.followsSaid(from, msg.Follows, msg.Leaving)
	if msg.ConfigVersion > 0 && m.isNews(msg) {
		m.emit(VersionSeen{From: from, Version: msg.ConfigVersion, TargetsRevision: msg.TargetsRevision})
	}
}

// isNews says whether a node has a newer configuration, or a newer listing of
// targets, than this one.
func (m *Machine) isNews(beat Heartbeat) bool {
	if m.topo == nil {
		return true
	}
	own := m.topo.order
	writtenAgain := beat.ConfigVersion == uint64(own.Version) && beat.ConfigRevision > own.Config
	return beat.ConfigVersion > uint64(own.Version) || writtenAgain || beat.TargetsRevision > own.Targets
}

func (m *Machine) suspectReceived(from NodeID, msg SuspectNotice) {
	if msg.Node == m.opts.Node {
		m.view.Missed(m.now, string(from))
		m.broadcast(m.heartbeat())
		return
	}
	m.view.Suspected(m.now, string(msg.Node), string(from), uint64(msg.Incarnation))
}

func (m *Machine) peerState(ev PeerState) {
	if ev.Node == m.opts.Node {
		return
	}
	m.view.Connected(m.now, string(ev.Node), ev.Connected)
	if ev.Connected {
		m.send(ev.Node, m.heartbeat())
		m.resendTo(ev.Node)
	}
}

func (m *Machine) membersListed(ev MembersListed) {
	listed := make([]member.Listed, 0, len(ev.Members))
	for _, l := range ev.Members {
		listed = append(listed, member.Listed{Name: string(l.Node), DataCentre: l.DataCentre, Leaving: l.Leaving, Cores: l.Cores})
	}
	for _, name := range m.view.List(m.now, listed) {
		m.send(NodeID(name), m.heartbeat())
	}
}

// broadcast sends a message to every known node. It is for rare news.
func (m *Machine) broadcast(msg Message) {
	for _, n := range m.view.Nodes() {
		m.send(NodeID(n.Name), msg)
	}
}

// beatNow sends a heartbeat to those who watch this node.
func (m *Machine) beatNow() {
	m.fleet.nextBeat = m.now + m.opts.HeartbeatEvery
	for _, name := range m.view.Watchers(m.now, probesPerBeat) {
		m.send(NodeID(name), m.heartbeat())
	}
}

func (m *Machine) fleetTick() {
	if m.now >= m.fleet.nextBeat {
		m.beatNow()
	}
	if m.now < m.fleet.nextWatch {
		return
	}
	m.fleet.nextWatch = m.now + watchEvery
	for _, missed := range m.view.Tick(m.now) {
		m.counters.NodesSuspected++
		m.broadcast(SuspectNotice{Node: NodeID(missed.Name), Incarnation: Incarnation(missed.Incarnation)})
	}
}

// owner returns the scheduler of a shard: a member in the shard's data centre
// if there is one.
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

// followView reassigns the shards when the view has changed.
func (m *Machine) followView() {
	for m.fleet.version != m.view.Version() {
		m.fleet.version = m.view.Version()
		clear(m.fleet.owners)
		m.fleet.feeds.stale = true
		m.reassign()
		m.updateColdLimits()
		m.dropLost()
		m.resendMoved()
		m.drainLoop()
	}
}

// drainStarted hands the shards over and takes no new request.
func (m *Machine) drainStarted() {
	if m.draining {
		return
	}
	m.draining = true
	m.view.SetLeaving(m.now)
	m.broadcast(m.heartbeat())
	if !m.mayScheduleHere() {
		m.dropShards()
	}
}

// checkDrained tells once that nothing is left here.
func (m *Machine) checkDrained() {
	if !m.draining || m.drained || !m.entry.empty() {
		return
	}
	m.drained = true
	m.emit(Drained{})
}

// thaw is called when the machine stood still for longer than others wait for
// it: another scheduler may have taken its shards over, so it starts anew as a
// scheduler and sends again as an entry.
func (m *Machine) thaw() {
	m.counters.Thaws++
	m.epoch = Incarnation(m.rng.Uint64() | 1)
	m.dropShards()
	m.view.Thawed(m.now)
	m.fleet.version = 0
	m.fleet.nextBeat = 0
	m.broadcast(m.heartbeat())
	m.resendAll()
}

// sortedKeys returns the keys of a map in order.
func sortedKeys[K ~string, V any](in map[K]V) []K {
	keys := make([]K, 0, len(in))
	for k := range in {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
