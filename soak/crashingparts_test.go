package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/standin/managed"
)

const (
	// crashingPart is a prompt part that crashes engines, and soundPart one that requests with
	// it have in common with others.
	crashingPart, soundPart = "bad1", "50f7"
	// enginesThatCrash is the number of engines in a run with crashing parts, and engineDownTime
	// how long each is down after a crash.
	enginesThatCrash = 6
	engineDownTime   = 700 * time.Millisecond
	// crashingPause is the pause between two requests with the crashing part.
	crashingPause = 150 * time.Millisecond
	// convictTime is how long after the last fault requests with the part may still reach
	// engines, and calmTime how long it is then checked that they do not: maxCalmRuns at most.
	convictTime = 3 * time.Second
	calmTime    = 3 * time.Second
	maxCalmRuns = 3
)

// TestSoakCrashingParts is TestSoak with requests that share a part of their prompts which crashes
// engines. It guards against such requests that crash engines on and on, and against refusing
// others that share their first part.
func TestSoakCrashingParts(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) { soak(t, seed, soakOptions{crashingParts: true}) })
}

// crashEngineOptions returns the options of an engine that crashes on the part.
func (f *fleet) crashEngineOptions(options managed.ReplicaOptions) managed.ReplicaOptions {
	options.CrashOnPart = crashingPart
	options.OnCrash = func(r *managed.Replica) {
		f.note("%s crashes", r.ID())
		time.AfterFunc(engineDownTime, r.Restart)
	}
	return options
}

// sendCrashing sends requests with the crashing part to random routers until the callers stop.
func (c *checker) sendCrashing() {
	random := rand.New(rand.NewPCG(1, 2))
	for n := 0; c.ctx.Err() == nil; n++ {
		r := c.routers[random.IntN(len(c.routers))]
		c.workers.Go(func() {
			c.caller.SendRequest(c.ctx, r.Settings.Listen.Callers, managed.Request{
				Path: pathStream, Key: managed.DemoKey, Parts: fmt.Sprintf("%s:80,%s:40,%x:20", soundPart, crashingPart, n),
			})
		})
		time.Sleep(crashingPause)
	}
}

// checkCrashingParts checks, while no faults are active, that requests with the part do not reach
// engines any more and that others with the same first part are served.
func (c *checker) checkCrashingParts() {
	time.Sleep(convictTime)
	from := time.Now()
	served, all := 0, 0
	for time.Since(from) < calmTime {
		r := c.routers[all%len(c.routers)]
		request := managed.Request{Path: pathStream, Key: managed.DemoKey, Parts: fmt.Sprintf("%s:80,%x:20", soundPart, 1<<32+all)}
		if c.caller.SendRequest(c.t.Context(), r.Settings.Listen.Callers, request).Status == http.StatusOK {
			served++
		}
		all++
	}
	late := 0
	for _, run := range c.journal.Runs("") {
		if strings.Contains(run.Parts, crashingPart) && run.StartedAt.After(from) {
			late++
		}
	}
	c.t.Logf("%d runs with the crashing part %s after the last fault and later, %d of %d others served", late, convictTime, served, all)
	if late > maxCalmRuns {
		c.t.Errorf("%d runs with the crashing part within %s", late, calmTime)
	}
	if 2*served < all {
		c.t.Errorf("%d of %d requests with the same first part were served", served, all)
	}
}
