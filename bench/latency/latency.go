// Package latency measures the latency that a router adds to an uncontended
// request: in each repeat, the same requests are sent to the target directly and
// then through each router in turn.
package latency

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/walnutcove/walnutcove/bench/fleet"
	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/load"
)

// Options configure the experiment.
type Options struct {
	// Requests is how many requests are sent on each path in each repeat.
	Requests int
	// Repeats is how often the comparison is made.
	Repeats int
}

const (
	model     = "walnut-small"
	pool      = "drafting"
	workspace = "bakery"
	key       = "bakery-key"
)

// Run runs the experiment and writes a table.
func Run(ctx context.Context, out io.Writer, o Options) error {
	f, err := fleet.Start(ctx, fleet.Options{
		DataCentres: []string{"ikeja"},
		Routers:     3,
		Pools: map[string]fleet.Pool{pool: {
			Config:  config.Pool{Kind: config.KindEngine, Models: []string{model}},
			Targets: 1,
			Slots:   8,
			Step:    time.Millisecond,
		}},
		Workspaces: map[string]config.Workspace{workspace: fleet.Workspace(key, 1, pool)},
	})
	if err != nil {
		return err
	}
	defer f.Close()
	direct := f.Targets[pool+"-1"].Address
	fmt.Fprintln(out, "repeat  way     first part p50  p95  p99   whole p50  p95  p99")
	for repeat := range o.Repeats {
		for _, path := range []struct{ name, address string }{
			{"direct", direct},
			{"router-1", f.CallerAddresses()[0]},
			{"router-2", f.CallerAddresses()[1]},
			{"router-3", f.CallerAddresses()[2]},
		} {
			summary := send(ctx, path.address, o.Requests)
			if summary.Count(load.Answered) != o.Requests {
				return fmt.Errorf("%s: %v", path.name, summary)
			}
			fmt.Fprintf(out, "%d  %-8s  %v  %v  %v  %v  %v  %v\n", repeat+1, path.name,
				summary.FirstPartLatency(50), summary.FirstPartLatency(95), summary.FirstPartLatency(99),
				summary.TotalLatency(50), summary.TotalLatency(95), summary.TotalLatency(99))
		}
	}
	return nil
}

// send sends requests to one address, one after another.
func send(ctx context.Context, address string, requests int) *load.Summary {
	run := load.Run{
		Routers:  []string{address},
		Callers:  1,
		Requests: requests,
		Next:     nextRequest,
	}
	return run.Do(ctx)
}

func nextRequest(n int, _ *rand.Rand) load.Request {
	return load.Request{
		Kind:      load.Stream,
		Workspace: workspace,
		Key:       key,
		Mark:      fmt.Sprintf("m%d", n),
		Model:     model,
		MaxTokens: 2,
	}
}
