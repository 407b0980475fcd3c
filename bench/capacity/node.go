package capacity

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/control/affinity"
	"github.com/walnutcove/walnutcove/peer"
)

const (
	// tickPeriod is the period of control.Tick in a router.
	tickPeriod = 20 * time.Millisecond
	// messageDelay is how long a message to another node takes.
	messageDelay = time.Millisecond
	// loadReportPeriod is the period of the load reports of each target whose load
	// is steady.
	loadReportPeriod = time.Second
)

// node is one state machine of a fleet whose other nodes are mirrors of it. Each
// message that it sends to another node comes back as the message that the other
// node would send here, so that in each of its roles the node carries the load that
// it causes at others. There is no network and no clock; time is simulated.
type node struct {
	fleet    *assignment
	id       control.NodeID
	machine  *control.Machine
	snapshot *config.Snapshot
	meter    *meter
	mirror   *mirror
	random   *rand.Rand
	now      control.Instant
	timers   timerQueue
	sequence uint64 // the last number given to a request or a timer
	seed     uint64
	load     nodeLoad
	// arrivalsStopped is set when no new requests may arrive.
	arrivalsStopped bool
	// owned holds the shards that the node schedules, and accounted as many
	// workspaces as a node on average keeps the service totals of.
	owned     []control.ShardID
	accounted []string
	// watched holds the nodes whose heartbeats this node expects.
	watched []control.NodeID
	// deferred holds the messages to each node that wait to be sent with later
	// ones.
	deferred map[control.NodeID][]control.Message
	// incarnations holds the incarnation of each node that has restarted.
	incarnations map[control.NodeID]control.Incarnation
	// polledTargets holds the targets whose load the node polls.
	polledTargets []string
	// steps holds the steps so far, for replay.
	steps               []recordedStep
	arrived, dispatched int
}

// nodeLoad is the load that callers put on a node.
type nodeLoad struct {
	// requestsPerSecond is how many requests per second enter at the node.
	requestsPerSecond float64
	// meanRunTime is the mean length of a run. Lengths are distributed evenly
	// between half of it and one and a half times it.
	meanRunTime time.Duration
	// workspaces is how many workspaces send, with equal rates.
	workspaces int
	// keptWaiting is how many requests are kept waiting, whatever the rate.
	keptWaiting int
	// streams makes each run a stream to which its caller may reconnect.
	streams bool
	// exchangePeriod is the period of the exchange of service counts; zero for
	// the default.
	exchangePeriod time.Duration
}

// settleTime returns how long a node runs before it is measured, which is until the
// first runs have ended.
func (l nodeLoad) settleTime() time.Duration { return 3*time.Second + 2*l.meanRunTime }

// recordedStep is an event and the time of the step that applied it.
type recordedStep struct {
	at    control.Instant
	event control.Event
}

// newNode returns a typical scheduler of a fleet, which has received a heartbeat
// of every other node.
func newNode(fleet *assignment, load nodeLoad, seed uint64) *node {
	index := fleet.typicalScheduler()
	id := nodeName(index)
	n := &node{
		fleet:        fleet,
		id:           id,
		snapshot:     fleet.size.snapshot(),
		meter:        newMeter(id),
		random:       rand.New(rand.NewPCG(seed, 1)),
		now:          time.Second,
		seed:         seed,
		load:         load,
		owned:        fleet.shards[id],
		accounted:    fleet.accountedWorkspaces(),
		watched:      fleet.size.watchedBy(index),
		deferred:     make(map[control.NodeID][]control.Message),
		incarnations: make(map[control.NodeID]control.Incarnation),
	}
	n.mirror = newMirror(n)
	n.machine = control.New(n.options(seed))
	n.join()
	n.checkOwned()
	n.every(tickPeriod, func() { n.step(control.Tick{}) })
	n.every(loadReportPeriod, n.pollTargets)
	if load.keptWaiting > 0 {
		n.every(tickPeriod, n.refill)
	}
	if load.requestsPerSecond > 0 {
		n.every(time.Duration(float64(time.Second)/load.requestsPerSecond), n.arrive)
	}
	return n
}

func (n *node) options(seed uint64) control.Options {
	index := n.fleet.typicalScheduler()
	return control.Options{Node: n.id, Incarnation: 1, DataCentre: dataCentreName(index % n.fleet.size.dataCentres), Seed: seed, ExchangeEvery: n.load.exchangePeriod}
}

// join gives the state machine the list of members, a heartbeat of every other node
// and the configuration.
func (n *node) join() {
	n.step(control.MembersListed{Members: n.fleet.size.members()})
	for i := range n.fleet.size.nodes {
		if other := nodeName(i); other != n.id {
			n.receive(other, control.Heartbeat{Incarnation: 1})
		}
	}
	n.step(control.ConfigChanged{Snapshot: n.snapshot})
}

