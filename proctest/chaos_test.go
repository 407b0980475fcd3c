package proctest

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/load"
	"github.com/walnutcove/walnutcove/processes"
	"github.com/walnutcove/walnutcove/standin/engine"
	standin "github.com/walnutcove/walnutcove/standin/platform"
)

// The flags of TestChaos. The environment variables WALNUT_CHAOS_SEEDS ("3,17")
// and WALNUT_CHAOS_LENGTH ("5m") set their defaults.
var (
	chaosSeeds  = flag.String("chaos.seeds", envOr("WALNUT_CHAOS_SEEDS", "1"), "seeds of the chaos runs, separated by commas")
	chaosLength = flag.String("chaos.length", envOr("WALNUT_CHAOS_LENGTH", "15s"), "length of each chaos run")
)

const (
	// maxChaosFaultTime limits how long a pair of faults stays in force.
	maxChaosFaultTime = 1200 * time.Millisecond
	// chaosCallers is the number of callers, which send requests all the time.
	chaosCallers = 12
	// chaosAnswersPerPair is how many requests must be answered after each pair
	// of faults before the next pair.
	chaosAnswersPerPair = 12
)

// envOr returns the value of an environment variable, or fallback if it is
// unset or empty.
func envOr(name, fallback string) string {
	if value := os.Getenv(name); value != "" {
		return value
	}
	return fallback
}

// TestChaos injects random pairs of faults, one pair after another, while
// callers resend requests and operators submit patches. In the end no request
// may have been lost, run twice, answered with another request's answer or
// falsely refused as "not run". Every router must be on the newest version and
// must never have returned to an older one. The seed determines the faults; a
// failed test prints the seed and a log of its actions.
func TestChaos(t *testing.T) {
	length, err := time.ParseDuration(*chaosLength)
	if err != nil {
		t.Fatal(err)
	}
	for _, text := range strings.Split(*chaosSeeds, ",") {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		t.Run("seed "+text, func(t *testing.T) {
			t.Parallel()
			runChaos(t, seed, length)
		})
	}
}

// chaos is one run of TestChaos.
type chaos struct {
	*fleet
	random *rand.Rand
	watch  *versionWatch
	// crashes counts the requests that were sent to crash a target.
	crashes int
	// down marks the routers that a fault has killed, frozen the targets that a
	// fault has frozen.
	down   [routerCount]bool
	frozen map[string]bool
}

func runChaos(t *testing.T, seed uint64, length time.Duration) {
	c := &chaos{
		fleet:  startFleet(t, options{services: 2}),
		random: rand.New(rand.NewPCG(seed, 0)),
		frozen: make(map[string]bool),
	}
	c.note("seed %d", seed)
	c.watch = c.watchVersions()
	operators := c.startOperators()
	l := c.startRetryingLoad(chaosCallers, mixedRequests("chaos"))
	l.awaitAnswered(chaosAnswersPerPair)
	pairs := 0
	for began := time.Now(); time.Since(began) < length; pairs++ {
		c.injectPair()
		l.awaitAnswered(chaosAnswersPerPair)
	}
	accepted := operators.stop()
	l.stopAndCheck()
	c.checkVersionInForce(0, 1, 2)
	c.watch.stopAndCheck()
	c.checkSameVersion()
	c.checkHistory(accepted)
	t.Logf("seed %d: %d pairs of faults, %d versions", seed, pairs, len(accepted))
}

// injectPair injects two faults, the second while the first is in force, keeps
// both for a while and ends them.
func (c *chaos) injectPair() {
	faults := c.randomFaults()
	first := c.random.IntN(len(faults))
	second := c.random.IntN(len(faults))
	for _, n := range []int{first, second} {
		c.note("fault: %s", faults[n].name)
		faults[n].inject()
		time.Sleep(time.Duration(c.random.Int64N(int64(maxChaosFaultTime / 2))))
	}
	c.recover()
}

// recover ends every fault and starts the routers that are down.
func (c *chaos) recover() {
	c.heal()
	c.forEachTarget(func(name string) { c.setTargetFaults(name, engine.Faults{}) })
	for n := range routerCount {
		if c.down[n] {
			c.down[n] = false
			c.restart(n)
		}
	}
}

// fault is one fault that a run can inject, with its name in the log of actions.
type fault struct {
	name   string
	inject func()
}

