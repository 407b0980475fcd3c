package directory

import (
	"time"

	"github.com/walnutcove/walnutcove/config"
)

// A platform that comes back from an older copy lists what its targets were then, and in time
// what they and the operators write again. What is known of the era before is used on: a
// target that the copy lacks may write itself again, and one that the copy lists may have left
// since.

// unconfirmed is an entry that may stand in an older copy only.
type unconfirmed struct {
	target   config.Target
	revision config.Revision
	// until is when the platform would have removed it, if nobody renewed it.
	until time.Time
}

// enter notes the first listing of an era.
func (s *state) enter(listed config.Revision) {
	switch {
	case listed.Era() > s.eraListed.Era():
		s.eraListed = listed
	case listed.Era() == s.eraListed.Era():
		s.eraListed = min(s.eraListed, listed)
	}
	s.revision = max(s.revision, config.NewRevision(listed.Era(), 0))
}

// mayBeCopied says whether an entry of a revision may be older than what is known by a
// revision of an era before.
func (s *state) mayBeCopied(revision, knownBy config.Revision) bool {
	return knownBy.Era() < revision.Era() && revision.Era() == s.eraListed.Era() && revision <= s.eraListed
}

// isContradicted says whether an entry names a start of a target that is known to be over, or
// that another one followed.
func (s *state) isContradicted(entry Entry[config.Target]) (removed, followed bool) {
	if entry.Gone {
		return false, false
	}
	if r, isGone := s.gone[entry.Key]; isGone && s.mayBeCopied(entry.Revision, r.revision) {
		removed = entry.Value.Start <= r.start
	}
	if old, exists := s.targets[entry.Key]; exists && s.mayBeCopied(entry.Revision, old.revision) {
		followed = entry.Value.Start < old.target.Start
	}
	return removed, followed
}

// withoutContradicted takes out the entries that contradict what is known. Those of removed
// targets are kept until their time, as a target whose entry had lapsed may live.
func (s *state) withoutContradicted(entries []Entry[config.Target], until time.Time) []Entry[config.Target] {
	kept := make([]Entry[config.Target], 0, len(entries))
	for _, entry := range entries {
		removed, followed := s.isContradicted(entry)
		switch {
		case removed:
			s.suspend(entry.Key, unconfirmed{target: entry.Value, revision: entry.Revision, until: until})
		case !followed:
			kept = append(kept, entry)
		}
	}
	return kept
}

// suspend keeps an entry until it is confirmed or removed. It reports whether the target was
// in use.
func (s *state) suspend(key string, u unconfirmed) bool {
	if before, waits := s.unconfirmed[key]; waits {
		u.until = before.until
	}
	old, exists := s.targets[key]
	if exists && old.revision > u.revision {
		return false
	}
	s.unconfirmed[key] = u
	delete(s.targets, key)
	return exists
}

// confirm takes over an entry that is still listed after its time: somebody renews it.
func (s *state) confirm(key string, u unconfirmed) bool {
	delete(s.unconfirmed, key)
	if _, exists := s.targets[key]; exists || u.revision <= s.gone[key].revision {
		return false
	}
	delete(s.gone, key)
	s.targets[key] = known{target: u.target, revision: u.revision}
	return true
}

// correct takes over that a target leaves, though the platform lists it as staying.
func (s *state) correct(key string, revision config.Revision) bool {
	k, exists := s.targets[key]
	if !exists || k.revision != revision {
		return false
	}
	changed := !k.target.Leaving
	k.target.Leaving, k.corrected = true, true
	s.targets[key] = k
	if changed {
		s.believed++
	}
	return changed
}
