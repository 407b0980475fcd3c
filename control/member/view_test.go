package member

import (
	"fmt"
	"testing"
	"time"
)

// newFleetView returns the view of node self after a message from each of count nodes.
func newFleetView(self string, count int) *View {
	v := NewView(self, "dc0", 2*time.Second)
	var listed []Listed
	for i := range count {
		listed = append(listed, Listed{Name: fmt.Sprintf("n%d", i), DataCentre: fmt.Sprintf("dc%d", i%3)})
	}
	v.ApplyList(time.Second, listed)
	for _, l := range listed {
		if l.Name != self {
			v.MessageReceived(time.Second, l.Name, 1)
		}
	}
	return v
}

func TestOnlyKeysOfALostNodeMove(t *testing.T) {
	v := newFleetView("n0", 30)
	before := make(map[uint64]string)
	perNode := make(map[string]int)
	for key := range uint64(3000) {
		before[key] = v.Owner(HashOf(fmt.Sprint(key)), "")
		perNode[before[key]]++
	}
	for node, count := range perNode {
		if count < 50 || count > 150 {
			t.Errorf("%s owns %d of 3000 keys among 30 nodes", node, count)
		}
	}
	v.Connected(time.Second, "n7", false)
	v.Tick(time.Second + disconnectGrace)
	for key, owner := range before {
		now := v.Owner(HashOf(fmt.Sprint(key)), "")
		if now == "n7" || owner != "n7" && now != owner {
			t.Fatalf("key %d moved from %s to %s", key, owner, now)
		}
	}
}

func TestOwnerIsInTheDataCentre(t *testing.T) {
	v := newFleetView("n0", 9)
	for key := range uint64(50) {
		owner := v.Owner(HashOf(fmt.Sprint(key)), "dc2")
		if owner != "n2" && owner != "n5" && owner != "n8" {
			t.Errorf("%s owns a key of dc2", owner)
		}
	}
	if owner := v.Owner(1, "dc-without-nodes"); owner == "" {
		t.Error("a key of a data centre without nodes has no owner")
	}
}

func TestWatchersAreFewAndAgree(t *testing.T) {
	const count = 40
	views := make(map[string]*View)
	for i := range count {
		name := fmt.Sprintf("n%d", i)
		views[name] = newFleetView(name, count)
	}
	for name, v := range views {
		watchers := v.Watchers(time.Second, 0)
		if len(watchers) != MaxWatchers {
			t.Errorf("%s has %d watchers", name, len(watchers))
		}
		for _, w := range watchers {
			if !views[w].Watches(name) {
				t.Errorf("%s sends heartbeats to %s, which does not watch it", name, w)
			}
		}
	}
}

func TestUnresponsiveNodeIsSuspectedUntilItSendsMessage(t *testing.T) {
	v := newFleetView("n0", 5)
	for at := time.Second; at < 4*time.Second; at += 500 * time.Millisecond {
		for _, n := range []string{"n1", "n2", "n3"} {
			v.MessageReceived(at, n, 1)
		}
		for _, missed := range v.Tick(at) {
			if missed.Name != "n4" {
				t.Errorf("%s was missed", missed.Name)
			}
		}
	}
	if v.Alive("n4") || !v.Alive("n3") {
		t.Errorf("alive: n4 %v, n3 %v", v.Alive("n4"), v.Alive("n3"))
	}
	if change := v.MessageReceived(5*time.Second, "n4", 1); change != SenderBack || !v.Alive("n4") {
		t.Errorf("after a message: %v, alive %v", change, v.Alive("n4"))
	}
}

func TestOneWatcherAloneIsNotEnoughToSuspect(t *testing.T) {
	v := newFleetView("n0", 40)
	var unwatched string // a node that n0 does not watch
	for _, n := range v.Nodes() {
		if !n.watched {
			unwatched = n.Name
		}
	}
	at := 10 * time.Second
	v.Suspected(at, unwatched, "n1", 1)
	v.Suspected(at, unwatched, "n1", 1)
	if !v.Alive(unwatched) {
		t.Error("one watcher sufficed to suspect a node")
	}
	v.Suspected(at, unwatched, "n2", 1)
	if v.Alive(unwatched) {
		t.Error("two watchers did not suffice to suspect a node")
	}
}

func TestOldIncarnationsAreStale(t *testing.T) {
	v := newFleetView("n0", 3)
	if change := v.MessageReceived(2*time.Second, "n1", 2); change != SenderRestarted {
		t.Errorf("%v for a new incarnation", change)
	}
	if change := v.MessageReceived(2*time.Second, "n1", 1); change != SenderStale {
		t.Errorf("%v for the old incarnation", change)
	}
}

func TestOnlyNodeOwnsAllKeys(t *testing.T) {
	v := newFleetView("n0", 4)
	for _, n := range []string{"n1", "n2", "n3"} {
		v.Connected(2*time.Second, n, false)
	}
	v.Tick(3 * time.Second)
	if owner := v.Owner(5, "dc1"); owner != "n0" {
		t.Errorf("%s owns a key, want the only node alive", owner)
	}
	v.SetLeaving(3 * time.Second)
	if owner := v.Owner(5, "dc1"); owner != "n0" {
		t.Errorf("%s owns a key while the last node leaves", owner)
	}
	v.Connected(4*time.Second, "n2", true)
	if owner := v.Owner(5, "dc1"); owner != "n2" {
		t.Errorf("%s owns a key though this node leaves and another is alive", owner)
	}
}
