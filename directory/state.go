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
	// gone holds the revisions at which targets were removed, so that an older
	// listing does not bring them back.
	gone map[string]uint64
	// lapsed holds the targets whose entries are missing, with the time at which
	// they are taken as gone: see Options.ReturnGrace.
	lapsed map[string]lapse
	// revision is the highest revision applied.
	revision uint64
	// believed counts the lapses that were believed. Such a removal is older than what
	// was applied since, so revision does not show it.
	believed uint64
}

// known is a target as it was published.
type known struct {
	target   config.Target
	revision uint64
}

// lapse is a removal that is not yet believed.
type lapse struct {
	revision uint64
	until    time.Time
}

func newState() state {
	return state{
		targets: make(map[string]known),
		gone:    make(map[string]uint64),
		lapsed:  make(map[string]lapse),
	}
}

// configure takes a version over if it is newer.
func (s *state) configure(c Configuration) bool {
	if c.Version <= s.configuration.Version {
		return false
	}
	s.configuration = c
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
	if entry.Revision <= s.gone[entry.Key] || (exists && entry.Revision < old.revision) {
		return false
	}
	delete(s.gone, entry.Key)
	delete(s.lapsed, entry.Key)
	if exists && entry.Revision == old.revision {
		return false
	}
	s.targets[entry.Key] = known{target: entry.Value, revision: entry.Revision}
	s.revision = max(s.revision, entry.Revision)
	return true
}

func (s *state) remove(key string, revision uint64, believeAt time.Time) bool {
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
	s.gone[key] = revision
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

// expire believes the removals whose time has come and returns when the next one
// is due; zero if none is.
func (s *state) expire(now time.Time) (changed bool, next time.Time) {
	for key, l := range s.lapsed {
		if !now.Before(l.until) {
			if s.remove(key, l.revision, time.Time{}) {
				s.believed++
				changed = true
			}
			continue
		}
		if next.IsZero() || l.until.Before(next) {
			next = l.until
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
			declarations.Targets[name] = k.target
		}
	}
	return &config.Snapshot{
		Version:         s.configuration.Version,
		Declarations:    declarations,
		TargetsRevision: s.revision,
		TargetsLapsed:   s.believed,
	}
}

// export copies what another router does not know yet: all targets changed,
// removed or doubted after its revision, and the configuration if its version is older.
func (s *state) export(known Known, now time.Time) exported {
	content := exported{
		Targets:  make(map[string]exportedTarget),
		Gone:     make(map[string]uint64),
		Lapsed:   make(map[string]exportedLapse),
		Revision: s.revision,
	}
	if s.configuration.Version > known.Version {
		content.Version = s.configuration.Version
		content.Declarations = s.configuration.Declarations
	}
	for name, k := range s.targets {
		if k.revision > known.Revision {
			content.Targets[name] = exportedTarget{Target: k.target, Revision: k.revision}
		}
	}
	for name, revision := range s.gone {
		if revision > known.Revision {
			content.Gone[name] = revision
		}
	}
	for name, l := range s.lapsed {
		if l.revision > known.Revision {
			content.Lapsed[name] = exportedLapse{Revision: l.revision, Left: l.until.Sub(now)}
		}
	}
	return content
}
