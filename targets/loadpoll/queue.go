package loadpoll

import (
	"container/heap"
	"context"
	"time"
)

// notQueued is the index of an entry that is not in the queue.
const notQueued = -1

// entry is one polled target.
type entry struct {
	name    string
	address string
	// ctx ends when the target is no longer polled.
	ctx    context.Context
	cancel context.CancelFunc
	// pace is only used by the outstanding poll.
	pace pace
	// nextPoll is when the next poll is due.
	nextPoll time.Time
	// index is the entry's index in the queue, or notQueued.
	index int
}

// queue holds the targets without an outstanding poll, the earliest next poll first.
type queue struct{ entries byTime }

func (q *queue) add(e *entry) { heap.Push(&q.entries, e) }

func (q *queue) first() *entry {
	if len(q.entries) == 0 {
		return nil
	}
	return q.entries[0]
}

func (q *queue) remove(e *entry) {
	if e.index != notQueued {
		heap.Remove(&q.entries, e.index)
	}
}

// byTime implements heap.Interface.
type byTime []*entry

func (b byTime) Len() int           { return len(b) }
func (b byTime) Less(i, j int) bool { return b[i].nextPoll.Before(b[j].nextPoll) }

func (b byTime) Swap(i, j int) {
	b[i], b[j] = b[j], b[i]
	b[i].index = i
	b[j].index = j
}

// Push implements heap.Interface.
func (b *byTime) Push(x any) {
	e := x.(*entry)
	e.index = len(*b)
	*b = append(*b, e)
}

// Pop implements heap.Interface.
func (b *byTime) Pop() any {
	last := len(*b) - 1
	e := (*b)[last]
	(*b)[last] = nil
	*b = (*b)[:last]
	e.index = notQueued
	return e
}
