package control

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// chaos is one random schedule of faults over a fleet under load.
type chaos struct {
	*sim
	t       *rapid.T
	members []Member
	load    workload
	opts    Options
	down    map[NodeID]bool
	left    map[NodeID]bool
	side    map[NodeID]int
}

func newChaos(t *rapid.T) *chaos {
	c := &chaos{
		sim:  newSim(rapid.Uint64().Draw(t, "seed")),
		t:    t,
		down: make(map[NodeID]bool),
		left: make(map[NodeID]bool),
		side: make(map[NodeID]int),
	}
	c.loss = rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "loss")
	c.doubling = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "doubling")
	c.opts.Policy = rapid.SampledFrom([]Policy{PolicyShardQueue, PolicyShardQueue, PolicyAlone}).Draw(t, "policy")
	c.service = func(*simRequest) time.Duration { return time.Duration(50+c.rng.IntN(1500)) * time.Millisecond }
	c.cut = func(from, to NodeID) bool { return c.side[from] != c.side[to] }
	c.load = workload{
		workspaces: map[string]float64{"a": 1, "b": 1, "c": 3},
		perCentre:  rapid.IntRange(1, 2).Draw(t, "targets"),
		slots:      rapid.IntRange(1, 4).Draw(t, "slots"),
		centres:    centres[:rapid.IntRange(1, 3).Draw(t, "centres")],
	}
	count := rapid.IntRange(1, 5).Draw(t, "nodes")
	c.fleet(count, c.load.snapshot(), c.opts, c.load.centres...)
	for _, id := range c.names {
		c.members = append(c.members, Member{Node: id, DataCentre: c.nodes[id].dataCentre})
	}
	return c
}

func (c *chaos) node(label string) NodeID { return rapid.SampledFrom(c.names).Draw(c.t, label) }

func (c *chaos) arrivals() {
	id := c.node("entry")
	if c.down[id] {
		return
	}
	workspace := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(c.t, "workspace")
	for range rapid.IntRange(1, 30).Draw(c.t, "burst") {
		r := c.arrive(id, workspace, "draft", time.Duration(1+c.rng.IntN(30))*time.Second)
		if c.rng.IntN(10) == 0 {
			c.after(time.Duration(c.rng.IntN(3000))*time.Millisecond, func() { c.cancel(r) })
		}
	}
}

// cancel acts as a caller that goes away while its request waits.
func (c *chaos) cancel(r *simRequest) {
	n := c.nodes[r.node]
	if r.done || r.dispatches > 0 || n.inc != r.inc || !n.up || n.frozen {
		return
	}
	c.step(n, RequestCancelled{Request: r.id})
	if !r.done { // the step may have ended it at its deadline
		c.finish(r, "cancelled")
	}
}

func (c *chaos) stopOrStart() {
	id := c.node("node")
	switch {
	case !c.down[id]:
		c.stop(id)
		c.down[id] = true
	default:
		c.start(id, c.load.snapshot(), c.members, c.opts)
		delete(c.down, id)
		delete(c.left, id)
	}
}

func (c *chaos) pause() {
	id := c.node("node")
	if c.down[id] || c.nodes[id].frozen {
		return
	}
	inc := c.nodes[id].inc
	c.freeze(id)
	c.after(time.Duration(c.rng.IntN(8000))*time.Millisecond, func() {
		if c.nodes[id].inc == inc && c.nodes[id].frozen {
			c.unfreeze(id)
		}
	})
}

func (c *chaos) drain() {
	id := c.node("node")
	if !c.down[id] && !c.left[id] {
		c.left[id] = true
		c.step(c.nodes[id], DrainStarted{})
	}
}

func (c *chaos) partition() {
	id := c.node("node")
	c.side[id] = 1 - c.side[id]
}

func (c *chaos) crashTarget() {
	names := sortedKeys(c.targets)
	t := c.targets[rapid.SampledFrom(names).Draw(c.t, "target")]
	if !t.up {
		t.up = true
		return
	}
	t.up = false
	for _, r := range append(slices.Clone(t.running), t.queue...) {
		r.gone = true
		c.leave(t, r)
		c.endRun(r, OutcomeLost)
	}
}

// heal ends all faults and gives the fleet time to finish.
func (c *chaos) heal() {
	clear(c.side)
	c.loss, c.doubling = 0, 0
	for _, t := range c.targets {
		t.up = true
	}
	for _, id := range c.names {
		if c.nodes[id].frozen && c.nodes[id].up {
			c.unfreeze(id)
		}
	}
	c.runUntil(c.now + 60*time.Second)
}

func (c *chaos) check() {
	for _, f := range c.faults {
		c.t.Fatal(f)
	}
	for _, r := range c.requests {
		n := c.nodes[r.node]
		if !r.done && n.up && n.inc == r.inc {
			c.t.Fatalf("request %d of %s at %s has not ended: dispatched %d times", r.id, r.workspace, r.node, r.dispatches)
		}
	}
	for _, id := range c.names {
		c.checkNode(id)
	}
}

// checkNode fails if a node still holds anything after all work has ended.
func (c *chaos) checkNode(id NodeID) {
	n := c.nodes[id]
	if !n.up {
		return
	}
	if c.left[id] && !n.drained {
		c.t.Fatalf("%s has not drained", id)
	}
	status := n.machine.Status()
	for _, s := range status.Shards {
		if s.Granted+s.Queued > 0 {
			c.t.Fatalf("%s still holds %d grants and %d tickets of %v", id, s.Granted, s.Queued, s.Shard)
		}
		for _, target := range s.Targets {
			if target.Granted != 0 {
				c.t.Fatalf("%s counts %d grants at %s", id, target.Granted, target.Target)
			}
		}
	}
	if err := c.orphans(n.machine); err != "" {
		c.t.Fatalf("%s: %s", id, err)
	}
}

// orphans tells of records that nothing refers to any more.
func (c *chaos) orphans(m *Machine) string {
	if n := len(m.entry.requests) + len(m.entry.runs) + len(m.entry.latestRun) + len(m.entry.workspaces) + len(m.entry.waitingByPool); n > 0 {
		return fmt.Sprintf("the entry part holds %d records", n)
	}
	if n := len(m.sched.grants) + len(m.sched.byNode); n > 0 {
		return fmt.Sprintf("the scheduler holds %d records", n)
	}
	for name, w := range m.sched.workspaces {
		if w.waiting != 0 || w.running != 0 || w.account.Running() != 0 {
			return fmt.Sprintf("workspace %s counts %d waiting, %d running", name, w.waiting, w.running)
		}
	}
	return ""
}

// TestEveryRequestEndsOnce runs random schedules of arrivals, cancellations,
// restarts, freezes, drains, partitions and target crashes.
func TestEveryRequestEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newChaos(t)
		c.runUntil(time.Second)
		acts := []func(){c.arrivals, c.arrivals, c.arrivals, c.stopOrStart, c.pause, c.drain, c.partition, c.crashTarget}
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			acts[rapid.IntRange(0, len(acts)-1).Draw(t, "act")]()
			c.runUntil(c.now + time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause"))*time.Millisecond)
		}
		c.heal()
		c.check()
	})
}
