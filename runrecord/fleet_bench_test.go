package runrecord

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/store/batch"
	"github.com/walnutcove/walnutcove/store/forward"
	"github.com/walnutcove/walnutcove/store/memory"
)

const (
	// fleetRequestsPerSecond is the rate of non-idempotent requests in the fleet.
	fleetRequestsPerSecond = 600
	// fleetWritesPerSecond is the write budget of the fleet.
	fleetWritesPerSecond = 300
	// callLatency is the duration of a call between two routers.
	callLatency = 2 * time.Millisecond
	// requestDuration is how long each request runs.
	requestDuration = 20 * time.Millisecond
)

// commitModes are the ways of committing that are compared; see BenchmarkFleet.
var commitModes = []string{"alone", "paced", "writers"}

// BenchmarkFleet distributes a fixed rate of requests over routers that commit
// independently without a limit ("alone"), each within its share of the fleet's
// write budget ("paced"), or through writers within the budget ("writers"). Run
// it with -benchtime=3000x.
func BenchmarkFleet(b *testing.B) {
	for _, routers := range []int{1, 9, 30, 100, 340} {
		for _, mode := range commitModes {
			b.Run(fmt.Sprintf("routers=%d/%s", routers, mode), func(b *testing.B) {
				f := newBenchFleet(routers, mode)
				f.run(b)
			})
		}
	}
}

// benchFleet is a fleet of managers. It implements the calls between its routers.
type benchFleet struct {
	table     *countingSlowTable
	managers  []*Manager
	batches   []*batch.Table
	tables    map[control.NodeID]*forward.Table
	peerBytes atomic.Int64
}

func newBenchFleet(routers int, mode string) *benchFleet {
	f := &benchFleet{
		table:  &countingSlowTable{Store: memory.New(memory.Options{})},
		tables: make(map[control.NodeID]*forward.Table),
	}
	var alive []control.NodeID
	for n := range routers {
		alive = append(alive, control.NodeID(fmt.Sprint("vm-", n)))
	}
	for _, node := range alive {
		f.add(node, alive, mode)
	}
	return f
}

func (f *benchFleet) add(node control.NodeID, alive []control.NodeID, mode string) {
	set := metrics.NewSet()
	batched := batch.New(f.table, batch.Options{Metrics: set})
	forwarded := forward.New(forward.Options{Self: node, Table: batched, Caller: f, Metrics: set})
	share := forward.Fleet{WritesPerSecond: fleetWritesPerSecond, Listed: len(alive), Alive: len(alive)}
	switch mode {
	case "paced":
		batched.SetRate(fleetWritesPerSecond / float64(len(alive)))
	case "writers":
		batched.SetRate(share.Share(forwarded.SetMembers(alive)))
	}
	f.batches = append(f.batches, batched)
	f.tables[node] = forwarded
	f.managers = append(f.managers, New(Options{
		Table: forwarded, Node: node, Incarnation: 1, Metrics: set, Timeout: 20 * time.Second,
	}))
}

// Call implements forward.Caller.
func (f *benchFleet) Call(ctx context.Context, to control.NodeID, _ string, payload []byte) ([]byte, error) {
	time.Sleep(callLatency)
	answer, err := f.tables[to].Serve(ctx, payload)
	f.peerBytes.Add(int64(len(payload) + len(answer)))
	return answer, err
}

func (f *benchFleet) run(b *testing.B) {
	waits := make([]time.Duration, b.N)
	random := rand.New(rand.NewPCG(1, 2))
	var all sync.WaitGroup
	b.ResetTimer()
	start := time.Now()
	for i := range b.N {
		time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / fleetRequestsPerSecond)))
		manager := f.managers[random.IntN(len(f.managers))]
		all.Go(func() { waits[i] = claimAndEnd(b, manager, strconv.Itoa(i)) })
	}
	all.Wait()
	for _, manager := range f.managers {
		if err := manager.Close(context.Background()); err != nil {
			b.Error(err)
		}
	}
	for _, batched := range f.batches {
		batched.Close()
	}
	slices.Sort(waits)
	writes := float64(f.table.commits.Load())
	b.ReportMetric(writes/float64(b.N), "writes/record")
	b.ReportMetric(writes/b.Elapsed().Seconds(), "writes/s")
	b.ReportMetric(float64(b.N)*fleetWritesPerSecond/writes, "records/s-at-300")
	b.ReportMetric(waits[b.N/2].Seconds()*1e3, "p50-ms")
	b.ReportMetric(waits[b.N*99/100].Seconds()*1e3, "p99-ms")
	b.ReportMetric(float64(f.peerBytes.Load())/float64(b.N), "peer-bytes/record")
	b.ReportMetric(0, "ns/op")
}

// claimAndEnd simulates one request and returns the duration of its claim.
func claimAndEnd(b *testing.B, m *Manager, key string) time.Duration {
	started := time.Now()
	request := Request{Workspace: "school", IdempotencyKey: key, Fingerprint: 1 << 62}
	decision, err := m.Claim(context.Background(), request)
	waited := time.Since(started)
	if err != nil || decision.Claim == nil {
		b.Errorf("claim failed: %v", err)
		return waited
	}
	time.Sleep(requestDuration)
	decision.Claim.Answered(Outcome{
		Status: 200, Header: map[string]string{"Content-Type": "application/json"}, Body: make([]byte, 200),
	})
	return waited
}
