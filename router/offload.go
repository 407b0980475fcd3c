package router

import (
	"context"
	"net"
	"time"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/offload/balance"
	"github.com/walnutcove/walnutcove/offload/link"
	"github.com/walnutcove/walnutcove/peer"
	"github.com/walnutcove/walnutcove/settings"
)

// offloading holds the parts with which this router sends requests that it would refuse to other
// routers, and serves such requests of others. Both are nil if offloading is disabled.
type offloading struct {
	source   *offloadSource
	executor *offloadExecutor
}

// newOffloading creates the parts if the settings enable offloading.
func (r *Router) newOffloading() offloading {
	if r.settings.Offload.Executors == settings.ExecutorsNone {
		return offloading{}
	}
	if r.settings.Offload.Executors == settings.ExecutorsLarger && r.settings.Node.Cores == 0 {
		r.log.Warn("offload: The cores of this router are not set, so it offloads nothing.", "key", "node.cores")
	}
	limits := r.settings.Limits
	executor := &offloadExecutor{
		log:          r.log,
		pacer:        balance.NewPacer(r.settings.Node.Cores, limits.MaxDescriptors),
		maxServed:    int64(balance.MaxOpen(limits.MaxDescriptors)),
		load:         r.executorLoad,
		isDraining:   r.Draining,
		configNumber: r.configNumber,
		serve:        func(conn net.Conn, waited time.Duration, from string) { r.front.ServeOffloaded(conn, waited, from) },
		startedAt:    time.Now(),
		requests:     link.NewBudget(requestBudgetBytes),
		links:        make(map[uint64]*acceptedLink),
		added:        make(chan struct{}, 1),
	}
	source := newOffloadSource(r.settings.Node.Name, r.log, r.offloadCandidates, r.dialExecutor)
	r.overload.onMeasured = source.measured
	return offloading{source: source, executor: executor}
}

// waitServed waits until the responses to all requests of other routers are written, or ctx ends.
func (o offloading) waitServed(ctx context.Context) error {
	if o.executor == nil {
		return nil
	}
	return o.executor.waitServed(ctx)
}

// drain makes the executor decline further requests.
func (o offloading) drain() {
	if o.executor != nil {
		o.executor.drain()
	}
}

// closeExecutor ends the links of other routers. The source closes its links when it ends.
func (o offloading) closeExecutor() {
	if o.executor != nil {
		o.executor.close()
	}
}

// configNumber returns the number of the configuration version in force.
func (r *Router) configNumber() uint64 { return uint64(r.version()) }

// routeLimit returns the time limit of the route of a request, or zero if there is none.
func (r *Router) routeLimit(host, path []byte) time.Duration {
	snapshot := r.InForce()
	if snapshot == nil {
		return 0
	}
	route := snapshot.Index().RouteOf(string(host), string(path))
	if route == nil {
		return 0
	}
	return route.Timeout()
}

// executorLoad returns the state of this router as an executor.
func (r *Router) executorLoad() balance.Load {
	limits := r.settings.Limits
	load := balance.Load{
		Lag:       r.overload.currentLag(),
		Closed:    r.Draining() || !r.Ready() || r.overload.paused.Load() || r.overload.isShedding(),
		BytesUsed: float64(r.front.HeldBytes()) / float64(limits.MaxHeldBytes),
	}
	if limits.MaxDescriptors > 0 {
		load.DescriptorsUsed = float64(r.usedDescriptors()) / float64(limits.MaxDescriptors)
	}
	return load
}

// usedDescriptors estimates the file descriptors in use: one for each caller, each request in
// progress, which has a connection to a target, and each session with another router.
func (r *Router) usedDescriptors() int {
	return r.front.ConnCount() + r.front.Active() + int(r.liveRouterCount.Load())
}

// offloadChannel is the name of the channels between routers that carry links.
const offloadChannel = "offload"

const (
	// maxUnsentBytes bounds the response bytes that an executor holds for each link. 70 sources
	// may have links to a router of 284 MB.
	maxUnsentBytes = 256 << 10
	// requestBudgetBytes bounds the request bytes that an executor holds for all sources, besides
	// those of its own callers.
	requestBudgetBytes = 8 << 20
)

// dialExecutor opens a link to a router.
func (r *Router) dialExecutor(ctx context.Context, node string) (sendingLink, error) {
	conn, err := r.mesh.OpenChannel(ctx, control.NodeID(node), offloadChannel)
	if err != nil {
		return nil, err
	}
	return link.NewSource(conn, link.Options{Log: r.log}), nil
}

// offloadChannels returns the channels that this router serves. Other routers may connect before
// it serves requests; they are told to come back by the end of the connection.
func (r *Router) offloadChannels() map[string]peer.ServeChannel {
	if r.settings.Offload.Executors == settings.ExecutorsNone {
		return nil
	}
	serve := func(from control.NodeID, _ control.Incarnation, _ string, conn net.Conn) {
		executor := r.startedExecutor.Load()
		if executor == nil {
			_ = conn.Close() // nothing was sent
			return
		}
		options := link.Options{Log: r.log, MaxUnsentBytes: maxUnsentBytes, Budget: executor.requests}
		executor.add(from, link.NewExecutor(from, conn, executor.handle, options))
	}
	return map[string]peer.ServeChannel{offloadChannel: serve}
}
