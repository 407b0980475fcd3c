package control

import "container/heap"

// timer is a pending wake-up of an object. The zero value is not set.
type timer struct {
	at      Instant
	seq     uint64
	heapPos int // index in the heap plus 1; 0 if not set
	owner   timerOwner
}

// timerOwner is an object with a timer.
type timerOwner interface{ fire(m *Machine) }

// timers is a heap of timers; timers with the same time fire in the order in which they
// were set.
type timers struct {
	heap []*timer
	seq  uint64
}

// set sets or moves a timer.
func (ts *timers) set(t *timer, owner timerOwner, at Instant) {
	ts.seq++
	t.at, t.seq, t.owner = at, ts.seq, owner
	if t.heapPos > 0 {
		heap.Fix(ts, t.heapPos-1)
		return
	}
	heap.Push(ts, t)
}

// stop cancels a timer.
func (ts *timers) stop(t *timer) {
	if t.heapPos > 0 {
		heap.Remove(ts, t.heapPos-1)
	}
}

// first returns the earliest time set; false if no timer is set.
func (ts *timers) first() (Instant, bool) {
	if len(ts.heap) == 0 {
		return 0, false
	}
	return ts.heap[0].at, true
}

// pop removes and returns the first timer that is due, or nil.
func (ts *timers) pop(now Instant) *timer {
	if len(ts.heap) == 0 || ts.heap[0].at > now {
		return nil
	}
	return heap.Pop(ts).(*timer)
}

// Len implements heap.Interface.
func (ts *timers) Len() int { return len(ts.heap) }

// Less implements heap.Interface.
func (ts *timers) Less(i, j int) bool {
	a, b := ts.heap[i], ts.heap[j]
	if a.at != b.at {
		return a.at < b.at
	}
	return a.seq < b.seq
}

// Swap implements heap.Interface.
func (ts *timers) Swap(i, j int) {
	ts.heap[i], ts.heap[j] = ts.heap[j], ts.heap[i]
	ts.heap[i].heapPos = i + 1
	ts.heap[j].heapPos = j + 1
}

// Push implements heap.Interface.
func (ts *timers) Push(x any) {
	t := x.(*timer)
	t.heapPos = len(ts.heap) + 1
	ts.heap = append(ts.heap, t)
}

// Pop implements heap.Interface.
func (ts *timers) Pop() any {
	last := len(ts.heap) - 1
	t := ts.heap[last]
	ts.heap[last] = nil
	ts.heap = ts.heap[:last]
	t.heapPos = 0
	return t
}
