package directory

import (
	"encoding/json"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/walnutcove/walnutcove/config"
)

// feedCopy is a copy of the content of a feed.
type feedCopy[T any] struct {
	entries  map[string]Entry[T]
	revision config.Revision
}

func (f *fakeFeed[T]) copy() feedCopy[T] {
	f.mu.Lock()
	defer f.mu.Unlock()
	return feedCopy[T]{entries: maps.Clone(f.entries), revision: f.revision}
}

// restore replaces the feed's content by a copy, in the next era.
func (f *fakeFeed[T]) restore(from feedCopy[T]) {
	f.mu.Lock()
	defer f.mu.Unlock()
	era := f.revision.Era() + 1
	f.revision = config.NewRevision(era, from.revision.Counter())
	f.entries = make(map[string]Entry[T], len(from.entries))
	for key, entry := range from.entries {
		entry.Revision = config.NewRevision(era, entry.Revision.Counter())
		f.entries[key] = entry
	}
	f.notify()
}

// restoreHarness is a harness whose platform loses what was written since a copy.
type restoreHarness struct {
	*harness
	configurations feedCopy[Directive]
	targets        feedCopy[config.Target]
}

// startRestoreHarness returns a harness together with the copy that its platform is restored
// from.
func startRestoreHarness(t *testing.T) *restoreHarness {
	t.Helper()
	s := startPopulated(t)
	return &restoreHarness{harness: s, configurations: s.configurations.copy(), targets: s.targets.copy()}
}

// restoreStore restores both feeds from the copies and lets the follower notice.
func (d *restoreHarness) restoreStore() {
	d.harness.configurations.restore(d.configurations)
	d.harness.targets.restore(d.targets)
	time.Sleep(100 * time.Millisecond)
	synctest.Wait()
}

// write writes entries of targets and waits until they are processed.
func (s *harness) write(entries ...Entry[config.Target]) {
	s.targets.set(entries...)
	synctest.Wait()
}

// last returns the newest snapshot.
func (s *harness) last() *config.Snapshot {
	synctest.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshots[len(s.snapshots)-1]
}

// leavingEntry returns the entry of a target that is leaving.
func leavingEntry(name string) Entry[config.Target] {
	entry := targetEntry(name)
	entry.Value.Leaving = true
	return entry
}

// startedEntry returns the entry of one start of a target.
func startedEntry(name string, start int64) Entry[config.Target] {
	entry := targetEntry(name)
	entry.Value.Start = start
	return entry
}

// TestTargetAtReusedRevision guards against ignoring a target that registers at a revision that
// was already used in the previous era.
func TestTargetAtReusedRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := startRestoreHarness(t)
		for range 20 {
			d.write(targetEntry("a"))
		}
		d.restoreStore()
		d.write(targetEntry("new"))
		if !d.serves("new") {
			t.Error("a target that registered after the restore is not used")
		}
	})
}

// TestRemovalAtReusedRevision guards against ignoring a removal at a revision that was already
// used in the previous era.
func TestRemovalAtReusedRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := startRestoreHarness(t)
		for range 20 {
			d.write(targetEntry("a"))
		}
		d.restoreStore()
		time.Sleep(lapseWindow)
		d.write(removalOf("a"))
		if d.serves("a") {
			t.Error("a target that was removed after the restore is still used")
		}
	})
}

// TestListingAfterLostHistory guards against ignoring entries of a new era unless the reload was
// caused by the restore: here the platform also loses its history after the restore.
func TestListingAfterLostHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := startRestoreHarness(t)
		for range 20 {
			d.write(targetEntry("a"))
		}
		d.restoreStore()
		d.harness.targets.mu.Lock()
		d.harness.targets.historyLost = true
		d.harness.targets.mu.Unlock()
		d.write(targetEntry("new"), leavingEntry("b"))
		time.Sleep(time.Second)
		if !d.serves("new") || !d.last().Declarations.Targets["b"].Leaving {
			t.Error("what was listed after the restore is not applied")
		}
	})
}

// TestTargetsMissingAfterRestoreMayReturn guards against dropping targets that the copy lacks:
// they stay in use for as long as an entry may take to reappear, and are removed if it has not
// by then.
func TestTargetsMissingAfterRestoreMayReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := startRestoreHarness(t)
		d.write(targetEntry("returns"), targetEntry("stays away"))
		d.restoreStore()
		if !d.serves("returns") || !d.serves("stays away") {
			t.Fatal("a target that registered after the copy was made is not used")
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

// TestRestoreDoesNotUndoRemoval guards against using a target that left after the copy was made
// and that the copy lists as if it were alive; one whose entry is renewed is used in the end.
func TestRestoreDoesNotUndoRemoval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := startRestoreHarness(t)
		d.write(removalOf("a"))
		d.write(removalOf("b"))
		d.restoreStore()
		time.Sleep(maxLapse / 2)
		if d.serves("a") || d.serves("b") {
			t.Error("a target that was removed is used again")
		}
		d.write(removalOf("a")) // it lapses
		time.Sleep(maxLapse)
		if d.serves("a") {
			t.Error("a target that lapsed after the restore is used")
		}
		if !d.serves("b") {
			t.Error("a target that is still listed is not used")
		}
	})
}

