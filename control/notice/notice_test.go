package notice

import (
	"testing"
	"time"
)

func declaredAs(start int64) func(string) (int64, bool) {
	return func(string) (int64, bool) { return start, true }
}

func undeclared(string) (int64, bool) { return 0, false }

// TestLeavingEndsWithTheStart checks that leaving applies to the start that reported it,
// also while the target's entry is missing for a short time, and not to the next start
// of the same name.
func TestLeavingEndsWithTheStart(t *testing.T) {
	var s Set
	if !s.Add(0, "a", 1, Notice{Leaving: true}) {
		t.Error("the first notice does not count as new")
	}
	if s.Add(0, "a", 1, Notice{Leaving: true}) {
		t.Error("the second notice counts as new")
	}
	s.Prune(time.Second, undeclared)
	s.Prune(2*time.Second, declaredAs(1))
	if !s.IsLeaving("a", 1) || !s.IsLeaving("a", 0) || s.IsLeaving("a", 2) || s.IsLeaving("b", 1) {
		t.Error("leaving does not apply to exactly the start that reported it")
	}
	s.Add(3*time.Second, "a", 2, Notice{Leaving: true})
	if s.Add(3*time.Second, "a", 1, Notice{Leaving: true}) || !s.IsLeaving("a", 2) {
		t.Error("a late notice of an earlier start replaces that of the next one")
	}
	s.Prune(3*time.Second, declaredAs(3))
	if s.IsLeaving("a", 0) {
		t.Error("leaving applies to a later start")
	}
}

// TestNoticesAreBounded checks that notices of targets that no longer exist are removed.
func TestNoticesAreBounded(t *testing.T) {
	var s Set
	s.Add(0, "a", 1, Notice{Leaving: true})
	s.Prune(undeclaredTTL, undeclared)
	if len(s.byTarget) != 1 {
		t.Fatal("removed before undeclaredTTL has passed")
	}
	s.Prune(undeclaredTTL+1, undeclared)
	if len(s.byTarget) != 0 {
		t.Error("kept after undeclaredTTL")
	}
	if s.Add(0, "a", 1, Notice{}) || len(s.byTarget) != 0 {
		t.Error("an answer without a notice is kept")
	}
}

// TestHoldOffEndsByItself checks that a hold-off lasts until the latest time that the
// target asked for, and does not apply to the target's next start.
func TestHoldOffEndsByItself(t *testing.T) {
	var s Set
	s.Add(0, "a", 1, Notice{HoldOff: 3 * time.Second})
	s.Add(time.Second, "a", 1, Notice{HoldOff: time.Second})
	if !s.IsWithheld(2*time.Second, "a", 1) || s.IsLeaving("a", 1) || s.IsWithheld(2*time.Second, "a", 2) {
		t.Error("requests are not withheld from exactly the start that asked for it")
	}
	if left := s.HoldOffLeft(2*time.Second, "a", 1); left != time.Second {
		t.Errorf("hold-off left: %s, want 1s", left)
	}
	if held := s.HoldOffTargets(2 * time.Second); len(held) != 1 || held[0] != "a" {
		t.Errorf("targets with a hold-off: %v", held)
	}
	if s.IsWithheld(3*time.Second, "a", 1) || s.HoldOffLeft(3*time.Second, "a", 1) != 0 || len(s.HoldOffTargets(3*time.Second)) != 0 {
		t.Error("hold-off in force after its end")
	}
	s.Prune(3*time.Second, declaredAs(1))
	if len(s.byTarget) != 0 {
		t.Error("hold-off kept after its end")
	}
}
