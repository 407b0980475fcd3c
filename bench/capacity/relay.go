package capacity

import (
	"context"
	"fmt"
	"io"

	"github.com/walnutcove/walnutcove/bench/fleet"
	"github.com/walnutcove/walnutcove/config"
)

// Relay measures what a router adds to the first token and to the gaps between
// tokens, and what a token costs it, with many streams at once.
type Relay struct {
	// Streams are the streams open at once through one router.
	Streams []int
	// Tokens is the length of each.
	Tokens  int
	Repeats int
	CSV     io.Writer
}

// relayEngines is how many engine processes share the streams.
const relayEngines = 4

// Run measures and writes a table for each way.
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
			for way, values := range map[string][]Value{"direct": direct, "through a router": through} {
				for _, v := range values {
					rows[way] = append(rows[way], Row{way, "streams", float64(count), repeat + 1, v})
				}
			}
		}
	}
	for _, way := range []string{"direct", "through a router"} {
		writeTable(out, way, "streams", rows[way])
		if o.CSV != nil {
			writeCSV(o.CSV, rows[way])
		}
	}
	return nil
}

func (o Relay) measure(ctx context.Context, count int) (direct, through []Value, err error) {
	f, err := fleet.Start(ctx, fleet.Options{
		DataCentres: []string{centreName(0)},
		Routers:     3,
		Pools: map[string]fleet.Pool{benchPool: {
			Declared: config.Pool{Kind: config.KindEngine, Models: []string{benchModel}},
			Targets:  relayEngines,
			Slots:    count/relayEngines + 8,
			Step:     letterTokenGap,
		}},
		Workspaces: map[string]config.Workspace{workspaceName(0): relayWorkspace(count)},
	})
	if err != nil {
		return nil, nil, err
	}
	defer f.Close()
	if err := sleep(ctx, fleetSettles); err != nil {
		return nil, nil, err
	}
	var engines []string
	for _, target := range f.Targets {
		engines = append(engines, target.Address)
	}
	plain := newStreams(engines, "", o.Tokens)
	if err := plain.run(ctx, count, letterTokenGap*10); err != nil {
		return nil, nil, fmt.Errorf("direct: %w", err)
	}
	before, err := readUsage(f)
	if err != nil {
		return nil, nil, err
	}
	relayed := newStreams(f.Callers()[:1], workspaceKey(0), o.Tokens)
	if err := relayed.run(ctx, count, letterTokenGap*10); err != nil {
		return nil, nil, fmt.Errorf("through a router: %w", err)
	}
	after, err := readUsage(f)
	if err != nil {
		return nil, nil, err
	}
	return plain.values(), append(relayed.values(), relayCost(before, after, relayed.events)...), nil
}

// relayWorkspace may queue every stream at one router.
func relayWorkspace(count int) config.Workspace {
	w := fleet.Workspace(workspaceKey(0), 1, benchPool)
	w.MaxQueued = count
	return w
}

// relayCost is what the first router spent on each token.
func relayCost(before, after usage, tokens int) []Value {
	grown := func(name string) float64 { return after.routers[0][name] - before.routers[0][name] }
	collections := grown("go_gc_duration_seconds_count")
	return []Value{
		{"process us/token", grown("process_cpu_seconds_total") * 1e6 / float64(tokens)},
		{"garbage collector us/token", grown("go_gc_cpu_seconds_total") * 1e6 / float64(tokens)},
		{"allocated B/token", grown("go_memstats_alloc_bytes_total") / float64(tokens)},
		{"collections/s", collections / after.at.Sub(before.at).Seconds()},
		{"ms stopped by each collection", grown("go_gc_duration_seconds_sum") * 1000 / max(1, collections)},
		{"resident MB", after.routers[0]["process_resident_memory_bytes"] / 1e6},
		{"tokens/s", float64(tokens) / after.at.Sub(before.at).Seconds()},
	}
}
