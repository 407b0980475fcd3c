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

func TestTargetIsBroughtIntoItsDeclaredState(t *testing.T) {
	f := newFleet(t, engine.Options{LoadTime: 10 * time.Millisecond})
	e := f.engines[0]
	r := f.router(f.declare("prefill", "a", "b@2/tone"), nil)
	eventually(t, "first state", func() bool { return has(e, "prefill", "a", "b@2/tone") })
	r.SetConfig(f.declare("decode", "b@2/tone", "c"))
	eventually(t, "next state", func() bool { return has(e, "decode", "b@2/tone", "c") })
	e.CrashNow()
	eventually(t, "state after a crash", func() bool { return has(e, "decode", "b@2/tone", "c") })
	eventually(t, "settled", func() bool { return r.States()[f.names[0]] == "" })
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

// An old router read the target's state before the new one gave its order, and
// sends after it. The target refuses the number.
func TestCheckingTargetRefusesARouterThatIsBehind(t *testing.T) {
	f := newFleet(t, engine.Options{ChecksFencing: true})
	e := f.engines[0]
	f.orderByHand(0, targets.Order{Role: "idle"}, 1) // so that it remembers a number
	old := f.declare("prefill", "a")
	newest := f.declare("decode", "b")
	overtake := &hook{call: func() {
		f.router(newest, nil)
		eventually(t, "newest state", func() bool { return has(e, "decode", "b") })
	}}
	behind := f.router(old, func(o *orders.Options) { o.Client = hookedClient{f.client, overtake} })
	eventually(t, "the old router was refused", func() bool { return behind.refusals(orders.ReasonFenced) > 0 })
	eventually(t, "the old router knows", func() bool { return behind.refusals(orders.ReasonBehind) > 1 })
	if fences := taken(e); outOfOrder(fences) != 0 {
		t.Errorf("orders taken with numbers %v", fences)
	}
	refused := 0
	for _, entry := range e.Journal().Entries() {
		if entry.Event == journal.Order && entry.Outcome == journal.Fenced {
			refused++
		}
	}
	if refused != 1 || !has(e, "decode", "b") {
		t.Errorf("%d orders refused, state %+v", refused, e.Orders())
	}
}

// The table holds a newer version than the only router that looks.
func TestIgnoringTargetGetsNoOrderOfARouterThatIsBehind(t *testing.T) {
	for _, checks := range []bool{false, true} { // one that checks remembers no number yet
		f := newFleet(t, engine.Options{ChecksFencing: checks})
		old := f.declare("prefill", "a")
		newest := f.declare("decode", "b")
		r := f.router(old, nil)
		eventually(t, "refusals", func() bool { return r.refusals(orders.ReasonNewerVersion) > 2 })
		if fences := taken(f.engines[0]); len(fences) != 0 {
			t.Errorf("checks %v: orders taken with numbers %v", checks, fences)
		}
		r.SetConfig(newest)
		eventually(t, "newest state", func() bool { return has(f.engines[0], "decode", "b") })
	}
}

// A router stands still at the worst moments, wakes with its old version, and
// gives no order to a target that ignores fencing numbers.
func TestThawedRouterGivesNoOldOrder(t *testing.T) {
	freezes := map[string]func(o *orders.Options, c *clock, freeze func()){
		"before the permit": func(o *orders.Options, _ *clock, freeze func()) {
			o.Weights = hookedWeights{o.Weights, &hook{call: freeze}}
		},
		"after the last confirmation": func(o *orders.Options, c *clock, freeze func()) {
			// The first confirmation has lapsed by the second, which is read anew.
			lapse := func() { c.move(2 * o.ConfirmHolds) }
			o.Versions = &hookedVersions{Versions: o.Versions, after: map[int]func(){1: lapse, 2: freeze}}
		},
	}
	for name, arrange := range freezes {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, engine.Options{})
			e := f.engines[0]
			old := f.declare("prefill", "a")
			frozen := &clock{}
			thawed := make(chan struct{})
			freeze := func() {
				f.router(f.declare("decode", "b"), nil)
				eventually(t, "newest state", func() bool { return has(e, "decode", "b") })
				frozen.move(time.Hour)
				close(thawed)
			}
			r := f.router(old, func(o *orders.Options) {
				o.Now = frozen.now
				arrange(o, frozen, freeze)
			})
			select {
			case <-thawed:
			case <-time.After(testTimeout):
				t.Fatal("the router did not come to the point where it freezes")
			}
			eventually(t, "refusals after the thaw", func() bool {
				return r.refusals(orders.ReasonExpired)+r.refusals(orders.ReasonNewerVersion) > 0
			})
			eventually(t, "the thawed router knows", func() bool { return r.refusals(orders.ReasonBehind) > 1 })
			if fences := taken(e); slices.Contains(fences, uint64(old.Version)) {
				t.Errorf("orders taken with numbers %v", fences)
			}
		})
	}
}

