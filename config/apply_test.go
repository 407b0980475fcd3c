package config

import (
	"encoding/hex"
	"encoding/json"
	"errors"
	"strings"
	"testing"
)

// keyHash returns the hex hash of a key, in the form used in declarations.
func keyHash(key string) string {
	hash := HashKey([]byte(key))
	return hex.EncodeToString(hash[:])
}

// sampleChanges declares two workspaces, two pools and three targets.
func sampleChanges() string {
	return `{
	"pools": {
		"draft": {"kind": "engine", "models": ["small", "large"]},
		"deploy": {"kind": "service", "path_prefix": "/svc/deploy", "non_idempotent": true},
		"purge": {"kind": "service", "path_prefix": "/svc/deploy/purge"}},
	"targets": {
		"d1": {"pool": "draft", "data_centre": "ikeja", "address": "127.0.0.1:7001", "slots": 4},
		"d2": {"pool": "draft", "data_centre": "lekki", "address": "127.0.0.1:7002"},
		"s1": {"pool": "deploy", "data_centre": "yaba", "address": "127.0.0.1:7003"}},
	"workspaces": {
		"bakery": {"share": 2, "key_hashes": ["` + keyHash("bread") + `"], "pools": ["draft", "deploy"]},
		"school": {"key_hashes": ["` + keyHash("chalk") + `"], "pools": ["draft"], "targets": ["d1"]}}}`
}

func patchOn(s *Snapshot, changes string) Patch {
	return Patch{ID: NewPatchID(), Base: s.Version, Changes: json.RawMessage(changes)}
}

func mustApply(t *testing.T, s *Snapshot, changes string) *Snapshot {
	t.Helper()
	next, err := Apply(s, patchOn(s, changes))
	if err != nil {
		t.Fatalf("apply %s: %v", changes, err)
	}
	return next
}

func sample(t *testing.T) *Snapshot {
	t.Helper()
	return mustApply(t, Empty(), sampleChanges())
}

func TestApplyMergesWithoutChangingTheOldVersion(t *testing.T) {
	s := sample(t)
	next := mustApply(t, s, `{"workspaces": {"bakery": {"share": 5, "key_hashes": ["`+keyHash("rye")+`"]}, "school": null}, "targets": {"d2": null}}`)
	if next.Version != 2 || next.Declarations.Workspaces["bakery"].Share != 5 {
		t.Fatalf("version %d, workspaces %v", next.Version, next.Declarations.Workspaces)
	}
	if _, ok := next.Declarations.Workspaces["school"]; ok {
		t.Fatal("school was not removed")
	}
	if s.Declarations.Workspaces["bakery"].Share != 2 || len(s.Declarations.Targets) != 3 {
		t.Fatal("the old version changed")
	}
	if name, _ := next.Index().WorkspaceByKey([]byte("rye")); name != "bakery" {
		t.Fatalf("rye belongs to %q", name)
	}
	for _, key := range []string{"bread", "chalk"} {
		if name, ok := next.Index().WorkspaceByKey([]byte(key)); ok {
			t.Fatalf("%s still belongs to %q", key, name)
		}
		if _, ok := s.Index().WorkspaceByKey([]byte(key)); !ok {
			t.Fatalf("%s is gone from the old version", key)
		}
	}
}

func TestDefaultsFillAbsentFieldsOnly(t *testing.T) {
	s := sample(t)
	school := s.Declarations.Workspaces["school"]
	if school.Share != 1 || school.MaxQueued != 256 || school.MaxQueuedBytes != 64<<20 {
		t.Fatalf("defaults: %+v", school)
	}
	back := mustApply(t, s, `{"workspaces": {"bakery": {"share": null}}}`)
	if got := back.Declarations.Workspaces["bakery"].Share; got != 1 {
		t.Fatalf("share after null: %v", got)
	}
	_, err := Apply(s, patchOn(s, `{"workspaces": {"bakery": {"share": 0, "max_queued": 0}}}`))
	wantProblems(t, err, "workspaces.bakery.max_queued", "workspaces.bakery.share")
}

// wantProblems checks that err lists exactly these objects and fields, in order.
func wantProblems(t *testing.T, err error, want ...string) {
	t.Helper()
	var invalid *ValidationError
	if !errors.As(err, &invalid) {
		t.Fatalf("not a validation error: %v", err)
	}
	var got []string
	for _, p := range invalid.Problems {
		place := p.Object
		if p.Field != "" {
			place += "." + p.Field
		}
		got = append(got, place)
	}
	if strings.Join(got, " ") != strings.Join(want, " ") {
		t.Fatalf("problems %v, want %v\n%v", got, want, err)
	}
}

func TestIndexLookups(t *testing.T) {
	index := sample(t).Index()
	for key, want := range map[string]string{"bread": "bakery", "chalk": "school", "sand": "", "": ""} {
		if name, ok := index.WorkspaceByKey([]byte(key)); name != want || ok != (want != "") {
			t.Errorf("key %q: %q %v", key, name, ok)
		}
	}
	for path, want := range map[string]string{
		"/svc/deploy": "deploy", "/svc/deploy?x=/svc/deploy/purge": "deploy", "/svc/deploy/a/b": "deploy",
		"/svc/deploy/purge/x": "purge", "/svc/deployer": "", "/svc": "", "/": "",
	} {
		if pool, ok := index.PoolByPath(path); pool != want || ok != (want != "") {
			t.Errorf("path %q: %q %v", path, pool, ok)
		}
	}
	if pool, _ := index.PoolByModel("large"); pool != "draft" {
		t.Errorf("large is in %q", pool)
	}
	if got := index.TargetsByDataCentre("draft")["ikeja"]; len(got) != 1 || got[0] != "d1" {
		t.Errorf("draft in ikeja: %v", got)
	}
}
