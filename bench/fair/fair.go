// Package fair measures utilisation, the fairness gap and control traffic of a
// scheduling policy with real processes: routers, stand-in engines with
// continuous batching, and callers that keep every workspace backlogged.
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
	// Deployment is the name of a size in workload.Deployments, and Shapes holds names
	// of load patterns in workload.Shapes.
	Deployment string
	Shapes     []string
	// Policies holds names of scheduling policies.
	Policies []string
	// Routers is how many routers run.
	Routers int
	// Duration is how long callers send in each repeat.
	Duration time.Duration
	Repeats  int
	// WarmUp is how long the routers get to discover one another before callers
	// start. Until each has received messages from the others, several routers
	// schedule the same shard.
	WarmUp time.Duration
	// CSV receives the raw values; nil for none.
	CSV io.Writer
	// Detail receives the service that each workspace got; nil for none.
	Detail io.Writer
}

// settleTime is how much is left out of the evaluation at the beginning of each
// repeat.
const settleTime = time.Second

// Row holds the values of one repeat.
type Row struct {
	Deployment string
	Shape      string
	Policy     string
	Routers    int
	Repeat     int
	// Gap is the fairness gap in slot seconds per unit of share, and IdealGap the
	// value of workload.IdealGap for comparison.
	Gap         float64
	IdealGap    float64
	Utilisation float64
	// Starved is the longest time for which a backlogged workspace held no slot.
	Starved      time.Duration
	FirstPartP50 time.Duration
	FirstPartP99 time.Duration
	Answered     int
	Refused      int
	Failed       int
	// Control is the mean over the routers.
	Control fleet.ControlTraffic
	// LongestRun is the length of the longest run.
	LongestRun time.Duration
}

// Run runs the experiment and writes a table.
func Run(ctx context.Context, out io.Writer, o Options) error {
	deployment, ok := workload.Deployments[o.Deployment]
	if !ok {
		return fmt.Errorf("unknown deployment %q", o.Deployment)
	}
	writeHeader(out, o.CSV)
	for _, name := range o.Shapes {
		shape, ok := workload.Shapes[name]
		if !ok {
			return fmt.Errorf("unknown shape %q", name)
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

// runPolicy starts a fleet with a policy and measures one shape on it, o.Repeats
// times.
func runPolicy(ctx context.Context, o Options, d workload.Deployment, s workload.Shape, policy string) ([]Row, error) {
	f, err := fleet.Start(ctx, fleet.Options{
		DataCentres: d.DataCentres,
		Routers:     o.Routers,
		Policy:      policy,
		Pools:       d.Pools(),
		Workspaces:  s.DeclaredWorkspaces(d),
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

// runOnce lets callers send for o.Duration and evaluates the runs on the targets.
func runOnce(ctx context.Context, f *fleet.Fleet, o Options, d workload.Deployment, s workload.Shape, seed uint64) (Row, error) {
	if err := f.ClearJournals(); err != nil {
		return Row{}, err
	}
	before, err := f.ReadControlCounters()
	if err != nil {
		return Row{}, err
	}
	start := time.Now()
	sendCtx, cancel := context.WithTimeout(ctx, o.Duration)
	defer cancel()
	results, summary := s.Send(sendCtx, d, f.CallerAddresses(), seed)
	after, err := f.ReadControlCounters()
	if err != nil {
		return Row{}, err
	}
	journals, err := f.Journals()
	if err != nil {
		return Row{}, err
	}
	record := measure.NewRecord(start, results, journals)
	record.From = settleTime
	record.To = o.Duration
	writeDetail(o.Detail, record, d, s)
	row := evaluate(record, d, s)
	row.Deployment = d.Name
	row.Shape = s.Name
	row.Routers = o.Routers
	row.Control = after.Since(before, time.Since(start))
	row.FirstPartP50 = summary.FirstPartLatency(50)
	row.FirstPartP99 = summary.FirstPartLatency(99)
	row.Answered = summary.Count(load.Answered)
	row.Refused = summary.Count(load.Refused)
	row.Failed = summary.Count(load.Broken) + summary.Count(load.Wrong) + summary.Count(load.Unreachable)
	return row, nil
}

func evaluate(record measure.Record, d workload.Deployment, s workload.Shape) Row {
	shares := make(map[string]float64)
	allowedTargets := make(map[string]map[string]bool)
	for n := range workload.WorkspaceCount {
		shares[workload.WorkspaceName(n)] = s.Share(n)
		for _, target := range s.Targets(n, d) {
			if allowedTargets[workload.WorkspaceName(n)] == nil {
				allowedTargets[workload.WorkspaceName(n)] = make(map[string]bool)
			}
			allowedTargets[workload.WorkspaceName(n)][target] = true
		}
	}
	mayUse := func(workspace, target string) bool {
		return allowedTargets[workspace] == nil || allowedTargets[workspace][target]
	}
	row := Row{
		Gap:         record.FairnessGap(shares).SlotSeconds,
		Utilisation: record.Utilisation(d.SlotsByTarget(), mayUse),
	}
	for name := range shares {
		row.Starved = max(row.Starved, record.LongestWithoutService(name))
	}
	for _, run := range record.Runs {
		row.LongestRun = max(row.LongestRun, run.End-run.Start)
	}
	row.IdealGap = workload.IdealGap(d, s, row.LongestRun)
	return row
}
