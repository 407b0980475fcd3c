// Package cli implements the walnutdev program, which runs a small fleet in one
// process, or one stand-in as a process of its own.
package cli

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/walnutcove/walnutcove/devfleet"
)

const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2

	// startTimeout is the time limit for the start of a fleet, drainTimeout that for
	// its drain at the end.
	startTimeout = 20 * time.Second
	drainTimeout = 30 * time.Second
)

type commandLine struct {
	Managed  managedCommand  `cmd:"" default:"withargs" help:"Run a small fleet on a managed platform's stand-in in this process."`
	Fleet    fleetCommand    `cmd:"" help:"Run a small fleet whose operators patch it, with its stand-ins, in this process."`
	Platform platformCommand `cmd:"" help:"Run the platform's stand-in."`
	Engine   engineCommand   `cmd:"" help:"Run a stand-in model engine."`
	Service  serviceCommand  `cmd:"" help:"Run a stand-in plain service."`
}

// command is one subcommand.
type command interface {
	// run runs the subcommand until ctx ends.
	run(ctx context.Context, out io.Writer, log *slog.Logger) error
}

// Main runs the program and returns its exit code.
func Main(args []string, out, errOut io.Writer) int {
	var line commandLine
	parser, err := kong.New(&line,
		kong.Name("walnutdev"),
		kong.Description("A small walnutcove fleet on loopback, and its stand-ins."),
		kong.Writers(out, errOut))
	if err != nil {
		panic(err) // the struct tags above are invalid
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintf(errOut, "walnutdev: %v\n", err)
		return exitUsage
	}
	chosen := map[string]command{
		"fleet":    &line.Fleet,
		"managed":  &line.Managed,
		"platform": &line.Platform,
		"engine":   &line.Engine,
		"service":  &line.Service,
	}[parsed.Command()]
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	log := slog.New(slog.NewTextHandler(errOut, &slog.HandlerOptions{Level: slog.LevelWarn}))
	if err := chosen.run(ctx, out, log); err != nil {
		fmt.Fprintf(errOut, "walnutdev: %v\n", err)
		return exitFailed
	}
	return exitOK
}

type fleetCommand struct {
	Routers     int      `default:"3" help:"Routers to run."`
	Engines     int      `default:"2" help:"Stand-in model engines to run."`
	Services    int      `default:"1" help:"Stand-in services to run."`
	DataCentres []string `default:"ikeja" help:"Data centres to spread them over."`
}

func (c *fleetCommand) run(ctx context.Context, out io.Writer, log *slog.Logger) error {
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	fleet, err := devfleet.Start(startCtx, devfleet.Options{
		Routers:     c.Routers,
		Engines:     c.Engines,
		Services:    c.Services,
		DataCentres: c.DataCentres,
		Log:         log,
	})
	if err != nil {
		return err
	}
	fmt.Fprint(out, devfleet.Welcome(fleet))
	<-ctx.Done()
	fmt.Fprintln(out, "Draining.")
	drainCtx, cancelDrain := context.WithTimeout(context.Background(), drainTimeout)
	defer cancelDrain()
	return fleet.Shutdown(drainCtx)
}

type managedCommand struct {
	Routers int `default:"3" help:"Routers to run."`
}

func (c *managedCommand) run(ctx context.Context, out io.Writer, log *slog.Logger) error {
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	fleet, err := devfleet.StartManaged(startCtx, max(1, c.Routers), log)
	if err != nil {
		return err
	}
	fmt.Fprint(out, fleet.Welcome())
	<-ctx.Done()
	fmt.Fprintln(out, "Draining.")
	drainCtx, cancelDrain := context.WithTimeout(context.Background(), drainTimeout)
	defer cancelDrain()
	return fleet.Shutdown(drainCtx)
}
