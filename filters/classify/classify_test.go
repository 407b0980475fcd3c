package classify

import (
	"context"
	"errors"
	"fmt"
	"net/textproto"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/result"
)

func testSnapshot() *config.Snapshot {
	return &config.Snapshot{Version: 1, Declarations: config.Declarations{
		Workspaces: map[string]config.Workspace{"bakery": {Pools: []string{"chat", "sites", "deploy"}}},
		Pools: map[string]config.Pool{
			"chat":   {Kind: config.KindEngine, Models: []string{"small", "large"}},
			"other":  {Kind: config.KindEngine, Models: []string{"secret"}},
			"sites":  {Kind: config.KindService, PathPrefix: "/svc"},
			"deploy": {Kind: config.KindService, PathPrefix: "/svc/deploy", NonIdempotent: true},
		},
	}}
}

// parseRequest parses "METHOD PATH", header lines, an empty line and the body.
func parseRequest(input string) *pipeline.Exchange {
	head, body, _ := strings.Cut(input, "\n\n")
	lines := strings.Split(head, "\n")
	snapshot := testSnapshot()
	ex := &pipeline.Exchange{
		Arrived:       time.Unix(0, 0),
		Header:        make(map[string]string),
		Body:          []byte(body),
		Snapshot:      snapshot,
		WorkspaceName: "bakery",
		Workspace:     snapshot.Declarations.Workspaces["bakery"],
	}
	fmt.Sscan(lines[0], &ex.Method, &ex.Path)
	for _, line := range lines[1:] {
		name, value, _ := strings.Cut(line, ": ")
		ex.Header[textproto.CanonicalMIMEHeaderKey(name)] = value
	}
	return ex
}

func TestClassify(t *testing.T) {
	filter := New(Options{})
	datadriven.RunTest(t, "testdata/classify", func(t *testing.T, d *datadriven.TestData) string {
		ex := parseRequest(d.Input)
		called := false
		err := filter.Serve(context.Background(), ex, func(context.Context, *pipeline.Exchange) error {
			called = true
			return nil
		})
		var refusal *result.Error
		if errors.As(err, &refusal) && !called {
			return fmt.Sprintf("%d %s: %s\n", refusal.Code, refusal.Code.Info().Name, refusal.Detail)
		}
		out := fmt.Sprintf("pool=%s idempotent=%t deadline=%s", ex.PoolName, ex.Idempotent, ex.Deadline.Sub(ex.Arrived))
		if ex.Model != "" {
			out += fmt.Sprintf(" model=%s stream=%t prefix=%t", ex.Model, ex.Stream, ex.PrefixHash != 0)
		}
		if ex.CostHint > 0 {
			out += fmt.Sprintf(" cost=%s", ex.CostHint)
		}
		return out + "\n"
	})
}

// TestHashes checks that the prefix hash depends only on the beginning of the prompt, and
// that the fingerprint differs if the workspace or the body differs.
func TestHashes(t *testing.T) {
	hashes := func(workspace, path, body string) (prefix, fingerprint uint64) {
		ex := parseRequest("POST " + path + "\n\n" + body)
		ex.WorkspaceName = workspace
		if refusal := New(Options{}).classify(ex); refusal != nil {
			t.Fatal(refusal)
		}
		return ex.PrefixHash, ex.Fingerprint
	}
	long := strings.Repeat("x", 300)
	body := fmt.Sprintf(`{"model":"small","prompt":%q}`, long)
	prefix, fingerprint := hashes("bakery", pathCompletions, body)
	for _, c := range []struct {
		workspace, body             string
		samePrefix, sameFingerprint bool
	}{
		{"bakery", body, true, true},
		{"school", body, true, false},
		{"bakery", fmt.Sprintf(`{"model":"large","stream":true,"prompt":%q}`, long+"y"), true, false},
		{"bakery", fmt.Sprintf(`{"model":"small","prompt":%q}`, "y"+long), false, false},
	} {
		p, f := hashes(c.workspace, pathCompletions, c.body)
		if (p == prefix) != c.samePrefix || (f == fingerprint) != c.sameFingerprint {
			t.Errorf("%s %s: prefix same %t, fingerprint same %t", c.workspace, c.body, p == prefix, f == fingerprint)
		}
	}
}
