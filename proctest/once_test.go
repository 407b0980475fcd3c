package proctest

import (
	"fmt"
	"net/url"
	"testing"

	"github.com/walnutcove/walnutcove/load"
	"github.com/walnutcove/walnutcove/result"
	"github.com/walnutcove/walnutcove/runrecord"
	"github.com/walnutcove/walnutcove/standin/engine"
	standin "github.com/walnutcove/walnutcove/standin/platform"
	"github.com/walnutcove/walnutcove/store"
)

// TestRunsOnceWhenRepliesAreLost guards against non-idempotent requests that run
// twice because a router does not learn that its write of the run record took
// effect. The store's replies are lost or late after its writes took effect, and
// the store fails in other ways, while callers resend.
func TestRunsOnceWhenRepliesAreLost(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{})
	l := f.startRetryingLoad(6, serviceRequests("lost", 20))
	l.awaitAnswered(10)
	for _, faults := range []standin.Faults{
		{LoseReplies: 20, LoseTablePrefix: runrecord.Table},
		{LoseReplies: 20, LoseTablePrefix: runrecord.Table, DelayMillis: 50},
		{ReplyDelayMillis: 1500}, // longer than the routers wait
		{Outage: standin.OutageFreeze},
		{Outage: standin.OutageDrop},
	} {
		f.setPlatformFaults(faults)
		f.pauseBriefly()
		f.eventually("the platform has lost as many replies as it should", func() bool {
			var now standin.Faults
			f.must(get("http://"+f.platform.Address+"/_fault", &now))
			return now.LoseReplies == 0
		})
		f.setPlatformFaults(standin.Faults{})
		l.awaitAnswered(20)
	}
	l.stopAndCheck()
}

// TestRunsOnceWhenSentToManyRouters sends each non-idempotent request to all
// routers at the same time.
func TestRunsOnceWhenSentToManyRouters(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{})
	all := &results{}
	const requests = 40
	for n := range requests {
		r := request(load.Service, "school", fmt.Sprintf("many-%d", n), 5)
		var outcomes []<-chan load.Result
		for router := range routerCount {
			outcomes = append(outcomes, f.sendAsync(router, r))
		}
		for _, outcome := range outcomes {
			all.add(<-outcome)
		}
	}
	t.Logf("%v", all)
	f.checkResults(all.list())
	if starts := f.checkAtMostOnce(); len(starts) != requests {
		t.Errorf("%d of %d requests ran", len(starts), requests)
	}
}

// TestRunsOnceWhenTheRouterDiesDuringTheRun kills the router that dispatched a
// request, and lets the caller resend it to each other router, and to the killed
// one after its restart.
func TestRunsOnceWhenTheRouterDiesDuringTheRun(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{})
	r := request(load.Service, "school", "killed-running", 400)
	first := f.sendAsync(0, r)
	f.awaitStart("the call", "service-1")
	f.note("kill %s", routerName(0))
	f.routers[0].Kill()
	all := &results{}
	all.add(<-first)
	f.resendAt(r, all, 1, 2)
	f.restart(0)
	f.must(f.routers[0].WaitReady())
	f.resendAt(r, all, 0)
	for router := range routerCount {
		f.eventually("the caller is told that the call may have run", func() bool {
			got := <-f.sendAsync(router, r)
			all.add(got)
			return refusedWith(result.RecordUnknown)(got)
		})
	}
	t.Logf("%v", all)
	f.checkResults(all.list())
	if starts := f.checkAtMostOnce()[r.IdempotencyKey]; starts != 1 {
		t.Errorf("the call ran %d times", starts)
	}
}

// TestRunsOnceWhenTheRouterDiesBeforeDispatch kills a router after it wrote the
// run record and before it got a target for the request.
func TestRunsOnceWhenTheRouterDiesBeforeDispatch(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{serviceSlots: 1})
	release := f.fillService()
	r := request(load.Service, "school", "killed-waiting", 5)
	first := f.sendAsync(0, r)
	f.awaitRunRecord(r)
	f.routers[0].Kill()
	all := &results{}
	all.add(<-first)
	f.resendAt(r, all, 1, 2)
	release()
	f.resendAt(r, all, 1, 2)
	t.Logf("%v", all)
	f.checkResults(all.list())
}

// TestRunsOnceWhenTheRecordHolderIsFrozen freezes a router that holds a run
// record and has not dispatched the request, sends the same request to the other
// routers, and thaws it. Only that router may run the request.
func TestRunsOnceWhenTheRecordHolderIsFrozen(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{serviceSlots: 1})
	release := f.fillService()
	r := request(load.Service, "school", "frozen-waiting", 5)
	first := f.sendAsync(0, r)
	f.awaitRunRecord(r)
	f.note("freeze %s", routerName(0))
	f.must(f.routers[0].Freeze())
	all := &results{}
	f.resendAt(r, all, 1, 2)
	release()
	f.awaitIdleTargets()
	f.resendAt(r, all, 1, 2)
	f.note("thaw %s", routerName(0))
	f.must(f.routers[0].Thaw())
	all.add(<-first)
	f.resendAt(r, all, 0, 1, 2)
	t.Logf("%v", all)
	f.checkResults(all.list())
}

// TestRunsOnceWhenTheRouterFreezesDuringItsClaim freezes a router while its
// claim of the run record is on its way to the store. The claim takes effect;
// the router learns that only once it is thawed.
func TestRunsOnceWhenTheRouterFreezesDuringItsClaim(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{})
	all := &results{}
	all.add(<-f.sendAsync(0, request(load.Service, "school", "warm-up", 5)))
	f.setPlatformFaults(standin.Faults{Outage: standin.OutageFreeze})
	r := request(load.Service, "school", "frozen-claim", 5)
	first := f.sendAsync(0, r)
	f.pauseBriefly()
	f.must(f.routers[0].Freeze())
	f.setPlatformFaults(standin.Faults{})
	f.awaitRunRecord(r)
	f.resendAt(r, all, 1, 2)
	f.must(f.routers[0].Thaw())
	all.add(<-first)
	f.resendAt(r, all, 0, 1, 2)
	t.Logf("%v", all)
	f.checkResults(all.list())
}

// resendAt sends a request to several routers at the same time and waits for all
// results.
func (f *fleet) resendAt(r load.Request, all *results, routers ...int) {
	var outcomes []<-chan load.Result
	for _, router := range routers {
		outcomes = append(outcomes, f.sendAsync(router, r))
	}
	for _, outcome := range outcomes {
		all.add(<-outcome)
	}
}

// fillService occupies the only slot of the service with a call that hangs. The
// returned function ends that call.
func (f *fleet) fillService() (release func()) {
	f.t.Helper()
	f.setTargetFaults("service-1", engine.Faults{Hang: true, Times: 1})
	blocker := f.sendAsync(2, request(load.Service, "bakery", "blocker", 5))
	f.awaitStart("the blocking call", "service-1")
	return func() {
		f.t.Helper()
		f.note("cut the blocking call")
		f.targetProxies["service-1"].Cut()
		<-blocker
		f.targetProxies["service-1"].heal()
	}
}

// awaitRunRecord waits until the store holds the run record of a request.
func (f *fleet) awaitRunRecord(r load.Request) {
	f.t.Helper()
	query := url.Values{
		"table": {runrecord.Table},
		"key":   {runrecord.RowKey(r.Workspace, r.IdempotencyKey)},
	}
	f.eventually("the store has the run record of "+r.Mark, func() bool {
		var row store.Row
		return get("http://"+f.platform.Address+store.PathRow+"?"+query.Encode(), &row) == nil
	})
	f.note("the store has the run record of %s", r.Mark)
}
