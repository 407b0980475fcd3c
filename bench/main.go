// Command bench measures walnutcove with real processes and small stand-ins on
// loopback. Each subcommand is one experiment; docs/CAPACITY.md and the design
// notes name the command that reproduces each figure.
package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/walnutcove/walnutcove/bench/capacity"
	"github.com/walnutcove/walnutcove/bench/entry"
	"github.com/walnutcove/walnutcove/bench/fair"
	"github.com/walnutcove/walnutcove/bench/faults"
	"github.com/walnutcove/walnutcove/bench/latency"
	"github.com/walnutcove/walnutcove/bench/locality"
	"github.com/walnutcove/walnutcove/bench/refusals"
	"github.com/walnutcove/walnutcove/bench/throughput"
)

type commandLine struct {
	Latency    latencyCommand    `cmd:"" help:"Latency that a router adds to an uncontended request."`
	Fair       fairCommand       `cmd:"" help:"Utilisation, fairness gap and control traffic of a policy."`
	Throughput throughputCommand `cmd:"" help:"Requests a second that one router relays, and what each costs it."`
	Entry      entryCommand      `cmd:"" help:"Processor time of a request at a small router, by stage."`
	Faults     faultsCommand     `cmd:"" help:"Effect of faults on backlogged workspaces: time without starts, idle slots, over-admission, fairness gap."`
	Refusals   refusalsCommand   `cmd:"" help:"When refused callers retry, and by how much retries multiply the load."`
	Locality   localityCommand   `cmd:"" help:"Choice of target by load and then by cached prefix, compared with load alone."`
	Slopes     slopesCommand     `cmd:"" help:"Costs that grow with the fleet, the load and the configuration, measured in one process."`
	Capacity   capacityCommand   `cmd:"" help:"Cost of real router processes and their recovery from faults."`
}

type latencyCommand struct {
	Requests int `default:"2000" help:"Requests sent on each path in each repeat."`
	Repeats  int `default:"5" help:"Repeats of the comparison."`
}

// Run runs the experiment.
func (c *latencyCommand) Run(ctx context.Context, k *kong.Context) error {
	return latency.Run(ctx, k.Stdout, latency.Options{Requests: c.Requests, Repeats: c.Repeats})
}

type throughputCommand struct {
	Callers  []int         `default:"16,64,256" help:"Requests kept in flight."`
	Duration time.Duration `default:"5s" help:"How long callers send in each repeat."`
	Repeats  int           `default:"3" help:"Repeats of each number of callers."`
	Tokens   int           `default:"20" help:"Tokens of each answer."`
}

// Run runs the experiment.
func (c *throughputCommand) Run(ctx context.Context, k *kong.Context) error {
	return throughput.Run(ctx, k.Stdout, throughput.Options{
		Callers: c.Callers, Duration: c.Duration, Repeats: c.Repeats, Tokens: c.Tokens,
	})
}

type entryCommand struct {
	Routers    int           `default:"3" help:"Routers to run; all callers send to one of them."`
	Callers    int           `default:"64" help:"Requests kept in flight."`
	Duration   time.Duration `default:"5s" help:"How long each kind of request is measured; 15s at most."`
	Events     int           `default:"8" help:"Events of a streamed answer."`
	Pause      time.Duration `default:"20ms" help:"Time between two events."`
	ProfileDir string        `help:"Directory for the profiles." placeholder:"DIR"`
}

// Run runs the experiment.
func (c *entryCommand) Run(ctx context.Context, k *kong.Context) error {
	return entry.Run(ctx, k.Stdout, entry.Options{
		Routers: c.Routers, Callers: c.Callers, Duration: c.Duration, Events: c.Events, Pause: c.Pause, ProfileDir: c.ProfileDir,
	})
}

