package devfleet_test

import (
	"bufio"
	"context"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	_ "github.com/walnutcove/walnutcove/daemon" // for the metrics of its package
	"github.com/walnutcove/walnutcove/devfleet"
	"github.com/walnutcove/walnutcove/load"
)

const metricsPage = "../docs/METRICS.md"

// foldersWithoutMetrics are the folders whose code reads metrics but exports none.
var foldersWithoutMetrics = []string{"bench", "proctest", "load", "ctl"}

// notExportedHere are the metrics that are exported only after an event that the test
// does not cause. All others must be exported.
var notExportedHere = []string{
	"walnut_batch_refusals_total",
	"walnut_platform_errors_total",
	"walnut_platform_retries_total",
	// Calls to a managed platform, which this fleet does not run on.
	"walnut_platform_store_calls_total",
	// For a managed platform's feeds; managedtest checks them.
	"walnut_directory_answer_age_seconds",
	"walnut_directory_call_age_seconds",
	"walnut_directory_stale_seconds",
	"walnut_directory_era",
	"walnut_directory_version_behind_seconds",
	"walnut_router_directory_fetches_in_progress",
	// Measured on a managed platform only, and an empty histogram is not exported.
	"walnut_router_lag_seconds",
	"walnut_router_directory_fetch_seconds",
	"walnut_directory_version_delay_seconds",
}

// TestMetricsPage checks that docs/METRICS.md lists exactly the metrics that a fleet
// exports or that the source names, with the exported labels.
func TestMetricsPage(t *testing.T) {
	documented := documentedMetrics(t)
	exported := exportedMetrics(t)
	source := sourceMetrics(t)
	for name, labels := range exported {
		want, ok := documented[name]
		if !ok {
			t.Errorf("%s %v is exported but has no row", name, labels)
			continue
		}
		if !slices.Equal(labels, want) {
			t.Errorf("%s is exported with labels %q, its row says %q", name, labels, want)
		}
	}
	for name := range source {
		if _, ok := documented[name]; !ok {
			t.Errorf("%s is named in the source but has no row", name)
		}
	}
	for name := range documented {
		_, found := exported[name]
		switch {
		case !found && !source[name]:
			t.Errorf("%s has a row but does not exist", name)
		case !found && !slices.Contains(notExportedHere, name):
			t.Errorf("%s is named in the source but is not exported", name)
		}
	}
}

// TestMetricNames checks every documented name against the naming rules of
// docs/METRICS.md.
func TestMetricNames(t *testing.T) {
	shape := regexp.MustCompile(`^walnut_[a-z]+(_[a-z]+)+$`)
	for name, labels := range documentedMetrics(t) {
		if !shape.MatchString(name) {
			t.Errorf("%s is not walnut_<part>_<what>", name)
		}
		for _, kind := range []string{"_refusals_total", "_retries_total"} {
			if strings.HasSuffix(name, kind) && !slices.Contains(labels, "reason") {
				t.Errorf("%s has no label reason", name)
			}
		}
	}
}

// documentedMetrics returns the labels of each metric that has a row
// "| `name` | type | `label`, `label` | unit | meaning |".
func documentedMetrics(t *testing.T) map[string][]string {
	t.Helper()
	page, err := os.ReadFile(metricsPage)
	if err != nil {
		t.Fatal(err)
	}
	row := regexp.MustCompile("(?m)^\\| `(walnut_[a-z_]+)` \\| (counter|gauge|histogram) \\|([^|]*)\\| ([^|]+) \\| [^|]+ \\|$")
	label := regexp.MustCompile("`([a-z_]+)`")
	labelsByName := make(map[string][]string)
	for _, match := range row.FindAllStringSubmatch(string(page), -1) {
		name, kind := match[1], match[2]
		if _, twice := labelsByName[name]; twice {
			t.Errorf("%s has two rows", name)
		}
		if total := strings.HasSuffix(name, "_total"); total != (kind == "counter") {
			t.Errorf("%s is documented as a %s, but counters, and no other metrics, end in _total", name, kind)
		}
		labelsByName[name] = []string{}
		for _, l := range label.FindAllStringSubmatch(match[3], -1) {
			labelsByName[name] = append(labelsByName[name], l[1])
		}
		slices.Sort(labelsByName[name])
	}
	if rows := strings.Count(string(page), "\n| `walnut_"); rows != len(labelsByName) {
		t.Errorf("only %d of %d rows have the expected form", len(labelsByName), rows)
	}
	return labelsByName
}

