package directory

import (
	"encoding/json"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/walnutcove/walnutcove/config"
)

// copied is the content of a feed at some moment.
type copied[T any] struct {
	entries  map[string]Entry[T]
	revision config.Revision
}

func (f *fakeFeed[T]) copy() copied[T] {
	f.mu.Lock()
	defer f.mu.Unlock()
	return copied[T]{entries: maps.Clone(f.entries), revision: f.revision}
}

// restore makes the feed come back from a copy, in the next era.
func (f *fakeFeed[T]) restore(from copied[T]) {
	f.mu.Lock()
	defer f.mu.Unlock()
	era := f.revision.Era() + 1
	f.revision = config.NewRevision(era, from.revision.Counter())
	f.entries = make(map[string]Entry[T], len(from.entries))
	for key, entry := range from.entries {
		entry.Revision = config.NewRevision(era, entry.Revision.Counter())
		f.entries[key] = entry
	}
	f.wake()
}

// drill is a scene whose platform loses what was written since a copy.
type drill struct {
	*scene
	configurations copied[Directive]
	targets        copied[config.Target]
}

// startDrill returns a scene, and the copy that its platform will come back from.
func startDrill(t *testing.T) *drill {
	t.Helper()
	s := startPopulated(t)
	return &drill{scene: s, configurations: s.configurations.copy(), targets: s.targets.copy()}
}

// comesBack restores both feeds and lets the follower notice.
func (d *drill) comesBack() {
	d.scene.configurations.restore(d.configurations)
	d.scene.targets.restore(d.targets)
	time.Sleep(100 * time.Millisecond)
	synctest.Wait()
}

// write writes entries of targets, and lets them arrive.
func (s *scene) write(entries ...Entry[config.Target]) {
	s.targets.set(entries...)
	synctest.Wait()
}

// last returns the newest snapshot.
func (s *scene) last() *config.Snapshot {
	synctest.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshots[len(s.snapshots)-1]
}

// leavingEntry is targetEntry of a target that leaves.
func leavingEntry(name string) Entry[config.Target] {
	entry := targetEntry(name)
	entry.Value.Leaving = true
	return entry
}

// startedEntry is targetEntry of one start of a target.
func startedEntry(name string, start int64) Entry[config.Target] {
	entry := targetEntry(name)
	entry.Value.Start = start
	return entry
}

// TestTargetAtReusedRevision guards against passing over a target that registers at a revision
// that the era before had used.
func TestTargetAtReusedRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := startDrill(t)
		for range 20 {
			d.write(targetEntry("a"))
		}
		d.comesBack()
		d.write(targetEntry("new"))
		if !d.serves("new") {
			t.Error("a target that registered after the return is not used")
		}
	})
}

// TestRemovalAtReusedRevision guards against passing over a removal at a revision that the era
// before had used.
func TestRemovalAtReusedRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := startDrill(t)
		for range 20 {
			d.write(targetEntry("a"))
		}
		d.comesBack()
		time.Sleep(lapseShown)
		d.write(gone("a"))
		if d.serves("a") {
			t.Error("a target that was removed after the return is still used")
		}
	})
}

// TestListingAfterLostHistory guards against an order that only a reload for a new era keeps:
// the platform forgets its history after its return, too.
func TestListingAfterLostHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := startDrill(t)
		for range 20 {
			d.write(targetEntry("a"))
		}
		d.comesBack()
		d.scene.targets.mu.Lock()
		d.scene.targets.forgetful = true
		d.scene.targets.mu.Unlock()
		d.write(targetEntry("new"), leavingEntry("b"))
		time.Sleep(time.Second)
		if !d.serves("new") || !d.last().Declarations.Targets["b"].Leaving {
			t.Error("what was listed after the return is not believed")
		}
	})
}

// TestLostEntriesMayReturn guards against dropping targets that the copy lacks: they are used
// on for as long as an entry may take to return, and go then if it has not.
func TestLostEntriesMayReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := startDrill(t)
		d.write(targetEntry("returns"), targetEntry("stays away"))
		d.comesBack()
		if !d.serves("returns") || !d.serves("stays away") {
			t.Fatal("a target that registered in the lost time is not used")
		}
		time.Sleep(time.Second)
		d.write(targetEntry("returns"))
		time.Sleep(2 * time.Second)
		if !d.serves("returns") {
			t.Error("a target that registered again is not used")
		}
		if d.serves("stays away") {
			t.Error("a target that did not register again is still used")
		}
	})
}

// TestCopyUndoesNoRemoval guards against using a target that left in the lost time and that
// the copy lists as if it lived; one that somebody renews is used in the end.
func TestCopyUndoesNoRemoval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := startDrill(t)
		d.write(gone("a"))
		d.write(gone("b"))
		d.comesBack()
		time.Sleep(longestLapse / 2)
		if d.serves("a") || d.serves("b") {
			t.Error("a target that was removed is used again")
		}
		d.write(gone("a")) // it lapses
		time.Sleep(longestLapse)
		if d.serves("a") {
			t.Error("a target that lapsed after the return is used")
		}
		if !d.serves("b") {
			t.Error("a target that is listed on is not used")
		}
	})
}

