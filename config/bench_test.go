package config

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	jsonpatch "github.com/evanphx/json-patch/v5"
)

// The size of the largest specified fleet: 16,000 workspaces, 38 models, 3,800 replicas.
const (
	largeFleetWorkspaces = 16_000
	largeFleetPools      = 38
	largeFleetTargets    = 3_800
)

// largeFleet returns a valid document of that size.
func largeFleet() Declarations {
	d := Declarations{Workspaces: map[string]Workspace{}, Pools: map[string]Pool{}, Targets: map[string]Target{}}
	for i := range largeFleetPools {
		d.Pools[fmt.Sprintf("pool-%02d", i)] = Pool{Kind: KindEngine, Models: []string{fmt.Sprintf("model-%02d", i)}}
	}
	for i := range largeFleetTargets {
		d.Targets[fmt.Sprintf("target-%04d", i)] = Target{
			Pool:       fmt.Sprintf("pool-%02d", i%largeFleetPools),
			DataCentre: fmt.Sprintf("dc-%d", i%7),
			Address:    fmt.Sprintf("10.0.%d.%d:8000", i/200, i%200+1),
			Slots:      4,
		}
	}
	for i := range largeFleetWorkspaces {
		d.Workspaces[fmt.Sprintf("workspace-%05d", i)] = Workspace{
			KeyHashes: []string{keyHash(fmt.Sprintf("key-%d", i))},
			Pools:     []string{fmt.Sprintf("pool-%02d", i%largeFleetPools), fmt.Sprintf("pool-%02d", (i+1)%largeFleetPools)},
		}
	}
	return WithDefaults(d)
}

func largeFleetSnapshot(b *testing.B) *Snapshot {
	b.Helper()
	changes, _, err := Diff(Declarations{}, largeFleet())
	if err != nil {
		b.Fatal(err)
	}
	s, err := Apply(Empty(), patchOn(Empty(), string(changes)))
	if err != nil {
		b.Fatal(err)
	}
	return s
}

var benchChanges = map[string]string{
	"share":  `{"workspaces": {"workspace-00007": {"share": 3}}}`,
	"key":    `{"workspaces": {"workspace-00007": {"key_hashes": ["` + keyHash("new") + `"]}}}`,
	"target": `{"targets": {"target-0007": {"leaving": true}}}`,
	"remove": `{"targets": {"target-0007": null}}`,
}

// BenchmarkApply measures the work of every router for each accepted version.
func BenchmarkApply(b *testing.B) {
	s := largeFleetSnapshot(b)
	for _, name := range sortedNames(benchChanges) {
		patch := patchOn(s, benchChanges[name])
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				next, err := Apply(s, patch)
				if err != nil {
					b.Fatal(err)
				}
				next.Index()
			}
		})
	}
}

// BenchmarkApplyByFullDecode measures the alternative to incremental updates:
// encoding, merging, decoding, validating and indexing the complete document
// for each version.
func BenchmarkApplyByFullDecode(b *testing.B) {
	s := largeFleetSnapshot(b)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := applyByFullDecode(s.Declarations, []byte(benchChanges["share"])); err != nil {
			b.Fatal(err)
		}
	}
}

// applyByFullDecode applies changes to the complete encoded document. It is
// the reference implementation for the tests.
func applyByFullDecode(d Declarations, changes []byte) (*Snapshot, error) {
	encoded, err := json.Marshal(d)
	if err != nil {
		return nil, err
	}
	merged, err := jsonpatch.MergePatch(encoded, changes)
	if err != nil {
		return nil, err
	}
	declarations, err := DecodeDeclarations(merged)
	if err != nil {
		return nil, err
	}
	s := &Snapshot{Declarations: declarations}
	s.Index()
	return s, nil
}

// BenchmarkDecodeSnapshot measures the work of a router once after a restart.
func BenchmarkDecodeSnapshot(b *testing.B) {
	encoded, err := EncodeSnapshot(largeFleetSnapshot(b))
	if err != nil {
		b.Fatal(err)
	}
	b.SetBytes(int64(len(encoded)))
	b.ReportAllocs()
	for b.Loop() {
		s, err := DecodeSnapshot(encoded)
		if err != nil {
			b.Fatal(err)
		}
		s.Index()
	}
}

// BenchmarkSnapshotHeap reports the live heap of one snapshot with its index.
func BenchmarkSnapshotHeap(b *testing.B) {
	encoded, err := EncodeSnapshot(largeFleetSnapshot(b))
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		before := liveHeap()
		s, err := DecodeSnapshot(encoded)
		if err != nil {
			b.Fatal(err)
		}
		s.Index()
		b.ReportMetric(float64(liveHeap()-before), "heap-bytes")
		runtime.KeepAlive(s)
	}
}

func liveHeap() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkWorkspaceByKey measures the key lookup of every request.
func BenchmarkWorkspaceByKey(b *testing.B) {
	index := largeFleetSnapshot(b).Index()
	key := []byte("key-7")
	for b.Loop() {
		if _, ok := index.WorkspaceByKey(key); !ok {
			b.Fatal("key not found")
		}
	}
}
