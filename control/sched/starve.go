package sched

import (
	"math"
	"time"
)

// Tick finds the flows that have been held back for too long because of service in other
// shards, and moves each to the front for one item. It also removes flows that have been
// idle for too long and returns their workspaces. Its cost is proportional to the number
// of flows that are due.
func (q *Queue[T]) Tick(now time.Duration) []string {
	q.findStarved(now)
	return q.forgetIdle(now)
}

// NextTick returns when Tick is next due; false if it has nothing to do.
func (q *Queue[T]) NextTick() (time.Duration, bool) {
	var at time.Duration
	found := false
	if e := q.active.Front(); e != nil {
		at, found = e.Value.(*Flow[T]).servedAt+starveAfter, true
	}
	if e := q.idle.Front(); e != nil {
		if forget := e.Value.(*Flow[T]).servedAt + forgetAfter; !found || forget < at {
			at, found = forget, true
		}
	}
	return at, found
}

func (q *Queue[T]) findStarved(now time.Duration) {
	for e := q.active.Front(); e != nil; e = q.active.Front() {
		f := e.Value.(*Flow[T])
		if now-f.servedAt < starveAfter {
			return
		}
		heldBack := f.receivedElsewhere() - f.elsewhereAtService
		if heldBack > 0 && f.Key()-heldBack <= q.minKey() {
			q.setStarved(f, true)
		}
		f.servedAt = now // check it again after another period
		q.active.MoveToBack(e)
	}
}

// minKey returns the least key of the waiting flows. At least one must be waiting.
func (q *Queue[T]) minKey() float64 {
	best := math.Inf(1)
	for _, c := range q.classes {
		if len(c.lanes) > 0 {
			best = min(best, c.lanes.minFlow(0).Key())
		}
	}
	return best
}

// minReceivedExcept returns the least received service of the other waiting flows, or
// infinity.
func (q *Queue[T]) minReceivedExcept(f *Flow[T]) float64 {
	best := math.Inf(1)
	for e := q.active.Front(); e != nil; e = e.Next() {
		if other := e.Value.(*Flow[T]); other != f {
			best = min(best, other.received())
		}
	}
	return best
}

func (q *Queue[T]) setStarved(f *Flow[T], starved bool) {
	if f.starved == starved {
		return
	}
	f.starved = starved
	f.restoreOrder()
}

func (q *Queue[T]) forgetIdle(now time.Duration) []string {
	var forgotten []string
	for e := q.idle.Front(); e != nil; e = q.idle.Front() {
		f := e.Value.(*Flow[T])
		if now-f.servedAt < forgetAfter {
			break
		}
		q.idle.Remove(e)
		delete(q.flows, f.Workspace)
		forgotten = append(forgotten, f.Workspace)
	}
	return forgotten
}

// before reports whether l is served before other.
func (l *lane[T]) before(other *lane[T]) bool {
	if l.flow.starved != other.flow.starved {
		return l.flow.starved
	}
	if a, b := l.flow.Key(), other.flow.Key(); a != b {
		return a < b
	}
	if l.deferred != other.deferred {
		return !l.deferred
	}
	return l.first.seq < other.first.seq
}

// laneHeap orders lanes; it implements heap.Interface.
type laneHeap[T any] []*lane[T]

func (h laneHeap[T]) Len() int           { return len(h) }
func (h laneHeap[T]) Less(i, j int) bool { return h[i].before(h[j]) }

func (h laneHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// minFlow returns the flow with the least key in the subtree at i, or nil. Starved flows
// precede others regardless of their key, so it also searches below them.
func (h laneHeap[T]) minFlow(i int) *Flow[T] {
	if i >= len(h) {
		return nil
	}
	best := h[i].flow
	if !best.starved {
		return best
	}
	for child := 2*i + 1; child <= 2*i+2; child++ {
		if f := h.minFlow(child); f != nil && f.Key() < best.Key() {
			best = f
		}
	}
	return best
}

// Push implements heap.Interface.
func (h *laneHeap[T]) Push(x any) {
	l := x.(*lane[T])
	l.index = len(*h)
	*h = append(*h, l)
}

// Pop implements heap.Interface.
func (h *laneHeap[T]) Pop() any {
	old := *h
	l := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	l.index = -1
	return l
}
