package control

import (
	"fmt"
	"testing"
	"time"
)

// TestPartsThatCrashTargetsAreRefused guards against requests with one part in their prompts,
// no two alike, that crash one target after the other.
func TestPartsThatCrashTargetsAreRefused(t *testing.T) {
	const shared, cause, other = 1, 2, 3
	base := crashSpec{
		routers: 3, targets: 12, soundPerSecond: 40, crashingPerSecond: 4, crashingFrom: 5 * time.Second,
		sound: constantParts(shared), crashing: constantParts(shared, cause), causes: []uint64{cause}, duration: 27 * time.Second,
	}
	for _, c := range []struct {
		name   string
		change func(*crashSpec)
		seeds  []uint64
	}{
		{"three routers", func(*crashSpec) {}, nil},
		{"one router", func(s *crashSpec) { s.routers = 1 }, nil},
		{"forty routers", func(s *crashSpec) { s.routers = 40 }, nil},
		{"first part", func(s *crashSpec) { s.crashing = constantParts(cause, other) }, nil},
		{"middle part beside various others", func(s *crashSpec) {
			s.sound = func(n int) []uint64 { return []uint64{shared, 100 + uint64(n%20)} }
			s.crashing = func(n int) []uint64 { return []uint64{shared, cause, 100 + uint64(n%20)} }
		}, nil},
		{"middle part beside others of its own", func(s *crashSpec) {
			s.crashing = func(n int) []uint64 { return []uint64{shared, cause, 1000 + uint64(n)} }
		}, nil},
		{"two parts at a time", func(s *crashSpec) {
			s.causes = []uint64{cause, other}
			s.crashing = func(n int) []uint64 { return []uint64{shared, cause + uint64(n%2)} }
		}, nil},
		{"three parts at a time", func(s *crashSpec) {
			s.targets = 24
			s.causes = []uint64{cause, other, 4}
			s.crashing = func(n int) []uint64 { return []uint64{shared, cause + uint64(n%3)} }
		}, nil},
		{"five crashes within a second", func(s *crashSpec) { s.crashingPerSecond = 12 }, nil},
		{"few sound requests", func(s *crashSpec) { s.soundPerSecond = 5 }, nil},
		{"no sound requests with the first part until later", func(s *crashSpec) { s.soundFrom = 14 * time.Second }, nil},
		{"part that was sound before", func(s *crashSpec) {
			s.sound = func(n int) []uint64 { return []uint64{shared} }
			s.beside = func(f *crashFleet) {
				f.spec.causes = nil
				f.generate(f.now, 5, constantParts(shared, cause), true)
				f.at(f.now+5*time.Second, func() { f.spec.causes = []uint64{cause} })
			}
		}, nil},
		{"schedulers killed one after the other", func(s *crashSpec) {
			s.routers = 6
			s.beside = func(f *crashFleet) {
				for _, at := range []time.Duration{5500 * time.Millisecond, 7 * time.Second, 12 * time.Second} {
					f.at(f.now+at, func() { f.stopNode(f.schedulerOf(t)) })
				}
			}
		}, nil},
		{"router that started since", func(s *crashSpec) {
			s.beside = func(f *crashFleet) {
				f.at(f.now+14*time.Second, func() { f.stopNode("n1") })
				f.at(f.now+15*time.Second, func() { f.startNode("n1", f.snapshot(), f.members(), crashFleetOptions) })
			}
		}, nil},
		{"router cut off from the others since the first crash", func(s *crashSpec) {
			s.routers = 6
			s.beside = func(f *crashFleet) {
				f.linkDown = func(from, to NodeID) bool { return len(f.crashes) > 0 && (from == "n1") != (to == "n1") }
			}
		}, []uint64{27}},
		{"router paused", func(s *crashSpec) {
			s.beside = func(f *crashFleet) {
				f.at(f.now+5500*time.Millisecond, func() { f.pauseNode("n1") })
				f.at(f.now+9*time.Second, func() { f.resumeNode("n1") })
			}
		}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, seed := range seedsOfCase(c.seeds) {
				t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
					spec := base
					spec.seed = seed
					c.change(&spec)
					f := runCrashFleet(t, spec)
					refused, all := f.refusedSound(0, f.now)
					t.Logf("%d crashes, %d late, %d of %d sound requests refused", len(f.crashes), f.lateRuns(), refused, all)
					if late := f.lateRuns(); late > maxLateRuns {
						t.Errorf("%d requests with the part reached targets later than %s after the fifth crash", late, crashContact)
					}
					f.checkSoundBegin(t)
				})
			}
		})
	}
}

