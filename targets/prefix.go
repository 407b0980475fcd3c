package targets

import "github.com/cespare/xxhash/v2"

// PrefixBytes is the length of the prompt prefix that PrefixHash covers.
const PrefixBytes = 256

// PrefixHash returns the hash of the beginning of a prompt as targets report it in
// Load.CachedPrefixes. The prompt is the JSON value of "messages" or "prompt" as it appears in
// the request body. An empty prompt hashes to zero.
func PrefixHash(prompt []byte) uint64 {
	if len(prompt) == 0 {
		return 0
	}
	return xxhash.Sum64(prompt[:min(len(prompt), PrefixBytes)])
}
