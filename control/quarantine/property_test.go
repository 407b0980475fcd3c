package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const culprit = uint64(1)

// world is a fleet of routers before targets that crash whenever they run the
// culprit. Each router knows only of its own runs.
type world struct {
	now     Instant
	routers []*Tracker
	pending []delivery
	// crashes are what was running at each crash, as nobody knows it whole.
	crashes []crash
}

type delivery struct {
	to     int
	sentAt Instant
	notice Notice
}

func newWorld() *world {
	w := &world{now: time.Minute}
	for range 3 {
		w.routers = append(w.routers, New(Options{}))
	}
	return w
}

func (w *world) send(from int, out Output) {
	for _, notice := range out.Notices {
		for to := range w.routers {
			if to != from {
				w.pending = append(w.pending, delivery{to: to, sentAt: w.now, notice: notice})
			}
		}
	}
}

// run lets a target run fingerprints, each known to one router.
func (w *world) run(t *rapid.T) {
	target := fmt.Sprintf("t%d", rapid.IntRange(0, 4).Draw(t, "target"))
	running := rapid.SliceOfNDistinct(rapid.Uint64Range(1, 7), 1, 5, rapid.ID).Draw(t, "running")
	owners := make([][]uint64, len(w.routers))
	for _, fingerprint := range running {
		owner := rapid.IntRange(0, len(owners)-1).Draw(t, "owner")
		owners[owner] = append(owners[owner], fingerprint)
	}
	t.Logf("%s: %s runs %d, owners %d", w.now, target, running, owners)
	if slices.Contains(running, culprit) {
		w.crash(target, running, owners)
		return
	}
	for owner, fingerprints := range owners {
		for _, fingerprint := range fingerprints {
			if rapid.Bool().Draw(t, "completes") {
				t.Logf("%s: %d completes", w.now, fingerprint)
				w.send(owner, w.routers[owner].Completed(w.now, fingerprint))
			}
		}
	}
}

func (w *world) crash(target string, running []uint64, owners [][]uint64) {
	w.crashes = append(w.crashes, crash{target: target, running: running})
	for owner, fingerprints := range owners {
		if len(fingerprints) > 0 {
			w.send(owner, w.routers[owner].Crashed(w.now, target, fingerprints))
		}
	}
}

// deliver hands over one notice, in any order, and sometimes leaves it to be
// handed over again.
func (w *world) deliver(t *rapid.T) {
	i := rapid.IntRange(0, len(w.pending)-1).Draw(t, "notice")
	d := w.pending[i]
	if !rapid.Bool().Draw(t, "again") {
		w.pending = slices.Delete(w.pending, i, i+1)
	}
	d.notice.Age += w.now - d.sentAt
	t.Logf("%s: router %d hears %+v", w.now, d.to, d.notice)
	w.send(d.to, w.routers[d.to].Merge(w.now, d.notice))
}

// settle hands over every notice.
func (w *world) settle() {
	for len(w.pending) > 0 {
		d := w.pending[0]
		w.pending = w.pending[1:]
		d.notice.Age += w.now - d.sentAt
		w.send(d.to, w.routers[d.to].Merge(w.now, d.notice))
	}
}

// presentAtAll returns the innocents that were running at every crash.
func (w *world) presentAtAll() []uint64 {
	var present []uint64
	for fingerprint := culprit + 1; fingerprint <= 7; fingerprint++ {
		absent := slices.ContainsFunc(w.crashes, func(c crash) bool { return !slices.Contains(c.running, fingerprint) })
		if !absent {
			present = append(present, fingerprint)
		}
	}
	return present
}

func (w *world) crashedTargets() int {
	targets := make(map[string]bool)
	for _, c := range w.crashes {
		targets[c.target] = true
	}
	return len(targets)
}

// naive counts the innocents that a rule without explanations would convict:
// all that were running at crashes of two targets.
func (w *world) naive() int {
	targets := make(map[uint64]map[string]bool)
	for _, c := range w.crashes {
		for _, fingerprint := range c.running {
			if targets[fingerprint] == nil {
				targets[fingerprint] = make(map[string]bool)
			}
			targets[fingerprint][c.target] = true
		}
	}
	convicted := 0
	for fingerprint, crashed := range targets {
		if fingerprint != culprit && len(crashed) >= 2 {
			convicted++
		}
	}
	return convicted
}

