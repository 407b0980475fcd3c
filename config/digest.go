package config

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
)

// Digest is a chained SHA-256 digest of a version: it covers the previous
// version's digest, the patch and the complete resulting content. Two
// routers with the same version and digest hold the same content. It detects
// faults, not forgeries: write access is controlled by the operators' keys.
// Version zero has the zero digest.
type Digest [sha256.Size]byte

// String returns the digest in hex.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(d)) {
		return fmt.Errorf("config: digest must have %d hex digits", hex.EncodedLen(len(d)))
	}
	if _, err := hex.Decode(d[:], text); err != nil {
		return fmt.Errorf("config: digest: %w", err)
	}
	return nil
}

// digestInputs holds the inputs of a digest other than the version's number,
// patch id and content.
type digestInputs struct {
	previousDigest Digest
	patchHash      Digest
}

// computeDigest computes the digest of s from its content sum.
func (s *Snapshot) computeDigest(content contentSum) Digest {
	hash := sha256.New()
	hash.Write(s.digestInputs.previousDigest[:])
	hash.Write(s.digestInputs.patchHash[:])
	hash.Write([]byte(s.PatchID))
	hash.Write(binary.BigEndian.AppendUint64(nil, uint64(s.Version)))
	for _, word := range content {
		hash.Write(binary.BigEndian.AppendUint64(nil, word))
	}
	var digest Digest
	hash.Sum(digest[:0])
	return digest
}

// contentSum is the sum of the hashes of all objects, added word by word. It is
// independent of their order, and updating it for a changed object takes one
// subtraction and one addition.
type contentSum [4]uint64

func (c *contentSum) add(hash [sha256.Size]byte) {
	for i := range c {
		c[i] += binary.BigEndian.Uint64(hash[i*8:])
	}
}

func (c *contentSum) subtract(hash [sha256.Size]byte) {
	for i := range c {
		c[i] -= binary.BigEndian.Uint64(hash[i*8:])
	}
}

// hashObject hashes an object together with its section and name.
func hashObject(sectionName, name string, object any) [sha256.Size]byte {
	encoded, err := json.Marshal(object)
	if err != nil {
		// Unreachable: declarations hold only strings, numbers, booleans and
		// lists of strings, and validation rejects numbers that are not finite.
		panic(fmt.Sprintf("config: encode %s.%s: %v", sectionName, name, err))
	}
	data := make([]byte, 0, len(sectionName)+len(name)+2+len(encoded))
	data = append(data, sectionName...)
	data = append(data, 0)
	data = append(data, name...)
	data = append(data, 0)
	data = append(data, encoded...)
	return sha256.Sum256(data)
}

func sumSection[T any](sum *contentSum, s section[T], objects map[string]T) {
	for name, object := range objects {
		sum.add(hashObject(s.name, name, object))
	}
}

// updateSum replaces the hashes of the touched objects of old in sum by those
// of next.
func updateSum[T any](sum *contentSum, s section[T], old, next map[string]T, touched map[string]json.RawMessage) {
	for name := range touched {
		if object, ok := old[name]; ok {
			sum.subtract(hashObject(s.name, name, object))
		}
		if object, ok := next[name]; ok {
			sum.add(hashObject(s.name, name, object))
		}
	}
}

func (s *Snapshot) contentSum() contentSum {
	s.contentOnce.Do(func() {
		sumSection(&s.content, workspaceSection, s.Declarations.Workspaces)
		sumSection(&s.content, poolSection, s.Declarations.Pools)
		sumSection(&s.content, targetSection, s.Declarations.Targets)
		sumSection(&s.content, routeSection, s.Declarations.Routes)
	})
	return s.content
}
