// Package fleet starts a fleet of real processes for an experiment: a stand-in for
// the platform, stand-in targets and routers, each in a process of its own.
package fleet

import (
	"bytes"
	"cmp"
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/operator"
	"github.com/walnutcove/walnutcove/processes"
	"github.com/walnutcove/walnutcove/settings"
	"github.com/walnutcove/walnutcove/store"
)

// Options describe the fleet to start.
type Options struct {
	// DataCentres holds the data centres that VMs and targets are assigned to in
	// turn. It must not be empty.
	DataCentres []string
	// Routers is how many routers run.
	Routers int
	// Policy is the routers' scheduling policy; empty for the default.
	Policy string
	// Pools holds the pools by name, with the settings of their targets.
	Pools map[string]Pool
	// Workspaces holds the workspaces by name.
	Workspaces map[string]config.Workspace
	// Module is the directory of the module whose programs run; empty for the
	// working directory. Another directory can hold a changed copy, to compare with.
	Module string
	// EditSettings, if set, changes a router's settings before it starts.
	EditSettings func(s *settings.Settings)
}

// Pool is a pool and the settings of its targets.
type Pool struct {
	Config config.Pool
	// Targets is how many targets run, each with Slots slots.
	Targets int
	Slots   int
	// Step is the time that an engine takes for each token.
	Step time.Duration
	// LoadLag is the period at which an engine renews its load report.
	LoadLag time.Duration
	// PrefixEntries bounds an engine's cache of prompt prefixes; zero for the
	// engine's default. PrefixGap is the fraction of the cached prefixes that its
	// load reports leave out.
	PrefixEntries int
	PrefixGap     float64
}

// Fleet is a running fleet.
type Fleet struct {
	Binaries processes.Binaries
	Platform *processes.StandIn
	Targets  map[string]*processes.StandIn
	Routers  []*processes.Router

	options         Options
	dir             string
	declaredTargets map[string]config.Target
}

// Start builds the programs of the module and starts a fleet. Call Close to stop
// it.
func Start(ctx context.Context, options Options) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "walnutcove-bench-")
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		options:         options,
		dir:             dir,
		Targets:         make(map[string]*processes.StandIn),
		declaredTargets: make(map[string]config.Target),
	}
	if err := f.start(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	var err error
	if f.Binaries, err = processes.Build(ctx, cmp.Or(f.options.Module, "."), f.dir); err != nil {
		return err
	}
	if f.Platform, err = processes.StartPlatform(f.Binaries); err != nil {
		return err
	}
	for name, pool := range f.options.Pools {
		if err := f.startPool(name, pool); err != nil {
			return err
		}
	}
	if err := f.startRouters(); err != nil {
		return err
	}
	return f.submitConfig(ctx)
}

func (f *Fleet) startPool(name string, pool Pool) error {
	for n := range pool.Targets {
		target := fmt.Sprintf("%s-%d", name, n+1)
		started, err := f.startTarget(target, pool)
		if err != nil {
			return err
		}
		f.Targets[target] = started
		f.declaredTargets[target] = config.Target{
			Pool:       name,
			DataCentre: f.dataCentre(n),
			Address:    started.Address,
			Slots:      pool.Slots,
		}
	}
	return nil
}

func (f *Fleet) startTarget(name string, pool Pool) (*processes.StandIn, error) {
	if pool.Config.Kind == config.KindService {
		return processes.StartService(f.Binaries, name, pool.Slots, "")
	}
	return processes.StartEngine(f.Binaries, name, processes.EngineOptions{
		Slots: pool.Slots, Step: pool.Step, LoadLag: pool.LoadLag,
		PrefixEntries: pool.PrefixEntries, PrefixGap: pool.PrefixGap,
	})
}

func (f *Fleet) dataCentre(n int) string {
	return f.options.DataCentres[n%len(f.options.DataCentres)]
}

func (f *Fleet) startRouters() error {
	var vms []store.VM
	for n := range f.options.Routers {
		s := settings.Defaults()
		s.Node.Name = fmt.Sprintf("vm-%d", n+1)
		s.Node.DataCentre = f.dataCentre(n)
		s.Platform.Address = f.Platform.Address
		s.Platform.VMListEvery = settings.Duration(500 * time.Millisecond)
		if f.options.Policy != "" {
			s.Scheduling.Policy = f.options.Policy
		}
		if f.options.EditSettings != nil {
			f.options.EditSettings(&s)
		}
		r, err := processes.StartRouter(f.Binaries, f.dir, s)
		if err != nil {
			return err
		}
		f.Routers = append(f.Routers, r)
		vms = append(vms, store.VM{
			Name:        s.Node.Name,
			DataCentre:  s.Node.DataCentre,
			PeerAddress: r.Settings.Listen.Peers,
			State:       store.VMLive,
		})
	}
	return f.setVMs(vms)
}

func (f *Fleet) setVMs(vms []store.VM) error {
	return PostJSON("http://"+f.Platform.Address+"/_vms", store.VMsReply{VMs: vms}, nil)
}

// submitConfig submits the configuration and waits until it is in force at every
// router.
func (f *Fleet) submitConfig(ctx context.Context) error {
	pools := make(map[string]config.Pool)
	for name, pool := range f.options.Pools {
		pools[name] = pool.Config
	}
	changes, err := json.Marshal(config.Declarations{
		Workspaces: f.options.Workspaces,
		Pools:      pools,
		Targets:    f.declaredTargets,
	})
	if err != nil {
		return fmt.Errorf("encode the declarations: %w", err)
	}
	patch := config.Patch{ID: config.NewPatchID(), Author: "bench", Changes: changes}
	var accepted operator.PatchAccepted
	firstOperators := "http://" + f.Routers[0].Settings.Listen.Operators
	if err := PostJSON(firstOperators+operator.PathPatches, patch, &accepted); err != nil {
		return err
	}
	for _, r := range f.Routers {
		line := fmt.Sprintf("version=%d", accepted.Version)
		if _, err := r.WaitLine(line); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// CallerAddresses returns the addresses at which the routers serve callers.
func (f *Fleet) CallerAddresses() []string {
	var addresses []string
	for _, r := range f.Routers {
		addresses = append(addresses, r.Settings.Listen.Callers)
	}
	return addresses
}

// TargetConfig returns the configuration of a target.
func (f *Fleet) TargetConfig(name string) config.Target { return f.declaredTargets[name] }

// Close kills every process and removes the fleet's files.
func (f *Fleet) Close() {
	for _, r := range f.Routers {
		r.Kill()
	}
	for _, target := range f.Targets {
		target.Kill()
	}
	if f.Platform != nil {
		f.Platform.Kill()
	}
	_ = os.RemoveAll(f.dir)
}

// PostJSON posts a document and decodes the answer into reply unless it is nil.
func PostJSON(url string, document, reply any) error {
	body, err := json.Marshal(document)
	if err != nil {
		return err
	}
	response, err := http.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode/100 != 2 {
		var text bytes.Buffer
		_, _ = text.ReadFrom(response.Body)
		return fmt.Errorf("%s answered %s: %s", url, response.Status, text.String())
	}
	if reply == nil {
		return nil
	}
	return json.NewDecoder(response.Body).Decode(reply)
}

// Workspace returns the configuration of a workspace with an API key, a share and
// pools.
func Workspace(key string, share float64, pools ...string) config.Workspace {
	hash := config.HashKey([]byte(key))
	return config.Workspace{Share: share, KeyHashes: []string{hex.EncodeToString(hash[:])}, Pools: pools}
}
