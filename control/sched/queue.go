package sched

import (
	"container/heap"
	"container/list"
	"math"
	"time"
)

const (
	// starveAfter is how long a workspace may be held back in one shard because of
	// service that it received in other shards.
	starveAfter = 3 * time.Second
	// forgetAfter is how long a flow with nothing waiting is remembered.
	forgetAfter = 10 * time.Second
)

// Queue is the fair queue of one shard. It orders workspaces by normalised service: the
// service received in the whole fleet divided by the share. The workspace with the least
// goes first; items of one workspace and class are served in order of arrival.
//
// A workspace that had nothing waiting is raised to the least service of those that
// wait, so that it gains no credit while idle. A workspace that has received more keeps
// its higher value.
//
// A class is a set of targets that may run a ticket. The queue only compares class
// names; the caller determines which classes have free targets.
type Queue[T any] struct {
	flows   map[string]*Flow[T]
	classes map[string]*class[T]
	// active holds the flows with waiting items, least recently served first.
	active *list.List
	// idle holds the flows without waiting items, longest idle first.
	idle *list.List
	// virtualService is the received service of the flow that was served last. A
	// workspace starts there if no other has items waiting.
	virtualService float64
	waiting        int
	nextSeq        uint64
	// Pending, if set, returns the part of a workspace's total that is only estimated.
	// It is left out where a workspace that becomes active is raised to the service of
	// others: the raise is permanent, and an estimate may be far too high.
	Pending func(workspace string) float64
}

// Flow holds the waiting items and the received service of one workspace.
type Flow[T any] struct {
	// Workspace is the workspace's name.
	Workspace string

	queue *Queue[T]
	lanes map[string]*lane[T]
	// total is the workspace's normalised service in the fleet, and servedHere the part
	// of it that this shard gave.
	total, servedHere float64
	// lift is the amount that the flow was raised by in this queue and that its total
	// does not include.
	lift    float64
	waiting int
	// servedAt is when this shard, or another shard of the pool, last served the flow,
	// and elsewhereAtService the service received in other shards by then.
	servedAt           time.Duration
	elsewhereAtService float64
	starved            bool
	element            *list.Element
}

// Item is one waiting ticket.
type Item[T any] struct {
	// Value is opaque to the queue.
	Value T

	lane       *lane[T]
	prev, next *Item[T]
	seq        uint64
}

// lane is the FIFO queue of one flow in one class.
type lane[T any] struct {
	flow        *Flow[T]
	class       *class[T]
	first, last *Item[T]
	index       int
	// deferred lanes are served after the other lanes of their flow.
	deferred bool
}

// class is the heap of the lanes with waiting items in one class.
type class[T any] struct {
	name  string
	lanes laneHeap[T]
}

// NewQueue returns an empty queue.
func NewQueue[T any]() *Queue[T] {
	return &Queue[T]{
		flows:   make(map[string]*Flow[T]),
		classes: make(map[string]*class[T]),
		active:  list.New(),
		idle:    list.New(),
	}
}

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { return q.waiting }

// HasClass reports whether items wait in a class.
func (q *Queue[T]) HasClass(name string) bool { return q.classes[name] != nil }

// Flow returns the flow of a workspace, or nil.
func (q *Queue[T]) Flow(workspace string) *Flow[T] { return q.flows[workspace] }

// Waiting returns the number of items that wait for the workspace.
func (f *Flow[T]) Waiting() int { return f.waiting }

// Key returns the value that flows are ordered by: the least is served first.
func (f *Flow[T]) Key() float64 { return f.total + f.lift }

func (f *Flow[T]) receivedElsewhere() float64 { return f.total - f.servedHere }

// Push adds an item for a workspace whose normalised service in the fleet is total, and
// returns its flow and item.
func (q *Queue[T]) Push(now time.Duration, workspace, className string, total float64, value T) (*Flow[T], *Item[T]) {
	return q.PushWithCredit(now, workspace, className, total, 0, value)
}

// PushWithCredit is Push for a workspace that may have credit because it waits
// elsewhere: it is raised only to the others' service minus credit.
func (q *Queue[T]) PushWithCredit(now time.Duration, workspace, className string, total, credit float64, value T) (*Flow[T], *Item[T]) {
	f := q.flows[workspace]
	if f == nil {
		f = &Flow[T]{Workspace: workspace, queue: q, lanes: make(map[string]*lane[T]), total: total}
		q.flows[workspace] = f
	}
	f.total = total
	if f.waiting == 0 {
		q.activate(now, f, className, credit)
	}
	item := &Item[T]{Value: value, seq: q.nextSeq}
	q.nextSeq++
	f.waiting++
	q.waiting++
	f.lane(className).push(item)
	return f, item
}

// activate moves a flow to those that wait, and raises it so that it has no credit for
// the time it was idle.
func (q *Queue[T]) activate(now time.Duration, f *Flow[T], className string, credit float64) {
	if f.element != nil {
		q.idle.Remove(f.element)
	}
	if shortfall := q.startingService(className) - credit - f.received(); shortfall > 0 {
		f.lift += shortfall
	}
	f.markServed(now)
	f.element = q.active.PushBack(f)
}

