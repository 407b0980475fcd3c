// Package devfleet runs a small fleet in one process: routers, a stand-in for the
// platform and stand-in targets, all on loopback. It is for developers and tests.
// Every part is the same code that otherwise runs as a process of its own.
package devfleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/walnutcove/walnutcove/config"
	configstore "github.com/walnutcove/walnutcove/config/store"
	"github.com/walnutcove/walnutcove/router"
	"github.com/walnutcove/walnutcove/settings"
	"github.com/walnutcove/walnutcove/standin/engine"
	standinplatform "github.com/walnutcove/walnutcove/standin/platform"
	"github.com/walnutcove/walnutcove/standin/service"
	"github.com/walnutcove/walnutcove/store"
)

// Options configure a fleet. Zero values stand for the stated defaults.
type Options struct {
	// DataCentres are assigned to the VMs and targets in rotation. Default "ikeja".
	DataCentres []string
	// Routers is the number of routers. Default 3.
	Routers int
	// Engines and Services are the numbers of stand-in targets. Defaults 2 and 1.
	Engines  int
	Services int
	// EngineSlots and ServiceSlots are the numbers of slots of each engine and each
	// service. Defaults 8 and 4.
	EngineSlots  int
	ServiceSlots int
	// Step is the time in which an engine generates a token. Default 2 ms.
	Step time.Duration
	// Workspaces are configured in addition to the pools and targets. Default:
	// DemoWorkspaces().
	Workspaces map[string]config.Workspace
	// EditSettings, if set, changes the settings of router n (from 0) before it
	// starts.
	EditSettings func(n int, s *settings.Settings)
	// Log receives the routers' log messages. Default slog.Default().
	Log *slog.Logger
}

// drainTimeout is the time limit for a drain that an operator requested.
const drainTimeout = 30 * time.Second

// Names of the fleet's pools, and the model and path of their requests.
const (
	EnginePool  = "drafting"
	ServicePool = "deploy"
	Model       = "walnut-small"
	ServicePath = "/svc/deploy"
)

// Fleet is a running fleet.
type Fleet struct {
	Platform *standinplatform.Server
	Engines  []*engine.Engine
	Services []*service.Service
	Routers  []*router.Router

	// closed is closed by Close and ends the wait for drains.
	closed    chan struct{}
	closeOnce sync.Once

	options         Options
	targets         map[string]config.Target
	platformAddress string
	vms             []store.VM
}

