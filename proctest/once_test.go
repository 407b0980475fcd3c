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

// TestOnceWhenRepliesAreLost loses the store's replies after its writes took
// effect, and lets the store fail in other ways, while callers resend.
func TestOnceWhenRepliesAreLost(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{})
	l := f.startPersistent(6, services("lost", 20))
	l.more(10)
	for _, faults := range []standin.Faults{
		{LoseReplies: 20, LoseTablePrefix: runrecord.Table},
		{LoseReplies: 20, LoseTablePrefix: runrecord.Table, DelayMillis: 50},
		{ReplyDelayMillis: 1500}, // longer than the routers wait
		{Outage: standin.OutageFreeze},
		{Outage: standin.OutageDrop},
	} {
		f.platformFaults(faults)
		f.holdShortly()
		f.eventually("the lost replies were lost", func() bool {
			var now standin.Faults
			f.must(get("http://"+f.platform.Address+"/_fault", &now))
			return now.LoseReplies == 0
		})
		f.platformFaults(standin.Faults{})
		l.more(20)
	}
	l.judge()
}

// TestOnceAtManyRouters sends each request to all routers at once.
func TestOnceAtManyRouters(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{})
	all := &results{}
	const requests = 40
	for n := range requests {
		r := request(load.Service, "school", fmt.Sprintf("many-%d", n), 5)
		var outcomes []<-chan load.Result
		for router := range routerCount {
			outcomes = append(outcomes, f.send(router, r))
		}
		for _, outcome := range outcomes {
			all.add(<-outcome)
		}
	}
	t.Logf("%v", all)
	f.judge(all.list())
	if starts := f.judgeOnce(); len(starts) != requests {
		t.Errorf("%d of %d requests ran", len(starts), requests)
	}
}

// TestOnceWhenTheRouterDiesDuringTheRun kills the router that dispatched, and
// lets the caller resend to each of the others, and to it after its restart.
func TestOnceWhenTheRouterDiesDuringTheRun(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{})
	r := request(load.Service, "school", "killed-running", 400)
	first := f.send(0, r)
	f.awaitStart("the call", "service-1")
	f.note("kill %s", routerName(0))
	f.routers[0].Kill()
	all := &results{}
	all.add(<-first)
	f.resendEverywhere(r, all, 1, 2)
	f.restart(0)
	f.must(f.routers[0].WaitReady())
	f.resendEverywhere(r, all, 0)
	for router := range routerCount {
		f.eventually("the caller is told that the call may have run", func() bool {
			got := <-f.send(router, r)
			all.add(got)
			return hasCode(result.RecordUnknown)(got)
		})
	}
	t.Logf("%v", all)
	f.judge(all.list())
	if starts := f.judgeOnce()[r.IdempotencyKey]; starts != 1 {
		t.Errorf("the call ran %d times", starts)
	}
}

// TestOnceWhenTheRouterDiesBeforeDispatch kills a router after it wrote the
// run record and before it had a target.
func TestOnceWhenTheRouterDiesBeforeDispatch(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{serviceSlots: 1})
	release := f.fillService()
	r := request(load.Service, "school", "killed-waiting", 5)
	first := f.send(0, r)
	f.awaitRecord(r)
	f.routers[0].Kill()
	all := &results{}
	all.add(<-first)
	f.resendEverywhere(r, all, 1, 2)
	release()
	f.resendEverywhere(r, all, 1, 2)
	t.Logf("%v", all)
	f.judge(all.list())
}

// TestOnceWhenTheHolderIsFrozen freezes a router that holds a record and has
// not dispatched, lets the others get the same request, and thaws it. Only it
// may run the request.
func TestOnceWhenTheHolderIsFrozen(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{serviceSlots: 1})
	release := f.fillService()
	r := request(load.Service, "school", "frozen-waiting", 5)
	first := f.send(0, r)
	f.awaitRecord(r)
	f.note("freeze %s", routerName(0))
	f.must(f.routers[0].Freeze())
	all := &results{}
	f.resendEverywhere(r, all, 1, 2)
	release()
	f.awaitQuiet()
	f.resendEverywhere(r, all, 1, 2)
	f.note("thaw %s", routerName(0))
	f.must(f.routers[0].Thaw())
	all.add(<-first)
	f.resendEverywhere(r, all, 0, 1, 2)
	t.Logf("%v", all)
	f.judge(all.list())
}

// TestOnceWhenTheClaimIsFrozen freezes a router while its claim is on its way
// to the store. The claim takes effect; the router wakes later and finds out.
func TestOnceWhenTheClaimIsFrozen(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{})
	all := &results{}
	all.add(<-f.send(0, request(load.Service, "school", "warm-up", 5)))
	f.platformFaults(standin.Faults{Outage: standin.OutageFreeze})
	r := request(load.Service, "school", "frozen-claim", 5)
	first := f.send(0, r)
	f.holdShortly()
	f.must(f.routers[0].Freeze())
	f.platformFaults(standin.Faults{})
	f.awaitRecord(r)
	f.resendEverywhere(r, all, 1, 2)
	f.must(f.routers[0].Thaw())
	all.add(<-first)
	f.resendEverywhere(r, all, 0, 1, 2)
	t.Logf("%v", all)
	f.judge(all.list())
}

// resendEverywhere sends a request to routers at once and waits for all.
func (f *fleet) resendEverywhere(r load.Request, all *results, routers ...int) {
	var outcomes []<-chan load.Result
	for _, router := range routers {
		outcomes = append(outcomes, f.send(router, r))
	}
	for _, outcome := range outcomes {
		all.add(<-outcome)
	}
}

// fillService occupies the only slot of the service by a call that hangs,
// until the returned function lets go.
func (f *fleet) fillService() (release func()) {
	f.t.Helper()
	f.targetFaults("service-1", engine.Faults{Hang: true, Times: 1})
	blocker := f.send(2, request(load.Service, "bakery", "blocker", 5))
	f.awaitStart("the blocking call", "service-1")
	return func() {
		f.t.Helper()
		f.note("cut the blocking call")
		f.targetWays["service-1"].Cut()
		<-blocker
		f.targetWays["service-1"].heal()
	}
}

// awaitRecord waits until the store holds the run record of a request.
func (f *fleet) awaitRecord(r load.Request) {
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
