// Package notice keeps what targets say of themselves in their answers to one router: that
// they leave, or that they want nothing from this router for a while. Of leaving the listing
// of targets may say later, or not at all while the platform takes no writes; a hold-off is
// between a target and one router, and no listing says it.
package notice

import "time"

// keptUndeclared is how long a notice is kept of a target that is not declared: its entry may
// lapse while the platform is away, and come back.
const keptUndeclared = time.Minute

// Notice is what an answer of a target says of the target.
type Notice struct {
	// Leaving says that it takes no new requests.
	Leaving bool
	// HoldOff is how long it wants no request from this router; zero: it asks for nothing.
	HoldOff time.Duration
}

// IsZero says whether the answer said nothing of the target.
func (n Notice) IsZero() bool { return n == Notice{} }

// Set holds the notices of one router by target. The zero value is empty. It is not safe for
// concurrent use. Times are of any one clock.
type Set struct {
	byTarget map[string]*entry
}

// entry is what one start of a target said.
type entry struct {
	start   int64
	leaving bool
	// holdOffUntil is when its hold-off ends.
	holdOffUntil time.Duration
	// declaredAt is when the target was last known to be declared.
	declaredAt time.Duration
}

// Add takes in a notice of a start of a target, zero if the start is not known. It returns
// whether the target was not known to leave and is now.
func (s *Set) Add(now time.Duration, target string, start int64, n Notice) (leaves bool) {
	if n.IsZero() {
		return false
	}
	if known := s.byTarget[target]; known != nil && start != 0 && start < known.start {
		return false // an answer that was read late
	}
	e := s.find(target, start)
	if e == nil {
		if s.byTarget == nil {
			s.byTarget = make(map[string]*entry)
		}
		e = &entry{start: start, declaredAt: now}
		s.byTarget[target] = e
	}
	leaves = n.Leaving && !e.leaving
	e.leaving = e.leaving || n.Leaving
	e.holdOffUntil = max(e.holdOffUntil, now+n.HoldOff)
	return leaves
}

// IsWithheld says whether a start of a target wants no request from this router: it leaves, or
// holds this router off.
func (s *Set) IsWithheld(now time.Duration, target string, start int64) bool {
	e := s.find(target, start)
	return e != nil && (e.leaving || now < e.holdOffUntil)
}

// HoldsOff returns for how much longer a start of a target holds this router off; zero if it
// does not.
func (s *Set) HoldsOff(now time.Duration, target string, start int64) time.Duration {
	e := s.find(target, start)
	if e == nil {
		return 0
	}
	return max(0, e.holdOffUntil-now)
}

// HoldingOff returns the targets that hold this router off, in no order.
func (s *Set) HoldingOff(now time.Duration) []string {
	var targets []string
	for target, e := range s.byTarget {
		if now < e.holdOffUntil {
			targets = append(targets, target)
		}
	}
	return targets
}

// IsLeaving says whether a start of a target said that it leaves.
func (s *Set) IsLeaving(target string, start int64) bool {
	e := s.find(target, start)
	return e != nil && e.leaving
}

// Prune forgets the notices of starts that have been replaced, and of targets that have not
// been declared for long. startOf returns the declared start of a target.
func (s *Set) Prune(now time.Duration, startOf func(target string) (start int64, declared bool)) {
	for target, e := range s.byTarget {
		start, declared := startOf(target)
		switch {
		case declared && !SameStart(e.start, start), !e.leaving && e.holdOffUntil <= now:
			delete(s.byTarget, target)
		case declared:
			e.declaredAt = now
		case now-e.declaredAt > keptUndeclared:
			delete(s.byTarget, target)
		}
	}
}

// find returns the entry of a start of a target; nil if there is none.
func (s *Set) find(target string, start int64) *entry {
	e := s.byTarget[target]
	if e == nil || !SameStart(e.start, start) {
		return nil
	}
	return e
}

// SameStart says whether two starts of a target may be the same: zero is one that is not known.
func SameStart(a, b int64) bool { return a == b || a == 0 || b == 0 }
