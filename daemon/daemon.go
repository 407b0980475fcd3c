// Package daemon is the walnutd program: it reads the command line and the
// settings, runs one router, and stops it on signals. The first SIGTERM or
// SIGINT drains; a second one ends at once.
package daemon

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/walnutcove/walnutcove/router"
	"github.com/walnutcove/walnutcove/settings"
)

// Exit codes of walnutd.
const (
	// ExitOK: the command succeeded; a router drained and cut nothing.
	ExitOK = 0
	// ExitFailed: the router could not start, or its drain was cut short.
	ExitFailed = 1
	// ExitUsage: the command line or the settings are not valid.
	ExitUsage = 2
)

type commandLine struct {
	Run   runCommand   `cmd:"" default:"withargs" help:"Run a router."`
	Check checkCommand `cmd:"" help:"Check a settings file and start nothing."`
}

type runCommand struct {
	Config string `short:"c" required:"" placeholder:"FILE" help:"Settings file (TOML)."`
}

type checkCommand struct {
	Config string `short:"c" required:"" placeholder:"FILE" help:"Settings file (TOML)."`
}

// Main runs the program and returns its exit code.
func Main(args []string, out, errOut io.Writer) int {
	var line commandLine
	parser, err := kong.New(&line,
		kong.Name("walnutd"),
		kong.Description("One router of a walnutcove fleet."),
		kong.Writers(out, errOut))
	if err != nil {
		panic(err) // a mistake in the struct tags above
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintf(errOut, "walnutd: %v\n", err)
		return ExitUsage
	}
	if parsed.Command() == "check" {
		return check(line.Check.Config, out, errOut)
	}
	return run(line.Run.Config, errOut)
}

func check(path string, out, errOut io.Writer) int {
	if _, err := settings.Load(path); err != nil {
		fmt.Fprintf(errOut, "%v\n", err)
		return ExitUsage
	}
	fmt.Fprintf(out, "%s: The settings are valid.\n", path)
	return ExitOK
}

func run(path string, errOut io.Writer) int {
	loaded, err := settings.Load(path)
	if err != nil {
		fmt.Fprintf(errOut, "%v\n", err)
		return ExitUsage
	}
	log := NewLogger(loaded.Log, errOut)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	r, err := router.Start(loaded, log)
	if err != nil {
		fmt.Fprintf(errOut, "walnutd: %v\n", err)
		return ExitFailed
	}
	select {
	case <-signals:
	case <-r.DrainAsked():
	}
	return drain(r, time.Duration(loaded.Limits.DrainTimeout), signals, log)
}

// drain shuts the router down. A signal that comes meanwhile cuts the drain.
func drain(r *router.Router, limit time.Duration, signals <-chan os.Signal, log *slog.Logger) int {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	if err := r.Shutdown(ctx); err != nil {
		log.Warn("daemon: Drain was cut short.", "error", err)
		return ExitFailed
	}
	return ExitOK
}

// NewLogger returns the logger that the settings ask for.
func NewLogger(s settings.Log, out io.Writer) *slog.Logger {
	var level slog.Level
	_ = level.UnmarshalText([]byte(s.Level)) // validated with the settings
	options := &slog.HandlerOptions{Level: level}
	if s.Format == "json" {
		return slog.New(slog.NewJSONHandler(out, options))
	}
	return slog.New(slog.NewTextHandler(out, options))
}
