// Package capacity measures the cost of a router as the fleet, the load and the
// configuration grow, so that the cost at the planned size can be computed; see
// docs/CAPACITY.md. Most values are counts of one state machine that receives the
// messages that a fleet would send it. Others come from real processes.
package capacity

import (
	"context"
	"fmt"
	"io"
	"slices"
)

// Slopes measures mechanisms at several sizes in one process, to show how their
// costs grow.
type Slopes struct {
	// Only holds the names of the mechanisms to measure; empty for all.
	Only    []string
	Repeats int
	// CSV receives the raw rows; nil for none.
	CSV io.Writer
}

// mechanism is a part of a router whose cost is measured at several sizes.
type mechanism struct {
	name string
	// variable is the name of the size that is varied, and sizes holds its values.
	variable string
	sizes    []int
	measure  func(size int, seed uint64) ([]Value, error)
}

// mechanisms are in the order of docs/CAPACITY.md.
var mechanisms = []mechanism{
	{"heartbeats", "nodes", []int{9, 30, 100, 340}, measureHeartbeats},
	{"request", "requests/s at a node", []int{8, 30, 100}, measureRequests},
	{"affinity", "nodes", []int{9, 30, 100, 340}, measureAffinities},
	{"running", "runs of a node", []int{30, 120, 480}, measureRunning},
	{"accounting", "nodes", []int{9, 30, 100, 340}, measureAccountingByNodes},
	{"accounting-load", "workspaces with runs at a node", []int{30, 100, 350}, measureAccountingByLoad},
	{"waiting", "requests waiting at a node", []int{10, 100, 1000}, measureWaiting},
	{"membership", "nodes", []int{9, 30, 100, 340}, measureMembership},
	{"partition", "nodes", []int{30, 100, 340}, measurePartition},
	{"version", "workspaces", []int{1000, 4000, 16000}, measureVersion},
	{"config-poll", "versions", []int{1, 100, 1000}, measureConfigPoll},
	{"vm-list", "nodes", []int{9, 30, 100, 340}, measureVMList},
	{"load-poll", "cached prefixes", []int{0, 64, 512}, measureLoadPoll},
	{"machine-memory", "nodes", []int{9, 30, 100, 340}, measureMachineMemory},
	{"queue-memory", "requests", []int{1000, 4000, 16000}, measureQueueMemory},
	{"peak", "nodes", []int{30, 100, plannedNodes}, measurePeak},
	{"backlog", "requests waiting at a node", []int{14, 47, 140}, measureBacklog},
	{"exchange", "ms between exchanges", []int{250, 500, 1000, 2000}, measureExchangePeriod},
}

// Run measures each mechanism and writes a table for each.
func (o Slopes) Run(ctx context.Context, out io.Writer) error {
	if o.CSV != nil {
		fmt.Fprint(o.CSV, csvHeader)
	}
	for _, name := range o.Only {
		if !slices.ContainsFunc(mechanisms, func(m mechanism) bool { return m.name == name }) {
			return fmt.Errorf("unknown mechanism %q", name)
		}
	}
	for _, m := range mechanisms {
		if len(o.Only) > 0 && !slices.Contains(o.Only, m.name) {
			continue
		}
		rows, err := m.rows(ctx, o.Repeats)
		if err != nil {
			return fmt.Errorf("%s: %w", m.name, err)
		}
		writeTable(out, m.name, m.variable, rows)
		if o.CSV != nil {
			writeCSV(o.CSV, rows)
		}
	}
	return nil
}

func (m mechanism) rows(ctx context.Context, repeats int) ([]Row, error) {
	var rows []Row
	for repeat := range max(1, repeats) {
		for _, size := range m.sizes {
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
			values, err := m.measure(size, uint64(repeat+1))
			if err != nil {
				return nil, err
			}
			for _, v := range values {
				rows = append(rows, Row{m.name, m.variable, float64(size), repeat + 1, v})
			}
		}
	}
	return rows, nil
}
