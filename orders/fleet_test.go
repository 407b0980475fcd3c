package orders_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/goleak"

	"github.com/walnutcove/walnutcove/config"
	configstore "github.com/walnutcove/walnutcove/config/store"
	"github.com/walnutcove/walnutcove/orders"
	"github.com/walnutcove/walnutcove/standin/engine"
	"github.com/walnutcove/walnutcove/standin/journal"
	"github.com/walnutcove/walnutcove/store"
	"github.com/walnutcove/walnutcove/store/memory"
	"github.com/walnutcove/walnutcove/targets"
)

// testTimeout bounds every wait for a condition. No check depends on its value.
const testTimeout = 30 * time.Second

// TestMain fails if goroutines are leaked. The two that are ignored belong to
// fasthttp: its clock never ends, and its worker cleaner ends within 10 s.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
	)
}

// fleet is a table of configuration versions, a weight store and stand-in engines.
type fleet struct {
	t        *testing.T
	versions *configstore.Store
	weights  *memory.Weights
	client   *targets.HTTPClient
	engines  []*engine.Engine
	names    []string
	newest   *config.Snapshot
}

// newFleet starts engines and declares them as targets, without a declared state, in
// version 1.
func newFleet(t *testing.T, engines ...engine.Options) *fleet {
	t.Helper()
	backing := memory.New(memory.Options{})
	f := &fleet{
		t:        t,
		versions: configstore.New(backing, backing.Objects(), configstore.Options{}),
		weights:  memory.NewWeights(memory.WeightsOptions{MaxFetches: 2}),
		client:   targets.NewHTTPClient(targets.Options{}),
		newest:   config.Empty(),
	}
	t.Cleanup(f.versions.Wait)
	t.Cleanup(func() { _ = f.client.Close() })
	declared := make(map[string]config.Target)
	for n, options := range engines {
		options.Name = fmt.Sprintf("engine-%d", n+1)
		e := engine.New(options)
		address, err := e.Start("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(e.Close)
		f.engines = append(f.engines, e)
		f.names = append(f.names, options.Name)
		declared[options.Name] = config.Target{
			Pool: "draft", DataCentre: "ikeja", Address: address, Slots: 1, ChecksFencing: options.ChecksFencing,
		}
	}
	f.submitPatch(map[string]any{
		"pools":   map[string]any{"draft": map[string]any{"kind": "engine", "models": []string{"small"}}},
		"targets": declared,
	})
	return f
}

// submitPatch creates the next version and returns it.
func (f *fleet) submitPatch(changes any) *config.Snapshot {
	f.t.Helper()
	encoded, err := json.Marshal(changes)
	if err != nil {
		f.t.Fatal(err)
	}
	patch := config.Patch{ID: config.NewPatchID(), Base: f.newest.Version, Changes: encoded}
	accepted, err := f.versions.Submit(context.Background(), f.newest, patch)
	if err != nil {
		f.t.Fatal(err)
	}
	f.newest, err = f.versions.CatchUp(context.Background(), f.newest)
	if err != nil || f.newest.Version != accepted.Entry.Version {
		f.t.Fatalf("version %d: %v", accepted.Entry.Version, err)
	}
	return f.newest
}

// declareStates declares the same state for every engine, in the next version.
func (f *fleet) declareStates(role string, models ...string) *config.Snapshot {
	f.t.Helper()
	changes := make(map[string]any)
	for _, name := range f.names {
		changes[name] = map[string]any{"role": role, "load_models": models}
	}
	return f.submitPatch(map[string]any{"targets": changes})
}

// reconciler is the reconciler of one router, with its metrics.
type reconciler struct {
	*orders.Reconciler
	set *metrics.Set
}

// startRouter starts a reconciler with a version, for every engine. edit may change
// its options; it may be nil.
func (f *fleet) startRouter(snapshot *config.Snapshot, edit func(*orders.Options)) reconciler {
	f.t.Helper()
	set := metrics.NewSet()
	options := orders.Options{
		Client:        f.client,
		Versions:      f.versions,
		Weights:       f.weights,
		CheckInterval: 20 * time.Millisecond,
		RecheckDelay:  5 * time.Millisecond,
		MaxBackoff:    50 * time.Millisecond,
		Metrics:       set,
	}
	// Most tests are not about these timeouts, which must not expire on a busy machine.
	options.ConfirmationTTL = testTimeout
	options.Timeout = testTimeout / 3
	if edit != nil {
		edit(&options)
	}
	r := reconciler{orders.New(options), set}
	f.t.Cleanup(r.Close)
	r.SetTargets(f.names)
	r.SetConfig(snapshot)
	return r
}

// refusals returns the router's refusal counter for one reason.
func (r reconciler) refusals(reason orders.Reason) uint64 {
	return r.set.GetOrCreateCounter(fmt.Sprintf("walnut_orders_refusals_total{reason=%q}", string(reason))).Get()
}

// eventually waits for a condition.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for limit := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

// isInState reports whether an engine has a role and exactly these models loaded.
func isInState(e *engine.Engine, role string, models ...string) bool {
	state := e.Orders()
	slices.Sort(state.Models)
	return state.Role == role && slices.Equal(state.Models, models)
}

// acceptedFences returns the fencing numbers of the orders that an engine accepted,
// in order.
func acceptedFences(e *engine.Engine) []uint64 {
	var fences []uint64
	for _, entry := range e.Journal().Entries() {
		if entry.Event == journal.Order && entry.Outcome == journal.Accepted {
			fences = append(fences, entry.Fence)
		}
	}
	return fences
}

// onceHook runs a function at the first of the calls that a test intercepts.
type onceHook struct {
	once sync.Once
	call func()
}

func (h *onceHook) run() { h.once.Do(h.call) }

// movableClock is a clock that a test can advance.
type movableClock struct {
	mu     sync.Mutex
	offset time.Duration
}

func (c *movableClock) now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Add(c.offset)
}

