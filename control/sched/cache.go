package sched

import (
	"container/list"
	"math"
	"time"
)

// grantGrace is how long after its grant a prompt may still be unread, or missing from the
// target's reports: targets report some hundred milliseconds late.
const grantGrace = 2 * time.Second

// cacheEstimate estimates which prompt parts a target has cached: the most recently used of
// those that were granted to it or that it reported, up to the size of its memory.
type cacheEstimate struct {
	capacity int64
	tokens   int64
	order    *list.List // of cachedPart, most recently used first
	byID     map[uint64]*list.Element
}

type cachedPart struct {
	EnginePart
	// grantedAt is when a prompt with this part was last granted.
	grantedAt time.Duration
}

// neverGranted is the grantedAt of a part that is known only from the target's reports.
const neverGranted = time.Duration(math.MinInt64)

func newCacheEstimate(capacity int64) cacheEstimate {
	return cacheEstimate{capacity: capacity, order: list.New(), byID: make(map[uint64]*list.Element)}
}

func (c *cacheEstimate) cachedTokens(id uint64) int {
	if element := c.byID[id]; element != nil {
		return element.Value.(cachedPart).Tokens
	}
	return 0
}

// use records that a prompt with these parts is read or was found cached. The last parts
// are evicted first: no part of a prompt is cached without the parts before it.
func (c *cacheEstimate) use(now time.Duration, parts []EnginePart) {
	for i := len(parts) - 1; i >= 0; i-- {
		c.remove(parts[i].ID)
		c.add(cachedPart{EnginePart: parts[i], grantedAt: now})
	}
	for c.capacity > 0 && c.tokens > c.capacity {
		c.remove(c.order.Back().Value.(cachedPart).ID)
	}
}

// report records how many tokens of a part the target has cached, unless the part was granted
// within grantGrace.
func (c *cacheEstimate) report(now time.Duration, part EnginePart) {
	grantedAt := neverGranted
	if element := c.byID[part.ID]; element != nil {
		grantedAt = element.Value.(cachedPart).grantedAt
		if grantedAt > now-grantGrace {
			return
		}
	}
	c.remove(part.ID)
	if part.Tokens > 0 {
		c.add(cachedPart{EnginePart: part, grantedAt: grantedAt})
	}
}

func (c *cacheEstimate) add(part cachedPart) {
	c.byID[part.ID] = c.order.PushFront(part)
	c.tokens += int64(part.Tokens)
}

func (c *cacheEstimate) remove(id uint64) {
	element := c.byID[id]
	if element == nil {
		return
	}
	c.tokens -= int64(element.Value.(cachedPart).Tokens)
	c.order.Remove(element)
	delete(c.byID, id)
}

// removeBefore removes all parts that were last granted before since.
func (c *cacheEstimate) removeBefore(since time.Duration) {
	for id, element := range c.byID {
		if element.Value.(cachedPart).grantedAt < since {
			c.remove(id)
		}
	}
}
