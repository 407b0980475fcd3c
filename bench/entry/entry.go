// Package entry measures the processor time that one router on a managed platform spends
// on a request, and at which stages. It shows how many callers a small VM can serve.
package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/walnutcove/walnutcove/bench/measure"
	"github.com/walnutcove/walnutcove/devfleet"
	"github.com/walnutcove/walnutcove/platform/wire"
	"github.com/walnutcove/walnutcove/processes"
	"github.com/walnutcove/walnutcove/settings"
	"github.com/walnutcove/walnutcove/standin/managed"
)

// Options configure the experiment.
type Options struct {
	// Routers is how many routers run. All callers send to one of them, and others may
	// schedule its requests.
	Routers int
	// Callers is how many requests are kept in flight.
	Callers int
	// Duration is how long each kind of request is measured.
	Duration time.Duration
	// Events is the number of events of a streamed answer, and Pause the time between two
	// events.
	Events int
	Pause  time.Duration
	// ProfileDir is the directory for the processor profiles; empty for none.
	ProfileDir string
}

const (
	// replicas and slots are large enough that no request waits for a slot, and that a
	// router needs no more connections to a replica than it does elsewhere.
	replicas = 48
	slots    = 64
	// deadline is the deadline of each request.
	deadline = 10 * time.Second
	// warmUp is how long callers send before each measurement, so that connections are
	// open and the code has run.
	warmUp = time.Second
)

// requestKind is a kind of request that is measured separately.
type requestKind struct {
	name string
	path string
	// reconnects is set if each request uses a new connection.
	reconnects bool
	// key is the callers' API key. With a wrong one each request is refused.
	key string
}

var requestKinds = []requestKind{
	{name: "stream", path: managed.DemoStreamPrefix + "page", key: managed.DemoKey},
	{name: "stream, new connection each", path: managed.DemoStreamPrefix + "page", key: managed.DemoKey, reconnects: true},
	{name: "whole answer", path: managed.DemoNonIdempotentPrefix + "deploy", key: managed.DemoKey},
	{name: "refused", path: managed.DemoNonIdempotentPrefix + "deploy", key: "no key", reconnects: true},
}

// Run runs the experiment and writes a table.
func Run(ctx context.Context, out io.Writer, o Options) error {
	dir, err := os.MkdirTemp("", "walnutcove-entry-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	store := managed.StartStore()
	defer store.Close()
	if err := startReplicas(store, o); err != nil {
		return err
	}
	routers, err := startRouters(ctx, store, dir, o.Routers)
	for _, r := range routers {
		defer r.Kill()
	}
	if err != nil {
		return err
	}
	for _, kind := range requestKinds {
		if err := measureKind(ctx, out, routers[0], kind, o); err != nil {
			return fmt.Errorf("%s: %w", kind.name, err)
		}
	}
	return nil
}

func startReplicas(store *managed.Store, o Options) error {
	managedConfig := managed.DemoConfig(1)
	for n := range managedConfig.Services {
		if engine := managedConfig.Services[n].Engine; engine != nil {
			engine.Slots = slots
			engine.MemoryTokens *= slots
		}
	}
	store.Put(wire.TableOperator, wire.KeyConfig, managedConfig)
	journal := &managed.Journal{}
	for n := range replicas {
		for _, options := range []managed.ReplicaOptions{
			{ID: fmt.Sprintf("ops-%d", n), Service: managed.DemoService, Slots: slots, Pause: o.Pause},
			{ID: fmt.Sprintf("gen-%d", n), Service: managed.DemoEngine, Slots: slots, Events: o.Events, Pause: o.Pause},
		} {
			if _, err := managed.StartReplica(store, journal, options); err != nil {
				return err
			}
		}
	}
	return nil
}

// startRouters starts walnutd processes, each limited to one processor, as on small VMs.
func startRouters(ctx context.Context, store *managed.Store, dir string, count int) ([]*processes.Router, error) {
	binaries, err := processes.Build(ctx, ".", dir)
	if err != nil {
		return nil, err
	}
	if err := os.Setenv("GOMAXPROCS", "1"); err != nil {
		return nil, err
	}
	var routers []*processes.Router
	for n := range count {
		address, err := store.Listen()
		if err != nil {
			return routers, err
		}
		s := devfleet.ManagedSettings(fmt.Sprintf("vm-%d", n+1), address)
		s.Listen = settings.Listen{}
		r, err := processes.StartRouter(binaries, dir, s)
		if err != nil {
			return routers, err
		}
		routers = append(routers, r)
	}
	for _, r := range routers {
		if err := r.WaitReady(); err != nil {
			return routers, err
		}
	}
	return routers, nil
}

// measureKind sends requests of one kind and writes the processor time that each cost the
// router.
func measureKind(ctx context.Context, out io.Writer, r *processes.Router, kind requestKind, o Options) error {
	callers := startCallers(ctx, r.Settings.Listen.Callers, kind, o.Callers)
	defer callers.stop()
	time.Sleep(warmUp)
	answered := callers.answered.Load()
	before, err := measure.ProcessorTime(r.PID())
	if err != nil {
		return err
	}
	profile, err := takeProfile(ctx, r.Settings.Listen.Operators, o.Duration)
	if err != nil {
		return err
	}
	after, err := measure.ProcessorTime(r.PID())
	if err != nil {
		return err
	}
	answered = callers.answered.Load() - answered
	if answered == 0 {
		return errors.New("no request got the expected answer")
	}
	spent := after - before
	fmt.Fprintf(out, "%s: %d requests, %d wrong, %.0f us of processor time each\n",
		kind.name, answered, callers.wrong.Load(), float64(spent.Microseconds())/float64(answered))
	if o.ProfileDir != "" {
		if err := profile.save(o.ProfileDir, kind.name); err != nil {
			return err
		}
	}
	return profile.writeStages(out, spent, answered)
}

// callers is a group of callers that keep requests in flight.
type callers struct {
	cancel   context.CancelFunc
	done     sync.WaitGroup
	answered atomic.Int64
	wrong    atomic.Int64
}

func startCallers(ctx context.Context, router string, kind requestKind, count int) *callers {
	ctx, cancel := context.WithCancel(ctx)
	c := &callers{cancel: cancel}
	for n := range count {
		c.done.Go(func() { c.send(ctx, router, kind, n) })
	}
	return c
}

func (c *callers) send(ctx context.Context, router string, kind requestKind, n int) {
	caller := managed.NewCaller(fmt.Sprintf("%x-%d", kind.name, n), deadline)
	defer caller.Close()
	expectOK := kind.key == managed.DemoKey
	for ctx.Err() == nil {
		answer := caller.Send(ctx, router, kind.path, kind.key)
		if kind.reconnects {
			caller.Close()
		}
		switch {
		case ctx.Err() != nil:
		case answer.Complete && (answer.Status == 200) == expectOK:
			c.answered.Add(1)
		default:
			c.wrong.Add(1)
		}
	}
}

func (c *callers) stop() {
	c.cancel()
	c.done.Wait()
}
