package forward

import (
	"cmp"
	"slices"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/control/member"
)

const (
	// MaxMembersWithoutWriters is the size of the largest fleet in which every
	// router commits for itself: there, forwarding costs more than it saves.
	MaxMembersWithoutWriters = 12
	// MembersPerWriter is the number of live routers per writer in larger fleets.
	MembersPerWriter = 40
	// writerSelectionKey is the rendezvous key by which the writers are selected.
	writerSelectionKey = "record-writer"
	// localWriteFraction is the fraction of the fleet's write budget that is divided
	// evenly among all routers, for commits that cannot be forwarded.
	localWriteFraction = 0.2
)

// writer is a router that commits for others.
type writer struct {
	node control.NodeID
	hash uint64
}

// pickWriters returns the writers among the live routers, or none if every router
// commits for itself.
func pickWriters(alive []control.NodeID) []writer {
	if len(alive) <= MaxMembersWithoutWriters {
		return nil
	}
	candidates := make([]writer, 0, len(alive))
	for _, node := range alive {
		candidates = append(candidates, writer{node: node, hash: member.HashOf(string(node))})
	}
	sortByScore(candidates, member.HashOf(writerSelectionKey))
	return candidates[:writerCount(len(alive))]
}

func writerCount(alive int) int {
	return (alive + MembersPerWriter - 1) / MembersPerWriter
}

// writersByScore returns the writers in the order in which commits of a row try
// them.
func writersByScore(writers []writer, key string) []writer {
	sorted := slices.Clone(writers)
	sortByScore(sorted, member.HashOf(key))
	return sorted
}

// sortByScore sorts nodes by their rendezvous hashing score for the key, highest
// first.
func sortByScore(nodes []writer, key uint64) {
	slices.SortFunc(nodes, func(a, b writer) int {
		byScore := cmp.Compare(member.Score(b.hash, key), member.Score(a.hash, key))
		return cmp.Or(byScore, cmp.Compare(a.node, b.node))
	})
}

// Fleet describes a fleet that shares a write budget, as known to one router.
type Fleet struct {
	// WritesPerSecond is the write budget of the whole fleet.
	WritesPerSecond float64
	// Listed is the number of routers in the platform's list; zero if unknown.
	Listed int
	// Alive is the number of live routers in this router's view.
	Alive int
}

// Share returns the writes per second that one router may make. In a small fleet
// all routers have equal shares. In a larger one the writers have most of the
// budget, and every router has a small share for commits that cannot be forwarded.
// Routers that see only a part of the fleet divide only that part of the budget,
// so that the two sides of a partition do not spend it twice.
func (f Fleet) Share(isWriter bool) float64 {
	fleetSize := float64(max(f.Listed, f.Alive, 1))
	if f.Alive <= MaxMembersWithoutWriters {
		return f.WritesPerSecond / fleetSize
	}
	share := localWriteFraction * f.WritesPerSecond / fleetSize
	if isWriter {
		writers := float64(writerCount(f.Alive))
		share += (1 - localWriteFraction) * f.WritesPerSecond * float64(f.Alive) / fleetSize / writers
	}
	return share
}