// Start starts a fleet and returns once every router serves requests. If it fails,
// nothing is left running.
func Start(ctx context.Context, options Options) (*Fleet, error) {
	f := &Fleet{
		options: withDefaults(options),
		closed:  make(chan struct{}),
		targets: make(map[string]config.Target),
	}
	steps := []func(context.Context) error{f.startPlatform, f.startTargets, f.submitConfig, f.startRouters, f.waitReady}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

func withDefaults(o Options) Options {
	if len(o.DataCentres) == 0 {
		o.DataCentres = []string{"ikeja"}
	}
	setDefault(&o.Routers, 3)
	setDefault(&o.Engines, 2)
	setDefault(&o.Services, 1)
	setDefault(&o.EngineSlots, 8)
	setDefault(&o.ServiceSlots, 4)
	if o.Workspaces == nil {
		o.Workspaces = DemoWorkspaces()
	}
	if o.Log == nil {
		o.Log = slog.Default()
	}
	return o
}

func setDefault(value *int, defaultValue int) {
	if *value == 0 {
		*value = defaultValue
	}
}

func (f *Fleet) startPlatform(context.Context) error {
	f.Platform = standinplatform.New(standinplatform.Options{})
	var err error
	f.platformAddress, err = f.Platform.Start("127.0.0.1:0")
	return err
}

func (f *Fleet) startTargets(context.Context) error {
	for n := range f.options.Engines {
		name := fmt.Sprintf("engine-%d", n+1)
		e := engine.New(engine.Options{Name: name, Slots: f.options.EngineSlots, Step: f.options.Step, Resumes: true})
		address, err := e.Start("127.0.0.1:0")
		if err != nil {
			return fmt.Errorf("start %s: %w", name, err)
		}
		f.Engines = append(f.Engines, e)
		f.addTarget(name, EnginePool, address, n, f.options.EngineSlots, true)
	}
	for n := range f.options.Services {
		name := fmt.Sprintf("service-%d", n+1)
		s := service.New(service.Options{Name: name, Slots: f.options.ServiceSlots})
		address, err := s.Start("127.0.0.1:0")
		if err != nil {
			return fmt.Errorf("start %s: %w", name, err)
		}
		f.Services = append(f.Services, s)
		f.addTarget(name, ServicePool, address, n, f.options.ServiceSlots, false)
	}
	return nil
}

func (f *Fleet) addTarget(name, pool, address string, number, slots int, resumes bool) {
	f.targets[name] = config.Target{
		Pool:       pool,
		DataCentre: f.dataCentre(number),
		Address:    address,
		Slots:      slots,
		Resumes:    resumes,
	}
}

func (f *Fleet) dataCentre(number int) string {
	return f.options.DataCentres[number%len(f.options.DataCentres)]
}

// submitConfig submits the fleet's configuration, as version 1.
func (f *Fleet) submitConfig(ctx context.Context) error {
	declarations := config.Declarations{
		Workspaces: f.options.Workspaces,
		Pools: map[string]config.Pool{
			EnginePool:  {Kind: config.KindEngine, Models: []string{Model}},
			ServicePool: {Kind: config.KindService, PathPrefix: ServicePath, NonIdempotent: true},
		},
		Targets: f.targets,
	}
	changes, err := json.Marshal(declarations)
	if err != nil {
		return fmt.Errorf("encode the declarations: %w", err)
	}
	patch := config.Patch{ID: config.NewPatchID(), Author: "walnutdev", Changes: changes}
	memory := f.Platform.Store()
	versions := configstore.New(memory, memory.Objects(), configstore.Options{Log: f.options.Log})
	_, err = versions.Submit(ctx, config.Empty(), patch)
	return err
}

func (f *Fleet) startRouters(context.Context) error {
	for n := range f.options.Routers {
		if err := f.startRouter(n); err != nil {
			return err
		}
	}
	f.Platform.Store().SetVMs(f.vms)
	return nil
}

func (f *Fleet) startRouter(number int) error {
	s := settings.Defaults()
	s.Node.Name = fmt.Sprintf("vm-%d", number+1)
	s.Node.DataCentre = f.dataCentre(number)
	s.Listen = settings.Listen{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0", Peers: "127.0.0.1:0"}
	s.Platform.Address = f.platformAddress
	s.Platform.VMListEvery = settings.Duration(200 * time.Millisecond)
	if f.options.EditSettings != nil {
		f.options.EditSettings(number, &s)
	}
	r, err := router.Start(s, f.options.Log)
	if err != nil {
		return fmt.Errorf("start %s: %w", s.Node.Name, err)
	}
	f.Routers = append(f.Routers, r)
	go f.drainWhenAsked(r)
	f.vms = append(f.vms, store.VM{
		Name:        s.Node.Name,
		DataCentre:  s.Node.DataCentre,
		PeerAddress: r.PeersAddress(),
		State:       store.VMLive,
	})
	return nil
}

// drainWhenAsked shuts a router down once an operator requests its drain.
func (f *Fleet) drainWhenAsked(r *router.Router) {
	select {
	case <-r.DrainRequested():
	case <-f.closed:
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	if err := r.Shutdown(ctx); err != nil {
		f.options.Log.Warn("devfleet: Drain was cut short.", "error", err)
	}
}

func (f *Fleet) waitReady(ctx context.Context) error {
	for _, r := range f.Routers {
		if err := r.WaitReady(ctx); err != nil {
			return fmt.Errorf("wait until every router has the configuration: %w", err)
		}
	}
	return nil
}

// Shutdown drains every router at once and then stops the stand-ins.
func (f *Fleet) Shutdown(ctx context.Context) error {
	results := make(chan error, len(f.Routers))
	for _, r := range f.Routers {
		go func() { results <- r.Shutdown(ctx) }()
	}
	var errs []error
	for range f.Routers {
		errs = append(errs, <-results)
	}
	f.Close()
	return errors.Join(errs...)
}

// Close stops everything immediately, without a drain. It may be called more than
// once.
func (f *Fleet) Close() {
	f.closeOnce.Do(f.close)
}

func (f *Fleet) close() {
	close(f.closed)
	for _, r := range f.Routers {
		r.Close()
	}
	for _, e := range f.Engines {
		e.Close()
	}
	for _, s := range f.Services {
		s.Close()
	}
	if f.Platform != nil {
		_ = f.Platform.Close()
	}
}
