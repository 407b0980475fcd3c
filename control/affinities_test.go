package control

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/control/affinity"
)

// affinityFleet is a simulated fleet whose callers begin streams and reconnect to them.
type affinityFleet struct {
	*sim
	members  []Member
	snapshot *config.Snapshot
	found    map[RequestID]AffinityFound
	asked    RequestID
	begun    int
}

// newAffinityFleet starts a fleet before targets of the given software versions.
func newAffinityFleet(nodes int, software ...string) *affinityFleet {
	f := &affinityFleet{sim: newSim(1), found: make(map[RequestID]AffinityFound), snapshot: softwareSnapshot(1, software...)}
	f.onFound = func(c AffinityFound) { f.found[c.Request] = c }
	f.startFleet(nodes, f.snapshot, Options{}, testDataCentres...)
	for _, id := range f.names {
		f.members = append(f.members, Member{Node: id, DataCentre: f.nodes[id].dataCentre})
	}
	f.runUntil(time.Second)
	return f
}

// softwareSnapshot declares a target of each version in pool "draft".
func softwareSnapshot(version config.Version, software ...string) *config.Snapshot {
	s := fleetSpec{workspaces: map[string]float64{"a": 1}, dataCentres: testDataCentres}.snapshot()
	s.Version = version
	for _, v := range software {
		s.Declarations.Targets["t-"+v] = config.Target{Pool: "draft", DataCentre: testDataCentres[0], Slots: 1, Software: v}
	}
	return s
}

// run lets a time pass.
func (f *affinityFleet) run(d time.Duration) { f.runUntil(f.now + d) }

func (f *affinityFleet) restart(id NodeID) {
	f.stopNode(id)
	f.startNode(id, f.snapshot, f.members, Options{})
}

func streamKey(n int) affinity.Key { return affinity.KeyOf("a", fmt.Sprint(n)) }

// streamSoftware returns the version that begins a stream.
func streamSoftware(n int) string { return fmt.Sprintf("v%d", 1+n%2) }

// begin begins a stream at a node and returns its number.
func (f *affinityFleet) begin(node NodeID) int {
	n := f.begun
	f.begun++
	f.step(f.nodes[node], StreamBegan{Keys: []affinity.Key{streamKey(n)}, Affinity: affinity.Affinity{Pool: "draft", Software: streamSoftware(n)}})
	return n
}

// ask looks a stream up at a node and returns the lookup.
func (f *affinityFleet) ask(node NodeID, stream int) RequestID {
	f.asked++
	f.step(f.nodes[node], AffinityWanted{Request: f.asked, Named: true, Key: streamKey(stream), Pool: "draft"})
	return f.asked
}

// countKnown looks streams up at a node, and returns for how many their version is found. It
// fails the test if a wrong one is, or if one is not answered in time.
func (f *affinityFleet) countKnown(t *testing.T, node NodeID, streams []int) int {
	t.Helper()
	lookups := make(map[int]RequestID)
	for _, stream := range streams {
		lookups[stream] = f.ask(node, stream)
	}
	f.run(affinityTimeout + 50*time.Millisecond)
	known := 0
	for stream, lookup := range lookups {
		answer, answered := f.found[lookup]
		switch {
		case !answered:
			t.Fatalf("stream %d: no answer at %s", stream, node)
		case answer.Known && answer.Affinity.Software != streamSoftware(stream):
			t.Fatalf("stream %d: found %s at %s", stream, answer.Affinity.Software, node)
		case answer.Known:
			known++
		}
	}
	return known
}

// beginAt begins 100 streams at a node.
func (f *affinityFleet) beginAt(node NodeID) []int {
	streams := make([]int, 0, 100)
	for range 100 {
		streams = append(streams, f.begin(node))
	}
	return streams
}

// TestAffinitySurvivesItsRouter guards against refusing streams whose router was killed soon
// after their first event, at any other router, and at that one when it has started again.
func TestAffinitySurvivesItsRouter(t *testing.T) {
	for _, nodes := range []int{2, 3, 6, 40} {
		f := newAffinityFleet(nodes, "v1", "v2")
		streams := f.beginAt("n0")
		f.run(5 * time.Millisecond)
		f.stopNode("n0")
		if known := f.countKnown(t, "n1", streams); known != len(streams) {
			t.Errorf("%d of %d known at another of %d routers", known, len(streams), nodes)
		}
		f.startNode("n0", f.snapshot, f.members, Options{})
		f.run(100 * time.Millisecond)
		if known := f.countKnown(t, "n0", streams); known != len(streams) {
			t.Errorf("%d of %d known at the first of %d routers after its restart", known, len(streams), nodes)
		}
	}
}

