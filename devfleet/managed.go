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

// The demonstration's replicas and configuration.
const (
	demoReplicasPerService = 2
	demoSlots              = 8
	demoStreamEvents       = 10
	demoEventPause         = 100 * time.Millisecond
	demoServiceTime        = 20 * time.Millisecond
	demoConfigVersion      = 4
)

// ManagedFleet is a small fleet in one process, on a stand-in for a managed platform.
type ManagedFleet struct {
	Routers []*router.Router
	store   *managed.Store
	// replicas are closed by Shutdown.
	replicas []*managed.Replica
}

// StartManaged starts a stand-in for a managed platform with replicas, and routers that
// use it. It returns once every router is ready. If it fails, nothing is left running.
func StartManaged(ctx context.Context, routers int, log *slog.Logger) (*ManagedFleet, error) {
	m := &ManagedFleet{store: managed.StartStore()}
	if err := m.start(ctx, routers, log); err != nil {
		m.close()
		return nil, err
	}
	return m, nil
}

func (m *ManagedFleet) start(ctx context.Context, routers int, log *slog.Logger) error {
	m.store.Put(wire.TableOperator, wire.KeyConfig, managed.DemoConfig(demoConfigVersion))
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

func (m *ManagedFleet) startReplicas() error {
	journal := &managed.Journal{}
	for n := range demoReplicasPerService {
		for _, options := range []managed.ReplicaOptions{
			{ID: fmt.Sprintf("ops-%d", n+1), Service: managed.DemoService, Slots: demoSlots, Pause: demoServiceTime},
			{ID: fmt.Sprintf("gen-%d", n+1), Service: managed.DemoEngine, Slots: demoSlots, Events: demoStreamEvents, Pause: demoEventPause},
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

// ManagedSettings returns the settings of a router on loopback that uses the managed
// platform's store at an address.
func ManagedSettings(name, storeAddress string) settings.Settings {
	s := settings.Defaults()
	s.Node = settings.Node{Name: name, DataCentre: "dc"}
	s.Listen = settings.Listen{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0", Peers: "127.0.0.1:0", Health: "127.0.0.1:0"}
	s.Platform.Kind = settings.KindManaged
	s.Platform.Address = storeAddress
	s.Peers.TrustNetwork = true
	s.Scheduling.HeartbeatEvery = settings.Duration(250 * time.Millisecond)
	s.Scheduling.MemberTimeout = settings.Duration(time.Second)
	s.Scheduling.LocalAfter = settings.Duration(100 * time.Millisecond)
	return s
}

// Welcome returns instructions for trying the fleet, with command lines ready to copy.
func (m *ManagedFleet) Welcome() string {
	address := m.Routers[0].CallersAddress()
	line := func(path, id string) string {
		return fmt.Sprintf("  curl -N -X POST http://%s%s -H 'Host: %s' -H '%s: %s' -H '%s: %s' -d body\n",
			address, path, managed.DemoHost, wire.HeaderKey, managed.DemoKey, wire.HeaderRequestID, id)
	}
	return fmt.Sprintf("%d routers on a managed platform's stand-in. Try:\n", len(m.Routers)) +
		line(managed.DemoNonIdempotentPrefix+"deploy", "first") +
		line(managed.DemoStreamPrefix+"page", "second") +
		fmt.Sprintf("  curl http://%s/metrics\nCtrl-C drains it.\n", m.Routers[0].OperatorsAddress())
}

// Shutdown drains the routers one after another and then stops the stand-ins.
func (m *ManagedFleet) Shutdown(ctx context.Context) error {
	defer m.close()
	var errs []error
	for _, r := range m.Routers {
		errs = append(errs, r.Shutdown(ctx))
	}
	return errors.Join(errs...)
}

func (m *ManagedFleet) close() {
	for _, r := range m.Routers {
		r.Close()
	}
	for _, replica := range m.replicas {
		replica.Close()
	}
	m.store.Close()
}
