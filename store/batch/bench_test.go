package batch

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	standin "github.com/walnutcove/walnutcove/standin/platform"
	"github.com/walnutcove/walnutcove/store"
)

// benchCallersPerProcessor is the number of concurrent callers per processor.
const benchCallersPerProcessor = 64

// BenchmarkInsert inserts rows over HTTP from many concurrent callers: one by one
// and batched, without a limit and within a budget of 200 transactions a second,
// and with some of the inserts failing because the row exists.
func BenchmarkInsert(b *testing.B) {
	for _, writesPerSecond := range []float64{0, 200} {
		for _, batched := range []bool{false, true} {
			for _, conflictFraction := range []float64{0, 0.01, 0.1} {
				if !batched && conflictFraction > 0 {
					continue
				}
				name := fmt.Sprintf("budget=%v/batched=%v/conflicts=%v", writesPerSecond, batched, conflictFraction)
				b.Run(name, func(b *testing.B) { benchInsert(b, writesPerSecond, batched, conflictFraction) })
			}
		}
	}
}

func benchInsert(b *testing.B, writesPerSecond float64, batched bool, conflictFraction float64) {
	set := metrics.NewSet()
	client := startClient(b, set)
	var table store.RevisionTable = client
	if batched {
		batcher := New(client, Options{Metrics: set})
		defer batcher.Close()
		table = batcher
	}
	insertExistingRows(b, client)
	if writesPerSecond > 0 {
		client.SetWriteRate(writesPerSecond)
	}
	var next, refused, waited atomic.Int64
	b.SetParallelism(benchCallersPerProcessor)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		random := rand.New(rand.NewPCG(1, uint64(next.Add(1))))
		for pb.Next() {
			key := fmt.Sprintf("k%d", next.Add(1))
			if random.Float64() < conflictFraction {
				key = existingKey(random.IntN(existingRows))
			}
			start := time.Now()
			err := table.Commit(context.Background(), insert(key))
			waited.Add(int64(time.Since(start)))
			if err != nil && !errors.Is(err, store.ErrConflict) {
				refused.Add(1)
			}
		}
	})
	seconds := b.Elapsed().Seconds()
	calls := func(op string) float64 {
		return float64(set.GetOrCreateCounter(fmt.Sprintf(`walnut_platform_calls_total{op=%q}`, op)).Get())
	}
	b.ReportMetric(float64(b.N)/seconds, "rows/s")
	commits := calls("commit") - existingRows/100
	b.ReportMetric(commits/seconds, "commits/s")
	b.ReportMetric(calls("get")/seconds, "reads/s")
	b.ReportMetric(float64(b.N)/commits, "rows/commit")
	b.ReportMetric(float64(waited.Load())/float64(b.N)/1e6, "ms/row")
	b.ReportMetric(float64(refused.Load()), "refused")
	b.ReportMetric(0, "ns/op")
}

// existingRows is the number of rows that exist before the benchmark.
const existingRows = 10_000

func existingKey(i int) string { return fmt.Sprintf("taken%d", i) }

func insertExistingRows(b *testing.B, table store.Table) {
	b.Helper()
	for first := 0; first < existingRows; first += 100 {
		var keys []string
		for i := range 100 {
			keys = append(keys, existingKey(first+i))
		}
		if err := table.Commit(context.Background(), insert(keys...)); err != nil {
			b.Fatal(err)
		}
	}
}

func startClient(b *testing.B, set *metrics.Set) *store.Client {
	b.Helper()
	server := standin.New(standin.Options{})
	address, err := server.Start("127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	options := store.Options{Address: address, Metrics: set, Timeout: time.Minute, MaxWriteWait: time.Minute}
	options.WritesPerSecond, options.WriteBurst = 1e9, 1
	client := store.NewClient(options)
	b.Cleanup(func() {
		client.Close()
		if err := server.Close(); err != nil {
			b.Error(err)
		}
	})
	return client
}

// BenchmarkLoneInsert measures the wait of a single caller.
func BenchmarkLoneInsert(b *testing.B) {
	set := metrics.NewSet()
	table := New(startClient(b, set), Options{Metrics: set})
	defer table.Close()
	for i := range b.N {
		if err := table.Commit(context.Background(), insert(fmt.Sprint(i))); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkArrivals inserts 500 rows a second at a constant rate, within a budget
// of 50 transactions a second: a router's share in a busy fleet.
func BenchmarkArrivals(b *testing.B) {
	const perSecond, budget = 500, 50
	for _, paced := range []bool{false, true} {
		b.Run(fmt.Sprintf("paced=%v", paced), func(b *testing.B) {
			set := metrics.NewSet()
			client := startClient(b, set)
			client.SetWriteRate(budget)
			options := Options{Metrics: set}
			if paced {
				options.PerSecond = budget
			}
			table := New(client, options)
			defer table.Close()
			waits := make([]time.Duration, b.N)
			var callers sync.WaitGroup
			b.ResetTimer()
			start := time.Now()
			for i := range b.N {
				arrives := start.Add(time.Duration(i) * time.Second / perSecond)
				time.Sleep(time.Until(arrives))
				callers.Go(func() {
					if err := table.Commit(context.Background(), insert(fmt.Sprint(i))); err != nil {
						b.Error(err)
					}
					waits[i] = time.Since(arrives)
				})
			}
			callers.Wait()
			slices.Sort(waits)
			commits := set.GetOrCreateCounter(`walnut_platform_calls_total{op="commit"}`).Get()
			b.ReportMetric(float64(commits)/b.Elapsed().Seconds(), "commits/s")
			b.ReportMetric(waits[b.N/2].Seconds()*1e3, "p50-ms")
			b.ReportMetric(waits[b.N*99/100].Seconds()*1e3, "p99-ms")
			b.ReportMetric(0, "ns/op")
		})
	}
}
