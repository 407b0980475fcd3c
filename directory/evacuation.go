package directory

import (
	"maps"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/config"
)

var (
	evacuationsBegun = metrics.GetOrCreateCounter(`walnut_directory_evacuations_total{event="begun"}`)
	evacuationsEnded = metrics.GetOrCreateCounter(`walnut_directory_evacuations_total{event="ended"}`)
)

// evacuation is the latest evacuation of a data centre, active or ended.
type evacuation struct {
	revision config.Revision
	ended    bool
	// until is when the evacuation expires, if it is missing from a later era of the platform's
	// store; zero if it does not expire. Operators write it again if the platform lost it.
	until time.Time
}

// applyEvacuation stores an evacuation or its end unless a newer one is known. It reports
// whether the set of evacuated data centres may have changed.
func (s *state) applyEvacuation(dataCentre string, next evacuation) bool {
	before, known := s.evacuations[dataCentre]
	if known && next.revision <= before.revision {
		return false
	}
	s.evacuations[dataCentre] = next
	s.operatorRevision = max(s.operatorRevision, next.revision)
	return !next.ended || known && !before.ended
}

// endMissingEvacuations ends the evacuations that are missing from a complete listing. Those
// from before the listing's era expire at until instead, because the copy that the store was
// restored from may predate them.
func (s *state) endMissingEvacuations(listing Listing[Directive], until time.Time) bool {
	listed := make(map[string]bool)
	for _, entry := range listing.Entries {
		listed[entry.Value.Evacuates] = true
	}
	changed := false
	for dataCentre, e := range s.evacuations {
		switch {
		case e.ended || listed[dataCentre] || e.revision > listing.Revision:
		case e.revision.Era() < listing.Revision.Era():
			if e.until.IsZero() {
				e.until = until
				s.evacuations[dataCentre] = e
			}
		default:
			changed = s.applyEvacuation(dataCentre, evacuation{revision: listing.Revision, ended: true}) || changed
		}
	}
	return changed
}

// expireEvacuation ends an evacuation that operators did not write again within the grace.
func (s *state) expireEvacuation(dataCentre string, e evacuation) {
	s.evacuations[dataCentre] = evacuation{revision: e.revision, ended: true}
}

func (s *state) isEvacuated(dataCentre string) bool {
	e, known := s.evacuations[dataCentre]
	return known && !e.ended
}

// evacuatedDataCentres returns the evacuated data centres in lexical order.
func (s *state) evacuatedDataCentres() []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(s.evacuations)) {
		if s.isEvacuated(name) {
			names = append(names, name)
		}
	}
	return names
}

func (s *state) countTargetsIn(dataCentre string) int {
	count := 0
	for _, k := range s.targets {
		if k.target.DataCentre == dataCentre {
			count++
		}
	}
	return count
}

// noteEvacuations logs and counts the evacuations that began or ended. f.mu must be held.
func (f *Follower) noteEvacuations(source string, before []string) {
	now := f.state.evacuatedDataCentres()
	if slices.Equal(before, now) {
		return
	}
	for _, name := range now {
		if !slices.Contains(before, name) {
			evacuationsBegun.Inc()
			f.options.Log.Warn("directory: Data centre is evacuated.", "data_centre", name, "source", source,
				"revision", f.state.evacuations[name].revision.String(), "targets", f.state.countTargetsIn(name))
		}
	}
	for _, name := range before {
		if !slices.Contains(now, name) {
			evacuationsEnded.Inc()
			f.options.Log.Info("directory: Evacuation has ended.", "data_centre", name, "source", source,
				"revision", f.state.evacuations[name].revision.String(), "targets", f.state.countTargetsIn(name))
		}
	}
}
