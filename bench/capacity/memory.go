package capacity

import (
	"runtime"
	"time"

	"github.com/walnutcove/walnutcove/control"
)

// heapInUse returns the bytes of live heap objects, after a garbage collection.
func heapInUse() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// measureMachineMemory measures the heap size of an idle state machine, without
// the configuration, by the number of nodes that it knows.
func measureMachineMemory(nodes int, _ uint64) ([]Value, error) {
	fleet := scaledSize(nodes).assign()
	snapshot := fleet.size.snapshot()
	before := heapInUse()
	index := fleet.typicalScheduler()
	machine := control.New(control.Options{Node: nodeName(index), Incarnation: 1, DataCentre: dataCentreName(index % fleet.size.dataCentres)})
	machine.Step(time.Second, control.MembersListed{Members: fleet.size.members()})
	for n := range nodes {
		machine.Step(time.Second, control.MessageReceived{From: nodeName(n), Incarnation: 1, Message: control.Heartbeat{Incarnation: 1}})
	}
	machine.Step(time.Second, control.ConfigChanged{Snapshot: snapshot})
	machine.Step(2*time.Second, control.Tick{})
	used := heapInUse() - before
	runtime.KeepAlive(machine)
	runtime.KeepAlive(fleet)
	return []Value{{"heap bytes", used}}, nil
}

// measureQueueMemory measures the heap size of a queued ticket at its scheduler and
// of a waiting request at its entry.
func measureQueueMemory(count int, seed uint64) ([]Value, error) {
	fleet := plannedSize().assign()
	n := newNode(fleet, nodeLoad{}, seed)
	shard := n.owned[0]
	n.steps = nil
	before := heapInUse()
	for i := range count {
		workspace := fleet.size.equivalentWorkspace(workspaceName(i%plannedBackloggedWorkspaces), poolName(i%plannedBackloggedWorkspaces%plannedPools), shard.Pool)
		n.machine.Step(n.now, control.MessageReceived{From: "vm-1", Incarnation: 1, Message: control.Ticket{
			ID:    control.TicketID{Node: "vm-1", Incarnation: 1, Request: control.RequestID(i + 1), Attempt: uint32(i + 1)},
			Shard: shard, Workspace: workspace, TimeLeft: time.Hour, PrefixHash: uint64(i + 1), Fingerprint: uint64(i + 1),
		}})
	}
	queued := heapInUse()
	for i := range count {
		workspace := i % plannedBackloggedWorkspaces
		n.machine.Step(n.now, control.RequestArrived{
			Request: control.RequestID(i + 1), Attempt: 1, Workspace: workspaceName(workspace),
			Pool: fleet.size.poolsOf(workspace)[0], Deadline: n.now + time.Hour, Bytes: 2000, Fingerprint: uint64(i + 1),
		})
	}
	waiting := heapInUse()
	runtime.KeepAlive(n)
	return []Value{
		{"heap bytes/queued ticket", (queued - before) / float64(count)},
		{"heap bytes/waiting request", (waiting - queued) / float64(count)},
	}, nil
}
