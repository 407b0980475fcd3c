package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"
	"unicode/utf8"
)

// Names of the document's sections.
const (
	sectionWorkspaces = "workspaces"
	sectionPools      = "pools"
	sectionTargets    = "targets"
	sectionRoutes     = "routes"
)

// section describes one section of the document to the generic functions.
type section[T any] struct {
	name     string
	defaults func() T
	// normalise gives equal declarations the same encoding (empty and absent lists).
	normalise func(T) T
	fields    map[string]int // JSON name -> index of the struct field
}

var (
	workspaceSection = newSection(sectionWorkspaces, defaultWorkspace, normaliseWorkspace)
	poolSection      = newSection(sectionPools, defaultPool, normalisePool)
	targetSection    = newSection(sectionTargets, defaultTarget, normaliseTarget)
	routeSection     = newSection(sectionRoutes, defaultRoute, normaliseRoute)
)

func newSection[T any](name string, defaults func() T, normalise func(T) T) section[T] {
	fields := make(map[string]int)
	object := reflect.TypeFor[T]()
	for i := range object.NumField() {
		jsonName, _, _ := strings.Cut(object.Field(i).Tag.Get("json"), ",")
		fields[jsonName] = i
	}
	return section[T]{name: name, defaults: defaults, normalise: normalise, fields: fields}
}

func normaliseWorkspace(w Workspace) Workspace {
	if w.KeyHashes == nil {
		w.KeyHashes = []string{}
	}
	if w.Pools == nil {
		w.Pools = []string{}
	}
	if len(w.Targets) == 0 {
		w.Targets = nil
	}
	return w
}

func normalisePool(p Pool) Pool {
	if len(p.Models) == 0 {
		p.Models = nil
	}
	return p
}

func normaliseTarget(t Target) Target {
	if len(t.LoadModels) == 0 {
		t.LoadModels = nil
	}
	return t
}

func (s section[T]) path(name string) string { return s.name + "." + name }

// decode decodes one object strictly: field names must match exactly, unknown
// fields and wrong types are reported as problems, and absent fields take
// their defaults.
func (s section[T]) decode(name string, raw json.RawMessage, problems *problemList) T {
	value := s.defaults()
	var members map[string]json.RawMessage
	if err := json.Unmarshal(raw, &members); err != nil || members == nil {
		problems.add(s.path(name), "", "must be an object")
		return value
	}
	object := reflect.ValueOf(&value).Elem()
	for field, member := range members {
		i, known := s.fields[field]
		if !known {
			problems.add(s.path(name), field, "unknown field")
			continue
		}
		if err := json.Unmarshal(member, object.Field(i).Addr().Interface()); err != nil {
			problems.add(s.path(name), field, "%s", decodeErrorReason(err))
		}
	}
	return s.normalise(value)
}

func (s section[T]) decodeAll(raw map[string]json.RawMessage, problems *problemList) map[string]T {
	all := make(map[string]T, len(raw))
	for name, object := range raw {
		all[name] = s.decode(name, object, problems)
	}
	return all
}

func decodeErrorReason(err error) string {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return fmt.Sprintf("must be %s, not %s", jsonTypeName(wrongType.Type), wrongType.Value)
	}
	return "cannot be read"
}

func jsonTypeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "a boolean"
	case reflect.Float64:
		return "a number"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Slice:
		return "a list"
	default:
		return t.String()
	}
}

// rawDocument is the document with its objects not yet decoded.
type rawDocument struct {
	Workspaces map[string]json.RawMessage `json:"workspaces"`
	Pools      map[string]json.RawMessage `json:"pools"`
	Targets    map[string]json.RawMessage `json:"targets"`
	Routes     map[string]json.RawMessage `json:"routes"`
}

func (d rawDocument) decode(problems *problemList) Declarations {
	return Declarations{
		Workspaces: workspaceSection.decodeAll(d.Workspaces, problems),
		Pools:      poolSection.decodeAll(d.Pools, problems),
		Targets:    targetSection.decodeAll(d.Targets, problems),
		Routes:     routeSection.decodeAll(d.Routes, problems),
	}
}

// DecodePatch strictly decodes a patch from JSON and normalises it. Errors are
// *PatchError.
func DecodePatch(data []byte) (Patch, error) {
	var patch Patch
	if err := checkDuplicateKeys(data); err != nil {
		return Patch{}, &PatchError{Path: "document", Reason: err.Error()}
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&patch); err != nil {
		return Patch{}, &PatchError{Path: "document", Reason: err.Error()}
	}
	return patch.Normalise()
}

// DecodeDeclarations strictly decodes a complete JSON document, fills in
// defaults and validates it. The error is a *PatchError if the data is not
// JSON of the right structure, and a *ValidationError otherwise.
func DecodeDeclarations(data []byte) (Declarations, error) {
	if err := checkDuplicateKeys(data); err != nil {
		return Declarations{}, &PatchError{Path: "declarations", Reason: err.Error()}
	}
	return decodeDocument(data)
}

// decodeDocument is DecodeDeclarations for data encoded by this package, which
// has no duplicate keys.
func decodeDocument(data []byte) (Declarations, error) {
	sections, err := decodeSections(data)
	if err != nil {
		return Declarations{}, &PatchError{Path: "declarations", Reason: err.Error()}
	}
	problems := &problemList{}
	declarations := sections.decode(problems)
	problems.addAll(validateAll(declarations))
	return declarations, problems.err()
}

// decodeSections splits a document or merge patch into its objects. A null
// section is rejected: objects can only be removed one by one, by name.
func decodeSections(data []byte) (rawDocument, error) {
	var members map[string]json.RawMessage
	if err := json.Unmarshal(data, &members); err != nil || members == nil {
		return rawDocument{}, errors.New("must be a JSON object")
	}
	var document rawDocument
	sections := map[string]*map[string]json.RawMessage{
		sectionWorkspaces: &document.Workspaces,
		sectionPools:      &document.Pools,
		sectionTargets:    &document.Targets,
		sectionRoutes:     &document.Routes,
	}
	for name, member := range members {
		objects, known := sections[name]
		if !known {
			return rawDocument{}, fmt.Errorf("unknown section %q", name)
		}
		if err := json.Unmarshal(member, objects); err != nil || *objects == nil {
			return rawDocument{}, fmt.Errorf("section %q must be an object of objects by name", name)
		}
	}
	return document, nil
}

// checkDuplicateKeys rejects data that is not a single JSON value or that
// repeats a key within an object: which value counts would depend on the
// decoder.
func checkDuplicateKeys(data []byte) error {
	if !json.Valid(data) || !utf8.Valid(data) {
		return errors.New("is not valid JSON")
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	var containers []map[string]bool // keys seen in each open object; nil for a list
	expectKey := false               // whether a string in the next position is a key
	for {
		token, err := decoder.Token()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return errors.New("is not valid JSON")
		}
		switch t := token.(type) {
		case json.Delim:
			containers = updateOpenContainers(containers, t)
			expectKey = len(containers) > 0 && containers[len(containers)-1] != nil
			continue
		case string:
			if expectKey {
				seen := containers[len(containers)-1]
				if seen[t] {
					return fmt.Errorf("names key %q twice", t)
				}
				seen[t] = true
				expectKey = false
				continue
			}
		}
		expectKey = len(containers) > 0 && containers[len(containers)-1] != nil
	}
}

func updateOpenContainers(containers []map[string]bool, delim json.Delim) []map[string]bool {
	switch delim {
	case '{':
		return append(containers, map[string]bool{})
	case '[':
		return append(containers, nil)
	default:
		return containers[:len(containers)-1]
	}
}
