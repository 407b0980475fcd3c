package control

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/walnutcove/walnutcove/config"
)

// sim drives several machines in simulated time, over a network that delays,
// loses and doubles messages, before targets that run what is dispatched.
type sim struct {
	now     Instant
	events  simEvents
	seq     uint64
	rng     *rand.Rand
	nodes   map[NodeID]*simNode
	names   []NodeID
	targets map[string]*simTarget
	// delay, loss and doubling describe the network; cut says which links fail.
	delay          time.Duration
	loss, doubling float64
	cut            func(from, to NodeID) bool
	service        func(*simRequest) time.Duration
	loadEvery      time.Duration
	requests       []*simRequest
	// ended is called at the end of a request.
	ended  func(*simRequest)
	faults []string
}

type simEvent struct {
	at  Instant
	seq uint64
	run func()
}

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

type simNode struct {
	id         NodeID
	dataCentre string
	machine    *Machine
	inc        Incarnation
	up, frozen bool
	watched    []string
	drained    bool
	held       []func()
	// cut says that the platform does not answer this node; follows, that it follows
	// the platform's feeds.
	cut, follows bool
	turn         FeedRole
	// doubts counts RecheckFeeds.
	doubts int
	offset Instant // the node's own clock started at this time
}

type simTarget struct {
	name    string
	slots   int
	up      bool
	leaving bool
	running []*simRun
	queue   []*simRun
	// report, if set, replaces the load report.
	report     func(TargetLoad) TargetLoad
	busy       time.Duration
	changedAt  Instant
	mostActive int
}

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
	served     time.Duration
	cost       time.Duration
}

type simRun struct {
	req     *simRequest
	grant   GrantID
	node    *simNode
	inc     Incarnation
	target  *simTarget
	started Instant
	gone    bool
}

func newSim(seed uint64) *sim {
	return &sim{
		rng:       rand.New(rand.NewPCG(seed, 1)),
		nodes:     make(map[NodeID]*simNode),
		targets:   make(map[string]*simTarget),
		delay:     time.Millisecond,
		cut:       func(NodeID, NodeID) bool { return false },
		service:   func(*simRequest) time.Duration { return time.Second },
		ended:     func(*simRequest) {},
		loadEvery: 200 * time.Millisecond,
	}
}

func (s *sim) at(at Instant, run func()) {
	s.seq++
	heap.Push(&s.events, simEvent{max(at, s.now), s.seq, run})
}

func (s *sim) after(d time.Duration, run func()) { s.at(s.now+d, run) }

// runUntil lets time pass.
func (s *sim) runUntil(end Instant) {
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.run()
	}
	s.now = end
}

// fleet starts nodes n0, n1, ... spread over the data centres, all listed.
func (s *sim) fleet(count int, snapshot *config.Snapshot, opts Options, centres ...string) {
	var members []Member
	for i := range count {
		id := NodeID(fmt.Sprintf("n%d", i))
		n := &simNode{id: id, dataCentre: centres[i%len(centres)]}
		s.nodes[id] = n
		s.names = append(s.names, id)
		members = append(members, Member{Node: id, DataCentre: n.dataCentre})
	}
	for name, t := range snapshot.Declarations.Targets {
		s.targets[name] = &simTarget{name: name, slots: t.Slots, up: true}
	}
	for _, id := range s.names {
		s.start(id, snapshot, members, opts)
	}
}

// start starts a node's process, anew if it ran before.
func (s *sim) start(id NodeID, snapshot *config.Snapshot, members []Member, opts Options) {
	n := s.nodes[id]
	n.inc = Incarnation(s.rng.Uint64() | 1)
	n.offset = s.now
	n.up, n.frozen, n.drained = true, false, false
	opts.Node, opts.Incarnation, opts.DataCentre, opts.Seed = id, n.inc, n.dataCentre, s.rng.Uint64()
	n.machine = New(opts)
	inc := n.inc
	s.step(n, MembersListed{Members: members})
	s.step(n, ConfigChanged{Snapshot: snapshot})
	s.every(n, inc, 20*time.Millisecond, func() { s.step(n, Tick{}) })
	s.every(n, inc, s.loadEvery, func() { s.poll(n) })
}

