package orders

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/alitto/pond/v2"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/targets"
)

// Reconciler keeps the targets scheduled here in their declared state. It is
// safe for concurrent use.
type Reconciler struct {
	options  Options
	counters counters
	head     *head
	permits  *permits
	pool     pond.Pool
	ctx      context.Context
	cancel   context.CancelFunc
	wake     chan struct{}
	done     chan struct{}

	mu       sync.Mutex
	snapshot *config.Snapshot
	names    []string
	entries  map[string]*entry // the targets in names with a declared state
}

// entry is one target. The reconciler's lock guards it; permit and given belong
// to the pass while busy is set.
type entry struct {
	name string
	due  time.Time
	busy bool
	// again says that the target is to be looked at right after the pass.
	again bool
	// failures counts the passes in a row that ended with a refusal.
	failures int
	// reason is why the target is not in its declared state; empty if it is.
	reason Reason
	// permit is the model whose permit to load is held here; empty if none.
	permit string
	// given is the last order taken by the target, and its version.
	given   targets.Order
	givenAt config.Version
}

// New returns a reconciler without targets. Close ends it.
func New(options Options) *Reconciler {
	options = options.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	r := &Reconciler{
		options:  options,
		counters: newCounters(options.Metrics),
		head:     newHead(options.Versions, options.Now, options.ConfirmHolds, options.Timeout),
		permits:  newPermits(options.Weights, options.Now),
		pool:     pond.NewPool(options.Workers),
		ctx:      ctx,
		cancel:   cancel,
		wake:     make(chan struct{}, 1),
		done:     make(chan struct{}),
		entries:  make(map[string]*entry),
	}
	go r.loop()
	return r
}

// Close stops giving orders and waits for the calls in progress.
func (r *Reconciler) Close() {
	r.cancel()
	<-r.done
	r.pool.StopAndWait()
}

// SetTargets replaces the names of the targets scheduled here. It never blocks
// on a call.
func (r *Reconciler) SetTargets(names []string) {
	r.mu.Lock()
	r.names = slices.Clone(names)
	r.renew()
	r.mu.Unlock()
	r.wakeLoop()
}

// SetConfig puts a version in force. An older one than that in force is passed
// over. It never blocks on a call.
func (r *Reconciler) SetConfig(snapshot *config.Snapshot) {
	r.mu.Lock()
	before := r.snapshot
	if before == nil || snapshot.Version > before.Version {
		r.snapshot = snapshot
		r.renew()
		r.hurry(before)
	}
	r.mu.Unlock()
	r.wakeLoop()
}

// States tells of each target with a declared state that is scheduled here why
// it is not in that state; the reason is empty if it is.
func (r *Reconciler) States() map[string]Reason {
	r.mu.Lock()
	defer r.mu.Unlock()
	states := make(map[string]Reason, len(r.entries))
	for name, e := range r.entries {
		states[name] = e.reason
	}
	return states
}

// renew makes entries for the targets that are to be looked at, and drops the
// others. r.mu is held.
func (r *Reconciler) renew() {
	if r.snapshot == nil {
		return
	}
	kept := make(map[string]*entry)
	for _, name := range r.names {
		declared, ok := r.snapshot.Declarations.Targets[name]
		if !ok || !declared.Ordered() || declared.Leaving {
			continue
		}
		e := r.entries[name]
		if e == nil {
			e = &entry{name: name, due: r.soon(), reason: ReasonPending}
		}
		kept[name] = e
	}
	for name, e := range r.entries {
		if kept[name] == nil && !e.busy {
			r.release(e)
		}
	}
	r.entries = kept
}

// release gives back the permit of an entry that was dropped, unless the next
// scheduler of the target takes it over. r.mu is held.
func (r *Reconciler) release(e *entry) {
	if e.permit == "" || !slices.Contains(r.names, e.name) {
		return
	}
	_ = r.pool.Go(func() { // An error says that the reconciler is closed.
		ctx, cancel := context.WithTimeout(r.ctx, r.options.Timeout)
		defer cancel()
		_ = r.permits.finish(ctx, e.name, e.permit) // It ends by itself otherwise.
	})
}

