// Package capacity measures what a router costs as the fleet, the load and the
// configuration grow, so that the cost at the size ahead can be worked out; see
// docs/CAPACITY.md. Most figures are counts of one state machine, fed with what
// its fleet would send; others come from real processes.
package capacity

import (
	"context"
	"fmt"
	"io"
	"slices"
)

// Slopes selects what to measure in one process.
type Slopes struct {
	// Only names the mechanisms; empty means all.
	Only    []string
	Repeats int
	// CSV receives the raw rows; nil for none.
	CSV io.Writer
}

// slope is one mechanism measured at several sizes.
type slope struct {
	name     string
	variable string
	sizes    []int
	measure  func(size int, seed uint64) ([]Value, error)
}

// slopes are the mechanisms, in the order of the page.
var slopes = []slope{
	{"heartbeats", "nodes", []int{9, 30, 100, 340}, measureHeartbeats},
	{"request", "requests/s at a node", []int{8, 30, 100}, measureRequests},
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
	{"peak", "nodes", []int{30, 100, letterNodes}, measurePeak},
	{"backlog", "requests waiting at a node", []int{14, 47, 140}, measureBacklog},
	{"exchange", "ms between exchanges", []int{250, 500, 1000, 2000}, measureExchangePeriod},
}

// Run measures and writes a table for each mechanism.
func (o Slopes) Run(ctx context.Context, out io.Writer) error {
	if o.CSV != nil {
		fmt.Fprint(o.CSV, csvHeader)
	}
	for _, name := range o.Only {
		if !slices.ContainsFunc(slopes, func(s slope) bool { return s.name == name }) {
			return fmt.Errorf("no mechanism is named %q", name)
		}
	}
	for _, s := range slopes {
		if len(o.Only) > 0 && !slices.Contains(o.Only, s.name) {
			continue
		}
		rows, err := s.rows(ctx, o.Repeats)
		if err != nil {
			return fmt.Errorf("%s: %w", s.name, err)
		}
		writeTable(out, s.name, s.variable, rows)
		if o.CSV != nil {
			writeCSV(o.CSV, rows)
		}
	}
	return nil
}

func (s slope) rows(ctx context.Context, repeats int) ([]Row, error) {
	var rows []Row
	for repeat := range max(1, repeats) {
		for _, size := range s.sizes {
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
			values, err := s.measure(size, uint64(repeat+1))
			if err != nil {
				return nil, err
			}
			for _, v := range values {
				rows = append(rows, Row{s.name, s.variable, float64(size), repeat + 1, v})
			}
		}
	}
	return rows, nil
}
