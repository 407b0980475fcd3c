package config

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"time"

	"github.com/google/uuid"
)

// Limits of a patch.
const (
	// MaxPatchBytes bounds the changes of one patch, so that an entry fits into
	// one row of the platform's table (1 MiB).
	MaxPatchBytes = 960 << 10
	// MaxNoteBytes bounds Author and Note, each.
	MaxNoteBytes = 1000
)

// Patch is one operator's change to the configuration.
type Patch struct {
	// ID is a UUID chosen by the sender. Sending a patch again under the same
	// ID is idempotent.
	ID string `json:"id"`
	// Base is the version that the patch was made against.
	Base Version `json:"base"`
	// Author says who made the patch.
	Author string `json:"author,omitempty"`
	// Note says why, in the author's words.
	Note string `json:"note,omitempty"`
	// Changes is a JSON merge patch (RFC 7396) over the Declarations.
	Changes json.RawMessage `json:"changes"`
}

// Entry is one accepted version in the history.
type Entry struct {
	// Version is the number that the patch was accepted under: Patch.Base+1.
	Version Version `json:"version"`
	// Patch is the accepted patch.
	Patch Patch `json:"patch"`
	// AcceptedAt is the accepting router's clock. It is information only.
	AcceptedAt time.Time `json:"accepted_at"`
	// Digest is the version's digest.
	Digest Digest `json:"digest"`
}

// NewPatchID returns a fresh random patch id.
func NewPatchID() string { return uuid.NewString() }

// Normalise checks the patch's form and returns it with its id and changes in
// canonical spelling, in which they are hashed and stored. Errors are
// *PatchError.
func (p Patch) Normalise() (Patch, error) {
	id, err := uuid.Parse(p.ID)
	if err != nil || id == uuid.Nil {
		return Patch{}, &PatchError{Path: "id", Reason: "must be a UUID"}
	}
	if len(p.Author) > MaxNoteBytes {
		return Patch{}, &PatchError{Path: "author", Reason: fmt.Sprintf("is over %d bytes", MaxNoteBytes)}
	}
	if len(p.Note) > MaxNoteBytes {
		return Patch{}, &PatchError{Path: "note", Reason: fmt.Sprintf("is over %d bytes", MaxNoteBytes)}
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

// SameContent says whether two normalised patches are the same but for their base.
func (p Patch) SameContent(other Patch) bool {
	return p.ID == other.ID && string(p.Changes) == string(other.Changes)
}

// hash covers every field of a normalised patch.
func (p Patch) hash() Digest {
	encoded, err := json.Marshal(p)
	if err != nil {
		panic(fmt.Sprintf("config: encode patch: %v", err)) // Normalise has checked Changes.
	}
	return sha256.Sum256(encoded)
}
