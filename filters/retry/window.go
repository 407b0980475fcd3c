package retry

import (
	"sync"
	"time"
)

const (
	// bucketsPerWindow is the number of time buckets in a window.
	bucketsPerWindow = 20
	// bucketsKept is one more than that: requests are summed over the buckets that lie
	// fully inside the window, retries also over the one that lies partly inside, so
	// that no window holds more retries than the limits allow.
	bucketsKept = bucketsPerWindow + 1
)

// maxWorkspaceFraction is the fraction of a pool's retries that one workspace may use,
// so that a workspace whose requests all fail leaves retries to the others.
const maxWorkspaceFraction = 0.5

// Limits bound the retries of a pool at this router: any window may hold Slack retries
// plus Ratio for each request in the window.
type Limits struct {
	Ratio, Slack float64
	// FirstRatio applies instead of Ratio and Slack in the first window of a process: the
	// process before it may have used all that this router had.
	FirstRatio float64
	Window     time.Duration
}

// usedShare is the share of the fleet's limits that routers use. The rest is a reserve: members
// come and go, and it is what processes may use in their first window.
const usedShare = 0.8

// Share returns the part of the fleet's limits l that one of a number of routers may use. It
// has no slack if the number is zero, which means that it is not known.
func (l Limits) Share(routers int) Limits {
	part := Limits{Ratio: usedShare * l.Ratio, FirstRatio: (1 - usedShare) * l.Ratio, Window: l.Window}
	if routers > 0 {
		part.Slack = usedShare * l.Slack / float64(routers)
	}
	return part
}

// allowed returns how many retries a window with this number of requests may hold.
func (l Limits) allowed(isFirst bool, requests float64) float64 {
	if isFirst {
		return l.FirstRatio * requests
	}
	return l.Slack + l.Ratio*requests
}

// windowBudget is a budget that counts requests and retries in a sliding window.
type windowBudget struct {
	limits  func() Limits
	now     func() time.Time
	started time.Time

	mu    sync.Mutex
	pools map[string]*poolWindow
}

// poolWindow counts the requests and retries of one pool. It is a ring of time buckets;
// each bucket records the period that it holds.
type poolWindow struct {
	buckets [bucketsKept]windowBucket
}

// windowBucket counts the requests and retries of one period, which lasts a
// bucketsPerWindow-th part of the window.
type windowBucket struct {
	// period is the number of the period since windowOrigin.
	period            int64
	requests, retries float64
	// retriesByWorkspace counts the retries of each workspace.
	retriesByWorkspace map[string]float64
}

func newWindowBudget(limits func() Limits, now func() time.Time) *windowBudget {
	return &windowBudget{limits: limits, now: now, started: now(), pools: make(map[string]*poolWindow)}
}

// windowOrigin is the start of period 0, on the monotonic clock.
var windowOrigin = time.Now()

// currentBucket returns a pool's window, its current bucket and the current period.
func (w *windowBudget) currentBucket(pool string, window time.Duration) (*poolWindow, *windowBucket, int64) {
	p := w.pools[pool]
	if p == nil {
		p = &poolWindow{}
		w.pools[pool] = p
	}
	period := int64(w.now().Sub(windowOrigin) / (window / bucketsPerWindow))
	b := &p.buckets[period%bucketsKept]
	if b.period != period {
		*b = windowBucket{period: period, retriesByWorkspace: make(map[string]float64)}
	}
	if b.retriesByWorkspace == nil {
		b.retriesByWorkspace = make(map[string]float64)
	}
	return p, b, period
}

// recordRequest counts one request in the current bucket.
func (w *windowBudget) recordRequest(pool, _ string) {
	limits := w.limits()
	w.mu.Lock()
	defer w.mu.Unlock()
	_, b, _ := w.currentBucket(pool, limits.Window)
	b.requests++
}

// takeRetry takes one retry. It returns false if none is left.
func (w *windowBudget) takeRetry(pool, workspace string) bool {
	limits := w.limits()
	w.mu.Lock()
	defer w.mu.Unlock()
	p, b, period := w.currentBucket(pool, limits.Window)
	if !w.allows(limits, p, period, workspace) {
		return false
	}
	b.retries++
	b.retriesByWorkspace[workspace]++
	return true
}

// hasRetry reports whether takeRetry would return true.
func (w *windowBudget) hasRetry(pool, workspace string) bool {
	limits := w.limits()
	w.mu.Lock()
	defer w.mu.Unlock()
	p, _, period := w.currentBucket(pool, limits.Window)
	return w.allows(limits, p, period, workspace)
}

// allows reports whether a pool's window that ends with a period may hold one more retry of a
// workspace.
func (w *windowBudget) allows(limits Limits, p *poolWindow, period int64, workspace string) bool {
	var requests, retries, workspaceRetries float64
	for _, other := range p.buckets {
		if period-other.period < bucketsPerWindow {
			requests += other.requests
		}
		if period-other.period < bucketsKept {
			retries += other.retries
			workspaceRetries += other.retriesByWorkspace[workspace]
		}
	}
	allowed := limits.allowed(w.now().Sub(w.started) < limits.Window, requests)
	return retries+1 <= allowed && workspaceRetries+1 <= max(1, maxWorkspaceFraction*allowed)
}