// hurry makes targets due whose declaration changed, or whose reason may have
// gone with the new version. r.mu is held.
func (r *Reconciler) hurry(before *config.Snapshot) {
	for name, e := range r.entries {
		if before != nil && e.reason == "" && sameState(before.Declarations.Targets[name], r.snapshot.Declarations.Targets[name]) {
			continue
		}
		e.failures = 0
		e.again = e.busy
		e.due = r.soon()
	}
}

func sameState(a, b config.Target) bool {
	return a.Role == b.Role && a.Address == b.Address && slices.Equal(a.LoadModels, b.LoadModels)
}

// soon spreads the looks at many targets.
func (r *Reconciler) soon() time.Time {
	return time.Now().Add(time.Duration(rand.Float64() * float64(r.options.Soon)))
}

func (r *Reconciler) wakeLoop() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// loop starts each pass when it is due.
func (r *Reconciler) loop() {
	defer close(r.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(r.startDue(time.Now()))
		select {
		case <-r.ctx.Done():
			return
		case <-r.wake:
		case <-timer.C:
		}
	}
}

// startDue starts the passes that are due and returns the time until the next.
func (r *Reconciler) startDue(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := r.options.Every
	for _, e := range r.entries {
		if e.busy {
			continue
		}
		if wait := e.due.Sub(now); wait > 0 {
			next = min(next, wait)
			continue
		}
		e.busy = true
		p := &pass{r: r, entry: e, snapshot: r.snapshot, declared: r.snapshot.Declarations.Targets[e.name]}
		if err := r.pool.Go(p.do); err != nil {
			e.busy = false
		}
	}
	return next
}

// ended takes in how a pass ended and sets when the next is due.
func (r *Reconciler) ended(e *entry, v verdict) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.busy = false
	r.counters.refused(v.reason)
	if r.entries[e.name] != e {
		r.release(e)
		return
	}
	changed := e.reason != v.reason && (e.reason != ReasonPending || v.reason != "")
	e.reason = v.reason
	if v.wait > 0 {
		e.failures = 0
		e.due = time.Now().Add(jittered(v.wait))
	} else {
		e.due = time.Now().Add(jittered(r.backoff(e.failures)))
		e.failures++
	}
	if e.again {
		e.again = false
		e.due = time.Now()
	}
	if changed {
		r.logVerdict(e.name, v)
	}
	r.wakeLoop()
}

// backoff is the pause after so many failures in a row before this one.
func (r *Reconciler) backoff(failures int) time.Duration {
	pause := r.options.Soon
	for range failures {
		pause *= 2
		if pause >= r.options.MaxBackoff {
			return r.options.MaxBackoff
		}
	}
	return pause
}

func jittered(pause time.Duration) time.Duration {
	return time.Duration(float64(pause) * (1 + everyJitter*(2*rand.Float64()-1)))
}

func (r *Reconciler) logVerdict(name string, v verdict) {
	switch v.reason {
	case "":
		r.options.Log.Info("orders: Target is in its declared state.", "target", name, "version", uint64(v.version))
	case ReasonOrdered, ReasonLoading, ReasonPermitDenied:
		r.options.Log.Info("orders: Target is not yet in its declared state.", "target", name, "reason", string(v.reason), "version", uint64(v.version))
	default:
		r.options.Log.Warn("orders: Order not given or not taken.", "target", name, "reason", string(v.reason), "version", uint64(v.version), "error", v.err)
	}
}

// inForce says whether the version that a pass works by is still in force and
// the target still scheduled here.
func (r *Reconciler) inForce(p *pass) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.snapshot == p.snapshot && r.entries[p.entry.name] == p.entry
}
