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
		Declared: config.Pool{Kind: config.KindEngine, Models: []string{Model}},
		Targets:  d.Targets,
		Slots:    d.Slots,
		Step:     d.Step,
	}}
}

// SlotsOf returns the slots of every target of a deployment, by name.
func (d Deployment) SlotsOf() map[string]int {
	slots := make(map[string]int)
	for n := range d.Targets {
		slots[TargetName(n)] = d.Slots
	}
	return slots
}

// Send lets every workspace's callers send to routers until ctx ends, and
// waits for every answer. Equal seeds give equal requests.
func (s Shape) Send(ctx context.Context, d Deployment, routers []string, seed uint64) ([]load.Result, *load.Summary) {
	var mu sync.Mutex
	var results []load.Result
	summary := load.NewSummary()
	keep := func(r load.Result) {
		mu.Lock()
		defer mu.Unlock()
		results = append(results, r)
		summary.Add(r)
	}
	var all sync.WaitGroup
	for n := range Workspaces {
		reached := routers
		if s.OneRouter(n) {
			reached = routers[:1]
		}
		run := load.Run{
			Routers: reached,
			Callers: s.Callers(n),
			Seed:    seed<<8 | uint64(n),
			Next: func(sequence int, random *rand.Rand) load.Request {
				return s.Request(n, sequence, d, random)
			},
			OnResult: keep,
		}
		all.Go(func() { run.Do(ctx) })
	}
	all.Wait()
	return results, summary
}
