package targets

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// pool keeps idle connections by address, the most recently used last.
type pool struct {
	options Options
	dials   *metrics.Counter
	// stale counts the idle connections that were closed, or about to be closed, by the target.
	stale *metrics.Counter

	mu     sync.Mutex
	idle   map[string][]*conn
	closed bool
	stop   chan struct{}
	done   chan struct{}
}

func newPool(options Options) *pool {
	p := &pool{
		options: options,
		dials:   options.Metrics.GetOrCreateCounter("walnut_target_dials_total"),
		stale:   options.Metrics.GetOrCreateCounter("walnut_target_stale_connections_total"),
		idle:    make(map[string][]*conn),
		stop:    make(chan struct{}),
		done:    make(chan struct{}),
	}
	go p.pruneLoop()
	return p
}

// get returns an idle connection that is still open, or opens a new one.
func (p *pool) get(ctx context.Context, address string) (*conn, error) {
	for {
		c := p.pop(address)
		if c == nil {
			return p.dial(ctx, address)
		}
		if !c.isStale(time.Now()) && c.checker.Check() == nil {
			c.attach()
			return c, nil
		}
		p.stale.Inc()
		c.Close()
	}
}

func (p *pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	last := len(list) - 1
	c := list[last]
	list[last] = nil
	p.idle[address] = list[:last]
	return c
}

func (p *pool) dial(ctx context.Context, address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.options.ConnectTimeout)
	defer cancel()
	p.dials.Inc()
	c, err := p.options.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	opened := newConn(c, address)
	opened.attach()
	return opened, nil
}

// put returns a connection whose last answer was read completely to the pool.
func (p *pool) put(c *conn) {
	c.detach()
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.address]
	if p.closed || len(list) >= p.options.MaxIdle {
		c.Close()
		return
	}
	p.idle[c.address] = append(list, c)
}

func (p *pool) pruneLoop() {
	defer close(p.done)
	ticker := time.NewTicker(p.options.IdleTimeout / 2)
	defer ticker.Stop()
	for {
		select {
		case <-p.stop:
			return
		case now := <-ticker.C:
			p.prune(now.Add(-p.options.IdleTimeout))
		}
	}
}

// prune closes the connections that have been idle since before the limit.
func (p *pool) prune(limit time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		keep := list[:0]
		for _, c := range list {
			if c.idleSince.Before(limit) {
				c.Close()
				continue
			}
			keep = append(keep, c)
		}
		clear(list[len(keep):])
		p.idle[address] = keep
		if len(keep) == 0 {
			delete(p.idle, address)
		}
	}
}

func (p *pool) close() {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return
	}
	p.closed = true
	for address, list := range p.idle {
		for _, c := range list {
			c.Close()
		}
		delete(p.idle, address)
	}
	p.mu.Unlock()
	close(p.stop)
	<-p.done
}
