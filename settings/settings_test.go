package settings

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

const examplePath = "../docs/walnutd.example.toml"

// minimal is a file with the required keys only.
const minimalSettings = `
[node]
name = "vm-1"
data_centre = "ikeja"
[listen]
callers = "127.0.0.1:8080"
operators = "127.0.0.1:8081"
peers = "127.0.0.1:8082"
[platform]
address = "10.0.0.5:9000"
`

// TestProblems loads the settings of each case in testdata. "parse" loads the case's text as
// it is; "with" loads the minimal file with the case's keys added or replaced.
func TestProblems(t *testing.T) {
	datadriven.RunTest(t, "testdata/problems", func(t *testing.T, d *datadriven.TestData) string {
		text := d.Input
		if d.Cmd == "with" {
			text = merge(minimalSettings, d.Input)
		}
		path := filepath.Join(t.TempDir(), "walnutd.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := Load(path); err != nil {
			return strings.ReplaceAll(err.Error(), filepath.Dir(path)+"/", "") + "\n"
		}
		return "ok\n"
	})
}

// merge puts each "section.key = value" line into its section of the text, in place of a line
// with the same key.
func merge(text, lines string) string {
	for line := range strings.SplitSeq(lines, "\n") {
		key, value, _ := strings.Cut(line, " = ")
		section, name, _ := strings.Cut(key, ".")
		text = regexp.MustCompile(`(?m)^`+name+` = .*\n`).ReplaceAllString(text, "")
		if !strings.Contains(text, "["+section+"]\n") {
			text += "[" + section + "]\n"
		}
		text = strings.Replace(text, "["+section+"]\n", "["+section+"]\n"+name+" = "+value+"\n", 1)
	}
	return text
}

func TestMissingFile(t *testing.T) {
	if _, err := Load("testdata/none.toml"); !errors.Is(err, os.ErrNotExist) || !strings.Contains(err.Error(), "none.toml") {
		t.Errorf("got %v", err)
	}
}

// TestExampleHoldsEveryKey checks that the example file has every key with a comment, and
// that optional keys show their defaults.
func TestExampleHoldsEveryKey(t *testing.T) {
	s, err := Load(examplePath)
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(examplePath)
	if err != nil {
		t.Fatal(err)
	}
	section := ""
	documented := make(map[string]bool)
	described := false
	for line := range strings.SplitSeq(string(text), "\n") {
		switch {
		case strings.HasPrefix(line, "["):
			section = strings.Trim(line, "[]")
		case strings.HasPrefix(line, "#"):
			described = true
		case line == "":
			described = false
		default:
			name, _, _ := strings.Cut(line, " =")
			documented[section+"."+name] = described
		}
	}
	checkDocumented(t, documented, "", reflect.ValueOf(s), reflect.ValueOf(Defaults()))
}

// checkDocumented checks the keys of a section and of its subsections.
func checkDocumented(t *testing.T, documented map[string]bool, section string, values, defaults reflect.Value) {
	t.Helper()
	for i := range values.NumField() {
		key := values.Type().Field(i).Tag.Get("toml")
		if section != "" {
			key = section + "." + key
		}
		if values.Field(i).Kind() == reflect.Struct {
			checkDocumented(t, documented, key, values.Field(i), defaults.Field(i))
			continue
		}
		if !documented[key] {
			t.Errorf("%s is not in the example with a comment above it", key)
		}
		defaultValue := defaults.Field(i)
		if !defaultValue.IsZero() && !reflect.DeepEqual(defaultValue.Interface(), values.Field(i).Interface()) {
			t.Errorf("%s: the example does not show the default %v", key, defaultValue)
		}
	}
}

// FuzzParse checks that no text makes Parse panic, fail without a problem, or accept what
// Validate refuses.
func FuzzParse(f *testing.F) {
	f.Add(minimalSettings)
	f.Add("[limits]\nread_timeout = 5\nmax_body_bytes = \"x\"\n[a.b]\nc = 1979-05-27")
	f.Add("limits = 1\nnode.name = []")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := Parse([]byte(text))
		var problems Problems
		if err != nil && (!errors.As(err, &problems) || len(problems) == 0 || problems.Error() == "") {
			t.Errorf("error without problems: %v", err)
		}
		if err == nil && s.Validate() != nil {
			t.Errorf("accepted what Validate refuses: %v", s.Validate())
		}
	})
}

// TestPolicyIsChecked checks that the values of the policy for pools that count in tokens are
// bounded like all settings, and that each problem names its key.
func TestPolicyIsChecked(t *testing.T) {
	for line, key := range map[string]string{
		"wait_part = 0":               "scheduling.tokens.wait_part",
		"reread_part = -1":            "scheduling.tokens.reread_part",
		"far_millis = nan":            "scheduling.tokens.far_millis",
		"yield_part = \"much\"":       "scheduling.tokens.yield_part",
		"no_fetch = 1":                "scheduling.tokens.no_fetch",
		"excess = { slots = 2.0 }":    "scheduling.tokens.excess.slots",
		"excess = { slotz = 0.5 }":    "scheduling.tokens.excess.slotz",
		"returning = { wait = -0.1 }": "scheduling.tokens.returning.wait",
	} {
		_, err := Parse([]byte(minimalSettings + "\n[scheduling.tokens]\n" + line + "\n"))
		if err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%s: %v", line, err)
		}
	}
}
