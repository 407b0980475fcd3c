package control

import (
	"runtime"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/control/affinity"
)

// BenchmarkAffinityCopies measures copying the records of a node after another one was lost, in
// a fleet of 340 nodes, where a node holds the records of 30 streams a second, and copies of as
// many of two others, for 30 s.
func BenchmarkAffinityCopies(b *testing.B) {
	const nodes, records = 340, 30 * 30 * 3
	f := newAffinityFleet(nodes, "v1", "v2")
	m := f.nodes["n0"].machine
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for n := range records {
		m.affinities.table.Add(m.now, maxStreamLife, affinity.Record{Key: streamKey(n), Affinity: affinity.Affinity{Pool: "draft", Software: "v1"}})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	full := m.affinities.ranking
	f.stopNode("n1")
	f.run(5 * time.Second)
	lost := m.affinities.ranking
	if m.view.Alive("n1") {
		b.Fatal("the node is not lost")
	}
	sent := 0
	for b.Loop() {
		m.affinities.copiedBy, m.affinities.ranking = full, lost
		m.out = nil
		m.copyAffinities()
		sent = len(m.out)
	}
	b.ReportMetric(float64(sent), "messages")
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/records, "B/record")
}
