package router

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/control/speed"
	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/result"
	"github.com/walnutcove/walnutcove/result/codecounter"
)

var (
	grantWait   = metrics.GetOrCreateHistogram(`walnut_grant_wait_seconds`)
	serviceTime = metrics.GetOrCreateHistogram(`walnut_grant_service_seconds`)

	admitRefusals = codecounter.New("walnut_admit_refusals_total",
		result.QueueFull, result.QueueBytesFull, result.Draining, result.NotReady)
	grantRefusals = codecounter.New("walnut_grant_refusals_total",
		result.DeadlineBeforeGrant, result.NoTarget, result.CallerGone, result.Quarantined, result.PartQuarantined, result.ConnectFailed, result.Overloaded,
		result.TargetsEvacuated, result.NoHomeTarget, result.TargetsUnavailable, result.SoftwareUnavailable)
)

// grantSource obtains slots for the grant filter. It implements grant.Source.
type grantSource struct {
	loop *loop
	// inForce returns the configuration in force.
	inForce func() *config.Snapshot
	// notices holds what targets announced about themselves.
	notices *targetNotices
}

// Acquire waits for a slot. It implements grant.Source.
func (g *grantSource) Acquire(ctx context.Context, ex *pipeline.Exchange) error {
	start := time.Now()
	w := &waiter{attempt: uint32(ex.Attempt), answer: make(chan grantAnswer, 1)}
	event := g.arrivalEvent(ex)
	if !g.loop.postWith(event, w) {
		return countRefusal(result.New(result.Draining, "The router has stopped."))
	}
	select {
	case answer := <-w.answer:
		grantWait.UpdateDuration(start)
		return g.applyAnswer(ex, answer)
	case <-ex.CallerGone:
		g.cancelWait(event)
		return countRefusal(result.New(result.CallerGone, "The caller went away."))
	case <-ctx.Done():
		g.cancelWait(event)
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return countRefusal(result.New(result.DeadlineBeforeGrant, "The deadline passed before a target was free."))
		}
		return countRefusal(result.New(result.CallerGone, "The request was cancelled."))
	case <-g.loop.done:
		return countRefusal(result.New(result.Draining, "The router has stopped."))
	}
}

// cancelWait cancels the wait of an attempt for a grant. If a grant was made at the same time, the
// machine ends it and frees the slot on RequestCancelled.
func (g *grantSource) cancelWait(event control.RequestArrived) {
	g.loop.post(control.RequestCancelled{Request: event.Request, Attempt: event.Attempt})
}

// arrivalEvent returns the event that asks the control goroutine for a slot.
func (g *grantSource) arrivalEvent(ex *pipeline.Exchange) control.RequestArrived {
	return control.RequestArrived{
		Request:     control.RequestID(ex.Sequence),
		Attempt:     uint32(ex.Attempt),
		Workspace:   ex.WorkspaceName,
		Pool:        ex.PoolName,
		Route:       routeName(ex),
		CostHint:    ex.CostHint,
		Deadline:    g.loop.instant(ex.Deadline),
		Bytes:       int64(len(ex.Body)),
		PrefixHash:  ex.PrefixHash,
		Work:        ex.Work,
		Objective:   g.objective(ex),
		Fingerprint: ex.Fingerprint,
		Excluded:    ex.Excluded,
		Software:    ex.Software,
		Continues:   ex.Continues,
	}
}

// objective returns when the answer should have begun; zero if there is no objective.
func (g *grantSource) objective(ex *pipeline.Exchange) control.Instant {
	if ex.Route == nil || ex.Route.Objective() <= 0 {
		return 0
	}
	begin := ex.Arrived
	if ex.Attempt > 1 {
		begin = time.Now() // a retry's objective counts from the retry: a late answer is better than none
	}
	return g.loop.instant(begin.Add(ex.Route.Objective()))
}

