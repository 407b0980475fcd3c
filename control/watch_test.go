package control

import (
	"testing"
	"time"
)

// watchedTargets returns the last set of targets that commands ask to watch; false if none
// does.
func watchedTargets(commands []Command) ([]string, bool) {
	var last []string
	found := false
	for _, command := range commands {
		if watch, ok := command.(WatchTargets); ok {
			last, found = watch.Targets, true
		}
	}
	return last, found
}

// pass ticks for a while and returns the commands.
func (f *tokenFleet) pass(d time.Duration) []Command {
	var commands []Command
	for end := f.now + d; f.now < end; {
		f.now += 20 * time.Millisecond
		commands = append(commands, f.step(Tick{})...)
	}
	return commands
}

// hearsLarger lets the machine hear of a node with more processor, which owns the shards from
// then on, and returns the commands.
func (f *tokenFleet) hearsLarger() []Command {
	f.step(MembersListed{Members: []Member{{Node: "n", DataCentre: "d", Cores: 0.2}, {Node: "other", DataCentre: "d", Cores: 0.8}}})
	return f.step(MessageReceived{From: "other", Incarnation: 5, Message: Heartbeat{Incarnation: 5}})
}

// TestStartWatchesNothingOfOthers plays the start of a router in a fleet: until it hears of
// the others it owns every shard. It asks no target before that has lasted, grants all the
// same, and stops asking as soon as another router is the owner.
func TestStartWatchesNothingOfOthers(t *testing.T) {
	f := newTokenFleet("e1", "e2")
	if _, dispatch, _ := f.arrive("a", own(1)); dispatch == nil {
		t.Error("no grant from a router that knows no other")
	}
	if targets, told := watchedTargets(f.pass(watchDelay - 100*time.Millisecond)); told {
		t.Errorf("watches %v before it can have heard of others", targets)
	}
	f.hearsLarger()
	if targets, told := watchedTargets(f.pass(time.Second)); told {
		t.Errorf("watches %v, which another router owns", targets)
	}
}

// TestLoneRouterWatches: one that stays alone watches all its targets, and none of them
// once another one owns them.
func TestLoneRouterWatches(t *testing.T) {
	f := newTokenFleet("e1", "e2")
	if targets, _ := watchedTargets(f.pass(watchDelay + 100*time.Millisecond)); len(targets) != 2 {
		t.Errorf("watches %v", targets)
	}
	commands := f.hearsLarger()
	if targets, told := watchedTargets(append(commands, f.pass(100*time.Millisecond)...)); !told || len(targets) > 0 {
		t.Errorf("told %v: watches %v, which another router owns", told, targets)
	}
}

// TestEachTargetIsWatchedOnce: in a fleet that knows itself each target is watched by one
// node, and by another one once that ends.
func TestEachTargetIsWatchedOnce(t *testing.T) {
	s := newSim(6)
	load := workload{workspaces: map[string]float64{"a": 1}, perCentre: 3, slots: 4, centres: centres}
	s.fleet(12, load.snapshot(), Options{}, centres...)
	check := func(when string) NodeID {
		t.Helper()
		s.runUntil(s.now + 5*time.Second)
		var watcher NodeID
		counts := make(map[string]int)
		for _, id := range s.names {
			if n := s.nodes[id]; n.up {
				for _, name := range n.watched {
					counts[name]++
					watcher = id
				}
			}
		}
		for name := range s.targets {
			if counts[name] != 1 {
				t.Errorf("%s: %d nodes watch %s", when, counts[name], name)
			}
		}
		return watcher
	}
	s.stop(check("at first"))
	s.stop(check("after one watcher ended"))
	check("after two ended")
}
