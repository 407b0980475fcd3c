// Package router assembles one router: the control goroutine, the pipeline of
// filters that callers' requests flow through, the sessions with other
// routers, the platform's clients and the operator API. It holds no policy of
// its own; that is in package control.
//
//	callers -> front -> ready -> authenticate -> classify -> quarantine ->
//	runrecord -> retry -> grant -> dispatch -> relay -> targets
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

	// One of the two is nil; see settings.Platform.Kind.
	*patched
	*managed

	targets  *targets.HTTPClient
	notices  notices
	poller   *loadpoll.Poller
	suspects quarantine.Set
	loop     *loop
	mesh     *peer.Mesh
	front    *front.Server
	operator *operator.Server

	inForce atomic.Pointer[config.Snapshot]
	// retries is the fleet's retry budget, and members how many routers share it.
	retries atomic.Pointer[settings.Retries]
	members atomic.Int64
	// lastAlive is the list that noteMembers was given last.
	lastAlive atomic.Pointer[[]control.NodeID]
	draining  atomic.Bool
	watched   watched
	vms       atomic.Pointer[[]store.VM]

	callers     net.Listener
	operators   net.Listener
	health      net.Listener
	cancel      context.CancelFunc
	background  sync.WaitGroup
	stopLoop    chan struct{}
	drainedOnce sync.Once
	drainedCh   chan struct{}
	drainAsked  chan struct{}
	askOnce     sync.Once
	closeOnce   sync.Once
	unpublish   func()
}

// patched holds what serves a fleet on the product's own platform: operators
// patch the configuration through the routers, run records make requests run at
// most once, and targets are ordered into their declared state.
type patched struct {
	platform *store.Client
	batched  *batch.Table // makes this router's commits of run records
	commits  atomic.Pointer[forward.Table]
	store    *configstore.Store
	follower *follower.Follower
	orders   *orders.Reconciler
	records  *runrecord.Keeper
	owners   *owners

	// sharing guards what this router's part of the write budget follows from.
	sharing sync.Mutex
	alive   []control.NodeID
	listed  int
}

// CallersAddress is the "ip:port" that callers reach.
func (r *Router) CallersAddress() string { return r.callers.Addr().String() }

// OperatorsAddress is the "ip:port" that operators reach.
func (r *Router) OperatorsAddress() string { return r.operators.Addr().String() }

// PeersAddress is the "ip:port" that other routers reach.
func (r *Router) PeersAddress() string { return r.mesh.Address() }

// DrainAsked is closed when an operator asked this router to drain.
func (r *Router) DrainAsked() <-chan struct{} { return r.drainAsked }

// Ready implements ready.State: a configuration version is in force, and on a
// managed platform the other routers are known.
func (r *Router) Ready() bool {
	return r.inForce.Load() != nil && (r.managed == nil || r.isJoined())
}

// Draining implements ready.State.
func (r *Router) Draining() bool { return r.draining.Load() }

// InForce implements authenticate.Source.
func (r *Router) InForce() *config.Snapshot { return r.inForce.Load() }

func (r *Router) start(f func()) {
	r.background.Add(1)
	go func() {
		defer r.background.Done()
		f()
	}()
}

func (r *Router) serve(what string, serve func(net.Listener) error, listener net.Listener) {
	err := serve(listener)
	if err != nil && !errors.Is(err, net.ErrClosed) {
		r.log.Error("router: A listener failed.", "listener", what, "error", err)
	}
}

// Shutdown drains the router: it takes no new work, hands its shards over,
// finishes every request in progress and stops. If ctx ends first, it stops by
// force and returns the context's error.
func (r *Router) Shutdown(ctx context.Context) error {
	r.startDrain()
	if r.managed != nil {
		r.withdraw()
	}
	r.giveNotice(ctx)
	r.loop.post(control.DrainStarted{})
	err := r.front.Shutdown(ctx)
	if err == nil {
		err = r.waitDrained(ctx)
	}
	if r.patched != nil {
		if closeErr := r.records.Close(ctx); err == nil {
			err = closeErr
		}
	}
	r.Close()
	return err
}

// startDrain makes this router leave: callers are refused and shards go to
// other routers.
func (r *Router) startDrain() {
	if r.draining.Swap(true) {
		return
	}
	r.log.Info("router: Draining.")
}

// Reload takes over what a running router can of new settings, and names it. It
// also names the sections that differ and need a restart.
func (r *Router) Reload(s settings.Settings) (taken, needRestart []string) {
	if old := r.retries.Swap(&s.Retries); *old != s.Retries {
		taken = append(taken, "retries")
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
		{"limits", s.Limits == r.settings.Limits},
		{"operators", slices.Equal(s.Operators.KeyHashes, r.settings.Operators.KeyHashes)},
		{"log", s.Log == r.settings.Log},
	} {
		if !section.unchanged {
			needRestart = append(needRestart, section.name)
		}
	}
	return taken, needRestart
}

// giveNotice goes on taking requests until the balancer had the time to see that
// this router is not ready. Connections that arrive meanwhile are served.
func (r *Router) giveNotice(ctx context.Context) {
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

// Close stops at once. Requests in progress are cut.
func (r *Router) Close() {
	r.closeOnce.Do(r.close)
}

func (r *Router) close() {
	_ = r.front.Close()
	r.cancel()
	r.poller.Close()
	expired, cancel := context.WithCancel(context.Background())
	cancel()
	if r.managed != nil {
		r.caches.Close()
	}
	if r.patched != nil {
		r.orders.Close()
		_ = r.records.Close(expired)
		r.batched.Close()
	}
	_ = r.operator.Shutdown(expired)
	r.closeListeners()
	_ = r.mesh.Close()
	close(r.stopLoop)
	<-r.loop.done
	r.unpublish()
	_ = r.targets.Close()
	r.background.Wait()
	r.closePlatform()
	r.log.Info("router: Stopped.")
}

// WaitReady returns once this router can serve; see Ready.
func (r *Router) WaitReady(ctx context.Context) error {
	ready := r.canServe()
	select {
	case <-ready:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// canServe is closed once this router can serve.
func (r *Router) canServe() <-chan struct{} {
	if r.managed != nil {
		return r.joined
	}
	return r.follower.Ready()
}

// version is the configuration version in force; zero before there is one.
func (r *Router) version() config.Version {
	if snapshot := r.InForce(); snapshot != nil {
		return snapshot.Version
	}
	return 0
}

func (r *Router) closePlatform() {
	if r.managed != nil {
		r.rows.Close()
		return
	}
	r.platform.Close()
}
