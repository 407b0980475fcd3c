// Package deploy tests the settings template in this folder.
package deploy

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/settings"
)

// fields holds the values that a platform fills in, keyed by dotted name. Values are in
// the form in which the platform writes them.
type fields map[string]string

// completeFields has a value for every field that the template names, except tables.
var completeFields = fields{
	"node_name":                 "edge-1",
	"zone":                      "ikeja",
	"region":                    "lagos",
	"ip":                        "10.1.0.33",
	"internal_ports.0":          "7400",
	"internal_ports.1":          "7415",
	"listen.frontend":           "10.1.0.33:8783",
	"listen.ready":              "10.1.0.33:8780",
	"limits.cpu_share":          "0.4",
	"limits.memory_mb":          "284",
	"limits.max_fds":            "4100",
	"platform.address":          "10.200.1.7:8781",
	"platform.reads_per_s":      "2000",
	"platform.writes_per_s":     "400",
	"heartbeat_ms":              "1200",
	"bounds.grace_s":            "8",
	"bounds.retry_budget_ratio": "0.2",
	"bounds.retry_slack":        "52",
	"bounds.retry_window_s":     "10",
	"bounds.cold_overshoot":     "1.5",
	"bounds.cold_slack":         "5",
}

// numberKeys maps the numeric fields to the settings keys that they set. All keys but
// integerKey may have a fraction.
var (
	numberKeys = map[string]string{
		"limits.cpu_share":          "node.cores",
		"limits.memory_mb":          "limits.memory_mib",
		"limits.max_fds":            "limits.max_descriptors",
		"platform.reads_per_s":      "platform.reads_per_second",
		"platform.writes_per_s":     "platform.writes_per_second",
		"heartbeat_ms":              "platform.target_heartbeat",
		"bounds.grace_s":            "limits.drain_timeout",
		"bounds.retry_budget_ratio": "retries.ratio",
		"bounds.retry_slack":        "retries.slack",
		"bounds.retry_window_s":     "retries.window",
		"bounds.cold_overshoot":     "scheduling.cold_factor",
		"bounds.cold_slack":         "scheduling.cold_slack",
	}
	integerKey = "limits.max_descriptors"
)

// tables holds the values of the fields that are tables of strings.
var tables = map[string]map[string]string{"zones": {"ikeja": "lagos", "lekki": "lagos", "odd zone": "a \"region\""}}

// renderEach renders a section once for each entry of a table.
func renderEach(t *testing.T, text string, table map[string]string) string {
	t.Helper()
	var out strings.Builder
	for key, value := range table {
		quoted, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		out.WriteString(strings.NewReplacer("{{@}}", key, "{{.|json}}", string(quoted)).Replace(text))
	}
	return out.String()
}

// with returns a copy of the fields with one value replaced.
func (f fields) with(name, value string) fields {
	changed := maps.Clone(f)
	changed[name] = value
	return changed
}

// without returns a copy of the fields with one removed.
func (f fields) without(name string) fields {
	changed := maps.Clone(f)
	delete(changed, name)
	return changed
}

var (
	sectionPattern     = regexp.MustCompile(`(?s)\{\{#([a-z_.0-9]+)\}\}\n?(.*?)\{\{/([a-z_.0-9]+)\}\}\n?`)
	placeholderPattern = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)
)

// render fills in the template as the platform does: a section is kept only if its field
// has a value, and a field without a value is replaced by nothing.
func render(t *testing.T, f fields) []byte {
	t.Helper()
	text, err := os.ReadFile("walnutd.toml.template")
	if err != nil {
		t.Fatal(err)
	}
	withoutSections := sectionPattern.ReplaceAllStringFunc(string(text), func(match string) string {
		parts := sectionPattern.FindStringSubmatch(match)
		if parts[1] != parts[3] {
			t.Fatalf("section %s is closed as %s", parts[1], parts[3])
		}
		if table, isTable := tables[parts[1]]; isTable {
			return renderEach(t, parts[2], table)
		}
		if _, ok := f[parts[1]]; !ok {
			return ""
		}
		return parts[2]
	})
	return []byte(placeholderPattern.ReplaceAllStringFunc(withoutSections, func(match string) string {
		parts := placeholderPattern.FindStringSubmatch(match)
		value := f[parts[1]]
		if parts[2] == "" {
			return value
		}
		quoted, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		return string(quoted)
	}))
}

// TestTemplateLoads renders the template with numbers in the forms in which platforms
// may write them, and without each of them, and checks that the result can be loaded.
func TestTemplateLoads(t *testing.T) {
	for field, key := range numberKeys {
		values := []string{"1", "1.0", "630.5", "86400", "86400.0"}
		if key == integerKey {
			values = []string{"1", "4100.0", "1000000", "1000000.0"}
		}
		for _, value := range values {
			if _, err := settings.Parse(render(t, completeFields.with(field, value))); err != nil {
				t.Errorf("%s = %s: %v", field, value, err)
			}
		}
		if _, err := settings.Parse(render(t, completeFields.without(field))); err != nil {
			t.Errorf("without %s: %v", field, err)
		}
	}
	loaded, err := settings.Parse(render(t, completeFields.with("a_new_field", "{}")))
	if err != nil {
		t.Fatalf("with a new field: %v", err)
	}
	if !maps.Equal(loaded.Node.Regions, tables["zones"]) {
		t.Errorf("regions %v", loaded.Node.Regions)
	}
}

// TestTemplateErrorsNameTheKey checks that loading a value that cannot be used fails
// with an error of one line that names the value's key. Only an empty value of a key in
// limits may be accepted.
func TestTemplateErrorsNameTheKey(t *testing.T) {
	for field, key := range numberKeys {
		for _, value := range []string{"", "none", "-1", "1.5.0", "{}"} {
			_, err := settings.Parse(render(t, completeFields.with(field, value)))
			if err == nil && value == "" && strings.HasPrefix(key, "limits.") {
				continue
			}
			if err == nil || !strings.Contains(err.Error(), key) || strings.Contains(err.Error(), "\n") {
				t.Errorf("%s = %q: error %v does not name %s in one line", field, value, err, key)
			}
		}
	}
	for field, key := range map[string]string{
		"node_name":        "node.name",
		"zone":             "node.data_centre",
		"platform.address": "platform.address",
		"listen.frontend":  "listen.callers",
		"listen.ready":     "listen.health",
		"internal_ports.0": "listen.peers",
		"internal_ports.1": "listen.operators",
	} {
		_, err := settings.Parse(render(t, completeFields.with(field, "not so")))
		if field == "node_name" || field == "zone" {
			_, err = settings.Parse(render(t, completeFields.with(field, "")))
		}
		if err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%s: error %v does not name %s", field, err, key)
		}
	}
}

// TestTemplateSetsValues checks that the platform's values arrive in the settings.
func TestTemplateSetsValues(t *testing.T) {
	s, err := settings.Parse(render(t, completeFields.with("bounds.retry_slack", "630.5").with("bounds.grace_s", "2")))
	if err != nil {
		t.Fatal(err)
	}
	got := fmt.Sprint(s.Node.Cores, s.Retries.Slack, s.Retries.Ratio, s.Limits.MemoryMiB, s.Limits.MaxDescriptors,
		s.Platform.ReadsPerSecond, time.Duration(s.Limits.DrainTimeout), time.Duration(s.Platform.TargetHeartbeat))
	if want := "0.4 630.5 0.2 284 4100 2000 2s 1.2s"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}
