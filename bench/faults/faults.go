// Package faults measures the effect of faults on a fleet of real processes whose
// workspaces are all backlogged: how long no run starts in a shard, how long slots
// idle, how far targets are over-admitted, and how large the fairness gap grows.
package faults

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/walnutcove/walnutcove/bench/fleet"
	"github.com/walnutcove/walnutcove/bench/measure"
	"github.com/walnutcove/walnutcove/bench/table"
	"github.com/walnutcove/walnutcove/bench/workload"
	"github.com/walnutcove/walnutcove/load"
	"github.com/walnutcove/walnutcove/standin/journal"
)

// Options configure the experiment.
type Options struct {
	// Deployment is the name of a size in workload.Deployments.
	Deployment string
	Routers    int
	// Only holds the names of the faults to measure; empty for all.
	Only    []string
	Repeats int
	// CSV receives the raw values; nil for none.
	CSV io.Writer
}

// beforeFault is how long callers send before the fault.
const beforeFault = 2 * time.Second

// Run runs the experiment and writes a table.
func Run(ctx context.Context, out io.Writer, o Options) error {
	deployment, ok := workload.Deployments[o.Deployment]
	if !ok {
		return fmt.Errorf("unknown deployment %q", o.Deployment)
	}
	shape := workload.Shapes["burst"].WithDefaults("burst")
	var rows []table.Row
	for _, f := range allFaults() {
		if len(o.Only) > 0 && !slices.Contains(o.Only, f.name) {
			continue
		}
		measured, err := runFault(ctx, o, deployment, shape, f)
		if err != nil {
			return fmt.Errorf("%s: %w", f.name, err)
		}
		rows = append(rows, measured...)
	}
	if err := table.WriteCSV(o.CSV, rows); err != nil {
		return err
	}
	return table.Write(out, rows)
}

// runFault starts a fleet and measures one fault on it, o.Repeats times.
func runFault(ctx context.Context, o Options, d workload.Deployment, shape workload.Shape, f fault) ([]table.Row, error) {
	running, err := fleet.Start(ctx, fleet.Options{
		DataCentres: d.DataCentres,
		Routers:     o.Routers,
		Pools:       d.Pools(),
		Workspaces:  shape.DeclaredWorkspaces(d),
	})
	if err != nil {
		return nil, err
	}
	defer running.Close()
	var rows []table.Row
	for repeat := range o.Repeats {
		t, err := newTrial(ctx, running, d, shape)
		if err != nil {
			return nil, err
		}
		values, err := t.run(ctx, f, uint64(repeat+1))
		if err != nil {
			return nil, err
		}
		rows = append(rows, table.Row{Case: f.name, Repeat: repeat + 1, Values: values})
	}
	return rows, nil
}

// callerResults holds the results that the callers got.
type callerResults struct {
	results []load.Result
	summary *load.Summary
}

// run keeps all workspaces backlogged, injects the fault, and evaluates the
// interval after it.
func (t *trial) run(ctx context.Context, f fault, seed uint64) ([]table.Value, error) {
	if err := t.fleet.ClearJournals(); err != nil {
		return nil, err
	}
	start := time.Now()
	sendCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan callerResults, 1)
	go func() {
		results, summary := t.shape.Send(sendCtx, t.deployment, t.callerAddresses(), seed)
		done <- callerResults{results, summary}
	}()
	time.Sleep(beforeFault)
	faultAt := time.Now()
	if f.begin != nil {
		if err := f.begin(t); err != nil {
			return nil, err
		}
	}
	time.Sleep(time.Until(faultAt.Add(f.interval)))
	cancel()
	received := <-done
	if err := t.waitPending(); err != nil {
		return nil, err
	}
	entries, err := t.fleet.Journals()
	if err != nil {
		return nil, err
	}
	if f.end != nil {
		if err := f.end(t); err != nil {
			return nil, err
		}
	}
	entries = append(slices.Clone(t.savedEntries), entries...)
	return t.evaluate(f, start, faultAt, received, entries), nil
}

// evaluate computes the measured values for the interval that starts at faultAt.
func (t *trial) evaluate(f fault, start, faultAt time.Time, received callerResults, entries []journal.Entry) []table.Value {
	until := faultAt.Add(f.interval)
	record := measure.NewRecord(start, received.results, entries)
	record.From = faultAt.Sub(start)
	record.To = until.Sub(start)
	shares := make(map[string]float64)
	for n := range workload.WorkspaceCount {
		shares[workload.WorkspaceName(n)] = t.shape.Share(n)
	}
	slots := t.deployment.Slots
	count := func(v ...load.Verdict) (n float64) {
		for _, verdict := range v {
			n += float64(received.summary.Count(verdict))
		}
		return n
	}
	return []table.Value{
		{Name: "shard still ms", Number: longestPauseMillis(entries, faultAt, until, t.inShard)},
		{Name: "target still ms", Number: longestPauseMillis(entries, faultAt, until, func(name string) bool { return name == t.target })},
		{Name: "idle slot s", Number: t.idleSlotSeconds(record, start)},
		{Name: "of slot s", Number: float64(slots*t.deployment.Targets) * f.interval.Seconds()},
		{Name: "over-admitted", Number: float64(maxPresent(entries, faultAt, until) - slots)},
		// A scheduler holds at most slots + max(1, slots/4) grants of a target; see
		// "Over-admission" in package control.
		{Name: "bound", Number: float64(f.maxSchedulers*(slots+max(1, slots/4)) - slots)},
		{Name: "gap s/share", Number: record.FairnessGap(shares).SlotSeconds},
		{Name: "bound", Number: t.gapBound(record)},
		{Name: "starved s", Number: longestStarvationSeconds(record, shares)},
		{Name: "answered", Number: count(load.Answered)},
		{Name: "refused", Number: count(load.Refused)},
		{Name: "broken", Number: count(load.Broken, load.Unreachable)},
		{Name: "wrong", Number: count(load.Wrong)},
	}
}
