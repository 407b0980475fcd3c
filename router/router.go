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
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/config/follower"
	"github.com/walnutcove/walnutcove/config/store"
	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/filters/quarantine"
	"github.com/walnutcove/walnutcove/front"
	"github.com/walnutcove/walnutcove/operator"
	"github.com/walnutcove/walnutcove/peer"
	"github.com/walnutcove/walnutcove/peer/tlsfiles"
	"github.com/walnutcove/walnutcove/platform"
	"github.com/walnutcove/walnutcove/platform/batch"
	"github.com/walnutcove/walnutcove/runrecord"
	"github.com/walnutcove/walnutcove/settings"
	"github.com/walnutcove/walnutcove/target"
	"github.com/walnutcove/walnutcove/target/loadpoll"
)

// Router is one running router. Create it with Start.
type Router struct {
	settings    settings.Settings
	incarnation control.Incarnation
	log         *slog.Logger

	platform *platform.Client
	batched  *batch.Table // the platform's table for run records
	store    *store.Store
	follower *follower.Follower
	targets  *target.HTTPClient
	poller   *loadpoll.Poller
	records  *runrecord.Keeper
	owners   *owners
	suspects quarantine.Set
	loop     *loop
	mesh     *peer.Mesh
	front    *front.Server
	operator *operator.Server

	inForce  atomic.Pointer[config.Snapshot]
	draining atomic.Bool
	watched  watched
	vms      atomic.Pointer[[]platform.VM]

	callers     net.Listener
	operators   net.Listener
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

// Start starts a router and returns once its listeners are open. The router
// takes callers' requests once it has a configuration version. An error leaves
// nothing running.
func Start(s settings.Settings, log *slog.Logger) (*Router, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	if log == nil {
		log = slog.Default()
	}
	r := &Router{
		settings:    s,
		incarnation: newIncarnation(),
		log:         log.With("node", s.Node.Name),
		stopLoop:    make(chan struct{}),
		drainedCh:   make(chan struct{}),
		drainAsked:  make(chan struct{}),
	}
	if err := r.listen(); err != nil {
		r.closeListeners()
		return nil, err
	}
	r.buildClients()
	if err := r.buildServers(); err != nil {
		r.closeListeners()
		return nil, err
	}
	r.run()
	r.log.Info("router: Started.",
		"callers", r.CallersAddress(), "operators", r.OperatorsAddress(), "peers", r.mesh.Address())
	return r, nil
}

// CallersAddress is the "ip:port" that callers reach.
func (r *Router) CallersAddress() string { return r.callers.Addr().String() }

// OperatorsAddress is the "ip:port" that operators reach.
func (r *Router) OperatorsAddress() string { return r.operators.Addr().String() }

// PeersAddress is the "ip:port" that other routers reach.
func (r *Router) PeersAddress() string { return r.mesh.Address() }

// DrainAsked is closed when an operator asked this router to drain.
func (r *Router) DrainAsked() <-chan struct{} { return r.drainAsked }

// Ready implements ready.State: a configuration version is in force.
func (r *Router) Ready() bool { return r.inForce.Load() != nil }

// Draining implements ready.State.
func (r *Router) Draining() bool { return r.draining.Load() }

// InForce implements authenticate.Source.
func (r *Router) InForce() *config.Snapshot { return r.inForce.Load() }

func newIncarnation() control.Incarnation {
	var bytes [8]byte
	_, _ = rand.Read(bytes[:]) // never fails, see crypto/rand
	return control.Incarnation(binary.LittleEndian.Uint64(bytes[:]) | 1)
}

func (r *Router) listen() error {
	var err error
	if r.callers, err = net.Listen("tcp", r.settings.Listen.Callers); err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	if r.operators, err = net.Listen("tcp", r.settings.Listen.Operators); err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	return nil
}

func (r *Router) closeListeners() {
	for _, listener := range []net.Listener{r.callers, r.operators} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// buildClients makes the parts that call out. None of them connects yet.
func (r *Router) buildClients() {
	s := r.settings
	r.platform = platform.NewClient(platform.Options{
		Address: s.Platform.Address,
		Timeout: time.Duration(s.Platform.Timeout),
	})
	r.store = store.New(r.platform, r.platform.Objects(), store.Options{Log: r.log})
	r.follower = follower.New(follower.Options{
		Source:    r.store,
		Peers:     peerFetcher{r},
		OnChange:  r.configChanged,
		PollEvery: time.Duration(s.Platform.PollEvery),
		Timeout:   time.Duration(s.Platform.Timeout),
		Log:       r.log,
	})
	r.targets = target.NewHTTPClient(target.Options{
		FirstByteTimeout: time.Duration(s.Limits.FirstByteTimeout),
		StallTimeout:     time.Duration(s.Limits.StallTimeout),
		Metrics:          metrics.GetDefaultSet(),
	})
	r.poller = loadpoll.New(loadpoll.Options{
		Client:   r.targets,
		OnResult: r.loadPolled,
		Seed:     uint64(r.incarnation),
		Metrics:  metrics.GetDefaultSet(),
	})
	r.owners = newOwners(control.NodeID(s.Node.Name), r.incarnation, time.Now)
	r.batched = batch.New(r.platform, batch.Options{Timeout: time.Duration(s.Platform.Timeout)})
	r.records = runrecord.New(runrecord.Options{
		Table:       r.batched,
		Node:        control.NodeID(s.Node.Name),
		Incarnation: r.incarnation,
		OwnerAlive:  r.owners.alive,
		Logger:      r.log,
	})
	machine := control.New(control.Options{
		Node:           control.NodeID(s.Node.Name),
		Incarnation:    r.incarnation,
		DataCentre:     s.Node.DataCentre,
		Policy:         control.Policy(s.Scheduling.Policy),
		Seed:           uint64(r.incarnation),
		HeartbeatEvery: time.Duration(s.Scheduling.HeartbeatEvery),
		MemberTimeout:  time.Duration(s.Scheduling.MemberTimeout),
		ExchangeEvery:  time.Duration(s.Scheduling.ExchangeEvery),
	})
	r.loop = newLoop(machine, r, r.log)
}

// buildServers makes the parts that are called from outside.
func (r *Router) buildServers() error {
	s := r.settings
	tlsConfig, err := tlsfiles.Load(s.Peers.CertFile, s.Peers.KeyFile, s.Peers.CAFile)
	if err != nil {
		return fmt.Errorf("load the keys for peers: %w", err)
	}
	r.mesh, err = peer.New(peer.Options{
		Node:          control.NodeID(s.Node.Name),
		Incarnation:   r.incarnation,
		ListenAddress: s.Listen.Peers,
		TLS:           tlsConfig,
		Logger:        r.log,
	}, peerHandler{r})
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	r.operator, err = operator.New(backend{r}, operator.Options{
		Address:   s.Listen.Operators,
		KeyHashes: s.Operators.KeyHashes,
		Log:       r.log,
	})
	if err != nil {
		_ = r.mesh.Close()
		return fmt.Errorf("set up the operator API: %w", err)
	}
	options := front.FromLimits(s.Limits)
	options.Log = r.log
	r.front = front.New(options, r.pipeline())
	return nil
}

// run starts the goroutines of a router whose parts are all made.
func (r *Router) run() {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	r.unpublish = r.publishMetrics()
	go r.loop.run(r.stopLoop)
	r.start(func() { r.follower.Run(ctx) })
	r.start(func() { r.followVMs(ctx) })
	r.start(func() { r.serve("callers", r.front.Serve, r.callers) })
	r.start(func() { r.serve("operators", r.operator.Serve, r.operators) })
}

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
	err := r.front.Shutdown(ctx)
	if err == nil {
		err = r.waitDrained(ctx)
	}
	if closeErr := r.records.Close(ctx); err == nil {
		err = closeErr
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
	r.loop.post(control.DrainStarted{})
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
	_ = r.records.Close(expired)
	r.batched.Close()
	_ = r.operator.Shutdown(expired)
	r.closeListeners()
	_ = r.mesh.Close()
	close(r.stopLoop)
	<-r.loop.done
	r.unpublish()
	_ = r.targets.Close()
	r.background.Wait()
	r.platform.Close()
	r.log.Info("router: Stopped.")
}

// WaitReady returns once a configuration version is in force.
func (r *Router) WaitReady(ctx context.Context) error {
	select {
	case <-r.follower.Ready():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
