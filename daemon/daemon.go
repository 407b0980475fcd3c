// Package daemon is the walnutd program: it reads the command line and the
// settings, runs one router, and stops it on signals. The first SIGTERM or
// SIGINT drains; a second one ends at once. After a drain that an operator
// asked for, the first one changes nothing.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
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
	return run(line.Run.Config, out, errOut)
}

func check(path string, out, errOut io.Writer) int {
	if _, err := load(path); err != nil {
		fmt.Fprintf(errOut, "%v\n", err)
		return ExitUsage
	}
	fmt.Fprintf(out, "%s: The settings are valid.\n", path)
	return ExitOK
}

// load reads the settings and checks them, and the files that they name.
func load(path string) (settings.Settings, error) {
	loaded, err := settings.Load(path)
	if err != nil {
		return settings.Settings{}, err
	}
	return loaded, inFile(path, router.Check(loaded))
}

// inFile names the settings file in errors about its keys.
func inFile(path string, err error) error {
	var problems settings.Problems
	if errors.As(err, &problems) {
		return problems.InFile(path)
	}
	return err
}

func run(path string, out, errOut io.Writer) int {
	loaded, err := load(path)
	if err != nil {
		fmt.Fprintf(errOut, "%v\n", err)
		return ExitUsage
	}
	lines := newLineWriter(out)
	defer lines.Close()
	log := NewLogger(loaded.Log, lines)
	setMemoryLimit(loaded.Limits.MemoryMiB)
	start := func() (*router.Router, error) { return router.Start(loaded, log) }
	return serve(path, time.Duration(loaded.Limits.DrainTimeout), start, errOut, log)
}

// serve starts a router and obeys signals until it has ended. All signals are caught
// before the router starts: one that is sent as soon as the router answers must not end
// the process.
func serve(path string, limit time.Duration, start func() (*router.Router, error), errOut io.Writer, log *slog.Logger) int {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	defer signal.Stop(reloads)
	r, err := start()
	if err != nil {
		fmt.Fprintf(errOut, "%v\n", inFile(path, err))
		return ExitFailed
	}
	for {
		select {
		case <-reloads:
			reload(r, path, log)
		case <-signals:
			return drain(r, limit, signals, 1, log)
		case <-r.DrainRequested():
			// The platform may end the VM by a signal now; that is no second order.
			return drain(r, limit, signals, 2, log)
		}
	}
}

// reload reads the settings file again and takes over what a running router can.
// A file that cannot be read changes nothing.
func reload(r *router.Router, path string, log *slog.Logger) {
	loaded, err := load(path)
	if err != nil {
		log.Error("daemon: Settings cannot be read, going on with those before.", "file", path, "error", err)
		return
	}
	taken, left := r.Reload(loaded)
	log.Info("daemon: Settings reloaded.", "file", path, "taken", taken, "need_restart", left)
}

// memoryPart is the part of the VM's memory that the garbage collector keeps the
// heap below. The rest is for stacks, buffers of the system and what has arrived
// and is not yet read, all of which count.
const memoryPart = 0.7

// setMemoryLimit bounds the heap; zero leaves it as it is.
func setMemoryLimit(mebibytes float64) {
	if mebibytes > 0 {
		debug.SetMemoryLimit(int64(memoryPart * mebibytes * (1 << 20)))
	}
}

// shutdowner is the part of a router that drain needs.
type shutdowner interface {
	Shutdown(ctx context.Context) error
}

// drain shuts the router down. The given number of further signals cuts it.
func drain(r shutdowner, limit time.Duration, signals <-chan os.Signal, cutBy int, log *slog.Logger) int {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	go func() {
		for range cutBy {
			select {
			case <-signals:
			case <-ctx.Done():
				return
			}
		}
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
