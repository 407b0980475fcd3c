// Package cli is the command line of walnutctl: it parses arguments with kong,
// calls package ctl, and prints the results. Results go to standard output as
// "word key=value ..." lines, tables, JSON or TOML; errors and progress go to
// standard error.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kong"

	"github.com/walnutcove/walnutcove/ctl"
)

const description = `Drives a walnutcove fleet through any of its routers.

Exit codes: 0 done, 1 failure, 2 usage, 3 conflict (another patch won), 4 unavailable (nothing changed),
5 wait timeout (accepted, not yet in force everywhere), 6 outcome unknown (send again with the same id),
7 invalid declarations or patch, 8 operator key refused, 9 no such version or router, 10 diff found differences.`

// Streams are the standard streams of a command.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

type commands struct {
	Router  []string      `help:"Operator address of a router, IP:PORT. Repeat, or separate with commas; the next is tried if one cannot be reached." env:"WALNUT_ROUTERS" placeholder:"IP:PORT"`
	KeyFile string        `help:"File that holds the operator key. Without it WALNUT_OPERATOR_KEY is used." type:"path" env:"WALNUT_OPERATOR_KEY_FILE"`
	Timeout time.Duration `help:"Time limit of the command, apart from --wait." default:"60s"`

	Attempts int `help:"How often in total a patch with an unknown outcome is sent." default:"10"`

	Apply    applyCommand    `cmd:"" help:"Make the fleet's configuration equal to a directory of TOML declarations."`
	Patch    patchCommand    `cmd:"" help:"Send a JSON merge patch against a version."`
	Get      getCommand      `cmd:"" help:"Print a version of the configuration."`
	Diff     diffCommand     `cmd:"" help:"Print what apply would change; exit code 10 if there are differences."`
	History  historyCommand  `cmd:"" help:"List accepted versions, newest first."`
	Rollback rollbackCommand `cmd:"" help:"Make a new version with the declarations of an older one."`
	Status   statusCommand   `cmd:"" help:"Show routers, targets, backlog and shards of the whole fleet."`
	Drain    drainCommand    `cmd:"" help:"Start the graceful shutdown of a router."`
	Keys     keysCommand     `cmd:"" help:"Make and hash keys."`
}

// app holds the streams and global flags that the commands share.
type app struct {
	Streams
	flags *commands
}

// Main runs walnutctl with the arguments after the program's name and returns
// its exit code.
func Main(args []string, streams Streams) ctl.Exit {
	var flags commands
	exited := false
	parser, err := kong.New(&flags,
		kong.Name("walnutctl"),
		kong.Description(description),
		kong.Writers(streams.Out, streams.Err),
		kong.Exit(func(int) { exited = true }),
	)
	if err != nil {
		fmt.Fprintf(streams.Err, "walnutctl: %v\n", err)
		return ctl.ExitFailure
	}
	parsed, err := parser.Parse(args)
	if exited { // --help
		return ctl.ExitOK
	}
	if err != nil {
		return report(streams.Err, &ctl.Error{Exit: ctl.ExitUsage, Summary: err.Error(), Next: "see walnutctl --help"})
	}
	a := &app{Streams: streams, flags: &flags}
	return report(streams.Err, parsed.Run(a))
}

// report prints an error and returns its exit code.
func report(w io.Writer, err error) ctl.Exit {
	if err == nil {
		return ctl.ExitOK
	}
	var e *ctl.Error
	if !errors.As(err, &e) {
		e = &ctl.Error{Exit: ctl.ExitFailure, Summary: err.Error()}
	}
	if e.Exit == ctl.ExitDifferent {
		return e.Exit
	}
	fmt.Fprintf(w, "walnutctl: %v\n", e)
	for _, detail := range e.Details {
		fmt.Fprintf(w, "walnutctl:   %s\n", detail)
	}
	if e.Next != "" {
		fmt.Fprintf(w, "walnutctl: next: %s\n", e.Next)
	}
	return e.Exit
}

// client returns a client for the global flags. There is no flag for the key itself, so that
// it never appears on a command line.
func (a *app) client() (*ctl.Client, error) {
	key := os.Getenv("WALNUT_OPERATOR_KEY")
	if a.flags.KeyFile != "" {
		raw, err := os.ReadFile(a.flags.KeyFile)
		if err != nil {
			return nil, usageError("the key file cannot be read: %v", err)
		}
		key = string(raw)
	}
	return ctl.NewClient(ctl.Options{
		Routers:  a.flags.Router,
		Key:      strings.TrimSpace(key),
		Attempts: a.flags.Attempts,
	})
}

// withClient calls f with a client and a context that ends at the command's time limit.
func (a *app) withClient(f func(ctx context.Context, client *ctl.Client) error) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), a.flags.Timeout)
	defer cancel()
	return f(ctx, client)
}

func (a *app) printf(format string, args ...any) { fmt.Fprintf(a.Out, format, args...) }

func (a *app) progress(format string, args ...any) { fmt.Fprintf(a.Err, format, args...) }

func usageError(format string, args ...any) *ctl.Error {
	return &ctl.Error{Exit: ctl.ExitUsage, Summary: fmt.Sprintf(format, args...)}
}
