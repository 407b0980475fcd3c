package control

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/walnutcove/walnutcove/config"
)

// sim runs several machines in simulated time. They exchange messages over a network that
// may delay, lose and duplicate them, and dispatch requests to simulated targets.
type sim struct {
	now    Instant
	events simEvents
	seq    uint64
	rng    *rand.Rand
	// networkRNG draws what happens to messages, apart from rng, so that the load does not
	// depend on their number.
	networkRNG *rand.Rand
	nodes      map[NodeID]*simNode
	names      []NodeID
	targets    map[string]*simTarget
	// loss and duplication are the probabilities that a message is lost or duplicated. If
	// both are zero, every message takes delay; otherwise a random time of up to 20 times
	// delay.
	delay             time.Duration
	loss, duplication float64
	// linkDown reports whether messages between two nodes are dropped.
	linkDown func(from, to NodeID) bool
	// service returns how long a request runs at its target.
	service func(*simRequest) time.Duration
	// loadEvery is the period of load polls.
	loadEvery time.Duration
	requests  []*simRequest
	// onStart is called when a run starts at its target.
	onStart func(*simRun)
	// onEnd is called when a request has ended.
	onEnd func(*simRequest)
	// onFound is called with each AffinityFound command.
	onFound func(AffinityFound)
	// onSend is called with each message that a node sends.
	onSend func(Message)
	// onVersionSeen is called when a node learns that another one has a newer version.
	onVersionSeen func(n *simNode, from NodeID)
	// violations lists the violated invariants.
	violations []string
}

// simEvent is a function to be called at a time.
type simEvent struct {
	at  Instant
	seq uint64
	run func()
}

// simEvents is a heap of events by time; events with the same time keep their order.
type simEvents []simEvent

func (h simEvents) Len() int { return len(h) }
func (h simEvents) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h simEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *simEvents) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *simEvents) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// simNode is a router of the simulated fleet.
type simNode struct {
	id             NodeID
	dataCentre     string
	machine        *Machine
	inc            Incarnation
	up, paused     bool
	watchedTargets []string
	drained        bool
	// pendingSteps holds the events that arrived while the node was paused.
	pendingSteps []func()
	// platformDown reports that the platform does not answer this node, and follows that the
	// node follows the platform's feeds.
	platformDown, follows bool
	feedRole              FeedRole
	// feedRechecks counts the RecheckFeeds commands.
	feedRechecks int
	startedAt    Instant // when its process, and with it its clock, started
}

// simTarget runs up to slots requests at once, in the order of arrival.
type simTarget struct {
	name    string
	slots   int
	up      bool
	leaving bool
	running []*simRun
	queue   []*simRun
	// alterLoad, if set, falsifies the load reports.
	alterLoad     func(TargetLoad) TargetLoad
	busyTime      time.Duration
	busyUpdatedAt Instant
	// maxHeld is the maximum number of requests, running or queued, that it held at once.
	maxHeld int
}

// simRequest is a request and what became of it.
type simRequest struct {
	id         RequestID
	node       NodeID
	inc        Incarnation
	workspace  string
	arrivedAt  Instant
	dispatches int
	runs       int
	done       bool
	outcome    string
	grantedAt  Instant
	endedAt    Instant
	slotTime   time.Duration
	cost       time.Duration
}

// simRun is one run of a request at a target.
type simRun struct {
	req     *simRequest
	grant   GrantID
	node    *simNode
	inc     Incarnation
	target  *simTarget
	started Instant
	// removed reports that the run was aborted, so that it does not end by itself.
	removed bool
}

func newSim(seed uint64) *sim {
	return &sim{
		rng:           rand.New(rand.NewPCG(seed, 1)),
		networkRNG:    rand.New(rand.NewPCG(seed, 2)),
		nodes:         make(map[NodeID]*simNode),
		targets:       make(map[string]*simTarget),
		delay:         time.Millisecond,
		linkDown:      func(NodeID, NodeID) bool { return false },
		service:       func(*simRequest) time.Duration { return time.Second },
		onEnd:         func(*simRequest) {},
		onStart:       func(*simRun) {},
		onFound:       func(AffinityFound) {},
		onVersionSeen: func(*simNode, NodeID) {},
		onSend:        func(Message) {},
		loadEvery:     200 * time.Millisecond,
	}
}

func (s *sim) at(at Instant, run func()) {
	s.seq++
	heap.Push(&s.events, simEvent{max(at, s.now), s.seq, run})
}

func (s *sim) after(d time.Duration, run func()) { s.at(s.now+d, run) }

// runUntil handles all events up to a time.
func (s *sim) runUntil(end Instant) {
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.run()
	}
	s.now = end
}

// startFleet starts nodes n0, n1, ... spread over the data centres. The platform lists all
// of them.
func (s *sim) startFleet(count int, snapshot *config.Snapshot, opts Options, dataCentres ...string) {
	var members []Member
	for i := range count {
		id := NodeID(fmt.Sprintf("n%d", i))
		n := &simNode{id: id, dataCentre: dataCentres[i%len(dataCentres)]}
		s.nodes[id] = n
		s.names = append(s.names, id)
		members = append(members, Member{Node: id, DataCentre: n.dataCentre})
	}
	for name, t := range snapshot.Declarations.Targets {
		s.targets[name] = &simTarget{name: name, slots: t.Slots, up: true}
	}
	for _, id := range s.names {
		s.startNode(id, snapshot, members, opts)
	}
}

