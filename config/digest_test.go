package config

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"
)

func mustEntry(t *testing.T, s *Snapshot, changes string) (Entry, *Snapshot) {
	t.Helper()
	entry, next, err := NewEntry(s, patchOn(s, changes), time.Unix(1, 0))
	if err != nil {
		t.Fatal(err)
	}
	return entry, next
}

// reencode encodes an entry to JSON and decodes it, as the store and peers do.
func reencode(t *testing.T, entry Entry) Entry {
	t.Helper()
	encoded, err := json.Marshal(entry)
	if err != nil {
		t.Fatal(err)
	}
	var decoded Entry
	if err := json.Unmarshal(encoded, &decoded); err != nil {
		t.Fatal(err)
	}
	return decoded
}

func TestEntryReplaysToTheSameDigest(t *testing.T) {
	s := sample(t)
	patch := patchOn(s, ` { "workspaces" : { "bakery" : { "share" : 2.50 } } } `)
	patch.Author = "Ada <ada@example.org>"
	patch.Note = "line\u2028separator & \ufffd"
	entry, next, err := NewEntry(s, patch, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	replayed, err := ApplyEntry(s, reencode(t, reencode(t, entry)))
	if err != nil || replayed.Digest != next.Digest {
		t.Fatalf("replayed %v, %v", replayed, err)
	}
}

func TestTamperedEntriesAreRefused(t *testing.T) {
	s := sample(t)
	entry, _ := mustEntry(t, s, `{"workspaces": {"bakery": {"share": 3}}}`)
	for name, change := range map[string]func(*Entry){
		"changes": func(e *Entry) { e.Patch.Changes = json.RawMessage(`{"workspaces":{"bakery":{"share":4}}}`) },
		"id":      func(e *Entry) { e.Patch.ID = NewPatchID() },
		"note":    func(e *Entry) { e.Patch.Note = "other" },
		"digest":  func(e *Entry) { e.Digest[0]++ },
	} {
		tampered := entry
		change(&tampered)
		var mismatch *DigestError
		if _, err := ApplyEntry(s, tampered); !errors.As(err, &mismatch) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// TestDigestDependsOnHistory checks that the same patch on a different history
// gives a different digest, even if the resulting content is equal.
func TestDigestDependsOnHistory(t *testing.T) {
	a := mustApply(t, sample(t), `{"workspaces": {"bakery": {"share": 3}}}`)
	b := mustApply(t, sample(t), `{"workspaces": {"bakery": {"share": 4}}}`)
	entry, next := mustEntry(t, a, `{"workspaces": {"bakery": {"share": 5}}}`)
	var mismatch *DigestError
	if _, err := ApplyEntry(b, entry); !errors.As(err, &mismatch) {
		t.Fatalf("different history: %v", err)
	}
	var gap *SequenceError
	if _, err := ApplyEntry(next, entry); !errors.As(err, &gap) {
		t.Fatalf("entry applied twice: %v", err)
	}
}

func TestTamperedSnapshotsAreRefused(t *testing.T) {
	s := sample(t)
	encoded, err := EncodeSnapshot(s)
	if err != nil {
		t.Fatal(err)
	}
	for from, to := range map[string]string{
		`"share":2`:   `"share":3`,
		`"version":1`: `"version":2`,
		s.PatchID:     NewPatchID(),
		`"d2":`:       `"d9":`,
	} {
		tampered := strings.Replace(string(encoded), from, to, 1)
		if tampered == string(encoded) {
			t.Fatalf("%s is not in the snapshot", from)
		}
		var mismatch *DigestError
		if _, err := DecodeSnapshot([]byte(tampered)); !errors.As(err, &mismatch) {
			t.Errorf("%s for %s: %v", to, from, err)
		}
	}
	invalid := strings.Replace(string(encoded), `"share":2`, `"share":-2`, 1)
	_, err = DecodeSnapshot([]byte(invalid))
	wantProblems(t, err, "workspaces.bakery.share")
	if _, err := DecodeSnapshot(encoded[:len(encoded)/2]); err == nil {
		t.Fatal("half a snapshot was read")
	}
}

func TestVersionZeroHasNoContent(t *testing.T) {
	checkRoundTrip(t, Empty())
	encoded, _ := EncodeSnapshot(&Snapshot{Declarations: sample(t).Declarations})
	var mismatch *DigestError
	if _, err := DecodeSnapshot(encoded); !errors.As(err, &mismatch) {
		t.Fatalf("content at version zero: %v", err)
	}
}

func TestMalformedPatchesAreRefused(t *testing.T) {
	good := patchOn(Empty(), `{}`)
	for path, change := range map[string]func(*Patch){
		"id":      func(p *Patch) { p.ID = "seven" },
		"author":  func(p *Patch) { p.Author = strings.Repeat("a", MaxNoteBytes+1) },
		"note":    func(p *Patch) { p.Note = "\xff" },
		"changes": func(p *Patch) { p.Changes = json.RawMessage(`"` + strings.Repeat("a", MaxPatchBytes) + `"`) },
	} {
		bad := good
		change(&bad)
		var broken *PatchError
		if _, err := bad.Normalise(); !errors.As(err, &broken) || broken.Path != path {
			t.Errorf("%s: %v", path, err)
		}
	}
	stale := good
	stale.Base = 7
	var conflict *VersionConflictError
	if _, err := Apply(Empty(), stale); !errors.As(err, &conflict) || conflict.Newest != 0 {
		t.Errorf("stale base: %v", err)
	}
	var broken *PatchError
	if _, err := DecodePatch([]byte(`{"id": "` + good.ID + `", "bass": 1, "changes": {}}`)); !errors.As(err, &broken) {
		t.Errorf("unknown field: %v", err)
	}
	if p, err := DecodePatch([]byte(`{"id": "` + strings.ToUpper(good.ID) + `", "base": 1, "changes": { }}`)); err != nil || p.ID != good.ID {
		t.Errorf("good patch: %+v, %v", p, err)
	}
}