// randomFaults returns all kinds of faults, each for a randomly chosen router,
// target or direction.
func (c *chaos) randomFaults() []fault {
	router := c.random.IntN(routerCount)
	other := (router + 1 + c.random.IntN(routerCount-1)) % routerCount
	target := c.randomTarget()
	direction := []processes.Direction{processes.Upstream, processes.Downstream}[c.random.IntN(2)]
	return []fault{
		{"kill " + routerName(router), func() { c.kill(router) }},
		{"freeze " + routerName(router), func() { c.must(c.routers[router].Freeze()) }},
		{"isolate " + routerName(router), func() { c.isolate(router) }},
		{"hold " + direction.String() + " on " + c.peerProxies[router][other].Name(), func() { c.holdPeers(router, other, direction) }},
		{"cut the platform off from " + routerName(router), func() { c.platformProxies[router].Cut() }},
		{"outage", func() { c.setPlatformFaults(standin.Faults{Outage: c.randomOutage()}) }},
		{"lost replies", func() { c.setPlatformFaults(standin.Faults{LoseReplies: 10}) }},
		{"late replies", func() { c.setPlatformFaults(standin.Faults{ReplyDelayMillis: 1500}) }},
		{"cut " + target, func() { c.targetProxies[target].Cut() }},
		{"hold " + direction.String() + " to " + target, func() { c.holdProxy(c.targetProxies[target], direction) }},
		{target + " refuses", func() { c.trySetTargetFaults(target, engine.Faults{Refuse: true}) }},
		{target + " breaks answers", func() { c.trySetTargetFaults(target, engine.Faults{BreakAfterTokens: 3}) }},
		{target + " is slow", func() { c.trySetTargetFaults(target, engine.Faults{SlowFactor: 10}) }},
		{target + " hangs", func() { c.trySetTargetFaults(target, engine.Faults{HangAfterTokens: 2, Times: 3}) }},
		{target + " crashes", func() { c.crash(target) }},
		{target + " leaves", func() { c.trySetTargetFaults(target, engine.Faults{Leaving: true}) }},
		{"freeze " + target, func() { c.freezeTarget(target) }},
	}
}

func (c *chaos) randomTarget() string {
	names := []string{"engine-1", "engine-2", "service-1", "service-2"}
	return names[c.random.IntN(len(names))]
}

func (c *chaos) randomOutage() standin.Outage {
	outages := []standin.Outage{standin.OutageRefuse, standin.OutageDrop, standin.OutageHang, standin.OutageFreeze}
	return outages[c.random.IntN(len(outages))]
}

// kill kills a router unless it is down.
func (c *chaos) kill(router int) {
	if c.down[router] {
		return
	}
	c.down[router] = true
	c.routers[router].Kill()
	c.watch.checkLog(router)
}

// holdPeers holds back the data of one direction between two routers,
// whichever of them opened the session.
func (c *chaos) holdPeers(from, to int, direction processes.Direction) {
	opposite := map[processes.Direction]processes.Direction{processes.Upstream: processes.Downstream, processes.Downstream: processes.Upstream}
	c.holdProxy(c.peerProxies[from][to], direction)
	c.holdProxy(c.peerProxies[to][from], opposite[direction])
}

// holdProxy holds back the data of one direction of a proxy, unless the proxy
// holds back or delays data already.
func (c *chaos) holdProxy(p *proxy, direction processes.Direction) {
	if !p.IsImpaired() {
		p.hold(direction)
	}
}

// crash sends a request that crashes a target. Its result is not among those of
// the load, and is not checked.
func (c *chaos) crash(target string) {
	c.crashes++
	mark := fmt.Sprintf("crash-%d", c.crashes)
	kind := load.NonStreaming
	if c.declared[target].Pool == servicePool {
		kind = load.Service
	}
	if !c.trySetTargetFaults(target, engine.Faults{Poison: mark, DowntimeMillis: 300}) {
		return
	}
	c.sendAsync(c.random.IntN(routerCount), request(kind, "school", mark, 3))
}

// trySetTargetFaults sets the faults of a target unless the target is frozen: a
// frozen one cannot receive them. It reports whether it set them.
func (c *chaos) trySetTargetFaults(target string, faults engine.Faults) bool {
	if c.frozen[target] {
		return false
	}
	c.setTargetFaults(target, faults)
	return true
}

func (c *chaos) freezeTarget(target string) {
	c.frozen[target] = true
	c.must(c.targets[target].Freeze())
}

// heal thaws the targets and ends the faults of the fleet.
func (c *chaos) heal() {
	for name, target := range c.targets {
		c.must(target.Thaw())
		delete(c.frozen, name)
	}
	c.fleet.heal()
}
