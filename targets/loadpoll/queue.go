package loadpoll

import (
	"container/heap"
	"context"
	"time"
)

// notQueued is the place of an entry outside of the queue.
const notQueued = -1

// entry is one target.
type entry struct {
	name    string
	address string
	// ctx ends when the target is no longer polled.
	ctx    context.Context
	cancel context.CancelFunc
	// pace is used by the outstanding poll alone.
	pace pace
	// at is when the next poll is due.
	at time.Time
	// place is the entry's index in the queue, or notQueued.
	place int
}

// queue holds the targets without an outstanding poll, the earliest first.
type queue struct{ entries byTime }

func (q *queue) add(e *entry) { heap.Push(&q.entries, e) }

func (q *queue) first() *entry {
	if len(q.entries) == 0 {
		return nil
	}
	return q.entries[0]
}

func (q *queue) remove(e *entry) {
	if e.place != notQueued {
		heap.Remove(&q.entries, e.place)
	}
}

// byTime implements heap.Interface.
type byTime []*entry

func (b byTime) Len() int           { return len(b) }
func (b byTime) Less(i, j int) bool { return b[i].at.Before(b[j].at) }

func (b byTime) Swap(i, j int) {
	b[i], b[j] = b[j], b[i]
	b[i].place = i
	b[j].place = j
}

// Push implements heap.Interface.
func (b *byTime) Push(x any) {
	e := x.(*entry)
	e.place = len(*b)
	*b = append(*b, e)
}

// Pop implements heap.Interface.
func (b *byTime) Pop() any {
	last := len(*b) - 1
	e := (*b)[last]
	(*b)[last] = nil
	*b = (*b)[:last]
	e.place = notQueued
	return e
}
