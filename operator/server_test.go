package operator

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/walnutcove/walnutcove/config"
	configstore "github.com/walnutcove/walnutcove/config/store"
	"github.com/walnutcove/walnutcove/result"
	"github.com/walnutcove/walnutcove/store"
)

const (
	testKey = "operator-key"
	testID  = "6f1c3c0a-2b7e-4a51-9d2c-0a54c1f7a001"
)

// stubBackend answers from its fields and records patches and drains.
type stubBackend struct {
	ready    Readiness
	versions map[config.Version]config.Declarations
	applyErr error
	readErr  error
	applied  []config.Patch
	drained  []string
	entries  []config.Entry
	members  []Member
	statuses map[string]Status
}

func (b *stubBackend) Ready() Readiness { return b.ready }

func (b *stubBackend) Config(_ context.Context, v config.Version) (*config.Snapshot, error) {
	if b.readErr != nil {
		return nil, b.readErr
	}
	declarations, ok := b.versions[v]
	if !ok {
		return nil, &configstore.UnknownVersionError{Version: v}
	}
	return &config.Snapshot{Version: v, Declarations: declarations}, nil
}

func (b *stubBackend) Apply(_ context.Context, p config.Patch) (config.Version, error) {
	if b.applyErr != nil {
		return 0, b.applyErr
	}
	b.applied = append(b.applied, p)
	return p.Base + 1, nil
}

func (b *stubBackend) History(_ context.Context, before config.Version, limit int) ([]config.Entry, error) {
	return b.entries[:min(limit, len(b.entries))], nil
}

func (b *stubBackend) Members(context.Context) ([]Member, error) { return b.members, nil }

func (b *stubBackend) Status(_ context.Context, r StatusRequest) (Status, error) {
	status, ok := b.statuses[r.Node]
	if !ok {
		return Status{}, errors.New("no session")
	}
	return status, nil
}

func (b *stubBackend) Drain(_ context.Context, node string) error {
	b.drained = append(b.drained, node)
	return nil
}

func hashOf(key string) string {
	digest := sha256.Sum256([]byte(key))
	return hex.EncodeToString(digest[:])
}

// startServer serves the backend on loopback and returns the base URL.
func startServer(t *testing.T, backend Backend) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server, err := New(backend, Options{Address: listener.Addr().String(), KeyHashes: []string{hashOf(testKey)}})
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	t.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		if err := server.Shutdown(context.Background()); err != nil {
			t.Error(err)
		}
		<-done
	})
	return "http://" + listener.Addr().String()
}

// call sends a request and returns the status and body.
func call(t *testing.T, method, url, key, body string) (int, string) {
	t.Helper()
	return callReader(t, method, url, key, strings.NewReader(body))
}

