package directory

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/walnutcove/walnutcove/config"
)

// peerExport is the encoding of the directory that routers send to each other.
type peerExport struct {
	Version        config.Version      `json:"version"`
	ConfigRevision config.Revision     `json:"config_revision,omitempty"`
	Declarations   config.Declarations `json:"declarations"`
	// Patch, if set, takes the place of Declarations.
	Patch *configPatch `json:"patch,omitempty"`
	// Format is Configuration.Format.
	Format int `json:"format,omitempty"`
	// Evacuations holds the latest evacuation of each data centre, and OperatorRevision the
	// highest revision of the entries that operators wrote.
	Evacuations      map[string]exportedEvacuation `json:"evacuations,omitempty"`
	OperatorRevision config.Revision               `json:"directed,omitempty"`
	Targets          map[string]exportedTarget     `json:"targets"`
	Gone             map[string]config.Revision    `json:"gone"`
	// DeferredRemovals holds removals that are not applied yet. The other router needs them
	// together with the later changes, because it never asks again for anything older than its
	// revision.
	DeferredRemovals map[string]exportedRemoval `json:"lapsed,omitempty"`
	// Unconfirmed holds entries that are not used yet, for the same reason.
	Unconfirmed map[string]exportedUnconfirmed `json:"unconfirmed,omitempty"`
	Revision    config.Revision                `json:"revision"`
	EraListed   config.Revision                `json:"era_listed,omitempty"`
	// Unlisted reports that the router does not know the targets yet.
	Unlisted bool `json:"unlisted,omitempty"`
}

type exportedTarget struct {
	Target   config.Target   `json:"target"`
	Revision config.Revision `json:"revision"`
	// Corrected reports that the target is leaving although the platform does not list it as
	// leaving.
	Corrected bool `json:"corrected,omitempty"`
}

type exportedEvacuation struct {
	Revision config.Revision `json:"revision"`
	Ended    bool            `json:"over,omitempty"`
	// Left is the time, in nanoseconds, until the evacuation expires; zero if it does not
	// expire.
	Left time.Duration `json:"left,omitempty"`
}

type exportedRemoval struct {
	Revision config.Revision `json:"revision"`
	// Left is the time, in nanoseconds, until the removal is applied.
	Left time.Duration `json:"left"`
}

type exportedUnconfirmed struct {
	exportedTarget
	// Left is the time, in nanoseconds, until the entry is confirmed.
	Left time.Duration `json:"left"`
}

// Cursor describes how much of the directory a router knows.
type Cursor struct {
	Version config.Version `json:"version"`
	// ConfigRevision is the highest revision of the entries that operators wrote.
	ConfigRevision config.Revision `json:"config_revision,omitempty"`
	Revision       config.Revision `json:"revision"`
	// PlatformOnly reports that everything known comes from the platform itself, which may list
	// targets as staying that other routers know to have left.
	PlatformOnly bool `json:"platform_only,omitempty"`
	// VersionRevision is the revision of the configuration version, and Format its format. They
	// are only sent by builds that accept patches.
	VersionRevision config.Revision `json:"version_revision,omitempty"`
	Format          int             `json:"format,omitempty"`
}

// Cursor returns what this router knows, as the argument for Export at another router.
func (f *Follower) Cursor() Cursor {
	f.mu.Lock()
	defer f.mu.Unlock()
	own := f.state.configuration
	return Cursor{
		Version:         own.Version,
		ConfigRevision:  f.state.operatorRevision,
		Revision:        f.state.revision,
		PlatformOnly:    !f.state.peerSynced,
		VersionRevision: own.Revision,
		Format:          own.Format,
	}
}

// Lacks reports whether this router lacks some of a directory of the given order. It does not
// block.
func (f *Follower) Lacks(announced config.SnapshotOrder) bool {
	own := f.known.Load()
	if own == nil || !own.listed {
		return true
	}
	rewritten := announced.Version == own.order.Version && announced.Config > own.order.Config
	return announced.Version > own.order.Version || rewritten || announced.Targets > own.order.Targets
}

// NeedsPeerSync reports whether everything known here comes from the platform itself, so that a
// peer has to be asked once. It does not block.
func (f *Follower) NeedsPeerSync() bool {
	own := f.known.Load()
	return own != nil && own.listed && !own.peerSynced
}

// Import merges the newer parts of another router's export. from names that router in logs.
func (f *Follower) Import(from string, encoded []byte) error {
	var content peerExport
	if err := json.Unmarshal(encoded, &content); err != nil {
		return fmt.Errorf("directory: decode from %s: %w", from, err)
	}
	var err error
	f.update("peer "+from, func(s *state) (changed bool) {
		changed, err = s.merge(content, time.Now(), f.grace())
		return changed
	})
	return err
}

