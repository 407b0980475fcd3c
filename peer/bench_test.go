package peer

import (
	"context"
	"fmt"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/control/speed"
)

// simulatedNode is a Handler that simulates both sides of a run: the scheduler, which
// grants tickets and acknowledges reports, and the entry, which reports the end of
// granted runs.
type simulatedNode struct {
	recorder
	node
	messages atomic.Int64
	runEnded chan struct{}
	// reportsLoad adds the load of the target to reports.
	reportsLoad bool
}

func (p *simulatedNode) Received(from control.NodeID, _ control.Incarnation, messages []control.Message) {
	var answers []control.Message
	for _, message := range messages {
		p.messages.Add(1)
		if answer := p.reply(message); answer != nil {
			answers = append(answers, answer)
		}
	}
	if len(answers) > 0 {
		p.Send(from, answers...)
	}
}

func (p *simulatedNode) reply(message control.Message) control.Message {
	switch m := message.(type) {
	case control.Ticket:
		return control.Grant{
			ID:     control.GrantID{Scheduler: "lekki-entry-2", Incarnation: 2, Seq: uint64(m.ID.Request)},
			Ticket: m.ID,
			Target: fmt.Sprintf("ikeja-draft-%02d", m.ID.Request%12),
			Spare:  3,
		}
	case control.Grant:
		report := control.Report{
			Grant:       m.ID,
			Ticket:      m.Ticket,
			Shard:       benchShard,
			Workspace:   benchWorkspace(m.Ticket.Request),
			Target:      m.Target,
			Phase:       control.PhaseEnded,
			Service:     1234567 * time.Microsecond,
			Fingerprint: 0x0123456789abcdef,
		}
		if p.reportsLoad {
			report.Load, report.LoadAge = speed.Reading{Running: 8, Waiting: 3, Slots: 12, Percent: 250}, 30*time.Millisecond
		}
		return report
	case control.Report:
		return control.ReportAck{Grant: m.Grant}
	case control.ReportAck:
		p.runEnded <- struct{}{}
	}
	return nil
}

var benchShard = control.ShardID{Pool: "drafting", DataCentre: "ikeja"}

// benchWorkspace picks one of 16 workspaces.
func benchWorkspace(request control.RequestID) string {
	return fmt.Sprintf("parish-of-st-anne-%03d", request%16)
}

func benchTicket(i int) control.Ticket {
	request := control.RequestID(1_000_000 + i)
	return control.Ticket{
		ID:          control.TicketID{Node: "ikeja-entry-1", Incarnation: 1, Request: request, Attempt: 1},
		Shard:       benchShard,
		Workspace:   benchWorkspace(request),
		CostHint:    800 * time.Millisecond,
		TimeLeft:    29876543 * time.Microsecond,
		PrefixHash:  0xfedcba9876543210,
		Fingerprint: 0x0123456789abcdef,
	}
}

// cpuTime returns the processor time used by this process.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkRunMessages sends the four messages of a run between an entry and a
// scheduler and reports, for both nodes together, bytes and processor time.
// Either a run starts every few milliseconds, or 64 are in progress. With load, each report
// has the load of the target.
func BenchmarkRunMessages(b *testing.B) {
	for _, secure := range []bool{false, true} {
		for _, load := range []bool{false, true} {
			b.Run(fmt.Sprintf("tls=%v/load=%v/sparse", secure, load), func(b *testing.B) {
				benchmarkRun(b, secure, load, 1, 5*time.Millisecond)
			})
			b.Run(fmt.Sprintf("tls=%v/load=%v/dense", secure, load), func(b *testing.B) {
				benchmarkRun(b, secure, load, 64, 0)
			})
		}
	}
}

func benchmarkRun(b *testing.B, secure, load bool, maxInFlight int, pause time.Duration) {
	entry, scheduler := benchPair(b, secure)
	entry.reportsLoad = load
	before := benchBytes(entry)
	cpuBefore := cpuTime()
	b.ResetTimer()
	inFlight := 0
	for i := range b.N {
		entry.Send("lekki-entry-2", benchTicket(i))
		inFlight++
		for inFlight >= maxInFlight {
			<-entry.runEnded
			inFlight--
		}
		time.Sleep(pause)
	}
	for ; inFlight > 0; inFlight-- {
		<-entry.runEnded
	}
	b.StopTimer()
	after := benchBytes(entry)
	messages := float64(entry.messages.Load() + scheduler.messages.Load())
	for name := range after {
		b.ReportMetric(float64(after[name]-before[name])/float64(b.N), name+"-B/run")
	}
	b.ReportMetric(float64(cpuTime()-cpuBefore)/messages, "cpu-ns/message")
}

