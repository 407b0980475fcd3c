// Package refusals measures what becomes of refused requests with real
// processes: whether those refused together come back together, how soon they
// are told, and how far retries multiply load when targets fail.
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
	// Callers is how many send at once in the wave.
	Callers int
	// Queued bounds what the workspace may have waiting at one router.
	Queued int
	// Slots of each target, and Tokens of each answer at 2 ms a token.
	Slots, Tokens int
	Repeats       int
	// WithoutBudget is the directory of a copy of the module whose routers
	// have no retry budget, to compare with; empty for none.
	WithoutBudget string
	// SkipWave and SkipBrownOut leave out an experiment.
	SkipWave, SkipBrownOut bool
	// Histogram receives the returns in each 100 ms; nil for none.
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
	// giveUp is when a caller stops coming back.
	giveUp = 60 * time.Second
)

// Run makes the measurements and writes a table for each experiment.
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
	if err := table.CSV(csv, rows); err != nil {
		return err
	}
	return table.Write(out, rows)
}

func startFleet(ctx context.Context, o Options, targets, queued int, module string) (*fleet.Fleet, error) {
	w := fleet.Workspace(key, 1, pool)
	w.MaxQueued = queued
	f, err := fleet.Start(ctx, fleet.Options{
		DataCentres: []string{"ikeja"},
		Routers:     o.Routers,
		Module:      module,
		Pools: map[string]fleet.Pool{pool: {
			Declared: config.Pool{Kind: config.KindEngine, Models: []string{model}},
			Targets:  targets,
			Slots:    o.Slots,
			Step:     step,
		}},
		Workspaces: map[string]config.Workspace{workspace: w},
	})
	if err == nil {
		time.Sleep(settleFor)
	}
	return f, err
}

// settleFor is left to a fleet that was started.
const settleFor = 2 * time.Second

// try is one sending of a caller's request.
type try struct {
	load.Result
	// Number counts the caller's tries of the request, from 1.
	Number int
}

// persist sends a request until it is answered, until the router says that
// coming back is no use, or until a caller would give up. It comes back when
// the router says, and at once if its connection broke.
func persist(ctx context.Context, client *load.Client, routers []string, r load.Request, random *rand.Rand) []try {
	var tries []try
	limit := time.Now().Add(giveUp)
	for ctx.Err() == nil && time.Now().Before(limit) {
		done := client.Send(routers[random.IntN(len(routers))], r)
		tries = append(tries, try{done, len(tries) + 1})
		if done.Verdict == load.Answered || isFinal(done) {
			break
		}
		pause(ctx, done.RetryAfter)
	}
	return tries
}

// isFinal says that sending the same request again cannot help.
func isFinal(r load.Result) bool {
	return r.Verdict == load.Refused && !result.Code(r.Code).Info().Retry
}

// pause waits, or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
