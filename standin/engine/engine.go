package engine

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/walnutcove/walnutcove/standin/internal/host"
	"github.com/walnutcove/walnutcove/standin/journal"
	"github.com/walnutcove/walnutcove/targets"
)

// Faults is the set of faults that can be put in force.
type Faults = host.Faults

// Engine is one stand-in model engine.
type Engine struct {
	options Options
	host    *host.Host

	mu        sync.Mutex
	queue     []*run
	running   []*run
	resumable map[string]*run // by request id
	prefixes  *prefixCache
	report    loadReport
	random    *rand.Rand
	orders    orderBook

	kick     chan struct{}
	stop     chan struct{}
	stopOnce sync.Once
	loops    sync.WaitGroup
}

// New returns an engine that is not yet listening.
func New(options Options) *Engine {
	options = options.withDefaults()
	e := &Engine{
		options:   options,
		resumable: make(map[string]*run),
		prefixes:  newPrefixCache(options.PrefixEntries),
		orders:    orderBook{loading: make(map[string]*time.Timer)},
		random:    rand.New(rand.NewPCG(options.Seed, 0)),
		kick:      make(chan struct{}, 1),
		stop:      make(chan struct{}),
	}
	e.host = host.New(options.Name, e)
	return e
}

// Start listens on address ("ip:port", port 0 picks one) and returns the
// address that it listens on.
func (e *Engine) Start(address string) (string, error) {
	bound, err := e.host.Start(address)
	if err != nil {
		return "", err
	}
	e.loops.Add(1)
	go e.stepLoop()
	if e.options.LoadLag > 0 {
		e.loops.Add(1)
		go e.reportLoop()
	}
	return bound, nil
}

// Close cuts every connection and ends every run.
func (e *Engine) Close() {
	e.host.Close()
	e.forgetOrders(journal.Cancelled)
	e.stopOnce.Do(func() { close(e.stop) })
	e.loops.Wait()
}

// Journal returns the record of what happened.
func (e *Engine) Journal() *journal.Journal { return e.host.Journal }

// SetFaults replaces the faults in force.
func (e *Engine) SetFaults(f Faults) { e.host.SetFaults(f) }

// Address returns the address that the engine listens on.
func (e *Engine) Address() string { return e.host.Address() }

// CrashNow crashes the engine as a poisoned request would. It returns when
// every connection is cut.
func (e *Engine) CrashNow() { e.host.Crash(e.host.Faults().Downtime()) }

// enqueue adds a run unless the queue is full.
func (e *Engine) enqueue(r *run) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	full := len(e.running)+len(e.queue) >= e.options.Slots+e.options.MaxQueued
	if e.options.MaxQueued > 0 && full {
		return false
	}
	e.queue = append(e.queue, r)
	if e.options.Resumes && r.entry.RequestID != "" {
		e.resumable[r.entry.RequestID] = r
	}
	e.kickLoop()
	return true
}

func (e *Engine) kickLoop() {
	select {
	case e.kick <- struct{}{}:
	default:
	}
}

// leave ends the part of a reader in a run: its caller is gone or a fault broke
// the stream. A reader that was superseded has no say.
func (e *Engine) leave(r *run, notify chan struct{}, outcome journal.Outcome) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.notify != notify || r.ended() || r.phase == phaseParked {
		return
	}
	e.remove(r)
	if !r.started {
		outcome = journal.NotRun
	}
	e.journalEnd(r, outcome)
	r.phase = phaseDropped
	if e.options.Resumes && r.started {
		r.phase = phaseParked
		r.since = time.Now()
	}
}

// remove takes a run out of its slot or queue place.
func (e *Engine) remove(r *run) {
	e.queue = slices.DeleteFunc(e.queue, func(other *run) bool { return other == r })
	e.running = slices.DeleteFunc(e.running, func(other *run) bool { return other == r })
	e.kickLoop()
}

func (e *Engine) journalEnd(r *run, outcome journal.Outcome) {
	entry := r.entry
	entry.Event = journal.Ended
	entry.Outcome = outcome
	entry.Tokens = r.produced
	e.host.Journal.Add(entry)
}

// Crash implements host.Behaviour: every run is dropped and the memory is
// empty, that of orders and fencing numbers too.
func (e *Engine) Crash() {
	e.forgetOrders(journal.Crashed)
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.queue {
		e.drop(r)
	}
	for _, r := range e.running {
		e.drop(r)
	}
	e.queue = nil
	e.running = nil
	clear(e.resumable)
	e.prefixes.clear()
}

func (e *Engine) drop(r *run) {
	outcome := journal.Crashed
	if !r.started {
		outcome = journal.NotRun
	}
	e.journalEnd(r, outcome)
	r.phase = phaseDropped
	r.wake()
}

// Load implements host.Behaviour.
func (e *Engine) Load() targets.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.LoadLag <= 0 {
		e.renewReport()
	}
	load := e.report.load
	load.Age = time.Since(e.report.taken)
	return load
}
