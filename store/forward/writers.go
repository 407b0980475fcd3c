package forward

import (
	"cmp"
	"slices"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/control/member"
)

const (
	// LocalMembers is the largest fleet in which every router commits for
	// itself: there a hop costs more than it saves.
	LocalMembers = 12
	// MembersPerWriter is how many live routers share one writer in larger fleets.
	MembersPerWriter = 40
	// writerKey is the rendezvous key by which the writers are picked.
	writerKey = "record-writer"
	// localPart is the part of the fleet's writes that all routers share
	// evenly, for commits that no writer could be asked for.
	localPart = 0.2
)

// writer is a router that commits for others.
type writer struct {
	node control.NodeID
	hash uint64
}

// pickWriters returns the writers among the live routers; none if every router
// commits for itself.
func pickWriters(alive []control.NodeID) []writer {
	if len(alive) <= LocalMembers {
		return nil
	}
	candidates := make([]writer, 0, len(alive))
	for _, node := range alive {
		candidates = append(candidates, writer{node: node, hash: member.HashOf(string(node))})
	}
	sortByScore(candidates, member.HashOf(writerKey))
	return candidates[:writerCount(len(alive))]
}

func writerCount(alive int) int {
	return (alive + MembersPerWriter - 1) / MembersPerWriter
}

// inOrder returns the writers in the order in which a row's commits try them.
func inOrder(writers []writer, key string) []writer {
	sorted := slices.Clone(writers)
	sortByScore(sorted, member.HashOf(key))
	return sorted
}

// sortByScore puts the node that rendezvous hashing gives the key to first.
func sortByScore(nodes []writer, key uint64) {
	slices.SortFunc(nodes, func(a, b writer) int {
		byScore := cmp.Compare(member.Score(b.hash, key), member.Score(a.hash, key))
		return cmp.Or(byScore, cmp.Compare(a.node, b.node))
	})
}

// Fleet is what a router knows of the fleet that shares a write budget.
type Fleet struct {
	// WritesPerSecond is the budget of the whole fleet.
	WritesPerSecond float64
	// Listed is how many routers the platform's list names; zero if unknown.
	Listed int
	// Alive is how many routers are live in this router's view.
	Alive int
}

// Share returns the writes a second that one router may make. In a small fleet
// each has an even part. In a larger one the writers have most, and every
// router a little for commits that no writer could be asked for. Routers that
// see a part of the fleet only share that part of the budget, so that
// two sides of a partition do not spend it twice.
func (f Fleet) Share(isWriter bool) float64 {
	known := float64(max(f.Listed, f.Alive, 1))
	if f.Alive <= LocalMembers {
		return f.WritesPerSecond / known
	}
	share := localPart * f.WritesPerSecond / known
	if isWriter {
		writers := float64(writerCount(f.Alive))
		share += (1 - localPart) * f.WritesPerSecond * float64(f.Alive) / known / writers
	}
	return share
}
