package directory

import (
	"time"

	"github.com/walnutcove/walnutcove/config"
)

// When the platform's store is restored from an older copy, it lists its targets as of that
// copy and, over time, what targets and operators write again. What is known from the previous
// era stays in use: a target that the copy lacks may register again, and one that the copy
// lists may have left since.

// unconfirmed is an entry that may exist only because the store was restored from an older
// copy.
type unconfirmed struct {
	target   config.Target
	revision config.Revision
	// until is when the platform would have removed the entry if nobody renewed it.
	until time.Time
}

// enterEra records the first listing of an era.
func (s *state) enterEra(listed config.Revision) {
	switch {
	case listed.Era() > s.eraListed.Era():
		s.eraListed = listed
	case listed.Era() == s.eraListed.Era():
		s.eraListed = min(s.eraListed, listed)
	}
	s.revision = max(s.revision, config.NewRevision(listed.Era(), 0))
}

// mayPredate reports whether an entry may be older than what is known, although its revision is
// of a later era than knownRevision.
func (s *state) mayPredate(revision, knownRevision config.Revision) bool {
	return knownRevision.Era() < revision.Era() && revision.Era() == s.eraListed.Era() && revision <= s.eraListed
}

// isSuperseded reports whether an entry describes a start of a target that is known to have
// ended (removed) or to have been followed by a later start (restarted).
func (s *state) isSuperseded(entry Entry[config.Target]) (removed, restarted bool) {
	if entry.Gone {
		return false, false
	}
	if r, isGone := s.gone[entry.Key]; isGone && s.mayPredate(entry.Revision, r.revision) {
		removed = entry.Value.Start <= r.start
	}
	if old, exists := s.targets[entry.Key]; exists && s.mayPredate(entry.Revision, old.revision) {
		restarted = entry.Value.Start < old.target.Start
	}
	return removed, restarted
}

// withoutSuperseded drops the entries that are superseded. Those of removed targets are
// suspended until the given time, because a target whose entry had lapsed may be alive.
func (s *state) withoutSuperseded(entries []Entry[config.Target], until time.Time) []Entry[config.Target] {
	kept := make([]Entry[config.Target], 0, len(entries))
	for _, entry := range entries {
		removed, restarted := s.isSuperseded(entry)
		switch {
		case removed:
			s.suspend(entry.Key, unconfirmed{target: entry.Value, revision: entry.Revision, until: until})
		case !restarted:
			kept = append(kept, entry)
		}
	}
	return kept
}

// suspend holds back an entry until it is confirmed or removed. It reports whether the target
// was in use.
func (s *state) suspend(key string, u unconfirmed) bool {
	if before, pending := s.unconfirmed[key]; pending {
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

// confirm applies an entry that is still listed when its time has passed, which shows that
// somebody renews it.
func (s *state) confirm(key string, u unconfirmed) bool {
	delete(s.unconfirmed, key)
	if _, exists := s.targets[key]; exists || u.revision <= s.gone[key].revision {
		return false
	}
	delete(s.gone, key)
	s.targets[key] = knownTarget{target: u.target, revision: u.revision}
	return true
}

// markLeaving records that a target is leaving although the platform lists it as staying.
func (s *state) markLeaving(key string, revision config.Revision) bool {
	k, exists := s.targets[key]
	if !exists || k.revision != revision {
		return false
	}
	changed := !k.target.Leaving
	k.target.Leaving, k.corrected = true, true
	s.targets[key] = k
	return changed
}
