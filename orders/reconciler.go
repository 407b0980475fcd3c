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

// Reconciler keeps the targets that this router schedules in their declared state.
// It is safe for concurrent use.
type Reconciler struct {
	options   Options
	counters  counters
	confirmer *versionConfirmer
	permits   *permitClient
	pool      pond.Pool
	ctx       context.Context
	cancel    context.CancelFunc
	wake      chan struct{}
	done      chan struct{}

	mu       sync.Mutex
	snapshot *config.Snapshot
	names    []string                // the targets that this router schedules
	states   map[string]*targetState // the targets in names with a declared state
}

// targetState is the state kept for one target. Reconciler.mu guards it, except for
// permitModel, lastOrder and lastOrderVersion, which only the pass may use while
// busy is set.
type targetState struct {
	name string
	// dueAt is when the next pass is due, and busy is set while one is running.
	dueAt time.Time
	busy  bool
	// recheck is set if the next pass must follow right after the current one.
	recheck bool
	// failedPasses counts the passes in a row after which a back-off was due.
	failedPasses int
	// reason is why the target is not in its declared state; empty if it is.
	reason Reason
	// permitModel is the model for which this router holds a permit; empty if none.
	permitModel string
	// lastOrder is the last order that the target accepted, of lastOrderVersion.
	lastOrder        targets.Order
	lastOrderVersion config.Version
}

// New starts a reconciler without targets. Close stops it.
func New(options Options) *Reconciler {
	options = options.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	r := &Reconciler{
		options:   options,
		counters:  newCounters(options.Metrics),
		confirmer: newVersionConfirmer(options.Versions, options.Now, options.ConfirmationTTL, options.Timeout),
		permits:   newPermitClient(options.Weights, options.Now),
		pool:      pond.NewPool(options.Workers),
		ctx:       ctx,
		cancel:    cancel,
		wake:      make(chan struct{}, 1),
		done:      make(chan struct{}),
		states:    make(map[string]*targetState),
	}
	go r.loop()
	return r
}

// Close stops sending orders and waits for the calls in progress.
func (r *Reconciler) Close() {
	r.cancel()
	<-r.done
	r.pool.StopAndWait()
}

// SetTargets replaces the names of the targets that this router schedules. It never
// waits for a call.
func (r *Reconciler) SetTargets(names []string) {
	r.mu.Lock()
	r.names = slices.Clone(names)
	r.updateStates()
	r.mu.Unlock()
	r.wakeLoop()
}

// SetConfig sets the configuration version to use. A version that is not newer than
// the current one is ignored. It never waits for a call.
func (r *Reconciler) SetConfig(snapshot *config.Snapshot) {
	r.mu.Lock()
	before := r.snapshot
	if before == nil || snapshot.Version > before.Version {
		r.snapshot = snapshot
		r.updateStates()
		r.scheduleChanged(before)
	}
	r.mu.Unlock()
	r.wakeLoop()
}

// Reasons returns, for each target with a declared state that this router schedules,
// the reason why the target is not in that state. The reason is empty if it is.
func (r *Reconciler) Reasons() map[string]Reason {
	r.mu.Lock()
	defer r.mu.Unlock()
	reasons := make(map[string]Reason, len(r.states))
	for name, target := range r.states {
		reasons[name] = target.reason
	}
	return reasons
}

// updateStates creates states for the targets that must be checked and drops those
// of the others. The caller holds r.mu.
func (r *Reconciler) updateStates() {
	if r.snapshot == nil {
		return
	}
	kept := make(map[string]*targetState)
	for _, name := range r.names {
		declared, ok := r.snapshot.Declarations.Targets[name]
		if !ok || !declared.HasOrders() || declared.Leaving {
			continue
		}
		target := r.states[name]
		if target == nil {
			target = &targetState{name: name, dueAt: r.jitteredStart(), reason: ReasonPending}
		}
		kept[name] = target
	}
	for name, target := range r.states {
		if kept[name] == nil && !target.busy {
			r.releasePermit(target)
		}
	}
	r.states = kept
}

