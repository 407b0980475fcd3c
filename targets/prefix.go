package targets

import "github.com/cespare/xxhash/v2"

// PrefixBytes is how much of a prompt's beginning PrefixHash covers.
const PrefixBytes = 256

// PrefixHash returns the hash of a prompt's beginning as targets report it in
// Load.CachedPrefixes. The prompt is the JSON value of "messages" or "prompt"
// as it stands in the call's body. No prompt hashes to zero.
func PrefixHash(prompt []byte) uint64 {
	if len(prompt) == 0 {
		return 0
	}
	return xxhash.Sum64(prompt[:min(len(prompt), PrefixBytes)])
}
