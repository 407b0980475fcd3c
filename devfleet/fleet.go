// Package devfleet runs a small fleet in one process: routers, the platform's
// stand-in and stand-in targets, all on loopback. It is for developers and
// tests; every part is the same code that runs as its own process elsewhere.
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

// Options say what the fleet consists of. Zero values take the stated defaults.
type Options struct {
	// DataCentres the VMs and targets are spread over. Default "ikeja".
	DataCentres []string
	// Routers is how many routers run. Default 3.
	Routers int
	// Engines and Services are how many stand-in targets run. Defaults 2 and 1.
	Engines  int
	Services int
	// EngineSlots and ServiceSlots are each target's slots. Defaults 8 and 4.
	EngineSlots  int
	ServiceSlots int
	// Step is the engines' time for each token. Default 2 ms.
	Step time.Duration
	// Workspaces are declared besides the pools and targets. Default: Demo().
	Workspaces map[string]config.Workspace
	// Edit, if set, changes the settings of router n (from 0) before it starts.
	Edit func(n int, s *settings.Settings)
	// Log takes the routers' messages. Default slog.Default().
	Log *slog.Logger
}

// drainTimeout bounds the drain of a router that an operator asked for.
const drainTimeout = 30 * time.Second

// Names of the fleet's pools and of what callers ask for.
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

	// closed is closed by Close.
	closed chan struct{}
	once   sync.Once

	options         Options
	targets         map[string]config.Target
	platformAddress string
	vms             []store.VM
}

// Start starts a fleet and returns once every router takes requests.
func Start(ctx context.Context, options Options) (*Fleet, error) {
	f := &Fleet{
		options: withDefaults(options),
		closed:  make(chan struct{}),
		targets: make(map[string]config.Target),
	}
	steps := []func(context.Context) error{f.startPlatform, f.startTargets, f.declare, f.startRouters, f.waitReady}
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
		o.Workspaces = Demo()
	}
	if o.Log == nil {
		o.Log = slog.Default()
	}
	return o
}

func setDefault(value *int, standard int) {
	if *value == 0 {
		*value = standard
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

func (f *Fleet) addTarget(name, pool, address string, n, slots int, resumes bool) {
	f.targets[name] = config.Target{
		Pool:       pool,
		DataCentre: f.dataCentre(n),
		Address:    address,
		Slots:      slots,
		Resumes:    resumes,
	}
}

func (f *Fleet) dataCentre(n int) string {
	return f.options.DataCentres[n%len(f.options.DataCentres)]
}

// declare submits version 1.
func (f *Fleet) declare(ctx context.Context) error {
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

func (f *Fleet) startRouter(n int) error {
	s := settings.Defaults()
	s.Node.Name = fmt.Sprintf("vm-%d", n+1)
	s.Node.DataCentre = f.dataCentre(n)
	s.Listen = settings.Listen{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0", Peers: "127.0.0.1:0"}
	s.Platform.Address = f.platformAddress
	s.Platform.VMListEvery = settings.Duration(200 * time.Millisecond)
	if f.options.Edit != nil {
		f.options.Edit(n, &s)
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

// drainWhenAsked shuts a router down when an operator drains it.
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

// Close stops everything at once. It may be called again.
func (f *Fleet) Close() {
	f.once.Do(f.close)
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
