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

// The flags of TestChaos. WALNUT_CHAOS_SEEDS ("3,17") and WALNUT_CHAOS_LENGTH
// ("5m") say the same.
var (
	chaosSeeds  = flag.String("chaos.seeds", environment("WALNUT_CHAOS_SEEDS", "1"), "seeds of the chaos runs, with commas")
	chaosLength = flag.String("chaos.length", environment("WALNUT_CHAOS_LENGTH", "15s"), "length of each chaos run")
)

const (
	// chaosHold is the longest time that a pair of faults stands.
	chaosHold = 1200 * time.Millisecond
	// chaosCallers send requests all the time.
	chaosCallers = 12
	// chaosProgress is how many requests must be answered after each pair.
	chaosProgress = 12
)

func environment(name, otherwise string) string {
	if value := os.Getenv(name); value != "" {
		return value
	}
	return otherwise
}

// TestChaos brings about random pairs of faults, one pair after another, under
// callers that resend and operators that patch. In the end no request is lost,
// doubled, crossed or falsely "not run", and every router is on the newest
// version and never went back. The seed decides the faults; a failed test
// prints it and the journal of what was done.
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

// chaos is one run.
type chaos struct {
	*fleet
	random  *rand.Rand
	watch   *versionWatch
	crashes int
	// down are the routers that a fault has ended, frozen the targets that one
	// has stopped.
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
	l := c.startPersistent(chaosCallers, mixed("chaos"))
	l.more(chaosProgress)
	pairs := 0
	for began := time.Now(); time.Since(began) < length; pairs++ {
		c.pair()
		l.more(chaosProgress)
	}
	accepted := operators.end()
	l.judge()
	c.inForce(0, 1, 2)
	c.watch.judge()
	c.judgeSame()
	c.judgeHistory(accepted)
	t.Logf("seed %d: %d pairs of faults, %d versions", seed, pairs, len(accepted))
}

// pair brings two faults about, the second while the first stands, lets both
// stand for a while and ends them.
func (c *chaos) pair() {
	faults := c.faults()
	first := c.random.IntN(len(faults))
	second := c.random.IntN(len(faults))
	for _, n := range []int{first, second} {
		c.note("fault: %s", faults[n].name)
		faults[n].bring()
		time.Sleep(time.Duration(c.random.Int64N(int64(chaosHold / 2))))
	}
	c.recover()
}

// recover ends every fault and starts the routers that are down.
func (c *chaos) recover() {
	c.heal()
	c.everyTarget(func(name string) { c.targetFaults(name, engine.Faults{}) })
	for n := range routerCount {
		if c.down[n] {
			c.down[n] = false
			c.restart(n)
		}
	}
}

// fault is something that the run can bring about.
type fault struct {
	name  string
	bring func()
}

// faults are what can be brought about, with their parts chosen at random.
func (c *chaos) faults() []fault {
	router := c.random.IntN(routerCount)
	other := (router + 1 + c.random.IntN(routerCount-1)) % routerCount
	target := c.anyTarget()
	direction := []processes.Direction{processes.Upstream, processes.Downstream}[c.random.IntN(2)]
	return []fault{
		{"kill " + routerName(router), func() { c.kill(router) }},
		{"freeze " + routerName(router), func() { c.must(c.routers[router].Freeze()) }},
		{"isolate " + routerName(router), func() { c.isolate(router) }},
		{"hold " + direction.String() + " on " + c.peers[router][other].Name(), func() { c.holdPeers(router, other, direction) }},
		{"cut the platform from " + routerName(router), func() { c.platformWays[router].Cut() }},
		{"outage", func() { c.platformFaults(standin.Faults{Outage: c.anyOutage()}) }},
		{"lost replies", func() { c.platformFaults(standin.Faults{LoseReplies: 10}) }},
		{"late replies", func() { c.platformFaults(standin.Faults{ReplyDelayMillis: 1500}) }},
		{"cut " + target, func() { c.targetWays[target].Cut() }},
		{"hold " + direction.String() + " to " + target, func() { c.holdWay(c.targetWays[target], direction) }},
		{target + " refuses", func() { c.disturb(target, engine.Faults{Refuse: true}) }},
		{target + " breaks answers", func() { c.disturb(target, engine.Faults{BreakAfterTokens: 3}) }},
		{target + " is slow", func() { c.disturb(target, engine.Faults{SlowFactor: 10}) }},
		{target + " hangs", func() { c.disturb(target, engine.Faults{HangAfterTokens: 2, Times: 3}) }},
		{target + " crashes", func() { c.crash(target) }},
		{target + " leaves", func() { c.disturb(target, engine.Faults{Leaving: true}) }},
		{"freeze " + target, func() { c.freezeTarget(target) }},
	}
}

func (c *chaos) anyTarget() string {
	names := []string{"engine-1", "engine-2", "service-1", "service-2"}
	return names[c.random.IntN(len(names))]
}

func (c *chaos) anyOutage() standin.Outage {
	outages := []standin.Outage{standin.OutageRefuse, standin.OutageDrop, standin.OutageHang, standin.OutageFreeze}
	return outages[c.random.IntN(len(outages))]
}

// kill ends a router that still runs.
func (c *chaos) kill(router int) {
	if c.down[router] {
		return
	}
	c.down[router] = true
	c.routers[router].Kill()
	c.watch.judgeLog(router)
}

// holdPeers holds one direction between two routers, whoever opened the session.
func (c *chaos) holdPeers(from, to int, direction processes.Direction) {
	opposite := map[processes.Direction]processes.Direction{processes.Upstream: processes.Downstream, processes.Downstream: processes.Upstream}
	c.holdWay(c.peers[from][to], direction)
	c.holdWay(c.peers[to][from], opposite[direction])
}

// holdWay holds a direction of a way that is not held yet.
func (c *chaos) holdWay(w *way, direction processes.Direction) {
	if !w.IsImpaired() {
		w.hold(direction)
	}
}

// crash lets a request crash a target. Its caller is not part of the load.
func (c *chaos) crash(target string) {
	c.crashes++
	mark := fmt.Sprintf("crash-%d", c.crashes)
	kind := load.NonStreaming
	if c.declared[target].Pool == servicePool {
		kind = load.Service
	}
	if !c.disturb(target, engine.Faults{Poison: mark, DowntimeMillis: 300}) {
		return
	}
	c.send(c.random.IntN(routerCount), request(kind, "school", mark, 3))
}

// disturb sets the faults of a target. A frozen one can take none.
func (c *chaos) disturb(target string, faults engine.Faults) bool {
	if c.frozen[target] {
		return false
	}
	c.targetFaults(target, faults)
	return true
}

func (c *chaos) freezeTarget(target string) {
	c.frozen[target] = true
	c.must(c.targets[target].Freeze())
}

// heal also thaws the targets.
func (c *chaos) heal() {
	for name, target := range c.targets {
		c.must(target.Thaw())
		delete(c.frozen, name)
	}
	c.fleet.heal()
}
