package control

import (
	"testing"
	"time"
)

// TestDeadEntryHoldsNoSlot kills an entry node with many tickets waiting: the
// scheduler grants them no slot.
func TestDeadEntryHoldsNoSlot(t *testing.T) {
	s := newSim(9)
	s.fleet(3, workload{workspaces: map[string]float64{"a": 1}, perCentre: 1, slots: 4, centres: centres[:1]}.snapshot(), Options{}, "ikeja")
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
	s.stop(entries[0])
	for _, id := range s.names {
		if id != entries[0] {
			s.step(s.nodes[id], PeerState{Node: entries[0]})
		}
	}
	s.runUntil(10*time.Second + 2*grantLease)
	// One more may be granted before the broken connection counts.
	if reclaimed := s.nodes[scheduler].machine.Counters().GrantsReclaimed; reclaimed > held+1 {
		t.Errorf("%d grants were reclaimed, %d were held", reclaimed, held)
	}
}

// TestLoadReportsNeitherFloodNorIdle has targets whose reports lie.
func TestLoadReportsNeitherFloodNorIdle(t *testing.T) {
	lies := map[string]func(TargetLoad) TargetLoad{
		"always empty": func(l TargetLoad) TargetLoad { l.Running, l.Queued = 0, 0; return l },
		"always full":  func(l TargetLoad) TargetLoad { l.Running, l.Queued = l.Slots, 50; return l },
		"many slots":   func(l TargetLoad) TargetLoad { l.Slots = 1000; return l },
	}
	for name, lie := range lies {
		t.Run(name, func(t *testing.T) {
			s := newSim(5)
			s.fleet(3, workload{workspaces: map[string]float64{"a": 1}, perCentre: 2, slots: 4, centres: centres[:1]}.snapshot(), Options{}, "ikeja")
			for _, target := range s.targets {
				target.report = lie
			}
			s.runUntil(time.Second)
			s.keepBacklogged("a", 40, "n0", "n1")
			s.runUntil(15 * time.Second)
			start, busy := s.now, s.busy()
			s.runUntil(45 * time.Second)
			if u := s.utilisation(start, busy); u < 0.95 {
				t.Errorf("utilisation is %.3f", u)
			}
			for _, target := range s.targets {
				if target.mostActive > 4+1 {
					t.Errorf("%s held %d requests at once", target.name, target.mostActive)
				}
			}
		})
	}
}

// checkServesAlone fails unless a node that is cut off serves its own requests.
func (s *sim) checkServesAlone(t *testing.T, id NodeID) {
	t.Helper()
	r := s.arrive(id, "a", "draft", 2*time.Second)
	s.runUntil(s.now + 3*time.Second)
	if r.dispatches == 0 {
		t.Errorf("%s, cut off, does not serve its own request: %s", id, r.outcome)
	}
}

// TestCutOffSchedulerServesAtOnce has a scheduler that is cut off hold grants
// of entries that it cannot hear: once it knows, their slots do not idle.
func TestCutOffSchedulerServesAtOnce(t *testing.T) {
	s := newSim(11)
	s.fleet(3, workload{workspaces: map[string]float64{"a": 1}, perCentre: 1, slots: 4, centres: centres[:1]}.snapshot(), Options{}, "ikeja")
	s.runUntil(time.Second)
	scheduler := s.schedulerOf(t)
	for _, id := range s.names {
		if id != scheduler {
			s.arrive(id, "a", "draft", time.Minute)
			s.arrive(id, "a", "draft", time.Minute)
		}
	}
	s.runUntil(s.now + 500*time.Millisecond)
	s.cut = func(a, b NodeID) bool { return (a == scheduler) != (b == scheduler) }
	s.runUntil(s.now + 2500*time.Millisecond) // the runs have ended unheard
	r := s.arrive(scheduler, "a", "draft", time.Minute)
	s.runUntil(s.now + time.Second)
	if r.dispatches == 0 {
		t.Error("the slots of runs that ended unheard stay taken")
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
	t.Fatal("nobody schedules the shard")
	return ""
}

// TestSchedulerFails kills, freezes, cuts off or drains the scheduler under
// load: the others go on within seconds, without flooding the targets.
func TestSchedulerFails(t *testing.T) {
	fail := map[string]func(*sim, NodeID){
		"killed":  func(s *sim, id NodeID) { s.stop(id) },
		"frozen":  func(s *sim, id NodeID) { s.freeze(id); s.after(6*time.Second, func() { s.unfreeze(id) }) },
		"cut off": func(s *sim, id NodeID) { s.cut = func(a, b NodeID) bool { return (a == id) != (b == id) } },
		"drained": func(s *sim, id NodeID) { s.step(s.nodes[id], DrainStarted{}) },
	}
	for name, fail := range fail {
		t.Run(name, func(t *testing.T) {
			s := newSim(6)
			s.fleet(5, workload{workspaces: map[string]float64{"a": 1, "b": 1}, perCentre: 3, slots: 4, centres: centres[:1]}.snapshot(), Options{}, "ikeja")
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
			start, busy := s.now, s.busy()
			s.runUntil(30 * time.Second)
			if u := s.utilisation(start, busy); u < 0.97 {
				t.Errorf("utilisation afterwards is %.3f", u)
			}
			for _, target := range s.targets {
				if target.mostActive > 2*(4+1) {
					t.Errorf("%s held %d requests at once", target.name, target.mostActive)
				}
			}
			if name == "cut off" {
				s.checkServesAlone(t, scheduler)
			}
			if name == "drained" && !s.nodes[scheduler].drained {
				t.Errorf("the scheduler has not drained")
			}
			s.checkFaults(t)
		})
	}
}
