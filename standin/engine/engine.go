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

// Faults is the set of faults that the engine can inject.
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
	orders    orderState

	workAdded chan struct{}
	stop      chan struct{}
	stopOnce  sync.Once
	loops     sync.WaitGroup
}

// New returns an engine that is not yet listening.
func New(options Options) *Engine {
	options = options.withDefaults()
	e := &Engine{
		options:   options,
		resumable: make(map[string]*run),
		prefixes:  newPrefixCache(options.PrefixEntries),
		orders:    orderState{loading: make(map[string]*time.Timer)},
		random:    rand.New(rand.NewPCG(options.Seed, 0)),
		workAdded: make(chan struct{}, 1),
		stop:      make(chan struct{}),
	}
	e.host = host.New(options.Name, e)
	return e
}

// Start listens on address ("ip:port"; port 0 picks a free one) and returns the
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

// Close resets every connection and ends every run.
func (e *Engine) Close() {
	e.host.Close()
	e.resetOrders(journal.Cancelled)
	e.stopOnce.Do(func() { close(e.stop) })
	e.loops.Wait()
}

// Journal returns the journal of the engine's requests and orders.
func (e *Engine) Journal() *journal.Journal { return e.host.Journal }

// SetFaults replaces the faults in force.
func (e *Engine) SetFaults(f Faults) { e.host.SetFaults(f) }

// Address returns the address that the engine listens on.
func (e *Engine) Address() string { return e.host.Address() }

// CrashNow crashes the engine as a request with Faults.Poison does. It returns
// when every connection is reset.
func (e *Engine) CrashNow() { e.host.Crash(e.host.Faults().Downtime()) }

// enqueue adds a run to the queue. It reports false if the queue is full.
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
	e.wakeStepLoop()
	return true
}

// wakeStepLoop wakes the step loop if it waits for work.
func (e *Engine) wakeStepLoop() {
	select {
	case e.workAdded <- struct{}{}:
	default:
	}
}

// detachReader ends a run whose reader is gone, because its caller closed the
// connection or a fault cut the stream. If streams can be resumed, a run that has
// started is kept for the resume window. The call has no effect if notify shows
// that another reader has taken over the run.
func (e *Engine) detachReader(r *run, notify chan struct{}, outcome journal.Outcome) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.notify != notify || r.hasEnded() || r.phase == phaseDetached {
		return
	}
	e.removeRun(r)
	if !r.started {
		outcome = journal.NotRun
	}
	e.recordEnd(r, outcome)
	r.phase = phaseDropped
	if e.options.Resumes && r.started {
		r.phase = phaseDetached
		r.resumableSince = time.Now()
	}
}

// removeRun removes a run from its slot or from the queue. The caller holds e.mu.
func (e *Engine) removeRun(r *run) {
	e.queue = slices.DeleteFunc(e.queue, func(other *run) bool { return other == r })
	e.running = slices.DeleteFunc(e.running, func(other *run) bool { return other == r })
	e.wakeStepLoop()
}

func (e *Engine) recordEnd(r *run, outcome journal.Outcome) {
	entry := r.entry
	entry.Event = journal.Ended
	entry.Outcome = outcome
	entry.Tokens = r.generated
	e.host.Journal.Add(entry)
}

// Crash implements host.Target: it drops every run and clears everything that is
// held in memory, including orders and fencing numbers.
func (e *Engine) Crash() {
	e.resetOrders(journal.Crashed)
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.queue {
		e.dropRun(r)
	}
	for _, r := range e.running {
		e.dropRun(r)
	}
	e.queue = nil
	e.running = nil
	clear(e.resumable)
	e.prefixes.clear()
}

func (e *Engine) dropRun(r *run) {
	outcome := journal.Crashed
	if !r.started {
		outcome = journal.NotRun
	}
	e.recordEnd(r, outcome)
	r.phase = phaseDropped
	r.wakeReader()
}

// Load implements host.Target.
func (e *Engine) Load() targets.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.LoadLag <= 0 {
		e.refreshReport()
	}
	load := e.report.load
	load.Age = time.Since(e.report.takenAt)
	return load
}
