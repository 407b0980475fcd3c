package capacity

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/peer"
)

const (
	// tickEvery is the period of control.Tick in a router.
	tickEvery = 20 * time.Millisecond
	// oneWay is how long a message to another node takes.
	oneWay = time.Millisecond
	// loadEvery is the period of load reports of each steady target.
	loadEvery = time.Second
)

// node is one state machine of a fleet whose other nodes are mirrors of it: what
// it sends to another node comes back as what that node would send here, so
// that it meets at each of its roles the load that it causes at others. There
// is no network and no clock; time is simulated.
type node struct {
	fleet    *assignment
	id       control.NodeID
	machine  *control.Machine
	snapshot *config.Snapshot
	meter    *meter
	mirror   *mirror
	random   *rand.Rand
	now      control.Instant
	events   eventQueue
	sequence uint64
	seed     uint64
	load     nodeLoad
	// closed stops new requests.
	closed bool
	// owned are the shards that the node schedules, and accounted as many
	// workspaces as a node adds the service up for in the mean.
	owned     []control.ShardID
	accounted []string
	// watched are the nodes whose heartbeats this node expects.
	watched []control.NodeID
	// held are the messages to each node that wait for others.
	held map[control.NodeID][]control.Message
	// restarted holds the incarnations of nodes that are not in their first.
	restarted map[control.NodeID]control.Incarnation
	// polled are the targets whose load the node asks for.
	polled []string
	// recorded holds the steps so far, for a replay.
	recorded            []recorded
	arrived, dispatched int
}

// nodeLoad is what callers ask of a node.
type nodeLoad struct {
	// perSecond is how many requests enter here.
	perSecond float64
	// run is the mean length of a run; they vary evenly by half of it.
	run time.Duration
	// workspaces is how many send, evenly.
	workspaces int
	// waiting is how many requests are kept waiting, whatever the rate.
	waiting int
	// exchange is the period of the exchange of service counts; zero for the
	// default.
	exchange time.Duration
}

// settleTime is how long a node runs before it is measured: until the first
// runs have ended.
func (l nodeLoad) settleTime() time.Duration { return 3*time.Second + 2*l.run }

// recorded is one step.
type recorded struct {
	at    control.Instant
	event control.Event
}

// newNode returns a node that schedules one shard if there is such a one, in a
// fleet of which every node was heard.
func newNode(fleet *assignment, load nodeLoad, seed uint64) *node {
	index := fleet.typicalScheduler()
	id := nodeName(index)
	n := &node{
		fleet:     fleet,
		id:        id,
		snapshot:  fleet.size.snapshot(),
		meter:     newMeter(id),
		random:    rand.New(rand.NewPCG(seed, 1)),
		now:       time.Second,
		seed:      seed,
		load:      load,
		owned:     fleet.shards[id],
		accounted: fleet.accounted(),
		watched:   fleet.size.watchedBy(index),
		held:      make(map[control.NodeID][]control.Message),
		restarted: make(map[control.NodeID]control.Incarnation),
	}
	n.mirror = newMirror(n)
	n.machine = control.New(n.options(seed))
	n.join()
	n.checkOwned()
	n.every(tickEvery, func() { n.step(control.Tick{}) })
	n.every(loadEvery, n.pollTargets)
	if load.waiting > 0 {
		n.every(tickEvery, n.refill)
	}
	if load.perSecond > 0 {
		n.every(time.Duration(float64(time.Second)/load.perSecond), n.arrive)
	}
	return n
}

func (n *node) options(seed uint64) control.Options {
	index := n.fleet.typicalScheduler()
	return control.Options{Node: n.id, Incarnation: 1, DataCentre: centreName(index % n.fleet.size.centres), Seed: seed, ExchangeEvery: n.load.exchange}
}

// join lets the machine meet the fleet.
func (n *node) join() {
	n.step(control.MembersListed{Members: n.fleet.size.members()})
	for i := range n.fleet.size.nodes {
		if other := nodeName(i); other != n.id {
			n.receive(other, control.Heartbeat{Incarnation: 1})
		}
	}
	n.step(control.ConfigChanged{Snapshot: n.snapshot})
}

// checkOwned fails if the machine assigns shards otherwise than assign does.
func (n *node) checkOwned() {
	owned := 0
	for _, shard := range n.machine.Status().Shards {
		if shard.Owned && !slices.Contains(n.owned, shard.Shard) {
			panic(fmt.Sprintf("%s schedules %v", n.id, shard.Shard))
		}
		owned++
	}
	if owned != len(n.owned) {
		panic(fmt.Sprintf("%s schedules %d shards, not %d", n.id, owned, len(n.owned)))
	}
}

