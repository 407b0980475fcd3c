package managedtest

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/platform/wire"
	"github.com/walnutcove/walnutcove/processes"
	"github.com/walnutcove/walnutcove/standin/managed"
)

const (
	// shortLimit is the sooner of a request's two limits, and longLimit the later one.
	shortLimit = time.Second
	longLimit  = 6 * time.Second
	// endMargin is how much later than its limit a request may end.
	endMargin = 250 * time.Millisecond
	// hangTime is how long a target keeps an answer back.
	hangTime = 3 * time.Second
)

// hang is a way in which an answer does not come.
type hang struct {
	name   string
	faults managed.ReplicaFaults
	// silent says that nothing comes back on the way from the targets.
	silent bool
}

var hangs = []hang{
	{name: "slow target", faults: managed.ReplicaFaults{ExtraPause: hangTime}},
	{name: "silent way", silent: true},
	{name: "half an answer", faults: managed.ReplicaFaults{MidAnswerPause: hangTime}},
}

// hangingFleet is two routers before targets that do not answer in time.
func hangingFleet(t *testing.T, h hang) (f *fleet, ways []*processes.Proxy) {
	_, ip := processes.NewLoopbackIPs()
	behindWay := func(options managed.ReplicaOptions) managed.ReplicaOptions {
		options.ReplicaFaults = h.faults
		options.Advertise = func(listens string) (string, error) {
			way, err := processes.NewProxy(options.ID, ip, listens)
			if err != nil {
				return "", err
			}
			t.Cleanup(way.Close)
			ways = append(ways, way)
			return way.Address(), nil
		}
		return options
	}
	f = startFleet(t, 2, behindWay(wide("o1")), behindWay(wide("o2")), behindWay(gen("g1")), behindWay(gen("g2")))
	if h.silent {
		for _, way := range ways {
			way.Hold(processes.Downstream)
		}
	}
	return f, ways
}

// TestEveryRequestEndsInTime guards against requests that wait for their targets beyond their
// callers' deadline or their route's limit, which non-idempotent ones did for as long as the
// target took.
func TestEveryRequestEndsInTime(t *testing.T) {
	limits := []struct {
		name            string
		deadline, route time.Duration
	}{
		{"deadline of the caller", shortLimit, longLimit},
		{"limit of the route", longLimit, shortLimit},
	}
	for _, h := range hangs {
		for _, limit := range limits {
			t.Run(h.name+", "+limit.name, func(t *testing.T) {
				t.Parallel()
				f, _ := hangingFleet(t, h)
				f.configure(func(c *wire.Config) {
					for n := range c.Routes {
						c.Routes[n].Timeout = float64(limit.route.Milliseconds())
					}
				})
				f.awaitVersion()
				f.caller.Deadline = limit.deadline
				for _, path := range []string{pathOps, pathSafe, pathGen} {
					if path == pathGen && h.faults.MidAnswerPause > 0 {
						continue // streams have no half of a body
					}
					f.endsInTime(path)
				}
			})
		}
	}
}

// endsInTime checks that a request ends at its limit and ran at most once if it may not be
// repeated.
func (f *fleet) endsInTime(path string) {
	f.t.Helper()
	sent := time.Now()
	got := f.send(f.routers[0], path)
	took := time.Since(sent)
	if took > shortLimit+endMargin {
		f.t.Errorf("%s ended with status %d after %s, its limit is %s", path, got.Status, took, shortLimit)
	}
	if runs := len(f.journal.Runs(got.ID)); path == pathOps && runs != 1 {
		f.t.Errorf("%s ran %d times", path, runs)
	}
	if path == pathOps && slices.Contains([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout}, got.Status) {
		f.t.Errorf("%s ran and was told status %d, not run", path, got.Status)
	}
}

// awaitVersion waits until the newest version is in force at every router.
func (f *fleet) awaitVersion() {
	f.t.Helper()
	for _, r := range f.routers {
		f.eventually(2*soon, "the newest version at each router", func() bool { return uint64(r.InForce().Version) == f.version })
	}
}

// TestAnswerRightBeforeTheDeadlineIsDelivered guards against giving a request up while its
// answer is on its way.
func TestAnswerRightBeforeTheDeadlineIsDelivered(t *testing.T) {
	const sooner = 50 * time.Millisecond
	slow := wide("o1")
	slow.Pause = shortLimit - sooner
	f := startFleet(t, 1, slow)
	f.caller.Deadline = shortLimit
	for _, path := range []string{pathOps, pathSafe} {
		if got := f.send(f.routers[0], path); got.Status != http.StatusOK || got.Body != managed.ExpectedAnswer(got.ID) {
			t.Errorf("%s: status %d, %q", path, got.Status, got.Body)
		}
	}
}

// TestRunGoesOnBehindItsCallersEnd guards against cancelling what may not be repeated, and
// against a target's slots being taken as free, or kept for ever, when its caller got its end
// before the run did.
func TestRunGoesOnBehindItsCallersEnd(t *testing.T) {
	slow := wide("o1")
	slow.Slots = 1
	slow.ExtraPause = hangTime
	f := startFleet(t, 1, slow)
	f.caller.Deadline = shortLimit
	got := f.send(f.routers[0], pathOps)
	if got.Status != http.StatusGatewayTimeout {
		t.Errorf("status %d, %s", got.Status, got.Body)
	}
	f.replicas[0].SetFaults(managed.ReplicaFaults{})
	f.caller.Deadline = deadline
	sent := time.Now()
	next := f.send(f.routers[0], pathOps)
	if waited := time.Since(sent); next.Status != http.StatusOK || waited < hangTime-shortLimit-endMargin {
		t.Errorf("the next request got status %d after %s, while the run before goes on", next.Status, waited)
	}
	if run := f.journal.Runs(got.ID); len(run) != 1 || run[0].Cancelled {
		t.Errorf("runs %+v", run)
	}
	if arrivals := f.journal.Arrivals("o1"); len(arrivals) != 2 {
		t.Errorf("%d requests reached the target: %+v", len(arrivals), arrivals)
	}
}

// TestShutdownWaitsForRunsBehindTheirCallersEnd guards against a graceful end of a router that
// cuts what may not be repeated.
func TestShutdownWaitsForRunsBehindTheirCallersEnd(t *testing.T) {
	slow := wide("o1")
	slow.ExtraPause = hangTime
	f := startFleet(t, 1, slow)
	f.caller.Deadline = shortLimit
	sent := time.Now()
	got := f.send(f.routers[0], pathOps)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if err := f.routers[0].Shutdown(ctx); err != nil {
		t.Error(err)
	}
	if took := time.Since(sent); took < hangTime {
		t.Errorf("the router ended after %s, while a run of %s went on", took, hangTime)
	}
	if run := f.journal.Runs(got.ID); len(run) != 1 || run[0].Cancelled {
		t.Errorf("runs %+v", run)
	}
}