func (s *sim) every(n *simNode, inc Incarnation, period time.Duration, run func()) {
	if !n.up || n.inc != inc {
		return
	}
	if !n.frozen {
		run()
	}
	s.after(period, func() { s.every(n, inc, period, run) })
}

// stop ends a node's process; its runs are cut.
func (s *sim) stop(id NodeID) {
	n := s.nodes[id]
	n.up = false
	for _, t := range s.targets {
		for _, r := range append(append([]*simRun(nil), t.running...), t.queue...) {
			if r.node == n {
				r.gone = true
				s.leave(t, r)
			}
		}
	}
}

func (s *sim) freeze(id NodeID) { s.nodes[id].frozen = true }

func (s *sim) unfreeze(id NodeID) {
	n := s.nodes[id]
	n.frozen = false
	held := n.held
	n.held = nil
	for _, f := range held {
		f()
	}
}

func (s *sim) step(n *simNode, ev Event) {
	if !n.up {
		return
	}
	if n.frozen {
		inc := n.inc
		n.held = append(n.held, func() {
			if n.inc == inc {
				s.step(n, ev)
			}
		})
		return
	}
	for _, cmd := range n.machine.Step(s.now-n.offset, ev) {
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
		s.takeTurn(n, c)
	case RecheckFeeds:
		n.doubts++
	case Refuse:
		if r := s.find(n, c.Request); r != nil {
			s.finish(r, fmt.Sprintf("refused %d", c.Code))
		}
	case WatchTargets:
		n.watched = c.Targets
	case Drained:
		n.drained = true
	}
}

func (s *sim) send(n *simNode, c Send) {
	copies := 1
	if s.rng.Float64() < s.doubling {
		copies = 2
	}
	inc := n.inc
	for range copies {
		if s.rng.Float64() < s.loss {
			continue
		}
		delay := s.delay
		if s.loss > 0 || s.doubling > 0 {
			delay = time.Duration(s.rng.Int64N(int64(20*s.delay) + 1)) // crosses others
		}
		s.after(delay, func() {
			to := s.nodes[c.To]
			if to == nil || s.cut(n.id, c.To) {
				return
			}
			s.step(to, MessageReceived{From: n.id, Incarnation: inc, Message: c.Message})
		})
	}
}

// arrive brings a request in at a node.
func (s *sim) arrive(node NodeID, workspace, pool string, wait time.Duration, change ...func(*RequestArrived)) *simRequest {
	n := s.nodes[node]
	r := &simRequest{id: RequestID(len(s.requests) + 1), node: node, inc: n.inc, workspace: workspace, arrivedAt: s.now}
	s.requests = append(s.requests, r)
	ev := RequestArrived{Request: r.id, Attempt: 1, Workspace: workspace, Pool: pool, Deadline: s.now - n.offset + wait}
	for _, f := range change {
		f(&ev)
	}
	s.step(n, ev)
	return r
}

func (s *sim) find(n *simNode, id RequestID) *simRequest {
	r := s.requests[id-1]
	if r.node != n.id || r.inc != n.inc {
		return nil
	}
	return r
}

// workload describes a snapshot for tests.
type workload struct {
	workspaces map[string]float64 // shares
	perCentre  int                // targets of pool "draft" in each data centre
	slots      int
	centres    []string
}

func (w workload) snapshot() *config.Snapshot {
	d := config.Declarations{
		Workspaces: make(map[string]config.Workspace),
		Pools:      map[string]config.Pool{"draft": {Kind: config.KindEngine}},
		Targets:    make(map[string]config.Target),
	}
	for name, share := range w.workspaces {
		d.Workspaces[name] = config.Workspace{Share: share, Pools: []string{"draft"}, MaxQueued: 1 << 20}
	}
	for _, centre := range w.centres {
		for i := range w.perCentre {
			d.Targets[fmt.Sprintf("%s-%d", centre, i)] = config.Target{Pool: "draft", DataCentre: centre, Slots: w.slots}
		}
	}
	return &config.Snapshot{Version: 1, Declarations: d}
}
