// Package throughput measures how many requests per second one router relays and
// how much processor time each request costs it. The targets have more slots than
// the callers keep busy, so that the router is the bottleneck.
package throughput

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/walnutcove/walnutcove/bench/fleet"
	"github.com/walnutcove/walnutcove/bench/measure"
	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/load"
)

// Options configure the experiment.
type Options struct {
	// Callers lists the numbers of requests to keep in flight, one table line each.
	Callers []int
	// Duration is how long callers send in each repeat.
	Duration time.Duration
	Repeats  int
	// Tokens is the length of each streamed answer.
	Tokens int
}

const (
	model     = "walnut-small"
	pool      = "drafting"
	workspace = "bakery"
	key       = "bakery-key"
	targets   = 4
	slots     = 512
)

// Run runs the experiment and writes a table.
func Run(ctx context.Context, out io.Writer, o Options) error {
	f, err := fleet.Start(ctx, fleet.Options{
		DataCentres: []string{"ikeja"},
		Routers:     1,
		Pools: map[string]fleet.Pool{pool: {
			Config:  config.Pool{Kind: config.KindEngine, Models: []string{model}},
			Targets: targets,
			Slots:   slots,
			Step:    time.Millisecond,
		}},
		Workspaces: map[string]config.Workspace{workspace: fleet.Workspace(key, 1, pool)},
	})
	if err != nil {
		return err
	}
	defer f.Close()
	fmt.Fprintln(out, "callers  repeat  requests/s  tokens/s  core us/request  first part p50  p95  p99  whole p50  p99")
	for _, callers := range o.Callers {
		for repeat := range o.Repeats {
			if err := runOnce(ctx, out, f, o, callers, repeat+1); err != nil {
				return err
			}
		}
	}
	return nil
}

func runOnce(ctx context.Context, out io.Writer, f *fleet.Fleet, o Options, callers, repeat int) error {
	pid := f.Routers[0].PID()
	before, err := measure.ProcessorTime(pid)
	if err != nil {
		return err
	}
	start := time.Now()
	summary := send(ctx, f, o, callers)
	elapsed := time.Since(start).Seconds()
	after, err := measure.ProcessorTime(pid)
	if err != nil {
		return err
	}
	answered := summary.Count(load.Answered)
	if answered == 0 || summary.Count(load.Wrong) > 0 {
		return fmt.Errorf("%d callers: %v", callers, summary)
	}
	rate := float64(answered) / elapsed
	microsPerRequest := (after - before).Seconds() * 1e6 / float64(answered)
	fmt.Fprintf(out, "%7d  %6d  %10.0f  %8.0f  %15.0f  %v  %v  %v  %v  %v\n",
		callers, repeat, rate, rate*float64(o.Tokens), microsPerRequest,
		summary.FirstPartLatency(50), summary.FirstPartLatency(95), summary.FirstPartLatency(99),
		summary.TotalLatency(50), summary.TotalLatency(99))
	return nil
}

func send(ctx context.Context, f *fleet.Fleet, o Options, callers int) *load.Summary {
	sendCtx, cancel := context.WithTimeout(ctx, o.Duration)
	defer cancel()
	run := load.Run{
		Routers: f.CallerAddresses(),
		Callers: callers,
		Seed:    1,
		Next: func(n int, _ *rand.Rand) load.Request {
			return load.Request{
				Kind:      load.Stream,
				Workspace: workspace,
				Key:       key,
				Mark:      fmt.Sprintf("m%d", n),
				Model:     model,
				MaxTokens: o.Tokens,
			}
		},
	}
	return run.Do(sendCtx)
}
