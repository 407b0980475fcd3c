package member

import "slices"

// Ranking orders the nodes that may get work for any key by rendezvous hashing. It is a copy
// of one version of a view.
type Ranking struct{ nodes []rankedNode }

type rankedNode struct {
	name string
	hash uint64
}

// Ranking returns the ranking of the nodes that may get work now.
func (v *View) Ranking() Ranking {
	nodes := make([]rankedNode, 0, len(v.alive))
	for _, n := range v.alive {
		nodes = append(nodes, rankedNode{name: n.Name, hash: n.hash})
	}
	return Ranking{nodes}
}

// Highest returns the names of the n nodes with the highest scores for a key, best first,
// without the node except; fewer if there are not as many.
func (r Ranking) Highest(key uint64, n int, except string) []string {
	type scored struct {
		name  string
		score uint64
	}
	best := make([]scored, 0, n+1)
	for _, node := range r.nodes {
		if node.name == except {
			continue
		}
		score := Score(node.hash, key)
		if len(best) == n && score <= best[n-1].score {
			continue
		}
		at := len(best)
		for at > 0 && best[at-1].score < score {
			at--
		}
		best = slices.Insert(best, at, scored{node.name, score})
		best = best[:min(n, len(best))]
	}
	names := make([]string, 0, len(best))
	for _, b := range best {
		names = append(names, b.name)
	}
	return names
}
