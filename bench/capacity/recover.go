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

// Recover measures how long real routers take to recover from a fault.
type Recover struct {
	Routers    int
	Workspaces int
	Repeats    int
	// Behind lists the numbers of configuration versions that a router misses.
	Behind []int
	CSV    io.Writer
	// Only holds the names of the faults to measure; empty for all.
	Only []string
}

const (
	// recoveryCallers is the number of callers, enough to keep every shard
	// backlogged.
	recoveryCallers = 200
	recoveryTargets = 9
	recoverySlots   = 8
	// recoveryTokens, each taking recoveryTokenTime, make runs of 200 ms on
	// average.
	recoveryTokens    = 40
	recoveryTokenTime = 5 * time.Millisecond
	// beforeFault and afterFault are how long callers send before and after a
	// fault.
	beforeFault = 3 * time.Second
	afterFault  = 12 * time.Second
)

// Run measures each fault and writes a table for each.
func (o Recover) Run(ctx context.Context, out io.Writer) error {
	if o.CSV != nil {
		fmt.Fprint(o.CSV, csvHeader)
	}
	for _, fault := range []struct {
		name    string
		measure func(context.Context) ([]Value, error)
	}{
		{"scheduler killed", func(ctx context.Context) ([]Value, error) { return o.breakScheduler(ctx, kill) }},
		{"scheduler frozen", func(ctx context.Context) ([]Value, error) { return o.breakScheduler(ctx, freeze) }},
		{"fleet restarted empty", func(ctx context.Context) ([]Value, error) { return o.restartFleet(ctx, true) }},
		{"fleet restarted without callers", func(ctx context.Context) ([]Value, error) { return o.restartFleet(ctx, false) }},
		{"router behind", o.catchUp},
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

func (o Recover) startFleet(ctx context.Context) (*fleet.Fleet, error) {
	declared := make(map[string]config.Workspace, o.Workspaces)
	for n := range o.Workspaces {
		w := fleet.Workspace(workspaceKey(n), 1, benchPool)
		w.MaxQueued = recoveryCallers
		declared[workspaceName(n)] = w
	}
	f, err := fleet.Start(ctx, fleet.Options{
		DataCentres: []string{dataCentreName(0), dataCentreName(1), dataCentreName(2)},
		Routers:     o.Routers,
		Pools: map[string]fleet.Pool{benchPool: {
			Config:  config.Pool{Kind: config.KindEngine, Models: []string{benchModel}},
			Targets: recoveryTargets, Slots: recoverySlots, Step: recoveryTokenTime,
		}},
		Workspaces:   declared,
		EditSettings: useDefaultPeriods,
	})
	if err != nil {
		return nil, err
	}
	if err := sleep(ctx, fleetSettleTime); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// breakScheduler injects a fault into the router that schedules the shard of the
// first data centre, while callers of the other routers keep the shard backlogged.
func (o Recover) breakScheduler(ctx context.Context, injectFault func(*processes.Router) error) ([]Value, error) {
	f, err := o.startFleet(ctx)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	scheduler, err := findScheduler(ctx, f, o.Workspaces)
	if err != nil {
		return nil, err
	}
	addresses := slices.DeleteFunc(f.CallerAddresses(), func(address string) bool { return address == scheduler.Settings.Listen.Callers })
	requests := startCallers(ctx, addresses, o.Workspaces)
	if err := sleep(ctx, beforeFault); err != nil {
		return nil, err
	}
	faultAt := time.Now()
	if err := injectFault(scheduler); err != nil {
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
	starts := startTimes(entries, func(target string) bool { return f.TargetConfig(target).DataCentre == dataCentreName(0) })
	return []Value{
		{"ms without a start, before", longestPauseMillis(starts, faultAt.Add(-beforeFault+time.Second), faultAt)},
		{"ms without a start, after", longestPauseMillis(starts, faultAt, faultAt.Add(afterFault-time.Second))},
		{"starts/s before", startsPerSecond(starts, faultAt.Add(-beforeFault+time.Second), faultAt)},
		{"starts/s in the last 5 s", startsPerSecond(starts, faultAt.Add(afterFault-6*time.Second), faultAt.Add(afterFault-time.Second))},
		{"answered", float64(summary.Count(load.Answered))},
		{"refused", float64(summary.Count(load.Refused))},
		{"broken or wrong", float64(summary.Count(load.Broken) + summary.Count(load.Wrong))},
	}, nil
}

// findScheduler sends requests for a second and asks the routers which of them
// schedules the shard of the first data centre.
func findScheduler(ctx context.Context, f *fleet.Fleet, workspaces int) (*processes.Router, error) {
	requests := startCallers(ctx, f.CallerAddresses(), workspaces)
	if err := sleep(ctx, time.Second); err != nil {
		return nil, err
	}
	var found *processes.Router
	maxRunning := 0
	for _, r := range f.Routers {
		var status operator.Status
		url := "http://" + r.Settings.Listen.Operators + operator.PathStatus
		if err := fleet.GetJSON(url, &status); err != nil {
			return nil, err
		}
		for _, shard := range status.Shards {
			if shard.DataCentre == dataCentreName(0) && shard.Running > maxRunning {
				found, maxRunning = r, shard.Running
			}
		}
	}
	requests.stop()
	if found == nil {
		return nil, fmt.Errorf("no router schedules the shard in %s", dataCentreName(0))
	}
	return found, nil
}

// callerRun is a group of callers that send in the background.
type callerRun struct {
	cancel context.CancelFunc
	done   chan *load.Summary
}

func startCallers(ctx context.Context, addresses []string, workspaces int) callerRun {
	sendCtx, cancel := context.WithCancel(ctx)
	r := callerRun{cancel: cancel, done: make(chan *load.Summary, 1)}
	run := load.Run{
		Routers: addresses,
		Callers: recoveryCallers,
		Seed:    1,
		Next: func(n int, random *rand.Rand) load.Request {
			workspace := random.IntN(workspaces)
			return load.Request{
				Kind: load.Stream, Workspace: workspaceName(workspace), Key: workspaceKey(workspace),
				Mark: fmt.Sprintf("m%d", n), Model: benchModel, MaxTokens: recoveryTokens/2 + random.IntN(recoveryTokens),
			}
		},
	}
	go func() { r.done <- run.Do(sendCtx) }()
	return r
}

// stop stops the callers and waits for the answers.
func (r callerRun) stop() *load.Summary {
	r.cancel()
	return <-r.done
}

// restartFleet kills all routers at the same time and starts them again, without
// state. Callers retry without a pause, from the beginning if sendAtOnce is set and
// otherwise once all routers are ready.
func (o Recover) restartFleet(ctx context.Context, sendAtOnce bool) ([]Value, error) {
	f, err := o.startFleet(ctx)
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
	var requests callerRun
	if sendAtOnce {
		requests = startCallers(ctx, f.CallerAddresses(), o.Workspaces)
	}
	ready, err := restartRouters(f.Routers, started)
	if err != nil {
		return nil, err
	}
	if !sendAtOnce {
		requests = startCallers(ctx, f.CallerAddresses(), o.Workspaces)
	}
	if err := sleep(ctx, afterFault); err != nil {
		return nil, err
	}
	summary := requests.stop()
	entries, err := f.Journals()
	if err != nil {
		return nil, err
	}
	starts := startTimes(entries, func(string) bool { return true })
	if len(starts) == 0 {
		return nil, fmt.Errorf("no run started after the restart: %v", summary)
	}
	fullRate := float64(recoveryTargets*recoverySlots) * float64(time.Second) / float64(recoveryTokens*recoveryTokenTime)
	return []Value{
		{"ms until the first is ready", slices.Min(ready)},
		{"ms until all are ready", slices.Max(ready)},
		{"ms until the first start", millis(starts[0].Sub(started))},
		{"ms until 90 % of the slots' rate", millisUntilRate(starts, started, 0.9*fullRate)},
		{"answered", float64(summary.Count(load.Answered))},
		{"refused", float64(summary.Count(load.Refused))},
	}, nil
}

// restartRouters starts killed routers at the same time. It returns how long after
// started each was ready, in milliseconds.
func restartRouters(routers []*processes.Router, started time.Time) ([]float64, error) {
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

// catchUp measures how long a router that was frozen while versions were accepted
// takes to catch up.
func (o Recover) catchUp(ctx context.Context) ([]Value, error) {
	f, err := o.startFleet(ctx)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	version := config.Version(1)
	router := f.Routers[len(f.Routers)-1]
	var values []Value
	for _, missed := range o.Behind {
		if err := router.Freeze(); err != nil {
			return nil, err
		}
		for range missed {
			if version, err = submitShareChange(f, version); err != nil {
				return nil, err
			}
		}
		if err := router.Thaw(); err != nil {
			return nil, err
		}
		thawed := time.Now()
		if err := waitVersion([]*processes.Router{router}, version); err != nil {
			return nil, err
		}
		values = append(values, Value{fmt.Sprintf("ms to catch up %d versions", missed), millis(time.Since(thawed))})
	}
	return values, nil
}

// restartInOutage restarts one router while the platform refuses all calls.
func (o Recover) restartInOutage(ctx context.Context) ([]Value, error) {
	f, err := o.startFleet(ctx)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	outage := map[string]string{"outage": "refuse"}
	if err := fleet.PostJSON("http://"+f.Platform.Address+"/_fault", outage, nil); err != nil {
		return nil, err
	}
	router := f.Routers[len(f.Routers)-1]
	router.Kill()
	started := time.Now()
	if err := router.Restart(); err != nil {
		return nil, err
	}
	if err := router.WaitReady(); err != nil {
		return nil, err
	}
	return []Value{{"ms until ready", millis(time.Since(started))}}, nil
}
