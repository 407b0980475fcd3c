package config

import (
	"encoding/json"
	"fmt"
)

// encodedSnapshot is the encoded form of a Snapshot: the document and the other
// inputs of its digest, so that the reader can recompute the digest.
type encodedSnapshot struct {
	Version      Version      `json:"version"`
	PatchID      string       `json:"patch_id"`
	Digest       Digest       `json:"digest"`
	Previous     Digest       `json:"previous"`
	Patch        Digest       `json:"patch"`
	Declarations Declarations `json:"declarations"`
}

// EncodeSnapshot encodes a complete snapshot for the object store and for peers.
func EncodeSnapshot(s *Snapshot) ([]byte, error) {
	encoded, err := json.Marshal(encodedSnapshot{
		Version:      s.Version,
		PatchID:      s.PatchID,
		Digest:       s.Digest,
		Previous:     s.digestInputs.previousDigest,
		Patch:        s.digestInputs.patchHash,
		Declarations: s.Declarations,
	})
	if err != nil {
		return nil, fmt.Errorf("config: encode version %d: %w", s.Version, err)
	}
	return encoded, nil
}

// DecodeSnapshot decodes the output of EncodeSnapshot, validates the
// declarations and verifies the digest. Errors are *PatchError,
// *ValidationError or *DigestError.
func DecodeSnapshot(data []byte) (*Snapshot, error) {
	var encoded struct {
		encodedSnapshot
		Declarations json.RawMessage `json:"declarations"`
	}
	if err := json.Unmarshal(data, &encoded); err != nil {
		return nil, &PatchError{Path: "snapshot", Reason: err.Error()}
	}
	declarations, err := decodeDocument(encoded.Declarations)
	if err != nil {
		return nil, err
	}
	s := &Snapshot{
		Version:      encoded.Version,
		PatchID:      encoded.PatchID,
		Declarations: declarations,
		Digest:       encoded.Digest,
		digestInputs: digestInputs{previousDigest: encoded.Previous, patchHash: encoded.Patch},
	}
	if err := s.checkDigest(); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Snapshot) checkDigest() error {
	content := s.contentSum()
	computed := s.computeDigest(content)
	if s.Version == 0 && content == (contentSum{}) {
		computed = Digest{}
	}
	if computed != s.Digest {
		return &DigestError{Version: s.Version, Stated: s.Digest, Computed: computed}
	}
	return nil
}
