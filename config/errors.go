package config

import (
	"fmt"
	"sort"
	"strings"
)

// Problem is one validation failure of a configuration.
type Problem struct {
	// Object is the section and name, for example "workspaces.bakery".
	Object string `json:"object"`
	// Field is the field's name in TOML and JSON. It is empty if the problem
	// concerns the object as a whole.
	Field string `json:"field,omitempty"`
	// Reason is a short sentence without a full stop.
	Reason string `json:"reason"`
}

// String returns the problem on one line.
func (p Problem) String() string {
	if p.Field == "" {
		return p.Object + ": " + p.Reason
	}
	return p.Object + "." + p.Field + ": " + p.Reason
}

// ValidationError lists every problem of a configuration, ordered by object
// and field.
type ValidationError struct{ Problems []Problem }

// Error implements error.
func (e *ValidationError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return "config: not valid: " + strings.Join(lines, "; ")
}

// PatchError reports that a patch is malformed.
type PatchError struct {
	// Path locates the problem in the patch, for example "changes.workspaces".
	Path string
	// Reason is a short sentence without a full stop.
	Reason string
}

// Error implements error.
func (e *PatchError) Error() string {
	return fmt.Sprintf("config: patch %s: %s", e.Path, e.Reason)
}

// VersionConflictError reports that a patch was not made against the newest
// version.
type VersionConflictError struct {
	// Base is the version that the patch was made against.
	Base Version
	// Newest is the newest version known.
	Newest Version
	// WinnerPatchID is the id of the patch accepted as version Base+1. It is
	// empty if that version does not exist or was not read.
	WinnerPatchID string
}

// Error implements error.
func (e *VersionConflictError) Error() string {
	text := fmt.Sprintf("config: version conflict: patch is against %d, newest is %d", e.Base, e.Newest)
	if e.WinnerPatchID != "" {
		text += fmt.Sprintf(", version %d was taken by patch %s", e.Base+1, e.WinnerPatchID)
	}
	return text
}

// DigestError reports that a version's content does not match its digest.
type DigestError struct {
	Version Version
	// Stated is the digest that came with the version.
	Stated Digest
	// Computed is the digest of the content, as computed by the reader.
	Computed Digest
}

// Error implements error.
func (e *DigestError) Error() string {
	return fmt.Sprintf("config: version %d: stated digest %s does not match computed digest %s", e.Version, e.Stated, e.Computed)
}

// SequenceError reports that an entry is not the successor of the snapshot
// that it was applied to.
type SequenceError struct {
	// Have is the snapshot's version.
	Have Version
	// Got is the entry's version.
	Got Version
}

// Error implements error.
func (e *SequenceError) Error() string {
	return fmt.Sprintf("config: version %d does not follow version %d", e.Got, e.Have)
}

// problemList collects validation problems.
type problemList struct{ problems []Problem }

func (l *problemList) add(object, field, format string, args ...any) {
	l.problems = append(l.problems, Problem{Object: object, Field: field, Reason: fmt.Sprintf(format, args...)})
}

// addAll adds the problems of other, except those of a field or object that
// already has a problem: a value that could not be decoded is reported once.
func (l *problemList) addAll(other *problemList) {
	type place struct{ object, field string }
	known := make(map[place]bool, len(l.problems))
	for _, p := range l.problems {
		known[place{p.Object, p.Field}] = true
	}
	for _, p := range other.problems {
		if !known[place{p.Object, p.Field}] && !known[place{p.Object, ""}] {
			l.problems = append(l.problems, p)
		}
	}
}

// err returns a *ValidationError with the sorted problems, or nil.
func (l *problemList) err() error {
	if len(l.problems) == 0 {
		return nil
	}
	sort.SliceStable(l.problems, func(i, j int) bool {
		a, b := l.problems[i], l.problems[j]
		if a.Object != b.Object {
			return a.Object < b.Object
		}
		if a.Field != b.Field {
			return a.Field < b.Field
		}
		return a.Reason < b.Reason
	})
	return &ValidationError{Problems: l.problems}
}