// releasePermit returns the permit of a target whose state was dropped, if this
// router still schedules the target. Otherwise the target's next scheduler takes
// over the permit. The caller holds r.mu.
func (r *Reconciler) releasePermit(target *targetState) {
	if target.permitModel == "" || !slices.Contains(r.names, target.name) {
		return
	}
	_ = r.pool.Go(func() { // An error means that the reconciler is closed.
		ctx, cancel := context.WithTimeout(r.ctx, r.options.Timeout)
		defer cancel()
		_ = r.permits.release(ctx, target.name, target.permitModel) // On an error the permit expires.
	})
}

// scheduleChanged schedules an early pass for each target whose declaration changed
// or that was not in its declared state, since the new version may resolve the
// reason. The caller holds r.mu.
func (r *Reconciler) scheduleChanged(before *config.Snapshot) {
	for name, target := range r.states {
		if before != nil && target.reason == "" && sameDeclaration(before.Declarations.Targets[name], r.snapshot.Declarations.Targets[name]) {
			continue
		}
		target.failedPasses = 0
		target.recheck = target.busy
		target.dueAt = r.jitteredStart()
	}
}

// sameDeclaration reports whether two declarations have the same address and declared
// state.
func sameDeclaration(a, b config.Target) bool {
	return a.Role == b.Role && a.Address == b.Address && slices.Equal(a.LoadModels, b.LoadModels)
}

// jitteredStart returns a random time within Options.RecheckDelay from now, which
// spreads the checks of many targets.
func (r *Reconciler) jitteredStart() time.Time {
	return time.Now().Add(time.Duration(rand.Float64() * float64(r.options.RecheckDelay)))
}

func (r *Reconciler) wakeLoop() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// loop starts passes when they are due, until Close.
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

// startDue starts the passes that are due and returns the time until the next is.
func (r *Reconciler) startDue(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	untilNext := r.options.CheckInterval
	for _, target := range r.states {
		if target.busy {
			continue
		}
		if wait := target.dueAt.Sub(now); wait > 0 {
			untilNext = min(untilNext, wait)
			continue
		}
		target.busy = true
		p := &pass{reconciler: r, target: target, snapshot: r.snapshot, declared: r.snapshot.Declarations.Targets[target.name]}
		if err := r.pool.Go(p.execute); err != nil {
			target.busy = false
		}
	}
	return untilNext
}

// passEnded records the result of a pass and schedules the next one.
func (r *Reconciler) passEnded(target *targetState, result passResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	target.busy = false
	r.counters.countRefusal(result.reason)
	if r.states[target.name] != target {
		r.releasePermit(target)
		return
	}
	changed := target.reason != result.reason && (target.reason != ReasonPending || result.reason != "")
	target.reason = result.reason
	if result.nextIn > 0 {
		target.failedPasses = 0
		target.dueAt = time.Now().Add(jittered(result.nextIn))
	} else {
		target.dueAt = time.Now().Add(jittered(r.backoff(target.failedPasses)))
		target.failedPasses++
	}
	if target.recheck {
		target.recheck = false
		target.dueAt = time.Now()
	}
	if changed {
		r.logResult(target.name, result)
	}
	r.wakeLoop()
}

// backoff returns the pause after a failure that follows a number of earlier failures
// in a row.
func (r *Reconciler) backoff(earlierFailures int) time.Duration {
	pause := r.options.RecheckDelay
	for range earlierFailures {
		pause *= 2
		if pause >= r.options.MaxBackoff {
			return r.options.MaxBackoff
		}
	}
	return pause
}

// jittered changes a pause by a random fraction of at most intervalJitterRatio.
func jittered(pause time.Duration) time.Duration {
	return time.Duration(float64(pause) * (1 + intervalJitterRatio*(2*rand.Float64()-1)))
}

func (r *Reconciler) logResult(name string, result passResult) {
	switch result.reason {
	case "":
		r.options.Log.Info("orders: Target is in its declared state.", "target", name, "version", uint64(result.version))
	case ReasonOrdered, ReasonLoading, ReasonPermitDenied:
		r.options.Log.Info("orders: Target is not yet in its declared state.", "target", name, "reason", string(result.reason), "version", uint64(result.version))
	default:
		r.options.Log.Warn("orders: Target could not be brought into its declared state.", "target", name, "reason", string(result.reason), "version", uint64(result.version), "error", result.err)
	}
}

// isCurrent reports whether the version that a pass uses is still in force and this
// router still schedules the target.
func (r *Reconciler) isCurrent(p *pass) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.snapshot == p.snapshot && r.states[p.target.name] == p.target
}