// export copies what another router does not know yet: all targets changed, removed or missing
// after its revision, and the configuration if that router's is older. For a router in an
// earlier era, that is everything.
func (s *state) export(cursor Cursor, now time.Time) peerExport {
	content := peerExport{
		Targets:          make(map[string]exportedTarget),
		Gone:             make(map[string]config.Revision),
		DeferredRemovals: make(map[string]exportedRemoval),
		Unconfirmed:      make(map[string]exportedUnconfirmed),
		Revision:         s.revision,
		EraListed:        s.eraListed,
		Unlisted:         !s.listed,
	}
	own := s.configuration
	if s.operatorRevision > cursor.ConfigRevision {
		content.OperatorRevision, content.Evacuations = s.operatorRevision, s.exportEvacuations(now)
	}
	if own.Version > cursor.Version || own.Version == cursor.Version && own.Revision > cursor.ConfigRevision {
		content.Version, content.ConfigRevision, content.Format = own.Version, own.Revision, own.Format
		content.Patch = s.patchFrom(configID{cursor.Version, cursor.VersionRevision}, cursor.Format)
		if content.Patch == nil {
			content.Declarations = own.Declarations
		}
	}
	for name, k := range s.targets {
		if k.revision > cursor.Revision || k.corrected && cursor.PlatformOnly {
			content.Targets[name] = exportedTarget{Target: k.target, Revision: k.revision, Corrected: k.corrected}
		}
	}
	for name, r := range s.gone {
		if r.revision > cursor.Revision {
			content.Gone[name] = r.revision
		}
	}
	for name, d := range s.deferredRemovals {
		if d.revision > cursor.Revision {
			content.DeferredRemovals[name] = exportedRemoval{Revision: d.revision, Left: d.until.Sub(now)}
		}
	}
	for name, u := range s.unconfirmed {
		content.Unconfirmed[name] = exportedUnconfirmed{
			exportedTarget: exportedTarget{Target: u.target, Revision: u.revision},
			Left:           u.until.Sub(now),
		}
	}
	return content
}

// merge applies another router's export. The other router has already decided whether to apply
// or defer each removal. grace is how long targets that are missing from the export may take to
// be listed again if the export is of a later era. Nothing is merged if there is an error.
func (s *state) merge(content peerExport, now time.Time, grace time.Duration) (changed bool, err error) {
	configuration, newer, err := s.exportedConfiguration(content)
	if err != nil {
		return false, err
	}
	changed = newer && s.applyConfiguration(configuration)
	changed = s.mergeEvacuations(content, now, grace) || changed
	s.operatorRevision = max(s.operatorRevision, content.OperatorRevision)
	if content.Unlisted {
		return changed, nil
	}
	restored := s.listed && content.Revision.Era() > s.revision.Era()
	s.listed, s.peerSynced = true, true
	if content.EraListed > 0 {
		s.enterEra(content.EraListed)
	}
	changed = s.mergeTargets(content, now, grace) || changed
	if !restored {
		return changed, nil
	}
	for name := range s.targets {
		if _, listed := content.Targets[name]; !listed {
			s.remove(name, content.Revision, now.Add(grace))
		}
	}
	return changed, nil
}

func (s *state) exportEvacuations(now time.Time) map[string]exportedEvacuation {
	all := make(map[string]exportedEvacuation, len(s.evacuations))
	for dataCentre, e := range s.evacuations {
		out := exportedEvacuation{Revision: e.revision, Ended: e.ended}
		if !e.until.IsZero() {
			out.Left = max(e.until.Sub(now), 1)
		}
		all[dataCentre] = out
	}
	return all
}

// mergeEvacuations applies the evacuations that another router exported. An evacuation that is
// missing there expires after grace if the other router is in a later era.
func (s *state) mergeEvacuations(content peerExport, now time.Time, grace time.Duration) bool {
	changed := false
	for dataCentre, own := range s.evacuations {
		_, known := content.Evacuations[dataCentre]
		if !known && !own.ended && own.until.IsZero() && own.revision.Era() < content.OperatorRevision.Era() {
			own.until = now.Add(grace)
			s.evacuations[dataCentre] = own
		}
	}
	for dataCentre, e := range content.Evacuations {
		next := evacuation{revision: e.Revision, ended: e.Ended}
		if e.Left > 0 {
			next.until = now.Add(e.Left)
		}
		changed = s.applyEvacuation(dataCentre, next) || changed
	}
	return changed
}

// mergeTargets applies the targets that another router exported.
func (s *state) mergeTargets(content peerExport, now time.Time, grace time.Duration) bool {
	entries := make([]Entry[config.Target], 0, len(content.Targets)+len(content.Gone))
	for name, target := range content.Targets {
		entries = append(entries, Entry[config.Target]{Key: name, Revision: target.Revision, Value: target.Target})
	}
	for name, revision := range content.Gone {
		entries = append(entries, Entry[config.Target]{Key: name, Revision: revision, Gone: true})
	}
	changed := s.apply(s.withoutSuperseded(entries, now.Add(grace)), time.Time{})
	for name, target := range content.Targets {
		changed = target.Corrected && s.markLeaving(name, target.Revision) || changed
	}
	for name, u := range content.Unconfirmed {
		changed = s.suspend(name, unconfirmed{target: u.Target, revision: u.Revision, until: now.Add(u.Left)}) || changed
	}
	for name, d := range content.DeferredRemovals {
		changed = s.remove(name, d.Revision, now.Add(d.Left)) || changed
	}
	return changed
}
