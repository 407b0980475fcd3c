package retry

import (
	"fmt"
	"testing"
	"time"
)

// retryFleet is a fleet of routers with window budgets, in which every request fails.
type retryFleet struct {
	limits   Limits // of the whole fleet
	now      time.Time
	budgets  []*windowBudget
	requests []time.Time
	retries  []time.Time
}

const (
	fleetRouters           = 8
	fleetRequestsPerSecond = 125
)

func newRetryFleet() *retryFleet {
	f := &retryFleet{
		limits:  Limits{Ratio: 0.2, Slack: 56, Window: 10 * time.Second},
		now:     time.Now(),
		budgets: make([]*windowBudget, fleetRouters),
	}
	for i := range f.budgets {
		f.restart(i)
	}
	return f
}

// restart replaces the budget of a router by that of a new process.
func (f *retryFleet) restart(router int) {
	share := func() Limits { return f.limits.Share(fleetRouters) }
	f.budgets[router] = newWindowBudget(share, func() time.Time { return f.now })
}

// run passes requests of many workspaces to all routers. Those that fail are retried if the
// budget allows it.
func (f *retryFleet) run(d time.Duration, fails bool) {
	const step = time.Second / fleetRequestsPerSecond
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		n := len(f.requests)
		budget, workspace := f.budgets[n%fleetRouters], fmt.Sprint(n/fleetRouters%50)
		budget.recordRequest("pool", workspace)
		f.requests = append(f.requests, f.now)
		for fails && budget.takeRetry("pool", workspace) {
			f.retries = append(f.retries, f.now)
		}
	}
}

// check fails if the retries of a window exceed the fleet's limits, by the requests of that
// window, of the one before or of the one half a window before.
func (f *retryFleet) check(t *testing.T) {
	t.Helper()
	within := func(times []time.Time, begin time.Time) (count float64) {
		for _, at := range times {
			if !at.Before(begin) && at.Before(begin.Add(f.limits.Window)) {
				count++
			}
		}
		return count
	}
	if len(f.retries) == 0 {
		t.Error("no retries were made")
	}
	for _, begin := range f.retries {
		earned := max(within(f.requests, begin), within(f.requests, begin.Add(-f.limits.Window/2)), within(f.requests, begin.Add(-f.limits.Window)))
		if taken, limit := within(f.retries, begin), f.limits.Slack+f.limits.Ratio*earned; taken > limit {
			t.Fatalf("%.0f retries for %.0f requests, at most %.1f", taken, earned, limit)
		}
	}
}

// TestRestartsDoNotRenewBudget guards against retries beyond the fleet's budget when routers
// restart while requests fail: a new process does not know what its predecessor used.
func TestRestartsDoNotRenewBudget(t *testing.T) {
	for name, interval := range map[string]time.Duration{"often": 1500 * time.Millisecond, "once a window": 9 * time.Second, "seldom": 12 * time.Second} {
		t.Run(name, func(t *testing.T) {
			f := newRetryFleet()
			f.run(20*time.Second, false)
			for range 6 {
				f.run(200*time.Millisecond, true)
				for router := range fleetRouters {
					f.restart(router)
				}
				f.run(interval, true)
			}
			f.check(t)
		})
	}
}

// TestRestartsInTurnDoNotRenewBudget guards against the same when routers restart one after
// another.
func TestRestartsInTurnDoNotRenewBudget(t *testing.T) {
	f := newRetryFleet()
	f.run(20*time.Second, false)
	for n := range 10 * fleetRouters {
		f.run(300*time.Millisecond, true)
		f.restart(n % fleetRouters)
	}
	f.check(t)
}
