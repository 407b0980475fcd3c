package member

import (
	"slices"
	"time"
)

// ApplyList updates the view from the platform's list. It returns the nodes that were
// not known before, in order of name, so that the caller can send them a first message.
func (v *View) ApplyList(now time.Duration, listed []Listed) []string {
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
		if now-n.lastMessageAt > forgetAfter {
			v.forget(n)
			changed = true
			continue
		}
		v.update(now, n)
	}
	if changed {
		v.rebuild(now)
	}
	return v.newNodes()
}

func (v *View) forget(n *Node) {
	delete(v.nodes, n.Name)
	delete(v.recheck, n.Name)
}

// newNodes returns the nodes that were not returned by an earlier call.
func (v *View) newNodes() []string {
	var names []string
	for _, n := range v.nodes {
		if !n.reportedNew {
			n.reportedNew = true
			names = append(names, n.Name)
		}
	}
	slices.Sort(names)
	return names
}

// SenderChange is what a message shows about its sender.
type SenderChange int

// The changes of a sender.
const (
	// SenderUnchanged: nothing new.
	SenderUnchanged SenderChange = iota
	// SenderBack: this is the first message, or the node got no work until now.
	SenderBack
	// SenderRestarted: the node has another incarnation than before.
	SenderRestarted
	// SenderStale: the message is from an incarnation that has ended; ignore it.
	SenderStale
)

// MessageReceived records that a message from a node arrived.
func (v *View) MessageReceived(now time.Duration, name string, incarnation uint64) SenderChange {
	n := v.node(name)
	if slices.Contains(n.endedIncarnations, incarnation) {
		return SenderStale
	}
	change := SenderUnchanged
	if n.lastMessageAt == 0 || n.suspected || now < n.unresponsiveUntil {
		change = SenderBack
	}
	if n.Incarnation != 0 && n.Incarnation != incarnation {
		change = SenderRestarted
		n.addEnded(n.Incarnation)
		n.Leaving = false
	}
	n.Incarnation = incarnation
	n.lastMessageAt = max(now, 1)
	n.noticeSent = false
	n.suspected = false
	n.suspectedBy = nil
	n.unresponsiveUntil = 0
	v.update(now, n)
	return change
}

// addEnded remembers an incarnation that ended.
func (n *Node) addEnded(incarnation uint64) {
	n.endedIncarnations = append(n.endedIncarnations, incarnation)
	if len(n.endedIncarnations) > maxEndedIncarnations {
		n.endedIncarnations = n.endedIncarnations[1:]
	}
}

// HeartbeatReceived records the content of a heartbeat.
func (v *View) HeartbeatReceived(now time.Duration, name string, leaving bool) {
	n := v.node(name)
	n.Leaving = leaving
	v.update(now, n)
}

// Connected records whether a connection to the node works.
func (v *View) Connected(now time.Duration, name string, connected bool) {
	n := v.node(name)
	if !connected && !n.disconnected {
		n.disconnectedAt = now
	}
	n.disconnected = !connected
	if connected {
		n.unresponsiveUntil = 0
	}
	v.update(now, n)
}

// Unresponsive records that a node has left messages unanswered since the given time.
func (v *View) Unresponsive(now, since time.Duration, name string) {
	n := v.nodes[name]
	if n == nil || n.lastMessageAt > since {
		return
	}
	n.unresponsiveUntil = now + unresponsiveTime
	v.update(now, n)
}

// Suspected records that a watcher, possibly this node, misses a node. Two watchers, or
// this node alone, suffice to suspect it, unless a message from it arrived within
// timeout or it has restarted since.
func (v *View) Suspected(now time.Duration, name, by string, incarnation uint64) {
	n := v.nodes[name]
	if n == nil || (n.Incarnation != 0 && incarnation != 0 && n.Incarnation != incarnation) {
		return
	}
	if by != v.self && n.lastMessageAt > 0 && now-n.lastMessageAt < v.timeout {
		return
	}
	if !slices.Contains(n.suspectedBy, by) {
		n.suspectedBy = append(n.suspectedBy, by)
	}
	if by == v.self || len(n.suspectedBy) >= minNoticesToSuspect {
		n.suspected = true
		v.update(now, n)
	}
}

// MissedBy records that a node reported that it misses this one. This node sends it
// heartbeats for extraHeartbeatTime.
func (v *View) MissedBy(now time.Duration, by string) {
	v.node(by).extraHeartbeatsUntil = now + extraHeartbeatTime
}

// Resumed records that this node itself was paused until now. What it knows of the others
// is out of date, so they get time to send messages again.
func (v *View) Resumed(now time.Duration) {
	for _, n := range v.nodes {
		if n.lastMessageAt > 0 {
			n.lastMessageAt = now
		}
		n.watchedFrom = now
		n.noticeSent = false
	}
}
