package config

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
)

// Digest is a chained SHA-256 digest of a version: it covers the previous
// version's digest, the patch and the whole resulting content. Two nodes with
// the same version and digest hold the same content. It finds faults, not
// forgeries: who may write versions is settled by the operators' keys.
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

// link holds what a digest was made from besides the content.
type link struct {
	previous Digest
	patch    Digest
}

// chain computes the digest of s.
func (s *Snapshot) chain(content contentSum) Digest {
	hash := sha256.New()
	hash.Write(s.link.previous[:])
	hash.Write(s.link.patch[:])
	hash.Write([]byte(s.PatchID))
	hash.Write(binary.BigEndian.AppendUint64(nil, uint64(s.Version)))
	for _, word := range content {
		hash.Write(binary.BigEndian.AppendUint64(nil, word))
	}
	var digest Digest
	hash.Sum(digest[:0])
	return digest
}

// contentSum is the sum of the hashes of all objects, word by word. Order does
// not matter, and a changed object costs one subtraction and one addition.
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

// hashObject hashes one object with its section and name.
func hashObject(sectionName, name string, object any) [sha256.Size]byte {
	encoded, err := json.Marshal(object)
	if err != nil {
		// Declarations hold only strings, numbers, booleans and lists of
		// strings; validation refuses numbers that are not finite.
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

// updateSum moves sum from old to next for the touched names.
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