// benchBytes reads a node's byte counters for the messages of a run.
func benchBytes(p *simulatedNode) map[string]int {
	read := func(name, direction, kind string) int {
		return p.counterValue(fmt.Sprintf(`%s{direction=%q,kind=%q}`, name, direction, kind))
	}
	const bytes = "walnut_peer_message_bytes_total"
	return map[string]int{
		"ticket": read(bytes, "out", "ticket"),
		"grant":  read(bytes, "in", "grant"),
		"report": read(bytes, "out", "report"),
		"ack":    read(bytes, "in", "report-ack"),
		"wire": p.counterValue(`walnut_peer_wire_bytes_total{direction="in"}`) +
			p.counterValue(`walnut_peer_wire_bytes_total{direction="out"}`),
	}
}

func benchPair(b *testing.B, secure bool) (entry, scheduler *simulatedNode) {
	keys := makeKeys(b, "ikeja-entry-1", "lekki-entry-2")
	var nodes []*simulatedNode
	for i, name := range []control.NodeID{"ikeja-entry-1", "lekki-entry-2"} {
		p := &simulatedNode{runEnded: make(chan struct{}, 1024)}
		change := func(o *Options) {
			if secure {
				o.TLS = loadKeys(b, keys, string(name))
			}
		}
		p.node = startWith(b, p, name, control.Incarnation(i+1), change)
		nodes = append(nodes, p)
	}
	setAllPeers(nodes[0].node, nodes[1].node)
	if _, err := nodes[0].Call(context.Background(), "lekki-entry-2", "echo", nil); err != nil {
		b.Fatal(err)
	}
	return nodes[0], nodes[1]
}

// BenchmarkSessionMemory opens b.N sessions from one node and reports the memory
// per session end; both ends of each session are in this process.
func BenchmarkSessionMemory(b *testing.B) {
	for _, secure := range []bool{false, true} {
		b.Run(fmt.Sprintf("tls=%v", secure), func(b *testing.B) { benchmarkMemory(b, secure) })
	}
}

func benchmarkMemory(b *testing.B, secure bool) {
	names := []string{"hub"}
	for i := range b.N {
		names = append(names, fmt.Sprintf("node-%d", i))
	}
	keys := makeKeys(b, names...)
	var nodes []node
	for i, name := range names {
		nodes = append(nodes, start(b, control.NodeID(name), control.Incarnation(i+1), func(o *Options) {
			if secure {
				o.TLS = loadKeys(b, keys, name)
			}
		}))
	}
	setAllPeers(nodes...)
	before := memoryInUse()
	b.ResetTimer()
	for _, n := range nodes[1:] {
		sendUntil(b, "message to the hub", n, "hub", func() bool { return len(nodes[0].received(n.self.Node)) > 0 })
		sendUntil(b, "message from the hub", nodes[0], n.self.Node, func() bool { return len(n.received("hub")) > 0 })
	}
	b.StopTimer()
	b.ReportMetric(float64(memoryInUse()-before)/float64(b.N)/2, "B/session-end")
}

func memoryInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}

// BenchmarkKeepAlive reports the bytes of a ping and its answer.
func BenchmarkKeepAlive(b *testing.B) {
	for _, secure := range []bool{false, true} {
		b.Run(fmt.Sprintf("tls=%v", secure), func(b *testing.B) {
			entry, _ := benchPair(b, secure)
			session := entry.findLink("lekki-entry-2").session
			before := benchBytes(entry)["wire"]
			b.ResetTimer()
			for range b.N {
				if _, err := session.mux.Ping(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(benchBytes(entry)["wire"]-before)/float64(b.N), "wire-B/ping")
		})
	}
}

// BenchmarkOpen opens a session with its first call and closes it. It reports the
// bytes and the processor time of both ends.
func BenchmarkOpen(b *testing.B) {
	for _, secure := range []bool{false, true} {
		b.Run(fmt.Sprintf("tls=%v", secure), func(b *testing.B) {
			entry, scheduler := benchPair(b, secure)
			before, spent := benchBytes(entry)["wire"], cpuTime()
			b.ResetTimer()
			for range b.N {
				entry.findLink("lekki-entry-2").session.closeGracefully(endIdle)
				eventually(b, "the end of the session", func() bool { return scheduler.sessionCount() == 0 })
				if _, err := entry.Call(context.Background(), "lekki-entry-2", "echo", nil); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(benchBytes(entry)["wire"]-before)/float64(b.N), "wire-B/session")
			b.ReportMetric(float64(cpuTime()-spent)/float64(b.N), "cpu-ns/session")
		})
	}
}
