package control

import (
	"testing"
	"time"
)

// TestDeadEntryIsGrantedNoSlot guards against slots granted to an entry node that died with
// many tickets waiting: each would stay unused until its lease ends.
func TestDeadEntryIsGrantedNoSlot(t *testing.T) {
	s := newSim(9)
	s.startFleet(3, fleetSpec{workspaces: map[string]float64{"a": 1}, targetsPerDataCentre: 1, slots: 4, dataCentres: testDataCentres[:1]}.snapshot(), Options{}, "ikeja")
	s.runUntil(time.Second)
	scheduler := s.schedulerOf(t)
	var entries []NodeID
	for _, id := range s.names {
		if id != scheduler {
			entries = append(entries, id)
		}
	}
	for range 100 {
		s.arrive(entries[0], "a", "draft", time.Hour)
		s.arrive(entries[1], "a", "draft", time.Hour)
	}
	s.runUntil(10 * time.Second)
	held := uint64(0)
	for _, target := range s.targets {
		for _, run := range target.running {
			if run.node.id == entries[0] {
				held++
			}
		}
	}
	s.stopNode(entries[0])
	for _, id := range s.names {
		if id != entries[0] {
			s.step(s.nodes[id], PeerState{Node: entries[0]})
		}
	}
	s.runUntil(10*time.Second + 2*grantLease)
	// One more may be granted before the broken connection is noticed.
	if reclaimed := s.nodes[scheduler].machine.Counters().GrantsReclaimed; reclaimed > held+1 {
		t.Errorf("%d grants were reclaimed, want at most one more than the %d held at the failure", reclaimed, held)
	}
}

// TestFalseLoadReportsNeitherOverfillNorIdleTargets guards against relying on load reports,
// which may be wrong: neither may they make a scheduler exceed a target's slots by more
// than one, nor leave slots idle while requests wait.
func TestFalseLoadReportsNeitherOverfillNorIdleTargets(t *testing.T) {
	falseReports := map[string]func(TargetLoad) TargetLoad{
		"always empty": func(l TargetLoad) TargetLoad { l.Running, l.Queued = 0, 0; return l },
		"always full":  func(l TargetLoad) TargetLoad { l.Running, l.Queued = l.Slots, 50; return l },
		"many slots":   func(l TargetLoad) TargetLoad { l.Slots = 1000; return l },
	}
	for name, falsify := range falseReports {
		t.Run(name, func(t *testing.T) {
			s := newSim(5)
			s.startFleet(3, fleetSpec{workspaces: map[string]float64{"a": 1}, targetsPerDataCentre: 2, slots: 4, dataCentres: testDataCentres[:1]}.snapshot(), Options{}, "ikeja")
			for _, target := range s.targets {
				target.alterLoad = falsify
			}
			s.runUntil(time.Second)
			s.keepBacklogged("a", 40, "n0", "n1")
			s.runUntil(15 * time.Second)
			start, busy := s.now, s.totalBusyTime()
			s.runUntil(45 * time.Second)
			if u := s.utilisation(start, busy); u < 0.95 {
				t.Errorf("utilisation is %.3f, want at least 0.95", u)
			}
			for _, target := range s.targets {
				if target.maxHeld > 4+1 {
					t.Errorf("%s held %d requests at once", target.name, target.maxHeld)
				}
			}
		})
	}
}

// checkServesIsolated checks that a node without connections to others serves its own
// requests.
func (s *sim) checkServesIsolated(t *testing.T, id NodeID) {
	t.Helper()
	r := s.arrive(id, "a", "draft", 2*time.Second)
	s.runUntil(s.now + 3*time.Second)
	if r.dispatches == 0 {
		t.Errorf("%s, isolated, does not serve its own request: %s", id, r.outcome)
	}
}

// TestIsolatedSchedulerReusesSlots guards against slots that stay idle at a scheduler that
// has lost the connections to all other nodes: it gets no report of the end of their runs,
// and has to reuse the slots as soon as it has detected the loss.
func TestIsolatedSchedulerReusesSlots(t *testing.T) {
	s := newSim(11)
	s.startFleet(3, fleetSpec{workspaces: map[string]float64{"a": 1}, targetsPerDataCentre: 1, slots: 4, dataCentres: testDataCentres[:1]}.snapshot(), Options{}, "ikeja")
	s.runUntil(time.Second)
	scheduler := s.schedulerOf(t)
	for _, id := range s.names {
		if id != scheduler {
			s.arrive(id, "a", "draft", time.Minute)
			s.arrive(id, "a", "draft", time.Minute)
		}
	}
	s.runUntil(s.now + 500*time.Millisecond)
	s.linkDown = func(a, b NodeID) bool { return (a == scheduler) != (b == scheduler) }
	s.runUntil(s.now + 2500*time.Millisecond) // the runs have ended, unreported
	r := s.arrive(scheduler, "a", "draft", time.Minute)
	s.runUntil(s.now + time.Second)
	if r.dispatches == 0 {
		t.Error("the slots of runs whose end was not reported stay occupied")
	}
}

// schedulerOf returns the node that schedules the only shard.
func (s *sim) schedulerOf(t *testing.T) NodeID {
	t.Helper()
	for _, id := range s.names {
		for _, shard := range s.nodes[id].machine.Status().Shards {
			if shard.Owned && s.nodes[id].up {
				return id
			}
		}
	}
	t.Fatal("no node schedules the shard")
	return ""
}

// TestSchedulerFailureIsCompensated guards against idle slots and overfilled targets after
// the scheduler of a shard is killed, paused, isolated or drained under load: another node
// has to take over within seconds.
func TestSchedulerFailureIsCompensated(t *testing.T) {
	failures := map[string]func(*sim, NodeID){
		"killed":   func(s *sim, id NodeID) { s.stopNode(id) },
		"frozen":   func(s *sim, id NodeID) { s.pauseNode(id); s.after(6*time.Second, func() { s.resumeNode(id) }) },
		"isolated": func(s *sim, id NodeID) { s.linkDown = func(a, b NodeID) bool { return (a == id) != (b == id) } },
		"drained":  func(s *sim, id NodeID) { s.step(s.nodes[id], DrainStarted{}) },
	}
	for name, fail := range failures {
		t.Run(name, func(t *testing.T) {
			s := newSim(6)
			s.startFleet(5, fleetSpec{workspaces: map[string]float64{"a": 1, "b": 1}, targetsPerDataCentre: 3, slots: 4, dataCentres: testDataCentres[:1]}.snapshot(), Options{}, "ikeja")
			s.runUntil(time.Second)
			scheduler := s.schedulerOf(t)
			var entries []NodeID
			for _, id := range s.names {
				if id != scheduler {
					entries = append(entries, id)
				}
			}
			s.keepBacklogged("a", 50, entries...)
			s.keepBacklogged("b", 50, entries...)
			s.runUntil(10 * time.Second)
			fail(s, scheduler)
			s.runUntil(13 * time.Second)
			start, busy := s.now, s.totalBusyTime()
			s.runUntil(30 * time.Second)
			if u := s.utilisation(start, busy); u < 0.97 {
				t.Errorf("utilisation afterwards is %.3f, want at least 0.97", u)
			}
			for _, target := range s.targets {
				if target.maxHeld > 2*(4+1) {
					t.Errorf("%s held %d requests at once", target.name, target.maxHeld)
				}
			}
			if name == "isolated" {
				s.checkServesIsolated(t, scheduler)
			}
			if name == "drained" && !s.nodes[scheduler].drained {
				t.Errorf("the scheduler has not drained")
			}
			s.checkInvariants(t)
		})
	}
}
