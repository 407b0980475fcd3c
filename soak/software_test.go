package soak

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/walnutcove/walnutcove/platform/wire"
	"github.com/walnutcove/walnutcove/standin/managed"
)

const (
	// enginesOfTwoVersions is the number of engines in a run with two software versions.
	enginesOfTwoVersions = 4
	// maxReconnects is how often a caller reconnects to a stream.
	maxReconnects = 2
	// streamsAtKill is the number of streams at a router that is killed, and
	// minContinuedRatio the least part of them that must continue at others.
	streamsAtKill     = 40
	minContinuedRatio = 0.5
)

// softwareVersions are the versions of the engines.
var softwareVersions = []string{"v1", "v2"}

// TestSoakSoftware is TestSoak with engines of two software versions, and callers that
// reconnect to their streams. It guards against streams that continue at another version than the
// one that began them.
func TestSoakSoftware(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) { soak(t, seed, soakOptions{software: true}) })
}

// reconnect reconnects to a stream until it has ended or maxReconnects is reached.
func (c *checker) reconnect(random *rand.Rand, first sentRequest) {
	last := first.answer.LastEvent()
	for range maxReconnects {
		if last == "" || last == lastEventID {
			return
		}
		next := c.send(random, sentRequest{path: first.path, first: first.answer.ID, after: last})
		if event := next.answer.LastEvent(); event != "" {
			last = event
		}
	}
}

// lastEventID is the id of the last event of each stream.
var lastEventID = strconv.Itoa(events)

// checkSoftware checks that no stream has events of two software versions. The version that
// began it is that of the replica whose seal its first answer bears.
func (c *checker) checkSoftware() {
	software := make(map[string]string) // by replica
	runs := make(map[string][]managed.Run)
	for _, run := range c.journal.Runs("") {
		software[run.Replica] = run.Software
		runs[run.ID] = append(runs[run.ID], run)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	began := make(map[string]string) // by the id of the first request
	reconnected, continued := 0, 0
	for _, request := range c.requests {
		if request.path != pathStream || request.answer.LastEvent() == "" && request.first == "" {
			continue
		}
		first := request.first
		if first == "" {
			first = request.answer.ID
			began[first] = software[strings.TrimPrefix(request.answer.Header.Get(wire.HeaderSeal), "seal-")]
		} else if reconnected++; request.answer.LastEvent() != "" {
			continued++
		}
		for _, run := range runs[request.answer.ID] {
			if run.AfterEvent != "" && began[first] != "" && run.Software != began[first] {
				c.t.Errorf("stream %s began at %s, and %s continued it at %s after event %s", first, began[first], run.ID, run.Software, run.AfterEvent)
			}
		}
	}
	c.t.Logf("%d streams began, %d requests reconnected to one, %d of them continued", len(began), reconnected, continued)
}

// checkReconnectAfterKill kills a router in the middle of its streams while no faults are active,
// and reconnects to them at the others. It guards against a fleet that forgets with a router which
// version began a stream.
func (c *checker) checkReconnectAfterKill() {
	killed := c.routers[0]
	answers := make(chan managed.Answer, streamsAtKill)
	request := managed.Request{Path: pathStream, Key: managed.DemoKey, StopAfter: 3}
	for range streamsAtKill {
		go func() { answers <- c.caller.SendRequest(c.t.Context(), killed.Settings.Listen.Callers, request) }()
	}
	var begun []managed.Answer
	for range streamsAtKill {
		if answer := <-answers; answer.LastEvent() != "" {
			begun = append(begun, answer)
		}
	}
	killed.Kill()
	continued := 0
	for n, first := range begun {
		r := c.routers[1+n%(len(c.routers)-1)]
		taken := managed.Request{Path: pathStream, Key: managed.DemoKey, Resumes: first.ID, AfterEvent: first.LastEvent()}
		if got := c.caller.SendRequest(c.t.Context(), r.Settings.Listen.Callers, taken); got.Status == http.StatusOK && got.LastEvent() == lastEventID {
			continued++
		}
	}
	c.restart(killed)
	c.must(killed.WaitReady())
	c.t.Logf("%d of %d streams continued after their router was killed", continued, len(begun))
	if float64(continued) < minContinuedRatio*float64(len(begun)) {
		c.t.Errorf("%d of %d streams continued after their router was killed", continued, len(begun))
	}
}
