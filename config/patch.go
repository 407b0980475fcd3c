package config

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"time"
	"unicode/utf8"

	"github.com/google/uuid"
)

// Limits of a patch.
const (
	// MaxPatchBytes limits the encoded changes of one patch: 8 MiB.
	MaxPatchBytes = 8 << 20
	// MaxNoteBytes limits Author and Note, each.
	MaxNoteBytes = 1000
)

// Patch is one operator's change to the configuration.
type Patch struct {
	// ID is a UUID chosen by the sender. Resending a patch with the same ID is
	// idempotent.
	ID string `json:"id"`
	// Base is the version that the patch was made against.
	Base Version `json:"base"`
	// Author identifies the operator who made the patch.
	Author string `json:"author,omitempty"`
	// Note is the author's reason for the change.
	Note string `json:"note,omitempty"`
	// Changes is a JSON merge patch (RFC 7396) to the Declarations.
	Changes json.RawMessage `json:"changes"`
}

// Entry is one accepted version in the history.
type Entry struct {
	// Version is the number that the patch was accepted under: Patch.Base+1.
	Version Version `json:"version"`
	// Patch is the accepted patch.
	Patch Patch `json:"patch"`
	// AcceptedAt is the time of acceptance by the accepting router's clock. It is
	// informational only.
	AcceptedAt time.Time `json:"accepted_at"`
	// Digest is the version's digest.
	Digest Digest `json:"digest"`
}

// NewPatchID returns a new random patch id.
func NewPatchID() string { return uuid.NewString() }

// Normalise checks that the patch is well formed and returns it with its id
// and changes in the canonical form in which they are hashed and stored.
// Errors are *PatchError.
func (p Patch) Normalise() (Patch, error) {
	id, err := uuid.Parse(p.ID)
	if err != nil || id == uuid.Nil {
		return Patch{}, &PatchError{Path: "id", Reason: "must be a UUID"}
	}
	if err := checkText("author", p.Author); err != nil {
		return Patch{}, err
	}
	if err := checkText("note", p.Note); err != nil {
		return Patch{}, err
	}
	if err := checkDuplicateKeys(p.Changes); err != nil {
		return Patch{}, &PatchError{Path: "changes", Reason: err.Error()}
	}
	changes, err := json.Marshal(p.Changes)
	if err != nil {
		return Patch{}, &PatchError{Path: "changes", Reason: "is not valid JSON"}
	}
	if len(changes) > MaxPatchBytes {
		return Patch{}, &PatchError{Path: "changes", Reason: fmt.Sprintf("is over %d bytes", MaxPatchBytes)}
	}
	p.ID = id.String()
	p.Changes = changes
	return p, nil
}

// checkText limits the length of a text and rejects invalid UTF-8, which JSON
// encoding would replace and so change the patch's hash.
func checkText(path, text string) error {
	if len(text) > MaxNoteBytes {
		return &PatchError{Path: path, Reason: fmt.Sprintf("is over %d bytes", MaxNoteBytes)}
	}
	if !utf8.ValidString(text) {
		return &PatchError{Path: path, Reason: "is not valid UTF-8"}
	}
	return nil
}

// SameContent reports whether two normalised patches have the same id and
// changes. Their bases may differ.
func (p Patch) SameContent(other Patch) bool {
	return p.ID == other.ID && string(p.Changes) == string(other.Changes)
}

// hash covers every field of a normalised patch.
func (p Patch) hash() Digest {
	encoded, err := json.Marshal(p)
	if err != nil {
		panic(fmt.Sprintf("config: encode patch: %v", err)) // Unreachable: Normalise has checked Changes.
	}
	return sha256.Sum256(encoded)
}