// members returns the list of routers.
func (f *crashFleet) members() []Member {
	var members []Member
	for _, id := range f.names {
		members = append(members, Member{Node: id, DataCentre: f.nodes[id].dataCentre})
	}
	return members
}

// TestPartsAreNotRefusedWhereTargetsCrashOfThemselves guards against convicting a part that all
// requests of a route share, or one that few have, because it ran on targets that crashed for
// other reasons.
func TestPartsAreNotRefusedWhereTargetsCrashOfThemselves(t *testing.T) {
	fewOthers := func(n int) []uint64 { return []uint64{1, 100 + uint64(n%50)} }
	for _, c := range []struct {
		name      string
		perSecond float64
		parts     func(int) []uint64
		crashes   int
		gap       time.Duration
		seeds     []uint64
	}{
		{"40 a second, at once", 40, constantParts(1, 2), 10, 10 * time.Millisecond, nil},
		{"40 a second, in a row", 40, constantParts(1, 2), 10, 200 * time.Millisecond, nil},
		{"40 a second, in six seconds", 40, constantParts(1, 2), 10, 600 * time.Millisecond, nil},
		{"40 a second, all the time", 40, fewOthers, 40, 400 * time.Millisecond, []uint64{9}},
		{"5 a second, at once", 5, constantParts(1, 2), 10, 10 * time.Millisecond, nil},
		{"5 a second, in a row", 5, constantParts(1, 2), 10, 200 * time.Millisecond, nil},
		{"5 a second, in six seconds", 5, constantParts(1, 2), 10, 600 * time.Millisecond, nil},
		{"5 a second, all the time", 5, fewOthers, 40, 400 * time.Millisecond, nil},
		{"1 a second, in six seconds", 1, constantParts(1, 2), 10, 600 * time.Millisecond, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			var crashes []time.Duration
			for i := range c.crashes {
				crashes = append(crashes, 3*time.Second+time.Duration(i)*c.gap)
			}
			for _, seed := range seedsOfCase(c.seeds) {
				t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
					f := runCrashFleet(t, crashSpec{
						seed: seed, routers: 3, targets: 12, soundPerSecond: c.perSecond, sound: c.parts, ownCrashes: crashes, duration: 20 * time.Second,
					})
					refused, all := f.refusedSound(0, f.now)
					t.Logf("%d crashes, %d of %d sound requests refused", len(f.crashes), refused, all)
					if refused > 0 {
						t.Errorf("%d of %d requests were refused for their parts, though no part crashes targets", refused, all)
					}
				})
			}
		})
	}
}

// TestLostProbesOfOneTargetAreOneCrash guards against convicting a part because a target that is
// down, and still listed, lost one probe with it after the other.
func TestLostProbesOfOneTargetAreOneCrash(t *testing.T) {
	f := newTokenFleet("t1")
	const part = 1
	for n := range 20 {
		_, dispatch, _ := f.arrive("a", PromptPart{ID: part, Tokens: 100}, PromptPart{ID: firstRequestPart + uint64(n), Tokens: 10})
		if dispatch != nil {
			f.step(RunEnded{Request: f.requests, Grant: dispatch.Grant, Outcome: OutcomeLost})
		}
		for range 30 {
			f.now += 100 * time.Millisecond
			f.step(Tick{})
		}
	}
	if crashes := f.machine.Counters().TargetCrashes; crashes != 1 {
		t.Errorf("%d crashes of a target that answered nothing in between", crashes)
	}
}

// TestEvidenceOfManyCrashesAtOnceIsOneNotice guards against a notice of each target to every router
// when a data centre loses its power.
func TestEvidenceOfManyCrashesAtOnceIsOneNotice(t *testing.T) {
	notices := 0
	f := runCrashFleet(t, crashSpec{
		routers: 10, targets: 40, soundPerSecond: 400, duration: 6 * time.Second,
		sound: func(n int) []uint64 { return []uint64{1, 100 + uint64(n)} },
		beside: func(f *crashFleet) {
			f.at(f.now+2*time.Second, func() {
				for _, name := range f.upTargets()[:30] {
					f.crashTarget(name)
				}
			})
			f.onSend = func(msg Message) {
				if evidence, ok := msg.(PartEvidence); ok && evidence.Crash != 0 {
					notices++
				}
			}
		},
	})
	if most := 2 * (len(f.names) - 1) * len(f.names); len(f.crashes) != 30 || notices == 0 || notices > most {
		t.Errorf("%d notices of %d crashes, want %d at most", notices, len(f.crashes), most)
	}
}
