package control

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// faultSchedule applies random faults to a simulated fleet under load.
type faultSchedule struct {
	*sim
	t             *rapid.T
	members       []Member
	spec          fleetSpec
	opts          Options
	down          map[NodeID]bool
	draining      map[NodeID]bool
	partitionSide map[NodeID]int
}

// newFaultSchedule starts a fleet of random size, policy and network quality.
func newFaultSchedule(t *rapid.T) *faultSchedule {
	c := &faultSchedule{
		sim:           newSim(rapid.Uint64().Draw(t, "seed")),
		t:             t,
		down:          make(map[NodeID]bool),
		draining:      make(map[NodeID]bool),
		partitionSide: make(map[NodeID]int),
	}
	c.loss = rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "loss")
	c.duplication = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "duplication")
	c.opts.Policy = rapid.SampledFrom([]Policy{PolicyShardQueue, PolicyShardQueue, PolicyAlone}).Draw(t, "policy")
	c.service = func(*simRequest) time.Duration { return time.Duration(50+c.rng.IntN(1500)) * time.Millisecond }
	c.linkDown = func(from, to NodeID) bool { return c.partitionSide[from] != c.partitionSide[to] }
	c.spec = fleetSpec{
		workspaces:           map[string]float64{"a": 1, "b": 1, "c": 3},
		targetsPerDataCentre: rapid.IntRange(1, 2).Draw(t, "targets"),
		slots:                rapid.IntRange(1, 4).Draw(t, "slots"),
		dataCentres:          testDataCentres[:rapid.IntRange(1, 3).Draw(t, "centres")],
	}
	count := rapid.IntRange(1, 5).Draw(t, "nodes")
	c.startFleet(count, c.spec.snapshot(), c.opts, c.spec.dataCentres...)
	for _, id := range c.names {
		c.members = append(c.members, Member{Node: id, DataCentre: c.nodes[id].dataCentre})
	}
	return c
}

func (c *faultSchedule) node(label string) NodeID { return rapid.SampledFrom(c.names).Draw(c.t, label) }

// arrivals delivers a burst of requests to one node; some of them are cancelled later.
func (c *faultSchedule) arrivals() {
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

// cancel cancels a request if it still waits, as when its caller disconnects.
func (c *faultSchedule) cancel(r *simRequest) {
	n := c.nodes[r.node]
	if r.done || r.dispatches > 0 || n.inc != r.inc || !n.up || n.paused {
		return
	}
	c.step(n, RequestCancelled{Request: r.id, Attempt: 1})
	if !r.done { // the step may have ended it at its deadline
		c.finishRequest(r, "cancelled")
	}
}

// toggleNode stops a node, or starts it if it is stopped.
func (c *faultSchedule) toggleNode() {
	id := c.node("node")
	switch {
	case !c.down[id]:
		c.stopNode(id)
		c.down[id] = true
	default:
		c.startNode(id, c.spec.snapshot(), c.members, c.opts)
		delete(c.down, id)
		delete(c.draining, id)
	}
}

// pause pauses a node for up to 8 s.
func (c *faultSchedule) pause() {
	id := c.node("node")
	if c.down[id] || c.nodes[id].paused {
		return
	}
	inc := c.nodes[id].inc
	c.pauseNode(id)
	c.after(time.Duration(c.rng.IntN(8000))*time.Millisecond, func() {
		if c.nodes[id].inc == inc && c.nodes[id].paused {
			c.resumeNode(id)
		}
	})
}

func (c *faultSchedule) drain() {
	id := c.node("node")
	if !c.down[id] && !c.draining[id] {
		c.draining[id] = true
		c.step(c.nodes[id], DrainStarted{})
	}
}

// partition moves a node to the other side of the network partition.
func (c *faultSchedule) partition() {
	id := c.node("node")
	c.partitionSide[id] = 1 - c.partitionSide[id]
}

// toggleTarget crashes a target, or starts it if it has crashed.
func (c *faultSchedule) toggleTarget() {
	names := sortedKeys(c.targets)
	t := c.targets[rapid.SampledFrom(names).Draw(c.t, "target")]
	if !t.up {
		t.up = true
		return
	}
	t.up = false
	for _, r := range append(slices.Clone(t.running), t.queue...) {
		r.removed = true
		c.removeRun(t, r)
		c.endRun(r, OutcomeLost)
	}
}

// heal ends all faults and lets 60 s pass, so that all requests can end.
func (c *faultSchedule) heal() {
	clear(c.partitionSide)
	c.loss, c.duplication = 0, 0
	for _, t := range c.targets {
		t.up = true
	}
	for _, id := range c.names {
		if c.nodes[id].paused && c.nodes[id].up {
			c.resumeNode(id)
		}
	}
	c.runUntil(c.now + 60*time.Second)
}

// check fails the test if an invariant was violated, a request of a live node has not ended, or
// a node still holds state of requests.
func (c *faultSchedule) check() {
	for _, f := range c.violations {
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

// checkNode fails the test if a node still holds state of requests after all have ended.
func (c *faultSchedule) checkNode(id NodeID) {
	n := c.nodes[id]
	if !n.up {
		return
	}
	if c.draining[id] && !n.drained {
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
	if leftover := c.leftoverRecords(n.machine); leftover != "" {
		c.t.Fatalf("%s: %s", id, leftover)
	}
}

// leftoverRecords describes the records that a machine still holds after all requests have
// ended; empty if there are none.
func (c *faultSchedule) leftoverRecords(m *Machine) string {
	if n := len(m.entry.requests) + len(m.entry.runs) + len(m.entry.latestRun) + len(m.entry.workspaces) + len(m.entry.waitingByPool); n > 0 {
		return fmt.Sprintf("the entry holds %d records", n)
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

// TestEveryRequestEndsOnce guards against requests that never end, end twice or are dispatched
// twice, and against state that outlives them, under random schedules of arrivals,
// cancellations, restarts, pauses, drains, partitions and target crashes.
func TestEveryRequestEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newFaultSchedule(t)
		c.runUntil(time.Second)
		actions := []func(){c.arrivals, c.arrivals, c.arrivals, c.toggleNode, c.pause, c.drain, c.partition, c.toggleTarget}
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			actions[rapid.IntRange(0, len(actions)-1).Draw(t, "act")]()
			c.runUntil(c.now + time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause"))*time.Millisecond)
		}
		c.heal()
		c.check()
	})
}
