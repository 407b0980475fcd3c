package settings

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Load reads the file at path over the defaults and validates the result. The
// error is a Problems that lists every fault, or the reason why the file could
// not be read.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	s, err := Parse(text)
	var problems Problems
	if errors.As(err, &problems) {
		return Settings{}, problems.inFile(path)
	}
	return s, err
}

// Parse reads TOML text over the defaults and validates the result. The error
// is a Problems.
func Parse(text []byte) (Settings, error) {
	var document map[string]any
	if err := toml.Unmarshal(text, &document); err != nil {
		return Settings{}, Problems{syntaxProblem(err)}
	}
	s, problems := decode(text, document)
	for _, problem := range s.check() {
		if !problems.names(problem.Key) {
			problems = append(problems, problem)
		}
	}
	if len(problems) > 0 {
		slices.SortStableFunc(problems, func(a, b Problem) int { return strings.Compare(a.Key, b.Key) })
		return Settings{}, problems
	}
	return s, nil
}

// decode reads the text into settings and collects what cannot be read. The
// decoder stops at the first wrong value, so that value is taken out of the
// document and the rest is decoded again. A rewritten document has other lines
// than the file, so its problems are told without them.
func decode(text []byte, document map[string]any) (Settings, Problems) {
	problems := removeIntegerDurations(document)
	for {
		rewritten := len(problems) > 0
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
			return s, append(problems, unknownKeys(missing, rewritten)...)
		}
		problem := typeProblem(err)
		if rewritten {
			problem.Line = 0
		}
		problems = append(problems, problem)
		if !remove(document, strings.Split(problem.Key, ".")) {
			return s, problems
		}
	}
}

// encode writes a decoded document as TOML again.
func encode(document map[string]any) []byte {
	text, err := toml.Marshal(document)
	if err != nil {
		panic(fmt.Sprintf("settings: decoded TOML cannot be encoded: %v", err))
	}
	return text
}

func unknownKeys(missing *toml.StrictMissingError, rewritten bool) Problems {
	problems := make(Problems, 0, len(missing.Errors))
	for _, e := range missing.Errors {
		line, _ := e.Position()
		if rewritten {
			line = 0
		}
		problems = append(problems, Problem{Line: line, Key: strings.Join(e.Key(), "."), Reason: "unknown key"})
	}
	return problems
}

// syntaxProblem tells what is wrong with the text as TOML.
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

// typeProblem tells which value has the wrong type.
func typeProblem(err error) Problem {
	problem := syntaxProblem(err)
	if want := wantType(problem.Key); want != "" {
		problem.Reason = want
	}
	return problem
}

// remove takes a key out of a document and says whether it was there.
func remove(document map[string]any, key []string) bool {
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
