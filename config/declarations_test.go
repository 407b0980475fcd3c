package config

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestDeclarations runs the scripts in testdata/declarations:
//
//	load    loads files, each after a line "== name", as one directory
//	patch   applies a merge patch to the current document
//	diff    loads files like load, but prints the difference from the current
//	        document and does not replace it
func TestDeclarations(t *testing.T) {
	current := Empty()
	datadriven.RunTest(t, "testdata/declarations", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "load":
			declarations, err := LoadDir(writeFiles(t, d.Input))
			if err != nil {
				return err.Error()
			}
			current = fromDeclarations(t, declarations)
			return "ok"
		case "diff":
			declarations, err := LoadDir(writeFiles(t, d.Input))
			if err != nil {
				return err.Error()
			}
			return diffText(t, current.Declarations, declarations)
		case "patch":
			next, err := Apply(current, patchOn(current, fillHashes(d.Input)))
			if err != nil {
				return errorText(err)
			}
			text := diffText(t, current.Declarations, next.Declarations)
			current = next
			return text
		default:
			d.Fatalf(t, "unknown command %s", d.Cmd)
			return ""
		}
	})
}

// errorText formats an error with each problem on a line of its own.
func errorText(err error) string {
	var invalid *ValidationError
	if !errors.As(err, &invalid) {
		return err.Error()
	}
	var lines []string
	for _, p := range invalid.Problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

func diffText(t *testing.T, from, to Declarations) string {
	t.Helper()
	changes, rows, err := Diff(from, to)
	if err != nil {
		t.Fatal(err)
	}
	lines := []string{string(changes)}
	for _, row := range rows {
		lines = append(lines, row.String())
	}
	return strings.Join(lines, "\n")
}

func fromDeclarations(t *testing.T, d Declarations) *Snapshot {
	t.Helper()
	changes, _, err := Diff(Declarations{}, d)
	if err != nil {
		t.Fatal(err)
	}
	return mustApply(t, Empty(), string(changes))
}

// fillHashes replaces each "HASH(x)" by the hash of key x.
func fillHashes(text string) string {
	for _, key := range []string{"bread", "chalk"} {
		text = strings.ReplaceAll(text, "HASH("+key+")", keyHash(key))
	}
	return text
}

// writeFiles writes the files of a script command into a new directory.
func writeFiles(t *testing.T, input string) string {
	t.Helper()
	dir := t.TempDir()
	for _, part := range strings.Split("\n"+input, "\n== ")[1:] {
		name, content, _ := strings.Cut(part, "\n")
		if err := os.WriteFile(filepath.Join(dir, name), []byte(fillHashes(content)), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

func TestLoadDirWithoutFiles(t *testing.T) {
	var failure *FileError
	if _, err := LoadDir(t.TempDir()); !errors.As(err, &failure) {
		t.Fatalf("empty directory: %v", err)
	}
	if _, err := LoadDir(filepath.Join(t.TempDir(), "absent")); !errors.Is(err, os.ErrNotExist) {
		t.Fatalf("absent directory: %v", err)
	}
}