// TestCopyUndoesNoLeaving guards against using a target that began to leave in the lost time.
func TestCopyUndoesNoLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := startDrill(t)
		d.write(leavingEntry("a"))
		d.comesBack()
		if !d.last().Declarations.Targets["a"].Leaving {
			t.Error("a target that leaves is taken for one that stays")
		}
		d.write(startedEntry("a", 7)) // another start under the same key
		if d.last().Declarations.Targets["a"].Leaving {
			t.Error("a later start is taken for one that leaves")
		}
	})
}

// TestCopyNamesAnEarlierStart guards against using a target by the start before its last.
func TestCopyNamesAnEarlierStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startPopulated(t)
		s.write(startedEntry("a", 1))
		d := &drill{scene: s, configurations: s.configurations.copy(), targets: s.targets.copy()}
		d.write(startedEntry("a", 2))
		d.comesBack()
		if got := d.last().Declarations.Targets["a"].Start; got != 2 {
			t.Errorf("start %d is used", got)
		}
		d.write(startedEntry("a", 2))
		time.Sleep(5 * time.Second)
		if !d.serves("a") {
			t.Error("a target that wrote itself again is not used")
		}
	})
}

// versionFor is version with content of its own.
func versionFor(number config.Version, pool string) Entry[Directive] {
	entry := version(number)
	entry.Value.Declarations.Pools[pool] = config.Pool{}
	return entry
}

// TestVersionIsWrittenAgain guards against going back to the copy's version, and against
// keeping the lost content of one that is written again with other content.
func TestVersionIsWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := startDrill(t)
		for range 20 {
			d.write(targetEntry("a"))
		}
		d.scene.configurations.set(versionFor(9, "lost"))
		synctest.Wait()
		d.comesBack()
		if got := d.last().Version; got != 9 {
			t.Errorf("version %d is in force", got)
		}
		d.scene.configurations.set(versionFor(9, "written"))
		synctest.Wait()
		if _, known := d.last().Declarations.Pools["written"]; !known {
			t.Error("the content that was written again is not in force")
		}
	})
}

// tell passes on what one router knows and another does not.
func tell(t *testing.T, from, to *scene) {
	t.Helper()
	encoded, err := from.follower.Export(to.follower.Known())
	if err != nil {
		t.Fatal(err)
	}
	if err := to.follower.Import("peer", encoded); err != nil {
		t.Fatal(err)
	}
	synctest.Wait()
}

// startCutOff starts a scene whose platform does not answer.
func startCutOff(t *testing.T) *scene {
	t.Helper()
	s := &scene{configurations: newFeed[Directive](), targets: newFeed[config.Target]()}
	s.configurations.setDown(true)
	s.targets.setDown(true)
	s.run(t)
	return s
}

// TestPeerOfTheEraBefore guards against ordering news of peers by the store's counter: a
// router that was paused through the return neither overrides the others nor keeps what they
// know to be over, although its counter is higher.
func TestPeerOfTheEraBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := startDrill(t)
		paused := startCutOff(t)
		d.write(targetEntry("lost"))
		for range 20 {
			d.write(targetEntry("a"))
		}
		tell(t, d.scene, paused)
		d.comesBack()
		time.Sleep(lapseShown)
		d.write(targetEntry("new"))
		d.write(leavingEntry("b"))
		d.write(gone("c"))

		tell(t, paused, d.scene)
		if !d.last().Declarations.Targets["b"].Leaving || d.serves("c") {
			t.Error("a peer of the era before overrides what is known")
		}
		tell(t, d.scene, paused)
		if !paused.serves("new") || !paused.last().Declarations.Targets["b"].Leaving {
			t.Error("a router of the era before does not believe its peer")
		}
		time.Sleep(5 * time.Second)
		if paused.serves("lost") || paused.serves("c") {
			t.Error("a router of the era before keeps targets that are gone")
		}
	})
}

// TestRouterStartedInBetween guards against a router that starts after the return and knows
// the copy alone: peers tell it of the version in force and of what has left.
func TestRouterStartedInBetween(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := startDrill(t)
		d.write(gone("a"))
		d.write(leavingEntry("b"))
		d.scene.configurations.set(version(9))
		synctest.Wait()
		d.comesBack()
		late := &scene{configurations: d.scene.configurations, targets: d.scene.targets}
		late.run(t)
		time.Sleep(100 * time.Millisecond)
		tell(t, d.scene, late)
		switch got := late.last(); {
		case got.Version != 9:
			t.Errorf("version %d is in force", got.Version)
		case !got.Declarations.Targets["b"].Leaving:
			t.Error("a target that leaves is taken for one that stays")
		case late.serves("a"):
			t.Error("a target that was removed is used")
		}
	})
}

// TestExportIsReadByEarlierBuilds guards against a fleet whose routers cannot tell each other
// of removals while they are updated one by one: earlier builds read revisions as numbers.
func TestExportIsReadByEarlierBuilds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startPopulated(t)
		s.write(startedEntry("a", 7))
		s.write(gone("a"))
		encoded, err := s.follower.Export(Known{})
		if err != nil {
			t.Fatal(err)
		}
		var earlier struct {
			Gone     map[string]uint64 `json:"gone"`
			Revision uint64            `json:"revision"`
			Targets  map[string]struct {
				Revision uint64 `json:"revision"`
			} `json:"targets"`
		}
		if err := json.Unmarshal(encoded, &earlier); err != nil {
			t.Fatal(err)
		}
		if earlier.Gone["a"] != earlier.Revision || earlier.Targets["b"].Revision == 0 {
			t.Errorf("an earlier build reads %+v", earlier)
		}
	})
}
