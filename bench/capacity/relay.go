package capacity

import (
	"context"
	"fmt"
	"io"

	"github.com/walnutcove/walnutcove/bench/fleet"
	"github.com/walnutcove/walnutcove/config"
)

// Relay measures, with many streams at once, what a router adds to the time to the
// first token and to the gaps between tokens, and what a token costs it.
type Relay struct {
	// Streams lists the numbers of streams to open at once through one router.
	Streams []int
	// Tokens is the length of each stream.
	Tokens  int
	Repeats int
	CSV     io.Writer
}

// relayEngines is how many engine processes share the streams.
const relayEngines = 4

// Run measures each number of streams, direct and through a router, and writes a
// table for each of the two.
func (o Relay) Run(ctx context.Context, out io.Writer) error {
	if o.CSV != nil {
		fmt.Fprint(o.CSV, csvHeader)
	}
	rows := make(map[string][]Row)
	for repeat := range max(1, o.Repeats) {
		for _, count := range o.Streams {
			direct, through, err := o.measure(ctx, count)
			if err != nil {
				return fmt.Errorf("%d streams: %w", count, err)
			}
			for path, values := range map[string][]Value{"direct": direct, "through a router": through} {
				for _, v := range values {
					rows[path] = append(rows[path], Row{path, "streams", float64(count), repeat + 1, v})
				}
			}
		}
	}
	for _, path := range []string{"direct", "through a router"} {
		writeTable(out, path, "streams", rows[path])
		if o.CSV != nil {
			writeCSV(o.CSV, rows[path])
		}
	}
	return nil
}

func (o Relay) measure(ctx context.Context, count int) (direct, through []Value, err error) {
	f, err := fleet.Start(ctx, fleet.Options{
		DataCentres: []string{dataCentreName(0)},
		Routers:     3,
		Pools: map[string]fleet.Pool{benchPool: {
			Config:  config.Pool{Kind: config.KindEngine, Models: []string{benchModel}},
			Targets: relayEngines,
			Slots:   count/relayEngines + 8,
			Step:    plannedTokenGap,
		}},
		Workspaces: map[string]config.Workspace{workspaceName(0): relayWorkspace(count)},
	})
	if err != nil {
		return nil, nil, err
	}
	defer f.Close()
	if err := sleep(ctx, fleetSettleTime); err != nil {
		return nil, nil, err
	}
	var engines []string
	for _, target := range f.Targets {
		engines = append(engines, target.Address)
	}
	directStreams := newStreamReader(engines, "", o.Tokens)
	if err := directStreams.run(ctx, count, plannedTokenGap*10); err != nil {
		return nil, nil, fmt.Errorf("direct: %w", err)
	}
	before, err := readUsage(f)
	if err != nil {
		return nil, nil, err
	}
	relayedStreams := newStreamReader(f.CallerAddresses()[:1], workspaceKey(0), o.Tokens)
	if err := relayedStreams.run(ctx, count, plannedTokenGap*10); err != nil {
		return nil, nil, fmt.Errorf("through a router: %w", err)
	}
	after, err := readUsage(f)
	if err != nil {
		return nil, nil, err
	}
	return directStreams.values(), append(relayedStreams.values(), relayCost(before, after, relayedStreams.events)...), nil
}

// relayWorkspace returns a workspace that may queue every stream at one router.
func relayWorkspace(count int) config.Workspace {
	w := fleet.Workspace(workspaceKey(0), 1, benchPool)
	w.MaxQueued = count
	return w
}

// relayCost returns the cost of relaying to the first router, with the rate of the
// tokens that it relayed.
func relayCost(before, after usage, tokens int) []Value {
	increase := func(name string) float64 { return after.routers[0][name] - before.routers[0][name] }
	collections := increase("go_gc_duration_seconds_count")
	return []Value{
		{"process us/token", increase("process_cpu_seconds_total") * 1e6 / float64(tokens)},
		{"garbage collector us/token", increase("go_gc_cpu_seconds_total") * 1e6 / float64(tokens)},
		{"allocated B/token", increase("go_memstats_alloc_bytes_total") / float64(tokens)},
		{"collections/s", collections / after.at.Sub(before.at).Seconds()},
		{"ms stopped by each collection", increase("go_gc_duration_seconds_sum") * 1000 / max(1, collections)},
		{"resident MB", after.routers[0]["process_resident_memory_bytes"] / 1e6},
		{"tokens/s", float64(tokens) / after.at.Sub(before.at).Seconds()},
	}
}
