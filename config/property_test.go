package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// genName draws from a small set of names, so that some references resolve and
// others do not.
func genName(prefix string) *rapid.Generator[string] {
	return rapid.Custom(func(t *rapid.T) string {
		return fmt.Sprintf("%s%d", prefix, rapid.IntRange(0, 4).Draw(t, prefix))
	})
}

// genObject draws an object with some of the given fields, or null. Field
// values are JSON.
func genObject(fields map[string][]string) *rapid.Generator[string] {
	return rapid.Custom(func(t *rapid.T) string {
		if rapid.IntRange(0, 5).Draw(t, "remove") == 0 {
			return "null"
		}
		var members []string
		for _, field := range sortedNames(fields) {
			if rapid.IntRange(0, 3).Draw(t, "leave out") == 0 {
				continue
			}
			value := rapid.SampledFrom(fields[field]).Draw(t, field)
			members = append(members, fmt.Sprintf("%q: %s", field, value))
		}
		return "{" + strings.Join(members, ", ") + "}"
	})
}

func hashList(keys ...string) string {
	hashes := []string{}
	for _, key := range keys {
		hashes = append(hashes, keyHash(key))
	}
	encoded, _ := json.Marshal(hashes)
	return string(encoded)
}

var (
	genWorkspace = genObject(map[string][]string{
		"share":      {"1", "2.5", "null", "0"},
		"key_hashes": {hashList(), hashList("a"), hashList("b"), hashList("b", "c"), hashList("d"), hashList("e")},
		"pools":      {`[]`, `["p0"]`, `["p1", "p2"]`, `["p3"]`},
		"targets":    {`null`, `["t0"]`, `["t1", "t2"]`},
		"max_queued": {"null", "10"},
	})
	genPool = genObject(map[string][]string{
		"kind":        {`"engine"`, `"engine"`, `"service"`},
		"models":      {`["m0"]`, `["m1", "m2"]`, `["m3"]`, `["m4"]`, "null"},
		"path_prefix": {"null", "null", `"/svc/a"`, `"/svc/b"`},
	})
	genTarget = genObject(map[string][]string{
		"pool":        {`"p0"`, `"p1"`, `"p2"`},
		"data_centre": {`"ikeja"`, `"lekki"`},
		"address":     {`"127.0.0.1:7001"`, `"127.0.0.1:7002"`},
		"leaving":     {"true", "false", "null"},
		"load_models": {"null", "[]", `["m0"]`, `["m1@2", "m1@2/a"]`},
		"role":        {"null", `"prefill"`},
	})
)

func genSection(name, prefix string, object *rapid.Generator[string], maxObjects int) *rapid.Generator[string] {
	return rapid.Custom(func(t *rapid.T) string {
		names := rapid.SliceOfNDistinct(genName(prefix), 0, maxObjects, rapid.ID[string]).Draw(t, name)
		var members []string
		for _, n := range names {
			members = append(members, fmt.Sprintf("%q: %s", n, object.Draw(t, n)))
		}
		return fmt.Sprintf("%q: {%s}", name, strings.Join(members, ", "))
	})
}

var genChanges = rapid.Custom(func(t *rapid.T) string {
	sections := []string{
		genSection("pools", "p", genPool, 2).Draw(t, "pools"),
		genSection("targets", "t", genTarget, 2).Draw(t, "targets"),
		genSection("workspaces", "w", genWorkspace, 3).Draw(t, "workspaces"),
	}
	return "{" + strings.Join(sections, ", ") + "}"
})

// checkAgainstFullDecode compares Apply with merging, decoding and validating
// the complete document. It returns the next version, or s if the patch is
// rejected.
func checkAgainstFullDecode(t interface{ Fatalf(string, ...any) }, s *Snapshot, changes string) *Snapshot {
	before, _ := json.Marshal(s.Declarations)
	next, err := Apply(s, patchOn(s, changes))
	if after, _ := json.Marshal(s.Declarations); string(before) != string(after) {
		t.Fatalf("the old version changed from %s to %s", before, after)
	}
	var broken *PatchError
	if errors.As(err, &broken) {
		return s
	}
	full, fullErr := applyByFullDecode(s.Declarations, []byte(changes))
	if (err == nil) != (fullErr == nil) {
		t.Fatalf("%s\non %s\nincremental: %v\nfull decode: %v", changes, before, err, fullErr)
	}
	if err != nil {
		return s
	}
	if !reflect.DeepEqual(next.Declarations, full.Declarations) {
		t.Fatalf("%s\nincremental %+v\nfull decode %+v", changes, next.Declarations, full.Declarations)
	}
	if next.contentSum() != full.contentSum() {
		t.Fatalf("%s: content sums differ", changes)
	}
	checkIndexes(t, next, full)
	checkRoundTrip(t, next)
	return next
}