// What no check can stop: an old order that was written in time and taken late
// by a target that ignores fencing numbers.
func TestLateOldOrderIsMended(t *testing.T) {
	f := newFleet(t, engine.Options{})
	e := f.engines[0]
	old := f.declare("prefill", "a")
	newest := f.declare("decode", "b")
	r := f.router(newest, nil)
	eventually(t, "newest state", func() bool { return has(e, "decode", "b") })
	eventually(t, "settled", func() bool { return r.States()[f.names[0]] == "" })
	f.orderByHand(0, targets.Order{LoadModel: "a", KeepModels: []string{"a"}, Role: "prefill"}, uint64(old.Version))
	eventually(t, "mended", func() bool { return has(e, "decode", "b") })
	fences := taken(e)
	if outOfOrder(fences) != uint64(old.Version) || fences[len(fences)-1] != uint64(newest.Version) {
		t.Errorf("orders taken with numbers %v", fences)
	}
}

// While the table is out, only a target that checks, and remembers a number, is
// given orders.
func TestTableOutage(t *testing.T) {
	f := newFleet(t, engine.Options{}, engine.Options{ChecksFencing: true}, engine.Options{ChecksFencing: true})
	ignoring, checking, fresh := f.engines[0], f.engines[1], f.engines[2]
	f.orderByHand(1, targets.Order{Role: "idle"}, 1)
	snapshot := f.declare("decode", "a")
	table := &outVersions{Versions: f.versions, out: true}
	r := f.router(snapshot, func(o *orders.Options) { o.Versions = table })
	eventually(t, "checking target", func() bool { return has(checking, "decode", "a") })
	eventually(t, "refusals", func() bool { return r.refusals(orders.ReasonUnconfirmed) > 4 })
	if fences := append(taken(ignoring), taken(fresh)...); len(fences) != 0 {
		t.Errorf("orders taken during the outage with numbers %v", fences)
	}
	table.set(false)
	eventually(t, "the others", func() bool { return has(ignoring, "decode", "a") && has(fresh, "decode", "a") })
}

// A change of the whole fleet loads at most as many models at once as the
// weight store permits, though two routers give orders for each target.
func TestLoadsKeepToThePermits(t *testing.T) {
	options := make([]engine.Options, 6)
	for n := range options {
		options[n].LoadTime = 100 * time.Millisecond
	}
	f := newFleet(t, options...)
	snapshot := f.declare("", "a", "b")
	first, second := f.router(snapshot, quickPermits), f.router(snapshot, quickPermits)
	eventually(t, "all loaded", func() bool {
		return !slices.ContainsFunc(f.engines, func(e *engine.Engine) bool { return !has(e, "", "a", "b") })
	})
	eventually(t, "all permits are back", func() bool {
		rate, err := f.weights.WeightsRate(t.Context())
		return err == nil && rate.Fetches == 0
	})
	if most := mostLoadsAtOnce(f.engines); most != 2 {
		t.Errorf("%d loads at once, the store permits 2", most)
	}
	if first.refusals(orders.ReasonPermitDenied)+second.refusals(orders.ReasonPermitDenied) == 0 {
		t.Error("no permit was denied")
	}
}

// quickPermits shortens the pause after a denied permit.
func quickPermits(o *orders.Options) { o.Weights = impatientWeights{o.Weights} }

// impatientWeights names a short pause with each denial.
type impatientWeights struct{ store.Weights }

func (w impatientWeights) RequestFetch(ctx context.Context, fetch store.WeightFetch) (store.WeightPermit, error) {
	permit, err := w.Weights.RequestFetch(ctx, fetch)
	permit.RetryAfter /= 100
	return permit, err
}

// mostLoadsAtOnce merges the engines' journals.
func mostLoadsAtOnce(engines []*engine.Engine) int {
	var entries []journal.Entry
	for _, e := range engines {
		entries = append(entries, e.Journal().Entries()...)
	}
	slices.SortStableFunc(entries, func(a, b journal.Entry) int { return a.Wall.Compare(b.Wall) })
	most, now := 0, 0
	for _, entry := range entries {
		switch entry.Event {
		case journal.LoadStarted:
			now++
		case journal.LoadEnded:
			now--
		}
		most = max(most, now)
	}
	return most
}
