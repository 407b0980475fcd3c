// Package member keeps a node's view of which other nodes are alive, and assigns work to
// them by rendezvous hashing.
//
// The view starts from the platform's list, which lags, and is corrected by messages: a
// node counts only after a message from it arrived. Each node sends heartbeats to a few
// watchers. Watchers that miss them notify the other nodes, and a node is suspected
// after notices from two watchers or on this node's own evidence. Any message from a
// suspected node clears it. There is no consensus: views may differ for short times, and
// whatever relies on them must tolerate that.
package member

import (
	"slices"
	"time"
)

const (
	// MaxWatchers is the largest number of nodes that receive a node's heartbeats.
	MaxWatchers = 8
	// disconnectGrace is how long a broken connection may take to recover before the
	// node gets no more work.
	disconnectGrace = 250 * time.Millisecond
	// unresponsiveTime is how long a node that left messages unanswered gets no work,
	// unless a message from it arrives.
	unresponsiveTime = 5 * time.Second
	// forgetAfter is how long an unresponsive node that is not listed is kept.
	forgetAfter = time.Minute
	// minNoticesToSuspect is how many watchers must miss a node.
	minNoticesToSuspect = 2
	// extraHeartbeatTime is how long heartbeats are sent to a node that is not a watcher
	// after it reported that it missed them.
	extraHeartbeatTime = 10 * time.Second
	// maxEndedIncarnations is how many ended incarnations of a node are remembered.
	maxEndedIncarnations = 8
)

// Node is what the view knows of another node.
type Node struct {
	// Name is the node's name.
	Name string
	// DataCentre is where it runs; empty until a list contains it.
	DataCentre string
	// Incarnation is that of its last message; zero before the first.
	Incarnation uint64
	// Leaving is set while it hands its work over.
	Leaving bool
	// Cores is its number of processor cores; zero if not known.
	Cores float64

	endedIncarnations []uint64
	hash              uint64
	listed            bool
	listedLeaving     bool
	// reportedNew is set once ApplyList has returned it as new.
	reportedNew   bool
	lastMessageAt time.Duration
	// watched is set if this node watches it, since watchedFrom.
	watched              bool
	watchedFrom          time.Duration
	noticeSent           bool
	disconnected         bool
	disconnectedAt       time.Duration
	unresponsiveUntil    time.Duration
	suspected            bool
	suspectedBy          []string
	extraHeartbeatsUntil time.Duration
	alive                bool
}

// Listed is one node of the platform's list.
type Listed struct {
	Name       string
	DataCentre string
	Leaving    bool
	// Cores is the node's number of processor cores; zero if not known.
	Cores float64
}

// View is one node's view of the fleet, which always includes the node itself.
type View struct {
	self       string
	dataCentre string
	timeout    time.Duration
	leaving    bool

	nodes map[string]*Node
	// alive holds the nodes that may get work, sorted by name. It includes this node,
	// unless this node is leaving and another one is alive.
	alive          []*Node
	ownersByCentre map[string][]*Node
	// owners holds the alive nodes that may own keys: those with at least
	// minOwnerCoresRatio of the cores of the largest one. ownersByCentre holds the same
	// nodes by data centre.
	owners []*Node
	own    *Node
	// version counts the changes of alive and owners.
	version  uint64
	watchers []*Node
	watching []*Node
	// recheck holds nodes whose state changes as time passes.
	recheck    map[string]*Node
	probeIndex int
}

// NewView returns a view that knows only the node itself. A watched node counts as
// missed after timeout.
func NewView(self, dataCentre string, timeout time.Duration) *View {
	v := &View{
		self:       self,
		dataCentre: dataCentre,
		timeout:    timeout,
		nodes:      make(map[string]*Node),
		recheck:    make(map[string]*Node),
		own:        &Node{Name: self, DataCentre: dataCentre, hash: HashOf(self), alive: true},
	}
	v.rebuild(0)
	return v
}

// Version counts the changes of the nodes that may get work.
func (v *View) Version() uint64 { return v.version }

// Node returns a known other node, or nil.
func (v *View) Node(name string) *Node { return v.nodes[name] }

// Alive reports whether a node may get work.
func (v *View) Alive(name string) bool {
	if name == v.self {
		return v.own.alive
	}
	n := v.nodes[name]
	return n != nil && n.alive
}

