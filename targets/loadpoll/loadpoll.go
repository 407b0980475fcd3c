// Package loadpoll polls the load of a replaceable set of targets and passes each result to a
// callback. Each target has at most one poll outstanding, so a slow target delays only itself.
// A target is polled at the fast interval while it is new, fails, or its load has changed
// significantly; otherwise more slowly, because a scheduler learns most from the ends of the
// runs that it observes itself.
package loadpoll

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/alitto/pond/v2"

	"github.com/walnutcove/walnutcove/targets"
)

// Defaults of Options.
const (
	DefaultEvery         = 250 * time.Millisecond
	DefaultTimeout       = time.Second
	DefaultWorkers       = 256
	DefaultJitter        = 0.2
	DefaultPrefixesEvery = 30
	// slowFactor is the default ratio of SlowEvery to Every. A target that is leaving must be
	// noticed within 3 s, including the lag of its report.
	slowFactor = 4
)

// Loader polls one target's load; targets.HTTPClient implements it.
type Loader interface {
	// Load polls the target at address ("ip:port").
	Load(ctx context.Context, address string) (targets.Load, error)
	// LoadWithPrefixes does the same and requests the cached prefixes as well.
	LoadWithPrefixes(ctx context.Context, address string) (targets.Load, error)
}

// Result receives the result of a poll: the load, or the error if it is not nil. It is called
// from many goroutines, but for one name and address from one at a time. It may call
// SetTargets; it must not call Close.
type Result func(name string, load targets.Load, err error)

// Options configure a Poller. Zero values take the stated defaults.
type Options struct {
	// Client makes the polls. Required.
	Client Loader
	// OnResult receives every result. Required.
	OnResult Result
	// Every is the pause between the polls of a target that is new, fails or has changed
	// significantly. Default 250 ms.
	Every time.Duration
	// SlowEvery is the pause between the polls of any other target. Default 4 times Every.
	SlowEvery time.Duration
	// PrefixesEvery is the number of polls of which one requests the cached prefixes; the
	// results of the others repeat them. Default 30.
	PrefixesEvery int
	// Jitter is the fraction of a pause by which it varies either way, from 0 to 1. Default
	// 0.2.
	Jitter float64
	// Timeout bounds one poll. Default 1 s.
	Timeout time.Duration
	// Workers bounds the number of polls outstanding at once. Default 256.
	Workers int
	// Seed seeds the jitter.
	Seed uint64
	// Metrics receives the counters. Default: a set of the poller's own.
	Metrics *metrics.Set
}

func (o Options) withDefaults() Options {
	if o.Every <= 0 {
		o.Every = DefaultEvery
	}
	if o.SlowEvery <= 0 {
		o.SlowEvery = slowFactor * o.Every
	}
	if o.PrefixesEvery <= 0 {
		o.PrefixesEvery = DefaultPrefixesEvery
	}
	if o.Jitter <= 0 {
		o.Jitter = DefaultJitter
	}
	if o.Timeout <= 0 {
		o.Timeout = DefaultTimeout
	}
	if o.Workers <= 0 {
		o.Workers = DefaultWorkers
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	return o
}

// Poller polls targets until it is closed. It is safe for concurrent use.
type Poller struct {
	options Options
	pool    pond.Pool
	ok      *metrics.Counter
	failed  *metrics.Counter
	ctx     context.Context
	cancel  context.CancelFunc
	wake    chan struct{}
	done    chan struct{}

	mu      sync.Mutex
	targets map[string]*entry // by name
	due     queue
	random  *rand.Rand
}

// New returns a poller without targets.
func New(options Options) *Poller {
	options = options.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	p := &Poller{
		options: options,
		pool:    pond.NewPool(options.Workers),
		ok:      options.Metrics.GetOrCreateCounter(`walnut_load_polls_total{result="ok"}`),
		failed:  options.Metrics.GetOrCreateCounter(`walnut_load_polls_total{result="error"}`),
		ctx:     ctx,
		cancel:  cancel,
		wake:    make(chan struct{}, 1),
		done:    make(chan struct{}),
		targets: make(map[string]*entry),
		random:  rand.New(rand.NewPCG(options.Seed, 0)),
	}
	go p.loop()
	return p
}

// SetTargets replaces the targets: addresses ("ip:port") by name. A target that keeps its name
// and address keeps its schedule; a new one is polled within Every. The outstanding poll of a
// removed target is cancelled, and its result is dropped unless the callback has already begun.
func (p *Poller) SetTargets(addresses map[string]string) {
	now := time.Now()
	p.mu.Lock()
	for name, e := range p.targets {
		if addresses[name] != e.address {
			e.cancel()
			p.due.remove(e)
			delete(p.targets, name)
		}
	}
	for name, address := range addresses {
		if _, ok := p.targets[name]; !ok {
			p.add(name, address, now)
		}
	}
	p.mu.Unlock()
	p.wakeLoop()
}

// add spreads the first polls of new targets over one period. p.mu must be held.
func (p *Poller) add(name, address string, now time.Time) {
	e := &entry{name: name, address: address, index: notQueued}
	e.ctx, e.cancel = context.WithCancel(p.ctx)
	e.nextPoll = now.Add(time.Duration(p.random.Float64() * float64(p.options.Every)))
	p.targets[name] = e
	p.due.add(e)
}

func (p *Poller) wakeLoop() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Close cancels the outstanding polls and waits for their callbacks.
func (p *Poller) Close() {
	p.cancel()
	<-p.done
	p.pool.StopAndWait()
}

// loop starts each poll when it is due.
func (p *Poller) loop() {
	defer close(p.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(p.startDue(time.Now()))
		select {
		case <-p.ctx.Done():
			return
		case <-p.wake:
		case <-timer.C:
		}
	}
}

// startDue starts the polls that are due and returns the time until the next.
func (p *Poller) startDue(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		e := p.due.first()
		if e == nil {
			return p.options.Every
		}
		if wait := e.nextPoll.Sub(now); wait > 0 {
			return wait
		}
		p.due.remove(e)
		if err := p.pool.Go(func() { p.poll(e) }); err != nil {
			return p.options.Every
		}
	}
}

// poll polls one target once, passes on the result and schedules the next poll.
func (p *Poller) poll(e *entry) {
	ctx, cancel := context.WithTimeout(e.ctx, p.options.Timeout)
	withPrefixes := e.pace.wantsPrefixes(p.options.PrefixesEvery)
	load, err := p.load(ctx, e.address, withPrefixes)
	cancel()
	if e.ctx.Err() != nil {
		return
	}
	p.count(err)
	if err != nil {
		e.pace.recordFailure()
	} else {
		load = e.pace.record(load, withPrefixes)
	}
	p.options.OnResult(e.name, load, err)
	p.mu.Lock()
	if p.targets[e.name] == e {
		e.nextPoll = time.Now().Add(p.jittered(e.pace.pause(p.options)))
		p.due.add(e)
	}
	p.mu.Unlock()
	p.wakeLoop()
}

func (p *Poller) load(ctx context.Context, address string, withPrefixes bool) (targets.Load, error) {
	if withPrefixes {
		return p.options.Client.LoadWithPrefixes(ctx, address)
	}
	return p.options.Client.Load(ctx, address)
}

func (p *Poller) count(err error) {
	if err != nil {
		p.failed.Inc()
		return
	}
	p.ok.Inc()
}

// jittered varies a pause by the jitter. p.mu must be held.
func (p *Poller) jittered(pause time.Duration) time.Duration {
	factor := 1 + p.options.Jitter*(2*p.random.Float64()-1)
	return time.Duration(factor * float64(pause))
}
