package sched

import (
	"container/list"
	"math"
	"time"
)

// freshGrant is how long after a grant its prompt may not be read, or not be told
// of yet: targets tell some hundred milliseconds late.
const freshGrant = 2 * time.Second

// keptParts guesses which parts of prompts a target keeps: what was granted and
// what it told, the most recently used ones, as far as its memory reaches.
type keptParts struct {
	capacity int64
	tokens   int64
	order    *list.List // of keptPart, most recently used first
	byID     map[uint64]*list.Element
}

type keptPart struct {
	EnginePart
	// usedAt is when a prompt with it was last granted.
	usedAt time.Duration
}

// neverUsed is when a part was granted that the target alone told of.
const neverUsed = time.Duration(math.MinInt64)

func newKeptParts(capacity int64) keptParts {
	return keptParts{capacity: capacity, order: list.New(), byID: make(map[uint64]*list.Element)}
}

func (k *keptParts) tokensOf(id uint64) int {
	if element := k.byID[id]; element != nil {
		return element.Value.(keptPart).Tokens
	}
	return 0
}

// use notes that a prompt with these parts is read or was found kept. The last
// parts yield first: nothing of a prompt is kept without what stands before it.
func (k *keptParts) use(now time.Duration, parts []EnginePart) {
	for i := len(parts) - 1; i >= 0; i-- {
		k.remove(parts[i].ID)
		k.add(keptPart{EnginePart: parts[i], usedAt: now})
	}
	for k.capacity > 0 && k.tokens > k.capacity {
		k.remove(k.order.Back().Value.(keptPart).ID)
	}
}

// set takes in how much of a part is kept, unless it was granted just now.
func (k *keptParts) set(now time.Duration, part EnginePart) {
	usedAt := neverUsed
	if element := k.byID[part.ID]; element != nil {
		usedAt = element.Value.(keptPart).usedAt
		if usedAt > now-freshGrant {
			return
		}
	}
	k.remove(part.ID)
	if part.Tokens > 0 {
		k.add(keptPart{EnginePart: part, usedAt: usedAt})
	}
}

func (k *keptParts) add(part keptPart) {
	k.byID[part.ID] = k.order.PushFront(part)
	k.tokens += int64(part.Tokens)
}

func (k *keptParts) remove(id uint64) {
	element := k.byID[id]
	if element == nil {
		return
	}
	k.tokens -= int64(element.Value.(keptPart).Tokens)
	k.order.Remove(element)
	delete(k.byID, id)
}

// forgetBefore forgets all parts that were not granted since a time.
func (k *keptParts) forgetBefore(since time.Duration) {
	for id, element := range k.byID {
		if element.Value.(keptPart).usedAt < since {
			k.remove(id)
		}
	}
}
