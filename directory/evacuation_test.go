package directory

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/walnutcove/walnutcove/config"
)

func evacuationEntry(dataCentre string) Entry[Directive] {
	return Entry[Directive]{Key: "evacuate/" + dataCentre, Value: Directive{Evacuates: dataCentre}}
}

func evacuationRemoval(dataCentre string) Entry[Directive] {
	entry := evacuationEntry(dataCentre)
	entry.Gone = true
	return entry
}

// targetEntryIn returns the entry of a target in the given data centre.
func targetEntryIn(name, dataCentre string) Entry[config.Target] {
	entry := targetEntry(name)
	entry.Value.DataCentre = dataCentre
	return entry
}

// startTwoDataCentres starts a harness with target a in north and target b in south.
func startTwoDataCentres(t *testing.T) *harness {
	t.Helper()
	s := startHarness(t)
	s.configurations.set(version(4))
	s.targets.set(targetEntryIn("a", "north"), targetEntryIn("b", "south"))
	synctest.Wait()
	return s
}

// checkTakesWork compares which targets take work with want.
func (s *harness) checkTakesWork(t *testing.T, want map[string]bool) {
	t.Helper()
	targets := s.last().Declarations.Targets
	for name, takes := range want {
		if targets[name].TakesWork() != takes {
			t.Errorf("target %s: takes work %v, want %v", name, targets[name].TakesWork(), takes)
		}
	}
}

var (
	northOnly = map[string]bool{"a": true, "b": false}
	southOnly = map[string]bool{"a": false, "b": true}
	both      = map[string]bool{"a": true, "b": true}
)

// TestEvacuatedTargetsTakeNoWork guards against sending requests to targets in an evacuated
// data centre, and against excluding them after the evacuation has ended.
func TestEvacuatedTargetsTakeNoWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startTwoDataCentres(t)
		s.configurations.set(evacuationEntry("north"))
		s.checkTakesWork(t, southOnly)
		s.targets.set(targetEntryIn("c", "north"))
		s.checkTakesWork(t, map[string]bool{"c": false})
		s.configurations.set(evacuationRemoval("north"))
		s.checkTakesWork(t, both)
		s.configurations.set(evacuationEntry("north"), evacuationEntry("south"), evacuationEntry("unknown"))
		s.checkTakesWork(t, map[string]bool{"a": false, "b": false})
		s.configurations.set(evacuationRemoval("north"))
		s.checkTakesWork(t, northOnly)
	})
}

// TestEvacuationReachesPeers guards against routers without a connection to the platform that
// miss the start or the end of an evacuation known to their peers.
func TestEvacuationReachesPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		isolated, other := startTwoDataCentres(t), startTwoDataCentres(t)
		isolated.configurations.setDown(true)
		for _, step := range []struct {
			entry Entry[Directive]
			want  map[string]bool
		}{{evacuationEntry("north"), southOnly}, {evacuationRemoval("north"), both}, {evacuationEntry("south"), northOnly}} {
			before := isolated.last().Order()
			other.configurations.set(step.entry)
			synctest.Wait()
			if !other.last().Order().After(before) {
				t.Error("the order did not advance after an evacuation changed")
			}
			isolated.importFrom(t, other)
			isolated.checkTakesWork(t, step.want)
			if !isolated.last().Order().After(before) {
				t.Error("the order did not advance after the import from a peer")
			}
		}
	})
}

// importFrom imports what the follower of another harness exports.
func (s *harness) importFrom(t *testing.T, from *harness) {
	t.Helper()
	encoded, err := from.follower.Export(t.Context(), s.follower.Cursor())
	if err != nil {
		t.Fatal(err)
	}
	if err := s.follower.Import("peer", encoded); err != nil {
		t.Fatal(err)
	}
}

// TestEvacuationEndsDuringOutage guards against an evacuation that never ends because the
// platform discarded the removal before the router read it.
func TestEvacuationEndsDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startTwoDataCentres(t)
		s.configurations.set(evacuationEntry("north"))
		synctest.Wait()
		s.configurations.setDown(true)
		time.Sleep(time.Second)
		s.configurations.set(evacuationRemoval("north"))
		s.configurations.mu.Lock()
		s.configurations.historyLost = true
		s.configurations.mu.Unlock()
		s.configurations.setDown(false)
		time.Sleep(2 * time.Second)
		s.checkTakesWork(t, both)
	})
}

// TestEvacuationSurvivesStoreRestore guards against using an evacuated data centre because the
// platform's store was restored from a copy without the evacuation, and against keeping an
// evacuation that operators do not write again.
func TestEvacuationSurvivesStoreRestore(t *testing.T) {
	for _, rewritten := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			s := startTwoDataCentres(t)
			configurations, targets := s.configurations.copy(), s.targets.copy()
			s.configurations.set(evacuationEntry("north"))
			synctest.Wait()
			s.configurations.restore(configurations)
			s.targets.restore(targets)
			time.Sleep(time.Second)
			s.checkTakesWork(t, southOnly)
			if rewritten {
				s.configurations.set(evacuationEntry("north"))
			}
			time.Sleep(5 * time.Second)
			s.checkTakesWork(t, map[string]bool{"a": !rewritten, "b": true})
		})
	}
}