// TestInnocentsGoFree checks, for any course of runs and any order of notices:
// once all routers know all, no innocent is convicted, all agree about the
// culprit, and it is convicted if it was on two targets as they crashed and no
// innocent was at every crash.
func TestInnocentsGoFree(t *testing.T) {
	naiveWasWrong := false
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			if len(w.pending) > 0 && rapid.Bool().Draw(t, "deliver") {
				w.deliver(t)
				continue
			}
			w.now += rapid.Custom(drawPause).Draw(t, "pause")
			w.run(t)
		}
		w.settle()
		w.check(t)
		naiveWasWrong = naiveWasWrong || w.naive() > 0
	})
	if !naiveWasWrong {
		t.Error("no course of runs in which a naive rule convicts an innocent: the test shows nothing")
	}
}

func drawPause(t *rapid.T) Instant {
	return time.Duration(rapid.IntRange(11, 30).Draw(t, "seconds")) * time.Second
}

func (w *world) check(t *rapid.T) {
	mustConvict := w.crashedTargets() >= 2 && len(w.presentAtAll()) == 0
	for i, router := range w.routers {
		for fingerprint := culprit + 1; fingerprint <= 7; fingerprint++ {
			if router.Verdict(fingerprint) == VerdictConvicted {
				t.Fatalf("router %d convicts the innocent %d", i, fingerprint)
			}
		}
		if got := router.Verdict(culprit); got != w.routers[0].Verdict(culprit) {
			t.Fatalf("router %d says %s of the culprit, router 0 says %s", i, got, w.routers[0].Verdict(culprit))
		}
		if mustConvict && router.Verdict(culprit) != VerdictConvicted {
			t.Fatalf("router %d does not convict the culprit: %s", i, router.Verdict(culprit))
		}
	}
}

func TestMemoryIsBounded(t *testing.T) {
	tracker := New(Options{MaxCrashes: 4, MaxRunning: 8, MaxCompletions: 16})
	for i := range uint64(1000) {
		now := time.Duration(i) * 20 * time.Second
		fingerprints := []uint64{i % 13, i, i + 1, i + 2, i + 3, i + 4, i + 5, i + 6, i + 7, i + 8}
		tracker.Lost(now, fmt.Sprint(i%7), fingerprints)
		tracker.Crashed(now, fmt.Sprint(i), fingerprints)
		tracker.Merge(now, Notice{Kind: NoticeCrash, Target: "x", Running: fingerprints, Age: time.Minute})
		tracker.Completed(now, i)
		tracker.Completed(now+time.Second, i/2)
		if len(tracker.crashes) > 4 || len(tracker.unconfirmed) > 4 || len(tracker.convicted) > 2 || len(tracker.verdicts) > 32 {
			t.Fatalf("step %d: %d crashes, %d unconfirmed, %d convicted, %d verdicts", i,
				len(tracker.crashes), len(tracker.unconfirmed), len(tracker.convicted), len(tracker.verdicts))
		}
		if len(tracker.completions.order) > 16 || len(tracker.completions.known) > 16 {
			t.Fatalf("step %d: %d completions", i, len(tracker.completions.order))
		}
		for _, c := range tracker.crashes {
			if len(c.running) > 8 {
				t.Fatalf("step %d: %d running", i, len(c.running))
			}
		}
		tracker.Expire(now + time.Second)
	}
}

// The same evidence arrives on many ways; it is answered once a second.
func TestClearanceIsNotRepeatedForEveryNotice(t *testing.T) {
	tracker := New(Options{})
	now := time.Minute
	tracker.Completed(now, 5)
	stale := Notice{Kind: NoticeCrash, Target: "t1", Running: []uint64{5}, Age: time.Second}
	for i, want := range []int{1, 0, 0, 1} {
		if i == 3 {
			now += announceEvery
			stale.Age += announceEvery
		}
		if got := len(tracker.Merge(now, stale).Notices); got != want {
			t.Fatalf("notice %d was answered by %d, want %d", i, got, want)
		}
	}
}
