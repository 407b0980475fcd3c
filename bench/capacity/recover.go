package capacity

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/walnutcove/walnutcove/bench/fleet"
	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/load"
	"github.com/walnutcove/walnutcove/operator"
	"github.com/walnutcove/walnutcove/processes"
)

// Recover measures how long real routers take to work again after a fault.
type Recover struct {
	Routers    int
	Workspaces int
	Repeats    int
	// Behind are the numbers of versions that a router misses.
	Behind []int
	CSV    io.Writer
	// Only names the faults; empty means all.
	Only []string
}

const (
	// recoverCallers keep every shard backlogged.
	recoverCallers = 200
	recoverTargets = 9
	recoverSlots   = 8
	// recoverTokens at recoverStep make runs of 200 ms in the mean.
	recoverTokens = 40
	recoverStep   = 5 * time.Millisecond
	// beforeFault and afterFault are how long requests flow around a fault.
	beforeFault = 3 * time.Second
	afterFault  = 12 * time.Second
)

// Run measures and writes a table.
func (o Recover) Run(ctx context.Context, out io.Writer) error {
	if o.CSV != nil {
		fmt.Fprint(o.CSV, csvHeader)
	}
	for _, fault := range []struct {
		name    string
		measure func(context.Context) ([]Value, error)
	}{
		{"scheduler killed", func(ctx context.Context) ([]Value, error) { return o.scheduler(ctx, kill) }},
		{"scheduler frozen", func(ctx context.Context) ([]Value, error) { return o.scheduler(ctx, freeze) }},
		{"fleet restarted empty", func(ctx context.Context) ([]Value, error) { return o.restart(ctx, true) }},
		{"fleet restarted without callers", func(ctx context.Context) ([]Value, error) { return o.restart(ctx, false) }},
		{"router behind", o.behind},
		{"router restarted in an outage", o.restartInOutage},
	} {
		if len(o.Only) > 0 && !slices.Contains(o.Only, fault.name) {
			continue
		}
		var rows []Row
		for repeat := range max(1, o.Repeats) {
			values, err := fault.measure(ctx)
			if err != nil {
				return fmt.Errorf("%s: %w", fault.name, err)
			}
			for _, v := range values {
				rows = append(rows, Row{fault.name, "routers", float64(o.Routers), repeat + 1, v})
			}
		}
		writeTable(out, fault.name, "routers", rows)
		if o.CSV != nil {
			writeCSV(o.CSV, rows)
		}
	}
	return nil
}

func kill(r *processes.Router) error {
	r.Kill()
	return nil
}

func freeze(r *processes.Router) error { return r.Freeze() }

