package capacity

import (
	"runtime"
	"slices"
	"syscall"
	"time"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/peer/wire"
)

// measuredTime is the simulated time over which a node is measured.
const measuredTime = 20 * time.Second

// The message kinds of each mechanism.
var (
	requestKinds    = []wire.Kind{"ticket", "grant", "report", "report-ack", "waiting", "cancel-ticket", "refusal"}
	accountingKinds = []wire.Kind{"service-report", "service-totals"}
)

// measurement is what a node did during measuredTime.
type measurement struct {
	node *node
	// elapsed is the simulated time.
	elapsed time.Duration
	// stepTime is the processor time of the state machine, including garbage
	// collection, and allocated the bytes that it allocated.
	stepTime  time.Duration
	allocated float64
	// dispatched is the number of runs that started.
	dispatched float64
}

// measureNode runs a node until it has settled and then measures it for
// measuredTime.
func measureNode(n *node) measurement {
	n.advance(n.load.settleTime())
	n.meter.reset()
	from := len(n.steps)
	dispatched := n.dispatched
	n.advance(measuredTime)
	m := measurement{node: n, elapsed: measuredTime, dispatched: float64(n.dispatched - dispatched)}
	m.stepTime, m.allocated = n.replay(from)
	return m
}

// replay applies the recorded events to a new state machine, without the counting
// around it, and measures the steps from index from on. It returns their processor
// time and allocated bytes.
func (n *node) replay(from int) (time.Duration, float64) {
	machine := control.New(n.options(n.seed))
	for _, r := range n.steps[:from] {
		machine.Step(r.at, r.event)
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	start := processorTime()
	for _, r := range n.steps[from:] {
		machine.Step(r.at, r.event)
	}
	spent := processorTime() - start
	runtime.ReadMemStats(&after)
	return spent, float64(after.TotalAlloc - before.TotalAlloc)
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// rates returns the messages and bytes that the node sends per second, of the given
// kinds or of all, and the cost of its state machine. The node receives as much as
// it sends.
func (m measurement) rates(kinds ...wire.Kind) []Value {
	sent := m.node.meter.total(kinds...).perSecond(m.elapsed)
	return []Value{
		{"messages sent/s", sent.messages},
		{"bytes sent/s", sent.bytes},
		{"bytes both ways/s", 2 * sent.bytes},
		{"machine us/s", m.machineMicros()},
	}
}

func (m measurement) machineMicros() float64 {
	return float64(m.stepTime.Microseconds()) / m.elapsed.Seconds()
}

// measureHeartbeats measures a node of a fleet without requests.
func measureHeartbeats(nodes int, seed uint64) ([]Value, error) {
	size := scaledSize(nodes)
	m := measureNode(newNode(size.assign(), nodeLoad{}, seed))
	return m.rates(), nil
}

// measureRequests measures a node of the planned fleet with short runs, which are
// never reported as running.
func measureRequests(requestsPerSecond int, seed uint64) ([]Value, error) {
	load := nodeLoad{requestsPerSecond: float64(requestsPerSecond), meanRunTime: 500 * time.Millisecond, workspaces: plannedWorkspaces}
	m := measureNode(newNode(plannedSize().assign(), load, seed))
	sent := m.node.meter.total(requestKinds...)
	return append(m.rates(requestKinds...),
		Value{"messages sent/request", sent.messages / m.dispatched},
		Value{"bytes both ways/request", 2 * sent.bytes / m.dispatched},
		Value{"machine us/request", float64(m.stepTime.Microseconds()) / m.dispatched},
		Value{"machine B/request", m.allocated / m.dispatched},
	), nil
}

// measureAffinities measures what it costs to keep which software version began each stream,
// with the planned load of streams at each node.
func measureAffinities(nodes int, seed uint64) ([]Value, error) {
	size := scaledSize(nodes)
	load := nodeLoad{requestsPerSecond: requestsPerSecondPerNode, meanRunTime: plannedRunTime, workspaces: size.workspaces, streams: true}
	with := measureNode(newNode(size.assign(), load, seed))
	load.streams = false
	without := measureNode(newNode(size.assign(), load, seed))
	perSecond := float64(with.stepTime.Microseconds()-without.stepTime.Microseconds()) / measuredTime.Seconds()
	return append(with.rates("affinity-notice"), Value{"machine us/s more", perSecond}), nil
}

// measureRunning varies the number of runs in progress through their length, at a
// constant rate of requests.
func measureRunning(runs int, seed uint64) ([]Value, error) {
	const requestsPerSecond = 10
	load := nodeLoad{requestsPerSecond: requestsPerSecond, meanRunTime: time.Duration(runs) * time.Second / requestsPerSecond, workspaces: plannedWorkspaces}
	m := measureNode(newNode(plannedSize().assign(), load, seed))
	return m.rates("report"), nil
}

// measureAccountingByNodes varies the size of the fleet, with the planned load at
// each node.
func measureAccountingByNodes(nodes int, seed uint64) ([]Value, error) {
	size := scaledSize(nodes)
	load := nodeLoad{requestsPerSecond: requestsPerSecondPerNode, meanRunTime: plannedRunTime, workspaces: size.workspaces}
	m := measureNode(newNode(size.assign(), load, seed))
	return append(m.rates(accountingKinds...), Value{"nodes sent to", float64(m.node.meter.peers())}), nil
}

// measureAccountingByLoad varies how many workspaces have runs at a node.
func measureAccountingByLoad(active int, seed uint64) ([]Value, error) {
	load := nodeLoad{requestsPerSecond: float64(active) / plannedRunTime.Seconds(), meanRunTime: plannedRunTime, workspaces: plannedWorkspaces}
	m := measureNode(newNode(plannedSize().assign(), load, seed))
	return m.rates(accountingKinds...), nil
}

// measureWaiting fills the slots with runs that do not end and lets a number of
// requests wait. Filling them takes longer than a new window takes to open.
func measureWaiting(waiting int, seed uint64) ([]Value, error) {
	const fillTime = 3 * time.Second
	size := plannedSize()
	size.slotsPerTarget = 1
	slots := size.targets / (size.pools * size.dataCentres)
	load := nodeLoad{requestsPerSecond: float64(slots+waiting) / fillTime.Seconds(), meanRunTime: time.Hour, workspaces: plannedBackloggedWorkspaces}
	n := newNode(size.assign(), load, seed)
	for n.arrived-n.dispatched < waiting {
		n.advance(10 * time.Millisecond)
	}
	n.arrivalsStopped = true
	n.load.meanRunTime = 0 // the node doesn't wait for any run to end before it is measured
	m := measureNode(n)
	return append(m.rates(requestKinds...), Value{"waiting", float64(n.machine.Status().Waiting)}), nil
}

// measureBacklog measures a node of the planned fleet whose targets are full, while
// a number of requests of the backlogged workspaces wait.
func measureBacklog(waiting int, seed uint64) ([]Value, error) {
	size := plannedSize()
	fleet := size.assign()
	ownedShards := len(fleet.shards[nodeName(fleet.typicalScheduler())])
	targetsPerShard := size.targets / (size.pools * size.dataCentres)
	size.slotsPerTarget = int(requestsPerSecondPerNode*plannedRunTime.Seconds()) / (ownedShards * targetsPerShard)
	fleet.size = size
	load := nodeLoad{meanRunTime: plannedRunTime, workspaces: plannedBackloggedWorkspaces, keptWaiting: waiting}
	return ratesByKind(measureNode(newNode(fleet, load, seed))), nil
}

// measureExchangePeriod varies the period of the exchange of service counts at
// peak load.
func measureExchangePeriod(period int, seed uint64) ([]Value, error) {
	load := nodeLoad{
		requestsPerSecond: requestsPerSecondPerNode, meanRunTime: plannedRunTime, workspaces: plannedWorkspaces,
		exchangePeriod: time.Duration(period) * time.Millisecond,
	}
	m := measureNode(newNode(plannedSize().assign(), load, seed))
	return m.rates(accountingKinds...), nil
}

// measureMembership measures the loss of a watched node, whose heartbeats stop
// without notice, and then its return.
func measureMembership(nodes int, seed uint64) ([]Value, error) {
	const changes = 10
	size := scaledSize(nodes)
	n := newNode(size.assign(), nodeLoad{}, seed)
	n.advance(3 * time.Second)
	n.meter.reset()
	watched := n.watched
	from := len(n.steps)
	for i := range changes {
		lost := watched[i%len(watched)]
		n.watched = slices.DeleteFunc(slices.Clone(watched), func(name control.NodeID) bool { return name == lost })
		n.advance(4 * time.Second)
		n.watched = watched
		incarnation := control.Incarnation(i + 2)
		n.receiveAs(lost, incarnation, control.Heartbeat{Incarnation: incarnation})
		n.incarnations[lost] = incarnation
		n.advance(time.Second)
	}
	elapsed := 5 * changes * time.Second
	// An undisturbed node sends 16 heartbeats per second.
	heartbeats := n.meter.total("heartbeat").messages - 16*elapsed.Seconds()
	notices := n.meter.total("suspect-notice")
	spent, _ := n.replay(from)
	idle, err := measureHeartbeats(nodes, seed)
	if err != nil {
		return nil, err
	}
	idleMicros := idle[len(idle)-1].Amount * elapsed.Seconds()
	return []Value{
		{"notices sent/loss", notices.messages / changes},
		{"notice bytes sent/loss", notices.bytes / changes},
		{"heartbeats sent/loss", heartbeats / changes},
		{"machine us/loss and return", (float64(spent.Microseconds()) - idleMicros) / changes},
	}, nil
}

// measurePartition disconnects a node with runs in progress from all data centres
// outside its region, which hold about two thirds of the nodes, and then reconnects
// it.
func measurePartition(nodes int, seed uint64) ([]Value, error) {
	size := scaledSize(nodes)
	load := nodeLoad{requestsPerSecond: requestsPerSecondPerNode, meanRunTime: plannedRunTime, workspaces: size.workspaces}
	n := newNode(size.assign(), load, seed)
	n.advance(load.settleTime())
	var unreachable []control.NodeID
	for i := range nodes {
		if i%size.dataCentres >= size.dataCentres/3 && nodeName(i) != n.id {
			unreachable = append(unreachable, nodeName(i))
		}
	}
	n.meter.reset()
	lossTime := n.processorTimeOf(func() {
		for _, name := range unreachable {
			n.machine.Step(n.now, control.PeerState{Node: name, Connected: false})
		}
		n.now += 300 * time.Millisecond // longer than the grace period of a lost connection
		n.step(control.Tick{})
	})
	sentAtLoss := n.meter.total()
	n.meter.reset()
	returnTime := n.processorTimeOf(func() {
		for _, name := range unreachable {
			n.step(control.PeerState{Node: name, Connected: true})
			n.receive(name, control.Heartbeat{Incarnation: 1})
		}
	})
	sentAtReturn := n.meter.total()
	return []Value{
		{"machine ms at the loss", millis(lossTime)},
		{"messages sent at the loss", sentAtLoss.messages},
		{"machine ms at the return", millis(returnTime)},
		{"messages sent at the return", sentAtReturn.messages},
		{"bytes sent at the return", sentAtReturn.bytes},
	}, nil
}

// processorTimeOf returns the processor time that a function uses.
func (n *node) processorTimeOf(run func()) time.Duration {
	runtime.GC()
	start := processorTime()
	run()
	return processorTime() - start
}

// measurePeak measures a node at peak load, in fleets whose load grows with their
// size.
func measurePeak(nodes int, seed uint64) ([]Value, error) {
	size := scaledSize(nodes)
	load := nodeLoad{requestsPerSecond: requestsPerSecondPerNode, meanRunTime: plannedRunTime, workspaces: size.workspaces}
	return ratesByKind(measureNode(newNode(size.assign(), load, seed))), nil
}

// ratesByKind returns the rates of all messages and of each kind, and the state of
// the node.
func ratesByKind(m measurement) []Value {
	values := m.rates()
	for _, kind := range wire.Kinds {
		sent := m.node.meter.total(kind).perSecond(m.elapsed)
		if sent.messages == 0 {
			continue
		}
		values = append(values,
			Value{string(kind) + " sent/s", sent.messages},
			Value{string(kind) + " bytes both ways/s", 2 * sent.bytes})
	}
	return append(values,
		Value{"nodes sent to", float64(m.node.meter.peers())},
		Value{"running", float64(m.node.machine.Status().Running)},
		Value{"waiting", float64(m.node.machine.Status().Waiting)},
		Value{"runs begun/s", m.dispatched / m.elapsed.Seconds()},
		Value{"most shards at a node", float64(m.node.fleet.maxShards())},
	)
}
