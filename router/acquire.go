package router

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/control"
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
		result.DeadlineBeforeGrant, result.NoTarget, result.CallerGone, result.Quarantined, result.ConnectFailed, result.Overloaded,
		result.TargetsEvacuated, result.NoHomeTarget, result.TargetsUnavailable)
)

// grants gives slots to the grant filter. It implements grant.Source.
type grants struct {
	loop *loop
	// inForce returns the configuration in force.
	inForce func() *config.Snapshot
	// notices are what targets said of themselves.
	notices *notices
}

// Acquire waits for a slot. It implements grant.Source.
func (g *grants) Acquire(ctx context.Context, ex *pipeline.Exchange) error {
	start := time.Now()
	w := &waiter{attempt: uint32(ex.Attempt), answer: make(chan grantAnswer, 1)}
	event := g.arrival(ex)
	if !g.loop.postWith(event, w) {
		return countRefusal(result.New(result.Draining, "The router has stopped."))
	}
	select {
	case answer := <-w.answer:
		grantWait.UpdateDuration(start)
		return g.accept(ex, answer)
	case <-ex.CallerGone:
		g.withdraw(event.Request)
		return countRefusal(result.New(result.CallerGone, "The caller went away."))
	case <-ctx.Done():
		g.withdraw(event.Request)
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return countRefusal(result.New(result.DeadlineBeforeGrant, "The deadline passed before a target was free."))
		}
		return countRefusal(result.New(result.CallerGone, "The request was cancelled."))
	case <-g.loop.done:
		return countRefusal(result.New(result.Draining, "The router has stopped."))
	}
}

// withdraw cancels the wait. A grant that crossed the cancellation is ended by
// the machine, which frees the slot on RequestCancelled.
func (g *grants) withdraw(request control.RequestID) {
	g.loop.post(control.RequestCancelled{Request: request})
}

func (g *grants) arrival(ex *pipeline.Exchange) control.RequestArrived {
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
	}
}

// objective is when the answer should have begun; zero if there is no objective.
func (g *grants) objective(ex *pipeline.Exchange) control.Instant {
	if ex.Route == nil || ex.Route.Objective() <= 0 {
		return 0
	}
	begin := ex.Arrived
	if ex.Attempt > 1 {
		begin = time.Now() // late is better than not at all for what was begun
	}
	return g.loop.instant(begin.Add(ex.Route.Objective()))
}

// accept turns the machine's answer into the exchange's run or a refusal.
func (g *grants) accept(ex *pipeline.Exchange, answer grantAnswer) error {
	if answer.refuse != nil {
		refusal := result.New(answer.refuse.Code, "%s", answer.refuse.Code.Info().Meaning)
		if answer.refuse.Scheduler != "" {
			refusal.Cause = &refusedBy{*answer.refuse}
		}
		return countRefusal(refusal.After(answer.refuse.RetryAfter))
	}
	run := &run{loop: g.loop, granted: *answer.dispatch, started: time.Now()}
	// Whatever becomes of the exchange, its slot is not held beyond its end.
	ex.OnEnd(func(error) { run.End(control.OutcomeCancelled) })
	ex.Target = answer.dispatch.Target
	ex.Run = run
	// The target may have moved since the request came in, and another one may
	// be at its old address.
	declared, known := g.inForce().Declarations.Targets[ex.Target]
	if !known {
		run.End(control.OutcomeNotRun)
		return countRefusal(result.New(result.ConnectFailed, "The target is not declared any more."))
	}
	ex.Address = declared.Address
	ex.TargetServes = func() bool { return g.serves(ex, answer.dispatch.Target, declared.Address) }
	ex.FetchAddress = g.inForce().Declarations.Targets[answer.dispatch.FetchFrom].Address
	ex.Placed = pipeline.Placement{Start: answer.dispatch.PredictedStart, Reads: answer.dispatch.Reads, FetchFrom: answer.dispatch.FetchFrom}
	return nil
}

// serves reports whether a target is still declared at an address, takes work, by its
// declaration and by its answers, and is in a region that the route and the workspace of the
// request allow.
func (g *grants) serves(ex *pipeline.Exchange, name, address string) bool {
	declarations := &g.inForce().Declarations
	declared, known := declarations.Targets[name]
	return known && declared.TakesWork() && declared.Address == address &&
		!g.notices.isWithheld(g.loop.instant(time.Now()), name, declared.Start) &&
		declarations.AllowedRegions(routeName(ex), ex.WorkspaceName).Allows(declared.Region)
}

// routeName returns the name of the route of a request; empty if there is none.
func routeName(ex *pipeline.Exchange) string {
	if ex.Route == nil {
		return ""
	}
	return ex.Route.Name
}

// refusedBy says which scheduler refused a request and what it went by.
type refusedBy struct{ refuse control.Refuse }

// Error implements error.
func (r *refusedBy) Error() string {
	return fmt.Sprintf("scheduler %s: beyond the workspace's share %v, %d waiting", r.refuse.Scheduler, r.refuse.Excess, r.refuse.Ahead)
}

// run is one granted slot. It implements pipeline.Run.
type run struct {
	loop    *loop
	granted control.Dispatch
	started time.Time
	begun   sync.Once
	once    sync.Once
}

// Begin implements pipeline.Run.
func (r *run) Begin() {
	r.begun.Do(func() {
		r.loop.post(control.RunBegan{Grant: r.granted.Grant, After: time.Since(r.started)})
	})
}

// End implements pipeline.Run.
func (r *run) End(outcome control.Outcome) {
	r.once.Do(func() {
		service := time.Since(r.started)
		serviceTime.Update(service.Seconds())
		r.loop.post(control.RunEnded{
			Request: r.granted.Request,
			Grant:   r.granted.Grant,
			Outcome: outcome,
			Service: service,
		})
	})
}

// countRefusal counts a refusal by its reason and returns it.
func countRefusal(refusal *result.Error) error {
	switch refusal.Code {
	case result.QueueFull, result.QueueBytesFull, result.Draining, result.NotReady:
		admitRefusals.Inc(refusal.Code)
	default:
		grantRefusals.Inc(refusal.Code)
	}
	return refusal
}
