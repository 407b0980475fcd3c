package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestConfigPageNamesEveryField checks that docs/CONFIG.md has a table row for
// every field, and that its examples can be loaded.
func TestConfigPageNamesEveryField(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "docs", "CONFIG.md"))
	if err != nil {
		t.Fatal(err)
	}
	for _, fields := range []map[string]int{workspaceSection.fields, poolSection.fields, targetSection.fields, routeSection.fields} {
		for _, field := range sortedNames(fields) {
			if !strings.Contains(string(page), "\n| `"+field+"` |") {
				t.Errorf("field %s has no row", field)
			}
		}
	}
	_, example, found := strings.Cut(string(page), "```toml\n")
	if !found {
		t.Fatal("no example")
	}
	example, _, _ = strings.Cut(example, "```")
	declarations, err := LoadDir(writeFiles(t, "== example.toml\n"+example))
	if err != nil {
		t.Fatal(err)
	}
	if len(declarations.Workspaces) != 1 || len(declarations.Targets) != 2 {
		t.Fatalf("example: %+v", declarations)
	}
	if _, err := DecodePatch([]byte(jsonExample(t, string(page)))); err != nil {
		t.Errorf("example patch: %v", err)
	}
}

func jsonExample(t *testing.T, page string) string {
	t.Helper()
	_, example, found := strings.Cut(page, "```json\n")
	if !found {
		t.Fatal("no example patch")
	}
	example, _, _ = strings.Cut(example, "```")
	return example
}
