package member

import (
	"slices"
	"time"
)

// watchSalt makes the choice of watchers independent of the choice of owners.
const watchSalt = 0x9e3779b97f4a7c15

// assignWatchers computes which nodes receive this node's heartbeats and which it
// watches.
func (v *View) assignWatchers(now time.Duration) {
	candidates := v.watchCandidates()
	v.watchers = topWatchers(candidates, v.own)
	v.watching = v.watching[:0]
	for _, n := range candidates {
		watches := v.isWatcherOf(candidates, n)
		if watches && !n.watched {
			n.watchedFrom = now
		}
		n.watched = watches
		if watches {
			v.watching = append(v.watching, n)
		}
	}
}

// watchCandidates returns the other nodes that are alive, including leaving ones.
func (v *View) watchCandidates() []*Node {
	var nodes []*Node
	for _, n := range v.nodes {
		if n.alive || ((n.Leaving || n.listedLeaving) && v.Reachable(n.Name)) {
			nodes = append(nodes, n)
		}
	}
	slices.SortFunc(nodes, byName)
	return nodes
}

func watchScore(watcher, watched *Node) uint64 {
	return Score(watcher.hash, watched.hash^watchSalt)
}

// topWatchers returns the watchers of a node among the candidates.
func topWatchers(candidates []*Node, watched *Node) []*Node {
	watchers := slices.Clone(candidates)
	if len(watchers) <= MaxWatchers {
		return watchers
	}
	slices.SortFunc(watchers, func(a, b *Node) int {
		if watchScore(a, watched) > watchScore(b, watched) {
			return -1
		}
		return 1
	})
	return watchers[:MaxWatchers]
}

// isWatcherOf reports whether this node is one of the watchers of n: fewer than
// MaxWatchers others score higher.
func (v *View) isWatcherOf(candidates []*Node, n *Node) bool {
	if len(candidates) <= MaxWatchers {
		return true
	}
	own := watchScore(v.own, n)
	higher := 0
	for _, other := range candidates {
		if other != n && watchScore(other, n) > own {
			higher++
			if higher == MaxWatchers {
				return false
			}
		}
	}
	return true
}

// Watches reports whether this node watches another.
func (v *View) Watches(name string) bool {
	n := v.nodes[name]
	return n != nil && n.watched
}

// Watchers returns the nodes to send heartbeats to now: the watchers, nodes that
// recently missed one, and up to probes nodes that count as dead, so that the two sides
// of a healed partition find each other.
func (v *View) Watchers(now time.Duration, probes int) []string {
	var names []string
	for _, n := range v.watchers {
		names = append(names, n.Name)
	}
	var dead []string
	for _, n := range v.recheck {
		if !n.alive {
			dead = append(dead, n.Name)
		}
	}
	slices.Sort(dead)
	for i := 0; i < min(probes, len(dead)); i++ {
		v.probeIndex++
		names = append(names, dead[v.probeIndex%len(dead)])
	}
	for _, n := range v.nodes {
		if n.extraHeartbeatsUntil > now {
			names = append(names, n.Name)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// Neighbours returns the nodes that watch this one and those that it watches, in order of
// name. The number of nodes that a node watches varies and may be zero, so flooding along
// one direction may leave nodes out.
func (v *View) Neighbours() []string {
	var names []string
	for _, n := range slices.Concat(v.watchers, v.watching) {
		names = append(names, n.Name)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// Tick updates the states that depend on time. It returns the watched nodes whose
// heartbeats this node has missed since the last call; the caller notifies the other
// nodes.
func (v *View) Tick(now time.Duration) []*Node {
	for _, name := range v.recheckNames() {
		v.update(now, v.recheck[name])
	}
	var missed []*Node
	for _, n := range slices.Clone(v.watching) {
		if !n.watched || n.noticeSent || now-max(n.lastMessageAt, n.watchedFrom) < v.timeout {
			continue
		}
		n.noticeSent = true
		missed = append(missed, n)
		v.Suspected(now, n.Name, v.self, n.Incarnation)
	}
	return missed
}

func (v *View) recheckNames() []string {
	if len(v.recheck) == 0 {
		return nil
	}
	names := make([]string, 0, len(v.recheck))
	for name := range v.recheck {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
