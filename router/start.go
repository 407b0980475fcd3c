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

// Keys of the settings that errors of Start and Check name.
const (
	keyCallers   = "listen.callers"
	keyOperators = "listen.operators"
	keyPeers     = "listen.peers"
	keyHealth    = "listen.health"
	keyPeerFiles = "peers"
)

// Start starts a router and returns once its listeners are open. The router
// takes callers' requests once it has a configuration version. An error is a
// settings.Problems and leaves nothing running.
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
	r.retries.Store(&s.Retries)
	r.buildCore()
	if err := r.open(); err != nil {
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

// Check finds out what Start would refuse, but for addresses that are in use.
// It opens nothing. The error is a settings.Problems.
func Check(s settings.Settings) error {
	if err := s.Validate(); err != nil {
		return err
	}
	_, err := peerOptions(s, newIncarnation())
	return err
}

// problem is an error about one key of the settings.
func problem(key string, err error) error {
	return settings.Problems{{Key: key, Reason: err.Error()}}
}

func newIncarnation() control.Incarnation {
	var bytes [8]byte
	_, _ = rand.Read(bytes[:]) // never fails, see crypto/rand
	return control.Incarnation(binary.LittleEndian.Uint64(bytes[:]) | 1)
}

// buildCore makes the parts that do nothing by themselves.
func (r *Router) buildCore() {
	s := r.settings
	if s.Platform.Kind == settings.KindManaged {
		r.managed = r.newManaged()
	} else {
		r.buildPatched()
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

// buildPatched makes the clients of the product's own platform.
func (r *Router) buildPatched() {
	s := r.settings
	r.patched = &patched{}
	r.platform = store.NewClient(store.Options{
		Address:         s.Platform.Address,
		Timeout:         time.Duration(s.Platform.Timeout),
		WritesPerSecond: firstWritesPerSecond + patchWritesPerSecond,
		WriteBurst:      writeBurst,
	})
	r.store = configstore.New(r.platform, r.platform.Objects(), configstore.Options{Log: r.log})
	r.follower = follower.New(follower.Options{
		Source:    r.store,
		Peers:     peerFetcher{r},
		OnChange:  r.configChanged,
		PollEvery: time.Duration(s.Platform.PollEvery),
		Timeout:   time.Duration(s.Platform.Timeout),
		Log:       r.log,
	})
	r.owners = newOwners(control.NodeID(s.Node.Name), r.incarnation, time.Now)
}

// callerListener opens the listener for callers. Keep-alive probes are off: they take four
// system calls for each connection, a third of what a refusal costs, and find nothing that
// the deadlines of requests and the idle timeout do not.
var callerListener = net.ListenConfig{KeepAlive: -1}

// open opens the listeners and makes what answers peers and operators.
func (r *Router) open() error {
	var err error
	if r.callers, err = callerListener.Listen(context.Background(), "tcp", r.settings.Listen.Callers); err != nil {
		return problem(keyCallers, err)
	}
	if r.operators, err = net.Listen("tcp", r.settings.Listen.Operators); err != nil {
		return problem(keyOperators, err)
	}
	if r.settings.Listen.Health != "" {
		if r.health, err = net.Listen("tcp", r.settings.Listen.Health); err != nil {
			return problem(keyHealth, err)
		}
	}
	r.operator, err = operator.New(backend{r}, operator.Options{
		Address:   r.settings.Listen.Operators,
		KeyHashes: r.settings.Operators.KeyHashes,
		Open:      r.settings.Peers.TrustNetwork,
		Log:       r.log,
	})
	if err != nil {
		return problem("operators", err)
	}
	options, err := peerOptions(r.settings, r.incarnation)
	if err != nil {
		return err
	}
	options.Logger = r.log
	r.mesh, err = peer.New(options, peerHandler{r})
	if err != nil {
		return problem(keyPeers, err)
	}
	return nil
}

// peerOptions loads the keys for peers and checks them.
func peerOptions(s settings.Settings, incarnation control.Incarnation) (peer.Options, error) {
	keys, err := tlsfiles.Load(s.Peers.CertFile, s.Peers.KeyFile, s.Peers.CAFile)
	if err != nil {
		return peer.Options{}, problem(keyPeerFiles, err)
	}
	options := peer.Options{
		Node:          control.NodeID(s.Node.Name),
		Incarnation:   incarnation,
		ListenAddress: s.Listen.Peers,
		TLS:           keys,
		TrustNetwork:  s.Peers.TrustNetwork,
	}
	if err := options.Check(); err != nil {
		return peer.Options{}, problem(keyPeerFiles, err)
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

// buildWorkers makes the parts that have goroutines of their own, and what
// needs them.
func (r *Router) buildWorkers() {
	s := r.settings
	r.targets = targets.NewHTTPClient(targets.Options{
		FirstByteTimeout: time.Duration(s.Limits.FirstByteTimeout),
		StallTimeout:     time.Duration(s.Limits.StallTimeout),
		Dialect:          r.dialect(),
		Listing:          r.targetListing,
		OnNotice:         r.targetNoticed,
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
		r.caches = cachewatch.New(platform.NewCaches(r.targets), r.targetKept, r.log)
		options.Release = r.overload.releases
		options.Shed = r.overload.sheds
		options.OnShed = r.noteUnread
		r.front = front.New(options, r.routedPipeline())
		return
	}
	r.orders = r.newOrders()
	r.buildCommits()
	r.records = runrecord.New(runrecord.Options{
		Table:       r.commits.Load(),
		Node:        control.NodeID(s.Node.Name),
		Incarnation: r.incarnation,
		OwnerAlive:  r.owners.alive,
		Logger:      r.log,
	})
	keys := authenticate.New(r)
	options.Authenticate = keys.Check
	r.front = front.New(options, r.pipeline(keys))
}

// dialect is how the fleet's callers and targets speak.
func (r *Router) dialect() *dialect.Dialect {
	if r.managed != nil {
		return platform.Dialect
	}
	return dialect.Own
}

// run starts the goroutines of a router whose parts are all made.
func (r *Router) run() {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	r.unpublish = r.publishMetrics()
	go r.loop.run(r.stopLoop)
	if r.managed != nil {
		r.start(func() { r.directory.Run(ctx) })
		r.start(func() { r.followMembers(ctx) })
		r.start(func() { r.awaitJoined(ctx) })
		r.start(func() { r.overload.run(ctx) })
		r.start(func() { r.unread.run(ctx, r.loop) })
	} else {
		r.start(func() { r.follower.Run(ctx) })
		r.start(func() { r.followVMs(ctx) })
	}
	if r.health != nil {
		r.start(func() { r.serve("health", r.operator.Serve, r.health) })
	}
	r.start(func() { r.serve("callers", r.front.Serve, r.callers) })
	r.start(func() { r.serve("operators", r.operator.Serve, r.operators) })
}
