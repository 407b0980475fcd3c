package directory

import (
	"time"

	"github.com/walnutcove/walnutcove/config"
)

// state holds what this router knows of the directory. It is not safe for concurrent use.
type state struct {
	configuration Configuration
	// previous holds the configurations that were in force before, the latest last.
	previous []Configuration
	// origin is the source of configuration.
	origin config.Origin
	// listed reports that the targets were listed at least once.
	listed  bool
	targets map[string]knownTarget
	// gone holds the removals of targets, so that an older listing does not add them again.
	gone map[string]removal
	// deferredRemovals holds the removals of targets whose entries may have lapsed, until they
	// take effect; see Options.ReturnGrace.
	deferredRemovals map[string]deferredRemoval
	// unconfirmed holds the entries that may exist only because the platform's store was
	// restored from an older copy; see state.isSuperseded.
	unconfirmed map[string]unconfirmed
	// evacuations holds the latest evacuation of each data centre, active or ended.
	evacuations map[string]evacuation
	// operatorRevision is the highest revision of the entries that operators wrote.
	operatorRevision config.Revision
	// eraListed is the revision of the first listing of the current era. Entries up to this
	// revision may have been written before the era.
	eraListed config.Revision
	// revision is the highest revision applied.
	revision config.Revision
	// peerSynced reports that the export of a peer that knows the targets was merged.
	peerSynced bool
	// unversionedChanges counts the changes that neither the version nor a revision reflects:
	// those that took effect through the passage of time, or that have an older revision than
	// changes applied before them.
	unversionedChanges uint64
}

// knownTarget is a target as it was published.
type knownTarget struct {
	target   config.Target
	revision config.Revision
	// corrected reports that the target is leaving, as was known in the previous era, although
	// the platform does not list it as leaving yet.
	corrected bool
}

// removal is the removal of a target, identified by its start.
type removal struct {
	revision config.Revision
	start    int64
}

// deferredRemoval is a removal that has not taken effect yet.
type deferredRemoval struct {
	revision config.Revision
	// until is when the removal takes effect.
	until time.Time
}

func newState() state {
	return state{
		targets:          make(map[string]knownTarget),
		gone:             make(map[string]removal),
		deferredRemovals: make(map[string]deferredRemoval),
		unconfirmed:      make(map[string]unconfirmed),
		evacuations:      make(map[string]evacuation),
	}
}

// applyConfiguration stores a configuration if its version is newer, or if the same version was
// written again later.
func (s *state) applyConfiguration(c Configuration) bool {
	if !s.replaces(c) {
		return false
	}
	s.keepPrevious()
	s.configuration = c
	s.operatorRevision = max(s.operatorRevision, c.Revision)
	return true
}

// replaces reports whether a configuration is newer than the one in force.
func (s *state) replaces(c Configuration) bool {
	own := s.configuration
	return c.Version > own.Version || c.Version == own.Version && c.Revision > own.Revision
}

// apply applies changed targets. A removal takes effect immediately, or at acceptAt if that is
// not zero. It reports whether anything changed.
func (s *state) apply(entries []Entry[config.Target], acceptAt time.Time) bool {
	changed := false
	for _, entry := range entries {
		if entry.Gone {
			changed = s.remove(entry.Key, entry.Revision, acceptAt) || changed
			continue
		}
		changed = s.put(entry) || changed
	}
	return changed
}

// put applies the entry of a listed target. It reports whether the target changed.
func (s *state) put(entry Entry[config.Target]) bool {
	old, exists := s.targets[entry.Key]
	if entry.Revision <= s.gone[entry.Key].revision || (exists && entry.Revision < old.revision) {
		return false
	}
	if !exists && entry.Revision.Era() < s.revision.Era() {
		return false // An entry of an earlier era, whose removal the current era would never report.
	}
	next := knownTarget{target: entry.Value, revision: entry.Revision}
	if exists && s.mayPredate(entry.Revision, old.revision) && entry.Value.Start == old.target.Start && old.target.Leaving {
		next.corrected = !next.target.Leaving
		next.target.Leaving = true
	}
	delete(s.gone, entry.Key)
	delete(s.deferredRemovals, entry.Key)
	delete(s.unconfirmed, entry.Key)
	if exists && entry.Revision == old.revision {
		return false
	}
	s.targets[entry.Key] = next
	s.revision = max(s.revision, entry.Revision)
	return true
}

