package control

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/config"
)

// The size that the project is heading for.
const (
	benchNodes      = 340
	benchCentres    = 7
	benchPools      = 38
	benchTargets    = 3800
	benchWorkspaces = 16000
)

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
			DataCentre: fmt.Sprintf("dc%d", i/benchPools%benchCentres),
			Slots:      8,
		}
	}
	return &config.Snapshot{Version: 1, Declarations: d}
}

func benchWorkspace(i int) string { return fmt.Sprintf("workspace-%05d", i) }

// benchNode is a node that schedules a shard; there are fewer shards than nodes.
const benchNode = "n7"

// benchMachine returns one node of the fleet, which has heard every other node,
// and a shard that it schedules.
func benchMachine(b *testing.B) (*Machine, ShardID, Instant) {
	b.Helper()
	m := New(Options{Node: benchNode, Incarnation: 1, DataCentre: "dc0", Seed: 1})
	var members []Member
	for i := range benchNodes {
		members = append(members, Member{Node: NodeID(fmt.Sprintf("n%d", i)), DataCentre: fmt.Sprintf("dc%d", i%benchCentres)})
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

// BenchmarkStepTicketGrantEnd is one request at its scheduler: the ticket, the
// grant and the end of the run.
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

// BenchmarkStepBacklogged is the same with 1600 workspaces waiting in the shard.
func BenchmarkStepBacklogged(b *testing.B) {
	m, id, now := benchMachine(b)
	var held []Grant
	seq := 0
	push := func(workspace int) {
		seq++
		if g, ok := grantIn(m.Step(now, MessageReceived{From: "n1", Incarnation: 1, Message: benchTicket(id, seq, workspace)})); ok {
			held = append(held, g)
		}
	}
	for i := range 3200 {
		push(i % 1600)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now += time.Millisecond
		g := held[0]
		held = held[1:]
		next, ok := grantIn(m.Step(now, MessageReceived{From: "n1", Incarnation: 1, Message: Report{
			Grant: g.ID, Ticket: g.Ticket, Shard: id, Target: g.Target, Phase: PhaseEnded, Service: 300 * time.Millisecond,
		}}))
		if ok {
			held = append(held, next)
		}
		push(i % 1600)
	}
}

// BenchmarkStepEntry is one request at its entry node: its arrival, the grant,
// the end of the run and the acknowledgement.
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

// BenchmarkStepHeartbeat is one heartbeat received.
func BenchmarkStepHeartbeat(b *testing.B) {
	m, _, now := benchMachine(b)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		now += time.Millisecond
		m.Step(now, MessageReceived{From: "n1", Incarnation: 1, Message: Heartbeat{Incarnation: 1, ConfigVersion: 1}})
	}
}

// BenchmarkStepTick is a tick with nothing to do but heartbeats.
func BenchmarkStepTick(b *testing.B) {
	m, _, now := benchMachine(b)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		now += 50 * time.Millisecond
		m.Step(now, Tick{})
		for _, n := range []NodeID{"n1", "n2", "n3"} {
			m.view.Heard(now, string(n), 1)
		}
	}
}

// BenchmarkExchange is one period of the exchange of service counts with a
// number of active workspaces: the reports, and as many totals received.
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

// BenchmarkMembershipChange is the loss and return of one node of the fleet.
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

// BenchmarkMemory reports the bytes that a machine at the size ahead takes, and
// those of each queued ticket at its scheduler and waiting request at its entry.
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