func (o Recover) start(ctx context.Context) (*fleet.Fleet, error) {
	declared := make(map[string]config.Workspace, o.Workspaces)
	for n := range o.Workspaces {
		w := fleet.Workspace(workspaceKey(n), 1, benchPool)
		w.MaxQueued = recoverCallers
		declared[workspaceName(n)] = w
	}
	f, err := fleet.Start(ctx, fleet.Options{
		DataCentres: []string{centreName(0), centreName(1), centreName(2)},
		Routers:     o.Routers,
		Pools: map[string]fleet.Pool{benchPool: {
			Declared: config.Pool{Kind: config.KindEngine, Models: []string{benchModel}},
			Targets:  recoverTargets, Slots: recoverSlots, Step: recoverStep,
		}},
		Workspaces: declared,
		Edit:       usualPeriods,
	})
	if err != nil {
		return nil, err
	}
	if err := sleep(ctx, fleetSettles); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// scheduler breaks the router that schedules the shard of the first data
// centre, while callers of the other routers keep it backlogged.
func (o Recover) scheduler(ctx context.Context, fault func(*processes.Router) error) ([]Value, error) {
	f, err := o.start(ctx)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	victim, err := findScheduler(ctx, f, o.Workspaces)
	if err != nil {
		return nil, err
	}
	callers := slices.DeleteFunc(f.Callers(), func(address string) bool { return address == victim.Settings.Listen.Callers })
	requests := sendWhile(ctx, callers, o.Workspaces)
	if err := sleep(ctx, beforeFault); err != nil {
		return nil, err
	}
	at := time.Now()
	if err := fault(victim); err != nil {
		return nil, err
	}
	if err := sleep(ctx, afterFault); err != nil {
		return nil, err
	}
	summary := requests.stop()
	entries, err := f.Journals()
	if err != nil {
		return nil, err
	}
	starts := startsOf(entries, func(target string) bool { return f.Target(target).DataCentre == centreName(0) })
	return []Value{
		{"ms without a start, before", longestPause(starts, at.Add(-beforeFault+time.Second), at)},
		{"ms without a start, after", longestPause(starts, at, at.Add(afterFault-time.Second))},
		{"starts/s before", startsPerSecond(starts, at.Add(-beforeFault+time.Second), at)},
		{"starts/s in the last 5 s", startsPerSecond(starts, at.Add(afterFault-6*time.Second), at.Add(afterFault-time.Second))},
		{"answered", float64(summary.Count(load.Answered))},
		{"refused", float64(summary.Count(load.Refused))},
		{"broken or wrong", float64(summary.Count(load.Broken) + summary.Count(load.Wrong))},
	}, nil
}

// findScheduler lets requests run for a moment and asks the routers who
// schedules the shard of the first data centre.
func findScheduler(ctx context.Context, f *fleet.Fleet, workspaces int) (*processes.Router, error) {
	requests := sendWhile(ctx, f.Callers(), workspaces)
	if err := sleep(ctx, time.Second); err != nil {
		return nil, err
	}
	var found *processes.Router
	most := 0
	for _, r := range f.Routers {
		var status operator.Status
		url := "http://" + r.Settings.Listen.Operators + operator.PathStatus
		if err := fleet.GetJSON(url, &status); err != nil {
			return nil, err
		}
		for _, shard := range status.Shards {
			if shard.DataCentre == centreName(0) && shard.Running > most {
				found, most = r, shard.Running
			}
		}
	}
	requests.stop()
	if found == nil {
		return nil, fmt.Errorf("no router schedules the shard in %s", centreName(0))
	}
	return found, nil
}

// requests are callers at work.
type requests struct {
	cancel context.CancelFunc
	done   chan *load.Summary
}

func sendWhile(ctx context.Context, callers []string, workspaces int) requests {
	sending, cancel := context.WithCancel(ctx)
	r := requests{cancel: cancel, done: make(chan *load.Summary, 1)}
	run := load.Run{
		Routers: callers,
		Callers: recoverCallers,
		Seed:    1,
		Next: func(n int, random *rand.Rand) load.Request {
			workspace := random.IntN(workspaces)
			return load.Request{
				Kind: load.Stream, Workspace: workspaceName(workspace), Key: workspaceKey(workspace),
				Mark: fmt.Sprintf("m%d", n), Model: benchModel, MaxTokens: recoverTokens/2 + random.IntN(recoverTokens),
			}
		},
	}
	go func() { r.done <- run.Do(sending) }()
	return r
}

// stop ends the sending and waits for the answers.
func (r requests) stop() *load.Summary {
	r.cancel()
	return <-r.done
}

// restart kills every router at once and starts all again, empty. Callers ask
// again without a pause, from the beginning or once all routers are ready.
func (o Recover) restart(ctx context.Context, impatient bool) ([]Value, error) {
	f, err := o.start(ctx)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var ending sync.WaitGroup
	for _, r := range f.Routers {
		ending.Go(r.Kill)
	}
	ending.Wait()
	started := time.Now()
	var requests requests
	if impatient {
		requests = sendWhile(ctx, f.Callers(), o.Workspaces)
	}
	ready, err := startAgain(f.Routers, started)
	if err != nil {
		return nil, err
	}
	if !impatient {
		requests = sendWhile(ctx, f.Callers(), o.Workspaces)
	}
	if err := sleep(ctx, afterFault); err != nil {
		return nil, err
	}
	summary := requests.stop()
	entries, err := f.Journals()
	if err != nil {
		return nil, err
	}
	starts := startsOf(entries, func(string) bool { return true })
	if len(starts) == 0 {
		return nil, fmt.Errorf("nothing ran after the restart: %v", summary)
	}
	full := float64(recoverTargets*recoverSlots) * float64(time.Second) / float64(recoverTokens*recoverStep)
	return []Value{
		{"ms until the first is ready", slices.Min(ready)},
		{"ms until all are ready", slices.Max(ready)},
		{"ms until the first start", millis(starts[0].Sub(started))},
		{"ms until 90 % of the slots' rate", untilRate(starts, started, 0.9*full)},
		{"answered", float64(summary.Count(load.Answered))},
		{"refused", float64(summary.Count(load.Refused))},
	}, nil
}

// startAgain starts ended routers at once and returns when each was ready, in
// milliseconds.
func startAgain(routers []*processes.Router, started time.Time) ([]float64, error) {
	ready := make([]float64, len(routers))
	errs := make([]error, len(routers))
	var starting sync.WaitGroup
	for i, r := range routers {
		starting.Go(func() {
			errs[i] = r.Restart()
			if errs[i] == nil {
				errs[i] = r.WaitReady()
			}
			ready[i] = millis(time.Since(started))
		})
	}
	starting.Wait()
	return ready, errors.Join(errs...)
}

// behind freezes a router while versions are accepted, and thaws it.
func (o Recover) behind(ctx context.Context) ([]Value, error) {
	f, err := o.start(ctx)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	version := config.Version(1)
	last := f.Routers[len(f.Routers)-1]
	var values []Value
	for _, missed := range o.Behind {
		if err := last.Freeze(); err != nil {
			return nil, err
		}
		for range missed {
			if version, err = submit(f, version); err != nil {
				return nil, err
			}
		}
		if err := last.Thaw(); err != nil {
			return nil, err
		}
		thawed := time.Now()
		if err := waitVersion([]*processes.Router{last}, version); err != nil {
			return nil, err
		}
		values = append(values, Value{fmt.Sprintf("ms to catch up %d versions", missed), millis(time.Since(thawed))})
	}
	return values, nil
}

// restartInOutage restarts one router while the platform answers nobody.
func (o Recover) restartInOutage(ctx context.Context) ([]Value, error) {
	f, err := o.start(ctx)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	outage := map[string]string{"outage": "refuse"}
	if err := fleet.PostJSON("http://"+f.Platform.Address+"/_fault", outage, nil); err != nil {
		return nil, err
	}
	last := f.Routers[len(f.Routers)-1]
	last.Kill()
	started := time.Now()
	if err := last.Restart(); err != nil {
		return nil, err
	}
	if err := last.WaitReady(); err != nil {
		return nil, err
	}
	return []Value{{"ms until ready", millis(time.Since(started))}}, nil
}
