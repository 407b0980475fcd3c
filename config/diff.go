package config

import (
	"encoding/json"
	"fmt"
	"reflect"
)

// ChangeKind is the kind of change that a DiffRow describes.
type ChangeKind string

// The kinds of change.
const (
	ChangeAdded   ChangeKind = "added"
	ChangeRemoved ChangeKind = "removed"
	ChangeSet     ChangeKind = "set"
)

// DiffRow is one difference between two documents, in a form for display.
type DiffRow struct {
	Kind ChangeKind `json:"kind"`
	// Object is the section and name, for example "workspaces.bakery".
	Object string `json:"object"`
	// Field, Old and New are set for ChangeSet only. Old and New are JSON;
	// empty if the field is absent.
	Field string `json:"field,omitempty"`
	Old   string `json:"old,omitempty"`
	New   string `json:"new,omitempty"`
}

// String returns the row on one line.
func (r DiffRow) String() string {
	switch r.Kind {
	case ChangeAdded:
		return "+ " + r.Object
	case ChangeRemoved:
		return "- " + r.Object
	default:
		return fmt.Sprintf("~ %s.%s: %s -> %s", r.Object, r.Field, orAbsent(r.Old), orAbsent(r.New))
	}
}

func orAbsent(value string) string {
	if value == "" {
		return "(absent)"
	}
	return value
}

// Diff returns the merge patch that turns from into to, and the differences
// ordered by section, object and field. Equal documents give "{}" and no rows.
func Diff(from, to Declarations) (json.RawMessage, []DiffRow, error) {
	changes := make(map[string]map[string]json.RawMessage)
	var rows []DiffRow
	var err error
	if rows, err = diffSection(poolSection, from.Pools, to.Pools, changes, rows); err != nil {
		return nil, nil, err
	}
	if rows, err = diffSection(routeSection, from.Routes, to.Routes, changes, rows); err != nil {
		return nil, nil, err
	}
	if rows, err = diffSection(targetSection, from.Targets, to.Targets, changes, rows); err != nil {
		return nil, nil, err
	}
	if rows, err = diffSection(workspaceSection, from.Workspaces, to.Workspaces, changes, rows); err != nil {
		return nil, nil, err
	}
	patch, err := json.Marshal(changes)
	return patch, rows, err
}

func diffSection[T any](s section[T], from, to map[string]T, changes map[string]map[string]json.RawMessage, rows []DiffRow) ([]DiffRow, error) {
	objects := make(map[string]json.RawMessage)
	for _, name := range sortedNames(unionNames(from, to)) {
		old, inOld := from[name]
		next, inNext := to[name]
		if inOld && inNext && reflect.DeepEqual(s.normalise(old), s.normalise(next)) {
			continue
		}
		change, added, err := diffObject(s, name, old, next, inOld, inNext)
		if err != nil {
			return nil, err
		}
		if len(added) == 0 {
			continue
		}
		objects[name] = change
		rows = append(rows, added...)
	}
	if len(objects) > 0 {
		changes[s.name] = objects
	}
	return rows, nil
}

func unionNames[T any](a, b map[string]T) map[string]bool {
	names := make(map[string]bool, len(a)+len(b))
	for name := range a {
		names[name] = true
	}
	for name := range b {
		names[name] = true
	}
	return names
}

// diffObject returns the merge patch and the differences of one object.
func diffObject[T any](s section[T], name string, old, next T, inOld, inNext bool) (json.RawMessage, []DiffRow, error) {
	object := s.path(name)
	if !inNext {
		return json.RawMessage("null"), []DiffRow{{Kind: ChangeRemoved, Object: object}}, nil
	}
	if !inOld {
		encoded, err := json.Marshal(s.normalise(next))
		return encoded, []DiffRow{{Kind: ChangeAdded, Object: object}}, err
	}
	before, err := marshalFields(s.normalise(old))
	if err != nil {
		return nil, nil, err
	}
	after, err := marshalFields(s.normalise(next))
	if err != nil {
		return nil, nil, err
	}
	change := make(map[string]json.RawMessage)
	var rows []DiffRow
	for _, field := range sortedNames(unionNames(before, after)) {
		oldValue, newValue := string(before[field]), string(after[field])
		if oldValue == newValue {
			continue
		}
		change[field] = after[field]
		if newValue == "" {
			change[field] = json.RawMessage("null")
		}
		rows = append(rows, DiffRow{Kind: ChangeSet, Object: object, Field: field, Old: oldValue, New: newValue})
	}
	encoded, err := json.Marshal(change)
	return encoded, rows, err
}

func marshalFields(object any) (map[string]json.RawMessage, error) {
	encoded, err := json.Marshal(object)
	if err != nil {
		return nil, fmt.Errorf("config: encode: %w", err)
	}
	var fields map[string]json.RawMessage
	return fields, json.Unmarshal(encoded, &fields)
}
