package router

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"log/slog"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/config/follower"
	configstore "github.com/walnutcove/walnutcove/config/store"
	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/dialect"
	"github.com/walnutcove/walnutcove/filters/authenticate"
	"github.com/walnutcove/walnutcove/front"
	"github.com/walnutcove/walnutcove/operator"
	"github.com/walnutcove/walnutcove/peer"
	"github.com/walnutcove/walnutcove/peer/tlsfiles"
	"github.com/walnutcove/walnutcove/platform"
	"github.com/walnutcove/walnutcove/runrecord"
	"github.com/walnutcove/walnutcove/settings"
	"github.com/walnutcove/walnutcove/store"
	"github.com/walnutcove/walnutcove/targets"
	"github.com/walnutcove/walnutcove/targets/cachewatch"
	"github.com/walnutcove/walnutcove/targets/loadpoll"
)

// Settings keys that errors of Start and Check name.
const (
	keyCallers   = "listen.callers"
	keyOperators = "listen.operators"
	keyPeers     = "listen.peers"
	keyHealth    = "listen.health"
	keyPeerFiles = "peers"
)

// Start starts a router and returns once its listeners are open. The router
// accepts callers' requests once it has a configuration version. An error is a
// settings.Problems; nothing is left running then.
func Start(s settings.Settings, log *slog.Logger) (*Router, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	if log == nil {
		log = slog.Default()
	}
	r := &Router{
		settings:       s,
		incarnation:    newIncarnation(),
		log:            log.With("node", s.Node.Name),
		stopLoop:       make(chan struct{}),
		drainedCh:      make(chan struct{}),
		drainRequested: make(chan struct{}),
		fleet:          newFleetSize(time.Now),
	}
	r.retries.Store(&s.Retries)
	r.buildCore()
	if err := r.openListeners(); err != nil {
		r.closeListeners()
		r.closePlatform()
		return nil, err
	}
	r.buildWorkers()
	r.run()
	r.log.Info("router: Started.",
		"callers", r.CallersAddress(), "operators", r.OperatorsAddress(), "peers", r.mesh.Address())
	return r, nil
}

// Check returns the error that Start would return for the settings, except for
// addresses in use. It opens nothing. The error is a settings.Problems.
func Check(s settings.Settings) error {
	if err := s.Validate(); err != nil {
		return err
	}
	_, err := peerOptions(s, newIncarnation())
	return err
}

// settingsProblem returns an error about one settings key.
func settingsProblem(key string, err error) error {
	return settings.Problems{{Key: key, Reason: err.Error()}}
}

// newIncarnation returns a random incarnation, which is never zero.
func newIncarnation() control.Incarnation {
	var bytes [8]byte
	_, _ = rand.Read(bytes[:]) // never fails, see crypto/rand
	return control.Incarnation(binary.LittleEndian.Uint64(bytes[:]) | 1)
}

// buildCore creates the parts that do nothing until they are called or started.
func (r *Router) buildCore() {
	s := r.settings
	if s.Platform.Kind == settings.KindManaged {
		r.managed = r.newManaged()
	} else {
		r.buildOwnPlatform()
	}
	machine := control.New(control.Options{
		Node:           control.NodeID(s.Node.Name),
		Incarnation:    r.incarnation,
		DataCentre:     s.Node.DataCentre,
		Cores:          s.Node.Cores,
		Policy:         control.Policy(s.Scheduling.Policy),
		Seed:           uint64(r.incarnation),
		HeartbeatEvery: time.Duration(s.Scheduling.HeartbeatEvery),
		MemberTimeout:  time.Duration(s.Scheduling.MemberTimeout),
		ExchangeEvery:  time.Duration(s.Scheduling.ExchangeEvery),
		LocalAfter:     time.Duration(s.Scheduling.LocalAfter),
		IgnorePrefixes: !s.Scheduling.PrefixLocality,
		ColdOvershoot:  s.Scheduling.ColdOvershoot,
		ColdSlack:      s.Scheduling.ColdSlack,
		Tokens:         s.Scheduling.Tokens,
	})
	r.loop = newLoop(machine, r, r.log)
}

// buildOwnPlatform creates the clients of the product's own platform.
func (r *Router) buildOwnPlatform() {
	s := r.settings
	r.ownPlatform = &ownPlatform{}
	r.platform = store.NewClient(store.Options{
		Address:         s.Platform.Address,
		Timeout:         time.Duration(s.Platform.Timeout),
		WritesPerSecond: initialWritesPerSecond + patchWritesPerSecond,
		WriteBurst:      writeBurst,
	})
	r.configStore = configstore.New(r.platform, r.platform.Objects(), configstore.Options{Log: r.log})
	r.follower = follower.New(follower.Options{
		Source:    r.configStore,
		Peers:     peerFetcher{r},
		OnChange:  r.configChanged,
		PollEvery: time.Duration(s.Platform.PollEvery),
		Timeout:   time.Duration(s.Platform.Timeout),
		Log:       r.log,
	})
	r.owners = newClaimOwners(control.NodeID(s.Node.Name), r.incarnation, time.Now)
}

// callerListenConfig opens the listener for callers. Keep-alive probes are off: they take four
// system calls per connection, a third of the cost of a refusal, and detect nothing that the
// request deadlines and the idle timeout do not.
var callerListenConfig = net.ListenConfig{KeepAlive: -1}

