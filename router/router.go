// Package router assembles one router: the control goroutine, the pipeline of
// filters for callers' requests, the sessions with other routers, the platform
// clients and the operator API. It contains no scheduling policy; that is in
// package control.
//
//	callers -> front -> requestlog -> ready -> authenticate -> classify ->
//	quarantine -> runrecord -> retry -> grant -> dispatch -> relay -> targets
//
// On a managed platform, route and detach replace authenticate, classify and runrecord,
// and package events relays streams.
package router

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/config/follower"
	configstore "github.com/walnutcove/walnutcove/config/store"
	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/filters/quarantine"
	"github.com/walnutcove/walnutcove/front"
	"github.com/walnutcove/walnutcove/operator"
	"github.com/walnutcove/walnutcove/orders"
	"github.com/walnutcove/walnutcove/peer"
	"github.com/walnutcove/walnutcove/runrecord"
	"github.com/walnutcove/walnutcove/settings"
	"github.com/walnutcove/walnutcove/store"
	"github.com/walnutcove/walnutcove/store/batch"
	"github.com/walnutcove/walnutcove/store/forward"
	"github.com/walnutcove/walnutcove/targets"
	"github.com/walnutcove/walnutcove/targets/loadpoll"
)

// Router is one running router. Create it with Start.
type Router struct {
	settings    settings.Settings
	incarnation control.Incarnation
	log         *slog.Logger

	// Exactly one of the two is nil; see settings.Platform.Kind.
	*ownPlatform
	*managed

	targets       *targets.HTTPClient
	notices       targetNotices
	poller        *loadpoll.Poller
	quarantineSet quarantine.Set
	loop          *loop
	mesh          *peer.Mesh
	front         *front.Server
	operator      *operator.Server

	// inForce is the configuration in force; nil before the first.
	inForce atomic.Pointer[config.Snapshot]
	// retries is the fleet's retry budget, and fleet the number of routers that share it.
	retries atomic.Pointer[settings.Retries]
	fleet   *fleetSize
	// liveRouterCount is the number of routers that are alive.
	liveRouterCount atomic.Int64
	// lastLiveRouters is the list last passed to recordLiveRouters.
	lastLiveRouters atomic.Pointer[[]control.NodeID]
	draining        atomic.Bool
	watched         watchedTargets
	// vms is the latest list of VMs; nil before the first.
	vms atomic.Pointer[[]store.VM]

	callers          net.Listener
	operators        net.Listener
	health           net.Listener
	cancel           context.CancelFunc
	background       sync.WaitGroup
	stopLoop         chan struct{}
	drainedOnce      sync.Once
	drainedCh        chan struct{}
	drainRequested   chan struct{}
	drainRequestOnce sync.Once
	closeOnce        sync.Once
	unpublishMetrics func()
}

// ownPlatform holds the parts that only a fleet on the product's own platform needs:
// operators patch the configuration through the routers, run records make requests run
// at most once, and orders bring targets into their declared state.
type ownPlatform struct {
	platform    *store.Client
	batchTable  *batch.Table // commits run records for this router
	commits     atomic.Pointer[forward.Table]
	configStore *configstore.Store
	follower    *follower.Follower
	orders      *orders.Reconciler
	records     *runrecord.Manager
	owners      *claimOwners

	// writeShareMu guards the fields from which this router's share of the write budget
	// is computed.
	writeShareMu sync.Mutex
	aliveRouters []control.NodeID
	listedVMs    int
}

// CallersAddress returns the "ip:port" for callers.
func (r *Router) CallersAddress() string { return r.callers.Addr().String() }

// OperatorsAddress returns the "ip:port" for operators.
func (r *Router) OperatorsAddress() string { return r.operators.Addr().String() }

// PeersAddress returns the "ip:port" for other routers.
func (r *Router) PeersAddress() string { return r.mesh.Address() }

// DrainRequested returns a channel that is closed when an operator asks this router to
// drain.
func (r *Router) DrainRequested() <-chan struct{} { return r.drainRequested }

// Ready implements ready.State: a configuration version is in force, and on a
// managed platform the other routers are known or maxJoinWait has passed.
func (r *Router) Ready() bool {
	return r.inForce.Load() != nil && (r.managed == nil || r.isJoined())
}

// Draining implements ready.State.
func (r *Router) Draining() bool { return r.draining.Load() }

// InForce implements authenticate.Source.
func (r *Router) InForce() *config.Snapshot { return r.inForce.Load() }

// startWorker runs f on a goroutine that Close waits for.
func (r *Router) startWorker(f func()) {
	r.background.Add(1)
	go func() {
		defer r.background.Done()
		f()
	}()
}

// serve runs a server on its listener and logs why it failed, if it did.
func (r *Router) serve(name string, serve func(net.Listener) error, listener net.Listener) {
	err := serve(listener)
	if err != nil && !errors.Is(err, net.ErrClosed) {
		r.log.Error("router: A listener failed.", "listener", name, "error", err)
	}
}

