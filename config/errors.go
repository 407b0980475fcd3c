package config

import (
	"fmt"
	"sort"
	"strings"
)

// Problem is one fault in a configuration.
type Problem struct {
	// Object is the section and name, for example "workspaces.bakery".
	Object string `json:"object"`
	// Field is the field's name as it stands in TOML and JSON. It is empty
	// when the fault is in the object itself.
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

// ValidationError lists every problem of a configuration, in order of object
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

// PatchError says that a patch cannot be read.
type PatchError struct {
	// Path is the place in the patch, for example "changes.workspaces".
	Path string
	// Reason is a short sentence without a full stop.
	Reason string
}

// Error implements error.
func (e *PatchError) Error() string {
	return fmt.Sprintf("config: patch %s: %s", e.Path, e.Reason)
}

// VersionConflictError says that a patch was not made against the newest
// version.
type VersionConflictError struct {
	// Base is the version that the patch names.
	Base Version
	// Newest is the newest version known.
	Newest Version
	// WinnerPatchID is the id of the patch that took version Base+1. It is
	// empty when that version does not exist or was not read.
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

// DigestError says that a version's content does not match its digest.
type DigestError struct {
	Version  Version
	Stated   Digest
	Computed Digest
}

// Error implements error.
func (e *DigestError) Error() string {
	return fmt.Sprintf("config: version %d: digest %s stated, %s computed", e.Version, e.Stated, e.Computed)
}

// SequenceError says that an entry does not follow the snapshot it was applied to.
type SequenceError struct {
	Have Version
	Got  Version
}

// Error implements error.
func (e *SequenceError) Error() string {
	return fmt.Sprintf("config: version %d does not follow version %d", e.Got, e.Have)
}

// problemList gathers problems.
type problemList struct{ list []Problem }

func (l *problemList) add(object, field, format string, args ...any) {
	l.list = append(l.list, Problem{Object: object, Field: field, Reason: fmt.Sprintf(format, args...)})
}

// addAll adds the problems of other, but for those of a field or object that
// has a problem already: a value that could not be read needs no second one.
func (l *problemList) addAll(other *problemList) {
	type place struct{ object, field string }
	known := make(map[place]bool, len(l.list))
	for _, p := range l.list {
		known[place{p.Object, p.Field}] = true
	}
	for _, p := range other.list {
		if !known[place{p.Object, p.Field}] && !known[place{p.Object, ""}] {
			l.list = append(l.list, p)
		}
	}
}

// err returns a *ValidationError with the sorted problems, or nil.
func (l *problemList) err() error {
	if len(l.list) == 0 {
		return nil
	}
	sort.SliceStable(l.list, func(i, j int) bool {
		a, b := l.list[i], l.list[j]
		if a.Object != b.Object {
			return a.Object < b.Object
		}
		if a.Field != b.Field {
			return a.Field < b.Field
		}
		return a.Reason < b.Reason
	})
	return &ValidationError{Problems: l.list}
}
