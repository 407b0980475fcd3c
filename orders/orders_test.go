package orders_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/orders"
	"github.com/walnutcove/walnutcove/standin/engine"
	"github.com/walnutcove/walnutcove/standin/journal"
	"github.com/walnutcove/walnutcove/store"
	"github.com/walnutcove/walnutcove/targets"
)

func TestTargetReachesDeclaredState(t *testing.T) {
	f := newFleet(t, engine.Options{LoadTime: 10 * time.Millisecond})
	e := f.engines[0]
	r := f.startRouter(f.declareStates("prefill", "a", "b@2/tone"), nil)
	eventually(t, "first state", func() bool { return isInState(e, "prefill", "a", "b@2/tone") })
	r.SetConfig(f.declareStates("decode", "b@2/tone", "c"))
	eventually(t, "next state", func() bool { return isInState(e, "decode", "b@2/tone", "c") })
	e.CrashNow()
	eventually(t, "state after a crash", func() bool { return isInState(e, "decode", "b@2/tone", "c") })
	eventually(t, "settled", func() bool { return r.Reasons()[f.names[0]] == "" })
	loads := 0
	for _, entry := range e.Journal().Entries() {
		if entry.Event == journal.LoadStarted {
			loads++
		}
	}
	if loads != 5 { // a, b, c, and b and c again after the crash
		t.Errorf("%d loads, want 5", loads)
	}
}

// TestFencingTargetRejectsOutdatedRouter checks that a target rejects an outdated
// fencing number: a router with an outdated version reads the target's state before
// a router with the newest version sends its order, and sends its own order after
// that.
func TestFencingTargetRejectsOutdatedRouter(t *testing.T) {
	f := newFleet(t, engine.Options{ChecksFencing: true})
	e := f.engines[0]
	f.giveOrderDirectly(0, targets.Order{Role: "idle"}, 1) // so that it has stored a number
	old := f.declareStates("prefill", "a")
	newest := f.declareStates("decode", "b")
	newerRouterOrders := &onceHook{call: func() {
		f.startRouter(newest, nil)
		eventually(t, "newest state", func() bool { return isInState(e, "decode", "b") })
	}}
	outdated := f.startRouter(old, func(o *orders.Options) { o.Client = hookedClient{f.client, newerRouterOrders} })
	eventually(t, "the outdated router is rejected", func() bool { return outdated.refusals(orders.ReasonFenced) > 0 })
	eventually(t, "the outdated router sees the higher fencing number", func() bool { return outdated.refusals(orders.ReasonBehind) > 1 })
	if fences := acceptedFences(e); firstOutOfOrder(fences) != 0 {
		t.Errorf("accepted orders have the fencing numbers %v", fences)
	}
	refused := 0
	for _, entry := range e.Journal().Entries() {
		if entry.Event == journal.Order && entry.Outcome == journal.Fenced {
			refused++
		}
	}
	if refused != 1 || !isInState(e, "decode", "b") {
		t.Errorf("%d orders refused, state %+v", refused, e.Orders())
	}
}

// TestOutdatedRouterSendsNoOrderWithoutFencing checks that a router sends no order to
// a target that would accept it while the table holds a newer version than the
// router, even if it is the only router.
func TestOutdatedRouterSendsNoOrderWithoutFencing(t *testing.T) {
	for _, checks := range []bool{false, true} { // the target that checks has not stored a number yet
		f := newFleet(t, engine.Options{ChecksFencing: checks})
		old := f.declareStates("prefill", "a")
		newest := f.declareStates("decode", "b")
		r := f.startRouter(old, nil)
		eventually(t, "refusals", func() bool { return r.refusals(orders.ReasonNewerVersion) > 2 })
		if fences := acceptedFences(f.engines[0]); len(fences) != 0 {
			t.Errorf("checks %v: accepted orders have the fencing numbers %v", checks, fences)
		}
		r.SetConfig(newest)
		eventually(t, "newest state", func() bool { return isInState(f.engines[0], "decode", "b") })
	}
}

// TestResumedRouterSendsNoOutdatedOrder checks that a router that is paused before
// its permit request, or after its last confirmation, and resumes with an outdated
// version, sends no order to a target that ignores fencing numbers.
func TestResumedRouterSendsNoOutdatedOrder(t *testing.T) {
	pausePoints := map[string]func(o *orders.Options, c *movableClock, pause func()){
		"before the permit": func(o *orders.Options, _ *movableClock, pause func()) {
			o.Weights = hookedWeights{o.Weights, &onceHook{call: pause}}
		},
		"after the last confirmation": func(o *orders.Options, c *movableClock, pause func()) {
			// The first confirmation expires before the second, which must read again.
			expireConfirmation := func() { c.advance(2 * o.ConfirmationTTL) }
			o.Versions = &hookedVersions{Versions: o.Versions, after: map[int]func(){1: expireConfirmation, 2: pause}}
		},
	}
	for name, arrange := range pausePoints {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, engine.Options{})
			e := f.engines[0]
			outdated := f.declareStates("prefill", "a")
			pausedClock := &movableClock{}
			resumed := make(chan struct{})
			pause := func() {
				f.startRouter(f.declareStates("decode", "b"), nil)
				eventually(t, "newest state", func() bool { return isInState(e, "decode", "b") })
				pausedClock.advance(time.Hour)
				close(resumed)
			}
			r := f.startRouter(outdated, func(o *orders.Options) {
				o.Now = pausedClock.now
				arrange(o, pausedClock, pause)
			})
			select {
			case <-resumed:
			case <-time.After(testTimeout):
				t.Fatal("the router did not reach the point where it is paused")
			}
			eventually(t, "refusals after the router resumed", func() bool {
				return r.refusals(orders.ReasonExpired)+r.refusals(orders.ReasonNewerVersion) > 0
			})
			eventually(t, "the resumed router sees the higher fencing number", func() bool { return r.refusals(orders.ReasonBehind) > 1 })
			if fences := acceptedFences(e); slices.Contains(fences, uint64(outdated.Version)) {
				t.Errorf("accepted orders have the fencing numbers %v", fences)
			}
		})
	}
}

