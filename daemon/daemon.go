// Package daemon is the walnutd program: it reads the command line and the
// settings, runs one router, and stops it on signals. The first SIGTERM or
// SIGINT drains the router; a second one aborts the drain. While a drain that
// an operator started is in progress, the first one has no effect.
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
	// ExitOK: the command succeeded; a router has drained completely.
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
	var flags commandLine
	parser, err := kong.New(&flags,
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
		return check(flags.Check.Config, out, errOut)
	}
	return run(flags.Run.Config, out, errOut)
}

func check(path string, out, errOut io.Writer) int {
	if _, err := load(path); err != nil {
		fmt.Fprintf(errOut, "%v\n", err)
		return ExitUsage
	}
	fmt.Fprintf(out, "%s: The settings are valid.\n", path)
	return ExitOK
}

// load reads the settings and checks them and the files that they refer to.
func load(path string) (settings.Settings, error) {
	loaded, err := settings.Load(path)
	if err != nil {
		return settings.Settings{}, err
	}
	return loaded, inFile(path, router.Check(loaded))
}

// inFile adds the settings file's path to errors about its keys.
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

// serve starts a router and handles signals until the router has stopped. All signals are
// caught before the router starts: one that is sent as soon as the router answers must not
// end the process.
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
			// The platform may now signal the process as it stops the VM. That signal must
			// not abort the drain.
			return drain(r, limit, signals, 2, log)
		}
	}
}

// reload reads the settings file again and applies the sections that a running router can
// change. A file that cannot be read or is not valid changes nothing.
func reload(r *router.Router, path string, log *slog.Logger) {
	loaded, err := load(path)
	if err != nil {
		log.Error("daemon: Settings cannot be read; keeping the previous ones.", "file", path, "error", err)
		return
	}
	taken, needRestart := r.Reload(loaded)
	log.Info("daemon: Settings reloaded.", "file", path, "taken", taken, "need_restart", needRestart)
}

// heapShare is the share of the VM's memory within which the garbage collector keeps
// the heap. The rest is for stacks, system buffers and data that has arrived and is
// not yet read, all of which count as used memory.
const heapShare = 0.7

// setMemoryLimit limits the heap; zero sets no limit.
func setMemoryLimit(mebibytes float64) {
	if mebibytes > 0 {
		debug.SetMemoryLimit(int64(heapShare * mebibytes * (1 << 20)))
	}
}

// shutdowner is the part of a router that drain needs.
type shutdowner interface {
	Shutdown(ctx context.Context) error
}

// maxCloseTime is the time left at the end of a drain, and closeShare its largest share of the limit.
const (
	maxCloseTime = 500 * time.Millisecond
	closeShare   = 8
)

// closeTime returns how long before the limit a drain is aborted: a platform that kills the process at
// the limit must not do so before the requests that are left have been refused.
func closeTime(limit time.Duration) time.Duration { return min(maxCloseTime, limit/closeShare) }

// drain shuts the router down. It is aborted shortly before the limit or after abortAfter more signals.
func drain(r shutdowner, limit time.Duration, signals <-chan os.Signal, abortAfter int, log *slog.Logger) int {
	ctx, cancel := context.WithTimeout(context.Background(), limit-closeTime(limit))
	defer cancel()
	go func() {
		for range abortAfter {
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

// NewLogger returns a logger with the level and format of the settings.
func NewLogger(logSettings settings.Log, out io.Writer) *slog.Logger {
	var level slog.Level
	_ = level.UnmarshalText([]byte(logSettings.Level)) // validated with the settings
	options := &slog.HandlerOptions{Level: level}
	if logSettings.Format == "json" {
		return slog.New(slog.NewJSONHandler(out, options))
	}
	return slog.New(slog.NewTextHandler(out, options))
}
