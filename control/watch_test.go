package control

import (
	"testing"
	"time"
)

// watchedTargets returns the targets of the last WatchTargets among commands; false if there is
// none.
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

// tickFor lets time pass in steps of 20 ms, with a tick each, and returns the commands.
func (f *tokenFleet) tickFor(d time.Duration) []Command {
	var commands []Command
	for end := f.now + d; f.now < end; {
		f.now += 20 * time.Millisecond
		commands = append(commands, f.step(Tick{})...)
	}
	return commands
}

// addLargerNode adds a node with more processor cores, which owns all shards from then on, and
// returns the commands.
func (f *tokenFleet) addLargerNode() []Command {
	f.step(MembersListed{Members: []Member{{Node: "n", DataCentre: "d", Cores: 0.2}, {Node: "other", DataCentre: "d", Cores: 0.8}}})
	return f.step(MessageReceived{From: "other", Incarnation: 5, Message: Heartbeat{Incarnation: 5}})
}

// TestStartingRouterWatchesNoTargets guards against a starting router that polls every target of
// the fleet. It owns all shards until it has received messages from the other routers: it has to
// grant at once, but must not poll targets before it has owned their shards for watchDelay, nor
// once another router owns them.
func TestStartingRouterWatchesNoTargets(t *testing.T) {
	f := newTokenFleet("e1", "e2")
	if _, dispatch, _ := f.arrive("a", ownPart(1)); dispatch == nil {
		t.Error("no grant from a router that knows no other one")
	}
	if targets, emitted := watchedTargets(f.tickFor(watchDelay - 100*time.Millisecond)); emitted {
		t.Errorf("watches %v before watchDelay has passed", targets)
	}
	f.addLargerNode()
	if targets, emitted := watchedTargets(f.tickFor(time.Second)); emitted {
		t.Errorf("watches %v, which another router owns", targets)
	}
}

// TestLoneRouterWatchesItsTargets guards against targets that no router watches: a router without
// others has to watch all targets, and none of them once another router owns them.
func TestLoneRouterWatchesItsTargets(t *testing.T) {
	f := newTokenFleet("e1", "e2")
	if targets, _ := watchedTargets(f.tickFor(watchDelay + 100*time.Millisecond)); len(targets) != 2 {
		t.Errorf("watches %v, want both targets", targets)
	}
	commands := f.addLargerNode()
	if targets, emitted := watchedTargets(append(commands, f.tickFor(100*time.Millisecond)...)); !emitted || len(targets) > 0 {
		t.Errorf("command %v: watches %v, which another router owns", emitted, targets)
	}
}

// TestEachTargetIsWatchedOnce guards against targets that no node watches, or several, once all
// nodes know each other, also after the node that watched a target has ended.
func TestEachTargetIsWatchedOnce(t *testing.T) {
	s := newSim(6)
	spec := fleetSpec{workspaces: map[string]float64{"a": 1}, targetsPerDataCentre: 3, slots: 4, dataCentres: testDataCentres}
	s.startFleet(12, spec.snapshot(), Options{}, testDataCentres...)
	check := func(when string) NodeID {
		t.Helper()
		s.runUntil(s.now + 5*time.Second)
		var watcher NodeID
		counts := make(map[string]int)
		for _, id := range s.names {
			if n := s.nodes[id]; n.up {
				for _, name := range n.watchedTargets {
					counts[name]++
					watcher = id
				}
			}
		}
		for name := range s.targets {
			if counts[name] != 1 {
				t.Errorf("%s: %d nodes watch %s, want 1", when, counts[name], name)
			}
		}
		return watcher
	}
	s.stopNode(check("at first"))
	s.stopNode(check("after one watcher ended"))
	check("after two ended")
}
