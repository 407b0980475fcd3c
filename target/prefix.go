package target

import "github.com/cespare/xxhash/v2"

// PrefixBytes is how much of a prompt's beginning PrefixHash covers.
const PrefixBytes = 256

// PrefixHash returns the hash of a prompt's beginning as targets report it in
// Load.CachedPrefixes. It is zero for an empty prompt only.
func PrefixHash(prompt string) uint64 {
	if prompt == "" {
		return 0
	}
	hash := xxhash.Sum64String(prompt[:min(len(prompt), PrefixBytes)])
	return max(hash, 1)
}
