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

// readers are the folders whose code reads metrics and exports none.
var readers = []string{"bench", "proctest", "load", "ctl"}

// afterEvent are the metrics that appear with an event that the test does not
// bring about. All others must be exported.
var afterEvent = []string{
	"walnut_batch_refusals_total",
	"walnut_platform_errors_total",
	"walnut_platform_retries_total",
	// Calls to a managed platform, which this fleet does not run on.
	"walnut_platform_store_calls_total",
	// Of a managed platform's feeds; managedtest looks for them.
	"walnut_directory_answer_age_seconds",
	"walnut_directory_call_age_seconds",
	"walnut_directory_stale_seconds",
	"walnut_directory_era",
	// Measured on a managed platform only; an empty histogram is not exported.
	"walnut_router_lag_seconds",
}

// TestMetricsPage holds docs/METRICS.md to what a fleet exports and to what
// stands in the source: names and labels, both ways.
func TestMetricsPage(t *testing.T) {
	documented := documentedMetrics(t)
	exported := exportedMetrics(t)
	source := sourceMetrics(t)
	for name, labels := range exported {
		want, ok := documented[name]
		if !ok {
			t.Errorf("%s %v is exported and has no row", name, labels)
			continue
		}
		if !slices.Equal(labels, want) {
			t.Errorf("%s is exported with labels %q, its row says %q", name, labels, want)
		}
	}
	for name := range source {
		if _, ok := documented[name]; !ok {
			t.Errorf("%s stands in the source and has no row", name)
		}
	}
	for name := range documented {
		_, found := exported[name]
		switch {
		case !found && !source[name]:
			t.Errorf("%s has a row and does not exist", name)
		case !found && !slices.Contains(afterEvent, name):
			t.Errorf("%s stands in the source and is not exported", name)
		}
	}
}

// TestMetricNames holds every documented name to the page's own rules.
func TestMetricNames(t *testing.T) {
	shape := regexp.MustCompile(`^walnut_[a-z]+(_[a-z]+)+$`)
	for name, labels := range documentedMetrics(t) {
		if !shape.MatchString(name) {
			t.Errorf("%s is not walnut_<part>_<what>", name)
		}
		for _, kind := range []string{"_refusals_total", "_retries_total"} {
			if strings.HasSuffix(name, kind) && !slices.Contains(labels, "reason") {
				t.Errorf("%s has no reason", name)
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
	found := make(map[string][]string)
	for _, match := range row.FindAllStringSubmatch(string(page), -1) {
		name, kind := match[1], match[2]
		if _, twice := found[name]; twice {
			t.Errorf("%s has two rows", name)
		}
		if total := strings.HasSuffix(name, "_total"); total != (kind == "counter") {
			t.Errorf("%s is a %s", name, kind)
		}
		found[name] = []string{}
		for _, l := range label.FindAllStringSubmatch(match[3], -1) {
			found[name] = append(found[name], l[1])
		}
		slices.Sort(found[name])
	}
	if rows := strings.Count(string(page), "\n| `walnut_"); rows != len(found) {
		t.Errorf("%d of %d rows can be read", len(found), rows)
	}
	return found
}

// exportedMetrics runs a fleet, sends it some requests of each kind and reads
// /metrics. It returns the labels of each metric, without those of histograms.
func exportedMetrics(t *testing.T) map[string][]string {
	t.Helper()
	fleet := startFleet(t, devfleet.Options{})
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	run := load.Run{Routers: callerAddresses(fleet), Callers: 5, Requests: 60, Seed: 3, Next: mixedRequest}
	if summary := run.Do(ctx); summary.Count(load.Answered) != run.Requests {
		t.Fatalf("not all were answered: %v", summary)
	}
	replayAndRefuse(t, fleet)
	response, err := http.Get("http://" + fleet.Routers[0].OperatorsAddress() + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	found := make(map[string][]string)
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "walnut_") {
			name, labels := parseSample(t, lines.Text())
			found[name] = labels
		}
	}
	if err := lines.Err(); err != nil {
		t.Fatal(err)
	}
	return found
}

// replayAndRefuse sends a non-idempotent call twice, and one more with the
// same key and other content.
func replayAndRefuse(t *testing.T, fleet *devfleet.Fleet) {
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

// parseSample reads a line `name{label="value",...} number`.
func parseSample(t *testing.T, line string) (string, []string) {
	t.Helper()
	head, _, _ := strings.Cut(line, " ")
	name, text, labelled := strings.Cut(head, "{")
	labels := []string{}
	if labelled {
		for _, match := range regexp.MustCompile(`([a-z_]+)="`).FindAllStringSubmatch(text, -1) {
			labels = append(labels, match[1])
		}
	}
	slices.Sort(labels)
	withoutRange := slices.DeleteFunc(labels, func(l string) bool { return l == "vmrange" })
	for _, suffix := range []string{"_bucket", "_sum", "_count"} {
		if base, ok := strings.CutSuffix(name, suffix); ok {
			return base, withoutRange
		}
	}
	return name, withoutRange
}

// sourceMetrics returns the names that begin string literals of the source. A
// literal that ends in "_" is the beginning of several names, which /metrics
// must tell.
func sourceMetrics(t *testing.T) map[string]bool {
	t.Helper()
	found := make(map[string]bool)
	name := regexp.MustCompile(`^walnut_[a-z_]+`)
	root := os.DirFS("..")
	err := fs.WalkDir(root, ".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && slices.Contains(readers, path) {
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
