// Package member keeps a node's view of which other nodes live, and assigns
// work to them by rendezvous hashing.
package member

import "github.com/cespare/xxhash/v2"

// Score is the rendezvous weight of a node for a key. The node with the
// highest score owns the key.
func Score(node, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(node)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return mix(d.Sum64())
}

// mix spreads the hash, so that close inputs do not give ordered scores.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Owner returns the node that owns key, or "" if nodes is empty. The order of
// nodes does not matter, and a node that comes or goes moves only its own keys.
func Owner(key string, nodes []string) string {
	var best string
	var bestScore uint64
	for _, node := range nodes {
		score := Score(node, key)
		if best == "" || score > bestScore || (score == bestScore && node < best) {
			best, bestScore = node, score
		}
	}
	return best
}
