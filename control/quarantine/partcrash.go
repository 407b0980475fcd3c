package quarantine

import (
	"slices"
)

// partCrash is one crash of a target.
type partCrash struct {
	id uint64
	at Instant
	// runs holds the suspects of each run that may have caused it, each sorted. No two are
	// equal.
	runs [][]uint64
}

// without returns the members of a set that are not in another one; both are sorted.
func without(set, other []uint64) []uint64 {
	var rest []uint64
	for _, part := range set {
		if _, found := slices.BinarySearch(other, part); !found {
			rest = append(rest, part)
		}
	}
	return rest
}

// setKey returns a sorted set as a map key; empty for the empty set.
func setKey(set []uint64) string {
	key := make([]byte, 0, 8*len(set))
	for _, part := range set {
		for shift := 0; shift < 64; shift += 8 {
			key = append(key, byte(part>>shift))
		}
	}
	return string(key)
}

// limitParts returns the first runs that have MaxCrashParts parts together.
func limitParts(runs [][]uint64) [][]uint64 {
	total := 0
	for i, run := range runs {
		total += len(run)
		if total > MaxCrashParts {
			return runs[:i]
		}
	}
	return runs
}

func (c *partCrash) contains(part uint64) bool {
	return slices.ContainsFunc(c.runs, func(run []uint64) bool {
		_, found := slices.BinarySearch(run, part)
		return found
	})
}

// remove removes a part from the suspects of all runs.
func (c *partCrash) remove(part uint64) {
	seen := make(map[string]bool)
	var runs [][]uint64
	for _, run := range c.runs {
		run = without(run, []uint64{part})
		if key := setKey(run); key != "" && !seen[key] {
			seen[key] = true
			runs = append(runs, run)
		}
	}
	c.runs = runs
}

func (c *partCrash) notice(now Instant) PartNotice {
	return PartNotice{Crash: c.id, Runs: slices.Clone(c.runs), Age: now - c.at}
}
