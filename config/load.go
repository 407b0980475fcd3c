package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// fileExtension is the extension of the files that LoadDir reads.
const fileExtension = ".toml"

// FileError is a problem in one declarations file.
type FileError struct {
	// File is the file's base name.
	File string
	// Key is the TOML key, for example "workspaces.bakery.share". It is empty
	// if the file as a whole cannot be read.
	Key string
	// Reason is a short sentence without a full stop. It gives the line and
	// column if the file is not valid TOML.
	Reason string
}

// Error implements error.
func (e *FileError) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("config: %s: %s", e.File, e.Reason)
	}
	return fmt.Sprintf("config: %s: %s: %s", e.File, e.Key, e.Reason)
}

// LoadDir reads all *.toml files of a directory into one document. A file may
// hold any mix of [workspaces.x], [pools.x], [targets.x] and [routes.x]; each
// object must be declared in one file only. Defaults are filled in and the
// document is validated. The error joins one *FileError for each problem.
func LoadDir(dir string) (Declarations, error) {
	entries, err := os.ReadDir(dir) // Sorted by name.
	if err != nil {
		return Declarations{}, fmt.Errorf("config: list files: %w", err)
	}
	l := &loader{files: make(map[string]string)}
	found := false
	for _, entry := range entries {
		if entry.IsDir() || filepath.Ext(entry.Name()) != fileExtension {
			continue
		}
		found = true
		l.readFile(filepath.Join(dir, entry.Name()))
	}
	if !found {
		return Declarations{}, &FileError{File: filepath.Base(dir), Reason: "holds no *" + fileExtension + " file"}
	}
	return l.decodeAndValidate()
}

// loader collects the objects of several files into one document.
type loader struct {
	document rawDocument
	files    map[string]string // object -> file that declares it
	errs     []error
}

func (l *loader) addError(file, key, format string, args ...any) {
	l.errs = append(l.errs, &FileError{File: file, Key: key, Reason: fmt.Sprintf(format, args...)})
}

func (l *loader) readFile(path string) {
	file := filepath.Base(path)
	data, err := os.ReadFile(path)
	if err != nil {
		l.addError(file, "", "cannot be read: %v", errors.Unwrap(err))
		return
	}
	var sections map[string]any
	if err := toml.Unmarshal(data, &sections); err != nil {
		l.addError(file, "", "%s", tomlReason(err))
		return
	}
	for _, name := range sortedNames(sections) {
		l.addSection(file, name, sections[name])
	}
}

func tomlReason(err error) string {
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		row, column := decode.Position()
		return fmt.Sprintf("line %d, column %d: %s", row, column, strings.TrimPrefix(decode.Error(), "toml: "))
	}
	return err.Error()
}

func (l *loader) addSection(file, name string, value any) {
	objectsByName := l.section(name)
	if objectsByName == nil {
		l.addError(file, name, "unknown section")
		return
	}
	objects, ok := value.(map[string]any)
	if !ok {
		l.addError(file, name, "must be a table of tables by name")
		return
	}
	if *objectsByName == nil {
		*objectsByName = make(map[string]json.RawMessage)
	}
	for _, object := range sortedNames(objects) {
		l.addObject(file, name+"."+object, object, objects[object], *objectsByName)
	}
}

func (l *loader) section(name string) *map[string]json.RawMessage {
	switch name {
	case sectionWorkspaces:
		return &l.document.Workspaces
	case sectionPools:
		return &l.document.Pools
	case sectionTargets:
		return &l.document.Targets
	case sectionRoutes:
		return &l.document.Routes
	default:
		return nil
	}
}

func (l *loader) addObject(file, key, name string, value any, objectsByName map[string]json.RawMessage) {
	if first, taken := l.files[key]; taken {
		l.addError(file, key, "is also declared in %s", first)
		return
	}
	l.files[key] = file
	fields, ok := value.(map[string]any)
	if !ok {
		l.addError(file, key, "must be a table")
		return
	}
	for _, field := range sortedNames(fields) {
		if _, err := json.Marshal(fields[field]); err != nil {
			l.addError(file, key+"."+field, "holds a value that is not allowed here")
			delete(fields, field)
		}
	}
	encoded, err := json.Marshal(fields)
	if err != nil {
		l.addError(file, key, "cannot be encoded: %v", err)
		return
	}
	objectsByName[name] = encoded
}

// decodeAndValidate decodes and validates the collected objects.
func (l *loader) decodeAndValidate() (Declarations, error) {
	problems := &problemList{}
	declarations := l.document.decode(problems)
	if len(l.errs) == 0 { // Else objects of unreadable files would be reported as undeclared.
		problems.addAll(validateAll(declarations))
	}
	var invalid *ValidationError
	if errors.As(problems.err(), &invalid) {
		for _, p := range invalid.Problems {
			key := p.Object
			if p.Field != "" {
				key += "." + p.Field
			}
			l.addError(l.files[p.Object], key, "%s", p.Reason)
		}
	}
	if len(l.errs) > 0 {
		return Declarations{}, errors.Join(l.errs...)
	}
	return declarations, nil
}
