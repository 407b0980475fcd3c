package sched

import (
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func anyClass(string) bool { return true }

// serve takes the next item and charges its workspace.
func serve(q *Queue[int], now time.Duration, charge float64) (string, int) {
	item := q.Next(anyClass)
	if item == nil {
		return "", 0
	}
	f := item.lane.flow
	q.Serve(now, item)
	f.SetTotal(f.total+charge, charge)
	return f.Workspace, item.Value
}

func TestIdleWorkspaceGainsNoCredit(t *testing.T) {
	q := NewQueue[int]()
	q.Push(0, "idle", "", 0, 0)
	serve(q, 0, 1)
	for i := range 100 {
		q.Push(0, "busy", "", q.total("busy"), i)
	}
	for range 50 {
		serve(q, time.Second, 1)
	}
	// The idle workspace is remembered with its old service. It must not be served more
	// often than every second time.
	for i := range 20 {
		q.Push(2*time.Second, "idle", "", q.total("idle"), i)
	}
	served := 0
	for range 20 {
		if w, _ := serve(q, 2*time.Second, 1); w == "idle" {
			served++
		}
	}
	if served < 9 || served > 11 {
		t.Errorf("the workspace that was idle was served %d of 20 times", served)
	}
}

// total returns a workspace's total as last passed to the queue.
func (q *Queue[T]) total(workspace string) float64 {
	if f := q.flows[workspace]; f != nil {
		return f.total
	}
	return 0
}

func TestServiceElsewhereDelaysOnlyUntilStarved(t *testing.T) {
	q := NewQueue[int]()
	for i := range 100 {
		q.Push(0, "small", "", q.total("small"), i)
	}
	large, _ := q.Push(0, "large", "", 0, 0)
	large.SetTotal(1000, 0)
	at := time.Duration(0)
	for ; at < 10*time.Second; at += 100 * time.Millisecond {
		q.Tick(at)
		if w, _ := serve(q, at, 0.1); w == "large" {
			break
		}
	}
	if at < starveAfter || at > starveAfter+200*time.Millisecond {
		t.Errorf("large was served after %v", at)
	}
}

// TestQueueServesLeastKey compares the queue's choice with a linear search.
func TestQueueServesLeastKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue[int]()
		var items []*Item[int]
		now := time.Duration(0)
		for i := range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond
			workspace := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace")
			switch rapid.IntRange(0, 3).Draw(t, "act") {
			case 0, 1:
				class := rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "class")
				_, item := q.Push(now, workspace, class, q.total(workspace), i)
				items = append(items, item)
			case 2:
				if len(items) > 0 {
					q.Remove(now, items[rapid.IntRange(0, len(items)-1).Draw(t, "item")])
				}
			case 3:
				if f := q.Flow(workspace); f != nil {
					f.SetTotal(f.total+rapid.Float64Range(-1, 3).Draw(t, "charge"), 0)
				}
			}
			checkNext(t, q, items, rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "full"))
			if rapid.Bool().Draw(t, "serve") {
				serve(q, now, 0.5)
			}
		}
	})
}

// checkNext fails if the queue's choice, with one class full, is not the first item of
// the workspace with the least key.
func checkNext(t *rapid.T, q *Queue[int], items []*Item[int], full string) {
	least, count := math.Inf(1), 0
	for _, item := range items {
		if item.lane == nil {
			continue
		}
		count++
		if item.lane.class.name != full {
			least = min(least, item.lane.flow.Key())
		}
	}
	if q.Len() != count {
		t.Fatalf("the queue has %d items, want %d", q.Len(), count)
	}
	next := q.Next(func(class string) bool { return class != full })
	if next == nil {
		if !math.IsInf(least, 1) {
			t.Fatalf("Next returned nothing though items wait")
		}
		return
	}
	if next.lane.flow.Key() != least || next.lane.first != next {
		t.Fatalf("Next chose key %v, the least is %v", next.lane.flow.Key(), least)
	}
}

// TestActivationIgnoresPendingEstimates guards against a permanent lift from a temporary
// estimate: a workspace becomes active beside one whose runs are charged far too much,
// and must start at the service that the other has really received.
func TestActivationIgnoresPendingEstimates(t *testing.T) {
	q := NewQueue[int]()
	pending := 0.0
	q.Pending = func(workspace string) float64 {
		if workspace == "busy" {
			return pending
		}
		return 0
	}
	for i := range 10 {
		q.Push(0, "busy", "", q.total("busy"), i)
	}
	serve(q, 0, 7)
	pending = 6 // 7 are charged, of which 1 is received
	activated, _ := q.Push(time.Second, "activated", "", 0, 0)
	if key := activated.Key(); key != 1 {
		t.Errorf("the workspace starts at %v, want the other's received service, 1", key)
	}
}

// TestDeferredItemsAreServedLastOfTheirWorkspace guards against a deferred item that
// costs its workspace its position: the workspace's other items go before the deferred
// one, which still goes before a workspace that has received more.
func TestDeferredItemsAreServedLastOfTheirWorkspace(t *testing.T) {
	q := NewQueue[int]()
	_, old := q.Push(0, "light", "", 0, 1)
	q.Push(0, "heavy", "", 0, 10)
	q.Flow("heavy").SetTotal(5, 0)
	q.Defer(old, "deferred")
	q.Push(time.Second, "light", "", 0, 2)
	var order []int
	for range 3 {
		_, value := serve(q, time.Second, 1)
		order = append(order, value)
	}
	if !slices.Equal(order, []int{2, 1, 10}) || q.Len() != 0 {
		t.Errorf("served %v, %d left", order, q.Len())
	}
}
