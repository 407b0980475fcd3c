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
	// workspacesEach is how many workspaces there are for each router, as at
	// the size ahead.
	workspacesEach = letterWorkspaces / letterNodes
	// callersEach is how many requests are in flight for each router.
	callersEach = 12
	// tokensEach and tokenGap make runs of two seconds.
	tokensEach = 40
	tokenGap   = 50 * time.Millisecond
	// fleetSettles is left out before each measurement.
	fleetSettles = 6 * time.Second
)

// Processes measures real routers, idle and with requests.
type Processes struct {
	// Routers are the sizes of the fleet.
	Routers []int
	// Duration is how long each state is measured.
	Duration time.Duration
	Repeats  int
	CSV      io.Writer
}

// Run measures and writes two tables.
func (o Processes) Run(ctx context.Context, out io.Writer) error {
	if o.CSV != nil {
		fmt.Fprint(o.CSV, csvHeader)
	}
	var idle, loaded []Row
	for repeat := range max(1, o.Repeats) {
		for _, routers := range o.Routers {
			i, l, err := o.measure(ctx, routers)
			if err != nil {
				return fmt.Errorf("%d routers: %w", routers, err)
			}
			for _, v := range i {
				idle = append(idle, Row{"idle processes", "routers", float64(routers), repeat + 1, v})
			}
			for _, v := range l {
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
	f, err := startFleet(ctx, routers, workspacesEach*routers)
	if err != nil {
		return nil, nil, err
	}
	defer f.Close()
	if err := sleep(ctx, fleetSettles); err != nil {
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
	loaded, err = o.withRequests(ctx, f)
	return idle, loaded, err
}

// withRequests keeps requests in flight and measures once they flow.
func (o Processes) withRequests(ctx context.Context, f *fleet.Fleet) ([]Value, error) {
	sending, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan *load.Summary)
	go func() { done <- sendTo(f.Callers(), len(f.Routers)).Do(sending) }()
	if err := sleep(ctx, fleetSettles); err != nil {
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

func sendTo(callers []string, routers int) load.Run {
	return load.Run{
		Routers: callers,
		Callers: callersEach * routers,
		Seed:    1,
		Next: func(n int, random *rand.Rand) load.Request {
			workspace := random.IntN(workspacesEach * routers)
			return load.Request{
				Kind:      load.Stream,
				Workspace: workspaceName(workspace),
				Key:       workspaceKey(workspace),
				Mark:      fmt.Sprintf("m%d", n),
				Model:     benchModel,
				MaxTokens: tokensEach/2 + random.IntN(tokensEach),
			}
		},
	}
}

func workspaceKey(n int) string { return workspaceName(n) + "-key" }

// startFleet starts routers with a stand-in engine for every three of them.
func startFleet(ctx context.Context, routers, workspaces int) (*fleet.Fleet, error) {
	targets := max(3, routers/3)
	declared := make(map[string]config.Workspace, workspaces)
	for n := range workspaces {
		declared[workspaceName(n)] = fleet.Workspace(workspaceKey(n), 1, benchPool)
	}
	return fleet.Start(ctx, fleet.Options{
		DataCentres: []string{centreName(0), centreName(1), centreName(2)},
		Routers:     routers,
		Pools: map[string]fleet.Pool{benchPool: {
			Declared: config.Pool{Kind: config.KindEngine, Models: []string{benchModel}},
			Targets:  targets,
			Slots:    2 * callersEach * routers / targets,
			Step:     tokenGap,
		}},
		Workspaces: declared,
		Edit:       usualPeriods,
	})
}

// usualPeriods undoes what fleet.Start sets for quick starts.
func usualPeriods(s *settings.Settings) {
	s.Platform.VMListEvery = settings.Defaults().Platform.VMListEvery
}