// checkOwned panics if the state machine assigns shards differently from assign.
func (n *node) checkOwned() {
	owned := 0
	for _, shard := range n.machine.Status().Shards {
		if shard.Owned && !slices.Contains(n.owned, shard.Shard) {
			panic(fmt.Sprintf("%s schedules %v, which is assigned to another node", n.id, shard.Shard))
		}
		owned++
	}
	if owned != len(n.owned) {
		panic(fmt.Sprintf("%s schedules %d shards, want %d", n.id, owned, len(n.owned)))
	}
}

// arrive lets a request of a random workspace arrive.
func (n *node) arrive() {
	if n.arrivalsStopped {
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

// refill lets requests arrive until keptWaiting are waiting.
func (n *node) refill() {
	for n.arrived-n.dispatched < n.load.keptWaiting {
		n.arrive()
	}
}

// pollTargets reports the load of the targets that the node polls. The reports show
// no load beyond what the node granted, so the windows of the targets leave no room for
// other load.
func (n *node) pollTargets() {
	for _, name := range n.polledTargets {
		n.step(control.TargetLoad{Target: name, Slots: n.fleet.size.slotsPerTarget})
	}
}

// step applies an event to the state machine and executes the commands that it
// returns.
func (n *node) step(event control.Event) {
	n.steps = append(n.steps, recordedStep{n.now, event})
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
			n.polledTargets = c.Targets
		}
	}
	for _, to := range order {
		n.write(to, sent[to])
		for _, message := range sent[to] {
			n.mirror.reflect(to, message)
		}
	}
}

// write counts messages to a node as a session writes them: messages that may wait
// are deferred for a while, so that they share a write with others.
func (n *node) write(to control.NodeID, messages []control.Message) {
	waiting := n.deferred[to]
	n.deferred[to] = append(waiting, messages...)
	urgent := slices.ContainsFunc(messages, func(m control.Message) bool { return !peer.CanDefer(m) })
	switch {
	case urgent:
		n.flush(to)
	case len(waiting) == 0:
		n.after(peer.MaxDeferTime, func() { n.flush(to) })
	}
}

// flush counts one write of the messages that are deferred for a node.
func (n *node) flush(to control.NodeID) {
	if messages := n.deferred[to]; len(messages) > 0 {
		n.deferred[to] = nil
		n.meter.flush(to, messages)
	}
}

// run simulates the run of a dispatched request on its target.
func (n *node) run(c control.Dispatch) {
	n.dispatched++
	service := n.load.meanRunTime/2 + time.Duration(n.random.Int64N(int64(n.load.meanRunTime)+1))
	if n.load.streams {
		n.after(service/firstEventDivisor, func() { n.beginStream(c) })
	}
	n.after(service, func() {
		n.step(control.RunEnded{Request: c.Request, Grant: c.Grant, Outcome: control.OutcomeAnswered, Service: service})
	})
}

// firstEventDivisor sets when the first event of a stream arrives, as a fraction of its run.
const firstEventDivisor = 4

// beginStream reports the first event of a stream.
func (n *node) beginStream(c control.Dispatch) {
	key := affinity.KeyOf("", fmt.Sprint(c.Request))
	n.step(control.StreamBegan{Keys: []affinity.Key{key}, Affinity: affinity.Affinity{Pool: n.snapshot.Declarations.Targets[c.Target].Pool, Software: "v1"}})
}

func (n *node) receive(from control.NodeID, message control.Message) {
	n.receiveAs(from, max(1, n.incarnations[from]), message)
}

func (n *node) receiveAs(from control.NodeID, incarnation control.Incarnation, message control.Message) {
	n.step(control.MessageReceived{From: from, Incarnation: incarnation, Message: message})
}

// receiveLater delivers a message after messageDelay.
func (n *node) receiveLater(from control.NodeID, message control.Message) {
	n.after(messageDelay, func() { n.receive(from, message) })
}

// advance advances simulated time by d and runs the functions that fall due.
func (n *node) advance(d time.Duration) {
	end := n.now + d
	for len(n.timers) > 0 && n.timers[0].at <= end {
		e := heap.Pop(&n.timers).(timer)
		n.now = e.at
		e.run()
	}
	n.now = end
}

func (n *node) after(d time.Duration, run func()) {
	n.sequence++
	heap.Push(&n.timers, timer{n.now + d, n.sequence, run})
}

// every runs a function periodically, from a random time within the first period.
func (n *node) every(period time.Duration, run func()) {
	var tick func()
	tick = func() {
		run()
		n.after(period, tick)
	}
	n.after(time.Duration(n.random.Int64N(int64(period)+1)), tick)
}

// timer is a function to run at a time. Timers of equal time run in order of seq.
type timer struct {
	at  control.Instant
	seq uint64
	run func()
}

// timerQueue is a heap of timers in order of time.
type timerQueue []timer

// Len implements heap.Interface.
func (q timerQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q timerQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].seq < q[j].seq)
}

// Swap implements heap.Interface.
func (q timerQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *timerQueue) Push(x any) { *q = append(*q, x.(timer)) }

// Pop implements heap.Interface.
func (q *timerQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
