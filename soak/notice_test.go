package soak

import (
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/platform/wire"
	"github.com/walnutcove/walnutcove/standin/managed"
)

const (
	// holdOff is how long a replica asks routers to wait when it refuses a request.
	holdOff = 3 * time.Second
	// maxNoticeDelay is how long a router may take to act on what an answer announces.
	maxNoticeDelay = 500 * time.Millisecond
	// maxRefuseEvery limits ReplicaFaults.RefuseEvery: a replica that refuses some requests
	// refuses at least one in this many.
	maxRefuseEvery = 8
)

// TestSoakNotices is TestSoak with replicas that announce only in their answers that they leave
// or want no requests for a while.
func TestSoakNotices(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) { soak(t, seed, soakOptions{notices: true}) })
}

// announceLeaving has a replica announce only in its answers that it leaves, and starts another
// one. The replica ends with the fault.
func (f *faultInjector) announceLeaving() (string, func() bool) {
	r := f.randomFreeReplica()
	if r == nil {
		return "", nil
	}
	r.AnnounceLeaving()
	f.addReplica(managed.ReplicaOptions{Service: r.options.Service, Slots: r.options.Slots, Pause: r.options.Pause, Events: r.options.Events})
	return r.options.ID, func() bool { f.dropReplica(r); return true }
}

// refuseSome has a replica refuse some requests and ask for a hold-off.
func (f *faultInjector) refuseSome() (string, func() bool) {
	r := f.randomFreeReplica()
	if r == nil {
		return "", nil
	}
	r.SetFaults(managed.ReplicaFaults{RefuseEvery: 1 + f.random.IntN(maxRefuseEvery), RetryAfter: holdOff})
	return r.options.ID, func() bool { r.SetFaults(managed.ReplicaFaults{}); return true }
}

// checkNotices has one replica announce that it leaves and another one ask for hold-offs while
// no faults are active. It guards against routers that keep sending requests to them.
func (c *checker) checkNotices() {
	leaving, shedding := c.replicas[0], c.replicas[1]
	leaving.AnnounceLeaving()
	shedding.SetFaults(managed.ReplicaFaults{RefuseEvery: 2, RetryAfter: holdOff})
	begin := time.Now()
	time.Sleep(holdOff + inFlightTime)
	shedding.SetFaults(managed.ReplicaFaults{})
	routerOf, answeredAt := c.leavingAnswers(leaving.ID(), begin)
	for _, arrival := range c.journal.Arrivals(leaving.ID()) {
		at, known := answeredAt[routerOf[arrival.ID]]
		if known && arrival.At.After(at.Add(maxNoticeDelay)) {
			c.t.Errorf("%s reached %s %s after %s had passed on that it leaves", arrival.ID, arrival.Replica, arrival.At.Sub(at), routerOf[arrival.ID])
			break
		}
	}
	c.checkHoldOffs(shedding.ID(), begin, routerOf)
}

// leavingAnswers returns the router of each request sent since begin, and when each router passed
// on the first answer in which a replica announces that it leaves. The seal of an answer names its
// replica.
func (c *checker) leavingAnswers(replica string, begin time.Time) (routerOf map[string]string, answeredAt map[string]time.Time) {
	routerOf, answeredAt = make(map[string]string), make(map[string]time.Time)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, request := range c.requests {
		if request.sentAt.Before(begin) {
			continue
		}
		routerOf[request.answer.ID] = request.router
		saysSo := request.answer.Header.Get(wire.HeaderLeaving) != "" && request.answer.Header.Get(wire.HeaderSeal) == "seal-"+replica
		if at, known := answeredAt[request.router]; saysSo && (!known || request.endedAt.Before(at)) {
			answeredAt[request.router] = request.endedAt
		}
	}
	return routerOf, answeredAt
}

// checkHoldOffs checks that a replica got no requests from a router that it had asked to hold
// off.
func (c *checker) checkHoldOffs(replica string, begin time.Time, routerOf map[string]string) {
	asked := make(map[string]time.Time)
	for _, arrival := range c.journal.Arrivals(replica) {
		from, known := routerOf[arrival.ID]
		if !known || arrival.At.Before(begin) {
			continue
		}
		since := arrival.At.Sub(asked[from])
		if since > maxNoticeDelay && since < holdOff {
			c.t.Errorf("%s reached %s from %s %s after it had asked for a hold-off of %s", arrival.ID, replica, from, since, holdOff)
			return
		}
		if arrival.RetryAfter > 0 {
			asked[from] = arrival.At
		}
	}
}
