package orders

import (
	"context"
	"errors"
	"reflect"
	"slices"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/targets"
)

// pass is one check of one target, which sends at most one order. It uses the same
// configuration version throughout.
type pass struct {
	reconciler *Reconciler
	target     *targetState
	snapshot   *config.Snapshot
	declared   config.Target
}

// passResult is the result of a pass.
type passResult struct {
	// reason is empty if the target is in its declared state.
	reason Reason
	err    error
	// nextIn is the pause until the next pass. Zero means a back-off by the number
	// of failures in a row.
	nextIn time.Duration
	// version is the configuration version that the pass used.
	version config.Version
}

// execute runs the pass and records its result.
func (p *pass) execute() {
	result := p.reconcile()
	result.version = p.snapshot.Version
	p.reconciler.passEnded(p.target, result)
}

// reconcile reads the target's state and sends an order if one is needed.
func (p *pass) reconcile() passResult {
	state, err := p.readState()
	if err != nil {
		return passResult{reason: ReasonStateUnread, err: err}
	}
	plan := planFor(p.declared, state)
	p.updatePermit(plan, state)
	if !plan.hasOrder {
		p.target.lastOrderVersion = 0
	}
	switch {
	case plan.isSettled():
		return passResult{nextIn: p.reconciler.options.CheckInterval}
	case !plan.hasOrder:
		return passResult{reason: ReasonLoading, nextIn: p.reconciler.options.CheckInterval}
	case state.Fence > uint64(p.snapshot.Version):
		return passResult{reason: ReasonBehind, err: &targets.FencedError{Highest: state.Fence}}
	}
	return p.giveOrder(plan.order, state)
}

func (p *pass) readState() (targets.OrderState, error) {
	ctx, cancel := context.WithTimeout(p.reconciler.ctx, p.reconciler.options.Timeout)
	defer cancel()
	return p.reconciler.options.Client.OrderState(ctx, p.declared.Address)
}

// updatePermit renews the permit of a model that is being loaded, even if another
// router requested it, and returns a permit that is no longer needed.
func (p *pass) updatePermit(plan plan, state targets.OrderState) {
	ctx, cancel := context.WithTimeout(p.reconciler.ctx, p.reconciler.options.Timeout)
	defer cancel()
	if plan.loading != "" {
		// An error does not stop the loading; the next pass renews the permit again.
		permit, err := p.reconciler.permits.request(ctx, p.target.name, plan.loading)
		if err == nil && permit.Granted {
			p.target.permitModel = plan.loading
		}
	}
	heldModel := p.target.permitModel
	if heldModel == "" || heldModel == plan.order.LoadModel || slices.Contains(state.Loading, heldModel) {
		return
	}
	p.returnPermit(ctx)
}

// returnPermit returns the permit that is held, if any. If that fails, the next
// pass tries again; a permit that is never returned expires.
func (p *pass) returnPermit(ctx context.Context) {
	if p.target.permitModel == "" {
		return
	}
	if err := p.reconciler.permits.release(ctx, p.target.name, p.target.permitModel); err == nil {
		p.target.permitModel = ""
	}
}

// giveOrder sends an order, after requesting a permit if a model must be loaded.
// The version is confirmed before the permit is requested, so that no permit is
// held while the table is unavailable, and again right before the order is sent,
// since the first confirmation may expire while the permit is requested.
func (p *pass) giveOrder(order targets.Order, state targets.OrderState) passResult {
	if _, result, ok := p.sendDeadline(state); !ok {
		return result
	}
	if result, ok := p.takePermit(order.LoadModel); !ok {
		return result
	}
	deadline, result, ok := p.sendDeadline(state)
	if ok {
		result = p.sendOrder(order, deadline)
	}
	if result.reason != ReasonOrdered && result.reason != ReasonNotTaken && result.reason != ReasonTargetFailed {
		ctx, cancel := context.WithTimeout(p.reconciler.ctx, p.reconciler.options.Timeout)
		defer cancel()
		p.returnPermit(ctx) // The target can't have accepted the order.
	}
	return result
}

// sendDeadline returns the time until which an order may be sent. A target that
// checks fencing numbers, and has stored one, rejects an outdated order itself. For
// any other target, a recent read must confirm that the version is the newest.
func (p *pass) sendDeadline(state targets.OrderState) (time.Time, passResult, bool) {
	if p.declared.ChecksFencing && state.Fence > 0 {
		return p.reconciler.options.Now().Add(p.reconciler.options.Timeout), passResult{}, true
	}
	until, err := p.reconciler.confirmer.confirm(p.reconciler.ctx, p.snapshot.Version)
	switch {
	case errors.Is(err, errNewerVersion):
		return time.Time{}, passResult{reason: ReasonNewerVersion, err: err}, false
	case err != nil:
		return time.Time{}, passResult{reason: ReasonUnconfirmed, err: err}, false
	}
	return until, passResult{}, true
}

// takePermit requests a permit to load the model, unless model is empty.
func (p *pass) takePermit(model string) (passResult, bool) {
	if model == "" {
		return passResult{}, true
	}
	ctx, cancel := context.WithTimeout(p.reconciler.ctx, p.reconciler.options.Timeout)
	defer cancel()
	granted, wait, err := p.reconciler.permits.take(ctx, p.target.name, model)
	switch {
	case err != nil:
		p.target.permitModel = model // The store may have granted it all the same.
		return passResult{reason: ReasonPermitUnavailable, err: err}, false
	case !granted:
		return passResult{reason: ReasonPermitDenied, nextIn: wait}, false
	}
	p.target.permitModel = model
	return passResult{}, true
}

// sendOrder sends the order unless its deadline has passed, for example because the
// whole process was paused, or the pass's version is no longer in force here.
func (p *pass) sendOrder(order targets.Order, deadline time.Time) passResult {
	if !p.reconciler.isCurrent(p) {
		return passResult{reason: ReasonNewerVersion, nextIn: p.reconciler.options.RecheckDelay}
	}
	left := deadline.Sub(p.reconciler.options.Now())
	if left <= 0 {
		return passResult{reason: ReasonExpired}
	}
	ctx, cancel := context.WithTimeout(p.reconciler.ctx, min(left, p.reconciler.options.Timeout))
	defer cancel()
	p.reconciler.counters.sent.Inc()
	err := p.reconciler.options.Client.GiveOrder(ctx, p.declared.Address, order, uint64(p.snapshot.Version))
	var fenced *targets.FencedError
	switch {
	case errors.As(err, &fenced):
		return passResult{reason: ReasonFenced, err: err}
	case err != nil:
		return passResult{reason: ReasonTargetFailed, err: err}
	}
	return p.orderAccepted(order)
}

// orderAccepted records that the target accepted the order. If the same order of
// the same version was accepted before, the target has failed to apply it, and the
// pauses grow.
func (p *pass) orderAccepted(order targets.Order) passResult {
	same := p.target.lastOrderVersion == p.snapshot.Version && reflect.DeepEqual(p.target.lastOrder, order)
	p.target.lastOrder = order
	p.target.lastOrderVersion = p.snapshot.Version
	if same {
		return passResult{reason: ReasonNotTaken}
	}
	p.reconciler.options.Log.Info("orders: Order accepted by the target.", "target", p.target.name, "version", uint64(p.snapshot.Version),
		"load_model", order.LoadModel, "keep_models", order.KeepModels, "role", order.Role)
	return passResult{reason: ReasonOrdered, nextIn: p.reconciler.options.RecheckDelay}
}
