package directory

import (
	"encoding/json"
	"errors"
	"maps"
	"reflect"
	"testing"

	"github.com/walnutcove/walnutcove/config"
)

// configurationOf returns a version with its own revision.
func configurationOf(version config.Version, d config.Declarations) Configuration {
	return Configuration{Version: version, Revision: config.Revision(version) + 10, Declarations: d, Format: declarationsFormat}
}

// revokeKeys returns declarations in which a workspace has no keys and one route was replaced.
func revokeKeys(d config.Declarations) config.Declarations {
	d.Workspaces, d.Routes = maps.Clone(d.Workspaces), maps.Clone(d.Routes)
	d.Workspaces["bakery"] = config.Workspace{KeyHashes: []string{}, Pools: []string{"ops"}}
	delete(d.Routes, "route-1")
	d.Routes["added"] = config.Route{Host: "shop.example", Prefix: "/added/", Kind: config.RouteIdempotent, Split: []config.RouteShare{{Pool: "ops", Weight: 1}}}
	d.Callers.IdleMillis = 700
	return d
}

// exchange sends what one follower has to another one and returns the size.
func exchange(t *testing.T, from, to *Follower) int {
	t.Helper()
	encoded, err := from.Export(t.Context(), to.Cursor())
	if err != nil {
		t.Fatal(err)
	}
	if err := to.Import("peer", encoded); err != nil {
		t.Fatal(err)
	}
	return len(encoded)
}

// TestVersionCostsWhatItChanges guards against routers that send and decode the whole
// configuration whenever a version changes one key.
func TestVersionCostsWhatItChanges(t *testing.T) {
	old := largeDeclarations()
	ahead, behind := followerWith(configurationOf(2, old)), followerWith(configurationOf(1, config.Declarations{}))
	whole := exchange(t, ahead, behind)
	next := revokeKeys(old)
	for version := config.Version(3); version < 6; version++ { // the peer misses some versions
		ahead.setConfiguration(configurationOf(version, next))
	}
	if size := exchange(t, ahead, behind); size > whole/100 {
		t.Errorf("a version that changes three objects takes %d bytes, all objects %d", size, whole)
	}
	if got := behind.state.configuration; got.Version != 5 || !reflect.DeepEqual(got.Declarations, next) {
		t.Errorf("version %d differs from the one that was sent", got.Version)
	}
}

// TestPatchNeedsItsBase guards against a patch applied to other content than it was made for: a
// version that a restored store holds with other content, a version that the peer does not
// know, or one that passed through a build that leaves out some fields.
func TestPatchNeedsItsBase(t *testing.T) {
	old := largeDeclarations()
	rewritten := configurationOf(2, revokeKeys(old))
	rewritten.Revision += 5
	unknownFormat := configurationOf(2, old)
	unknownFormat.Format = 0
	for name, base := range map[string]Configuration{
		"rewritten":      rewritten,
		"unknown":        configurationOf(1, config.Declarations{}),
		"unknown format": unknownFormat,
	} {
		ahead, behind := followerWith(configurationOf(2, old)), followerWith(base)
		next := revokeKeys(old)
		ahead.setConfiguration(configurationOf(9, next))
		exchange(t, ahead, behind)
		if got := behind.state.configuration; got.Version != 9 || !reflect.DeepEqual(got.Declarations, next) {
			t.Errorf("%s: version %d differs from the one that was sent", name, got.Version)
		}
	}
}

// TestPatchOfAnotherBaseIsRejected guards against a configuration that changed between the request
// for a patch and its arrival, and against revisions that are taken over without it.
func TestPatchOfAnotherBaseIsRejected(t *testing.T) {
	old := largeDeclarations()
	ahead, behind := followerWith(configurationOf(2, old)), followerWith(configurationOf(2, old))
	ahead.setConfiguration(configurationOf(9, revokeKeys(old)))
	encoded, err := ahead.Export(t.Context(), behind.Cursor())
	if err != nil {
		t.Fatal(err)
	}
	behind.setConfiguration(configurationOf(5, old))
	before := behind.Cursor()
	if err := behind.Import("peer", encoded); !errors.Is(err, errPatchBase) {
		t.Errorf("error %v, want %v", err, errPatchBase)
	}
	if after := behind.Cursor(); after != before {
		t.Errorf("cursor %+v, %+v before", after, before)
	}
	exchange(t, ahead, behind)
	if got := behind.state.configuration.Version; got != 9 {
		t.Errorf("version %d after asking again, want 9", got)
	}
}

// TestBuildWithoutPatchesGetsEverything guards against a router that is left without routes while
// builds with and without patches run beside each other.
func TestBuildWithoutPatchesGetsEverything(t *testing.T) {
	old := largeDeclarations()
	ahead := followerWith(configurationOf(2, old))
	ahead.setConfiguration(configurationOf(3, revokeKeys(old)))
	encoded, err := ahead.Export(t.Context(), Cursor{Version: 2, ConfigRevision: 12})
	if err != nil {
		t.Fatal(err)
	}
	var content struct {
		Declarations config.Declarations `json:"declarations"`
	}
	if err := json.Unmarshal(encoded, &content); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(content.Declarations.Routes, revokeKeys(old).Routes) {
		t.Errorf("%d routes, want all", len(content.Declarations.Routes))
	}
}
