package devfleet

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"github.com/walnutcove/walnutcove/platform/wire"
	"github.com/walnutcove/walnutcove/router"
	"github.com/walnutcove/walnutcove/settings"
	"github.com/walnutcove/walnutcove/standin/managed"
)

// What the demonstration's replicas do.
const (
	demoReplicas = 2
	demoSlots    = 8
	demoEvents   = 10
	demoPause    = 100 * time.Millisecond
	demoWork     = 20 * time.Millisecond
	demoVersion  = 4
)

// Managed is a small fleet on the stand-in of a managed platform, in one process.
type Managed struct {
	Routers []*router.Router
	store   *managed.Store
	// replicas end with Shutdown.
	replicas []*managed.Replica
}

// StartManaged starts routers on the stand-in of a managed platform and returns once
// they have their configuration. An error leaves nothing running.
func StartManaged(ctx context.Context, routers int, log *slog.Logger) (*Managed, error) {
	m := &Managed{store: managed.StartStore()}
	if err := m.start(ctx, routers, log); err != nil {
		m.close()
		return nil, err
	}
	return m, nil
}

func (m *Managed) start(ctx context.Context, routers int, log *slog.Logger) error {
	m.store.Put(wire.TableOperator, wire.KeyConfig, managed.Demo(demoVersion))
	if err := m.startReplicas(); err != nil {
		return err
	}
	for n := range routers {
		address, err := m.store.Listen()
		if err != nil {
			return err
		}
		r, err := router.Start(ManagedSettings(fmt.Sprintf("vm-%d", n+1), address), log)
		if err != nil {
			return err
		}
		m.Routers = append(m.Routers, r)
	}
	for _, r := range m.Routers {
		if err := r.WaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (m *Managed) startReplicas() error {
	journal := &managed.Journal{}
	for n := range demoReplicas {
		for _, options := range []managed.ReplicaOptions{
			{ID: fmt.Sprintf("ops-%d", n+1), Service: managed.DemoService, Slots: demoSlots, Pause: demoWork},
			{ID: fmt.Sprintf("gen-%d", n+1), Service: managed.DemoEngine, Slots: demoSlots, Events: demoEvents, Pause: demoPause},
		} {
			replica, err := managed.StartReplica(m.store, journal, options)
			if err != nil {
				return err
			}
			m.replicas = append(m.replicas, replica)
		}
	}
	return nil
}

// ManagedSettings are the settings of a router on loopback whose platform's store is
// at an address.
func ManagedSettings(name, store string) settings.Settings {
	s := settings.Defaults()
	s.Node = settings.Node{Name: name, DataCentre: "dc"}
	s.Listen = settings.Listen{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0", Peers: "127.0.0.1:0", Health: "127.0.0.1:0"}
	s.Platform.Kind = settings.KindManaged
	s.Platform.Address = store
	s.Peers.TrustNetwork = true
	s.Scheduling.HeartbeatEvery = settings.Duration(250 * time.Millisecond)
	s.Scheduling.MemberTimeout = settings.Duration(time.Second)
	s.Scheduling.LocalAfter = settings.Duration(100 * time.Millisecond)
	return s
}

// Welcome tells how to try the fleet: lines that work as they stand.
func (m *Managed) Welcome() string {
	address := m.Routers[0].CallersAddress()
	line := func(path, id string) string {
		return fmt.Sprintf("  curl -N -X POST http://%s%s -H 'Host: %s' -H '%s: %s' -H '%s: %s' -d body\n",
			address, path, managed.DemoHost, wire.HeaderKey, managed.DemoKey, wire.HeaderRequestID, id)
	}
	return fmt.Sprintf("%d routers on a managed platform's stand-in. Try:\n", len(m.Routers)) +
		line(managed.DemoOncePrefix+"deploy", "first") +
		line(managed.DemoStreamPrefix+"page", "second") +
		fmt.Sprintf("  curl http://%s/metrics\nCtrl-C drains it.\n", m.Routers[0].OperatorsAddress())
}

// Shutdown drains the routers and ends the stand-ins.
func (m *Managed) Shutdown(ctx context.Context) error {
	defer m.close()
	var errs []error
	for _, r := range m.Routers {
		errs = append(errs, r.Shutdown(ctx))
	}
	return errors.Join(errs...)
}

func (m *Managed) close() {
	for _, r := range m.Routers {
		r.Close()
	}
	for _, replica := range m.replicas {
		replica.Close()
	}
	m.store.Close()
}
