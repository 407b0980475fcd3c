package workload

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/walnutcove/walnutcove/bench/fleet"
	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/load"
)

// Pools returns the only pool of a deployment, for fleet.Options.
func (d Deployment) Pools() map[string]fleet.Pool {
	return map[string]fleet.Pool{Pool: {
		Config:  config.Pool{Kind: config.KindEngine, Models: []string{Model}},
		Targets: d.Targets,
		Slots:   d.Slots,
		Step:    d.Step,
	}}
}

// SlotsByTarget returns the number of slots of each target of a deployment, by
// target name.
func (d Deployment) SlotsByTarget() map[string]int {
	slots := make(map[string]int)
	for n := range d.Targets {
		slots[TargetName(n)] = d.Slots
	}
	return slots
}

// Send runs the callers of every workspace against routers until ctx ends, and
// waits for every answer. Equal seeds give equal requests.
func (s Shape) Send(ctx context.Context, d Deployment, routers []string, seed uint64) ([]load.Result, *load.Summary) {
	var mu sync.Mutex
	var results []load.Result
	summary := load.NewSummary()
	record := func(r load.Result) {
		mu.Lock()
		defer mu.Unlock()
		results = append(results, r)
		summary.Add(r)
	}
	var senders sync.WaitGroup
	for n := range WorkspaceCount {
		entryRouters := routers
		if s.OneRouter(n) {
			entryRouters = routers[:1]
		}
		run := load.Run{
			Routers: entryRouters,
			Callers: s.Callers(n),
			Seed:    seed<<8 | uint64(n),
			Next: func(sequence int, random *rand.Rand) load.Request {
				return s.Request(n, sequence, d, random)
			},
			OnResult: record,
		}
		senders.Go(func() { run.Do(ctx) })
	}
	senders.Wait()
	return results, summary
}