// TestAffinitiesSurviveRestartsInSeries guards against records that are lost as one router
// after another is restarted, killed or drained while callers may reconnect.
func TestAffinitiesSurviveRestartsInSeries(t *testing.T) {
	for _, drains := range []bool{false, true} {
		f := newAffinityFleet(6, "v1", "v2")
		streams := f.beginAt("n0")
		f.run(100 * time.Millisecond)
		for _, id := range f.names {
			if drains {
				f.step(f.nodes[id], DrainStarted{})
				f.run(20 * time.Millisecond)
			}
			f.restart(id)
			f.run(time.Second)
		}
		if known := f.countKnown(t, "n3", streams); known != len(streams) {
			t.Errorf("drains %v: %d of %d known after all routers were restarted", drains, known, len(streams))
		}
	}
}

// TestHalfOfAffinitiesSurviveMassKill guards against refusing most streams after 60 % of the
// routers were killed at once.
func TestHalfOfAffinitiesSurviveMassKill(t *testing.T) {
	f := newAffinityFleet(10, "v1", "v2")
	var streams []int
	for _, id := range f.names[:6] {
		streams = append(streams, f.beginAt(id)...)
	}
	f.run(5 * time.Millisecond)
	for _, id := range f.names[:6] {
		f.stopNode(id)
	}
	known := f.countKnown(t, "n9", streams)
	t.Logf("%d of %d known", known, len(streams))
	if known < len(streams)/2 {
		t.Errorf("%d of %d known after 6 of 10 routers were killed", known, len(streams))
	}
}

// TestCutOffRouterFindsNoAffinity guards against a router that continues streams of which it
// knows nothing while it reaches no other router, and against one that still finds nothing
// once it does.
func TestCutOffRouterFindsNoAffinity(t *testing.T) {
	f := newAffinityFleet(3, "v1")
	f.linkDown = func(from, to NodeID) bool { return from == "n2" || to == "n2" }
	streams := f.beginAt("n0")
	f.run(100 * time.Millisecond)
	if known := f.countKnown(t, "n2", streams); known != 0 {
		t.Errorf("%d streams known at a router that is cut off", known)
	}
	f.asked++
	f.step(f.nodes["n2"], AffinityWanted{Request: f.asked, Pool: "draft"})
	f.run(time.Second)
	if answer := f.found[f.asked]; answer.Known {
		t.Errorf("a stream that is not named is continued at %+v by a router that is cut off", answer.Affinity)
	}
	f.linkDown = func(NodeID, NodeID) bool { return false }
	f.run(2 * time.Second)
	if known := f.countKnown(t, "n2", streams); known != len(streams) {
		t.Errorf("%d of %d known once the cut has ended", known, len(streams))
	}
}

// TestUnnamedStreamNeedsOneVersion guards against continuing a stream whose caller does not
// name it while any router has seen two versions, and against refusing it otherwise.
func TestUnnamedStreamNeedsOneVersion(t *testing.T) {
	ask := func(f *affinityFleet, node NodeID) AffinityFound {
		f.asked++
		f.step(f.nodes[node], AffinityWanted{Request: f.asked, Pool: "draft", Key: streamKey(0)})
		f.run(time.Second)
		return f.found[f.asked]
	}
	f := newAffinityFleet(3, "v1")
	f.run(minStreamLife)
	if got := ask(f, "n0"); !got.Known || got.Affinity.Software != "v1" {
		t.Errorf("one version: got %+v", got)
	}
	f.step(f.nodes["n1"], ConfigChanged{Snapshot: softwareSnapshot(2, "v1", "v2")})
	if got := ask(f, "n0"); got.Known {
		t.Errorf("another router lists two versions: got %+v", got)
	}
	f.step(f.nodes["n1"], ConfigChanged{Snapshot: softwareSnapshot(3, "v2")})
	f.snapshot = softwareSnapshot(3, "v2")
	f.restart("n0")
	f.run(100 * time.Millisecond)
	if got := ask(f, "n0"); got.Known {
		t.Errorf("another router listed two versions before: got %+v", got)
	}
	f.run(minStreamLife)
	f.step(f.nodes["n2"], ConfigChanged{Snapshot: softwareSnapshot(4, "v2")})
	f.run(2 * minStreamLife)
	if got := ask(f, "n0"); !got.Known || got.Affinity.Software != "v2" {
		t.Errorf("one version for long: got %+v", got)
	}
}

