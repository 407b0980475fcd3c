package notice

import (
	"testing"
	"time"
)

func declaredAs(start int64) func(string) (int64, bool) {
	return func(string) (int64, bool) { return start, true }
}

func undeclared(string) (int64, bool) { return 0, false }

// TestLeavingEndsWithTheStart: that a target leaves holds for the start that said so, also while
// its entry is away for a moment, and not for the next one under its name.
func TestLeavingEndsWithTheStart(t *testing.T) {
	var s Set
	if !s.Add(0, "a", 1, Notice{Leaving: true}) {
		t.Error("the first notice is no news")
	}
	if s.Add(0, "a", 1, Notice{Leaving: true}) {
		t.Error("the second notice is news")
	}
	s.Prune(time.Second, undeclared)
	s.Prune(2*time.Second, declaredAs(1))
	if !s.IsLeaving("a", 1) || !s.IsLeaving("a", 0) || s.IsLeaving("a", 2) || s.IsLeaving("b", 1) {
		t.Error("leaving is not that of the start which said so")
	}
	s.Add(3*time.Second, "a", 2, Notice{Leaving: true})
	if s.Add(3*time.Second, "a", 1, Notice{Leaving: true}) || !s.IsLeaving("a", 2) {
		t.Error("a late word of the start before replaces that of the next")
	}
	s.Prune(3*time.Second, declaredAs(3))
	if s.IsLeaving("a", 0) {
		t.Error("leaving outlives the start")
	}
}

// TestNoticesAreBounded: notices of targets that are gone are forgotten.
func TestNoticesAreBounded(t *testing.T) {
	var s Set
	s.Add(0, "a", 1, Notice{Leaving: true})
	s.Prune(keptUndeclared, undeclared)
	if len(s.byTarget) != 1 {
		t.Fatal("forgotten at once")
	}
	s.Prune(keptUndeclared+1, undeclared)
	if len(s.byTarget) != 0 {
		t.Error("kept for ever")
	}
	if s.Add(0, "a", 1, Notice{}) || len(s.byTarget) != 0 {
		t.Error("an answer without a notice is kept")
	}
}

// TestHoldOffEndsByItself: a hold-off lasts for the longest time that the target asked for, and
// says nothing of the target's next start.
func TestHoldOffEndsByItself(t *testing.T) {
	var s Set
	s.Add(0, "a", 1, Notice{HoldOff: 3 * time.Second})
	s.Add(time.Second, "a", 1, Notice{HoldOff: time.Second})
	if !s.IsWithheld(2*time.Second, "a", 1) || s.IsLeaving("a", 1) || s.IsWithheld(2*time.Second, "a", 2) {
		t.Error("withheld is not the start that asked for it")
	}
	if left := s.HoldsOff(2*time.Second, "a", 1); left != time.Second {
		t.Errorf("%s left", left)
	}
	if held := s.HoldingOff(2 * time.Second); len(held) != 1 || held[0] != "a" {
		t.Errorf("holding off: %v", held)
	}
	if s.IsWithheld(3*time.Second, "a", 1) || s.HoldsOff(3*time.Second, "a", 1) != 0 || len(s.HoldingOff(3*time.Second)) != 0 {
		t.Error("withheld after its end")
	}
	s.Prune(3*time.Second, declaredAs(1))
	if len(s.byTarget) != 0 {
		t.Error("kept after its end")
	}
}