func callReader(t *testing.T, method, url, key string, body io.Reader) (int, string) {
	t.Helper()
	req, err := http.NewRequest(method, url, body)
	if err != nil {
		t.Fatal(err)
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(raw)
}

func TestKeysPathsAndMethodsAreChecked(t *testing.T) {
	backend := &stubBackend{statuses: map[string]Status{"": {}}}
	url := startServer(t, backend)
	cases := []struct {
		method, path, key, body string
		status                  int
	}{
		{"GET", PathHealthz, "", "", 200},
		{"GET", PathReadyz, "", "", 503},
		{"GET", PathMetrics, "", "", 401},
		{"GET", PathMetrics, testKey, "", 200},
		{"GET", PathHeap, "", "", 401},
		{"GET", PathHeap, testKey, "", 200},
		{"GET", PathStatus, "", "", 401},
		{"GET", PathStatus, testKey + "x", "", 401},
		{"GET", PathStatus, testKey, "", 200},
		{"POST", PathPatches, "", `{"id":"` + testID + `","changes":{}}`, 401},
		{"POST", PathPatches, "wrong", strings.Repeat(" ", MaxBodyBytes+1), 401},
		{"POST", PathPatches, testKey, strings.Repeat(" ", MaxBodyBytes+1), 413},
		{"GET", "/operator/v1/nothing", "", "", 401},
		{"GET", "/operator/v1/nothing", testKey, "", 404},
		{"GET", PathPatches, testKey, "", 405},
	}
	for _, c := range cases {
		status, body := call(t, c.method, url+c.path, c.key, c.body)
		if status != c.status {
			t.Errorf("%s %s with key %q: status %d, want %d: %s", c.method, c.path, c.key, status, c.status, body)
		}
	}
	if len(backend.applied) != 0 {
		t.Errorf("a refused patch reached the backend: %v", backend.applied)
	}
}

// TestRefusalArrivesWhateverTheBody sends bodies that the server does not read as a
// patch. It guards against a connection that is reset before the sender has
// received the refusal.
func TestRefusalArrivesWhateverTheBody(t *testing.T) {
	url := startServer(t, &stubBackend{})
	for _, key := range []string{"wrong", testKey} {
		want := http.StatusUnauthorized
		if key == testKey {
			want = http.StatusRequestEntityTooLarge
		}
		large := strings.Repeat(" ", 2*MaxBodyBytes)
		if status, body := call(t, "POST", url+PathPatches, key, large); status != want {
			t.Errorf("key %q: got %d %s", key, status, body)
		}
		chunked := io.MultiReader(strings.NewReader(large)) // hides the length from http.NewRequest
		if status, body := callReader(t, "POST", url+PathPatches, key, chunked); status != want {
			t.Errorf("key %q, chunked: got %d %s", key, status, body)
		}
	}
}

func TestEmptyKeysOnlyOnLoopback(t *testing.T) {
	if _, err := New(&stubBackend{}, Options{Address: "127.0.0.1:9"}); err != nil {
		t.Errorf("loopback: %v", err)
	}
	if _, err := New(&stubBackend{}, Options{Address: "10.0.0.1:9"}); err == nil {
		t.Error("an address off loopback without keys was accepted")
	}
	if _, err := New(&stubBackend{}, Options{Address: "127.0.0.1:9", KeyHashes: []string{"zz"}}); err == nil {
		t.Error("a malformed hash was accepted")
	}
}

func TestPatchErrors(t *testing.T) {
	const good = `{"id":"` + testID + `","base":3,"changes":{}}`
	cases := []struct {
		name, body string
		applyErr   error
		status     int
		code       result.Code
		newest     config.Version
	}{
		{"conflict", good, &config.VersionConflictError{Base: 3, Newest: 9}, 409, result.VersionConflict, 9},
		{"invalid", good, &config.ValidationError{Problems: []config.Problem{{Object: "workspaces.a"}}}, 422, result.InvalidDeclaration, 0},
		{"unavailable, with a code", good, result.New(result.PlatformUnavailable, "down"), 503, result.PlatformUnavailable, 0},
		{"unavailable, without a code", good, fmt.Errorf("read: %w", store.ErrUnavailable), 503, result.PlatformUnavailable, 0},
		{"outcome unknown", good, &configstore.CommitUnknownError{Cause: store.ErrUnavailable}, 504, result.CommitUnknown, 0},
		{"another error", good, errors.New("socket"), 504, result.CommitUnknown, 0},
		{"no id", `{"base":3,"changes":{}}`, nil, 400, result.InvalidPatch, 0},
		{"no changes", `{"id":"` + testID + `","base":3}`, nil, 400, result.InvalidPatch, 0},
		{"unknown field", `{"id":"` + testID + `","basis":3,"changes":{}}`, nil, 400, result.InvalidPatch, 0},
		{"two documents", good + good, nil, 400, result.InvalidPatch, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			url := startServer(t, &stubBackend{applyErr: c.applyErr})
			status, raw := call(t, "POST", url+PathPatches, testKey, c.body)
			var body ErrorBody
			if err := json.Unmarshal([]byte(raw), &body); err != nil {
				t.Fatal(err)
			}
			if status != c.status || body.Code != int(c.code) || body.Newest != c.newest {
				t.Errorf("got %d %+v", status, body)
			}
		})
	}
}

