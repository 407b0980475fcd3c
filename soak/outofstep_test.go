package soak

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/processes"
	"github.com/walnutcove/walnutcove/standin/managed"
)

const (
	// streamLife is for how long streams may be continued on the routes of these tests. A router that has listed the
	// targets for less does not continue a stream that its caller does not name.
	streamLife = 30 * time.Second
	// joinTime is more than it takes until routers send requests to a replica that has joined.
	joinTime = 2 * time.Second
	// streamsAtOnce is how many streams are taken up at a time.
	streamsAtOnce = 40
)

// takenUpStream is a stream that is broken off and taken up again.
type takenUpStream struct {
	named   bool
	path    string // differs, as a request that is the same as one that has met crashes may be refused
	first   managed.Answer
	answers []managed.Answer
}

// TestRouterOutOfStepDoesNotMixVersions guards against streams that continue at another software version because the router at
// which they are taken up was cut off or paused while replicas of the version that began them joined.
func TestRouterOutOfStepDoesNotMixVersions(t *testing.T) {
	for _, test := range []struct {
		name      string
		outOfStep func(*fleet, *router) (end func())
		oldLeaves bool
	}{
		{"paused", (*fleet).pause, false},
		{"paused, old version leaves", (*fleet).pause, true},
		{"cut off from the routers", (*fleet).cutOffFromRouters, false},
		{"cut off from the store", (*fleet).cutOffFromStore, false},
		{"cut off from all", (*fleet).cutOffFromAll, false},
		{"cut off from all, old version leaves", (*fleet).cutOffFromAll, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, 3, soakOptions{})
			c := &takeUps{fleet: f, caller: managed.NewCaller("stream", requestDeadline)}
			defer c.caller.Close()
			late := f.routers[2]
			time.Sleep(streamLife + joinTime)
			end := test.outOfStep(f, late)
			old := f.engines()
			for range len(old) {
				f.addReplica(managed.ReplicaOptions{Service: managed.DemoEngine, Software: "v2", Slots: engineSlots, Pause: eventPause, Events: events})
			}
			time.Sleep(joinTime)
			streams := c.begin(f.routers[:2])
			if test.oldLeaves {
				for _, r := range old {
					f.dropReplica(r)
				}
			}
			wait := c.takeUp(late, streams)
			time.Sleep(joinTime / 4) // while a paused router does not answer
			end()
			wait()
			for range 3 {
				c.takeUp(late, streams)()
			}
			time.Sleep(2 * joinTime)
			c.takeUp(late, streams)()
			c.check(streams, test.oldLeaves)
		})
	}
}

func (f *fleet) pause(r *router) func() {
	f.must(r.Freeze())
	return func() { f.must(r.Thaw()) }
}

func (f *fleet) cutOffFromRouters(r *router) func() {
	var proxies []*processes.Proxy
	for _, other := range f.routers {
		if other != r {
			proxies = append(proxies, r.peerProxies[other.Name], other.peerProxies[r.Name])
		}
	}
	return f.cut(proxies)
}

func (f *fleet) cutOffFromStore(r *router) func() { return f.cut([]*processes.Proxy{r.storeProxy}) }

func (f *fleet) cut(proxies []*processes.Proxy) func() {
	for _, proxy := range proxies {
		proxy.Cut()
	}
	return func() {
		for _, proxy := range proxies {
			f.must(proxy.Heal())
		}
	}
}

func (f *fleet) cutOffFromAll(r *router) func() {
	endRouters, endStore := f.cutOffFromRouters(r), f.cutOffFromStore(r)
	return func() { endRouters(); endStore() }
}

// engines returns the replicas that answer with streams.
func (f *fleet) engines() []*replica {
	var engines []*replica
	for _, r := range f.replicas {
		if r.options.Service == managed.DemoEngine {
			engines = append(engines, r)
		}
	}
	return engines
}

// takeUps sends the requests of streams.
type takeUps struct {
	*fleet
	caller *managed.Caller
}

// begin begins streams at routers. Their callers close their connections after three events.
func (c *takeUps) begin(routers []*router) []takenUpStream {
	c.t.Helper()
	streams := make([]takenUpStream, streamsAtOnce)
	var callers sync.WaitGroup
	for n := range streams {
		callers.Go(func() {
			streams[n].named, streams[n].path = n%2 == 0, fmt.Sprint(pathStream, "-", n)
			request := managed.Request{Path: streams[n].path, Key: managed.DemoKey, StopAfter: 3}
			streams[n].first = c.caller.SendRequest(c.t.Context(), routers[n%len(routers)].Settings.Listen.Callers, request)
		})
	}
	callers.Wait()
	return streams
}

// takeUp begins to take all streams up at a router. The function that it returns waits for the answers.
func (c *takeUps) takeUp(r *router, streams []takenUpStream) (wait func()) {
	var callers sync.WaitGroup
	for n := range streams {
		s := &streams[n]
		callers.Go(func() {
			request := managed.Request{Path: s.path, Key: managed.DemoKey, AfterEvent: s.first.LastEvent()}
			if s.named {
				request.Resumes = s.first.ID
			}
			s.answers = append(s.answers, c.caller.SendRequest(c.t.Context(), r.Settings.Listen.Callers, request))
		})
	}
	return callers.Wait
}

// check checks that all runs of a stream were of the software version that began it, and that the callers who name their streams
// get half of them continued once the router is in step again, if their version serves.
func (c *takeUps) check(streams []takenUpStream, oldLeft bool) {
	c.t.Helper()
	began := make(map[string]int)
	wanted, continued := 0, 0
	for _, s := range streams {
		runs := c.journal.Runs(s.first.ID)
		if s.first.LastEvent() == "" || len(runs) == 0 {
			continue
		}
		software := runs[0].Software
		began[software]++
		for _, answer := range s.answers {
			for _, run := range c.journal.Runs(answer.ID) {
				if run.Software != software {
					c.t.Errorf("stream %s, named %v, began at %s and continued at %s", s.first.ID, s.named, software, run.Software)
				}
			}
		}
		if s.named && (software == "v2" || !oldLeft) {
			wanted++
			if last := s.answers[len(s.answers)-1]; last.Status == http.StatusOK {
				continued++
			}
		}
	}
	c.t.Logf("began at %v; %d of %d named streams continued in the end", began, continued, wanted)
	if began["v2"] == 0 || 2*continued < wanted {
		c.t.Errorf("%d streams began at the new version, %d of %d continued", began["v2"], continued, wanted)
	}
}
