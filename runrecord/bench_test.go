package runrecord

import (
	"context"
	"fmt"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/store"
	"github.com/walnutcove/walnutcove/store/batch"
	"github.com/walnutcove/walnutcove/store/memory"
)

// countingSlowTable is a table with a fixed latency that counts its calls.
type countingSlowTable struct {
	*memory.Store
	reads, commits, ops atomic.Int64
}

// tableLatency is the duration of one call to the table in benchmarks.
const tableLatency = 3 * time.Millisecond

func (t *countingSlowTable) Get(ctx context.Context, table, key string) (store.Row, error) {
	t.reads.Add(1)
	time.Sleep(tableLatency)
	return t.Store.Get(ctx, table, key)
}

func (t *countingSlowTable) CommitRevision(ctx context.Context, ops []store.Op) (uint64, error) {
	t.commits.Add(1)
	t.ops.Add(int64(len(ops)))
	time.Sleep(tableLatency)
	return t.Store.CommitRevision(ctx, ops)
}

func (t *countingSlowTable) Commit(ctx context.Context, ops []store.Op) error {
	_, err := t.CommitRevision(ctx, ops)
	return err
}

// BenchmarkRecords measures the load of one router on the table: commits,
// operations and reads per record, and the size of a record's row.
func BenchmarkRecords(b *testing.B) {
	for _, batched := range []bool{false, true} {
		for _, callers := range []int{1, 16, 256} {
			b.Run(fmt.Sprintf("batched=%v/callers=%d", batched, callers), func(b *testing.B) {
				benchmarkRecords(b, batched, callers)
			})
		}
	}
}

func benchmarkRecords(b *testing.B, batched bool, callers int) {
	slow := &countingSlowTable{Store: memory.New(memory.Options{})}
	var table store.Table = slow
	if batched {
		batcher := batch.New(slow, batch.Options{Metrics: metrics.NewSet()})
		defer batcher.Close()
		table = batcher
	}
	m := New(Options{Table: table, Node: "ikeja-1", Incarnation: 1 << 62, Metrics: metrics.NewSet()})
	var next atomic.Int64
	body := make([]byte, 200)
	b.SetParallelism(callers)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			key := strconv.FormatInt(next.Add(1), 10)
			decision, err := m.Claim(context.Background(), Request{Workspace: "school", IdempotencyKey: key, Fingerprint: 1 << 62})
			if err != nil {
				b.Error(err)
				return
			}
			decision.Claim.Answered(Outcome{Status: 200, Header: map[string]string{"Content-Type": "application/json"}, Body: body})
		}
	})
	if err := m.Close(context.Background()); err != nil {
		b.Fatal(err)
	}
	b.StopTimer()
	perRecord := func(n int64) float64 { return float64(n) / float64(b.N) }
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "records/s")
	b.ReportMetric(float64(slow.commits.Load())/b.Elapsed().Seconds(), "commits/s")
	b.ReportMetric(perRecord(slow.commits.Load()), "commits/record")
	b.ReportMetric(perRecord(slow.ops.Load()), "ops/record")
	b.ReportMetric(perRecord(slow.reads.Load()), "reads/record")
	reportRowBytes(b, slow)
}

// reportRowBytes reports the size of a stored row's key and value.
func reportRowBytes(b *testing.B, table *countingSlowTable) {
	rows, err := table.Store.Scan(context.Background(), Table, "", 1)
	if err != nil || len(rows) == 0 {
		b.Fatalf("no row: %v", err)
	}
	b.ReportMetric(float64(len(rows[0].Key)+len(rows[0].Value)), "row-bytes")
}
