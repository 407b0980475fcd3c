package member

import "github.com/cespare/xxhash/v2"

// HashOf returns the hash of a node's or key's name for Score.
func HashOf(name string) uint64 { return xxhash.Sum64String(name) }

// Score returns the rendezvous weight of a node for a key, from their hashes. The node
// with the highest score owns the key, so a node that joins or leaves moves only its own
// keys.
func Score(node, key uint64) uint64 {
	x := node ^ (key<<32 | key>>32)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
