package sched

import (
	"container/heap"
	"container/list"
	"math"
	"time"
)

const (
	// starveAfter is how long a workspace may be held back in one shard by
	// service that it received in other shards.
	starveAfter = 3 * time.Second
	// forgetAfter is how long a flow with nothing waiting is remembered.
	forgetAfter = 10 * time.Second
)

// Queue is the fair queue of one shard. It orders workspaces by normalised
// service: the service received in the whole fleet divided by the share. The
// least goes first; within a workspace and class, first in is first out.
//
// A workspace that had nothing waiting starts at the least of those that wait,
// so that idleness banks no credit; it keeps a lead that it built up here.
//
// A class is a set of targets that may run a ticket. The queue only compares
// class names; the caller says which classes have room.
type Queue[T any] struct {
	flows   map[string]*Flow[T]
	classes map[string]*class[T]
	// order holds the flows with something waiting, least recently served first.
	order *list.List
	// idle holds the flows with nothing waiting, longest idle first.
	idle *list.List
	// virtual is the received service at which a flow was last served; it is
	// where a workspace starts when nothing waits.
	virtual float64
	waiting int
	nextSeq uint64
	// Pending, if set, returns the part of a workspace's total that is only
	// expected yet. A workspace that wakes is lifted to what others received
	// without it: a lift stays, and an estimate may be far too high.
	Pending func(workspace string) float64
}

// Flow is one workspace's presence in the queue.
type Flow[T any] struct {
	// Workspace is the workspace's name.
	Workspace string

	queue *Queue[T]
	lanes map[string]*lane[T]
	// total is the workspace's normalised service in the fleet and here the
	// part of it that this shard gave.
	total, here float64
	// offset is what the flow was lifted by here and its total does not hold.
	offset  float64
	waiting int
	// servedAt and servedElsewhere are the time and the service received in
	// other shards when this shard, or another of the pool, last served the flow.
	servedAt        time.Duration
	servedElsewhere float64
	starved         bool
	element         *list.Element
}

// Item is one waiting ticket.
type Item[T any] struct {
	// Value is the caller's.
	Value T

	lane       *lane[T]
	prev, next *Item[T]
	seq        uint64
}

// lane is the FIFO of one flow in one class.
type lane[T any] struct {
	flow        *Flow[T]
	class       *class[T]
	first, last *Item[T]
	index       int
	// deferred says that the flow's other lanes go first.
	deferred bool
}

// class is the heap of the lanes with something waiting in one class.
type class[T any] struct {
	name  string
	lanes laneHeap[T]
}

// NewQueue returns an empty queue.
func NewQueue[T any]() *Queue[T] {
	return &Queue[T]{
		flows:   make(map[string]*Flow[T]),
		classes: make(map[string]*class[T]),
		order:   list.New(),
		idle:    list.New(),
	}
}

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { return q.waiting }

// HasClass says whether something waits in a class.
func (q *Queue[T]) HasClass(name string) bool { return q.classes[name] != nil }

// Flow returns the flow of a workspace, or nil.
func (q *Queue[T]) Flow(workspace string) *Flow[T] { return q.flows[workspace] }

// Waiting returns the number of items that wait for the workspace.
func (f *Flow[T]) Waiting() int { return f.waiting }

// Key returns the flow's place in the order: the least goes first.
func (f *Flow[T]) Key() float64 { return f.total + f.offset }

func (f *Flow[T]) elsewhere() float64 { return f.total - f.here }

// Push adds an item for a workspace whose normalised service in the fleet is
// total, and returns its flow and item.
func (q *Queue[T]) Push(now time.Duration, workspace, className string, total float64, value T) (*Flow[T], *Item[T]) {
	return q.PushWithCredit(now, workspace, className, total, 0, value)
}

