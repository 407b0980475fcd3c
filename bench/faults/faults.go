// Package faults measures what faults do to a fleet of real processes whose
// workspaces are all backlogged: how long a shard stands still, what its slots
// idle, how far its targets are over-admitted, and what becomes of fairness.
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
	// Deployment names the size.
	Deployment string
	Routers    int
	// Only names the faults to measure; empty for all.
	Only    []string
	Repeats int
	// CSV receives the raw values; nil for none.
	CSV io.Writer
}

// beforeFault is how long requests flow before the fault.
const beforeFault = 2 * time.Second

// Run makes the measurements and writes a table.
func Run(ctx context.Context, out io.Writer, o Options) error {
	deployment, ok := workload.Deployments[o.Deployment]
	if !ok {
		return fmt.Errorf("no deployment is named %q", o.Deployment)
	}
	shape := workload.Shapes["burst"].WithDefaults("burst")
	var rows []table.Row
	for _, f := range list() {
		if len(o.Only) > 0 && !slices.Contains(o.Only, f.name) {
			continue
		}
		measured, err := runFault(ctx, o, deployment, shape, f)
		if err != nil {
			return fmt.Errorf("%s: %w", f.name, err)
		}
		rows = append(rows, measured...)
	}
	if err := table.CSV(o.CSV, rows); err != nil {
		return err
	}
	return table.Write(out, rows)
}

// runFault starts a fleet and repeats one fault on it.
func runFault(ctx context.Context, o Options, d workload.Deployment, shape workload.Shape, f fault) ([]table.Row, error) {
	running, err := fleet.Start(ctx, fleet.Options{
		DataCentres: d.DataCentres,
		Routers:     o.Routers,
		Pools:       d.Pools(),
		Workspaces:  shape.Declared(d),
	})
	if err != nil {
		return nil, err
	}
	defer running.Close()
	var rows []table.Row
	for repeat := range o.Repeats {
		s, err := newScene(ctx, running, d, shape)
		if err != nil {
			return nil, err
		}
		values, err := s.run(ctx, f, uint64(repeat+1))
		if err != nil {
			return nil, err
		}
		rows = append(rows, table.Row{Case: f.name, Repeat: repeat + 1, Values: values})
	}
	return rows, nil
}

// sent is what callers saw.
type sent struct {
	results []load.Result
	summary *load.Summary
}

// run keeps all workspaces backlogged, brings the fault about, and judges the
// interval after it.
func (s *scene) run(ctx context.Context, f fault, seed uint64) ([]table.Value, error) {
	if err := s.fleet.ClearJournals(); err != nil {
		return nil, err
	}
	start := time.Now()
	sending, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan sent, 1)
	go func() {
		results, summary := s.shape.Send(sending, s.deployment, s.callers(), seed)
		done <- sent{results, summary}
	}()
	time.Sleep(beforeFault)
	at := time.Now()
	if f.begin != nil {
		if err := f.begin(s); err != nil {
			return nil, err
		}
	}
	time.Sleep(time.Until(at.Add(f.interval)))
	cancel()
	seen := <-done
	if err := s.wait(); err != nil {
		return nil, err
	}
	entries, err := s.fleet.Journals()
	if err != nil {
		return nil, err
	}
	if f.end != nil {
		if err := f.end(s); err != nil {
			return nil, err
		}
	}
	entries = append(slices.Clone(s.kept), entries...)
	return s.judge(f, start, at, seen, entries), nil
}

// judge works the values out.
func (s *scene) judge(f fault, start, at time.Time, seen sent, entries []journal.Entry) []table.Value {
	until := at.Add(f.interval)
	record := measure.Join(start, seen.results, entries)
	record.From = at.Sub(start)
	record.To = until.Sub(start)
	shares := make(map[string]float64)
	for n := range workload.Workspaces {
		shares[workload.WorkspaceName(n)] = s.shape.Share(n)
	}
	slots := s.deployment.Slots
	count := func(v ...load.Verdict) (n float64) {
		for _, verdict := range v {
			n += float64(seen.summary.Count(verdict))
		}
		return n
	}
	return []table.Value{
		{Name: "shard still ms", Number: longestPause(entries, at, until, s.inShard)},
		{Name: "target still ms", Number: longestPause(entries, at, until, func(name string) bool { return name == s.target })},
		{Name: "idle slot s", Number: s.idle(record, start)},
		{Name: "of slot s", Number: float64(slots*s.deployment.Targets) * f.interval.Seconds()},
		{Name: "over-admitted", Number: float64(mostPresent(entries, at, until) - slots)},
		{Name: "bound", Number: float64(f.schedulers*(slots+max(1, slots/4)) - slots)},
		{Name: "gap s/share", Number: record.FairnessGap(shares).SlotSeconds},
		{Name: "bound", Number: s.gapBound(record)},
		{Name: "starved s", Number: starved(record, shares)},
		{Name: "answered", Number: count(load.Answered)},
		{Name: "refused", Number: count(load.Refused)},
		{Name: "broken", Number: count(load.Broken, load.Unreachable)},
		{Name: "wrong", Number: count(load.Wrong)},
	}
}