// TestRestoreDoesNotUndoLeaving guards against using a target that began to leave after the
// copy was made.
func TestRestoreDoesNotUndoLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := startRestoreHarness(t)
		d.write(leavingEntry("a"))
		d.restoreStore()
		if !d.last().Declarations.Targets["a"].Leaving {
			t.Error("a target that leaves is taken for one that stays")
		}
		d.write(startedEntry("a", 7)) // another start under the same key
		if d.last().Declarations.Targets["a"].Leaving {
			t.Error("a later start is taken for one that is leaving")
		}
	})
}

// TestRestoreKeepsLatestStart guards against using a target with the start before its latest
// one.
func TestRestoreKeepsLatestStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startPopulated(t)
		s.write(startedEntry("a", 1))
		d := &restoreHarness{harness: s, configurations: s.configurations.copy(), targets: s.targets.copy()}
		d.write(startedEntry("a", 2))
		d.restoreStore()
		if got := d.last().Declarations.Targets["a"].Start; got != 2 {
			t.Errorf("start %d is used", got)
		}
		d.write(startedEntry("a", 2))
		time.Sleep(5 * time.Second)
		if !d.serves("a") {
			t.Error("a target that registered again is not used")
		}
	})
}

// versionWithPool returns a version with an additional pool.
func versionWithPool(number config.Version, pool string) Entry[Directive] {
	entry := version(number)
	entry.Value.Declarations.Pools[pool] = config.Pool{}
	return entry
}

// TestVersionRewrittenAfterRestore guards against going back to the copy's version, and against
// keeping the lost content of a version that is written again with other content.
func TestVersionRewrittenAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := startRestoreHarness(t)
		for range 20 {
			d.write(targetEntry("a"))
		}
		d.harness.configurations.set(versionWithPool(9, "lost"))
		synctest.Wait()
		d.restoreStore()
		if got := d.last().Version; got != 9 {
			t.Errorf("version %d is in force", got)
		}
		d.harness.configurations.set(versionWithPool(9, "written"))
		synctest.Wait()
		if _, known := d.last().Declarations.Pools["written"]; !known {
			t.Error("the rewritten content is not in force")
		}
	})
}

// sendUpdates passes on what one router knows and another does not.
func sendUpdates(t *testing.T, from, to *harness) {
	t.Helper()
	encoded, err := from.follower.Export(t.Context(), to.follower.Cursor())
	if err != nil {
		t.Fatal(err)
	}
	if err := to.follower.Import("peer", encoded); err != nil {
		t.Fatal(err)
	}
	synctest.Wait()
}

// startDisconnected starts a harness whose platform does not answer.
func startDisconnected(t *testing.T) *harness {
	t.Helper()
	s := &harness{configurations: newFeed[Directive](), targets: newFeed[config.Target]()}
	s.configurations.setDown(true)
	s.targets.setDown(true)
	s.run(t)
	return s
}

// TestPeerOfEarlierEra guards against ordering peers' exports by the store's counter: a router
// that was paused during the restore neither overrides the others nor keeps what they know to
// be gone, although its counter is higher.
func TestPeerOfEarlierEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := startRestoreHarness(t)
		paused := startDisconnected(t)
		d.write(targetEntry("lost"))
		for range 20 {
			d.write(targetEntry("a"))
		}
		sendUpdates(t, d.harness, paused)
		d.restoreStore()
		time.Sleep(lapseWindow)
		d.write(targetEntry("new"))
		d.write(leavingEntry("b"))
		d.write(removalOf("c"))

		sendUpdates(t, paused, d.harness)
		if !d.last().Declarations.Targets["b"].Leaving || d.serves("c") {
			t.Error("a peer of an earlier era overrides what is known")
		}
		sendUpdates(t, d.harness, paused)
		if !paused.serves("new") || !paused.last().Declarations.Targets["b"].Leaving {
			t.Error("a router of an earlier era does not apply its peer's export")
		}
		time.Sleep(5 * time.Second)
		if paused.serves("lost") || paused.serves("c") {
			t.Error("a router of an earlier era keeps targets that are gone")
		}
	})
}

// TestRouterStartedAfterRestore guards against a router that starts after the restore and knows
// only the copy: its peers report the version in force and which targets have left.
func TestRouterStartedAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := startRestoreHarness(t)
		d.write(removalOf("a"))
		d.write(leavingEntry("b"))
		d.harness.configurations.set(version(9))
		synctest.Wait()
		d.restoreStore()
		late := &harness{configurations: d.harness.configurations, targets: d.harness.targets}
		late.run(t)
		time.Sleep(100 * time.Millisecond)
		sendUpdates(t, d.harness, late)
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

// TestExportIsReadByEarlierBuilds guards against a fleet whose routers cannot report removals
// to each other while they are updated one by one: earlier builds read revisions as numbers.
func TestExportIsReadByEarlierBuilds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startPopulated(t)
		s.write(startedEntry("a", 7))
		s.write(removalOf("a"))
		encoded, err := s.follower.Export(t.Context(), Cursor{})
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
