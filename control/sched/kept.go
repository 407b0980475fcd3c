package sched

import (
	"container/list"
	"math"
	"time"
)

// grantGrace is how long after its grant a prompt may still be unread, or missing from the
// target's reports: targets report some hundred milliseconds late.
const grantGrace = 2 * time.Second

// keptParts estimates which prompt parts a target keeps: the most recently used of those
// that were granted to it or that it reported, up to the size of its memory.
type keptParts struct {
	capacity int64
	tokens   int64
	order    *list.List // of keptPart, most recently used first
	byID     map[uint64]*list.Element
}

type keptPart struct {
	EnginePart
	// grantedAt is when a prompt with this part was last granted.
	grantedAt time.Duration
}

// neverGranted is the grantedAt of a part that is known only from the target's reports.
const neverGranted = time.Duration(math.MinInt64)

func newKeptParts(capacity int64) keptParts {
	return keptParts{capacity: capacity, order: list.New(), byID: make(map[uint64]*list.Element)}
}

func (k *keptParts) keptTokens(id uint64) int {
	if element := k.byID[id]; element != nil {
		return element.Value.(keptPart).Tokens
	}
	return 0
}

// use records that a prompt with these parts is read or was found kept. The last parts
// are evicted first: no part of a prompt is kept without the parts before it.
func (k *keptParts) use(now time.Duration, parts []EnginePart) {
	for i := len(parts) - 1; i >= 0; i-- {
		k.remove(parts[i].ID)
		k.add(keptPart{EnginePart: parts[i], grantedAt: now})
	}
	for k.capacity > 0 && k.tokens > k.capacity {
		k.remove(k.order.Back().Value.(keptPart).ID)
	}
}

// report records how many tokens of a part the target keeps, unless the part was granted
// within grantGrace.
func (k *keptParts) report(now time.Duration, part EnginePart) {
	grantedAt := neverGranted
	if element := k.byID[part.ID]; element != nil {
		grantedAt = element.Value.(keptPart).grantedAt
		if grantedAt > now-grantGrace {
			return
		}
	}
	k.remove(part.ID)
	if part.Tokens > 0 {
		k.add(keptPart{EnginePart: part, grantedAt: grantedAt})
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

// forgetBefore removes all parts that were last granted before since.
func (k *keptParts) forgetBefore(since time.Duration) {
	for id, element := range k.byID {
		if element.Value.(keptPart).grantedAt < since {
			k.remove(id)
		}
	}
}
