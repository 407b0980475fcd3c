// Package notice holds what targets report about themselves in their answers to one
// router: that they are leaving, or that they want no requests from this router for some
// time. The list of targets may show later that a target is leaving, or not at all while
// the platform accepts no writes. A hold-off concerns one target and one router and is
// in no list.
package notice

import "time"

// undeclaredTTL is how long a notice of a target that is not declared is kept: the
// target's entry may expire while the platform is unavailable, and return.
const undeclaredTTL = time.Minute

// Notice is what a target's answer reports about the target.
type Notice struct {
	// Leaving is set if it accepts no new requests.
	Leaving bool
	// HoldOff is how long it wants no requests from this router; zero if it asks for
	// none.
	HoldOff time.Duration
}

// IsZero reports whether the answer said nothing about the target.
func (n Notice) IsZero() bool { return n == Notice{} }

// Set holds the notices that one router received, by target. The zero value is empty. It
// is not safe for concurrent use. All times passed to it must be of one clock.
type Set struct {
	byTarget map[string]*entry
}

// entry holds the notices from one start of a target.
type entry struct {
	start   int64
	leaving bool
	// holdOffUntil is when its hold-off ends.
	holdOffUntil time.Duration
	// declaredAt is when the target was last known to be declared.
	declaredAt time.Duration
}

// Add adds a notice from one start of a target; start is zero if it is not known. It
// reports whether the target was not known to be leaving before and is now.
func (s *Set) Add(now time.Duration, target string, start int64, n Notice) (becameLeaving bool) {
	if n.IsZero() {
		return false
	}
	if known := s.byTarget[target]; known != nil && start != 0 && start < known.start {
		return false // an answer of an earlier start that was read late
	}
	e := s.find(target, start)
	if e == nil {
		if s.byTarget == nil {
			s.byTarget = make(map[string]*entry)
		}
		e = &entry{start: start, declaredAt: now}
		s.byTarget[target] = e
	}
	becameLeaving = n.Leaving && !e.leaving
	e.leaving = e.leaving || n.Leaving
	e.holdOffUntil = max(e.holdOffUntil, now+n.HoldOff)
	return becameLeaving
}

// IsWithheld reports whether a start of a target wants no requests from this router,
// because it is leaving or has a hold-off in force.
func (s *Set) IsWithheld(now time.Duration, target string, start int64) bool {
	e := s.find(target, start)
	return e != nil && (e.leaving || now < e.holdOffUntil)
}

// HoldOffLeft returns the remaining hold-off of a start of a target; zero if there is
// none.
func (s *Set) HoldOffLeft(now time.Duration, target string, start int64) time.Duration {
	e := s.find(target, start)
	if e == nil {
		return 0
	}
	return max(0, e.holdOffUntil-now)
}

// HoldOffTargets returns the targets with a hold-off in force, in no particular order.
func (s *Set) HoldOffTargets(now time.Duration) []string {
	var targets []string
	for target, e := range s.byTarget {
		if now < e.holdOffUntil {
			targets = append(targets, target)
		}
	}
	return targets
}

// IsLeaving reports whether a start of a target has said that it is leaving.
func (s *Set) IsLeaving(target string, start int64) bool {
	e := s.find(target, start)
	return e != nil && e.leaving
}

// Prune removes the notices of starts that have been replaced, of targets that have not
// been declared for undeclaredTTL, and hold-offs that have ended. startOf returns the
// declared start of a target.
func (s *Set) Prune(now time.Duration, startOf func(target string) (start int64, declared bool)) {
	for target, e := range s.byTarget {
		start, declared := startOf(target)
		switch {
		case declared && !SameStart(e.start, start), !e.leaving && e.holdOffUntil <= now:
			delete(s.byTarget, target)
		case declared:
			e.declaredAt = now
		case now-e.declaredAt > undeclaredTTL:
			delete(s.byTarget, target)
		}
	}
}

// find returns the entry of a start of a target, or nil.
func (s *Set) find(target string, start int64) *entry {
	e := s.byTarget[target]
	if e == nil || !SameStart(e.start, start) {
		return nil
	}
	return e
}

// SameStart reports whether two starts of a target may be the same. Zero is a start that
// is not known.
func SameStart(a, b int64) bool { return a == b || a == 0 || b == 0 }
