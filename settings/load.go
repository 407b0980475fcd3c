package settings

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Load reads the file at path over the defaults and validates the result. The
// error is a Problems that lists everything that is wrong, or the reason why the
// file could not be read.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	s, err := Parse(text)
	var problems Problems
	if errors.As(err, &problems) {
		return Settings{}, problems.InFile(path)
	}
	return s, err
}

// Parse reads TOML text over the defaults and validates the result. The error
// is a Problems.
func Parse(text []byte) (Settings, error) {
	var document map[string]any
	if err := toml.Unmarshal(text, &document); err != nil {
		problem := syntaxProblem(err)
		if problem.Key == "" {
			problem.Key = keyAtLine(text, problem.Line)
		}
		return Settings{}, Problems{problem}
	}
	s, problems := decode(text, document)
	for _, problem := range s.check() {
		if !problems.hasKey(problem.Key) {
			problems = append(problems, problem)
		}
	}
	if len(problems) > 0 {
		slices.SortStableFunc(problems, func(a, b Problem) int { return strings.Compare(a.Key, b.Key) })
		return Settings{}, problems
	}
	return s, nil
}

// decode reads the text into settings and collects the problems. The decoder
// stops at the first wrong value, so that value is removed from the document and
// the rest is decoded again. A rewritten document has other line numbers than the
// file, so its problems are reported without them.
func decode(text []byte, document map[string]any) (Settings, Problems) {
	problems := removeIntegerDurations(document)
	converted := convertWholeFloats(document)
	for {
		rewritten := converted || len(problems) > 0
		if rewritten {
			text = encode(document)
		}
		s := Defaults()
		decoder := toml.NewDecoder(bytes.NewReader(text))
		decoder.DisallowUnknownFields()
		err := decoder.Decode(&s)
		if err == nil {
			return s, problems
		}
		var missing *toml.StrictMissingError
		if errors.As(err, &missing) {
			return s, append(problems, unknownKeys(document, missing, rewritten)...)
		}
		problem := typeProblem(err)
		if rewritten {
			problem.Line = 0
		}
		problems = append(problems, problem)
		if !removeKey(document, strings.Split(problem.Key, ".")) {
			return s, problems
		}
	}
}

// encode turns a decoded document back into TOML.
func encode(document map[string]any) []byte {
	text, err := toml.Marshal(document)
	if err != nil {
		panic(fmt.Sprintf("settings: decoded TOML cannot be encoded: %v", err))
	}
	return text
}

// unknownKeys lists the keys of a document that Settings does not have, with the
// lines at which the decoder found them unless the document was rewritten.
func unknownKeys(document map[string]any, missing *toml.StrictMissingError, rewritten bool) Problems {
	var problems Problems
	for _, key := range keysWithoutField(document, reflect.TypeFor[Settings](), "") {
		problem := Problem{Key: key, Reason: "unknown key"}
		if !rewritten {
			problem.Line = lineOf(key, missing)
		}
		problems = append(problems, problem)
	}
	return problems
}

// keysWithoutField returns the dotted keys of a table for which a struct has no field.
func keysWithoutField(table map[string]any, fields reflect.Type, prefix string) []string {
	var unknown []string
	for name, value := range table {
		field, known := fields.FieldByNameFunc(func(field string) bool {
			f, _ := fields.FieldByName(field)
			return strings.EqualFold(f.Tag.Get("toml"), name)
		})
		inner, isTable := value.(map[string]any)
		switch {
		case !known:
			unknown = append(unknown, prefix+name)
		case isTable && field.Type.Kind() == reflect.Struct:
			unknown = append(unknown, keysWithoutField(inner, field.Type, prefix+name+".")...)
		}
	}
	return unknown
}

// lineOf returns the line of an unknown key; zero if it is not known. The
// decoder names a key of an inline table without the table's name, so that two such
// keys cannot be told apart.
func lineOf(key string, missing *toml.StrictMissingError) int {
	found := 0
	for _, e := range missing.Errors {
		if !strings.HasSuffix("."+key, "."+strings.Join(e.Key(), ".")) {
			continue
		}
		if found != 0 {
			return 0
		}
		found, _ = e.Position()
	}
	return found
}

// syntaxProblem turns an error of the TOML decoder into a problem.
func syntaxProblem(err error) Problem {
	var decodeErr *toml.DecodeError
	if !errors.As(err, &decodeErr) {
		return Problem{Reason: err.Error()}
	}
	line, _ := decodeErr.Position()
	return Problem{
		Line:   line,
		Key:    strings.Join(decodeErr.Key(), "."),
		Reason: strings.TrimPrefix(decodeErr.Error(), "toml: "),
	}
}

// keyAtLine returns the dotted key that a line of TOML text sets; empty if it sets none. It
// looks only at section headers and bare keys, as the text may be malformed.
func keyAtLine(text []byte, line int) string {
	section, number := "", 0
	for content := range strings.Lines(string(text)) {
		number++
		content = strings.TrimSpace(content)
		if header, ok := strings.CutPrefix(content, "["); ok {
			section = strings.Trim(header, "[]") + "."
		}
		if number < line {
			continue
		}
		if name, _, ok := strings.Cut(content, "="); ok {
			return section + strings.TrimSpace(name)
		}
		return ""
	}
	return ""
}

// typeProblem turns a decoder's error about a value into a problem that says which type the
// key needs.
func typeProblem(err error) Problem {
	problem := syntaxProblem(err)
	if requirement := typeRequirement(problem.Key); requirement != "" {
		problem.Reason = requirement
	}
	return problem
}

// removeKey deletes a key from a document and reports whether it was there.
func removeKey(document map[string]any, key []string) bool {
	for len(key) > 1 {
		inner, ok := document[key[0]].(map[string]any)
		if !ok {
			return false
		}
		document = inner
		key = key[1:]
	}
	if _, ok := document[key[0]]; !ok {
		return false
	}
	delete(document, key[0])
	return true
}
