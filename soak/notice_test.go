package soak

import (
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/platform/wire"
	"github.com/walnutcove/walnutcove/standin/managed"
)

const (
	// holdOff is what a replica asks of routers whose requests it turns away.
	holdOff = 3 * time.Second
	// noticeBound is how long a router may take to do as an answer asks.
	noticeBound = 500 * time.Millisecond
	// mostRefuseEvery bounds of how many requests such a replica refuses one.
	mostRefuseEvery = 8
)

// TestSoakNotices is TestSoak with replicas that say in their answers, and nowhere else, that
// they leave or want no requests for a while.
func TestSoakNotices(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) { soak(t, seed, soakOptions{notices: true}) })
}

// sayLeaving has a replica say that it leaves, in its answers alone, and replaces it.
func (f *faults) sayLeaving() (string, func() bool) {
	r := f.anyReplica()
	if r == nil {
		return "", nil
	}
	r.AnnounceLeaving()
	f.addReplica(managed.ReplicaOptions{Service: r.options.Service, Slots: r.options.Slots, Pause: r.options.Pause, Events: r.options.Events})
	return r.options.ID, func() bool { f.dropReplica(r); return true }
}

// turnAway has a replica turn some requests away and ask for a hold-off.
func (f *faults) turnAway() (string, func() bool) {
	r := f.anyReplica()
	if r == nil {
		return "", nil
	}
	r.SetFaults(managed.ReplicaFaults{RefuseEvery: 1 + f.random.IntN(mostRefuseEvery), RetryAfter: holdOff})
	return r.options.ID, func() bool { r.SetFaults(managed.ReplicaFaults{}); return true }
}

// judgeNotices has one replica say that it leaves and another one ask for hold-offs while no
// faults are active. It guards against routers that go on sending to them.
func (j *judge) judgeNotices() {
	leaving, shedding := j.replicas[0], j.replicas[1]
	leaving.AnnounceLeaving()
	shedding.SetFaults(managed.ReplicaFaults{RefuseEvery: 2, RetryAfter: holdOff})
	begin := time.Now()
	time.Sleep(holdOff + quietTime)
	shedding.SetFaults(managed.ReplicaFaults{})
	router, heard := j.heardLeaving(leaving.ID(), begin)
	for _, arrival := range j.journal.Arrivals(leaving.ID()) {
		at, said := heard[router[arrival.ID]]
		if said && arrival.At.After(at.Add(noticeBound)) {
			j.t.Errorf("%s reached %s %s after %s had passed on that it leaves", arrival.ID, arrival.Replica, arrival.At.Sub(at), router[arrival.ID])
			break
		}
	}
	j.judgeHoldOffs(shedding.ID(), begin, router)
}

// heardLeaving returns the router of each request sent since begin, and when each router passed
// on the first answer in which a replica says that it leaves.
func (j *judge) heardLeaving(replica string, begin time.Time) (router map[string]string, heard map[string]time.Time) {
	router, heard = make(map[string]string), make(map[string]time.Time)
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, one := range j.all {
		if one.sentAt.Before(begin) {
			continue
		}
		router[one.answer.ID] = one.router
		saysSo := one.answer.Header.Get(wire.HeaderLeaving) != "" && one.answer.Header.Get(wire.HeaderSeal) == "seal-"+replica
		if at, known := heard[one.router]; saysSo && (!known || one.endedAt.Before(at)) {
			heard[one.router] = one.endedAt
		}
	}
	return router, heard
}

// judgeHoldOffs checks that a replica got nothing from a router that it had asked to hold off.
func (j *judge) judgeHoldOffs(replica string, begin time.Time, router map[string]string) {
	asked := make(map[string]time.Time)
	for _, arrival := range j.journal.Arrivals(replica) {
		from, known := router[arrival.ID]
		if !known || arrival.At.Before(begin) {
			continue
		}
		since := arrival.At.Sub(asked[from])
		if since > noticeBound && since < holdOff {
			j.t.Errorf("%s reached %s from %s %s after it had asked for %s", arrival.ID, replica, from, since, holdOff)
			return
		}
		if arrival.RetryAfter > 0 {
			asked[from] = arrival.At
		}
	}
}