func checkIndexes(t interface{ Fatalf(string, ...any) }, got, want *Snapshot) {
	a, b := got.Index(), want.Index()
	if !reflect.DeepEqual(a.poolsByModel, b.poolsByModel) || !reflect.DeepEqual(a.targetsByPool, b.targetsByPool) || !reflect.DeepEqual(a.poolsByPathPrefix, b.poolsByPathPrefix) {
		t.Fatalf("indexes differ: %+v and %+v", a, b)
	}
	if len(a.keysByHashPrefix) != len(b.keysByHashPrefix) {
		t.Fatalf("%d keys, want %d", len(a.keysByHashPrefix), len(b.keysByHashPrefix))
	}
	for name, workspace := range want.Declarations.Workspaces {
		for _, text := range workspace.KeyHashes {
			hash, _ := parseKeyHash(text)
			if owner, _ := a.WorkspaceByKeyHash(hash); owner != name {
				t.Fatalf("key of %s belongs to %q", name, owner)
			}
		}
	}
}

func checkRoundTrip(t interface{ Fatalf(string, ...any) }, s *Snapshot) {
	encoded, err := EncodeSnapshot(s)
	if err != nil {
		t.Fatalf("encode: %v", err)
	}
	decoded, err := DecodeSnapshot(encoded)
	if err != nil {
		t.Fatalf("decode %s: %v", encoded, err)
	}
	if decoded.Digest != s.Digest || !reflect.DeepEqual(decoded.Declarations, s.Declarations) {
		t.Fatalf("decoded %+v, want %+v", decoded, s)
	}
}

func TestIncrementalApplyEqualsFullDecode(t *testing.T) {
	accepted := 0
	rapid.Check(t, func(t *rapid.T) {
		s := propertySample(t)
		for range rapid.IntRange(1, 12).Draw(t, "patches") {
			next := checkAgainstFullDecode(t, s, genChanges.Draw(t, "changes"))
			if next != s {
				accepted++
			}
			s = next
		}
	})
	if accepted == 0 {
		t.Fatal("no patch was accepted: the test compared rejections only")
	}
}

// propertySample returns a small valid snapshot with names that the generators
// draw from.
func propertySample(t interface{ Fatalf(string, ...any) }) *Snapshot {
	changes := `{"pools": {"p0": {"kind": "engine", "models": ["m0"]}, "p1": {"kind": "engine", "models": ["m1"]},
		"p2": {"kind": "service", "path_prefix": "/svc/a"}},
		"targets": {"t0": {"pool": "p0", "data_centre": "ikeja", "address": "127.0.0.1:7001"}},
		"workspaces": {"w0": {"key_hashes": ` + hashList("a") + `, "pools": ["p0"], "targets": ["t0"]}}}`
	s, err := Apply(Empty(), patchOn(Empty(), changes))
	if err != nil {
		t.Fatalf("sample: %v", err)
	}
	return s
}

func TestDiffPatchTransformsFromIntoTo(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from := propertySample(t)
		to := from
		for range rapid.IntRange(0, 6).Draw(t, "patches") {
			if next, err := Apply(to, patchOn(to, genChanges.Draw(t, "changes"))); err == nil {
				to = next
			}
		}
		changes, rows, err := Diff(from.Declarations, to.Declarations)
		if err != nil {
			t.Fatalf("diff: %v", err)
		}
		got, err := Apply(from, patchOn(from, string(changes)))
		if err != nil {
			t.Fatalf("apply %s: %v", changes, err)
		}
		if !reflect.DeepEqual(got.Declarations, to.Declarations) {
			t.Fatalf("diff %s results in %+v, want %+v", changes, got.Declarations, to.Declarations)
		}
		equal := reflect.DeepEqual(from.Declarations, to.Declarations)
		if equal != (len(rows) == 0) || equal != (string(changes) == "{}") {
			t.Fatalf("equal %v, %d rows, changes %s", equal, len(rows), changes)
		}
	})
}

func FuzzApply(f *testing.F) {
	for _, seed := range []string{
		sampleChanges(), `{}`, `null`, `[]`, `{"workspaces": null}`, `{"workspaces": {"w0": null}}`,
		`{"workspaces": {"w0": {"Share": 2}}}`, `{"workspaces": {"w0": {"share": 2, "share": 3}}}`,
		`{"workspaces": {"w0": {"pools": [null, {"a": null}]}}}`, `{"pools": {"p0": {"kind": "service", "models": null, "path_prefix": "/x"}}}`,
		`{"targets": {"t0": {"slots": 1e400}}}`, `{"targets": {"t0": {"address": "localhost:1"}}}`,
		`{"workspaces": {"w0": []}}`, `{"workspaces": {"a<b": {"share": -0}}}`, "{\"workspaces\": {\"\xff\": {}}}",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, changes string) {
		checkAgainstFullDecode(t, propertySample(t), changes)
	})
}
