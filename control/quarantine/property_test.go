package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const culprit = uint64(1)

// simulation is a few routers and targets that crash whenever they run the culprit. Each
// router knows only of its own runs.
type simulation struct {
	now     Instant
	routers []*Tracker
	pending []delivery
	// crashes holds all that was running at each crash, which no single router knows.
	crashes []crash
}

type delivery struct {
	to     int
	sentAt Instant
	notice Notice
}

func newSimulation() *simulation {
	s := &simulation{now: time.Minute}
	for range 3 {
		s.routers = append(s.routers, New(Options{}))
	}
	return s
}

func (s *simulation) send(from int, out Output) {
	for _, notice := range out.Notices {
		for to := range s.routers {
			if to != from {
				s.pending = append(s.pending, delivery{to: to, sentAt: s.now, notice: notice})
			}
		}
	}
}

// run has a target run fingerprints, each known to one router.
func (s *simulation) run(t *rapid.T) {
	target := fmt.Sprintf("t%d", rapid.IntRange(0, 4).Draw(t, "target"))
	running := rapid.SliceOfNDistinct(rapid.Uint64Range(1, 7), 1, 5, rapid.ID).Draw(t, "running")
	owners := make([][]uint64, len(s.routers))
	for _, fingerprint := range running {
		owner := rapid.IntRange(0, len(owners)-1).Draw(t, "owner")
		owners[owner] = append(owners[owner], fingerprint)
	}
	t.Logf("%s: %s runs %d, owners %d", s.now, target, running, owners)
	if slices.Contains(running, culprit) {
		s.crash(target, running, owners)
		return
	}
	for owner, fingerprints := range owners {
		for _, fingerprint := range fingerprints {
			if rapid.Bool().Draw(t, "completes") {
				t.Logf("%s: %d completes", s.now, fingerprint)
				s.send(owner, s.routers[owner].Completed(s.now, fingerprint))
			}
		}
	}
}

func (s *simulation) crash(target string, running []uint64, owners [][]uint64) {
	s.crashes = append(s.crashes, crash{target: target, running: running})
	for owner, fingerprints := range owners {
		if len(fingerprints) > 0 {
			s.send(owner, s.routers[owner].Crashed(s.now, target, fingerprints))
		}
	}
}

// deliver passes on one notice, in any order, and sometimes keeps it so that it is
// delivered again.
func (s *simulation) deliver(t *rapid.T) {
	i := rapid.IntRange(0, len(s.pending)-1).Draw(t, "notice")
	d := s.pending[i]
	if !rapid.Bool().Draw(t, "again") {
		s.pending = slices.Delete(s.pending, i, i+1)
	}
	d.notice.Age += s.now - d.sentAt
	t.Logf("%s: router %d receives %+v", s.now, d.to, d.notice)
	s.send(d.to, s.routers[d.to].Merge(s.now, d.notice))
}

// deliverAll passes on every notice.
func (s *simulation) deliverAll() {
	for len(s.pending) > 0 {
		d := s.pending[0]
		s.pending = s.pending[1:]
		d.notice.Age += s.now - d.sentAt
		s.send(d.to, s.routers[d.to].Merge(s.now, d.notice))
	}
}

// alwaysRunning returns the innocent fingerprints that were running at every crash.
func (s *simulation) alwaysRunning() []uint64 {
	var present []uint64
	for fingerprint := culprit + 1; fingerprint <= 7; fingerprint++ {
		absent := slices.ContainsFunc(s.crashes, func(c crash) bool { return !slices.Contains(c.running, fingerprint) })
		if !absent {
			present = append(present, fingerprint)
		}
	}
	return present
}

func (s *simulation) crashedTargets() int {
	targets := make(map[string]bool)
	for _, c := range s.crashes {
		targets[c.target] = true
	}
	return len(targets)
}

// naiveConvictions returns how many innocent fingerprints would be convicted by a rule
// that convicts all that were running at crashes of two targets.
func (s *simulation) naiveConvictions() int {
	targets := make(map[uint64]map[string]bool)
	for _, c := range s.crashes {
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

// TestOnlyTheCulpritIsConvicted checks, for any sequence of runs and any order of
// notices, that once all routers have the same evidence no innocent fingerprint is
// convicted and all agree about the culprit. The culprit is convicted if it was running
// at crashes of two targets and no innocent fingerprint was running at every crash.
func TestOnlyTheCulpritIsConvicted(t *testing.T) {
	naiveRuleFailed := false
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation()
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			if len(s.pending) > 0 && rapid.Bool().Draw(t, "deliver") {
				s.deliver(t)
				continue
			}
			s.now += rapid.Custom(drawPause).Draw(t, "pause")
			s.run(t)
		}
		s.deliverAll()
		s.check(t)
		naiveRuleFailed = naiveRuleFailed || s.naiveConvictions() > 0
	})
	if !naiveRuleFailed {
		t.Error("no sequence of runs in which the naive rule convicts an innocent fingerprint: the test proves nothing")
	}
}

func drawPause(t *rapid.T) Instant {
	return time.Duration(rapid.IntRange(11, 30).Draw(t, "seconds")) * time.Second
}

func (s *simulation) check(t *rapid.T) {
	mustConvict := s.crashedTargets() >= 2 && len(s.alwaysRunning()) == 0
	for i, router := range s.routers {
		for fingerprint := culprit + 1; fingerprint <= 7; fingerprint++ {
			if router.Verdict(fingerprint) == VerdictConvicted {
				t.Fatalf("router %d convicts the innocent fingerprint %d", i, fingerprint)
			}
		}
		if got := router.Verdict(culprit); got != s.routers[0].Verdict(culprit) {
			t.Fatalf("router %d has verdict %s on the culprit, router 0 has %s", i, got, s.routers[0].Verdict(culprit))
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
		tracker.ConnectionsLost(now, fmt.Sprint(i%7), fingerprints)
		tracker.Crashed(now, fmt.Sprint(i), fingerprints)
		tracker.Merge(now, Notice{Kind: NoticeCrash, Target: "x", Running: fingerprints, Age: time.Minute})
		tracker.Completed(now, i)
		tracker.Completed(now+time.Second, i/2)
		if len(tracker.crashes) > 4 || len(tracker.unconfirmed) > 4 || len(tracker.convicted) > 2 || len(tracker.verdicts) > 32 {
			t.Fatalf("step %d: %d crashes, %d unconfirmed, %d convicted, %d verdicts", i,
				len(tracker.crashes), len(tracker.unconfirmed), len(tracker.convicted), len(tracker.verdicts))
		}
		if len(tracker.completions.order) > 16 || len(tracker.completions.byFingerprint) > 16 {
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

// TestClearanceIsNotRepeatedForEveryNotice checks that evidence which arrives from
// several routers is answered once per second.
func TestClearanceIsNotRepeatedForEveryNotice(t *testing.T) {
	tracker := New(Options{})
	now := time.Minute
	tracker.Completed(now, 5)
	stale := Notice{Kind: NoticeCrash, Target: "t1", Running: []uint64{5}, Age: time.Second}
	for i, want := range []int{1, 0, 0, 1} {
		if i == 3 {
			now += completionInterval
			stale.Age += completionInterval
		}
		if got := len(tracker.Merge(now, stale).Notices); got != want {
			t.Fatalf("notice %d was answered by %d notices, want %d", i, got, want)
		}
	}
}