// startingService returns the received service at which a workspace starts in a class:
// that of the flow to be served next there, or else of the flow served last.
func (q *Queue[T]) startingService(className string) float64 {
	if c := q.classes[className]; c != nil && len(c.lanes) > 0 {
		return c.lanes.minFlow(0).received()
	}
	return q.virtualService
}

// received returns the flow's key without the part that is only estimated.
func (f *Flow[T]) received() float64 {
	if f.queue.Pending == nil {
		return f.Key()
	}
	return f.Key() - f.queue.Pending(f.Workspace)
}

// TakeLift returns the flow's lift and resets it to zero. The caller has to add it to
// the workspace's total and call SetTotal next.
func (f *Flow[T]) TakeLift() float64 {
	lift := f.lift
	f.lift = 0
	return lift
}

// ResetLift recomputes the lift of a waiting flow after its total became known more
// exactly.
func (f *Flow[T]) ResetLift(credit float64) {
	f.lift = 0
	minReceived := f.queue.minReceivedExcept(f)
	if shortfall := minReceived - credit - f.received(); shortfall > 0 && !math.IsInf(minReceived, 1) {
		f.lift = shortfall
	}
	f.restoreOrder()
}

func (f *Flow[T]) markServed(now time.Duration) {
	f.servedAt = now
	f.elsewhereAtService = f.receivedElsewhere()
}

func (f *Flow[T]) lane(className string) *lane[T] {
	l := f.lanes[className]
	if l != nil {
		return l
	}
	c := f.queue.classes[className]
	if c == nil {
		c = &class[T]{name: className}
		f.queue.classes[className] = c
	}
	l = &lane[T]{flow: f, class: c, index: -1}
	f.lanes[className] = l
	return l
}

func (l *lane[T]) push(item *Item[T]) {
	item.lane = l
	item.prev = l.last
	if l.last != nil {
		l.last.next = item
	} else {
		l.first = item
	}
	l.last = item
	if l.index < 0 {
		heap.Push(&l.class.lanes, l)
	}
}

// SetTotal updates the normalised service that the workspace received in the fleet.
// hereDelta is the part of the change that this shard gave.
func (f *Flow[T]) SetTotal(total, hereDelta float64) {
	f.total = total
	f.servedHere += hereDelta
	f.restoreOrder()
}

// restoreOrder restores the heaps after the flow's key changed.
func (f *Flow[T]) restoreOrder() {
	for _, l := range f.lanes {
		if l.index >= 0 {
			heap.Fix(&l.class.lanes, l.index)
		}
	}
}

// Next returns the item to serve next among the classes that usable accepts, or nil. It
// does not remove the item.
func (q *Queue[T]) Next(usable func(class string) bool) *Item[T] {
	var best *lane[T]
	for name, c := range q.classes {
		if len(c.lanes) == 0 || !usable(name) {
			continue
		}
		if best == nil || c.lanes[0].before(best) {
			best = c.lanes[0]
		}
	}
	if best == nil {
		return nil
	}
	return best.first
}

// Serve removes an item that is served now.
func (q *Queue[T]) Serve(now time.Duration, item *Item[T]) {
	f := item.lane.flow
	if !f.starved {
		q.virtualService = f.received()
	}
	q.setStarved(f, false)
	f.markServed(now)
	q.active.MoveToBack(f.element)
	q.Remove(now, item)
}

// Withdraw removes an item that was served by another shard of the same pool. It counts
// as service to the workspace, which is therefore not starved here.
func (q *Queue[T]) Withdraw(now time.Duration, item *Item[T]) {
	if item.lane == nil {
		return
	}
	f := item.lane.flow
	f.markServed(now)
	q.active.MoveToBack(f.element)
	q.Remove(now, item)
}

// Defer moves an item to the end of a separate class, from which its flow is served only
// while none of its other items can be. The workspace keeps its position in the queue.
func (q *Queue[T]) Defer(item *Item[T], className string) {
	old := item.lane
	old.unlink(item)
	q.updateLane(old)
	l := old.flow.lane(className)
	l.deferred = true
	l.push(item)
}

// Remove removes an item that is not served.
func (q *Queue[T]) Remove(now time.Duration, item *Item[T]) {
	l := item.lane
	if l == nil {
		return
	}
	l.unlink(item)
	item.lane = nil
	q.waiting--
	f := l.flow
	f.waiting--
	q.updateLane(l)
	if f.waiting == 0 {
		q.active.Remove(f.element)
		f.starved = false
		f.servedAt = now
		f.element = q.idle.PushBack(f)
	}
}

// updateLane restores the heap order, or drops the lane, after an item left it.
func (q *Queue[T]) updateLane(l *lane[T]) {
	if l.first != nil {
		heap.Fix(&l.class.lanes, l.index)
		return
	}
	heap.Remove(&l.class.lanes, l.index)
	q.dropLane(l)
}

func (l *lane[T]) unlink(item *Item[T]) {
	if item.prev != nil {
		item.prev.next = item.next
	} else {
		l.first = item.next
	}
	if item.next != nil {
		item.next.prev = item.prev
	} else {
		l.last = item.prev
	}
	item.prev, item.next = nil, nil
}

func (q *Queue[T]) dropLane(l *lane[T]) {
	delete(l.flow.lanes, l.class.name)
	if len(l.class.lanes) == 0 {
		delete(q.classes, l.class.name)
	}
}
