// Command bench measures walnutcove with real processes and small stand-ins on
// loopback. Each subcommand is one experiment; docs/CAPACITY.md and the design
// notes name the command that re-makes each figure.
package main

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/walnutcove/walnutcove/bench/latency"
)

type commandLine struct {
	Latency latencyCommand `cmd:"" help:"Latency that a router adds to an uncontended request."`
}

type latencyCommand struct {
	Requests int `default:"2000" help:"Requests sent each way in each repeat."`
	Repeats  int `default:"5" help:"Repeats of the comparison."`
}

// Run runs the experiment.
func (c *latencyCommand) Run(ctx context.Context, k *kong.Context) error {
	return latency.Run(ctx, k.Stdout, latency.Options{Requests: c.Requests, Repeats: c.Repeats})
}

func main() {
	var line commandLine
	parsed := kong.Parse(&line, kong.Name("bench"), kong.Description("Measurements of walnutcove."))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	parsed.BindTo(ctx, (*context.Context)(nil))
	parsed.FatalIfErrorf(parsed.Run())
}
