// Package member keeps a node's view of which other nodes live, and assigns
// work to them by rendezvous hashing.
//
// The view starts from the platform's lagging list and is corrected by what is
// heard: a node counts only once a message came from it. Each node sends heartbeats to a few watchers; watchers that miss them
// tell the others, and two of them, or one's own evidence, make a suspect. Any
// message from a suspect clears it. There is no agreement: views differ for
// moments, and what is built on them must bear that.
package member

import (
	"slices"
	"time"
)

const (
	// MaxWatchers bounds how many nodes hear a node's heartbeats.
	MaxWatchers = 8
	// disconnectGrace is how long a broken connection may take to come back
	// before the node is passed over.
	disconnectGrace = 250 * time.Millisecond
	// unresponsiveTime is how long a node that left messages unanswered is
	// passed over, unless it is heard.
	unresponsiveTime = 5 * time.Second
	// forgetAfter is how long a silent node is kept that no list names.
	forgetAfter = time.Minute
	// noticesToSuspect is how many watchers must miss a node.
	noticesToSuspect = 2
	// extraWatchTime is how long a node outside the watchers is sent
	// heartbeats after it claimed to miss them.
	extraWatchTime = 10 * time.Second
	// endedKept is how many ended incarnations of a node are remembered.
	endedKept = 8
)

// Node is what the view knows of another node.
type Node struct {
	// Name is the node's name.
	Name string
	// DataCentre is where it runs; empty if no list named it yet.
	DataCentre string
	// Incarnation is that of its last message; zero if none came.
	Incarnation uint64
	// Leaving says that it hands its work over.
	Leaving bool
	// Cores is the processor that it has; zero: not known.
	Cores float64

	ended         []uint64
	hash          uint64
	listed        bool
	listedLeaving bool
	greeted       bool
	heardAt       time.Duration
	// watched says that this node watches it, since watchedFrom.
	watched        bool
	watchedFrom    time.Duration
	noticeSent     bool
	disconnected   bool
	disconnectedAt time.Duration
	silentUntil    time.Duration
	suspected      bool
	suspectedBy    []string
	extraUntil     time.Duration
	alive          bool
}

// Listed is one node of the platform's list.
type Listed struct {
	Name       string
	DataCentre string
	Leaving    bool
	// Cores is the processor that the node has; zero: not known.
	Cores float64
}

// View is the view of the fleet. The node itself is always part of it.
type View struct {
	self       string
	dataCentre string
	timeout    time.Duration
	leaving    bool

	nodes map[string]*Node
	// alive and byCentre hold the nodes that may be given work, with this one
	// unless it is leaving.
	alive    []*Node
	byCentre map[string][]*Node
	// able holds the alive nodes that may own keys: those with at least ablePart of
	// the largest one's processor. byCentre holds only these.
	able []*Node
	own  *Node
	// version counts changes of alive.
	version  uint64
	watchers []*Node
	watching []*Node
	// uneasy holds nodes with evidence that changes as time passes.
	uneasy map[string]*Node
	probe  int
}

// NewView returns a view that knows only the node itself. A watched node is
// missed after timeout.
func NewView(self, dataCentre string, timeout time.Duration) *View {
	v := &View{
		self:       self,
		dataCentre: dataCentre,
		timeout:    timeout,
		nodes:      make(map[string]*Node),
		uneasy:     make(map[string]*Node),
		own:        &Node{Name: self, DataCentre: dataCentre, hash: HashOf(self), alive: true},
	}
	v.rebuild(0)
	return v
}

// Version counts the changes of the nodes that may be given work.
func (v *View) Version() uint64 { return v.version }

// Node returns a known other node, or nil.
func (v *View) Node(name string) *Node { return v.nodes[name] }

// Alive says whether a node may be given work.
func (v *View) Alive(name string) bool {
	if name == v.self {
		return v.own.alive
	}
	n := v.nodes[name]
	return n != nil && n.alive
}

// Reachable says whether messages to a node are likely to arrive.
func (v *View) Reachable(name string) bool {
	n := v.nodes[name]
	return n != nil && n.heardAt > 0 && !n.suspected && !n.disconnected
}

// HeardAt returns when a node was last heard; zero if it never was.
func (v *View) HeardAt(name string) time.Duration {
	if n := v.nodes[name]; n != nil {
		return n.heardAt
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

// Known returns the number of other nodes that are known, live or not.
func (v *View) Known() int { return len(v.nodes) }

// Others returns the number of other nodes that may be given work.
func (v *View) Others() int {
	n := len(v.alive)
	if v.own.alive {
		n--
	}
	return n
}

// Owner returns the node that owns a key. A node of the data centre is
// preferred; give "" to prefer none. The node itself owns everything while it
// sees no other.
func (v *View) Owner(keyHash uint64, dataCentre string) string {
	candidates := v.byCentre[dataCentre]
	if len(candidates) == 0 {
		candidates = v.able
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

// SetLeaving says that this node hands its work over.
func (v *View) SetLeaving(now time.Duration) {
	v.leaving = true
	v.rebuild(now)
}

// node returns the record of a node and makes one if needed.
func (v *View) node(name string) *Node {
	n := v.nodes[name]
	if n == nil {
		n = &Node{Name: name, hash: HashOf(name)}
		v.nodes[name] = n
	}
	return n
}

// update recomputes whether a node may be given work.
func (v *View) update(now time.Duration, n *Node) {
	heard := n.heardAt > 0
	alive := heard && !n.Leaving && !n.listedLeaving && !n.suspected &&
		now >= n.silentUntil && (!n.disconnected || now < n.disconnectedAt+disconnectGrace)
	if !heard || n.disconnected || n.suspected || now < n.silentUntil {
		v.uneasy[n.Name] = n
	} else {
		delete(v.uneasy, n.Name)
	}
	if alive != n.alive {
		n.alive = alive
		v.rebuild(now)
	}
}

// rebuild recomputes what depends on the nodes that may be given work.
func (v *View) rebuild(now time.Duration) {
	v.version++
	v.alive = v.alive[:0]
	v.byCentre = make(map[string][]*Node)
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
	v.able = v.ableOnes()
	for _, n := range v.able {
		if n.DataCentre != "" {
			v.byCentre[n.DataCentre] = append(v.byCentre[n.DataCentre], n)
		}
	}
	v.assignWatchers(now)
}

// ablePart is the part of the largest node's processor that a node needs to own
// keys: scheduling a shard takes a good part of a small one, and what a small node
// does late is late for all.
const ablePart = 0.5

// ableOnes returns the alive nodes that may own keys: all, if none tells its
// processor.
func (v *View) ableOnes() []*Node {
	most := 0.0
	for _, n := range v.alive {
		most = max(most, n.Cores)
	}
	able := make([]*Node, 0, len(v.alive))
	for _, n := range v.alive {
		if n.Cores >= ablePart*most {
			able = append(able, n)
		}
	}
	return able
}

// SetCores says how much processor this node has.
func (v *View) SetCores(now time.Duration, cores float64) {
	v.own.Cores = cores
	v.rebuild(now)
}
