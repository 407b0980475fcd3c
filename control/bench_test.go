package control

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/config"
)

// The largest fleet that the project is designed for.
const (
	benchNodes       = 340
	benchDataCentres = 7
	benchPools       = 38
	benchTargets     = 3800
	benchWorkspaces  = 16000
)

// benchSnapshot declares the targets and workspaces of that fleet.
func benchSnapshot() *config.Snapshot {
	d := config.Declarations{
		Workspaces: make(map[string]config.Workspace, benchWorkspaces),
		Pools:      make(map[string]config.Pool, benchPools),
		Targets:    make(map[string]config.Target, benchTargets),
	}
	var pools []string
	for i := range benchPools {
		pools = append(pools, fmt.Sprintf("pool-%02d", i))
		d.Pools[pools[i]] = config.Pool{Kind: config.KindEngine}
	}
	for i := range benchWorkspaces {
		d.Workspaces[benchWorkspace(i)] = config.Workspace{Share: 1, Pools: pools}
	}
	for i := range benchTargets {
		d.Targets[fmt.Sprintf("target-%04d", i)] = config.Target{
			Pool:       pools[i%benchPools],
			DataCentre: fmt.Sprintf("dc%d", i/benchPools%benchDataCentres),
			Slots:      8,
		}
	}
	return &config.Snapshot{Version: 1, Declarations: d}
}

func benchWorkspace(i int) string { return fmt.Sprintf("workspace-%05d", i) }

// benchNode is a node that schedules a shard. There are fewer shards than nodes, so not
// every node does.
const benchNode = "n7"

// benchMachine returns the machine of benchNode, which has received a heartbeat of every
// other node, with a shard that it schedules and the current time.
func benchMachine(b *testing.B) (*Machine, ShardID, Instant) {
	b.Helper()
	m := New(Options{Node: benchNode, Incarnation: 1, DataCentre: "dc0", Seed: 1})
	var members []Member
	for i := range benchNodes {
		members = append(members, Member{Node: NodeID(fmt.Sprintf("n%d", i)), DataCentre: fmt.Sprintf("dc%d", i%benchDataCentres)})
	}
	now := Instant(time.Second)
	m.Step(now, MembersListed{Members: members})
	for _, n := range members {
		m.Step(now, MessageReceived{From: n.Node, Incarnation: 1, Message: Heartbeat{Incarnation: 1}})
	}
	m.Step(now, ConfigChanged{Snapshot: benchSnapshot()})
	now += time.Second
	m.Step(now, Tick{})
	shards := m.sched.sortedShards()
	if len(shards) == 0 {
		b.Fatal("the node schedules no shard")
	}
	return m, shards[0].id, now
}

func benchTicket(id ShardID, seq, workspace int) Ticket {
	return Ticket{
		ID:        TicketID{Node: "n1", Incarnation: 1, Request: RequestID(seq), Attempt: uint32(seq)},
		Shard:     id,
		Workspace: benchWorkspace(workspace),
		TimeLeft:  time.Hour,
	}
}

// grantIn returns the first grant that commands send.
func grantIn(cmds []Command) (Grant, bool) {
	for _, c := range cmds {
		if send, ok := c.(Send); ok {
			if g, ok := send.Message.(Grant); ok {
				return g, true
			}
		}
	}
	return Grant{}, false
}

// BenchmarkStepTicketGrantEnd measures one request at its scheduler: the ticket, the grant
// and the end of the run.
func BenchmarkStepTicketGrantEnd(b *testing.B) {
	m, id, now := benchMachine(b)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now += time.Millisecond
		g, ok := grantIn(m.Step(now, MessageReceived{From: "n1", Incarnation: 1, Message: benchTicket(id, i+1, i%100)}))
		if !ok {
			b.Fatal("no grant")
		}
		m.Step(now, MessageReceived{From: "n1", Incarnation: 1, Message: Report{
			Grant: g.ID, Ticket: g.Ticket, Shard: id, Workspace: benchWorkspace(i % 100), Target: g.Target,
			Phase: PhaseEnded, Service: 300 * time.Millisecond,
		}})
	}
}

// BenchmarkStepBacklogged measures the same while 1600 workspaces wait in the shard.
func BenchmarkStepBacklogged(b *testing.B) {
	m, id, now := benchMachine(b)
	var grants []Grant
	seq := 0
	push := func(workspace int) {
		seq++
		if g, ok := grantIn(m.Step(now, MessageReceived{From: "n1", Incarnation: 1, Message: benchTicket(id, seq, workspace)})); ok {
			grants = append(grants, g)
		}
	}
	for i := range 3200 {
		push(i % 1600)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now += time.Millisecond
		g := grants[0]
		grants = grants[1:]
		next, ok := grantIn(m.Step(now, MessageReceived{From: "n1", Incarnation: 1, Message: Report{
			Grant: g.ID, Ticket: g.Ticket, Shard: id, Target: g.Target, Phase: PhaseEnded, Service: 300 * time.Millisecond,
		}}))
		if ok {
			grants = append(grants, next)
		}
		push(i % 1600)
	}
}

