package wire

import "fmt"

// Sizes of the tables, in slots. A margin is the largest number of slots of a table
// that a single message can use: a slot that is closer to eviction than that is no
// longer referred to, since the message's own definitions could evict it.
const (
	nameSlots    = 512
	nameMargin   = MaxListItems + 20
	originSlots  = 128
	originMargin = 4
	shardSlots   = 128
	shardMargin  = 4
)

// encodingTable is the sender's copy of a table.
type encodingTable[K comparable] struct {
	size   int
	margin int
	slots  []K
	index  map[K]int // the latest slot of each value
	next   int       // the slot that the next definition uses
}

func newEncodingTable[K comparable](size, margin int) *encodingTable[K] {
	return &encodingTable[K]{size: size, margin: margin, index: make(map[K]int)}
}

// lookup returns the slot of a value, unless it is absent or close to eviction.
func (t *encodingTable[K]) lookup(value K) (slot int, ok bool) {
	slot, ok = t.index[value]
	if !ok || len(t.slots) < t.size {
		return slot, ok
	}
	untilEviction := (slot - t.next + t.size) % t.size
	return slot, untilEviction >= t.margin
}

// define assigns a value to the next slot and evicts the slot's previous value.
func (t *encodingTable[K]) define(value K) (slot int) {
	slot = t.next
	if slot == len(t.slots) {
		t.slots = append(t.slots, value)
	} else {
		t.evict(slot)
		t.slots[slot] = value
	}
	t.index[value] = slot
	t.next = (slot + 1) % t.size
	return slot
}

// evict removes the value in a slot from the index, unless the value was defined
// again in another slot.
func (t *encodingTable[K]) evict(slot int) {
	old := t.slots[slot]
	if t.index[old] == slot {
		delete(t.index, old)
	}
}

// decodingTable is the receiver's copy of a table.
type decodingTable[K any] struct {
	size  int
	slots []K
	next  int
}

// define stores a value in the next slot.
func (t *decodingTable[K]) define(value K) {
	if t.next == len(t.slots) {
		t.slots = append(t.slots, value)
	} else {
		t.slots[t.next] = value
	}
	t.next = (t.next + 1) % t.size
}

// get returns the value in a slot.
func (t *decodingTable[K]) get(slot int) (K, error) {
	if slot < 0 || slot >= len(t.slots) {
		var none K
		return none, fmt.Errorf("%w: slot %d of %d", ErrBadReference, slot, len(t.slots))
	}
	return t.slots[slot], nil
}
