package settings

import (
	"math"
	"reflect"
	"strings"
)

// durationRequirement is the reason given for a value that is not a duration.
const durationRequirement = `must be a string with a unit, for example "250ms"`

// fieldType returns the type of a dotted key; nil if there is no such key.
func fieldType(key string) reflect.Type {
	t := reflect.TypeFor[Settings]()
	for name := range strings.SplitSeq(key, ".") {
		t = structFieldType(t, name)
		if t == nil {
			return nil
		}
	}
	return t
}

func structFieldType(t reflect.Type, name string) reflect.Type {
	if t.Kind() != reflect.Struct {
		return nil
	}
	for i := range t.NumField() {
		if field := t.Field(i); field.Tag.Get("toml") == name {
			return field.Type
		}
	}
	return nil
}

// typeRequirement says in TOML's terms what a key's value must be; empty if there
// is no such key.
func typeRequirement(key string) string {
	t := fieldType(key)
	switch {
	case t == nil:
		return ""
	case t == reflect.TypeFor[Duration]():
		return durationRequirement
	}
	switch t.Kind() {
	case reflect.Struct:
		return "must be a section"
	case reflect.Slice:
		return "must be a list of strings"
	case reflect.Float64:
		return "must be a number"
	case reflect.Int:
		return "must be a whole number"
	case reflect.Bool:
		return "must be true or false"
	default:
		return "must be a string"
	}
}

// convertWholeFloats turns numbers such as 4100.0 into integers where the key needs an
// integer, and reports whether it changed any. Programs that fill in a template may
// write all numbers with a fraction.
func convertWholeFloats(document map[string]any) bool {
	changed := false
	for section, content := range document {
		values, _ := content.(map[string]any)
		for name, value := range values {
			number, isFloat := value.(float64)
			if !isFloat || number != math.Trunc(number) || math.Abs(number) > maxExactFloat {
				continue
			}
			if t := fieldType(section + "." + name); t != nil && t.Kind() == reflect.Int {
				values[name] = int64(number)
				changed = true
			}
		}
	}
	return changed
}

// maxExactFloat is the number up to which a float64 holds every whole number exactly.
const maxExactFloat = 1 << 53

// removeIntegerDurations removes durations written as bare integers from the document, as
// the decoder would read them as nanoseconds, and returns a problem for each.
func removeIntegerDurations(document map[string]any) Problems {
	var problems Problems
	for section, content := range document {
		values, _ := content.(map[string]any)
		for name, value := range values {
			key := section + "." + name
			_, isInteger := value.(int64)
			if !isInteger || fieldType(key) != reflect.TypeFor[Duration]() {
				continue
			}
			delete(values, name)
			problems = append(problems, Problem{Key: key, Reason: durationRequirement})
		}
	}
	return problems
}
