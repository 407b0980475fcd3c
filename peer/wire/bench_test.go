package wire

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/control/speed"
	"github.com/walnutcove/walnutcove/peer/peerpb"
)

// BenchmarkTicket encodes and decodes batches of tickets of 16 workspaces.
func BenchmarkTicket(b *testing.B) {
	const batch = 32
	var tickets []control.Message
	for i := range batch {
		tickets = append(tickets, control.Ticket{
			ID:        control.TicketID{Node: nodeA.Node, Incarnation: nodeA.Incarnation, Request: control.RequestID(i + 1e6), Attempt: 1},
			Shard:     control.ShardID{Pool: "drafting", DataCentre: "ikeja"},
			Workspace: fmt.Sprintf("workspace-%d", i%16),
			TimeLeft:  30 * time.Second,
		})
	}
	benchmarkCodec(b, tickets)
}

// benchmarkCodec encodes and decodes a batch of messages.
func benchmarkCodec(b *testing.B, messages []control.Message) {
	p := newCodecPair()
	for b.Loop() {
		frame, _, err := p.EncodeFrame(messages)
		if err != nil {
			b.Fatal(err)
		}
		encoded, err := proto.Marshal(frame)
		if err != nil {
			b.Fatal(err)
		}
		received := &peerpb.Frame{}
		if err := proto.Unmarshal(encoded, received); err != nil {
			b.Fatal(err)
		}
		if _, err := p.DecodeFrame(received); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(len(messages)), "ns/message")
}

// BenchmarkReport encodes and decodes batches of reports with and without the target's load.
func BenchmarkReport(b *testing.B) {
	for _, load := range []speed.Reading{{}, {Running: 8, Waiting: 3, Slots: 12, Percent: 250}} {
		b.Run(fmt.Sprintf("load=%v", load.HasSpeed()), func(b *testing.B) {
			const batch = 32
			var reports []control.Message
			for range batch {
				report := reportBefore
				report.Load = load
				if load.HasSpeed() {
					report.LoadAge = 30 * time.Millisecond
				}
				reports = append(reports, report)
			}
			benchmarkCodec(b, reports)
		})
	}
}

// BenchmarkFullTables reports the memory of one encoder and one decoder whose
// tables are full.
func BenchmarkFullTables(b *testing.B) {
	before := memoryInUse()
	var pairs []codecPair
	for range b.N {
		p := newCodecPair()
		for i := range 3 * nameSlots {
			workspace := fmt.Sprintf("parish-of-st-anne-%05d", i)
			if _, err := p.roundTrip([]control.Message{control.Ticket{Workspace: workspace}}); err != nil {
				b.Fatal(err)
			}
		}
		pairs = append(pairs, p)
	}
	b.ReportMetric(float64(memoryInUse()-before)/float64(b.N), "B/session-end")
	runtime.KeepAlive(pairs)
}

func memoryInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
