package engine

import (
	"container/list"
	"slices"
)

// prefixCache is a least-recently-used set of prompt prefixes.
type prefixCache struct {
	capacity int
	order    *list.List // of uint64, the most recent first
	byHash   map[uint64]*list.Element
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{
		capacity: capacity,
		order:    list.New(),
		byHash:   make(map[uint64]*list.Element),
	}
}

// use says whether the prefix was cached and makes it the most recent.
func (c *prefixCache) use(hash uint64) bool {
	if hash == 0 {
		return false
	}
	if element, ok := c.byHash[hash]; ok {
		c.order.MoveToFront(element)
		return true
	}
	c.byHash[hash] = c.order.PushFront(hash)
	if c.order.Len() > c.capacity {
		oldest := c.order.Back()
		c.order.Remove(oldest)
		delete(c.byHash, oldest.Value.(uint64))
	}
	return false
}

// hashes returns the cached prefixes in ascending order.
func (c *prefixCache) hashes() []uint64 {
	all := make([]uint64, 0, len(c.byHash))
	for hash := range c.byHash {
		all = append(all, hash)
	}
	slices.Sort(all)
	return all
}

func (c *prefixCache) clear() {
	c.order.Init()
	clear(c.byHash)
}