// Reachable reports whether messages to a node are likely to arrive.
func (v *View) Reachable(name string) bool {
	n := v.nodes[name]
	return n != nil && n.lastMessageAt > 0 && !n.suspected && !n.disconnected
}

// LastMessageAt returns when the last message from a node arrived; zero if none did.
func (v *View) LastMessageAt(name string) time.Duration {
	if n := v.nodes[name]; n != nil {
		return n.lastMessageAt
	}
	return 0
}

// Nodes returns the other nodes in order of name.
func (v *View) Nodes() []*Node {
	nodes := make([]*Node, 0, len(v.nodes))
	for _, n := range v.nodes {
		nodes = append(nodes, n)
	}
	slices.SortFunc(nodes, byName)
	return nodes
}

func byName(a, b *Node) int {
	if a.Name < b.Name {
		return -1
	}
	if a.Name > b.Name {
		return 1
	}
	return 0
}

// Known returns the number of other nodes that are known, alive or not.
func (v *View) Known() int { return len(v.nodes) }

// AliveOthers returns the number of other nodes that may get work.
func (v *View) AliveOthers() int {
	n := len(v.alive)
	if v.own.alive {
		n--
	}
	return n
}

// Owner returns the node that owns a key. Nodes of the given data centre are preferred;
// "" means no preference. The node itself owns every key while no other is alive.
func (v *View) Owner(keyHash uint64, dataCentre string) string {
	candidates := v.ownersByCentre[dataCentre]
	if len(candidates) == 0 {
		candidates = v.owners
	}
	best := v.own
	var bestScore uint64
	for i, n := range candidates {
		score := Score(n.hash, keyHash)
		if i == 0 || score > bestScore || (score == bestScore && n.Name < best.Name) {
			best, bestScore = n, score
		}
	}
	return best.Name
}

// SetLeaving records that this node hands its work over.
func (v *View) SetLeaving(now time.Duration) {
	v.leaving = true
	v.rebuild(now)
}

// node returns the record of a node, and creates it if needed.
func (v *View) node(name string) *Node {
	n := v.nodes[name]
	if n == nil {
		n = &Node{Name: name, hash: HashOf(name)}
		v.nodes[name] = n
	}
	return n
}

// update recomputes whether a node may get work.
func (v *View) update(now time.Duration, n *Node) {
	received := n.lastMessageAt > 0
	alive := received && !n.Leaving && !n.listedLeaving && !n.suspected &&
		now >= n.unresponsiveUntil && (!n.disconnected || now < n.disconnectedAt+disconnectGrace)
	if !received || n.disconnected || n.suspected || now < n.unresponsiveUntil {
		v.recheck[n.Name] = n
	} else {
		delete(v.recheck, n.Name)
	}
	if alive != n.alive {
		n.alive = alive
		v.rebuild(now)
	}
}

// rebuild recomputes everything that depends on the nodes that may get work.
func (v *View) rebuild(now time.Duration) {
	v.version++
	v.alive = v.alive[:0]
	v.ownersByCentre = make(map[string][]*Node)
	for _, n := range v.nodes {
		if n.alive {
			v.alive = append(v.alive, n)
		}
	}
	v.own.alive = !v.leaving || len(v.alive) == 0
	if v.own.alive {
		v.alive = append(v.alive, v.own)
	}
	slices.SortFunc(v.alive, byName)
	v.owners = v.eligibleOwners()
	for _, n := range v.owners {
		if n.DataCentre != "" {
			v.ownersByCentre[n.DataCentre] = append(v.ownersByCentre[n.DataCentre], n)
		}
	}
	v.assignWatchers(now)
}

// minOwnerCoresRatio is the fraction of the largest node's cores that a node needs to
// own keys. Scheduling a shard takes a large part of a small node's processor, and
// delays there affect all nodes.
const minOwnerCoresRatio = 0.5

// eligibleOwners returns the alive nodes that may own keys: all of them if no number of
// cores is known.
func (v *View) eligibleOwners() []*Node {
	maxCores := 0.0
	for _, n := range v.alive {
		maxCores = max(maxCores, n.Cores)
	}
	owners := make([]*Node, 0, len(v.alive))
	for _, n := range v.alive {
		if n.Cores >= minOwnerCoresRatio*maxCores {
			owners = append(owners, n)
		}
	}
	return owners
}

// SetCores sets this node's number of processor cores.
func (v *View) SetCores(now time.Duration, cores float64) {
	v.own.Cores = cores
	v.rebuild(now)
}