type fairCommand struct {
	Deployment string        `default:"ilesanmi" help:"Size: ilesanmi or agroservis."`
	Shapes     []string      `default:"burst,one-router,flood,hints,subsets,shares,sizes,impatient" help:"Load patterns."`
	Policies   []string      `default:"shard-queue,alone" help:"Scheduling policies."`
	Routers    int           `default:"9" help:"Routers to run."`
	Duration   time.Duration `default:"8s" help:"How long callers send in each repeat."`
	Repeats    int           `default:"5" help:"Repeats of each shape and policy."`
	WarmUp     time.Duration `default:"2s" help:"How long routers may discover one another before callers start; 0s measures the cold start."`
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
		WarmUp:     c.WarmUp,
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

type faultsCommand struct {
	Deployment string   `default:"ilesanmi" help:"Size: ilesanmi or agroservis."`
	Routers    int      `default:"9" help:"Routers to run."`
	Only       []string `help:"Faults to measure; all if left out."`
	Repeats    int      `default:"3" help:"Repeats of each fault."`
	CSV        string   `help:"File for the raw values." placeholder:"FILE"`
}

// Run runs the experiment.
func (c *faultsCommand) Run(ctx context.Context, k *kong.Context) error {
	return withCSV(c.CSV, func(csv io.Writer) error {
		return faults.Run(ctx, k.Stdout, faults.Options{
			Deployment: c.Deployment, Routers: c.Routers, Only: c.Only, Repeats: c.Repeats, CSV: csv,
		})
	})
}

type refusalsCommand struct {
	Routers       int    `default:"3" help:"Routers to run."`
	Callers       int    `default:"1200" help:"Callers in the wave."`
	Queued        int    `default:"100" help:"Requests of the workspace that may wait at one router in the wave."`
	Slots         int    `default:"4" help:"Slots of each target."`
	Tokens        int    `default:"25" help:"Tokens of each answer, at 2 ms each."`
	Repeats       int    `default:"3" help:"Repeats of each case."`
	WithoutBudget string `help:"Copy of the module without the retry budget, to compare with." placeholder:"DIR"`
	SkipWave      bool   `help:"Skip the wave."`
	SkipBrownOut  bool   `help:"Skip the brown-outs."`
	Histogram     bool   `help:"Also write how many retries arrive in each 100 ms."`
	CSV           string `help:"File for the raw values." placeholder:"FILE"`
}

// Run runs the experiment.
func (c *refusalsCommand) Run(ctx context.Context, k *kong.Context) error {
	options := refusals.Options{
		Routers: c.Routers, Callers: c.Callers, MaxQueued: c.Queued, Slots: c.Slots, Tokens: c.Tokens, Repeats: c.Repeats,
		WithoutBudget: c.WithoutBudget, SkipWave: c.SkipWave, SkipBrownOut: c.SkipBrownOut,
	}
	if c.Histogram {
		options.Histogram = k.Stdout
	}
	return withCSV(c.CSV, func(csv io.Writer) error {
		options.CSV = csv
		return refusals.Run(ctx, k.Stdout, options)
	})
}

type localityCommand struct {
	Routers     int           `default:"9" help:"Routers to run."`
	Prefixes    int           `default:"300" help:"Number of prefixes that prompts share."`
	PrefixBytes int           `default:"32768" help:"Length of each prefix."`
	Entries     int           `default:"16" help:"Prefixes that an engine caches."`
	Gap         float64       `default:"0.2" help:"Fraction of the cached prefixes that reports leave out."`
	Lag         time.Duration `default:"200ms" help:"Period at which engines renew their reports."`
	Callers     []int         `default:"18,160" help:"Requests kept in flight; there are 36 slots."`
	Duration    time.Duration `default:"5s" help:"How long each repeat is measured."`
	Repeats     int           `default:"3" help:"Repeats of each case."`
	CSV         string        `help:"File for the raw values." placeholder:"FILE"`
}

// Run runs the experiment.
func (c *localityCommand) Run(ctx context.Context, k *kong.Context) error {
	return withCSV(c.CSV, func(csv io.Writer) error {
		return locality.Run(ctx, k.Stdout, locality.Options{
			Routers: c.Routers, Prefixes: c.Prefixes, PrefixBytes: c.PrefixBytes, CacheEntries: c.Entries,
			ReportGap: c.Gap, ReportPeriod: c.Lag, Callers: c.Callers, Duration: c.Duration, Repeats: c.Repeats, CSV: csv,
		})
	})
}

type capacityCommand struct {
	Processes processesCommand `cmd:"" help:"Control traffic, processor time and memory of idle and loaded routers."`
	Versions  versionsCommand  `cmd:"" help:"How a configuration change reaches real routers."`
	Relay     relayCommand     `cmd:"" help:"First token, gaps between tokens and cost of a token, direct and through a router."`
	Recover   recoverCommand   `cmd:"" help:"Time until work flows again after a fault."`
}

type recoverCommand struct {
	Routers    int      `default:"9" help:"Routers to run."`
	Workspaces int      `default:"100" help:"Workspaces declared."`
	Only       []string `help:"Faults to inject; all if left out."`
	Behind     []int    `default:"1,100,400" help:"Versions that a frozen router misses."`
	Repeats    int      `default:"3" help:"Repeats of each fault."`
	CSV        string   `help:"File for the raw rows." placeholder:"FILE"`
}

// Run runs the measurement.
func (c *recoverCommand) Run(ctx context.Context, k *kong.Context) error {
	return withCSV(c.CSV, func(csv io.Writer) error {
		options := capacity.Recover{
			Routers: c.Routers, Workspaces: c.Workspaces, Repeats: c.Repeats, Behind: c.Behind, CSV: csv, Only: c.Only,
		}
		return options.Run(ctx, k.Stdout)
	})
}

type versionsCommand struct {
	Routers    int           `default:"3" help:"Routers to run."`
	Workspaces []int         `default:"1000,4000,16000" help:"Sizes of the configuration."`
	Patches    int           `default:"20" help:"Patches at each size."`
	Every      time.Duration `default:"500ms" help:"Time between patches."`
	CSV        string        `help:"File for the raw rows." placeholder:"FILE"`
}

// Run runs the measurement.
func (c *versionsCommand) Run(ctx context.Context, k *kong.Context) error {
	return withCSV(c.CSV, func(csv io.Writer) error {
		options := capacity.Versions{
			Routers: c.Routers, Workspaces: c.Workspaces, Patches: c.Patches, Every: c.Every, CSV: csv,
		}
		return options.Run(ctx, k.Stdout)
	})
}

type relayCommand struct {
	Streams []int  `default:"40,120,360" help:"Streams open at once."`
	Tokens  int    `default:"160" help:"Tokens of each stream."`
	Repeats int    `default:"3" help:"Repeats of each size."`
	CSV     string `help:"File for the raw rows." placeholder:"FILE"`
}

// Run runs the measurement.
func (c *relayCommand) Run(ctx context.Context, k *kong.Context) error {
	return withCSV(c.CSV, func(csv io.Writer) error {
		options := capacity.Relay{Streams: c.Streams, Tokens: c.Tokens, Repeats: c.Repeats, CSV: csv}
		return options.Run(ctx, k.Stdout)
	})
}

type processesCommand struct {
	Routers  []int         `default:"3,9,30" help:"Sizes of the fleet."`
	Duration time.Duration `default:"10s" help:"How long each state is measured."`
	Repeats  int           `default:"3" help:"Repeats of each size."`
	CSV      string        `help:"File for the raw rows." placeholder:"FILE"`
}

// Run runs the measurement.
func (c *processesCommand) Run(ctx context.Context, k *kong.Context) error {
	return withCSV(c.CSV, func(csv io.Writer) error {
		options := capacity.Processes{Routers: c.Routers, Duration: c.Duration, Repeats: c.Repeats, CSV: csv}
		return options.Run(ctx, k.Stdout)
	})
}

// withCSV calls run with a new file at path, or with nil if path is empty.
func withCSV(path string, run func(io.Writer) error) error {
	if path == "" {
		return run(nil)
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer file.Close()
	return run(file)
}

type slopesCommand struct {
	Only    []string `help:"Mechanisms to measure; all if left out."`
	Repeats int      `default:"5" help:"Repeats at each size."`
	CSV     string   `help:"File for the raw rows." placeholder:"FILE"`
}

// Run runs the measurement.
func (c *slopesCommand) Run(ctx context.Context, k *kong.Context) error {
	return withCSV(c.CSV, func(csv io.Writer) error {
		options := capacity.Slopes{Only: c.Only, Repeats: c.Repeats, CSV: csv}
		return options.Run(ctx, k.Stdout)
	})
}

func main() {
	var commands commandLine
	parsed := kong.Parse(&commands, kong.Name("bench"), kong.Description("Measurements of walnutcove."))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	parsed.BindTo(ctx, (*context.Context)(nil))
	parsed.FatalIfErrorf(parsed.Run())
}
