package member

import (
	"slices"
	"time"
)

// List takes in the platform's list. It returns the nodes that were not known
// before, in order of name, so that the caller can greet them.
func (v *View) List(now time.Duration, listed []Listed) []string {
	named := make(map[string]bool, len(listed))
	changed := false
	for _, l := range listed {
		if l.Name == v.self {
			continue
		}
		named[l.Name] = true
		n := v.node(l.Name)
		changed = changed || n.DataCentre != l.DataCentre || n.Cores != l.Cores
		n.Cores = l.Cores
		n.listed = true
		n.listedLeaving = l.Leaving
		n.DataCentre = l.DataCentre
		v.update(now, n)
	}
	for name, n := range v.nodes {
		if named[name] {
			continue
		}
		n.listed = false
		if now-n.heardAt > forgetAfter {
			v.forget(n)
			changed = true
			continue
		}
		v.update(now, n)
	}
	if changed {
		v.rebuild(now)
	}
	return v.newcomers()
}

func (v *View) forget(n *Node) {
	delete(v.nodes, n.Name)
	delete(v.uneasy, n.Name)
}

// newcomers returns the nodes that were not returned before.
func (v *View) newcomers() []string {
	var names []string
	for _, n := range v.nodes {
		if !n.greeted {
			n.greeted = true
			names = append(names, n.Name)
		}
	}
	slices.Sort(names)
	return names
}

// Sign is what a message says about its sender.
type Sign int

// The signs.
const (
	// SignNone: nothing new.
	SignNone Sign = iota
	// SignBack: the node was not heard before, or was passed over until now.
	SignBack
	// SignRestarted: the node runs another incarnation than before.
	SignRestarted
	// SignStale: the message is of an incarnation that ended; ignore it.
	SignStale
)

// Heard takes in that a message came from a node.
func (v *View) Heard(now time.Duration, name string, incarnation uint64) Sign {
	n := v.node(name)
	if slices.Contains(n.ended, incarnation) {
		return SignStale
	}
	sign := SignNone
	if n.heardAt == 0 || n.suspected || now < n.silentUntil {
		sign = SignBack
	}
	if n.Incarnation != 0 && n.Incarnation != incarnation {
		sign = SignRestarted
		n.end(n.Incarnation)
		n.Leaving = false
	}
	n.Incarnation = incarnation
	n.heardAt = max(now, 1)
	n.noticeSent = false
	n.suspected = false
	n.suspectedBy = nil
	n.silentUntil = 0
	v.update(now, n)
	return sign
}

// end remembers an incarnation that ended.
func (n *Node) end(incarnation uint64) {
	n.ended = append(n.ended, incarnation)
	if len(n.ended) > endedKept {
		n.ended = n.ended[1:]
	}
}

// Beat takes in what a heartbeat says.
func (v *View) Beat(now time.Duration, name string, leaving bool) {
	n := v.node(name)
	n.Leaving = leaving
	v.update(now, n)
}

// Connected takes in whether a connection to the node works.
func (v *View) Connected(now time.Duration, name string, connected bool) {
	n := v.node(name)
	if !connected && !n.disconnected {
		n.disconnectedAt = now
	}
	n.disconnected = !connected
	if connected {
		n.silentUntil = 0
	}
	v.update(now, n)
}

// Unresponsive takes in that a node left messages unanswered since a time.
func (v *View) Unresponsive(now, since time.Duration, name string) {
	n := v.nodes[name]
	if n == nil || n.heardAt > since {
		return
	}
	n.silentUntil = now + unresponsiveTime
	v.update(now, n)
}

// Suspected takes in that a watcher, perhaps this node, misses a node. Two
// watchers, or this node alone, are enough, unless the node was heard of late
// or has restarted since.
func (v *View) Suspected(now time.Duration, name, by string, incarnation uint64) {
	n := v.nodes[name]
	if n == nil || (n.Incarnation != 0 && incarnation != 0 && n.Incarnation != incarnation) {
		return
	}
	if by != v.self && n.heardAt > 0 && now-n.heardAt < v.timeout {
		return
	}
	if !slices.Contains(n.suspectedBy, by) {
		n.suspectedBy = append(n.suspectedBy, by)
	}
	if by == v.self || len(n.suspectedBy) >= noticesToSuspect {
		n.suspected = true
		v.update(now, n)
	}
}

// Missed takes in that a node claims to miss this one: it is sent heartbeats
// for a while.
func (v *View) Missed(now time.Duration, by string) {
	v.node(by).extraUntil = now + extraWatchTime
}

// Thawed says that this node itself stood still until now: what it knows of
// the others is old, so they get time to be heard again.
func (v *View) Thawed(now time.Duration) {
	for _, n := range v.nodes {
		if n.heardAt > 0 {
			n.heardAt = now
		}
		n.watchedFrom = now
		n.noticeSent = false
	}
}