// startNode starts or restarts the process of a node.
func (s *sim) startNode(id NodeID, snapshot *config.Snapshot, members []Member, opts Options) {
	n := s.nodes[id]
	n.inc = Incarnation(s.rng.Uint64() | 1)
	n.startedAt = s.now
	n.up, n.paused, n.drained = true, false, false
	opts.Node, opts.Incarnation, opts.DataCentre, opts.Seed = id, n.inc, n.dataCentre, s.rng.Uint64()
	n.machine = New(opts)
	inc := n.inc
	s.step(n, MembersListed{Members: members})
	s.step(n, ConfigChanged{Snapshot: snapshot})
	s.every(n, inc, 20*time.Millisecond, func() { s.step(n, Tick{}) })
	s.every(n, inc, s.loadEvery, func() { s.poll(n) })
}

// every calls a function periodically until the node's process ends; not while it is paused.
func (s *sim) every(n *simNode, inc Incarnation, period time.Duration, run func()) {
	if !n.up || n.inc != inc {
		return
	}
	if !n.paused {
		run()
	}
	s.after(period, func() { s.every(n, inc, period, run) })
}

// stopNode ends a node's process and aborts its runs.
func (s *sim) stopNode(id NodeID) {
	n := s.nodes[id]
	n.up = false
	for _, t := range s.targets {
		for _, r := range append(append([]*simRun(nil), t.running...), t.queue...) {
			if r.node == n {
				r.removed = true
				s.removeRun(t, r)
			}
		}
	}
}

// pauseNode suspends a node's process: events for it are held until resumeNode.
func (s *sim) pauseNode(id NodeID) { s.nodes[id].paused = true }

func (s *sim) resumeNode(id NodeID) {
	n := s.nodes[id]
	n.paused = false
	pending := n.pendingSteps
	n.pendingSteps = nil
	for _, f := range pending {
		f()
	}
}

// step passes an event to a node's machine and carries out the resulting commands.
func (s *sim) step(n *simNode, ev Event) {
	if !n.up {
		return
	}
	if n.paused {
		inc := n.inc
		n.pendingSteps = append(n.pendingSteps, func() {
			if n.inc == inc {
				s.step(n, ev)
			}
		})
		return
	}
	for _, cmd := range n.machine.Step(s.now-n.startedAt, ev) {
		s.carryOut(n, cmd)
	}
}

func (s *sim) carryOut(n *simNode, cmd Command) {
	switch c := cmd.(type) {
	case Send:
		s.send(n, c)
	case Dispatch:
		s.dispatch(n, c)
	case FeedRole:
		s.applyFeedRole(n, c)
	case VersionSeen:
		s.onVersionSeen(n, c.From)
	case AffinityFound:
		s.onFound(c)
	case RecheckFeeds:
		n.feedRechecks++
	case Refuse:
		if r := s.findRequest(n, c.Request); r != nil {
			s.finishRequest(r, fmt.Sprintf("refused %d", c.Code))
		}
	case WatchTargets:
		n.watchedTargets = c.Targets
	case Drained:
		n.drained = true
	}
}

func (s *sim) send(n *simNode, c Send) {
	s.onSend(c.Message)
	copies := 1
	if s.networkRNG.Float64() < s.duplication {
		copies = 2
	}
	inc := n.inc
	for range copies {
		if s.networkRNG.Float64() < s.loss {
			continue
		}
		delay := s.delay
		if s.loss > 0 || s.duplication > 0 {
			delay = time.Duration(s.networkRNG.Int64N(int64(20*s.delay) + 1)) // may overtake other messages
		}
		s.after(delay, func() {
			to := s.nodes[c.To]
			if to == nil || s.linkDown(n.id, c.To) {
				return
			}
			s.step(to, MessageReceived{From: n.id, Incarnation: inc, Message: c.Message})
		})
	}
}

// arrive delivers a new request to a node.
func (s *sim) arrive(node NodeID, workspace, pool string, timeout time.Duration, changes ...func(*RequestArrived)) *simRequest {
	n := s.nodes[node]
	r := &simRequest{id: RequestID(len(s.requests) + 1), node: node, inc: n.inc, workspace: workspace, arrivedAt: s.now}
	s.requests = append(s.requests, r)
	ev := RequestArrived{Request: r.id, Attempt: 1, Workspace: workspace, Pool: pool, Deadline: s.now - n.startedAt + timeout}
	for _, f := range changes {
		f(&ev)
	}
	s.step(n, ev)
	return r
}

// findRequest returns a request of the node's current process, or nil.
func (s *sim) findRequest(n *simNode, id RequestID) *simRequest {
	r := s.requests[id-1]
	if r.node != n.id || r.inc != n.inc {
		return nil
	}
	return r
}

// fleetSpec describes the workspaces and targets of a test configuration with one pool,
// "draft".
type fleetSpec struct {
	workspaces           map[string]float64 // shares
	targetsPerDataCentre int                // targets of pool "draft" in each data centre
	slots                int
	dataCentres          []string
}

func (w fleetSpec) snapshot() *config.Snapshot {
	d := config.Declarations{
		Workspaces: make(map[string]config.Workspace),
		Pools:      map[string]config.Pool{"draft": {Kind: config.KindEngine}},
		Targets:    make(map[string]config.Target),
	}
	for name, share := range w.workspaces {
		d.Workspaces[name] = config.Workspace{Share: share, Pools: []string{"draft"}, MaxQueued: 1 << 20}
	}
	for _, centre := range w.dataCentres {
		for i := range w.targetsPerDataCentre {
			d.Targets[fmt.Sprintf("%s-%d", centre, i)] = config.Target{Pool: "draft", DataCentre: centre, Slots: w.slots}
		}
	}
	return &config.Snapshot{Version: 1, Declarations: d}
}
