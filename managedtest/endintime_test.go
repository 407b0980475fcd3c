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
	// shortLimit is the earlier of a request's two time limits, longLimit the later one.
	shortLimit = time.Second
	longLimit  = 6 * time.Second
	// endMargin is how long after its limit a request may end.
	endMargin = 250 * time.Millisecond
	// stallTime is how long a target delays an answer.
	stallTime = 3 * time.Second
)

// stall is a fault that keeps an answer from coming.
type stall struct {
	name   string
	faults managed.ReplicaFaults
	// holdAnswers holds back all data from the targets.
	holdAnswers bool
}

var stalls = []stall{
	{name: "slow target", faults: managed.ReplicaFaults{ExtraPause: stallTime}},
	{name: "answers held back", holdAnswers: true},
	{name: "partial answer", faults: managed.ReplicaFaults{MidAnswerPause: stallTime}},
}

// startStallingFleet starts two routers with targets that do not answer in time.
func startStallingFleet(t *testing.T, s stall) (f *fleet, proxies []*processes.Proxy) {
	_, ip := processes.NewLoopbackIPs()
	behindProxy := func(options managed.ReplicaOptions) managed.ReplicaOptions {
		options.ReplicaFaults = s.faults
		options.Advertise = func(listens string) (string, error) {
			proxy, err := processes.NewProxy(options.ID, ip, listens)
			if err != nil {
				return "", err
			}
			t.Cleanup(proxy.Close)
			proxies = append(proxies, proxy)
			return proxy.Address(), nil
		}
		return options
	}
	f = startFleet(t, 2, behindProxy(opsReplicaForAllSenders("o1")), behindProxy(opsReplicaForAllSenders("o2")), behindProxy(genReplica("g1")), behindProxy(genReplica("g2")))
	if s.holdAnswers {
		for _, proxy := range proxies {
			proxy.Hold(processes.Downstream)
		}
	}
	return f, proxies
}

// TestEveryRequestEndsInTime guards against requests that wait for their targets beyond their
// caller's deadline or their route's limit. Non-idempotent requests once waited for as long as
// the target took.
func TestEveryRequestEndsInTime(t *testing.T) {
	limits := []struct {
		name            string
		deadline, route time.Duration
	}{
		{"deadline of the caller", shortLimit, longLimit},
		{"limit of the route", longLimit, shortLimit},
	}
	for _, s := range stalls {
		for _, limit := range limits {
			t.Run(s.name+", "+limit.name, func(t *testing.T) {
				t.Parallel()
				f, _ := startStallingFleet(t, s)
				f.publishConfig(func(c *wire.Config) {
					for n := range c.Routes {
						c.Routes[n].Timeout = float64(limit.route.Milliseconds())
					}
				})
				f.awaitVersion()
				f.caller.Deadline = limit.deadline
				for _, path := range []string{pathNonIdempotent, pathIdempotent, pathStream} {
					if path == pathStream && s.faults.MidAnswerPause > 0 {
						continue // this fault does not affect streams
					}
					f.checkEndsInTime(path)
				}
			})
		}
	}
}

// checkEndsInTime checks that a request ends at its limit. It also checks that a non-idempotent
// request ran exactly once and was not refused as not run.
func (f *fleet) checkEndsInTime(path string) {
	f.t.Helper()
	sent := time.Now()
	got := f.send(f.routers[0], path)
	took := time.Since(sent)
	if took > shortLimit+endMargin {
		f.t.Errorf("%s ended with status %d after %s, its limit is %s", path, got.Status, took, shortLimit)
	}
	if runs := len(f.journal.Runs(got.ID)); path == pathNonIdempotent && runs != 1 {
		f.t.Errorf("%s ran %d times", path, runs)
	}
	if path == pathNonIdempotent && slices.Contains([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout}, got.Status) {
		f.t.Errorf("%s ran, but was refused as not run with status %d", path, got.Status)
	}
}

// awaitVersion waits until the newest version is in force at every router.
func (f *fleet) awaitVersion() {
	f.t.Helper()
	for _, r := range f.routers {
		f.eventually(2*maxUpdateDelay, "the newest version is in force at each router", func() bool { return uint64(r.InForce().Version) == f.version })
	}
}

// TestAnswerRightBeforeTheDeadlineIsDelivered guards against giving up a request whose answer
// comes shortly before its deadline.
func TestAnswerRightBeforeTheDeadlineIsDelivered(t *testing.T) {
	const margin = 50 * time.Millisecond
	slow := opsReplicaForAllSenders("o1")
	slow.Pause = shortLimit - margin
	f := startFleet(t, 1, slow)
	f.caller.Deadline = shortLimit
	for _, path := range []string{pathNonIdempotent, pathIdempotent} {
		if got := f.send(f.routers[0], path); got.Status != http.StatusOK || got.Body != managed.ExpectedAnswer(got.ID) {
			t.Errorf("%s: status %d, %q", path, got.Status, got.Body)
		}
	}
}

// TestRunContinuesAfterItsCallerTimedOut guards against cancelling a non-idempotent run whose
// caller was answered with a timeout before the run ended, and against treating the slot of
// such a run as free too early, or as occupied for ever.
func TestRunContinuesAfterItsCallerTimedOut(t *testing.T) {
	slow := opsReplicaForAllSenders("o1")
	slow.Slots = 1
	slow.ExtraPause = stallTime
	f := startFleet(t, 1, slow)
	f.caller.Deadline = shortLimit
	got := f.send(f.routers[0], pathNonIdempotent)
	if got.Status != http.StatusGatewayTimeout {
		t.Errorf("status %d, %s", got.Status, got.Body)
	}
	f.replicas[0].SetFaults(managed.ReplicaFaults{})
	f.caller.Deadline = requestDeadline
	sent := time.Now()
	next := f.send(f.routers[0], pathNonIdempotent)
	if waited := time.Since(sent); next.Status != http.StatusOK || waited < stallTime-shortLimit-endMargin {
		t.Errorf("the next request got status %d after %s, while the previous run continued", next.Status, waited)
	}
	if runs := f.journal.Runs(got.ID); len(runs) != 1 || runs[0].Cancelled {
		t.Errorf("runs %+v, want one that is not cancelled", runs)
	}
	if arrivals := f.journal.Arrivals("o1"); len(arrivals) != 2 {
		t.Errorf("%d requests reached the target: %+v", len(arrivals), arrivals)
	}
}

// TestShutdownWaitsForRunsWhoseCallersTimedOut guards against a graceful shutdown that cuts a
// non-idempotent run whose caller was already answered with a timeout.
func TestShutdownWaitsForRunsWhoseCallersTimedOut(t *testing.T) {
	slow := opsReplicaForAllSenders("o1")
	slow.ExtraPause = stallTime
	f := startFleet(t, 1, slow)
	f.caller.Deadline = shortLimit
	sent := time.Now()
	got := f.send(f.routers[0], pathNonIdempotent)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if err := f.routers[0].Shutdown(ctx); err != nil {
		t.Error(err)
	}
	if took := time.Since(sent); took < stallTime {
		t.Errorf("the router shut down after %s, before the end of a run of %s", took, stallTime)
	}
	if runs := f.journal.Runs(got.ID); len(runs) != 1 || runs[0].Cancelled {
		t.Errorf("runs %+v, want one that is not cancelled", runs)
	}
}