// PushWithCredit is Push for a workspace that may have credit, since it waits
// elsewhere: it is lifted only to what lies its credit below the others.
func (q *Queue[T]) PushWithCredit(now time.Duration, workspace, className string, total, credit float64, value T) (*Flow[T], *Item[T]) {
	f := q.flows[workspace]
	if f == nil {
		f = &Flow[T]{Workspace: workspace, queue: q, lanes: make(map[string]*lane[T]), total: total}
		q.flows[workspace] = f
	}
	f.total = total
	if f.waiting == 0 {
		q.wake(now, f, className, credit)
	}
	item := &Item[T]{Value: value, seq: q.nextSeq}
	q.nextSeq++
	f.waiting++
	q.waiting++
	f.lane(className).push(item)
	return f, item
}

// wake puts a flow among those that wait, without credit for its idleness.
func (q *Queue[T]) wake(now time.Duration, f *Flow[T], className string, credit float64) {
	if f.element != nil {
		q.idle.Remove(f.element)
	}
	if short := q.start(className) - credit - f.received(); short > 0 {
		f.offset += short
	}
	f.markServed(now)
	f.element = q.order.PushBack(f)
}

// start returns the received service at which a workspace starts in a class: that
// of the flow to be served next there, or of the flow served last.
func (q *Queue[T]) start(className string) float64 {
	if c := q.classes[className]; c != nil && len(c.lanes) > 0 {
		return c.lanes.least(0).received()
	}
	return q.virtual
}

// received returns the flow's key without what is only expected yet.
func (f *Flow[T]) received() float64 {
	if f.queue.Pending == nil {
		return f.Key()
	}
	return f.Key() - f.queue.Pending(f.Workspace)
}

// TakeLift returns what the flow was lifted by and takes it off: the caller adds
// it to the total. It may be called only with the flow's new total set next.
func (f *Flow[T]) TakeLift() float64 {
	lift := f.offset
	f.offset = 0
	return lift
}

// Relift works a waiting flow's lift out anew: its total is known better now.
func (f *Flow[T]) Relift(credit float64) {
	f.offset = 0
	least := f.queue.leastBut(f)
	if short := least - credit - f.received(); short > 0 && !math.IsInf(least, 1) {
		f.offset = short
	}
	f.fix()
}

func (f *Flow[T]) markServed(now time.Duration) {
	f.servedAt = now
	f.servedElsewhere = f.elsewhere()
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

// SetTotal updates the normalised service that the workspace received in the
// fleet. hereDelta is the part of the change that this shard gave.
func (f *Flow[T]) SetTotal(total, hereDelta float64) {
	f.total = total
	f.here += hereDelta
	f.fix()
}

// fix restores the order after the flow's key changed.
func (f *Flow[T]) fix() {
	for _, l := range f.lanes {
		if l.index >= 0 {
			heap.Fix(&l.class.lanes, l.index)
		}
	}
}

// Next returns the item to serve next among the classes that usable accepts,
// or nil. It does not remove the item.
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
		q.virtual = f.received()
	}
	q.setStarved(f, false)
	f.markServed(now)
	q.order.MoveToBack(f.element)
	q.Remove(now, item)
}

// Withdraw removes an item that was served by another shard of the same pool.
// Its workspace does not starve there.
func (q *Queue[T]) Withdraw(now time.Duration, item *Item[T]) {
	if item.lane == nil {
		return
	}
	f := item.lane.flow
	f.markServed(now)
	q.order.MoveToBack(f.element)
	q.Remove(now, item)
}

// Defer moves an item to the end of a class of its own, which its flow is served from only
// while nothing else of it can be. Its workspace keeps its place.
func (q *Queue[T]) Defer(item *Item[T], className string) {
	old := item.lane
	old.unlink(item)
	q.settle(old)
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
	q.settle(l)
	if f.waiting == 0 {
		q.order.Remove(f.element)
		f.starved = false
		f.servedAt = now
		f.element = q.idle.PushBack(f)
	}
}

// settle restores the order after an item left a lane.
func (q *Queue[T]) settle(l *lane[T]) {
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
