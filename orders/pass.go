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

// pass is one look at one target, and one order at most. It works by one
// version from its beginning to its end.
type pass struct {
	r        *Reconciler
	entry    *entry
	snapshot *config.Snapshot
	declared config.Target
}

// verdict is how a pass ended.
type verdict struct {
	// reason is empty if the target is in its declared state.
	reason Reason
	err    error
	// wait is the pause until the next pass. Zero: by the number of failures.
	wait time.Duration
	// version is the one that the pass worked by.
	version config.Version
}

func (p *pass) do() {
	v := p.run()
	v.version = p.snapshot.Version
	p.r.ended(p.entry, v)
}

func (p *pass) run() verdict {
	state, err := p.readState()
	if err != nil {
		return verdict{reason: ReasonStateUnread, err: err}
	}
	plan := planFor(p.declared, state)
	p.settlePermit(plan, state)
	if !plan.needed {
		p.entry.givenAt = 0
	}
	switch {
	case plan.settled():
		return verdict{wait: p.r.options.Every}
	case !plan.needed:
		return verdict{reason: ReasonLoading, wait: p.r.options.Every}
	case state.Fence > uint64(p.snapshot.Version):
		return verdict{reason: ReasonBehind, err: &targets.FencedError{Highest: state.Fence}}
	}
	return p.give(plan.order, state)
}

func (p *pass) readState() (targets.OrderState, error) {
	ctx, cancel := context.WithTimeout(p.r.ctx, p.r.options.Timeout)
	defer cancel()
	return p.r.options.Client.OrderState(ctx, p.declared.Address)
}

// settlePermit keeps the permit of a model that is being loaded, also if
// another router asked for it, and gives back one that is no longer of use.
func (p *pass) settlePermit(plan plan, state targets.OrderState) {
	ctx, cancel := context.WithTimeout(p.r.ctx, p.r.options.Timeout)
	defer cancel()
	if plan.loading != "" {
		// Loading goes on without an answer too; the next pass asks again.
		permit, err := p.r.permits.renew(ctx, p.entry.name, plan.loading)
		if err == nil && permit.Granted {
			p.entry.permit = plan.loading
		}
	}
	held := p.entry.permit
	if held == "" || held == plan.order.LoadModel || slices.Contains(state.Loading, held) {
		return
	}
	p.finishPermit(ctx)
}

// finishPermit gives the permit held back. If that fails, the next pass does it
// again, and the permit ends by itself in the end.
func (p *pass) finishPermit(ctx context.Context) {
	if p.entry.permit == "" {
		return
	}
	if err := p.r.permits.finish(ctx, p.entry.name, p.entry.permit); err == nil {
		p.entry.permit = ""
	}
}

// give gives an order. The permit comes after a first confirmation, so that
// none is held while the table is out, and may outlast it; so the version is
// confirmed again right before the order is sent.
func (p *pass) give(order targets.Order, state targets.OrderState) verdict {
	if _, v, ok := p.allowedUntil(state); !ok {
		return v
	}
	if v, ok := p.takePermit(order.LoadModel); !ok {
		return v
	}
	until, v, ok := p.allowedUntil(state)
	if ok {
		v = p.send(order, until)
	}
	if v.reason != ReasonOrdered && v.reason != ReasonNotTaken && v.reason != ReasonTargetFailed {
		ctx, cancel := context.WithTimeout(p.r.ctx, p.r.options.Timeout)
		defer cancel()
		p.finishPermit(ctx) // The order was surely not taken.
	}
	return v
}

// allowedUntil returns until when an order may be sent. A target that checks
// fencing numbers, and remembers one, refuses an old order itself. For any
// other the version must have been read as the newest a moment ago.
func (p *pass) allowedUntil(state targets.OrderState) (time.Time, verdict, bool) {
	if p.declared.ChecksFencing && state.Fence > 0 {
		return p.r.options.Now().Add(p.r.options.Timeout), verdict{}, true
	}
	until, err := p.r.head.confirm(p.r.ctx, p.snapshot.Version)
	switch {
	case errors.Is(err, errNewerVersion):
		return time.Time{}, verdict{reason: ReasonNewerVersion, err: err}, false
	case err != nil:
		return time.Time{}, verdict{reason: ReasonUnconfirmed, err: err}, false
	}
	return until, verdict{}, true
}

// takePermit takes a permit to load the model, if there is one to load.
func (p *pass) takePermit(model string) (verdict, bool) {
	if model == "" {
		return verdict{}, true
	}
	ctx, cancel := context.WithTimeout(p.r.ctx, p.r.options.Timeout)
	defer cancel()
	granted, wait, err := p.r.permits.take(ctx, p.entry.name, model)
	switch {
	case err != nil:
		p.entry.permit = model // It may have been granted.
		return verdict{reason: ReasonPermitUnavailable, err: err}, false
	case !granted:
		return verdict{reason: ReasonPermitDenied, wait: wait}, false
	}
	p.entry.permit = model
	return verdict{}, true
}

// send sends the order unless the time for it has passed, as after a pause of
// the whole process, or the version is no longer in force here.
func (p *pass) send(order targets.Order, until time.Time) verdict {
	if !p.r.inForce(p) {
		return verdict{reason: ReasonNewerVersion, wait: p.r.options.Soon}
	}
	left := until.Sub(p.r.options.Now())
	if left <= 0 {
		return verdict{reason: ReasonExpired}
	}
	ctx, cancel := context.WithTimeout(p.r.ctx, min(left, p.r.options.Timeout))
	defer cancel()
	p.r.counters.sent.Inc()
	err := p.r.options.Client.GiveOrder(ctx, p.declared.Address, order, uint64(p.snapshot.Version))
	var fenced *targets.FencedError
	switch {
	case errors.As(err, &fenced):
		return verdict{reason: ReasonFenced, err: err}
	case err != nil:
		return verdict{reason: ReasonTargetFailed, err: err}
	}
	return p.taken(order)
}

// taken takes in that the target took the order. The same order twice is a
// failure of the target, and the pauses grow.
func (p *pass) taken(order targets.Order) verdict {
	same := p.entry.givenAt == p.snapshot.Version && reflect.DeepEqual(p.entry.given, order)
	p.entry.given = order
	p.entry.givenAt = p.snapshot.Version
	if same {
		return verdict{reason: ReasonNotTaken}
	}
	p.r.options.Log.Info("orders: Order given.", "target", p.entry.name, "version", uint64(p.snapshot.Version),
		"load_model", order.LoadModel, "keep_models", order.KeepModels, "role", order.Role)
	return verdict{reason: ReasonOrdered, wait: p.r.options.Soon}
}