func TestRollbackIsAPatchBetweenTwoVersions(t *testing.T) {
	backend := &stubBackend{versions: map[config.Version]config.Declarations{
		1: {Workspaces: map[string]config.Workspace{"bakery": {Share: 1}}},
		4: {Workspaces: map[string]config.Workspace{"bakery": {Share: 2}, "school": {Share: 1}}},
	}}
	url := startServer(t, backend)
	status, body := call(t, "POST", url+PathRollback, testKey, `{"id":"`+testID+`","base":4,"to":1}`)
	if status != 200 || !strings.Contains(body, `"version":5`) {
		t.Fatalf("got %d %s", status, body)
	}
	want := `{"workspaces":{"bakery":{"share":1},"school":null}}`
	if got := string(backend.applied[0].Changes); got != want {
		t.Errorf("changes %s, want %s", got, want)
	}
	if status, body = call(t, "POST", url+PathRollback, testKey, `{"id":"`+testID+`","base":4,"to":2}`); status != 404 {
		t.Errorf("unknown version: got %d %s", status, body)
	}
	backend.readErr = errors.New("reset")
	status, body = call(t, "POST", url+PathRollback, testKey, `{"id":"`+testID+`","base":4,"to":1}`)
	if status != 503 || len(backend.applied) != 1 {
		t.Errorf("failed read: got %d %s; %d applied", status, body, len(backend.applied))
	}
}

func TestFleetStatusNamesUnreachableRouters(t *testing.T) {
	backend := &stubBackend{
		members: []Member{{Node: "b", DataCentre: "yaba"}, {Node: "a", DataCentre: "ikeja", Leaving: true}},
		statuses: map[string]Status{"a": {
			Newest:  7,
			Routers: []RouterStatus{{Node: "a", State: RouterReady, Version: 7}},
			Backlog: []WorkspaceBacklog{{Workspace: "bakery", Waiting: 3}},
		}},
	}
	url := startServer(t, backend)
	_, raw := call(t, "GET", url+PathStatus+"?fleet=1", testKey, "")
	var status Status
	if err := json.Unmarshal([]byte(raw), &status); err != nil {
		t.Fatal(err)
	}
	if len(status.Routers) != 2 || status.Newest != 7 {
		t.Fatalf("got %s", raw)
	}
	if a := status.Routers[0]; a.State != RouterReady || !a.Listed || !a.Leaving {
		t.Errorf("a: %+v", a)
	}
	if b := status.Routers[1]; b.State != RouterUnreachable || b.DataCentre != "yaba" || b.Error == "" {
		t.Errorf("b: %+v", b)
	}
}

func TestMergeStatusKeepsNewerReportAndSums(t *testing.T) {
	merged := MergeStatus([]Status{
		{
			Targets: []TargetStatus{{Name: "t", LoadAgeMillis: -1}, {Name: "s", LoadAgeMillis: 5, Scheduler: "a"}},
			Backlog: []WorkspaceBacklog{{Workspace: "w", Waiting: 1, WaitingBytes: 10, Running: 2}},
			Shards:  []ShardStatus{{Pool: "p", Scheduler: "b"}},
		},
		{
			Targets: []TargetStatus{{Name: "t", LoadAgeMillis: 900}, {Name: "s", LoadAgeMillis: 3, Scheduler: "b"}},
			Backlog: []WorkspaceBacklog{{Workspace: "w", Waiting: 4, WaitingBytes: 5, Running: 1}},
			Shards:  []ShardStatus{{Pool: "p", Scheduler: "a"}},
		},
	})
	if got := merged.Targets; got[0].Scheduler != "b" || got[1].LoadAgeMillis != 900 {
		t.Errorf("targets %+v", got)
	}
	if got, want := merged.Backlog[0], (WorkspaceBacklog{"w", 5, 15, 3}); got != want {
		t.Errorf("backlog %+v, want %+v", got, want)
	}
	if got := merged.Shards; len(got) != 2 || got[0].Scheduler != "a" {
		t.Errorf("shards %+v", got)
	}
}

func TestHistoryNamesObjectsWithoutTheirContent(t *testing.T) {
	backend := &stubBackend{entries: []config.Entry{
		{Version: 2, Patch: config.Patch{ID: testID, Note: "n", Changes: []byte(`{"workspaces":{"b":{"share":2},"a":null}}`)}},
		{Version: 1},
	}}
	url := startServer(t, backend)
	_, raw := call(t, "GET", url+PathHistory+"?limit=1", testKey, "")
	var answer HistoryAnswer
	if err := json.Unmarshal([]byte(raw), &answer); err != nil {
		t.Fatal(err)
	}
	if len(answer.Versions) != 1 || strings.Contains(raw, "share") {
		t.Fatalf("got %s", raw)
	}
	entry := answer.Versions[0]
	if entry.Objects != 2 || strings.Join(entry.Changed, " ") != "workspaces.a workspaces.b" || entry.Note != "n" {
		t.Errorf("got %+v", entry)
	}
}
