package engine

import (
	"container/list"
	"slices"
)

// prefixCache is an LRU cache of the hashes of prompt prefixes.
type prefixCache struct {
	capacity  int
	byRecency *list.List // of uint64, the most recent first
	byHash    map[uint64]*list.Element
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{
		capacity:  capacity,
		byRecency: list.New(),
		byHash:    make(map[uint64]*list.Element),
	}
}

// use reports whether the prefix was cached, and makes it the most recently used. A
// prefix that was not cached is added, and evicts another if the cache is full.
// Hash zero stands for a prompt without a prefix and is never cached.
func (c *prefixCache) use(hash uint64) bool {
	if hash == 0 {
		return false
	}
	if element, ok := c.byHash[hash]; ok {
		c.byRecency.MoveToFront(element)
		return true
	}
	c.byHash[hash] = c.byRecency.PushFront(hash)
	if c.byRecency.Len() > c.capacity {
		oldest := c.byRecency.Back()
		c.byRecency.Remove(oldest)
		delete(c.byHash, oldest.Value.(uint64))
	}
	return false
}

// hashes returns the hashes of the cached prefixes in ascending order.
func (c *prefixCache) hashes() []uint64 {
	all := make([]uint64, 0, len(c.byHash))
	for hash := range c.byHash {
		all = append(all, hash)
	}
	slices.Sort(all)
	return all
}

func (c *prefixCache) clear() {
	c.byRecency.Init()
	clear(c.byHash)
}
