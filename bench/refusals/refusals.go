// Package refusals measures refused requests with real processes: whether callers
// that are refused at the same time retry at the same time, how soon they are
// refused, and by how much retries multiply the load when targets fail.
package refusals

import (
	"context"
	"io"
	"math/rand/v2"
	"time"

	"github.com/walnutcove/walnutcove/bench/fleet"
	"github.com/walnutcove/walnutcove/bench/table"
	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/load"
	"github.com/walnutcove/walnutcove/result"
)

// Options configure the experiments.
type Options struct {
	Routers int
	// Callers is how many callers send at once in the wave.
	Callers int
	// MaxQueued bounds the requests of the workspace that wait at one router.
	MaxQueued int
	// Slots is the number of slots of each target, and Tokens the length of each
	// answer, at 2 ms per token.
	Slots, Tokens int
	Repeats       int
	// WithoutBudget is the directory of a copy of the module whose routers have
	// no retry budget, to compare with; empty for none.
	WithoutBudget string
	// SkipWave and SkipBrownOut each skip one experiment.
	SkipWave, SkipBrownOut bool
	// Histogram receives the number of retries in each 100 ms; nil for none.
	Histogram io.Writer
	// CSV receives the raw values; nil for none.
	CSV io.Writer
}

const (
	model     = "walnut-small"
	pool      = "drafting"
	workspace = "bakery"
	key       = "bakery-key"
	step      = 2 * time.Millisecond
	// giveUpAfter is how long a caller retries a request.
	giveUpAfter = 60 * time.Second
)

// Run runs the experiments and writes a table for each.
func Run(ctx context.Context, out io.Writer, o Options) error {
	if !o.SkipWave {
		rows, err := runWave(ctx, o)
		if err != nil {
			return err
		}
		if err := write(out, o.CSV, rows); err != nil {
			return err
		}
	}
	if o.SkipBrownOut {
		return nil
	}
	rows, err := runBrownOuts(ctx, o)
	if err != nil {
		return err
	}
	return write(out, o.CSV, rows)
}

func write(out, csv io.Writer, rows []table.Row) error {
	if err := table.WriteCSV(csv, rows); err != nil {
		return err
	}
	return table.Write(out, rows)
}

func startFleet(ctx context.Context, o Options, targets, maxQueued int, module string) (*fleet.Fleet, error) {
	w := fleet.Workspace(key, 1, pool)
	w.MaxQueued = maxQueued
	f, err := fleet.Start(ctx, fleet.Options{
		DataCentres: []string{"ikeja"},
		Routers:     o.Routers,
		Module:      module,
		Pools: map[string]fleet.Pool{pool: {
			Config:  config.Pool{Kind: config.KindEngine, Models: []string{model}},
			Targets: targets,
			Slots:   o.Slots,
			Step:    step,
		}},
		Workspaces: map[string]config.Workspace{workspace: w},
	})
	if err == nil {
		time.Sleep(settleTime)
	}
	return f, err
}

// settleTime is how long a new fleet gets to settle.
const settleTime = 2 * time.Second

// attempt is the result of sending a caller's request once.
type attempt struct {
	load.Result
	// Number counts the attempts at the request, from 1.
	Number int
}

// sendUntilAnswered sends a request until it is answered, until the router says
// that a retry cannot succeed, or until giveUpAfter has passed. It retries after
// the time that the router asks for, and at once if the connection broke.
func sendUntilAnswered(ctx context.Context, client *load.Client, routers []string, r load.Request, random *rand.Rand) []attempt {
	var attempts []attempt
	giveUpAt := time.Now().Add(giveUpAfter)
	for ctx.Err() == nil && time.Now().Before(giveUpAt) {
		done := client.Send(routers[random.IntN(len(routers))], r)
		attempts = append(attempts, attempt{done, len(attempts) + 1})
		if done.Verdict == load.Answered || isFinal(done) {
			break
		}
		sleep(ctx, done.RetryAfter)
	}
	return attempts
}

// isFinal reports whether sending the same request again cannot succeed.
func isFinal(r load.Result) bool {
	return r.Verdict == load.Refused && !result.Code(r.Code).Info().Retry
}

// sleep waits for d, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
