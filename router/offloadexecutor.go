package router

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/offload"
	"github.com/walnutcove/walnutcove/offload/balance"
	"github.com/walnutcove/walnutcove/offload/link"
	"github.com/walnutcove/walnutcove/wait"
)

const (
	// offloadInterval is the interval of the steps of both sides while there are links.
	offloadInterval = 50 * time.Millisecond
	// minStepInterval is the shortest interval between two steps of the pacer, whose demands are
	// rates: a link that has just opened gets its first allowance at once unless a step was made
	// within it.
	minStepInterval = 10 * time.Millisecond
	// drainPollInterval is the interval at which a drain checks for open requests.
	drainPollInterval = 10 * time.Millisecond
	// maxLinkEndTime is how long a drain waits for sources to end their links. They are in the same
	// data centre and end them at once, unless they are paused or cut off for a moment: requests of
	// theirs may then be on their way, and are lost with the link.
	maxLinkEndTime = 2 * time.Second
)

// servedLink is the executor's end of a link.
type servedLink interface {
	SetAllowance(more, maxOpen int)
	Demand() (sent, wanted uint64)
	OpenRequests() int
	HeldBytes() int64
	Drain()
	Done() <-chan struct{}
	Close() error
}

// offloadExecutor serves requests of other routers. A nil executor has no links.
type offloadExecutor struct {
	log   *slog.Logger
	pacer *balance.Pacer
	// maxServed bounds the requests that are served at once.
	maxServed int64
	// load returns the state of this router, and isDraining whether it leaves.
	load       func() balance.Load
	isDraining func() bool
	// configNumber returns the number of the configuration version in force.
	configNumber func() uint64
	// serve serves one request of a router.
	serve     func(conn net.Conn, waited time.Duration, from string)
	startedAt time.Time
	// requests bounds the bytes of the requests of all links.
	requests *link.Budget

	served atomic.Int64
	// rate is what the pacer accepts per second, rounded.
	rate atomic.Int64

	mu       sync.Mutex
	links    map[uint64]*acceptedLink
	lastLink uint64
	// running is set while run runs. added gets a token when a link was added.
	running bool
	added   chan struct{}
	closed  bool
}

// acceptedLink is a link of the executor. Only run uses maxOpen.
type acceptedLink struct {
	servedLink
	maxOpen int
}

// handle serves one request of a router. It implements link.Handler. It may return while the
// exchange continues without the caller; the request is then still served.
func (e *offloadExecutor) handle(ctx context.Context, from control.NodeID, request offload.Request, conn net.Conn) error {
	switch {
	case e.isDraining():
		declinedDraining.Inc()
		return link.ErrDeclined
	case e.configNumber() < request.Config:
		declinedConfig.Inc()
		return link.ErrDeclined
	case e.served.Add(1) > e.maxServed:
		e.served.Add(-1)
		declinedFull.Inc()
		return link.ErrDeclined
	}
	caller := newOffloadedConn(conn, request.ID, ctx.Done())
	go func() {
		defer e.served.Add(-1)
		defer caller.end()
		e.serve(caller, request.Waited, string(from))
	}()
	<-caller.responded
	if caller.isAborted.Load() {
		return errOffloadAborted
	}
	return nil
}

// add grants allowance to a link until it ends.
func (e *offloadExecutor) add(from control.NodeID, l servedLink) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		_ = l.Close() // the router has stopped
		return
	}
	if e.isDraining() {
		l.Drain()
	}
	e.log.Info("offload: Router sends requests that it would refuse.", "from", from)
	e.lastLink++
	e.links[e.lastLink] = &acceptedLink{servedLink: l}
	select {
	case e.added <- struct{}{}:
	default:
	}
	if !e.running {
		e.running = true
		go e.run()
	}
}

// run grants allowance until there are no links.
func (e *offloadExecutor) run() {
	ticker := time.NewTicker(offloadInterval)
	defer ticker.Stop()
	lastStep := time.Duration(0)
	for {
		select {
		case <-ticker.C:
		case <-e.added:
		}
		now := time.Since(e.startedAt)
		if now-lastStep < minStepInterval {
			continue
		}
		lastStep = now
		if !e.step(now) {
			return
		}
	}
}

// step removes the links that have ended and grants allowance to the others. It returns false,
// and run ends, if there are none.
func (e *offloadExecutor) step(now time.Duration) bool {
	ids, links := e.current()
	if len(links) == 0 {
		return false
	}
	demands := make([]balance.Demand, len(links))
	for i, l := range links {
		sent, wanted := l.Demand()
		demands[i] = balance.Demand{Link: ids[i], Sent: sent, Wanted: wanted, Open: l.OpenRequests()}
	}
	for i, grant := range e.pacer.Step(now, e.load(), demands) {
		if grant.More > 0 || grant.MaxOpen != links[i].maxOpen {
			links[i].maxOpen = grant.MaxOpen
			links[i].SetAllowance(grant.More, grant.MaxOpen)
		}
	}
	e.rate.Store(int64(e.pacer.Rate()))
	return true
}

// current removes the links that have ended and returns the others with their numbers. If there
// are none, the next add starts run again.
func (e *offloadExecutor) current() (ids []uint64, links []*acceptedLink) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, l := range e.links {
		select {
		case <-l.Done():
			delete(e.links, id)
		default:
			ids, links = append(ids, id), append(links, l)
		}
	}
	e.running = len(links) > 0
	return ids, links
}

// waitServed waits until no request of other routers is open, or ctx ends. Then it waits until the
// sources have ended the links: an end of a response that they have not read could be lost.
func (e *offloadExecutor) waitServed(ctx context.Context) error {
	for e.openRequests() > 0 {
		if !wait.For(ctx, drainPollInterval) {
			return ctx.Err()
		}
	}
	for began := time.Now(); e.hasOpenLinks() && time.Since(began) < maxLinkEndTime; {
		if !wait.For(ctx, drainPollInterval) {
			return ctx.Err()
		}
	}
	return nil
}

// hasOpenLinks reports whether a link has not ended.
func (e *offloadExecutor) hasOpenLinks() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, l := range e.links {
		select {
		case <-l.Done():
		default:
			return true
		}
	}
	return false
}

// drain asks the sources to end their links once no request is open.
func (e *offloadExecutor) drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, l := range e.links {
		l.Drain()
	}
}

// close ends all links.
func (e *offloadExecutor) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	for _, l := range e.links {
		_ = l.Close() // ends in any case
	}
}

// openRequests returns how many requests of other routers have not ended.
func (e *offloadExecutor) openRequests() int {
	if e == nil {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	open := 0
	for _, l := range e.links {
		select {
		case <-l.Done():
		default:
			open += l.OpenRequests()
		}
	}
	return open
}

// heldBytes returns the bytes of requests that are open and of responses that are not written to a
// link.
func (e *offloadExecutor) heldBytes() int64 {
	if e == nil {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	held := e.requests.Used()
	for _, l := range e.links {
		held += l.HeldBytes()
	}
	return held
}

func (e *offloadExecutor) linkCount() int {
	if e == nil {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.links)
}

// acceptedRate returns how many requests per second this router accepts from others; zero without
// links.
func (e *offloadExecutor) acceptedRate() float64 {
	if e.linkCount() == 0 {
		return 0
	}
	return float64(e.rate.Load())
}