func (c *movableClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offset += d
}

// hookedVersions runs after[n] when the n-th read, counted from 1, has been answered.
type hookedVersions struct {
	orders.Versions
	mu    sync.Mutex
	reads int
	after map[int]func()
}

func (v *hookedVersions) Entry(ctx context.Context, version config.Version) (config.Entry, error) {
	entry, err := v.Versions.Entry(ctx, version)
	v.mu.Lock()
	v.reads++
	after := v.after[v.reads]
	v.mu.Unlock()
	if after != nil {
		after()
	}
	return entry, err
}

// switchableVersions is a table that a test can make unavailable.
type switchableVersions struct {
	orders.Versions
	mu          sync.Mutex
	unavailable bool
}

func (v *switchableVersions) setUnavailable(unavailable bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.unavailable = unavailable
}

func (v *switchableVersions) Entry(ctx context.Context, version config.Version) (config.Entry, error) {
	v.mu.Lock()
	unavailable := v.unavailable
	v.mu.Unlock()
	if unavailable {
		return config.Entry{}, store.ErrUnavailable
	}
	return v.Versions.Entry(ctx, version)
}

// hookedWeights runs a hook before a permit is requested.
type hookedWeights struct {
	store.Weights
	hook *onceHook
}

func (w hookedWeights) RequestFetch(ctx context.Context, fetch store.WeightFetch) (store.WeightPermit, error) {
	w.hook.run()
	return w.Weights.RequestFetch(ctx, fetch)
}

// hookedClient runs a hook before an order is sent.
type hookedClient struct {
	orders.Client
	hook *onceHook
}

func (c hookedClient) GiveOrder(ctx context.Context, address string, order targets.Order, fence uint64) error {
	c.hook.run()
	return c.Client.GiveOrder(ctx, address, order, fence)
}

// firstOutOfOrder returns the first fencing number that is lower than the one before
// it; zero if there is none.
func firstOutOfOrder(fences []uint64) uint64 {
	for i := 1; i < len(fences); i++ {
		if fences[i] < fences[i-1] {
			return fences[i]
		}
	}
	return 0
}

// giveOrderDirectly sends an order to an engine without a reconciler.
func (f *fleet) giveOrderDirectly(n int, order targets.Order, fence uint64) {
	f.t.Helper()
	address := f.newest.Declarations.Targets[f.names[n]].Address
	if err := f.client.GiveOrder(context.Background(), address, order, fence); err != nil {
		f.t.Fatal(err)
	}
}
