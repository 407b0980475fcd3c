package directory

import (
	"time"

	"github.com/walnutcove/walnutcove/config"
)

// state is what is known of the directory. It is not safe for concurrent use.
type state struct {
	configuration Configuration
	// listed says that the targets were listed at least once.
	listed  bool
	targets map[string]known
	// gone holds the removals of targets, so that an older listing does not bring them
	// back.
	gone map[string]removal
	// lapsed holds the targets whose entries are missing, with the time at which
	// they are taken as gone: see Options.ReturnGrace.
	lapsed map[string]lapse
	// unconfirmed holds the entries that may stand in an older copy of the platform's
	// store only; see state.isContradicted.
	unconfirmed map[string]unconfirmed
	// evacuations holds the latest evacuation of each data centre, active or ended.
	evacuations map[string]evacuation
	// operatorRevision is the highest revision of the entries that operators wrote.
	operatorRevision config.Revision
	// eraListed is the first listing of the present era. What is not above it may be older
	// than the era.
	eraListed config.Revision
	// revision is the highest revision applied.
	revision config.Revision
	// peerSynced says that a peer has given what it knows.
	peerSynced bool
	// believed counts what came to be believed with time, or by a peer's word, alone. Such a
	// change is older than what was applied since, so revision does not show it.
	believed uint64
}

// known is a target as it was published.
type known struct {
	target   config.Target
	revision config.Revision
	// corrected says that the target leaves, as was known in the era before, though the
	// platform does not list it so yet.
	corrected bool
}

// removal is that of a target, by the start that it had.
type removal struct {
	revision config.Revision
	start    int64
}

// lapse is a removal that is not yet believed.
type lapse struct {
	revision config.Revision
	until    time.Time
}

func newState() state {
	return state{
		targets:     make(map[string]known),
		gone:        make(map[string]removal),
		lapsed:      make(map[string]lapse),
		unconfirmed: make(map[string]unconfirmed),
		evacuations: make(map[string]evacuation),
	}
}

// configure takes a version over if it is newer, or was written again later.
func (s *state) configure(c Configuration) bool {
	own := s.configuration
	if c.Version < own.Version || c.Version == own.Version && c.Revision <= own.Revision {
		return false
	}
	s.configuration = c
	s.operatorRevision = max(s.operatorRevision, c.Revision)
	return true
}

// apply takes in changed targets. A removal is believed at once, or at believeAt
// if that is not zero. It reports whether anything changed.
func (s *state) apply(entries []Entry[config.Target], believeAt time.Time) bool {
	changed := false
	for _, entry := range entries {
		if entry.Gone {
			changed = s.remove(entry.Key, entry.Revision, believeAt) || changed
			continue
		}
		changed = s.put(entry) || changed
	}
	return changed
}

func (s *state) put(entry Entry[config.Target]) bool {
	old, exists := s.targets[entry.Key]
	if entry.Revision <= s.gone[entry.Key].revision || (exists && entry.Revision < old.revision) {
		return false
	}
	if !exists && entry.Revision.Era() < s.revision.Era() {
		return false // Nothing would tell of its removal any more.
	}
	next := known{target: entry.Value, revision: entry.Revision}
	if exists && s.mayBeCopied(entry.Revision, old.revision) && entry.Value.Start == old.target.Start && old.target.Leaving {
		next.corrected = !next.target.Leaving
		next.target.Leaving = true
	}
	delete(s.gone, entry.Key)
	delete(s.lapsed, entry.Key)
	delete(s.unconfirmed, entry.Key)
	if exists && entry.Revision == old.revision {
		return false
	}
	s.targets[entry.Key] = next
	s.revision = max(s.revision, entry.Revision)
	return true
}

func (s *state) remove(key string, revision config.Revision, believeAt time.Time) bool {
	if u, waits := s.unconfirmed[key]; waits && u.revision < revision {
		delete(s.unconfirmed, key)
		s.gone[key] = removal{revision: revision, start: u.target.Start}
		s.revision = max(s.revision, revision)
		return true
	}
	old, exists := s.targets[key]
	if !exists || revision < old.revision {
		return false
	}
	if !believeAt.IsZero() {
		if _, waits := s.lapsed[key]; !waits {
			s.lapsed[key] = lapse{revision: revision, until: believeAt}
		}
		return false
	}
	delete(s.targets, key)
	delete(s.lapsed, key)
	s.gone[key] = removal{revision: revision, start: old.target.Start}
	s.revision = max(s.revision, revision)
	return true
}

// emptiesPool says whether changed entries take away, without notice, most of the
// targets that a pool has. Then it is likelier that the platform itself stood
// still, and the entries lapsed meanwhile, than that so many targets left at once.
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

// withMissing returns the entries of a whole listing, and a removal for each known
// target that it lacks: that one was removed by the listing's revision.
func (s *state) withMissing(listing Listing[config.Target]) []Entry[config.Target] {
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

// expire believes the removals and entries whose time has come and returns when the next
// one is due; zero if none is.
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
	for key, l := range s.lapsed {
		if due(l.until) && s.remove(key, l.revision, time.Time{}) {
			s.believed++
			changed = true
		}
	}
	for dataCentre, e := range s.evacuations {
		if !e.until.IsZero() && due(e.until) && s.expireEvacuation(dataCentre, e) {
			changed = true
		}
	}
	for key, u := range s.unconfirmed {
		if due(u.until) && s.confirm(key, u) {
			s.believed++
			changed = true
		}
	}
	return changed, next
}

// snapshot composes what is known; nil before there are a configuration and a
// listing of the targets.
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
		Version:         s.configuration.Version,
		Declarations:    declarations,
		ConfigRevision:  s.operatorRevision,
		TargetsRevision: s.revision,
		TargetsLapsed:   s.believed,
	}
}
