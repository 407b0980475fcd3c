package config

import (
	"encoding/json"
	"maps"
	"time"

	jsonpatch "github.com/evanphx/json-patch/v5"
)

// Empty returns version zero: the state of a store that holds no versions.
func Empty() *Snapshot {
	return &Snapshot{Declarations: Declarations{
		Workspaces: map[string]Workspace{},
		Pools:      map[string]Pool{},
		Targets:    map[string]Target{},
		Routes:     map[string]Route{},
	}}
}

// Apply applies a patch to s and returns the resulting next version. Only the
// objects named by the patch are decoded, merged and validated; maps are
// copied, and s is not modified. Errors are *PatchError,
// *VersionConflictError or *ValidationError.
func Apply(s *Snapshot, patch Patch) (*Snapshot, error) {
	patch, err := patch.Normalise()
	if err != nil {
		return nil, err
	}
	if patch.Base != s.Version {
		return nil, &VersionConflictError{Base: patch.Base, Newest: s.Version}
	}
	touched, err := decodeSections(patch.Changes)
	if err != nil {
		return nil, &PatchError{Path: "changes", Reason: err.Error()}
	}
	next, err := merge(s, touched)
	if err != nil {
		return nil, err
	}
	next.Version = s.Version + 1
	next.PatchID = patch.ID
	next.digestInputs = digestInputs{previousDigest: s.Digest, patchHash: patch.hash()}
	next.Digest = next.computeDigest(next.content)
	return next, nil
}

// merge builds the declarations of the next version, validates the changed
// objects, and updates the content sum and the index incrementally.
func merge(s *Snapshot, touched rawDocument) (*Snapshot, error) {
	old := s.Declarations
	problems := &problemList{}
	merged := Declarations{
		Workspaces: mergeSection(workspaceSection, old.Workspaces, touched.Workspaces, problems),
		Pools:      mergeSection(poolSection, old.Pools, touched.Pools, problems),
		Targets:    mergeSection(targetSection, old.Targets, touched.Targets, problems),
		Routes:     mergeSection(routeSection, old.Routes, touched.Routes, problems),
	}
	invalid := &problemList{}
	validateTouched(merged, touched, s.Index(), invalid)
	problems.addAll(invalid)
	if err := problems.err(); err != nil {
		return nil, err
	}
	sum := s.contentSum()
	updateSum(&sum, workspaceSection, old.Workspaces, merged.Workspaces, touched.Workspaces)
	updateSum(&sum, poolSection, old.Pools, merged.Pools, touched.Pools)
	updateSum(&sum, targetSection, old.Targets, merged.Targets, touched.Targets)
	updateSum(&sum, routeSection, old.Routes, merged.Routes, touched.Routes)
	next := &Snapshot{Declarations: merged}
	next.contentOnce.Do(func() { next.content = sum })
	next.indexOnce.Do(func() { next.index = s.Index().derive(old, merged, touched) })
	return next, nil
}

func mergeSection[T any](s section[T], old map[string]T, changes map[string]json.RawMessage, problems *problemList) map[string]T {
	if len(changes) == 0 && old != nil {
		return old
	}
	next := maps.Clone(old)
	if next == nil {
		next = make(map[string]T, len(changes))
	}
	for name, change := range changes {
		if isNull(change) {
			delete(next, name)
			continue
		}
		current, exists := old[name]
		next[name] = mergeObject(s, name, current, exists, change, problems)
	}
	return next
}

// mergeObject applies a merge patch to one object.
func mergeObject[T any](s section[T], name string, current T, exists bool, change json.RawMessage, problems *problemList) T {
	encoded := []byte("{}")
	if exists {
		var err error
		if encoded, err = json.Marshal(current); err != nil {
			problems.add(s.path(name), "", "cannot be encoded: %v", err)
			return current
		}
	}
	if change[0] != '{' {
		problems.add(s.path(name), "", "must be an object")
		return current
	}
	merged, err := jsonpatch.MergePatch(encoded, change)
	if err != nil {
		problems.add(s.path(name), "", "cannot be merged: %v", err)
		return current
	}
	return s.decode(name, merged, problems)
}

func isNull(raw json.RawMessage) bool { return string(raw) == "null" }

// NewEntry applies the patch to s and returns the history entry to store and
// the resulting snapshot. Errors are those of Apply.
func NewEntry(s *Snapshot, patch Patch, now time.Time) (Entry, *Snapshot, error) {
	patch, err := patch.Normalise()
	if err != nil {
		return Entry{}, nil, err
	}
	next, err := Apply(s, patch)
	if err != nil {
		return Entry{}, nil, err
	}
	entry := Entry{Version: next.Version, Patch: patch, AcceptedAt: now.UTC(), Digest: next.Digest}
	return entry, next, nil
}

// ApplyEntry applies an accepted entry to the version before it. Besides the
// errors of Apply it returns *SequenceError if the entry is not the next one,
// and *DigestError if the resulting content does not match the entry's digest.
func ApplyEntry(s *Snapshot, entry Entry) (*Snapshot, error) {
	if entry.Version != s.Version+1 {
		return nil, &SequenceError{Have: s.Version, Got: entry.Version}
	}
	next, err := Apply(s, entry.Patch)
	if err != nil {
		return nil, err
	}
	if next.Digest != entry.Digest {
		return nil, &DigestError{Version: entry.Version, Stated: entry.Digest, Computed: next.Digest}
	}
	return next, nil
}