// Shutdown drains the router: it accepts no new work, hands its shards over,
// finishes every request in progress and stops. If ctx ends first, it stops at
// once and returns the context's error.
func (r *Router) Shutdown(ctx context.Context) error {
	r.startDrain()
	if r.managed != nil {
		r.withdrawMember()
	}
	r.awaitDrainNotice(ctx)
	r.loop.post(control.DrainStarted{})
	err := r.front.Shutdown(ctx)
	if err == nil && r.managed != nil {
		err = r.offloading.waitServed(ctx)
	}
	if err == nil {
		err = r.waitDrained(ctx)
	}
	if r.ownPlatform != nil {
		if closeErr := r.records.Close(ctx); err == nil {
			err = closeErr
		}
	}
	r.Close()
	return err
}

// startDrain marks this router as leaving: it reports that it is not ready, and on the
// product's own platform callers are refused. Shutdown then moves the shards to other
// routers.
func (r *Router) startDrain() {
	if r.draining.Swap(true) {
		return
	}
	r.log.Info("router: Draining.")
	if r.managed != nil {
		r.offloading.drain()
	}
}

// Reload applies the sections of new settings that can change in a running router and
// returns their names, and those of the sections that differ and need a restart.
func (r *Router) Reload(s settings.Settings) (applied, needRestart []string) {
	if old := r.retries.Swap(&s.Retries); *old != s.Retries {
		applied = append(applied, "retries")
	}
	for _, section := range []struct {
		name      string
		unchanged bool
	}{
		{"node", s.Node.Equal(r.settings.Node)},
		{"listen", s.Listen == r.settings.Listen},
		{"platform", s.Platform == r.settings.Platform},
		{"peers", s.Peers == r.settings.Peers},
		{"scheduling", s.Scheduling == r.settings.Scheduling},
		{"offload", s.Offload == r.settings.Offload},
		{"limits", s.Limits == r.settings.Limits},
		{"operators", slices.Equal(s.Operators.KeyHashes, r.settings.Operators.KeyHashes)},
		{"log", s.Log == r.settings.Log},
	} {
		if !section.unchanged {
			needRestart = append(needRestart, section.name)
		}
	}
	return applied, needRestart
}

// awaitDrainNotice waits until the balancer has had time to see that this router is
// not ready. Connections that arrive meanwhile are served.
func (r *Router) awaitDrainNotice(ctx context.Context) {
	limits := r.settings.Limits
	notice := time.NewTimer(time.Duration(min(limits.DrainNotice, limits.DrainTimeout/2)))
	defer notice.Stop()
	select {
	case <-notice.C:
	case <-ctx.Done():
	}
}

func (r *Router) waitDrained(ctx context.Context) error {
	select {
	case <-r.drainedCh:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close stops at once. Requests in progress are interrupted.
func (r *Router) Close() {
	r.closeOnce.Do(r.close)
}

func (r *Router) close() {
	_ = r.front.Close()
	if r.managed != nil {
		r.offloading.closeExecutor()
	}
	r.cancel()
	r.poller.Close()
	expired, cancel := context.WithCancel(context.Background())
	cancel()
	if r.managed != nil {
		r.cacheWatcher.Close()
	}
	if r.ownPlatform != nil {
		r.orders.Close()
		_ = r.records.Close(expired)
		r.batchTable.Close()
	}
	_ = r.operator.Shutdown(expired)
	r.closeListeners()
	_ = r.mesh.Close()
	close(r.stopLoop)
	<-r.loop.done
	r.unpublishMetrics()
	_ = r.targets.Close()
	r.background.Wait()
	r.closePlatform()
	r.log.Info("router: Stopped.")
}

// WaitReady returns once this router can serve; see Ready.
func (r *Router) WaitReady(ctx context.Context) error {
	ready := r.readyChan()
	select {
	case <-ready:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// readyChan returns a channel that is closed once this router can serve.
func (r *Router) readyChan() <-chan struct{} {
	if r.managed != nil {
		return r.joined
	}
	return r.follower.Ready()
}

// version returns the configuration version in force; zero before there is one.
func (r *Router) version() config.Version {
	if snapshot := r.InForce(); snapshot != nil {
		return snapshot.Version
	}
	return 0
}

// callerIdleLimit returns for how long callers may keep connections idle by the version in force;
// zero if it does not say.
func (r *Router) callerIdleLimit() time.Duration {
	snapshot := r.InForce()
	if snapshot == nil {
		return 0
	}
	return time.Duration(snapshot.Declarations.Callers.IdleMillis) * time.Millisecond
}

func (r *Router) closePlatform() {
	if r.managed != nil {
		r.platformStore.Close()
		return
	}
	r.platform.Close()
}