// applyAnswer turns the machine's answer into the exchange's run or a refusal.
func (g *grantSource) applyAnswer(ex *pipeline.Exchange, answer grantAnswer) error {
	if answer.refuse != nil {
		refusal := result.New(answer.refuse.Code, "%s", answer.refuse.Code.Info().Meaning)
		if answer.refuse.Scheduler != "" {
			refusal.Cause = &schedulerRefusal{*answer.refuse}
		}
		return countRefusal(refusal.WithRetryAfter(answer.refuse.RetryAfter))
	}
	run := &grantedRun{loop: g.loop, dispatch: *answer.dispatch, started: time.Now()}
	// Whatever happens to the exchange, its slot is freed when it ends.
	ex.OnEnd(func(error) { run.End(control.OutcomeCancelled) })
	ex.Target = answer.dispatch.Target
	ex.TargetSoftware = ""
	ex.Run = run
	// The target may have moved since the request arrived, and another target may
	// now use its old address.
	target, known := g.inForce().Declarations.Targets[ex.Target]
	if !known {
		run.End(control.OutcomeNotRun)
		return countRefusal(result.New(result.ConnectFailed, "The target is not declared any more."))
	}
	if !ex.Software.Allows(target.Software) {
		run.End(control.OutcomeNotRun)
		return countRefusal(result.New(result.TargetLeft, "The target runs another software version than the one that began the stream."))
	}
	ex.Address = target.Address
	ex.TargetSoftware = target.Software
	ex.TargetServes = func() bool { return g.isTargetServing(ex, answer.dispatch.Target, target.Address) }
	ex.FetchAddress = g.inForce().Declarations.Targets[answer.dispatch.FetchFrom].Address
	ex.Placement = pipeline.Placement{PredictedStart: answer.dispatch.PredictedStart, UncachedTokens: answer.dispatch.Reads, FetchFrom: answer.dispatch.FetchFrom}
	return nil
}

// isTargetServing reports whether a target is still declared at an address, takes work
// according to its declaration and its answers, is in a region that the request's route and
// workspace allow, and runs an allowed software version.
func (g *grantSource) isTargetServing(ex *pipeline.Exchange, name, address string) bool {
	declarations := &g.inForce().Declarations
	declared, known := declarations.Targets[name]
	return known && declared.TakesWork() && declared.Address == address &&
		!g.notices.isWithheld(g.loop.instant(time.Now()), name, declared.Start) &&
		declarations.AllowedRegions(routeName(ex), ex.WorkspaceName).Allows(declared.Region) &&
		ex.Software.Allows(declared.Software)
}

// routeName returns the name of the route of a request; empty if there is none.
func routeName(ex *pipeline.Exchange) string {
	if ex.Route == nil {
		return ""
	}
	return ex.Route.Name
}

// schedulerRefusal is the cause of a refusal by a scheduler: which scheduler refused the
// request, and the figures that it decided on.
type schedulerRefusal struct{ refuse control.Refuse }

// Error implements error.
func (r *schedulerRefusal) Error() string {
	return fmt.Sprintf("scheduler %s: beyond the workspace's share %v, %d waiting", r.refuse.Scheduler, r.refuse.Excess, r.refuse.Ahead)
}

// grantedRun is one granted slot. It implements pipeline.Run.
type grantedRun struct {
	loop      *loop
	dispatch  control.Dispatch
	started   time.Time
	beginOnce sync.Once
	endOnce   sync.Once
	load      atomic.Pointer[targetLoad]
}

// targetLoad is what a target reported about its load, and when.
type targetLoad struct {
	reading speed.Reading
	at      time.Time
}

// SetLoad implements pipeline.Run.
func (r *grantedRun) SetLoad(reading speed.Reading) {
	r.load.Store(&targetLoad{reading: reading, at: time.Now()})
}

// currentLoad returns what the target reported and how long ago; zero values if it reported
// nothing.
func (r *grantedRun) currentLoad() (reading speed.Reading, age time.Duration) {
	load := r.load.Load()
	if load == nil {
		return speed.Reading{}, 0
	}
	return load.reading, time.Since(load.at)
}

// Begin implements pipeline.Run.
func (r *grantedRun) Begin() {
	r.beginOnce.Do(func() {
		reading, age := r.currentLoad()
		r.loop.post(control.RunBegan{Grant: r.dispatch.Grant, After: time.Since(r.started), Load: reading, LoadAge: age})
	})
}

// Silent implements pipeline.Run.
func (r *grantedRun) Silent() { r.loop.post(control.RunSilent{Grant: r.dispatch.Grant}) }

// Overdue implements pipeline.Run.
func (r *grantedRun) Overdue() { r.loop.post(control.RunOverdue{Grant: r.dispatch.Grant}) }

// End implements pipeline.Run.
func (r *grantedRun) End(outcome control.Outcome) {
	r.endOnce.Do(func() {
		service := time.Since(r.started)
		serviceTime.Update(service.Seconds())
		reading, age := r.currentLoad()
		r.loop.post(control.RunEnded{
			Request: r.dispatch.Request,
			Grant:   r.dispatch.Grant,
			Outcome: outcome,
			Service: service,
			Load:    reading,
			LoadAge: age,
		})
	})
}

// countRefusal counts a refusal by its result code and returns it.
func countRefusal(refusal *result.Error) error {
	switch refusal.Code {
	case result.QueueFull, result.QueueBytesFull, result.Draining, result.NotReady:
		admitRefusals.Inc(refusal.Code)
	default:
		grantRefusals.Inc(refusal.Code)
	}
	return refusal
}