// arrive brings a request of a random workspace.
func (n *node) arrive() {
	if n.closed {
		return
	}
	n.arrived++
	workspace := n.random.IntN(n.load.workspaces)
	pools := n.fleet.size.poolsOf(workspace)
	n.sequence++
	n.step(control.RequestArrived{
		Request:     control.RequestID(n.sequence),
		Attempt:     1,
		Workspace:   workspaceName(workspace),
		Pool:        pools[n.random.IntN(len(pools))],
		Deadline:    n.now + time.Hour,
		Bytes:       2000,
		PrefixHash:  n.random.Uint64(),
		Fingerprint: n.random.Uint64(),
	})
}

// refill lets requests arrive until enough wait.
func (n *node) refill() {
	for n.arrived-n.dispatched < n.load.waiting {
		n.arrive()
	}
}

// pollTargets reports the load of the targets that the node polls. It equals
// what the node granted, which the window does not learn from.
func (n *node) pollTargets() {
	for _, name := range n.polled {
		n.step(control.TargetLoad{Target: name, Slots: n.fleet.size.slots})
	}
}

// step applies an event and carries the commands out.
func (n *node) step(event control.Event) {
	n.recorded = append(n.recorded, recorded{n.now, event})
	sent := make(map[control.NodeID][]control.Message)
	var order []control.NodeID
	for _, command := range n.machine.Step(n.now, event) {
		switch c := command.(type) {
		case control.Send:
			if sent[c.To] == nil {
				order = append(order, c.To)
			}
			sent[c.To] = append(sent[c.To], c.Message)
		case control.Dispatch:
			n.run(c)
		case control.Refuse:
			panic(fmt.Sprintf("a request was refused: %+v", c))
		case control.WatchTargets:
			n.polled = c.Targets
		}
	}
	for _, to := range order {
		n.write(to, sent[to])
		for _, message := range sent[to] {
			n.mirror.reflect(to, message)
		}
	}
}

// write counts messages to a node as a session writes them: those that nothing
// waits for are held back for a while, so that they go with others.
func (n *node) write(to control.NodeID, messages []control.Message) {
	held := n.held[to]
	n.held[to] = append(held, messages...)
	urgent := slices.ContainsFunc(messages, func(m control.Message) bool { return !peer.CanDefer(m) })
	switch {
	case urgent:
		n.flush(to)
	case len(held) == 0:
		n.after(peer.MaxDeferTime, func() { n.flush(to) })
	}
}

// flush counts one write of what is held back for a node.
func (n *node) flush(to control.NodeID) {
	if messages := n.held[to]; len(messages) > 0 {
		n.held[to] = nil
		n.meter.flush(to, messages)
	}
}

// run lets a dispatched request run on its target.
func (n *node) run(c control.Dispatch) {
	n.dispatched++
	service := n.load.run/2 + time.Duration(n.random.Int64N(int64(n.load.run)+1))
	n.after(service, func() {
		n.step(control.RunEnded{Request: c.Request, Grant: c.Grant, Outcome: control.OutcomeAnswered, Service: service})
	})
}

func (n *node) receive(from control.NodeID, message control.Message) {
	n.receiveAs(from, max(1, n.restarted[from]), message)
}

func (n *node) receiveAs(from control.NodeID, incarnation control.Incarnation, message control.Message) {
	n.step(control.MessageReceived{From: from, Incarnation: incarnation, Message: message})
}

// receiveLater delivers a message after its way over the network.
func (n *node) receiveLater(from control.NodeID, message control.Message) {
	n.after(oneWay, func() { n.receive(from, message) })
}

// passTime lets simulated time pass.
func (n *node) passTime(d time.Duration) {
	end := n.now + d
	for len(n.events) > 0 && n.events[0].at <= end {
		e := heap.Pop(&n.events).(scheduled)
		n.now = e.at
		e.run()
	}
	n.now = end
}

func (n *node) after(d time.Duration, run func()) {
	n.sequence++
	heap.Push(&n.events, scheduled{n.now + d, n.sequence, run})
}

// every runs a function on a period, from a random time on.
func (n *node) every(period time.Duration, run func()) {
	var again func()
	again = func() {
		run()
		n.after(period, again)
	}
	n.after(time.Duration(n.random.Int64N(int64(period)+1)), again)
}

// scheduled is a function to run at a time.
type scheduled struct {
	at  control.Instant
	seq uint64
	run func()
}

// eventQueue is a heap in order of time.
type eventQueue []scheduled

// Len implements heap.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].seq < q[j].seq)
}

// Swap implements heap.Interface.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(scheduled)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