// TestUnnamedStreamIsUnknownAfterRestarts guards against continuing a stream whose caller does not name
// it at another version than the one that began it, after all routers were restarted while the version
// changed and none remembers the former one.
func TestUnnamedStreamIsUnknownAfterRestarts(t *testing.T) {
	for name, gap := range map[string]time.Duration{"at once": 0, "one after the other": minStreamLife / 8} {
		t.Run(name, func(t *testing.T) {
			f := newAffinityFleet(4, "v1")
			ask := func() AffinityFound {
				f.asked++
				f.step(f.nodes["n0"], AffinityWanted{Request: f.asked, Pool: "draft", Key: streamKey(0)})
				f.run(time.Second)
				return f.found[f.asked]
			}
			f.run(minStreamLife)
			if got := ask(); !got.Known || got.Affinity.Software != "v1" {
				t.Errorf("before: got %+v", got)
			}
			f.snapshot = softwareSnapshot(2, "v2")
			for n := len(f.names) - 1; n >= 0; n-- {
				f.stopNode(f.names[n])
				f.run(gap)
				f.startNode(f.names[n], f.snapshot, f.members, Options{})
			}
			for range 5 {
				if got := ask(); got.Known {
					t.Fatalf("a stream that may have begun at v1 is continued at %s", got.Affinity.Software)
				}
			}
			f.run(2 * minStreamLife)
			if got := ask(); !got.Known || got.Affinity.Software != "v2" {
				t.Errorf("one version for long: got %+v", got)
			}
		})
	}
}

// TestAffinityLookupsAreBounded guards against unbounded state for unknown streams, and against
// lookups without an answer.
func TestAffinityLookupsAreBounded(t *testing.T) {
	f := newAffinityFleet(3, "v1")
	f.linkDown = func(NodeID, NodeID) bool { return true }
	const lookups = 3 * maxAffinityLookups
	for n := range lookups {
		f.ask("n0", -1-n)
		if held := len(f.nodes["n0"].machine.affinities.lookups); held > maxAffinityLookups {
			t.Fatalf("%d lookups in progress", held)
		}
	}
	f.run(time.Second)
	if len(f.found) != lookups || len(f.nodes["n0"].machine.affinities.lookups) != 0 {
		t.Errorf("%d of %d lookups answered, %d in progress", len(f.found), lookups, len(f.nodes["n0"].machine.affinities.lookups))
	}
}

// TestAffinityIsNeverWrong guards against continuing a stream at another version than the one
// that began it, under random schedules of restarts, pauses, partitions, and lost and
// duplicated messages.
func TestAffinityIsNeverWrong(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newAffinityFleet(rapid.IntRange(1, 6).Draw(t, "nodes"), "v1", "v2")
		f.loss = rapid.SampledFrom([]float64{0, 0.02, 0.3}).Draw(t, "loss")
		f.duplication = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "duplication")
		side := make(map[NodeID]int)
		f.linkDown = func(from, to NodeID) bool { return side[from] != side[to] }
		lookups := make(map[RequestID]int)
		node := func() NodeID { return rapid.SampledFrom(f.names).Draw(t, "node") }
		actions := []func(){
			func() { f.begin(node()) },
			func() { f.begin(node()) },
			func() {
				if stream := f.begun - 1 - rapid.IntRange(0, 5).Draw(t, "stream"); stream >= 0 {
					lookups[f.ask(node(), stream)] = stream
				}
			},
			func() { f.restart(node()) },
			func() { id := node(); side[id] = 1 - side[id] },
			func() {
				id := node()
				f.pauseNode(id)
				f.after(time.Second, func() { f.resumeNode(id) })
			},
		}
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			actions[rapid.IntRange(0, len(actions)-1).Draw(t, "action")]()
			f.run(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
		}
		f.run(2 * time.Second)
		for lookup, stream := range lookups {
			if answer := f.found[lookup]; answer.Known && answer.Affinity.Software != streamSoftware(stream) {
				t.Fatalf("stream %d of %s: found %s", stream, streamSoftware(stream), answer.Affinity.Software)
			}
		}
	})
}