// TestLateOutdatedOrderIsCorrected checks that the next check of a target corrects
// the effect of an outdated order. No check can prevent that a target that ignores
// fencing numbers applies such an order late, if it was sent in time.
func TestLateOutdatedOrderIsCorrected(t *testing.T) {
	f := newFleet(t, engine.Options{})
	e := f.engines[0]
	old := f.declareStates("prefill", "a")
	newest := f.declareStates("decode", "b")
	r := f.startRouter(newest, nil)
	eventually(t, "newest state", func() bool { return isInState(e, "decode", "b") })
	eventually(t, "settled", func() bool { return r.Reasons()[f.names[0]] == "" })
	f.giveOrderDirectly(0, targets.Order{LoadModel: "a", KeepModels: []string{"a"}, Role: "prefill"}, uint64(old.Version))
	eventually(t, "state is corrected", func() bool { return isInState(e, "decode", "b") })
	fences := acceptedFences(e)
	if firstOutOfOrder(fences) != uint64(old.Version) || fences[len(fences)-1] != uint64(newest.Version) {
		t.Errorf("accepted orders have the fencing numbers %v", fences)
	}
}

// TestTableOutage checks that, while the table is unavailable, orders are sent only to
// a target that checks fencing numbers and has stored one.
func TestTableOutage(t *testing.T) {
	f := newFleet(t, engine.Options{}, engine.Options{ChecksFencing: true}, engine.Options{ChecksFencing: true})
	ignoring, checking, fresh := f.engines[0], f.engines[1], f.engines[2]
	f.giveOrderDirectly(1, targets.Order{Role: "idle"}, 1)
	snapshot := f.declareStates("decode", "a")
	table := &switchableVersions{Versions: f.versions, unavailable: true}
	r := f.startRouter(snapshot, func(o *orders.Options) { o.Versions = table })
	eventually(t, "checking target", func() bool { return isInState(checking, "decode", "a") })
	eventually(t, "refusals", func() bool { return r.refusals(orders.ReasonUnconfirmed) > 4 })
	if fences := append(acceptedFences(ignoring), acceptedFences(fresh)...); len(fences) != 0 {
		t.Errorf("orders accepted during the outage have the fencing numbers %v", fences)
	}
	table.setUnavailable(false)
	eventually(t, "the others", func() bool { return isInState(ignoring, "decode", "a") && isInState(fresh, "decode", "a") })
}

// TestConcurrentLoadsStayWithinPermits checks that a change of the whole fleet loads
// no more models at the same time than the weight store permits, although two routers
// send orders to each target.
func TestConcurrentLoadsStayWithinPermits(t *testing.T) {
	options := make([]engine.Options, 6)
	for n := range options {
		options[n].LoadTime = 100 * time.Millisecond
	}
	f := newFleet(t, options...)
	snapshot := f.declareStates("", "a", "b")
	first, second := f.startRouter(snapshot, withShortPermitRetry), f.startRouter(snapshot, withShortPermitRetry)
	eventually(t, "all loaded", func() bool {
		return !slices.ContainsFunc(f.engines, func(e *engine.Engine) bool { return !isInState(e, "", "a", "b") })
	})
	eventually(t, "all permits are back", func() bool {
		rate, err := f.weights.WeightsRate(t.Context())
		return err == nil && rate.Fetches == 0
	})
	if maxLoads := maxConcurrentLoads(f.engines); maxLoads != 2 {
		t.Errorf("%d loads at once, the store permits 2", maxLoads)
	}
	if first.refusals(orders.ReasonPermitDenied)+second.refusals(orders.ReasonPermitDenied) == 0 {
		t.Error("no permit was denied")
	}
}

// withShortPermitRetry shortens the pause after a denied permit.
func withShortPermitRetry(o *orders.Options) { o.Weights = shortRetryWeights{o.Weights} }

// shortRetryWeights returns a shortened retry time with each denial.
type shortRetryWeights struct{ store.Weights }

func (w shortRetryWeights) RequestFetch(ctx context.Context, fetch store.WeightFetch) (store.WeightPermit, error) {
	permit, err := w.Weights.RequestFetch(ctx, fetch)
	permit.RetryAfter /= 100
	return permit, err
}

// maxConcurrentLoads returns the largest number of loads in progress at the same
// time, from the engines' journals.
func maxConcurrentLoads(engines []*engine.Engine) int {
	var entries []journal.Entry
	for _, e := range engines {
		entries = append(entries, e.Journal().Entries()...)
	}
	slices.SortStableFunc(entries, func(a, b journal.Entry) int { return a.Wall.Compare(b.Wall) })
	maxLoads, current := 0, 0
	for _, entry := range entries {
		switch entry.Event {
		case journal.LoadStarted:
			current++
		case journal.LoadEnded:
			current--
		}
		maxLoads = max(maxLoads, current)
	}
	return maxLoads
}