// remove applies the removal of a target, or of its unconfirmed entry. The removal of a target is
// deferred until acceptAt if that is not zero. It reports whether anything changed now.
func (s *state) remove(key string, revision config.Revision, acceptAt time.Time) bool {
	if u, pending := s.unconfirmed[key]; pending && u.revision < revision {
		delete(s.unconfirmed, key)
		s.gone[key] = removal{revision: revision, start: u.target.Start}
		s.revision = max(s.revision, revision)
		return true
	}
	old, exists := s.targets[key]
	if !exists || revision < old.revision {
		return false
	}
	if !acceptAt.IsZero() {
		if _, pending := s.deferredRemovals[key]; !pending {
			s.deferredRemovals[key] = deferredRemoval{revision: revision, until: acceptAt}
		}
		return false
	}
	delete(s.targets, key)
	delete(s.deferredRemovals, key)
	s.gone[key] = removal{revision: revision, start: old.target.Start}
	s.revision = max(s.revision, revision)
	return true
}

// emptiesPool reports whether changed entries remove, without notice, most of the targets of a
// pool. It is then more likely that the platform itself stalled and the entries lapsed
// meanwhile than that so many targets left at once.
func (s *state) emptiesPool(entries []Entry[config.Target]) bool {
	removed := make(map[string]int)
	for _, entry := range entries {
		old, exists := s.targets[entry.Key]
		if entry.Gone && exists && !old.target.Leaving {
			removed[old.target.Pool]++
		}
	}
	if len(removed) == 0 {
		return false
	}
	serving := make(map[string]int)
	for _, k := range s.targets {
		if !k.target.Leaving {
			serving[k.target.Pool]++
		}
	}
	for pool, count := range removed {
		if count > 1 && 2*count > serving[pool] {
			return true
		}
	}
	return false
}

// withRemovals returns the entries of a complete listing, and a removal for each known target
// that is missing from it: that target was removed no later than the listing's revision.
func (s *state) withRemovals(listing Listing[config.Target]) []Entry[config.Target] {
	entries := listing.Entries
	listed := make(map[string]bool, len(entries))
	for _, entry := range entries {
		listed[entry.Key] = true
	}
	for key, old := range s.targets {
		if !listed[key] && old.revision <= listing.Revision {
			entries = append(entries, Entry[config.Target]{Key: key, Revision: listing.Revision, Gone: true})
		}
	}
	return entries
}

// expire applies the deferred removals, the ends of evacuations and the unconfirmed entries that
// are due, and returns when the next one is due; zero if there is none.
func (s *state) expire(now time.Time) (changed bool, next time.Time) {
	due := func(until time.Time) bool {
		if !now.Before(until) {
			return true
		}
		if next.IsZero() || until.Before(next) {
			next = until
		}
		return false
	}
	for key, d := range s.deferredRemovals {
		changed = due(d.until) && s.remove(key, d.revision, time.Time{}) || changed
	}
	for dataCentre, e := range s.evacuations {
		if !e.until.IsZero() && due(e.until) {
			s.expireEvacuation(dataCentre, e)
			changed = true
		}
	}
	for key, u := range s.unconfirmed {
		changed = due(u.until) && s.confirm(key, u) || changed
	}
	return changed, next
}

// change applies changes to the state. Those that no revision reflects count as unversioned, so
// that the order of what is known advances with each change.
func (s *state) change(apply func(*state) bool) {
	before := s.order()
	if apply(s) && s.order() == before {
		s.unversionedChanges++
	}
}

// order returns the order of the snapshot of what is known.
func (s *state) order() config.SnapshotOrder {
	return config.SnapshotOrder{
		Version:     s.configuration.Version,
		Config:      s.operatorRevision,
		Targets:     s.revision,
		Unversioned: s.unversionedChanges,
	}
}

// snapshot combines the known configuration and targets; nil before there are a configuration
// and a listing of the targets.
func (s *state) snapshot() *config.Snapshot {
	if s.configuration.Version == 0 || !s.listed {
		return nil
	}
	declarations := s.configuration.Declarations
	declarations.Targets = make(map[string]config.Target, len(s.targets))
	for name, k := range s.targets {
		if _, served := declarations.Pools[k.target.Pool]; served {
			target := k.target
			target.Evacuated = s.isEvacuated(target.DataCentre)
			declarations.Targets[name] = target
		}
	}
	return &config.Snapshot{
		Version:            s.configuration.Version,
		Declarations:       declarations,
		ConfigRevision:     s.operatorRevision,
		TargetsRevision:    s.revision,
		UnversionedChanges: s.unversionedChanges,
		Origin:             s.origin,
	}
}
