package router

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/walnutcove/walnutcove/offload/balance"
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

// closeExecutor ends the links of other routers. The source closes its links when it ends.
func (o offloading) closeExecutor() {
	if o.executor != nil {
		o.executor.close()
	}
}

// configNumber returns the number of the configuration version in force.
func (r *Router) configNumber() uint64 { return uint64(r.version()) }

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

// dialExecutor opens a link to a router.
func (r *Router) dialExecutor(ctx context.Context, node string) (sendingLink, error) {
	return nil, errors.New("links are not built yet")
}