// exportedMetrics runs a fleet, sends it some requests of each kind and reads /metrics.
// It returns the labels of each metric, without the ranges of histogram buckets.
func exportedMetrics(t *testing.T) map[string][]string {
	t.Helper()
	fleet := startFleet(t, devfleet.Options{})
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	run := load.Run{Routers: callerAddresses(fleet), Callers: 5, Requests: 60, Seed: 3, Next: mixedRequest}
	if summary := run.Do(ctx); summary.Count(load.Answered) != run.Requests {
		t.Fatalf("not all requests were answered: %v", summary)
	}
	sendReplayAndMismatch(t, fleet)
	response, err := http.Get("http://" + fleet.Routers[0].OperatorsAddress() + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	labelsByName := make(map[string][]string)
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "walnut_") {
			name, labels := parseSample(t, lines.Text())
			labelsByName[name] = labels
		}
	}
	if err := lines.Err(); err != nil {
		t.Fatal(err)
	}
	return labelsByName
}

// sendReplayAndMismatch sends a non-idempotent call twice, which replays the answer, and
// then one with the same key but another body, which is refused.
func sendReplayAndMismatch(t *testing.T, fleet *devfleet.Fleet) {
	t.Helper()
	for _, body := range []string{"mark:one", "mark:one", "mark:other"} {
		url := "http://" + fleet.Routers[0].CallersAddress() + devfleet.ServicePath + "/site"
		request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Authorization", "Bearer "+devfleet.DemoKey("bakery"))
		request.Header.Set("Idempotency-Key", "twice")
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
	}
}

// parseSample parses a line `name{label="value",...} number` into the metric's name and
// labels.
func parseSample(t *testing.T, line string) (string, []string) {
	t.Helper()
	head, _, _ := strings.Cut(line, " ")
	name, labelText, labelled := strings.Cut(head, "{")
	labels := []string{}
	if labelled {
		for _, match := range regexp.MustCompile(`([a-z_]+)="`).FindAllStringSubmatch(labelText, -1) {
			labels = append(labels, match[1])
		}
	}
	slices.Sort(labels)
	withoutVMRange := slices.DeleteFunc(labels, func(l string) bool { return l == "vmrange" })
	for _, suffix := range []string{"_bucket", "_sum", "_count"} {
		if base, ok := strings.CutSuffix(name, suffix); ok {
			return base, withoutVMRange
		}
	}
	return name, withoutVMRange
}

// sourceMetrics returns the metric names at the beginning of string literals in the
// source. A literal that ends in "_" is only the prefix of several names, which are
// known from /metrics alone, so it is left out.
func sourceMetrics(t *testing.T) map[string]bool {
	t.Helper()
	found := make(map[string]bool)
	name := regexp.MustCompile(`^walnut_[a-z_]+`)
	root := os.DirFS("..")
	err := fs.WalkDir(root, ".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && slices.Contains(foldersWithoutMetrics, path) {
			return fs.SkipDir
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		literals, err := stringLiterals(filepath.Join("..", path))
		for _, literal := range literals {
			if match := name.FindString(literal); match != "" && !strings.HasSuffix(match, "_") {
				found[match] = true
			}
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return found
}

func stringLiterals(path string) ([]string, error) {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", path, err)
	}
	var literals []string
	ast.Inspect(file, func(node ast.Node) bool {
		if literal, ok := node.(*ast.BasicLit); ok && literal.Kind == token.STRING {
			if text, err := strconv.Unquote(literal.Value); err == nil {
				literals = append(literals, text)
			}
		}
		return true
	})
	return literals, nil
}
