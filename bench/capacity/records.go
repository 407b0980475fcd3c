package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/platform"
	"github.com/walnutcove/walnutcove/platform/batch"
	"github.com/walnutcove/walnutcove/platform/memory"
	"github.com/walnutcove/walnutcove/runrecord"
)

const (
	// recordsPerSecond is the rate of claims in the whole fleet while run
	// records are measured.
	recordsPerSecond = 600
	recordsTime      = 3 * time.Second
	// tableLatency is the time of a call to the table.
	tableLatency = 3 * time.Millisecond
)

// countedTable is a table at a distance that counts calls.
type countedTable struct {
	*memory.Store
	reads, writes atomic.Int64
}

// Get implements platform.Table.
func (t *countedTable) Get(ctx context.Context, table, key string) (platform.Row, error) {
	t.reads.Add(1)
	time.Sleep(tableLatency)
	return t.Store.Get(ctx, table, key)
}

// Commit implements platform.Table.
func (t *countedTable) Commit(ctx context.Context, ops []platform.Op) error {
	_, err := t.CommitRevision(ctx, ops)
	return err
}

// CommitRevision implements platform.RevisionTable.
func (t *countedTable) CommitRevision(ctx context.Context, ops []platform.Op) (uint64, error) {
	t.writes.Add(1)
	time.Sleep(tableLatency)
	return t.Store.CommitRevision(ctx, ops)
}

// measureRecords spreads one rate of non-idempotent requests over a number of
// routers, each with a record keeper of its own.
func measureRecords(routers int, seed uint64) ([]Value, error) {
	table := &countedTable{Store: memory.New(memory.Options{})}
	var keepers []*runrecord.Keeper
	var batches []*batch.Table
	for n := range routers {
		set := metrics.NewSet()
		batched := batch.New(table, batch.Options{Metrics: set})
		batches = append(batches, batched)
		keepers = append(keepers, runrecord.New(runrecord.Options{
			Table: batched, Node: nodeName(n), Incarnation: 1, Metrics: set,
		}))
	}
	claimed, failed := claimAtRate(keepers, seed)
	for _, k := range keepers {
		if err := k.Close(context.Background()); err != nil {
			return nil, err
		}
	}
	for _, b := range batches {
		b.Close()
	}
	if failed > 0 {
		return nil, fmt.Errorf("%d claims failed", failed)
	}
	return []Value{
		{"writes/record", float64(table.writes.Load()) / float64(claimed)},
		{"reads/record", float64(table.reads.Load()) / float64(claimed)},
		{"records/s at 300 writes/s", 300 * float64(claimed) / float64(table.writes.Load())},
	}, nil
}

// claimAtRate claims and ends records at random routers.
func claimAtRate(keepers []*runrecord.Keeper, seed uint64) (claimed, failed int64) {
	random := rand.New(rand.NewPCG(seed, 2))
	ticker := time.NewTicker(time.Second / recordsPerSecond)
	defer ticker.Stop()
	var all sync.WaitGroup
	var failures atomic.Int64
	for started := time.Now(); time.Since(started) < recordsTime; claimed++ {
		<-ticker.C
		keeper := keepers[random.IntN(len(keepers))]
		key := fmt.Sprint(claimed)
		all.Go(func() {
			decision, err := keeper.Claim(context.Background(), runrecord.Request{Workspace: "school", IdempotencyKey: key, Fingerprint: 1})
			if err != nil {
				failures.Add(1)
				return
			}
			time.Sleep(20 * time.Millisecond)
			decision.Claim.Answered(runrecord.Outcome{Status: 200, Body: make([]byte, 200)})
		})
	}
	all.Wait()
	return claimed, failures.Load()
}