// BenchmarkStepEntry measures one request at its entry node: its arrival, the grant, the
// end of the run and the acknowledgement.
func BenchmarkStepEntry(b *testing.B) {
	m, _, now := benchMachine(b)
	id := ShardID{}
	for _, shard := range m.topo.pools["pool-00"] {
		if m.owner(shard) != benchNode {
			id = shard
		}
	}
	target := m.topo.shards[id].accepting[0]
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now += time.Millisecond
		m.Step(now, RequestArrived{Request: RequestID(i + 1), Attempt: 1, Workspace: benchWorkspace(i % 100), Pool: "pool-00", Deadline: now + time.Minute})
		r := m.entry.requests[RequestID(i+1)]
		if r == nil {
			continue // granted here
		}
		g := GrantID{Scheduler: "n1", Incarnation: 1, Seq: uint64(i + 1)}
		m.Step(now, MessageReceived{From: "n1", Incarnation: 1, Message: Grant{ID: g, Ticket: r.id, Target: target}})
		m.Step(now, RunEnded{Request: RequestID(i + 1), Grant: g, Service: time.Second})
		m.Step(now, MessageReceived{From: m.owner(id), Incarnation: 1, Message: ReportAck{Grant: g}})
	}
}

// BenchmarkStepHeartbeat measures the receipt of one heartbeat.
func BenchmarkStepHeartbeat(b *testing.B) {
	m, _, now := benchMachine(b)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		now += time.Millisecond
		m.Step(now, MessageReceived{From: "n1", Incarnation: 1, Message: Heartbeat{Incarnation: 1, ConfigVersion: 1}})
	}
}

// BenchmarkStepTick measures a tick with nothing to do but heartbeats.
func BenchmarkStepTick(b *testing.B) {
	m, _, now := benchMachine(b)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		now += 50 * time.Millisecond
		m.Step(now, Tick{})
		for _, n := range []NodeID{"n1", "n2", "n3"} {
			m.view.MessageReceived(now, string(n), 1)
		}
	}
}

// BenchmarkExchange measures one period of the exchange of service counts, by the number of
// active workspaces: the reports sent and as many totals received.
func BenchmarkExchange(b *testing.B) {
	for _, active := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(active), func(b *testing.B) {
			m, id, now := benchMachine(b)
			for i := range active {
				m.Step(now, MessageReceived{From: "n1", Incarnation: 1, Message: benchTicket(id, i+1, i)})
			}
			counts := make([]ServiceCount, active)
			messages := 0
			b.ReportAllocs()
			b.ResetTimer()
			for n := range b.N {
				now += m.exchangeEvery()
				for i := range counts {
					w := m.sched.workspaces[benchWorkspace(i)]
					w.account.Charge(time.Millisecond)
					w.account.Start()
					w.account.End(time.Millisecond)
					counts[i] = ServiceCount{Workspace: w.name, Total: time.Duration(n) * time.Millisecond}
				}
				before := m.counters.MessagesSent
				m.reportService()
				messages += int(m.counters.MessagesSent - before)
				m.serviceTotalsReceived(ServiceTotals{Counts: counts})
				m.out = nil
				m.loopback = nil
			}
			b.ReportMetric(float64(messages)/float64(b.N), "messages/op")
		})
	}
}

// BenchmarkMembershipChange measures the departure and return of one node of the fleet.
func BenchmarkMembershipChange(b *testing.B) {
	m, _, now := benchMachine(b)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		now += time.Millisecond
		m.Step(now, MessageReceived{From: "n5", Incarnation: 1, Message: Heartbeat{Incarnation: 1, Leaving: true}})
		m.Step(now, MessageReceived{From: "n5", Incarnation: 1, Message: Heartbeat{Incarnation: 1}})
	}
}

// BenchmarkMemory reports the bytes that a machine of such a fleet takes, and those of each
// queued ticket at its scheduler and each waiting request at its entry.
func BenchmarkMemory(b *testing.B) {
	snapshot := benchSnapshot()
	for range b.N {
		base := heapBytes()
		m, id, now := benchMachine(b)
		idle := heapBytes()
		const count = 20000
		for i := range count {
			m.Step(now, MessageReceived{From: "n1", Incarnation: 1, Message: benchTicket(id, i+1, i%1600)})
		}
		queued := heapBytes()
		for i := range count {
			m.Step(now, RequestArrived{Request: RequestID(i + 1), Attempt: 1, Workspace: benchWorkspace(i % 1600), Pool: "pool-01", Deadline: now + time.Hour})
		}
		waiting := heapBytes()
		b.ReportMetric(float64(idle-base), "B/machine-and-config")
		b.ReportMetric(float64(queued-idle)/count, "B/ticket")
		b.ReportMetric(float64(waiting-queued)/count, "B/request")
		runtime.KeepAlive(m)
	}
	runtime.KeepAlive(snapshot)
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
