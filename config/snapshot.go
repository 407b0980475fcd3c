package config

import (
	"encoding/json"
	"fmt"
)

// wholeSnapshot is the encoded form of a Snapshot: the document and what its
// digest was made from, so that the reader can compute the digest again.
type wholeSnapshot struct {
	Version      Version      `json:"version"`
	PatchID      string       `json:"patch_id"`
	Digest       Digest       `json:"digest"`
	Previous     Digest       `json:"previous"`
	Patch        Digest       `json:"patch"`
	Declarations Declarations `json:"declarations"`
}

// EncodeSnapshot encodes a snapshot whole, for the object store and for peers.
func EncodeSnapshot(s *Snapshot) ([]byte, error) {
	encoded, err := json.Marshal(wholeSnapshot{
		Version:      s.Version,
		PatchID:      s.PatchID,
		Digest:       s.Digest,
		Previous:     s.link.previous,
		Patch:        s.link.patch,
		Declarations: s.Declarations,
	})
	if err != nil {
		return nil, fmt.Errorf("config: encode version %d: %w", s.Version, err)
	}
	return encoded, nil
}

// DecodeSnapshot reads what EncodeSnapshot wrote, validates it and checks its
// digest. Errors are *PatchError, *ValidationError or *DigestError.
func DecodeSnapshot(data []byte) (*Snapshot, error) {
	var whole struct {
		wholeSnapshot
		Declarations json.RawMessage `json:"declarations"`
	}
	if err := json.Unmarshal(data, &whole); err != nil {
		return nil, &PatchError{Path: "snapshot", Reason: err.Error()}
	}
	declarations, err := decodeDocument(whole.Declarations)
	if err != nil {
		return nil, err
	}
	s := &Snapshot{
		Version:      whole.Version,
		PatchID:      whole.PatchID,
		Declarations: declarations,
		Digest:       whole.Digest,
		link:         link{previous: whole.Previous, patch: whole.Patch},
	}
	if err := s.checkDigest(); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Snapshot) checkDigest() error {
	content := s.contentSum()
	computed := s.chain(content)
	if s.Version == 0 && content == (contentSum{}) {
		computed = Digest{}
	}
	if computed != s.Digest {
		return &DigestError{Version: s.Version, Stated: s.Digest, Computed: computed}
	}
	return nil
}
