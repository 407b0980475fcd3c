// Package fair measures utilisation, the fairness gap and control traffic of a
// scheduling policy with real processes: routers, stand-in engines that batch
// continuously, and callers that keep every workspace backlogged.
package fair

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/walnutcove/walnutcove/bench/fleet"
	"github.com/walnutcove/walnutcove/bench/measure"
	"github.com/walnutcove/walnutcove/bench/workload"
	"github.com/walnutcove/walnutcove/load"
)

// Options configure the experiment.
type Options struct {
	Deployment string
	Shapes     []string
	Policies   []string
	// Routers is how many routers run.
	Routers int
	// Duration is how long callers send in each repeat.
	Duration time.Duration
	Repeats  int
	// WarmUp is how long the routers get to meet before callers start. Until
	// each has heard the others, several schedule the same shard.
	WarmUp time.Duration
	// CSV receives the raw rows; nil for none.
	CSV io.Writer
	// Detail receives the service of each workspace; nil for none.
	Detail io.Writer
}

// settle is left out at the beginning of each repeat.
const settle = time.Second

// Row is the outcome of one repeat.
type Row struct {
	Deployment string
	Shape      string
	Policy     string
	Routers    int
	Repeat     int
	// Gap is in slot seconds for each unit of share, and Ideal the bound of
	// one ideal queue.
	Gap         float64
	Ideal       float64
	Utilisation float64
	// Starved is the longest time that a backlogged workspace held no slot.
	Starved  time.Duration
	FirstP50 time.Duration
	FirstP99 time.Duration
	Answered int
	Refused  int
	Failed   int
	// Control is the mean over the routers.
	Control fleet.Control
	// LongestRun is the longest run seen.
	LongestRun time.Duration
}

// Run makes the measurements and writes a table.
func Run(ctx context.Context, out io.Writer, o Options) error {
	deployment, ok := workload.Deployments[o.Deployment]
	if !ok {
		return fmt.Errorf("no deployment is named %q", o.Deployment)
	}
	writeHeader(out, o.CSV)
	for _, name := range o.Shapes {
		shape, ok := workload.Shapes[name]
		if !ok {
			return fmt.Errorf("no shape is named %q", name)
		}
		shape = shape.WithDefaults(name)
		for _, policy := range o.Policies {
			rows, err := runPolicy(ctx, o, deployment, shape, policy)
			if err != nil {
				return fmt.Errorf("%s, %s: %w", name, policy, err)
			}
			writeRows(out, o.CSV, rows)
		}
	}
	return nil
}

// runPolicy starts a fleet and repeats one shape on it.
func runPolicy(ctx context.Context, o Options, d workload.Deployment, s workload.Shape, policy string) ([]Row, error) {
	f, err := fleet.Start(ctx, fleet.Options{
		DataCentres: d.DataCentres,
		Routers:     o.Routers,
		Policy:      policy,
		Pools:       d.Pools(),
		Workspaces:  s.Declared(d),
	})
	if err != nil {
		return nil, err
	}
	defer f.Close()
	select {
	case <-time.After(o.WarmUp):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	var rows []Row
	for repeat := range o.Repeats {
		row, err := runOnce(ctx, f, o, d, s, uint64(repeat+1))
		if err != nil {
			return nil, err
		}
		row.Policy = policy
		row.Repeat = repeat + 1
		rows = append(rows, row)
	}
	return rows, nil
}

// runOnce sends for the duration and judges what the targets ran.
func runOnce(ctx context.Context, f *fleet.Fleet, o Options, d workload.Deployment, s workload.Shape, seed uint64) (Row, error) {
	if err := f.ClearJournals(); err != nil {
		return Row{}, err
	}
	before, err := f.ReadControl()
	if err != nil {
		return Row{}, err
	}
	start := time.Now()
	sending, cancel := context.WithTimeout(ctx, o.Duration)
	defer cancel()
	results, summary := s.Send(sending, d, f.Callers(), seed)
	after, err := f.ReadControl()
	if err != nil {
		return Row{}, err
	}
	journals, err := f.Journals()
	if err != nil {
		return Row{}, err
	}
	record := measure.Join(start, results, journals)
	record.From = settle
	record.To = o.Duration
	writeDetail(o.Detail, record, d, s)
	row := judge(record, d, s)
	row.Deployment = d.Name
	row.Shape = s.Name
	row.Routers = o.Routers
	row.Control = after.Since(before, time.Since(start))
	row.FirstP50 = summary.FirstPartLatency(50)
	row.FirstP99 = summary.FirstPartLatency(99)
	row.Answered = summary.Count(load.Answered)
	row.Refused = summary.Count(load.Refused)
	row.Failed = summary.Count(load.Broken) + summary.Count(load.Wrong) + summary.Count(load.Unreachable)
	return row, nil
}

func judge(record measure.Record, d workload.Deployment, s workload.Shape) Row {
	shares := make(map[string]float64)
	reach := make(map[string]map[string]bool)
	for n := range workload.Workspaces {
		shares[workload.WorkspaceName(n)] = s.Share(n)
		for _, target := range s.Targets(n, d) {
			if reach[workload.WorkspaceName(n)] == nil {
				reach[workload.WorkspaceName(n)] = make(map[string]bool)
			}
			reach[workload.WorkspaceName(n)][target] = true
		}
	}
	mayUse := func(workspace, target string) bool {
		return reach[workspace] == nil || reach[workspace][target]
	}
	row := Row{
		Gap:         record.FairnessGap(shares).SlotSeconds,
		Utilisation: record.Utilisation(d.SlotsOf(), mayUse),
	}
	for name := range shares {
		row.Starved = max(row.Starved, record.LongestWithoutService(name))
	}
	for _, run := range record.Runs {
		row.LongestRun = max(row.LongestRun, run.End-run.Start)
	}
	row.Ideal = workload.IdealGap(d, s, row.LongestRun)
	return row
}
