// Command bench measures walnutcove with real processes and small stand-ins on
// loopback. Each subcommand is one experiment; docs/CAPACITY.md and the design
// notes name the command that re-makes each figure.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/walnutcove/walnutcove/bench/capacity"
	"github.com/walnutcove/walnutcove/bench/fair"
	"github.com/walnutcove/walnutcove/bench/latency"
)

type commandLine struct {
	Latency latencyCommand `cmd:"" help:"Latency that a router adds to an uncontended request."`
	Fair    fairCommand    `cmd:"" help:"Utilisation, fairness gap and control traffic of a policy."`
	Slopes  slopesCommand  `cmd:"" help:"What grows with the fleet, the load and the configuration, in one process."`
}

type latencyCommand struct {
	Requests int `default:"2000" help:"Requests sent each way in each repeat."`
	Repeats  int `default:"5" help:"Repeats of the comparison."`
}

// Run runs the experiment.
func (c *latencyCommand) Run(ctx context.Context, k *kong.Context) error {
	return latency.Run(ctx, k.Stdout, latency.Options{Requests: c.Requests, Repeats: c.Repeats})
}

type fairCommand struct {
	Deployment string        `default:"ilesanmi" help:"Size: ilesanmi or agroservis."`
	Shapes     []string      `default:"burst,one-router,flood,hints,subsets,shares,sizes,impatient" help:"Patterns of work."`
	Policies   []string      `default:"shard-queue,alone" help:"Scheduling policies."`
	Routers    int           `default:"9" help:"Routers to run."`
	Duration   time.Duration `default:"8s" help:"How long callers send in each repeat."`
	Repeats    int           `default:"5" help:"Repeats of each shape and policy."`
	CSV        string        `help:"File for the raw rows." placeholder:"FILE"`
	Detail     bool          `help:"Also write what each workspace received."`
}

// Run runs the experiment.
func (c *fairCommand) Run(ctx context.Context, k *kong.Context) error {
	options := fair.Options{
		Deployment: c.Deployment,
		Shapes:     c.Shapes,
		Policies:   c.Policies,
		Routers:    c.Routers,
		Duration:   c.Duration,
		Repeats:    c.Repeats,
	}
	if c.Detail {
		options.Detail = k.Stdout
	}
	if c.CSV != "" {
		file, err := os.Create(c.CSV)
		if err != nil {
			return err
		}
		defer file.Close()
		options.CSV = file
	}
	return fair.Run(ctx, k.Stdout, options)
}

type slopesCommand struct {
	Only    []string `help:"Mechanisms to measure; all if left out."`
	Repeats int      `default:"5" help:"Repeats at each size."`
	CSV     string   `help:"File for the raw rows." placeholder:"FILE"`
}

// Run runs the measurement.
func (c *slopesCommand) Run(ctx context.Context, k *kong.Context) error {
	options := capacity.Slopes{Only: c.Only, Repeats: c.Repeats}
	if c.CSV != "" {
		file, err := os.Create(c.CSV)
		if err != nil {
			return err
		}
		defer file.Close()
		options.CSV = file
	}
	return options.Run(ctx, k.Stdout)
}

func main() {
	var line commandLine
	parsed := kong.Parse(&line, kong.Name("bench"), kong.Description("Measurements of walnutcove."))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	parsed.BindTo(ctx, (*context.Context)(nil))
	parsed.FatalIfErrorf(parsed.Run())
}
