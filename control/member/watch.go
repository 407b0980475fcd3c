package member

import (
	"slices"
	"time"
)

// watchSalt sets the choice of watchers apart from the choice of owners.
const watchSalt = 0x9e3779b97f4a7c15

// assignWatchers computes who hears this node's heartbeats and whom it watches.
func (v *View) assignWatchers(now time.Duration) {
	candidates := v.watchable()
	v.watchers = top(candidates, v.own)
	v.watching = v.watching[:0]
	for _, n := range candidates {
		watches := v.amongTop(candidates, n)
		if watches && !n.watched {
			n.watchedFrom = now
		}
		n.watched = watches
		if watches {
			v.watching = append(v.watching, n)
		}
	}
}

// watchable returns the other nodes that live, leaving ones too.
func (v *View) watchable() []*Node {
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

// top returns the watchers of a node among candidates.
func top(candidates []*Node, watched *Node) []*Node {
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

// amongTop says whether this node is one of the watchers of n: fewer than
// MaxWatchers others score higher.
func (v *View) amongTop(candidates []*Node, n *Node) bool {
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

// Watches says whether this node watches another.
func (v *View) Watches(name string) bool {
	n := v.nodes[name]
	return n != nil && n.watched
}

// Watchers returns the nodes to send heartbeats to now: the watchers, nodes
// that lately missed one, and up to probes nodes that are thought dead, so
// that two sides of a healed partition find each other.
func (v *View) Watchers(now time.Duration, probes int) []string {
	var names []string
	for _, n := range v.watchers {
		names = append(names, n.Name)
	}
	var dead []string
	for _, n := range v.uneasy {
		if !n.alive {
			dead = append(dead, n.Name)
		}
	}
	slices.Sort(dead)
	for i := 0; i < min(probes, len(dead)); i++ {
		v.probe++
		names = append(names, dead[v.probe%len(dead)])
	}
	for _, n := range v.nodes {
		if n.extraUntil > now {
			names = append(names, n.Name)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// Tick lets time pass. It returns the watched nodes whose heartbeats this node
// has missed since the last call; the caller tells the others.
func (v *View) Tick(now time.Duration) []*Node {
	for _, name := range v.uneasyNames() {
		v.update(now, v.uneasy[name])
	}
	var missed []*Node
	for _, n := range slices.Clone(v.watching) {
		if !n.watched || n.noticeSent || now-max(n.heardAt, n.watchedFrom) < v.timeout {
			continue
		}
		n.noticeSent = true
		missed = append(missed, n)
		v.Suspected(now, n.Name, v.self, n.Incarnation)
	}
	return missed
}

func (v *View) uneasyNames() []string {
	if len(v.uneasy) == 0 {
		return nil
	}
	names := make([]string, 0, len(v.uneasy))
	for name := range v.uneasy {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