// openListeners opens the listeners and creates the servers for peers and operators.
func (r *Router) openListeners() error {
	var err error
	if r.callers, err = callerListenConfig.Listen(context.Background(), "tcp", r.settings.Listen.Callers); err != nil {
		return settingsProblem(keyCallers, err)
	}
	if r.operators, err = net.Listen("tcp", r.settings.Listen.Operators); err != nil {
		return settingsProblem(keyOperators, err)
	}
	if r.settings.Listen.Health != "" {
		if r.health, err = net.Listen("tcp", r.settings.Listen.Health); err != nil {
			return settingsProblem(keyHealth, err)
		}
	}
	r.operator, err = operator.New(backend{r}, operator.Options{
		Address:   r.settings.Listen.Operators,
		KeyHashes: r.settings.Operators.KeyHashes,
		Open:      r.settings.Peers.TrustNetwork,
		Log:       r.log,
	})
	if err != nil {
		return settingsProblem("operators", err)
	}
	options, err := peerOptions(r.settings, r.incarnation)
	if err != nil {
		return err
	}
	options.Logger = r.log
	options.Channels = r.offloadChannels()
	r.mesh, err = peer.New(options, peerHandler{r})
	if err != nil {
		return settingsProblem(keyPeers, err)
	}
	return nil
}

// peerOptions loads the TLS keys for peers and returns the checked options.
func peerOptions(s settings.Settings, incarnation control.Incarnation) (peer.Options, error) {
	keys, err := tlsfiles.Load(s.Peers.CertFile, s.Peers.KeyFile, s.Peers.CAFile)
	if err != nil {
		return peer.Options{}, settingsProblem(keyPeerFiles, err)
	}
	options := peer.Options{
		Node:          control.NodeID(s.Node.Name),
		Incarnation:   incarnation,
		ListenAddress: s.Listen.Peers,
		TLS:           keys,
		TrustNetwork:  s.Peers.TrustNetwork,
	}
	if err := options.Validate(); err != nil {
		return peer.Options{}, settingsProblem(keyPeerFiles, err)
	}
	return options, nil
}

func (r *Router) closeListeners() {
	for _, listener := range []net.Listener{r.callers, r.operators, r.health} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// buildWorkers creates the parts that have goroutines of their own, and the parts
// that depend on them.
func (r *Router) buildWorkers() {
	s := r.settings
	r.targets = targets.NewHTTPClient(targets.Options{
		FirstByteTimeout: time.Duration(s.Limits.FirstByteTimeout),
		StallTimeout:     time.Duration(s.Limits.StallTimeout),
		Dialect:          r.dialect(),
		Listing:          r.targetListing,
		OnNotice:         r.targetNoticeReceived,
		Metrics:          metrics.GetDefaultSet(),
	})
	r.poller = loadpoll.New(loadpoll.Options{
		Client:   r.targets,
		OnResult: r.loadPolled,
		Seed:     uint64(r.incarnation),
		Metrics:  metrics.GetDefaultSet(),
	})
	options := front.FromLimits(s.Limits)
	options.Log = r.log
	options.Dialect = r.dialect()
	if r.managed != nil {
		options.IdleLimit = r.callerIdleLimit
		r.cacheWatcher = cachewatch.New(platform.NewCacheSource(r.targets), r.targetCacheReported, r.log)
		options.CloseAfterAnswer = r.overload.shouldCloseConn
		options.Shed = r.overload.shouldShed
		options.ConfirmShed = r.confirmShed
		r.offloading = r.newOffloading()
		if r.offloading.source != nil {
			options.Offload = r.offloading.source
			options.ConfigNumber = r.configNumber
			options.RouteLimit = r.routeLimit
			options.Lag = r.overload.currentLag
		}
		r.front = front.New(options, r.routedPipeline())
		if r.offloading.source != nil {
			r.overload.acceptDelay = r.offloading.source.acceptDelay(r.front.MeasureAcceptDelay)
		}
		return
	}
	r.orders = r.newOrders()
	r.buildCommitTable()
	r.records = runrecord.New(runrecord.Options{
		Table:       r.commits.Load(),
		Node:        control.NodeID(s.Node.Name),
		Incarnation: r.incarnation,
		OwnerAlive:  r.owners.mayBeRunning,
		Logger:      r.log,
	})
	keys := authenticate.New(r)
	options.Authenticate = keys.Check
	r.front = front.New(options, r.pipeline(keys))
}

// dialect returns the dialect of the fleet's callers and targets.
func (r *Router) dialect() *dialect.Dialect {
	if r.managed != nil {
		return platform.Dialect
	}
	return dialect.Own
}

// run starts the router's goroutines, after all its parts have been created.
func (r *Router) run() {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	r.unpublishMetrics = r.publishMetrics()
	go r.loop.run(r.stopLoop)
	if r.managed != nil {
		r.startWorker(func() { r.directory.Run(ctx) })
		r.startWorker(func() { r.followMembers(ctx) })
		r.startWorker(func() { r.awaitJoined(ctx) })
		r.startWorker(func() { r.overload.run(ctx) })
		state := newShedState(r.overload, r.offloading.source)
		r.startWorker(func() { r.unread.run(ctx, r.loop, r.log, state.attributes) })
		if r.offloading.source != nil {
			r.startWorker(func() { r.offloading.source.run(ctx) })
			r.startedExecutor.Store(r.offloading.executor)
		}
	} else {
		r.startWorker(func() { r.follower.Run(ctx) })
		r.startWorker(func() { r.followVMs(ctx) })
	}
	if r.health != nil {
		r.startWorker(func() { r.serve("health", r.operator.Serve, r.health) })
	}
	r.startWorker(func() { r.serve("callers", r.front.Serve, r.callers) })
	r.startWorker(func() { r.serve("operators", r.operator.Serve, r.operators) })
}
