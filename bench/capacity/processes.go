package capacity

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/walnutcove/walnutcove/bench/fleet"
	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/load"
	"github.com/walnutcove/walnutcove/settings"
)

const (
	benchPool  = "drafting"
	benchModel = "walnut-small"
	// workspacesPerRouter is the number of workspaces for each router, as at the
	// planned size.
	workspacesPerRouter = plannedWorkspaces / plannedNodes
	// callersPerRouter is how many requests are in flight for each router.
	callersPerRouter = 12
	// meanTokens and tokenGap make runs of two seconds on average.
	meanTokens = 40
	tokenGap   = 50 * time.Millisecond
	// fleetSettleTime is how long a fleet gets to settle before each measurement.
	fleetSettleTime = 6 * time.Second
)

// Processes measures real routers, idle and under load.
type Processes struct {
	// Routers lists the sizes of the fleet.
	Routers []int
	// Duration is how long each state, idle and loaded, is measured.
	Duration time.Duration
	Repeats  int
	CSV      io.Writer
}

// Run measures each size and writes a table for idle and one for loaded routers.
func (o Processes) Run(ctx context.Context, out io.Writer) error {
	if o.CSV != nil {
		fmt.Fprint(o.CSV, csvHeader)
	}
	var idle, loaded []Row
	for repeat := range max(1, o.Repeats) {
		for _, routers := range o.Routers {
			idleValues, loadedValues, err := o.measure(ctx, routers)
			if err != nil {
				return fmt.Errorf("%d routers: %w", routers, err)
			}
			for _, v := range idleValues {
				idle = append(idle, Row{"idle processes", "routers", float64(routers), repeat + 1, v})
			}
			for _, v := range loadedValues {
				loaded = append(loaded, Row{"loaded processes", "routers", float64(routers), repeat + 1, v})
			}
		}
	}
	writeTable(out, "idle processes", "routers", idle)
	writeTable(out, "loaded processes", "routers", loaded)
	if o.CSV != nil {
		writeCSV(o.CSV, append(idle, loaded...))
	}
	return nil
}

func (o Processes) measure(ctx context.Context, routers int) (idle, loaded []Value, err error) {
	f, err := startFleet(ctx, routers, workspacesPerRouter*routers)
	if err != nil {
		return nil, nil, err
	}
	defer f.Close()
	if err := sleep(ctx, fleetSettleTime); err != nil {
		return nil, nil, err
	}
	before, err := readUsage(f)
	if err != nil {
		return nil, nil, err
	}
	if err := sleep(ctx, o.Duration); err != nil {
		return nil, nil, err
	}
	after, err := readUsage(f)
	if err != nil {
		return nil, nil, err
	}
	idle = after.since(before, o.Duration)
	loaded, err = o.measureLoaded(ctx, f)
	return idle, loaded, err
}

// measureLoaded keeps requests in flight and measures the fleet after it has
// settled.
func (o Processes) measureLoaded(ctx context.Context, f *fleet.Fleet) ([]Value, error) {
	sendCtx, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan *load.Summary)
	go func() { done <- callersFor(f.CallerAddresses(), len(f.Routers)).Do(sendCtx) }()
	if err := sleep(ctx, fleetSettleTime); err != nil {
		return nil, err
	}
	before, err := readUsage(f)
	if err != nil {
		return nil, err
	}
	if err := sleep(ctx, o.Duration); err != nil {
		return nil, err
	}
	after, err := readUsage(f)
	stop()
	summary := <-done
	if err != nil {
		return nil, err
	}
	if failed := len(summary.Failures()); failed > 0 {
		return nil, fmt.Errorf("requests failed: %v", summary)
	}
	return after.since(before, o.Duration), nil
}

// callersFor returns a run of callersPerRouter callers for each router.
func callersFor(addresses []string, routers int) load.Run {
	return load.Run{
		Routers: addresses,
		Callers: callersPerRouter * routers,
		Seed:    1,
		Next: func(n int, random *rand.Rand) load.Request {
			workspace := random.IntN(workspacesPerRouter * routers)
			return load.Request{
				Kind:      load.Stream,
				Workspace: workspaceName(workspace),
				Key:       workspaceKey(workspace),
				Mark:      fmt.Sprintf("m%d", n),
				Model:     benchModel,
				MaxTokens: meanTokens/2 + random.IntN(meanTokens),
			}
		},
	}
}

func workspaceKey(n int) string { return workspaceName(n) + "-key" }

// startFleet starts routers and one stand-in engine for every three of them, at
// least three.
func startFleet(ctx context.Context, routers, workspaces int) (*fleet.Fleet, error) {
	targets := max(3, routers/3)
	declared := make(map[string]config.Workspace, workspaces)
	for n := range workspaces {
		declared[workspaceName(n)] = fleet.Workspace(workspaceKey(n), 1, benchPool)
	}
	return fleet.Start(ctx, fleet.Options{
		DataCentres: []string{dataCentreName(0), dataCentreName(1), dataCentreName(2)},
		Routers:     routers,
		Pools: map[string]fleet.Pool{benchPool: {
			Config:  config.Pool{Kind: config.KindEngine, Models: []string{benchModel}},
			Targets: targets,
			Slots:   2 * callersPerRouter * routers / targets,
			Step:    tokenGap,
		}},
		Workspaces:   declared,
		EditSettings: useDefaultPeriods,
	})
}

// useDefaultPeriods restores the default of the period that fleet.Start shortens
// for a quick start.
func useDefaultPeriods(s *settings.Settings) {
	s.Platform.VMListEvery = settings.Defaults().Platform.VMListEvery
}
